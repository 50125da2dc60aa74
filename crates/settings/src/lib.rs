//! Settings of a process, parsed from an INI file and validated as a whole.
//!
//! [`read::parse`] reports all errors of a file at once, with their lines and keys, and returns an
//! immutable [`model::Settings`] only if there are none. This crate does no I/O. The keys are
//! described in [docs/OPERATIONS.md](../../../docs/OPERATIONS.md).

pub mod model;
pub mod read;

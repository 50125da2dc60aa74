//! Settings of a process, read from INI and checked as a whole.
//!
//! [`read::parse`] reports every fault of a file in one go, with its line and key, and returns an
//! immutable [`model::Settings`] only when there is none. This crate opens no sockets and reads one
//! file. The keys are described in [docs/OPERATIONS.md](../../../docs/OPERATIONS.md).

pub mod model;
pub mod read;

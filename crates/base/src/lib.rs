//! Vocabulary shared by every crate: typed indices, time, randomness, outcomes and classes.
//!
//! This crate owns no state and knows no sockets, files or machine clock. It keeps one invariant
//! for all others: a thing is named by a typed index inside a process and by a string only at the
//! border, where the string is resolved once. Read `nutmegdale-catalogue` next; the whole design
//! is in [docs/design.md](../../../docs/design.md).

pub mod class;
pub mod clock;
pub mod digest;
pub mod entity;
pub mod header;
pub mod outcome;
pub mod rng;

//! Types shared by every crate: typed indices, time, random numbers, outcomes and classes.
//!
//! This crate holds no state, does no I/O and does not read the machine's clock. It supports one
//! invariant of all others: inside a process an entity is identified by a typed index; names occur
//! only at the borders of a process, where each is resolved once. Read `nutmegdale-catalogue` next;
//! the whole design is in [docs/design.md](../../../docs/design.md).

pub mod class;
pub mod clock;
pub mod digest;
pub mod entity;
pub mod header;
pub mod outcome;
pub mod rng;

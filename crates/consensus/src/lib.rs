//! Replicated log: elections, replication, confirmed reads, snapshots and membership changes.
//!
//! The crate is pure. [`types`] holds the messages and the durable records, [`actions`] what a
//! driver must do after each step. A driver feeds inputs in, persists what the actions list, and
//! only then sends the messages, so that nothing is promised that a crash could forget. Read
//! `nutmegdale-replica` next, which is that driver. See
//! [docs/design.md](../../../docs/design.md), sections 3 and 6.

pub mod actions;
pub mod types;

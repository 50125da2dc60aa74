//! Replicated log: elections, replication, confirmed reads, snapshots and membership changes.
//!
//! The crate is pure. [`node::Node`] is one replica; [`types`] holds the messages and the durable
//! records, [`input`] what a driver feeds in and [`actions`] what it must do after each step. A
//! driver persists what the actions list, and only then sends the messages, so that nothing is
//! promised that a crash could forget. Read
//! `nutmegdale-replica` next, which is that driver. See
//! [docs/design.md](../../../docs/design.md), sections 3 and 6.

pub mod actions;
mod change;
pub mod config;
mod election;
mod follower;
pub mod input;
mod leader;
mod log;
mod members;
pub mod node;
mod progress;
pub mod status;
pub mod types;

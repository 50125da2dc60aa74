//! Replicated log: elections, replication, linearizable reads, snapshots and membership changes.
//!
//! The crate does no I/O. [`node::Node`] is one replica; [`types`] defines the messages and the
//! durable records, [`input`] the inputs of a step and [`actions`] what the driver must do after
//! it. The driver persists the listed records before it sends any message, so that no message
//! promises state that a crash could lose. `nutmegdale-replica` contains that driver. See
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

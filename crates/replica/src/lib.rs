//! Runs one replica of a group on its own thread.
//!
//! Services hold a [`handle::Handle`], which proposes commands and confirms reads. The group
//! replicates a [`machine::StateMachine`]; the catalogue and the record of one-time requests are
//! its two users. [`driver::start`] recovers a replica from its folder and starts its thread;
//! [`transport::Transport`] sends messages to the other replicas. The replica's thread waits on a
//! channel with a timeout, so it neither spins nor blocks the threads that serve requests. See
//! [docs/design.md](../../../docs/design.md), sections 3 and 8.

pub mod driver;
mod durable;
pub mod handle;
pub mod machine;
mod queue_limit;
pub mod transport;

//! Drives one replicated group on a thread of its own.
//!
//! [`handle::Handle`] is what services hold: it proposes commands and waits for confirmed reads.
//! [`machine::StateMachine`] is what the group replicates; the catalogue and the record of one-time
//! requests are its two users. [`driver::start`] recovers a replica from its folder and starts its
//! thread; [`transport::Transport`] is the way to the other replicas. The group's thread waits on a channel with a timeout, so it neither
//! spins nor blocks the threads that serve requests. See
//! [docs/design.md](../../../docs/design.md), sections 3 and 8.

pub mod driver;
mod durable;
mod gate;
pub mod handle;
pub mod machine;
pub mod transport;

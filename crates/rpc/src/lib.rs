//! Messages between the system's own processes: HTTP/1.1 with MessagePack bodies.
//!
//! [`message`] and [`ledger`] hold the message types that are not part of a pure crate, [`client`] keeps one
//! connection per peer, [`server`] answers calls through the [`server::Handler`] trait and
//! [`listen`] is the bounded HTTP listener that every service of a process uses. Decisions never
//! see HTTP or MessagePack. The messages are listed in [docs/design.md](../../../docs/design.md),
//! section 5.

pub mod client;
pub mod error;
pub mod layered;
pub mod ledger;
pub mod listen;
pub mod message;
pub mod server;

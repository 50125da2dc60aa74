//! Messages between the system's own processes: HTTP/1.1 with MessagePack bodies.
//!
//! [`message`] and [`ledger`] hold the message types that do not belong to a pure crate. [`client`]
//! pools connections per peer and counts its calls in [`traffic`], [`server`] dispatches calls to a
//! [`server::Handler`], and [`listen`] is the HTTP listener with resource limits that every service
//! of a process uses. Decision code never sees HTTP or MessagePack. The messages are listed in
//! [docs/design.md](../../../docs/design.md), section 5.

pub mod client;
pub mod error;
pub mod layered;
pub mod ledger;
pub mod listen;
pub mod message;
pub mod server;
pub mod traffic;

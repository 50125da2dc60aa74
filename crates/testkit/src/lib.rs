//! Test doubles of the systems around nutmegdale; not shipped.
//!
//! [`standin::StandIn`] is a backend server, [`caller::Caller`] a client that fails over between
//! entry processes, [`http::send`] a plain HTTP client and [`link::Link`] a network link with delay
//! and partitions. [`cluster::Cluster`] runs the daemon as separate processes on loopback addresses
//! of its own, and [`load`] generates open-loop load. All of them rely only on the interfaces in
//! [docs/interfaces.md](../../../docs/interfaces.md).

pub mod addresses;
pub mod caller;
pub mod cluster;
pub mod group;
pub mod http;
pub mod link;
pub mod load;
pub mod machine;
pub mod standin;

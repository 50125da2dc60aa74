//! Small stand-ins for the systems around nutmegdale; not shipped.
//!
//! [`standin::StandIn`] is a backend server, [`caller::Caller`] a caller that moves between
//! addresses, [`http::send`] a plain HTTP client, [`link::Link`] a slow or cut link and
//! [`cluster::Cluster`] starts the daemon as separate processes on loopback addresses of its own.
//! [`load`] measures at fixed arrival times. Everything follows [docs/interfaces.md](../../../docs/interfaces.md) only.

pub mod addresses;
pub mod caller;
pub mod cluster;
pub mod group;
pub mod http;
pub mod link;
pub mod load;
pub mod machine;
pub mod standin;

//! Small stand-ins for the systems around nutmegdale; not shipped.
//!
//! [`standin::StandIn`] is a backend server, [`http::send`] a plain HTTP client and
//! [`cluster::Cluster`] starts the daemon as separate processes on loopback addresses of its own.
//! Everything follows [docs/interfaces.md](../../../docs/interfaces.md) only.

pub mod cluster;
pub mod http;
pub mod standin;

//! Entry service: accepts callers' requests and forwards them to backend servers.
//!
//! The request path reads one immutable [`snapshot::Snapshot`], published by an atomic pointer swap,
//! and counts in atomics; [`syncer`] keeps the snapshot current and [`forward`] is the only module
//! that sends a request to a server. [`one_time`] runs non-idempotent requests under a claim from
//! [`ledger_client`]. Decisions are made in the crates without I/O. See
//! [docs/design.md](../../../docs/design.md), sections 6 and 8.

pub mod audit;
pub mod check;
pub mod demand;
pub mod forward;
pub mod head;
pub mod in_flight;
pub mod ledger_client;
pub mod meter;
pub mod observe;
pub mod one_time;
pub mod peers;
pub mod pool;
pub mod proxy;
pub mod recheck;
pub mod reserved;
pub mod response;
pub mod retry;
pub mod service;
pub mod snapshot;
pub mod state;
pub mod sync_state;
pub mod syncer;

//! Replicated registry of a deployment: configuration, zones out of service and backend servers.
//!
//! The crate is pure. [`config`] holds the configuration that operators submit as a whole document
//! and its rules, [`server`] orders what servers announce of themselves, [`state`] is the state
//! machine that every replica builds from the same [`state::Command`]s, and [`feed`] lists what
//! changed since an index so that followers need not read everything again. It knows neither
//! encodings of documents nor sockets; `nutmegdale-coordinator` replicates it and is the next
//! crate to read. See [docs/platform.md](../../../docs/platform.md).

pub mod config;
pub mod document;
pub mod feed;
pub mod follow;
pub mod server;
pub mod state;

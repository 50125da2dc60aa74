//! Replicated registry of a deployment: configuration, zones out of service and backend servers.
//!
//! [`config`] holds the configuration that operators submit as a whole document and its rules,
//! [`server`] orders the announcements of servers, [`state`] is the state machine that every
//! replica builds from the same [`state::Command`]s, [`claim`] holds the evidence for servers that it
//! overrules, [`rollout`] holds its rules for rollouts, and [`feed`] lists the changes since an index
//! so that followers need not fetch the full state again; [`entry_list`] does the same for the list of
//! entry processes. The crate does no I/O and does not depend
//! on the encoding of documents; `nutmegdale-coordinator` replicates it and is the next crate to
//! read. See [docs/platform.md](../../../docs/platform.md).

pub mod claim;
pub mod config;
pub mod document;
pub mod entry_list;
pub mod feed;
pub mod follow;
pub mod rollout;
pub mod server;
pub mod state;

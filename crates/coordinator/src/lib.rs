//! Coordinator: replicates the registry on the VMs with disks and serves it to entry processes.
//!
//! [`operations`] is the interface for operators, servers and entry processes, independent of any
//! encoding; [`machine`] runs the registry as the state machine of the replicated log of
//! `nutmegdale-replica`; [`confirmation`] holds the evidence of how recent its state is;
//! [`entries`] is the soft-state table of live entry processes, which [`gossip`] merges between
//! coordinators; [`repair`] decides which member of the group to admit, promote, demote or
//! remove; [`rollouts`] takes orders of rollouts and decides on their stages; `claims` weighs the
//! evidence for servers that the registry overrules; `quota` holds the coordinator's shares of
//! the limits of accounts; `rounds` carries the repair out and `exchange` sends the gossip;
//! [`service`] starts the coordinator. A front end listens to operators and passes in a
//! [`nutmegdale_registry::config::Codec`] that decodes their documents. See
//! [docs/platform.md](../../../docs/platform.md).

mod calls;
mod claims;
pub mod confirmation;
pub mod entries;
mod exchange;
pub mod gossip;
pub mod machine;
pub mod metrics;
pub mod operations;
mod quota;
pub mod repair;
mod rollout_times;
pub mod rollouts;
mod rounds;
pub mod service;
mod sync;

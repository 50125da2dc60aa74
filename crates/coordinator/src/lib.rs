//! Coordinator: replicates the registry on the VMs with disks and tells entry processes of it.
//!
//! [`operations`] is what operators and servers may ask, in the product's own terms;
//! [`machine`] joins the registry's state machine with the replicated log of `nutmegdale-replica`;
//! [`entries`] is the soft table of live entry processes, which [`gossip`] merges between
//! coordinators; [`repair`] decides which member of the group to admit, promote or remove and
//! [`service`] starts it all. It neither decodes documents nor listens to operators itself: a front
//! end passes in a [`nutmegdale_registry::config::Codec`]. See
//! [docs/platform.md](../../../docs/platform.md).

mod calls;
pub mod entries;
pub mod gossip;
pub mod machine;
pub mod metrics;
pub mod operations;
pub mod repair;
mod rounds;
pub mod service;

//! Control service: the catalogue's replicated group, the hub for entry processes and the
//! administration API.
//!
//! [`catalogue::Machine`] applies changes and publishes each accepted configuration by an atomic
//! pointer swap. [`hub::Hub`] answers syncs of entry processes after a quorum has confirmed its
//! leadership. [`ledger::Ledger`] replicates the one-time request records of the process's region.
//! [`api::Api`] handles operator requests, and [`admin::Admin`] is its HTTP front end. This crate
//! does I/O only; the decisions are made by crates without I/O. See
//! [docs/design.md](../../../docs/design.md), sections 4 to 6.

pub mod admin;
pub mod allocations;
pub mod api;
mod bootstrap;
pub mod catalogue;
pub mod groups;
pub mod hub;
pub mod ledger;
mod members;
pub mod observe;
pub mod peers;
pub mod replicas;
pub mod service;
pub mod status;

//! Control service: the catalogue's replicated group, the hub for entry processes and the
//! administration API.
//!
//! [`catalogue::Machine`] applies changes and publishes each accepted configuration by an atomic
//! pointer swap; [`hub::Hub`] answers syncs of entry processes after a quorum confirmed its leadership;
//! [`ledger::Ledger`] keeps the record of one-time requests of the process's region;
//! [`api::Api`] answers operators, and [`admin::Admin`] is its HTTP front. Decisions lie in the pure crates. See
//! [docs/design.md](../../../docs/design.md), sections 4 to 6.

pub mod admin;
pub mod api;
mod bootstrap;
pub mod catalogue;
pub mod groups;
pub mod hub;
pub mod leader;
pub mod ledger;
mod members;
pub mod observe;
pub mod peers;
pub mod replicas;
pub mod service;
pub mod status;

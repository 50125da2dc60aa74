//! Gateway: takes callers' requests, places them and passes answers on.
//!
//! The path of a request reads one immutable [`table::Table`], published by an atomic pointer
//! swap; [`follow`] keeps it current. [`front`] is the path itself, with the sends of a request in
//! `exchange`, which `lookout` tells when a second one is due, [`place`] asks the decisions of
//! `nutmegdale-dispatch` where a request goes, [`send`] is the only module that writes a request to
//! a server, over connections from [`pool`], and [`directory`] tells callers where to connect. The
//! header names of a front end are known to its [`dialect::Dialect`] only. See
//! [docs/platform.md](../../../docs/platform.md).

pub mod backend;
mod call;
pub mod decisions;
pub mod dialect;
pub mod directory;
mod exchange;
pub mod follow;
pub mod front;
mod lookout;
pub mod metrics;
pub mod payload;
pub mod place;
pub mod pool;
pub mod probe;
pub mod send;
pub mod service;
pub mod settings;
pub mod state;
pub mod table;

//! The catalogue: what operators say, checked, versioned and kept with its history.
//!
//! [`state::State`] is the state machine that the control group replicates: it takes one
//! [`change::Change`] at a time and returns an [`change::Answer`] that depends only on the changes
//! before it. [`config::Config`] is the immutable result that entry processes follow. This crate
//! knows no storage, messages or clock; `nutmegdale-routing` turns a `Config` into the view that
//! the path of a request reads. See [docs/design.md](../../../docs/design.md), section 6.

pub mod audit;
pub mod change;
pub mod config;
pub mod diff;
pub mod history;
mod ops;
pub mod spec;
pub mod state;
pub mod validate;

//! The catalogue: configuration that operators submit, validated, versioned and kept with its
//! history.
//!
//! [`state::State`] is the state machine that the control group replicates: it applies one
//! [`change::Change`] at a time and returns a [`change::Answer`] that depends only on this change
//! and the ones before it. [`config::Config`] is the immutable result, of which every entry process
//! holds a copy. This crate does no I/O and reads no clock; `nutmegdale-routing` turns a `Config`
//! into the view that is read on the path of a request. See
//! [docs/design.md](../../../docs/design.md), section 6.

pub mod audit;
pub mod change;
pub mod config;
pub mod diff;
pub mod history;
mod ops;
pub mod spec;
pub mod state;
pub mod validate;

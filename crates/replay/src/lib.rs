//! Replays recorded traces through the decision code; not shipped.
//!
//! A [`trace::Trace`] is a text file of arrivals, announcements and faults with their times.
//! [`run::run`] feeds it to the policies, grants and budgets that the entry service uses, with a
//! small fake of a server's slots and queue ([`server`]) behind them, and [`outcome::Outcome`] says
//! what callers saw. There is no network and no thread: the same trace and seed give the same
//! outcome to the last digit. docs/measurements.md shows the tables.

pub mod entry;
pub mod outcome;
pub mod plan;
pub mod run;
pub mod server;
pub mod trace;

//! Deterministic simulator that replays recorded traces through the decision code; not shipped.
//!
//! A [`trace::Trace`] is a text file of arrivals, announcements and faults with their times.
//! [`run::run`] feeds it to the policies, grants and budgets that the entry service uses, against
//! simulated servers with slots and a queue ([`server`]), and [`outcome::Outcome`] holds what callers
//! observed. There is no network and no thread: the same trace and seed give the same outcome to the
//! last digit. docs/measurements.md shows the tables.

pub mod entry;
pub mod outcome;
pub mod plan;
pub mod run;
pub mod server;
pub mod trace;

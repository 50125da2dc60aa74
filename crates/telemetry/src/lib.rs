//! JSON logs, metrics and system clocks of a process.
//!
//! Decision code never reads the system clock or writes logs; the services at the edge pass in the
//! time of [`clock`] and log the decisions. Field names of log lines are stable and
//! listed in [docs/OPERATIONS.md](../../../docs/OPERATIONS.md).

pub mod clock;
pub mod failures;
pub mod limiter;
pub mod log;
pub mod metrics;

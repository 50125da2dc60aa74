//! What a process shows of itself: JSON log lines, metrics and the machine's clock.
//!
//! Decisions never read the machine's clock or write logs; the services at the edge pass the clock
//! of [`clock`] in and log what the decisions return. Field names of log lines are stable and
//! listed in [docs/OPERATIONS.md](../../../docs/OPERATIONS.md).

pub mod clock;
pub mod failures;
pub mod limiter;
pub mod log;
pub mod metrics;

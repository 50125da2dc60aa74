//! Budget of second sends: retries and hedges of one service together.

use std::sync::atomic;
use std::sync::atomic::Ordering::{AcqRel, Acquire};

/// Second sends per hundred calls.
pub const BUDGET_PERCENT: u64 = 10;
/// Second sends that are always there after a quiet time, so that a service with few calls can
/// retry at all.
pub const FLOOR_COUNT: u64 = 10;
/// Second sends that may be saved up.
const SAVED_MAX_COUNT: u64 = 100;
/// Units that one second send costs; a call earns [`BUDGET_PERCENT`] of them.
const HUNDREDTHS: u64 = 100;

/// Budget of one service at one entry process.
///
/// Invariant: after n calls, at most `FLOOR_COUNT + n × BUDGET_PERCENT / 100` second sends were
/// allowed.
#[derive(Debug)]
pub struct RetryBudget {
    hundredths: atomic::AtomicU64,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget::new()
    }
}

impl RetryBudget {
    /// Creates a budget that holds the floor.
    pub fn new() -> RetryBudget {
        RetryBudget {
            hundredths: atomic::AtomicU64::new(FLOOR_COUNT * HUNDREDTHS),
        }
    }

    /// Counts a call, which earns a part of a second send.
    pub fn deposit(&self) {
        let most = SAVED_MAX_COUNT * HUNDREDTHS;
        let next = |held: u64| (held < most).then(|| (held + BUDGET_PERCENT).min(most));
        // An error means that the budget is full.
        let _ = self.hundredths.fetch_update(AcqRel, Acquire, next);
    }

    /// Takes one second send and returns whether it was there.
    pub fn withdraw(&self) -> bool {
        let next = |held: u64| held.checked_sub(HUNDREDTHS);
        self.hundredths.fetch_update(AcqRel, Acquire, next).is_ok()
    }
}

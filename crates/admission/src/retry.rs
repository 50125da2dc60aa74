//! Retry budget: bounds the retries and hedges of one service together.

use std::sync::atomic;
use std::sync::atomic::Ordering::{AcqRel, Acquire};

/// Retries allowed per hundred calls.
pub const BUDGET_PERCENT: u64 = 10;
/// Initial balance in retries, so that a service with few calls can retry at all.
pub const FLOOR_COUNT: u64 = 10;
/// Largest balance, in retries.
const BALANCE_MAX_COUNT: u64 = 100;
/// Cost of one retry in hundredths of a token; a call deposits [`BUDGET_PERCENT`] of them.
const TOKEN_HUNDREDTHS: u64 = 100;

/// Retry budget of one service at one entry process. Hedges count as retries.
///
/// Invariant: after n calls, at most `FLOOR_COUNT + n × BUDGET_PERCENT / 100` retries were allowed.
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
    /// Creates a budget with a balance of [`FLOOR_COUNT`].
    pub fn new() -> RetryBudget {
        RetryBudget {
            hundredths: atomic::AtomicU64::new(FLOOR_COUNT * TOKEN_HUNDREDTHS),
        }
    }

    /// Counts a call, which deposits a fraction of a retry.
    pub fn deposit(&self) {
        let max = BALANCE_MAX_COUNT * TOKEN_HUNDREDTHS;
        let next = |balance: u64| (balance < max).then(|| (balance + BUDGET_PERCENT).min(max));
        // An error means that the budget is full.
        let _ = self.hundredths.fetch_update(AcqRel, Acquire, next);
    }

    /// Withdraws one retry; returns whether the balance sufficed.
    pub fn withdraw(&self) -> bool {
        let next = |balance: u64| balance.checked_sub(TOKEN_HUNDREDTHS);
        self.hundredths.fetch_update(AcqRel, Acquire, next).is_ok()
    }
}

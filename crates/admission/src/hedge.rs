//! When a second send of a slow read is worth its cost.

use std::sync::atomic;
use std::sync::atomic::Ordering::Relaxed;

/// Share of answers that a hedge waits for, in hundredths; above it, the retry budget of 10% would
/// be used up by ordinary answers.
const QUANTILE_PERCENT: u64 = 95;
/// Shortest wait before a hedge; a faster answer than this cannot be won by a second send.
pub const MIN_DELAY_US: u64 = 2_000;
/// Start value, before any answer.
const START_US: u64 = 50_000;

/// Estimate of the time within which 95 of 100 answers of a service arrive.
///
/// The estimate moves up by 95 parts for an answer that took longer and down by 5 parts for any
/// other, so it rests where the shares balance. It keeps one number and no samples.
#[derive(Debug)]
pub struct HedgeDelay {
    estimate_us: atomic::AtomicU64,
}

impl Default for HedgeDelay {
    fn default() -> HedgeDelay {
        HedgeDelay::new()
    }
}

impl HedgeDelay {
    /// Creates an estimate that knows no answer.
    pub fn new() -> HedgeDelay {
        HedgeDelay {
            estimate_us: atomic::AtomicU64::new(START_US),
        }
    }

    /// Takes the time of an answer, or the time after which a first send was overtaken.
    pub fn observe(&self, took_us: u64) {
        let known = self.estimate_us.load(Relaxed);
        let part = known / 1_000 + 1;
        let next = if took_us > known {
            known + part * QUANTILE_PERCENT / 5
        } else {
            known.saturating_sub(part * (100 - QUANTILE_PERCENT) / 5)
        };
        // A lost race costs one sample.
        self.estimate_us.store(next, Relaxed);
    }

    /// Returns the time to wait for the first send before a second one.
    pub fn delay_us(&self) -> u64 {
        self.estimate_us.load(Relaxed).max(MIN_DELAY_US)
    }
}

//! Delay before a slow read is hedged.

use std::sync::atomic;
use std::sync::atomic::Ordering::Relaxed;

/// Percentile of the response time after which a request is hedged. At a lower one, ordinary
/// responses would use up the retry budget of 10%.
const QUANTILE_PERCENT: u64 = 95;
/// Shortest delay before a hedge: for responses faster than this, a hedge cannot win.
pub const MIN_DELAY_US: u64 = 2_000;
/// Initial estimate, before any response.
const INITIAL_US: u64 = 50_000;

/// Running estimate of the 95th percentile of a service's response time.
///
/// The estimate rises for a response that took longer and falls for any other, with steps in the
/// ratio 95 to 5, so it converges where both balance. It stores one number and no samples.
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
    /// Creates an estimate without samples.
    pub fn new() -> HedgeDelay {
        HedgeDelay {
            estimate_us: atomic::AtomicU64::new(INITIAL_US),
        }
    }

    /// Records a response time, or the time after which a request lost against its hedge.
    pub fn observe(&self, took_us: u64) {
        let estimate = self.estimate_us.load(Relaxed);
        let step = estimate / 1_000 + 1;
        let next = if took_us > estimate {
            estimate + step * QUANTILE_PERCENT / 5
        } else {
            estimate.saturating_sub(step * (100 - QUANTILE_PERCENT) / 5)
        };
        // A lost race costs one sample.
        self.estimate_us.store(next, Relaxed);
    }

    /// Returns the delay between a request and its hedge, in microseconds.
    pub fn delay_us(&self) -> u64 {
        self.estimate_us.load(Relaxed).max(MIN_DELAY_US)
    }
}

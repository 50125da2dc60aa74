//! Which priorities of a service one process sees requests of.
//!
//! Load pattern: a configuration with routes that nobody uses, or that get a request now and then.
//! Capacity that was kept free for them would be lost to the requests that do come. A priority
//! therefore counts only while it has a part of the recent requests.

use nutmegdale_base::clock;
use std::sync::atomic;

/// Number of counters; priorities that share one count together.
const COUNTERS_COUNT: u32 = 16;
/// Interval after which all counts are halved.
const HALVING_MS: clock::Millis = clock::Millis(5_000);
/// Least number of recent requests of a priority that counts.
const PRESENT_MIN_COUNT: u32 = 3;
/// Least part of the recent requests of a priority that counts, in percent.
const PRESENT_MIN_PERCENT: u64 = 6;

/// Recent requests at one service by priority.
#[derive(Debug, Default)]
pub struct Demand {
    counts: [atomic::AtomicU32; COUNTERS_COUNT as usize],
    halved_at_ms: atomic::AtomicU64,
}

impl Demand {
    fn counter(&self, priority: u32) -> &atomic::AtomicU32 {
        // Priorities are ordered by two parts, see `precedence::order`.
        let index = (priority / 256 * 5 + priority % 256) % COUNTERS_COUNT;
        &self.counts[index as usize]
    }

    /// Counts a request.
    pub fn record(&self, now: clock::Millis, priority: u32) {
        let order = atomic::Ordering::Relaxed;
        let halved_at = self.halved_at_ms.load(order);
        let is_due = now.since(clock::Millis(halved_at)) >= HALVING_MS;
        let claim = || {
            self.halved_at_ms
                .compare_exchange(halved_at, now.0, order, order)
                .is_ok()
        };
        if is_due && claim() {
            for count in &self.counts {
                count.store(count.load(order) / 2, order);
            }
        }
        self.counter(priority).fetch_add(1, order);
    }

    /// Returns whether a priority has a part of the recent requests.
    pub fn has(&self, priority: u32) -> bool {
        let load = |count: &atomic::AtomicU32| count.load(atomic::Ordering::Relaxed);
        let count = load(self.counter(priority));
        let total: u64 = self.counts.iter().map(|count| u64::from(load(count))).sum();
        count >= PRESENT_MIN_COUNT && u64::from(count) * 100 >= total * PRESENT_MIN_PERCENT
    }
}

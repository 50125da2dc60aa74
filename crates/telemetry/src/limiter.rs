//! Bounds the lines of a log per second and counts those that were left out.

use nutmegdale_base::clock;
use std::sync::atomic;
use std::sync::atomic::Ordering::Relaxed;

/// Bound of one kind of lines.
#[derive(Debug)]
pub struct Limiter {
    lines_per_second: u64,
    second: atomic::AtomicU64,
    lines: atomic::AtomicU64,
    suppressed: atomic::AtomicU64,
}

impl Limiter {
    /// Creates a bound of `lines_per_second`.
    pub fn new(lines_per_second: u64) -> Limiter {
        Limiter {
            lines_per_second,
            second: atomic::AtomicU64::new(0),
            lines: atomic::AtomicU64::new(0),
            suppressed: atomic::AtomicU64::new(0),
        }
    }

    /// Returns whether a line may be written now, with the number of lines left out since the
    /// last one.
    pub fn admit(&self, now: clock::Millis) -> Option<u64> {
        let second = now.0 / 1_000;
        if self.second.swap(second, Relaxed) != second {
            self.lines.store(0, Relaxed);
        }
        if self.lines.fetch_add(1, Relaxed) < self.lines_per_second {
            return Some(self.suppressed.swap(0, Relaxed));
        }
        self.suppressed.fetch_add(1, Relaxed);
        None
    }
}

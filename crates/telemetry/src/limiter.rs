//! Rate limiter for log lines, which counts the suppressed lines.

use nutmegdale_base::clock;
use std::sync::atomic;
use std::sync::atomic::Ordering::Relaxed;

/// Rate limiter for one kind of log line.
#[derive(Debug)]
pub struct Limiter {
    lines_per_second: u64,
    second: atomic::AtomicU64,
    lines: atomic::AtomicU64,
    suppressed: atomic::AtomicU64,
}

impl Limiter {
    /// Creates a limiter that admits `lines_per_second`.
    pub fn new(lines_per_second: u64) -> Limiter {
        Limiter {
            lines_per_second,
            second: atomic::AtomicU64::new(0),
            lines: atomic::AtomicU64::new(0),
            suppressed: atomic::AtomicU64::new(0),
        }
    }

    /// Returns `None` if a line at `now` must be suppressed; otherwise the number of lines that
    /// were suppressed since the last admitted one.
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

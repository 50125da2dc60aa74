//! Traffic split: divides the requests of a route among services by weight.
//!
//! Load pattern: many processes that see a few requests each, and routing tables that are rebuilt
//! with every change of a server. Each process therefore follows a low-discrepancy sequence over
//! the weights from its own offset, and continues it when the table is rebuilt.

use std::sync::atomic;

/// Fractional part of the golden ratio; the fractional parts of its multiples are spread evenly.
const GOLDEN_RATIO_FRACTION: f64 = 0.618_033_988_749_895;

/// Splitter for the requests of one route in one process.
#[derive(Debug)]
pub struct Splitter {
    offset: f64,
    next_index: atomic::AtomicU64,
}

impl Splitter {
    /// Creates a splitter whose offset depends on `seed`, which should differ between processes.
    pub fn new(seed: u64) -> Splitter {
        Splitter {
            offset: (seed >> 11) as f64 / (1_u64 << 53) as f64,
            next_index: atomic::AtomicU64::new(0),
        }
    }

    /// Returns the position of the weight that the next request is assigned to; `sums` holds the
    /// prefix sums of the weights.
    pub fn next(&self, sums: &[f64]) -> usize {
        if sums.len() <= 1 {
            return 0;
        }
        let index = self.next_index.fetch_add(1, atomic::Ordering::Relaxed);
        let total = sums.last().copied().unwrap_or_default();
        let point = (self.offset + index as f64 * GOLDEN_RATIO_FRACTION).fract() * total;
        let found = sums.iter().position(|sum| point < *sum);
        found.unwrap_or(sums.len() - 1)
    }
}

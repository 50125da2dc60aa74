//! Divides the requests of a route among services by weight.
//!
//! Load pattern: many processes that see a few requests each, and tables that are rebuilt with
//! every change of a server. Each process therefore walks a sequence that is spread evenly over the
//! weights, from a point of its own, and goes on where it was when the table changes.

use std::sync::atomic;

/// Fractional part of the golden ratio, whose multiples are spread evenly.
const GOLDEN: f64 = 0.618_033_988_749_895;

/// Position of one process in the sequence of one route.
#[derive(Debug)]
pub struct Splitter {
    start: f64,
    turn: atomic::AtomicU64,
}

impl Splitter {
    /// Begins at a point that differs between processes.
    pub fn new(seed: u64) -> Splitter {
        Splitter {
            start: (seed >> 11) as f64 / (1_u64 << 53) as f64,
            turn: atomic::AtomicU64::new(0),
        }
    }

    /// Returns the position of the weight that the next request falls to; `sums` holds the sum of
    /// the weights up to each.
    pub fn next(&self, sums: &[f64]) -> usize {
        if sums.len() <= 1 {
            return 0;
        }
        let turn = self.turn.fetch_add(1, atomic::Ordering::Relaxed);
        let total = sums.last().copied().unwrap_or_default();
        let point = (self.start + turn as f64 * GOLDEN).fract() * total;
        let found = sums.iter().position(|sum| point < *sum);
        found.unwrap_or(sums.len() - 1)
    }
}

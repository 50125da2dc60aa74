//! What the requests of one route need, learned from answers.

use nutmegdale_base::clock;
use std::sync::atomic;

/// Answers over which an average forgets; the first ones weigh equally.
const MEMORY_COUNT: u64 = 20;
/// Work that is assumed before the first answer.
const WORK_DEFAULT_US: u64 = 100_000;

/// Averages over the answers of one route.
#[derive(Debug)]
pub struct Estimate {
    work_us: atomic::AtomicU64,
    answer_bytes: atomic::AtomicU64,
    answers_count: atomic::AtomicU64,
}

impl Default for Estimate {
    fn default() -> Estimate {
        Estimate {
            work_us: atomic::AtomicU64::new(WORK_DEFAULT_US),
            answer_bytes: atomic::AtomicU64::new(0),
            answers_count: atomic::AtomicU64::new(0),
        }
    }
}

impl Estimate {
    /// Notes an answer that took `span` at a server whose work took `stretch_percent` of its usual
    /// time.
    pub fn note(&self, span: clock::Millis, stretch_percent: u32, bytes: u64) {
        let work_us = span.0 * 1000 * 100 / u64::from(stretch_percent.max(1));
        let count = 1 + self.answers_count.fetch_add(1, atomic::Ordering::Relaxed);
        blend(&self.work_us, work_us, count);
        blend(&self.answer_bytes, bytes, count);
    }

    /// Returns the usual work of a request in milliseconds.
    pub fn work_ms(&self) -> f64 {
        self.work_us.load(atomic::Ordering::Relaxed) as f64 / 1000.0
    }

    /// Returns the usual size of an answer in kilobytes.
    pub fn answer_kb(&self) -> f64 {
        self.answer_bytes.load(atomic::Ordering::Relaxed) as f64 / 1000.0
    }
}

fn blend(average: &atomic::AtomicU64, newest: u64, count: u64) {
    let order = atomic::Ordering::Relaxed;
    let memory = count.min(MEMORY_COUNT);
    let old = average.load(order);
    average.store((old * (memory - 1) + newest) / memory, order);
}

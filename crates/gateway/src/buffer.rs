//! Limit on the memory that buffered bodies take in the whole process.
//!
//! Servers and callers decide how large a body is and how slowly it is read, and any number of them
//! can be large and slow at the same time. Each body may hold [`FREE_BYTES`]; what it holds beyond that
//! is taken from one budget. Without budget left, the rest of a body is streamed instead, which the
//! speed of its receiver limits.

use std::sync;
use std::sync::atomic;

/// Bytes that each body may hold without a reservation, so that ordinary bodies never depend on what
/// others hold.
pub const FREE_BYTES: usize = 16 * 1024;
/// Budget of a process, in bytes: a sixth of the memory of the smallest VM.
const BUDGET_BYTES: usize = 24 * 1024 * 1024;

/// Budget of the process.
#[derive(Debug, Default)]
pub struct Budget {
    used_bytes: atomic::AtomicUsize,
    /// Times that a body found no budget left.
    exhausted_count: atomic::AtomicU64,
}

impl Budget {
    /// Creates a budget of which nothing is used.
    pub fn new() -> Budget {
        Budget::default()
    }

    /// Returns the bytes that are reserved.
    pub fn used_bytes(&self) -> usize {
        self.used_bytes.load(atomic::Ordering::Relaxed)
    }

    /// Returns how often a body found no budget left.
    pub fn exhausted_count(&self) -> u64 {
        self.exhausted_count.load(atomic::Ordering::Relaxed)
    }

    fn try_acquire(&self, bytes: usize) -> bool {
        let add = |used: usize| {
            used.checked_add(bytes)
                .filter(|total| *total <= BUDGET_BYTES)
        };
        let (set, fetch) = (atomic::Ordering::AcqRel, atomic::Ordering::Acquire);
        let is_acquired = self.used_bytes.fetch_update(set, fetch, add).is_ok();
        if !is_acquired {
            self.exhausted_count.fetch_add(1, atomic::Ordering::Relaxed);
        }
        is_acquired
    }
}

/// Bytes that one body has reserved; they are released when the value is dropped.
#[derive(Debug)]
pub struct Reservation {
    budget: sync::Arc<Budget>,
    bytes: usize,
}

impl Reservation {
    /// Creates an empty reservation.
    pub fn new(budget: &sync::Arc<Budget>) -> Reservation {
        Reservation {
            budget: sync::Arc::clone(budget),
            bytes: 0,
        }
    }

    /// Extends the reservation so that the body may hold `len` bytes; returns whether the budget
    /// allowed it.
    pub fn extend_to(&mut self, len: usize) -> bool {
        let needed = len.saturating_sub(FREE_BYTES);
        let missing = needed.saturating_sub(self.bytes);
        if missing > 0 && !self.budget.try_acquire(missing) {
            return false;
        }
        self.bytes += missing;
        true
    }
}

impl Drop for Reservation {
    fn drop(&mut self) {
        self.budget
            .used_bytes
            .fetch_sub(self.bytes, atomic::Ordering::AcqRel);
    }
}

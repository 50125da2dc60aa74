//! Bounds of what waits for a group's thread.

use std::sync::atomic;

/// Counts what waits and refuses more than its bounds.
#[derive(Debug)]
pub(crate) struct Gate {
    max_count: usize,
    max_bytes: usize,
    count: atomic::AtomicUsize,
    bytes: atomic::AtomicUsize,
}

impl Gate {
    pub(crate) fn new(max_count: usize, max_bytes: usize) -> Gate {
        Gate {
            max_count,
            max_bytes,
            count: atomic::AtomicUsize::new(0),
            bytes: atomic::AtomicUsize::new(0),
        }
    }

    /// Takes a place for `bytes`, or returns false if there is none.
    pub(crate) fn enter(&self, bytes: usize) -> bool {
        let count = self.count.fetch_add(1, atomic::Ordering::Relaxed);
        let before = self.bytes.fetch_add(bytes, atomic::Ordering::Relaxed);
        // One item above the bound of bytes may enter alone.
        let fits = count < self.max_count && (before == 0 || before + bytes <= self.max_bytes);
        if !fits {
            self.leave(bytes);
        }
        fits
    }

    /// Gives the place back.
    pub(crate) fn leave(&self, bytes: usize) {
        self.count.fetch_sub(1, atomic::Ordering::Relaxed);
        self.bytes.fetch_sub(bytes, atomic::Ordering::Relaxed);
    }
}

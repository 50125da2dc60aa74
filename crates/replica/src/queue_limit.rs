//! Limit of the requests queued for a replica's thread.

use std::sync::atomic;

/// Counts queued items and their bytes, and refuses items above the limits.
#[derive(Debug)]
pub(crate) struct QueueLimit {
    max_count: usize,
    max_bytes: usize,
    count: atomic::AtomicUsize,
    bytes: atomic::AtomicUsize,
}

impl QueueLimit {
    pub(crate) fn new(max_count: usize, max_bytes: usize) -> QueueLimit {
        QueueLimit {
            max_count,
            max_bytes,
            count: atomic::AtomicUsize::new(0),
            bytes: atomic::AtomicUsize::new(0),
        }
    }

    /// Reserves capacity for an item of `bytes`; returns false if there is none left.
    pub(crate) fn try_acquire(&self, bytes: usize) -> bool {
        let count = self.count.fetch_add(1, atomic::Ordering::Relaxed);
        let queued_bytes = self.bytes.fetch_add(bytes, atomic::Ordering::Relaxed);
        // An item larger than the byte limit is admitted if the queue is empty.
        let fits =
            count < self.max_count && (queued_bytes == 0 || queued_bytes + bytes <= self.max_bytes);
        if !fits {
            self.release(bytes);
        }
        fits
    }

    /// Releases the capacity of an item.
    pub(crate) fn release(&self, bytes: usize) {
        self.count.fetch_sub(1, atomic::Ordering::Relaxed);
        self.bytes.fetch_sub(bytes, atomic::Ordering::Relaxed);
    }
}

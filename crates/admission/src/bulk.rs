//! Bounds of bulk work: a share of a service's slots and of the link between regions.

use crate::bucket;
use nutmegdale_base::clock;
use std::sync::atomic;
use std::sync::atomic::Ordering::{AcqRel, Acquire, Relaxed};

/// Share of the slots of a service that also serves urgent work.
pub const SLOTS_PERCENT: u64 = 25;
/// Bytes per second that bulk work of all entry processes may take on the link between regions:
/// a fifth of 4 Gbit/s.
pub const LINK_BYTES_PER_SEC: u64 = 100_000_000;
/// Bytes that one bulk answer may run ahead of its share.
const LINK_BURST_BYTES: u64 = 256 * 1024;

/// Bulk requests of one service at one entry process.
#[derive(Debug, Default)]
pub struct BulkSlots {
    in_flight: atomic::AtomicU32,
    most: atomic::AtomicU32,
}

impl BulkSlots {
    /// Creates a bound that lets nothing pass until it is set.
    pub fn new() -> BulkSlots {
        BulkSlots::default()
    }

    /// Sets this process's part of the bound: at least one request, so that exports go on.
    ///
    /// With fewer bulk slots than entry processes, the bound over all of them is one request each.
    pub fn set_limit(&self, slots_count: u64, is_shared_with_urgent: bool, entries_count: usize) {
        let percent = if is_shared_with_urgent {
            SLOTS_PERCENT
        } else {
            100
        };
        let entries = u64::try_from(entries_count.max(1)).unwrap_or(u64::MAX);
        let part = (slots_count * percent / 100).div_ceil(entries);
        let most = u32::try_from(part.max(1)).unwrap_or(u32::MAX);
        self.most.store(most, Relaxed);
    }

    /// Counts a bulk request in and returns whether it may be sent.
    pub fn begin(&self) -> bool {
        let most = self.most.load(Relaxed);
        let next = |held: u32| (held < most).then_some(held + 1);
        self.in_flight.fetch_update(AcqRel, Acquire, next).is_ok()
    }

    /// Counts a bulk request out.
    pub fn end(&self) {
        self.in_flight.fetch_sub(1, AcqRel);
    }

    /// Returns the bulk requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Relaxed)
    }
}

/// Bytes of bulk answers that cross the link between regions.
#[derive(Debug, Default)]
pub struct BulkLink {
    bytes: bucket::Bucket,
    entries_count: atomic::AtomicU32,
}

impl BulkLink {
    /// Creates a bound for one entry process.
    pub fn new() -> BulkLink {
        BulkLink::default()
    }

    /// Sets the number of live entry processes that share the link.
    pub fn set_entries(&self, entries_count: usize) {
        let count = u32::try_from(entries_count).unwrap_or(u32::MAX);
        self.entries_count.store(count, Relaxed);
    }

    fn rate(&self) -> bucket::Rate {
        let entries = u64::from(self.entries_count.load(Relaxed).max(1));
        bucket::Rate {
            per_sec: LINK_BYTES_PER_SEC / entries,
            burst: LINK_BURST_BYTES,
        }
    }

    /// Counts bytes that crossed and returns how long the answer must pause.
    pub fn charge(&self, now: clock::Millis, bytes: u64) -> clock::Millis {
        let rate = self.rate();
        self.bytes.charge(now, bytes, rate);
        self.bytes
            .check(now, rate)
            .err()
            .unwrap_or(clock::Millis::ZERO)
    }

    /// Returns whether a new bulk request may cross now, or the time until it may.
    ///
    /// # Errors
    ///
    /// Returns the time to wait.
    pub fn check(&self, now: clock::Millis) -> Result<(), clock::Millis> {
        self.bytes.check(now, self.rate())
    }
}

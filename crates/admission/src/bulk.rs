//! Limits for bulk requests: a share of a service's slots and of the link between regions.

use crate::bucket;
use nutmegdale_base::clock;
use std::sync::atomic;
use std::sync::atomic::Ordering::{AcqRel, Acquire, Relaxed};

/// Share of a service's slots that bulk requests may take if it also serves urgent requests, in
/// percent.
pub const SLOTS_PERCENT: u64 = 25;
/// Bytes per second that bulk responses of all entry processes may use on the link between regions:
/// a fifth of 4 Gbit/s.
pub const LINK_BYTES_PER_SEC: u64 = 100_000_000;
/// Burst of bulk responses on the link, in bytes.
const LINK_BURST_BYTES: u64 = 256 * 1024;

/// Concurrency limit for the bulk requests of one service at one entry process.
#[derive(Debug, Default)]
pub struct BulkSlots {
    in_flight: atomic::AtomicU32,
    limit: atomic::AtomicU32,
}

impl BulkSlots {
    /// Creates a limiter that admits nothing until its limit is set.
    pub fn new() -> BulkSlots {
        BulkSlots::default()
    }

    /// Sets this process's share of the limit: at least one request, so that exports make progress.
    ///
    /// With fewer bulk slots than entry processes, the limit over all of them is one request each.
    pub fn set_limit(&self, slots_count: u64, is_shared_with_urgent: bool, entries_count: usize) {
        let percent = if is_shared_with_urgent {
            SLOTS_PERCENT
        } else {
            100
        };
        let entries = u64::try_from(entries_count.max(1)).unwrap_or(u64::MAX);
        let share = (slots_count * percent / 100).div_ceil(entries);
        let limit = u32::try_from(share.max(1)).unwrap_or(u32::MAX);
        self.limit.store(limit, Relaxed);
    }

    /// Counts a bulk request as in flight; returns `false` if it exceeds the limit.
    pub fn begin(&self) -> bool {
        let limit = self.limit.load(Relaxed);
        let next = |in_flight: u32| (in_flight < limit).then_some(in_flight + 1);
        self.in_flight.fetch_update(AcqRel, Acquire, next).is_ok()
    }

    /// Removes a bulk request that has ended from the count.
    pub fn end(&self) {
        self.in_flight.fetch_sub(1, AcqRel);
    }

    /// Returns the bulk requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Relaxed)
    }
}

/// Rate limit for the bytes of bulk responses on the link between regions.
#[derive(Debug, Default)]
pub struct BulkLink {
    bytes: bucket::Bucket,
    entries_count: atomic::AtomicU32,
}

impl BulkLink {
    /// Creates the rate limit of one entry process.
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

    /// Charges bytes that were transferred and returns how long the response must pause.
    pub fn charge(&self, now: clock::Millis, bytes: u64) -> clock::Millis {
        let rate = self.rate();
        self.bytes.charge(now, bytes, rate);
        self.bytes
            .check(now, rate)
            .err()
            .unwrap_or(clock::Millis::ZERO)
    }

    /// Checks whether a new bulk request may use the link now.
    ///
    /// # Errors
    ///
    /// Returns the time until it may.
    pub fn check(&self, now: clock::Millis) -> Result<(), clock::Millis> {
        self.bytes.check(now, self.rate())
    }
}

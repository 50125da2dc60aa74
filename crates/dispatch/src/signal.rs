//! Load of one server: its last report and this process's own requests.

use nutmegdale_base::clock;
use std::sync::atomic;

/// Normal speed of a server's VM, as reports state it.
pub const STRETCH_NORMAL_PERCENT: u32 = 100;

/// Report of a server on its load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Report {
    /// Requests that it works on.
    pub running: u32,
    /// Requests that wait at the server.
    pub waiting: u32,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Time that work takes now, in percent of its usual time.
    pub stretch_percent: u32,
}

/// Last report with its age.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Aged {
    /// Requests of other processes at the time of the report.
    pub others: u32,
    /// Time that work took, in percent of its usual time.
    pub stretch_percent: u32,
    /// Age of the report.
    pub age: clock::Millis,
}

const FIELD_BITS: u32 = 16;
const FIELD_MASK: u64 = (1 << FIELD_BITS) - 1;
/// Bit that tells a report from none.
const PRESENT: u64 = 1 << 63;

/// What is known of the load of one server.
///
/// Threads write without a lock; a report and its time may mix with another report's for a moment,
/// which shifts an estimate by one report.
#[derive(Debug, Default)]
pub struct Signal {
    inflight: atomic::AtomicU32,
    report: atomic::AtomicU64,
    reported_ms: atomic::AtomicU64,
}

impl Signal {
    /// Counts a request that is about to be sent.
    pub fn begin(&self) {
        self.inflight.fetch_add(1, atomic::Ordering::Relaxed);
    }

    /// Counts a request that has ended.
    pub fn end(&self) {
        self.inflight.fetch_sub(1, atomic::Ordering::Relaxed);
    }

    /// Returns the requests of this process at the server.
    pub fn inflight(&self) -> u32 {
        self.inflight.load(atomic::Ordering::Relaxed)
    }

    /// Notes a report. `own` requests of this process were at the server when it was made.
    pub fn note(&self, now: clock::Millis, report: Report, own: u32) {
        let others = (report.running + report.waiting).saturating_sub(own);
        let clip = |value: u32| u64::from(value).min(FIELD_MASK);
        let packed = PRESENT | clip(others) << FIELD_BITS | clip(report.stretch_percent);
        self.report.store(packed, atomic::Ordering::Relaxed);
        self.reported_ms.store(now.0, atomic::Ordering::Relaxed);
    }

    /// Returns the last report.
    pub fn last(&self, now: clock::Millis) -> Option<Aged> {
        let packed = self.report.load(atomic::Ordering::Relaxed);
        if packed & PRESENT == 0 {
            return None;
        }
        let reported = clock::Millis(self.reported_ms.load(atomic::Ordering::Relaxed));
        Some(Aged {
            others: ((packed >> FIELD_BITS) & FIELD_MASK) as u32,
            stretch_percent: (packed & FIELD_MASK) as u32,
            age: now.since(reported),
        })
    }
}

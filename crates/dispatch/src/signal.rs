//! Load of one server: its last report and this process's own requests.

use nutmegdale_base::clock;
use std::sync::atomic;

/// Normal speed of a server's VM, as reports state it.
pub const NO_SLOWDOWN_PERCENT: u32 = 100;

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
    pub slowdown_percent: u32,
}

/// Last report with its age.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AgedReport {
    /// Requests of other processes at the time of the report.
    pub others: u32,
    /// Time that work took, in percent of its usual time.
    pub slowdown_percent: u32,
    /// Age of the report.
    pub age: clock::Millis,
}

/// Time after which a server that was slow is taken to be as quick as others again.
const SLOW_MEMORY_MS: f64 = 4_000.0;
/// Weight of the newest answer in the slowness of a server, in percent.
const SLOW_NEWEST_PERCENT: u64 = 40;
/// Slowness in percent below which a server counts as usual: requests differ by as much.
const SLOW_MIN_PERCENT: u64 = 160;
/// Largest slowness that is believed, in percent.
const SLOW_MAX_PERCENT: u64 = 1_000;

const FIELD_BITS: u32 = 16;
const FIELD_MASK: u64 = (1 << FIELD_BITS) - 1;
/// Bit that tells a report from none.
const PRESENT: u64 = 1 << 63;

/// Returns how far something seen `age` ago still tells what is now, from 1 for what was just seen
/// to 0 for what is as old as `memory_ms`.
pub fn freshness(age: clock::Millis, memory_ms: f64) -> f64 {
    (1.0 - age.0 as f64 / memory_ms).max(0.0)
}

/// What is known of the load of one server.
///
/// Threads write without a lock; a report and its time may mix with another report's for a moment,
/// which shifts an estimate by one report.
#[derive(Debug, Default)]
pub struct Signal {
    inflight: atomic::AtomicU32,
    report: atomic::AtomicU64,
    reported_ms: atomic::AtomicU64,
    /// Time of answers relative to their prediction, in percent; 0 before the first one.
    slow_percent: atomic::AtomicU64,
    slow_at_ms: atomic::AtomicU64,
    /// Time of the last refusal without a report; 0 before the first one.
    full_at_ms: atomic::AtomicU64,
}

impl Signal {
    /// Notes that an answer took `took_ms`, or was awaited for so long in vain, where
    /// `predicted_ms` was expected of a server that is as quick as its reports say.
    pub fn record_response_time(&self, now: clock::Millis, took_ms: f64, predicted_ms: f64) {
        let order = atomic::Ordering::Relaxed;
        let ratio = (took_ms / predicted_ms.max(1.0) * 100.0) as u64;
        let ratio = ratio.min(SLOW_MAX_PERCENT);
        let old = match self.slow_percent.load(order) {
            0 => 100,
            old => old,
        };
        let new = (old * (100 - SLOW_NEWEST_PERCENT) + ratio * SLOW_NEWEST_PERCENT) / 100;
        self.slow_percent.store(new.max(1), order);
        self.slow_at_ms.store(now.0, order);
    }

    /// Returns the factor by which answers of the server take longer than its reports say.
    pub fn unreported_slowdown(&self, now: clock::Millis) -> f64 {
        let order = atomic::Ordering::Relaxed;
        let percent = self.slow_percent.load(order);
        if percent < SLOW_MIN_PERCENT {
            return 1.0;
        }
        let age = now.since(clock::Millis(self.slow_at_ms.load(order)));
        1.0 + (percent as f64 / 100.0 - 1.0) * freshness(age, SLOW_MEMORY_MS)
    }

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
    pub fn record_report(&self, now: clock::Millis, report: Report, own: u32) {
        let others = (report.running + report.waiting).saturating_sub(own);
        let clip = |value: u32| u64::from(value).min(FIELD_MASK);
        let packed = PRESENT | clip(others) << FIELD_BITS | clip(report.slowdown_percent);
        self.report.store(packed, atomic::Ordering::Relaxed);
        self.reported_ms.store(now.0, atomic::Ordering::Relaxed);
    }

    /// Notes that the server refused a request as full and reported no load with it.
    pub fn record_full(&self, now: clock::Millis) {
        self.full_at_ms
            .store(now.0.max(1), atomic::Ordering::Relaxed);
    }

    /// Returns how likely the server is still full, from 0 to 1, where a refusal is remembered for
    /// `memory_ms`. A later report tells what it does now.
    pub fn full_likelihood(&self, now: clock::Millis, memory_ms: f64) -> f64 {
        let order = atomic::Ordering::Relaxed;
        match self.full_at_ms.load(order) {
            0 => 0.0,
            full_at if full_at < self.reported_ms.load(order) => 0.0,
            full_at => freshness(now.since(clock::Millis(full_at)), memory_ms),
        }
    }

    /// Returns the last report.
    pub fn last_report(&self, now: clock::Millis) -> Option<AgedReport> {
        let packed = self.report.load(atomic::Ordering::Relaxed);
        if packed & PRESENT == 0 {
            return None;
        }
        let reported = clock::Millis(self.reported_ms.load(atomic::Ordering::Relaxed));
        Some(AgedReport {
            others: ((packed >> FIELD_BITS) & FIELD_MASK) as u32,
            slowdown_percent: (packed & FIELD_MASK) as u32,
            age: now.since(reported),
        })
    }
}

//! Load signal of one server: its last load report and this process's own requests.

use nutmegdale_base::clock;
use std::sync::atomic;

/// Value of `slowdown_percent` at the normal speed of a server's VM.
pub const NO_SLOWDOWN_PERCENT: u32 = 100;

/// Load report of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Report {
    /// Requests that occupy a slot.
    pub running: u32,
    /// Requests queued at the server.
    pub waiting: u32,
    /// Requests that the server can run concurrently.
    pub slots: u32,
    /// Current service time in percent of the usual one.
    pub slowdown_percent: u32,
}

/// Values stored from the last load report, with its age.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct AgedReport {
    /// Requests of other processes, running or queued, at the time of the report.
    pub others: u32,
    /// Service time at the time of the report, in percent of the usual one.
    pub slowdown_percent: u32,
    /// Time since the report.
    pub age: clock::Millis,
}

/// Time without a response after which a slow server is assumed to have its normal speed again.
const UNREPORTED_SLOWDOWN_HORIZON_MS: f64 = 4_000.0;
/// Weight of a new sample in the moving average of the unreported slowdown, in percent.
const SLOWDOWN_SAMPLE_PERCENT: u64 = 40;
/// Unreported slowdown in percent below which a server counts as normal: the service times of
/// requests vary by as much.
const SLOWDOWN_MIN_PERCENT: u64 = 160;
/// Upper bound of a sample of the unreported slowdown, in percent.
const SLOWDOWN_MAX_PERCENT: u64 = 1_000;

const FIELD_BITS: u32 = 16;
const FIELD_MASK: u64 = (1 << FIELD_BITS) - 1;
/// Bit that is set once there is a report.
const PRESENT: u64 = 1 << 63;

/// Returns the weight of an observation made `age` ago. It falls linearly from 1 to 0 at
/// `horizon_ms`.
pub fn freshness(age: clock::Millis, horizon_ms: f64) -> f64 {
    (1.0 - age.0 as f64 / horizon_ms).max(0.0)
}

/// Load signal of one server.
///
/// Threads write without a lock, so a reader may briefly pair one report with the time of another,
/// which shifts an estimate by one report.
#[derive(Debug, Default)]
pub struct Signal {
    in_flight: atomic::AtomicU32,
    report: atomic::AtomicU64,
    reported_ms: atomic::AtomicU64,
    /// Moving average of response times in percent of their prediction; 0 before the first one.
    unreported_percent: atomic::AtomicU64,
    unreported_at_ms: atomic::AtomicU64,
    /// Time of the last rejection without a load report; 0 before the first one.
    full_at_ms: atomic::AtomicU64,
}

impl Signal {
    /// Records a response that took `took_ms`, or a request that was abandoned after that
    /// time without one. `predicted_ms` is the response time predicted from the server's reports
    /// alone.
    pub fn record_response_time(&self, now: clock::Millis, took_ms: f64, predicted_ms: f64) {
        let order = atomic::Ordering::Relaxed;
        let ratio = (took_ms / predicted_ms.max(1.0) * 100.0) as u64;
        let ratio = ratio.min(SLOWDOWN_MAX_PERCENT);
        let old = match self.unreported_percent.load(order) {
            0 => 100,
            old => old,
        };
        let new = (old * (100 - SLOWDOWN_SAMPLE_PERCENT) + ratio * SLOWDOWN_SAMPLE_PERCENT) / 100;
        self.unreported_percent.store(new.max(1), order);
        self.unreported_at_ms.store(now.0, order);
    }

    /// Returns the factor by which responses take longer than the server's reports predict.
    pub fn unreported_slowdown(&self, now: clock::Millis) -> f64 {
        let order = atomic::Ordering::Relaxed;
        let percent = self.unreported_percent.load(order);
        if percent < SLOWDOWN_MIN_PERCENT {
            return 1.0;
        }
        let age = now.since(clock::Millis(self.unreported_at_ms.load(order)));
        1.0 + (percent as f64 / 100.0 - 1.0) * freshness(age, UNREPORTED_SLOWDOWN_HORIZON_MS)
    }

    /// Counts a request as in flight, before it is sent.
    pub fn begin(&self) {
        self.in_flight.fetch_add(1, atomic::Ordering::Relaxed);
    }

    /// Removes a request that has ended from the count.
    pub fn end(&self) {
        self.in_flight.fetch_sub(1, atomic::Ordering::Relaxed);
    }

    /// Returns this process's requests in flight to the server.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(atomic::Ordering::Relaxed)
    }

    /// Records a load report; `own` of the requests that it counts are this process's.
    pub fn record_report(&self, now: clock::Millis, report: Report, own: u32) {
        let others = report
            .running
            .saturating_add(report.waiting)
            .saturating_sub(own);
        let clip = |value: u32| u64::from(value).min(FIELD_MASK);
        let packed = PRESENT | clip(others) << FIELD_BITS | clip(report.slowdown_percent);
        self.report.store(packed, atomic::Ordering::Relaxed);
        self.reported_ms.store(now.0, atomic::Ordering::Relaxed);
    }

    /// Records that the server rejected a request as full without a load report.
    pub fn record_full(&self, now: clock::Millis) {
        self.full_at_ms
            .store(now.0.max(1), atomic::Ordering::Relaxed);
    }

    /// Returns the likelihood, from 0 to 1, that the server is still full. A rejection counts for
    /// `horizon_ms` at most, and no longer once a newer load report has arrived.
    pub fn full_likelihood(&self, now: clock::Millis, horizon_ms: f64) -> f64 {
        let order = atomic::Ordering::Relaxed;
        match self.full_at_ms.load(order) {
            0 => 0.0,
            full_at if full_at < self.reported_ms.load(order) => 0.0,
            full_at => freshness(now.since(clock::Millis(full_at)), horizon_ms),
        }
    }

    /// Returns the last load report, or `None` before the first one.
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

//! Load signal of a server, as one entry process sees it.
//!
//! Every value that decays is packed with its timestamp into one atomic, so that a reader never
//! pairs a value with the timestamp of another one. Updates are relaxed: a lost race costs one
//! sample.

use crate::report;
use nutmegdale_base::clock;
use std::sync::atomic;
use std::sync::atomic::Ordering::Relaxed;

/// Time in which the reported number of other processes' requests halves.
///
/// In replays, 10 ms and 50 ms gave the same tail latency, and 250 ms up to 3% more at high load.
pub const REPORT_HALF_LIFE_MS: u64 = 50;
/// Time without a sample in which the latency estimate halves, so that a server that was slow is
/// tried again.
pub const LATENCY_HALF_LIFE_MS: u64 = 2_000;
/// Time without a sample in which the error rate halves; it bounds how often a failing server is
/// tried again.
pub const ERROR_HALF_LIFE_MS: u64 = 5_000;
/// Time for which a report of the draining state makes the server ineligible. Its announcement or
/// the end of its lease arrives sooner.
const DRAINING_REPORT_TTL_MS: u64 = 6_000;
/// Error rate of a server whose every response is an error.
pub const ERROR_ONE: u32 = 1 << 16;

/// Half-lives after which a decayed value counts as zero.
const HALVINGS_MAX_COUNT: u64 = 20;
/// Bits of a packed value; the other 40 hold the time in milliseconds, enough for 34 years.
const VALUE_BITS: u32 = 24;
const VALUE_MAX: u32 = (1 << VALUE_BITS) - 1;

/// Load signal of one server, shared by all routing views that list the server.
#[derive(Debug, Default)]
pub struct Signal {
    in_flight: atomic::AtomicU32,
    others: atomic::AtomicU64,
    latency_us: atomic::AtomicU64,
    errors: atomic::AtomicU64,
    warm_since_ms: atomic::AtomicU64,
    reported_state: atomic::AtomicU64,
}

impl Signal {
    /// Creates the signal of a server without samples.
    pub fn new() -> Signal {
        Signal::default()
    }

    /// Returns this entry process's requests in flight to the server.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Relaxed)
    }

    /// Counts a request as in flight.
    pub fn begin(&self) {
        self.in_flight.fetch_add(1, Relaxed);
    }

    /// Removes a request that has ended from the count.
    pub fn end(&self) {
        self.in_flight.fetch_sub(1, Relaxed);
    }

    /// Records a report that came with a response, while its request still counts as in flight.
    pub fn record_report(&self, now: clock::Millis, report: &report::Report) {
        // The server no longer counts the request of this response, so one less is this process's.
        let own = self.in_flight().saturating_sub(1);
        let total = report.running.saturating_add(report.waiting);
        self.others
            .store(pack(now, total.saturating_sub(own)), Relaxed);
        if let Some(state) = report.state {
            self.reported_state
                .store(pack(now, state as u32 + 1), Relaxed);
        }
    }

    /// Records a successful response and its time, network included.
    pub fn record_success(&self, now: clock::Millis, took_us: u64) {
        let sample = u32::try_from(took_us).unwrap_or(VALUE_MAX).min(VALUE_MAX);
        let estimate = self.latency_us(now);
        // One response in 33 is slow because of noise. A greater weight makes selections follow the
        // noise, which raised the tail latency in replays by up to 5%.
        let next = match estimate {
            0 => sample,
            estimate if sample > estimate => estimate + (sample - estimate) / 16,
            estimate => estimate - (estimate - sample) / 16,
        };
        self.latency_us.store(pack(now, next), Relaxed);
        let errors = self.error_rate(now);
        if errors > 0 {
            self.errors.store(pack(now, errors - errors / 4), Relaxed);
        }
    }

    /// Records a request that was cancelled without a response, and the time until then.
    ///
    /// Its response would have taken at least as long, so a higher estimate stays unchanged.
    /// Without this, a slow server whose requests all lose against hedges would never count as
    /// slow.
    pub fn record_cancellation(&self, now: clock::Millis, after_us: u64) {
        let sample = u32::try_from(after_us).unwrap_or(VALUE_MAX).min(VALUE_MAX);
        let estimate = self.latency_us(now);
        if sample > estimate {
            let next = estimate + (sample - estimate) / 4;
            self.latency_us.store(pack(now, next), Relaxed);
        }
    }

    /// Records a failure: an error status, a rejection, an incomplete response or a failed
    /// connection.
    ///
    /// It adds no latency sample, so that fast failures do not make the server look fast.
    pub fn record_failure(&self, now: clock::Millis) {
        let errors = self.error_rate(now);
        let next = errors + (ERROR_ONE - errors) / 4;
        self.errors.store(pack(now, next), Relaxed);
    }

    /// Sets the time at which the server became warm; it gets its full share
    /// [`crate::least_cost::RAMP_MS`] later.
    pub fn set_warm_since(&self, now: clock::Millis) {
        self.warm_since_ms.store(now.0, Relaxed);
    }

    /// Returns the time at which the server became warm, or zero if that is unset.
    pub fn warm_since(&self) -> clock::Millis {
        clock::Millis(self.warm_since_ms.load(Relaxed))
    }

    fn has_reported(&self, state: report::State) -> bool {
        unpack(self.reported_state.load(Relaxed)).1 == state as u32 + 1
    }

    /// Returns whether the last reported state is cold.
    pub fn is_reported_cold(&self) -> bool {
        self.has_reported(report::State::Cold)
    }

    /// Returns whether the last reported state is warm.
    pub fn is_reported_warm(&self) -> bool {
        self.has_reported(report::State::Warm)
    }

    /// Returns whether the last reported state is draining and recent. An older one is ignored,
    /// since a server without requests sends no newer report.
    pub fn is_reported_draining(&self, now: clock::Millis) -> bool {
        let (at, _) = unpack(self.reported_state.load(Relaxed));
        self.has_reported(report::State::Draining) && now.since(at).0 < DRAINING_REPORT_TTL_MS
    }

    /// Clears the reported state, once the directory has a newer one.
    pub fn clear_reported_state(&self) {
        self.reported_state.store(0, Relaxed);
    }

    /// Returns other processes' requests by the last report, decayed with its age, in thousandths.
    pub fn others_milli(&self, now: clock::Millis) -> u64 {
        let (at, others) = unpack(self.others.load(Relaxed));
        let milli = u64::from(others) * 1_000;
        decay(milli, now.since(at).0, REPORT_HALF_LIFE_MS)
    }

    /// Returns the estimated response time in microseconds, or 0 without samples.
    pub fn latency_us(&self, now: clock::Millis) -> u32 {
        let (at, value) = unpack(self.latency_us.load(Relaxed));
        decay(u64::from(value), now.since(at).0, LATENCY_HALF_LIFE_MS) as u32
    }

    /// Returns the share of failures among recent responses, from 0 to [`ERROR_ONE`].
    pub fn error_rate(&self, now: clock::Millis) -> u32 {
        let (at, value) = unpack(self.errors.load(Relaxed));
        decay(u64::from(value), now.since(at).0, ERROR_HALF_LIFE_MS) as u32
    }
}

fn pack(at: clock::Millis, value: u32) -> u64 {
    at.0 << VALUE_BITS | u64::from(value.min(VALUE_MAX))
}

fn unpack(packed: u64) -> (clock::Millis, u32) {
    let value = packed & u64::from(VALUE_MAX);
    (clock::Millis(packed >> VALUE_BITS), value as u32)
}

/// Halves `value` for each half-life, with linear interpolation; integers keep replays exact.
fn decay(value: u64, age_ms: u64, half_life_ms: u64) -> u64 {
    let halvings = age_ms / half_life_ms;
    if value == 0 || halvings >= HALVINGS_MAX_COUNT {
        return 0;
    }
    let start = value >> halvings;
    let rest = age_ms % half_life_ms;
    start - start * rest / (2 * half_life_ms)
}

//! What an entry process knows of a server's load.
//!
//! Every value that ages is packed with its time into one atomic, so that a reader never pairs a
//! value with the time of another one. Updates are relaxed: a lost race costs one sample.

use crate::report;
use nutmegdale_base::clock;
use std::sync::atomic;
use std::sync::atomic::Ordering::Relaxed;

/// Time in which a report of other processes' requests loses half of its weight.
///
/// In replays, 10 ms and 50 ms gave the same tails and 250 ms up to 3% longer ones at high load.
pub const REPORT_HALF_LIFE_MS: u64 = 50;
/// Time without a sample in which the latency estimate halves, so that a server that was slow gets
/// a request again.
pub const LATENCY_HALF_LIFE_MS: u64 = 2_000;
/// Time without a sample in which the error rate halves; it bounds how often a failing server is
/// tried again.
pub const ERROR_HALF_LIFE_MS: u64 = 5_000;
/// Time for which a report that names the server draining keeps requests away; the announcement of
/// it, or the end of its lease, comes sooner.
const DRAINING_HEARD_MS: u64 = 6_000;
/// Error rate of a server whose every answer is an error.
pub const ERROR_ONE: u32 = 1 << 16;

/// Half-lives after which an aged value counts as zero.
const HALVINGS_MAX_COUNT: u64 = 20;
/// Bits of a packed value; the time takes the rest, which lasts for 34 years.
const VALUE_BITS: u32 = 24;
const VALUE_MAX: u32 = (1 << VALUE_BITS) - 1;

/// Load signal of one server, shared by every view that lists the server.
#[derive(Debug, Default)]
pub struct Signal {
    in_flight: atomic::AtomicU32,
    others: atomic::AtomicU64,
    latency_us: atomic::AtomicU64,
    errors: atomic::AtomicU64,
    warm_since_ms: atomic::AtomicU64,
    heard: atomic::AtomicU64,
}

impl Signal {
    /// Creates the signal of a server that nothing is known of.
    pub fn new() -> Signal {
        Signal::default()
    }

    /// Returns the requests of this entry process that are at the server.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Relaxed)
    }

    /// Counts a request that is sent.
    pub fn begin(&self) {
        self.in_flight.fetch_add(1, Relaxed);
    }

    /// Counts the end of a request.
    pub fn end(&self) {
        self.in_flight.fetch_sub(1, Relaxed);
    }

    /// Takes a report that came with an answer, while that answer's request is still counted.
    pub fn record_report(&self, now: clock::Millis, report: &report::Report) {
        // The server counts the answered request no more, so this process's share is one less.
        let own = self.in_flight().saturating_sub(1);
        let present = report.running.saturating_add(report.waiting);
        self.others
            .store(pack(now, present.saturating_sub(own)), Relaxed);
        if let Some(state) = report.state {
            self.heard.store(pack(now, state as u32 + 1), Relaxed);
        }
    }

    /// Takes the time that a successful answer took, network included.
    pub fn record_success(&self, now: clock::Millis, took_us: u64) {
        let sample = u32::try_from(took_us).unwrap_or(VALUE_MAX).min(VALUE_MAX);
        let known = self.latency_us(now);
        // One answer in 33 is slow by noise; a greater weight makes choices follow the noise, and
        // in replays tails of up to 5% longer.
        let next = match known {
            0 => sample,
            known if sample > known => known + (sample - known) / 16,
            known => known - (known - sample) / 16,
        };
        self.latency_us.store(pack(now, next), Relaxed);
        let errors = self.error_rate(now);
        if errors > 0 {
            self.errors.store(pack(now, errors - errors / 4), Relaxed);
        }
    }

    /// Takes the time after which a request was given up without an answer.
    ///
    /// Its answer would have taken at least as long, so a longer estimate stays as it is. Without
    /// this, a slow server whose requests are all overtaken by hedges would never look slow.
    pub fn record_cancellation(&self, now: clock::Millis, after_us: u64) {
        let sample = u32::try_from(after_us).unwrap_or(VALUE_MAX).min(VALUE_MAX);
        let known = self.latency_us(now);
        if sample > known {
            let next = known + (sample - known) / 4;
            self.latency_us.store(pack(now, next), Relaxed);
        }
    }

    /// Takes a failure: an error status, a refusal, a broken answer or a failed connection.
    ///
    /// The time that it took is no sample of latency, so that fast failures look no better.
    pub fn record_failure(&self, now: clock::Millis) {
        let errors = self.error_rate(now);
        let next = errors + (ERROR_ONE - errors) / 4;
        self.errors.store(pack(now, next), Relaxed);
    }

    /// Sets when the server became warm; it gets its full share [`crate::least_cost::RAMP_MS`]
    /// later.
    pub fn set_warm_since(&self, now: clock::Millis) {
        self.warm_since_ms.store(now.0, Relaxed);
    }

    /// Returns when the server became warm.
    pub fn warm_since(&self) -> clock::Millis {
        clock::Millis(self.warm_since_ms.load(Relaxed))
    }

    fn has_heard(&self, state: report::State) -> bool {
        unpack(self.heard.load(Relaxed)).1 == state as u32 + 1
    }

    /// Returns whether the last report named the server cold.
    pub fn is_reported_cold(&self) -> bool {
        self.has_heard(report::State::Cold)
    }

    /// Returns whether the last report named the server warm.
    pub fn is_reported_warm(&self) -> bool {
        self.has_heard(report::State::Warm)
    }

    /// Returns whether a recent report named the server draining; an old one is forgotten, since a
    /// server without requests sends no other.
    pub fn is_reported_draining(&self, now: clock::Millis) -> bool {
        let (at, _) = unpack(self.heard.load(Relaxed));
        self.has_heard(report::State::Draining) && now.since(at).0 < DRAINING_HEARD_MS
    }

    /// Forgets the state that a report named, once the directory names a new one.
    pub fn clear_reported_state(&self) {
        self.heard.store(0, Relaxed);
    }

    /// Returns other processes' requests at the server by its last report, aged, in thousandths.
    pub fn others_milli(&self, now: clock::Millis) -> u64 {
        let (at, others) = unpack(self.others.load(Relaxed));
        let milli = u64::from(others) * 1_000;
        aged(milli, now.since(at).0, REPORT_HALF_LIFE_MS)
    }

    /// Returns the estimate of the time of an answer, or 0 if there is none.
    pub fn latency_us(&self, now: clock::Millis) -> u32 {
        let (at, value) = unpack(self.latency_us.load(Relaxed));
        aged(u64::from(value), now.since(at).0, LATENCY_HALF_LIFE_MS) as u32
    }

    /// Returns the share of failures among recent answers, from 0 to [`ERROR_ONE`].
    pub fn error_rate(&self, now: clock::Millis) -> u32 {
        let (at, value) = unpack(self.errors.load(Relaxed));
        aged(u64::from(value), now.since(at).0, ERROR_HALF_LIFE_MS) as u32
    }
}

fn pack(at: clock::Millis, value: u32) -> u64 {
    at.0 << VALUE_BITS | u64::from(value.min(VALUE_MAX))
}

fn unpack(packed: u64) -> (clock::Millis, u32) {
    let value = packed & u64::from(VALUE_MAX);
    (clock::Millis(packed >> VALUE_BITS), value as u32)
}

/// Halves `value` for each half-life, linear in between; integers keep replays exact.
fn aged(value: u64, age_ms: u64, half_life_ms: u64) -> u64 {
    let halvings = age_ms / half_life_ms;
    if value == 0 || halvings >= HALVINGS_MAX_COUNT {
        return 0;
    }
    let start = value >> halvings;
    let rest = age_ms % half_life_ms;
    start - start * rest / (2 * half_life_ms)
}

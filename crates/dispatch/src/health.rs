//! Takes a server out of the choice while its answers show that it fails.
//!
//! Health checks may say well while every request fails, so answers to requests decide. A server
//! that is taken out returns for one trial request at a time.

use nutmegdale_base::clock;
use std::sync::atomic;

/// First time out after a failure to connect.
const OUT_MIN_MS: clock::Millis = clock::Millis(250);
/// Longest time out, so that a server that is back serves again within a few seconds.
const OUT_MAX_MS: clock::Millis = clock::Millis(4_000);
/// Share of failed answers, in per mille, at which a server is taken out.
const FAILING_PERMILLE: u32 = 300;
/// Weight of the newest answer in the share of failed ones, in percent. It is small enough that
/// one failure among good answers takes no server out.
const NEWEST_PERCENT: u32 = 20;

/// How a request to a server failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// No connection could be made.
    Connect,
    /// The server answered with an error, or broke off.
    Answer,
    /// The server did not answer in time.
    Silence,
    /// Another server, or another start of the server, holds the address.
    Replaced,
}

/// Failures of one server.
#[derive(Debug, Default)]
pub struct Health {
    failed_permille: atomic::AtomicU32,
    /// Times that it was taken out without a good answer since.
    outs_count: atomic::AtomicU32,
    out_until_ms: atomic::AtomicU64,
}

impl Health {
    /// Returns whether the server takes part in the choice.
    pub fn is_eligible(&self, now: clock::Millis) -> bool {
        now.0 >= self.out_until_ms.load(atomic::Ordering::Relaxed)
    }

    /// Returns the share of answers that failed lately, from 0 to 1.
    pub fn failed_share(&self) -> f64 {
        f64::from(self.failed_permille.load(atomic::Ordering::Relaxed)) / 1000.0
    }

    /// Returns whether the next request is a trial after a time out.
    pub fn is_on_trial(&self) -> bool {
        self.outs_count.load(atomic::Ordering::Relaxed) > 0
    }

    /// Notes that a trial request is sent, so that no second one joins it before it has ended.
    pub fn begin_trial(&self, now: clock::Millis) {
        if self.is_on_trial() {
            self.out_until(now + OUT_MIN_MS);
        }
    }

    /// Notes a good answer.
    pub fn record_success(&self) {
        let order = atomic::Ordering::Relaxed;
        if self.outs_count.load(order) == 0 && self.failed_permille.load(order) == 0 {
            return;
        }
        self.blend(0);
        self.outs_count.store(0, order);
        self.out_until_ms.store(0, order);
    }

    /// Notes a failure; returns the time for which the server is taken out, if it is.
    pub fn record_failure(&self, now: clock::Millis, failure: Failure) -> Option<clock::Millis> {
        let share = match failure {
            Failure::Connect | Failure::Replaced => {
                self.failed_permille.load(atomic::Ordering::Relaxed)
            }
            Failure::Answer | Failure::Silence => self.blend(1000),
        };
        let is_out = match failure {
            Failure::Connect | Failure::Replaced => true,
            Failure::Answer | Failure::Silence => share >= FAILING_PERMILLE || self.is_on_trial(),
        };
        if !is_out {
            return None;
        }
        let outs = self.outs_count.fetch_add(1, atomic::Ordering::Relaxed);
        let span = match failure {
            // Only an announcement can bring a replaced server back.
            Failure::Replaced => OUT_MAX_MS,
            _ => clock::Millis((OUT_MIN_MS.0 << outs.min(4)).min(OUT_MAX_MS.0)),
        };
        self.out_until(now + span);
        Some(span)
    }

    fn out_until(&self, until: clock::Millis) {
        self.out_until_ms.store(until.0, atomic::Ordering::Relaxed);
    }

    fn blend(&self, permille: u32) -> u32 {
        let order = atomic::Ordering::Relaxed;
        let old = self.failed_permille.load(order);
        let new = (old * (100 - NEWEST_PERCENT) + permille * NEWEST_PERCENT) / 100;
        self.failed_permille.store(new, order);
        new
    }
}

//! Ejects a server from the candidates while its responses show that it fails.
//!
//! Health checks may pass while every request fails, so responses to requests decide. An ejected
//! server is readmitted with one trial request at a time.

use nutmegdale_base::clock;
use std::sync::atomic;

/// Duration of the first ejection; it doubles with each further one.
const EJECTION_MIN_MS: clock::Millis = clock::Millis(250);
/// Longest ejection, so that a server that has recovered serves again within a few seconds.
const EJECTION_MAX_MS: clock::Millis = clock::Millis(4_000);
/// Share of failed responses, in per mille, at which a server is ejected.
const FAILING_PERMILLE: u32 = 300;
/// Weight of a new response in the moving average of the share of failed ones, in percent. It is
/// small enough that one failure among successful responses ejects no server.
const SAMPLE_PERCENT: u32 = 20;

/// How a request to a server failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// No connection could be made.
    Connect,
    /// The server responded with an error or broke off the response.
    Answer,
    /// The server did not respond in time.
    Silence,
    /// Another server, or another incarnation of the server, holds the address.
    Replaced,
}

/// Failure history of one server.
#[derive(Debug, Default)]
pub struct Health {
    failed_permille: atomic::AtomicU32,
    /// Ejections since the last successful response.
    ejections_count: atomic::AtomicU32,
    ejected_until_ms: atomic::AtomicU64,
}

impl Health {
    /// Returns whether the server may be chosen, that is, whether it is not ejected.
    pub fn is_eligible(&self, now: clock::Millis) -> bool {
        now.0 >= self.ejected_until_ms.load(atomic::Ordering::Relaxed)
    }

    /// Returns the moving average of the share of failed responses, from 0 to 1.
    pub fn failed_share(&self) -> f64 {
        f64::from(self.failed_permille.load(atomic::Ordering::Relaxed)) / 1000.0
    }

    /// Returns whether the next request is a trial after an ejection.
    pub fn is_on_trial(&self) -> bool {
        self.ejections_count.load(atomic::Ordering::Relaxed) > 0
    }

    /// Records that a trial request is sent, so that no other request joins it before it has ended.
    pub fn begin_trial(&self, now: clock::Millis) {
        if self.is_on_trial() {
            self.eject_until(now + EJECTION_MIN_MS);
        }
    }

    /// Records a successful response.
    pub fn record_success(&self) {
        let order = atomic::Ordering::Relaxed;
        if self.ejections_count.load(order) == 0 && self.failed_permille.load(order) == 0 {
            return;
        }
        self.update_share(0);
        self.ejections_count.store(0, order);
        self.ejected_until_ms.store(0, order);
    }

    /// Records a failure; returns the duration of the ejection if the server is ejected.
    pub fn record_failure(&self, now: clock::Millis, failure: Failure) -> Option<clock::Millis> {
        let share = match failure {
            Failure::Connect | Failure::Replaced => {
                self.failed_permille.load(atomic::Ordering::Relaxed)
            }
            Failure::Answer | Failure::Silence => self.update_share(1000),
        };
        let is_ejected = match failure {
            Failure::Connect | Failure::Replaced => true,
            Failure::Answer | Failure::Silence => share >= FAILING_PERMILLE || self.is_on_trial(),
        };
        if !is_ejected {
            return None;
        }
        let ejections = self.ejections_count.fetch_add(1, atomic::Ordering::Relaxed);
        let span = match failure {
            // Only an announcement can bring a replaced server back.
            Failure::Replaced => EJECTION_MAX_MS,
            _ => clock::Millis((EJECTION_MIN_MS.0 << ejections.min(4)).min(EJECTION_MAX_MS.0)),
        };
        self.eject_until(now + span);
        Some(span)
    }

    fn eject_until(&self, until: clock::Millis) {
        self.ejected_until_ms
            .store(until.0, atomic::Ordering::Relaxed);
    }

    fn update_share(&self, permille: u32) -> u32 {
        let order = atomic::Ordering::Relaxed;
        let old = self.failed_permille.load(order);
        let new = (old * (100 - SAMPLE_PERCENT) + permille * SAMPLE_PERCENT) / 100;
        self.failed_permille.store(new, order);
        new
    }
}

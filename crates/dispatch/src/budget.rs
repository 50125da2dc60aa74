//! Retry budget of one service: this process's share of the limit on retries and hedges.
//!
//! In each window, all processes together may send a fraction of the service's requests again, plus
//! a fixed number. Each process deposits the fraction for its own requests, and the fixed number is
//! divided evenly among the processes.
//!
//! Load pattern: many servers slow down or break off responses at once, so that processes with a
//! few requests per second each need a few retries within a moment. A process therefore saves up
//! recent deposits, as far as the limit holds when all processes spend their savings in one window.

use nutmegdale_base::clock;
use std::sync;

/// Part of the limit that is handed out, in percent. The rest is a margin for two effects: requests
/// that clients sent but that never arrived here count for the limit too, and its windows slide.
const USED_PERCENT: f64 = 70.0;

/// Limit on retries and hedges over all processes.
#[derive(Debug, Clone, Copy)]
pub struct Bound {
    /// Retries and hedges allowed per request.
    pub ratio: f64,
    /// Retries and hedges allowed in each window on top of that.
    pub slack: f64,
    /// Length of a window of the limit.
    pub window: clock::Millis,
}

/// Retry budget of one service in one process.
#[derive(Debug)]
pub struct Budget {
    tokens: sync::Mutex<Tokens>,
}

#[derive(Debug)]
struct Tokens {
    count: f64,
    refilled: clock::Millis,
    /// Client requests of about the last window, decayed linearly.
    recent_count: f64,
}

impl Budget {
    /// Creates a budget that starts with half of the process's share of the slack.
    pub fn new(now: clock::Millis, bound: &Bound, processes: usize) -> Budget {
        let count = Budget::slack_share(bound, processes) / 2.0;
        Budget {
            tokens: sync::Mutex::new(Tokens {
                count,
                refilled: now,
                recent_count: 0.0,
            }),
        }
    }

    fn slack_share(bound: &Bound, processes: usize) -> f64 {
        bound.slack * USED_PERCENT / 100.0 / processes.max(1) as f64
    }

    fn tokens(&self) -> sync::MutexGuard<'_, Tokens> {
        self.tokens
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Deposits the tokens for one client request.
    pub fn deposit(&self, now: clock::Millis, bound: &Bound, processes: usize) {
        let mut tokens = self.tokens();
        tokens.refill(now, bound, processes);
        tokens.recent_count += 1.0;
        tokens.count += bound.ratio * USED_PERCENT / 100.0;
        tokens.cap(bound, processes);
    }

    /// Withdraws one token for a retry or hedge; returns whether there was one.
    pub fn withdraw(&self, now: clock::Millis, bound: &Bound, processes: usize) -> bool {
        self.withdraw_above(now, bound, processes, 0.0)
    }

    /// Withdraws one token if `kept` tokens are left; returns whether that was possible. The rest
    /// is kept for retries that are worth more.
    pub fn withdraw_above(
        &self,
        now: clock::Millis,
        bound: &Bound,
        processes: usize,
        kept: f64,
    ) -> bool {
        let mut tokens = self.tokens();
        tokens.refill(now, bound, processes);
        tokens.cap(bound, processes);
        if tokens.count < 1.0 + kept {
            return false;
        }
        tokens.count -= 1.0;
        true
    }

    /// Returns the token of a retry or hedge that was not sent.
    pub fn refund(&self) {
        self.tokens().count += 1.0;
    }
}

impl Tokens {
    fn refill(&mut self, now: clock::Millis, bound: &Bound, processes: usize) {
        let windows = now.since(self.refilled).0 as f64 / bound.window.0.max(1) as f64;
        self.refilled = now;
        // Half of the share is the initial balance; the other half is refilled over each window.
        self.count += Budget::slack_share(bound, processes) / 2.0 * windows;
        self.recent_count *= (1.0 - windows).max(0.0);
    }

    /// Limits the balance to what all processes may spend at once: the share of the slack, plus
    /// half of the unused part of the ratio over the recent requests.
    fn cap(&mut self, bound: &Bound, processes: usize) {
        let unused = bound.ratio * (100.0 - USED_PERCENT) / 200.0 * self.recent_count;
        let capacity = Budget::slack_share(bound, processes) + unused;
        self.count = self.count.min(capacity.max(1.0));
    }
}

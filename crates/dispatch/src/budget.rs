//! Budget of second sends of one service, this process's part of it.
//!
//! All processes together may add a share of the service's requests and a fixed number in each
//! window. A process earns its share from its own requests, and the fixed number is divided evenly.
//!
//! Load pattern: servers that turn slow or break answers in many places at once, which asks for a
//! few second sends within a moment at processes that see a few requests a second each. A process
//! therefore saves up what it earned lately, as far as all may spend their savings in one window.

use nutmegdale_base::clock;
use std::sync;

/// Part of the bound that is used, in percent. Requests that clients sent and that never arrived
/// here count for the bound but are unknown, and windows slide.
const USED_PERCENT: f64 = 70.0;

/// Bound over all processes.
#[derive(Debug, Clone, Copy)]
pub struct Bound {
    /// Second sends for each request.
    pub ratio: f64,
    /// Second sends in each window besides.
    pub slack: f64,
    /// Length of a window.
    pub window: clock::Millis,
}

/// Budget of one service in one process.
#[derive(Debug)]
pub struct Budget {
    tokens: sync::Mutex<Tokens>,
}

#[derive(Debug)]
struct Tokens {
    count: f64,
    filled: clock::Millis,
    /// Requests of clients within about the last window.
    recent_count: f64,
}

impl Budget {
    /// Creates a budget that begins with its part of the fixed number.
    pub fn new(now: clock::Millis, bound: &Bound, processes: usize) -> Budget {
        let count = Budget::fixed(bound, processes) / 2.0;
        Budget {
            tokens: sync::Mutex::new(Tokens {
                count,
                filled: now,
                recent_count: 0.0,
            }),
        }
    }

    fn fixed(bound: &Bound, processes: usize) -> f64 {
        bound.slack * USED_PERCENT / 100.0 / processes.max(1) as f64
    }

    fn tokens(&self) -> sync::MutexGuard<'_, Tokens> {
        self.tokens
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Earns for one request of a client.
    pub fn deposit(&self, now: clock::Millis, bound: &Bound, processes: usize) {
        let mut tokens = self.tokens();
        tokens.refill(now, bound, processes);
        tokens.recent_count += 1.0;
        tokens.count += bound.ratio * USED_PERCENT / 100.0;
        tokens.cap(bound, processes);
    }

    /// Takes the right to one second send.
    pub fn withdraw(&self, now: clock::Millis, bound: &Bound, processes: usize) -> bool {
        let mut tokens = self.tokens();
        tokens.refill(now, bound, processes);
        tokens.cap(bound, processes);
        if tokens.count < 1.0 {
            return false;
        }
        tokens.count -= 1.0;
        true
    }
}

impl Tokens {
    fn refill(&mut self, now: clock::Millis, bound: &Bound, processes: usize) {
        let windows = now.since(self.filled).0 as f64 / bound.window.0.max(1) as f64;
        self.filled = now;
        // Half of the fixed number is the store; the other half comes back within a window.
        self.count += Budget::fixed(bound, processes) / 2.0 * windows;
        self.recent_count *= (1.0 - windows).max(0.0);
    }

    /// Forgets savings beyond what all processes may spend at once: their part of the fixed number,
    /// and half of the part of the ratio that is not used up by what they earn meanwhile.
    fn cap(&mut self, bound: &Bound, processes: usize) {
        let unused = bound.ratio * (100.0 - USED_PERCENT) / 200.0 * self.recent_count;
        let most = Budget::fixed(bound, processes) + unused;
        self.count = self.count.min(most.max(1.0));
    }
}

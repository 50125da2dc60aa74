//! Budget of second sends of one service, this process's part of it.
//!
//! All processes together may add a share of the service's requests and a fixed number in each
//! window. A process earns its share from its own requests, and the fixed number is divided evenly.

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
}

impl Budget {
    /// Creates a budget that begins with its part of the fixed number.
    pub fn new(now: clock::Millis, bound: &Bound, processes: usize) -> Budget {
        let count = Budget::fixed(bound, processes) / 2.0;
        Budget {
            tokens: sync::Mutex::new(Tokens { count, filled: now }),
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
    pub fn earn(&self, bound: &Bound, processes: usize) {
        let mut tokens = self.tokens();
        let most = Budget::fixed(bound, processes).max(1.0);
        tokens.count = (tokens.count + bound.ratio * USED_PERCENT / 100.0).min(most);
    }

    /// Takes the right to one second send.
    pub fn take(&self, now: clock::Millis, bound: &Bound, processes: usize) -> bool {
        let mut tokens = self.tokens();
        let fixed = Budget::fixed(bound, processes);
        let passed = now.since(tokens.filled);
        tokens.filled = now;
        // Half of the fixed number is the store; the other half comes back within a window.
        let back = fixed / 2.0 * passed.0 as f64 / bound.window.0.max(1) as f64;
        tokens.count = (tokens.count + back).min(fixed.max(1.0));
        if tokens.count < 1.0 {
            return false;
        }
        tokens.count -= 1.0;
        true
    }
}

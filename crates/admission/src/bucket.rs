//! Lock-free token bucket in one atomic.

use nutmegdale_base::clock;
use std::sync::atomic;
use std::sync::atomic::Ordering::{AcqRel, Acquire};

const MICROS_PER_SEC: u64 = 1_000_000;

/// Rate and burst of a bucket; passed with each call, so that they can change at any time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rate {
    /// Units per second; 0 admits nothing.
    pub per_sec: u64,
    /// Units that a full bucket admits at once.
    pub burst: u64,
}

impl Rate {
    /// Returns a rate whose burst is the units of a tenth of a second, but at least one.
    pub fn smooth(per_sec: u64) -> Rate {
        Rate {
            per_sec,
            burst: (per_sec / 10).max(1),
        }
    }

    fn micros(self, units: u64) -> u64 {
        let micros = u128::from(units) * u128::from(MICROS_PER_SEC) / u128::from(self.per_sec);
        u64::try_from(micros).unwrap_or(u64::MAX / 4)
    }
}

/// Token bucket, stored as the time at which it will be full again.
///
/// Invariant: in any span of t seconds, [`Bucket::take`] admits at most `per_sec × t + burst`
/// units.
#[derive(Debug, Default)]
pub struct Bucket {
    full_at_us: atomic::AtomicU64,
}

impl Bucket {
    /// Creates a full bucket.
    pub fn new() -> Bucket {
        Bucket::default()
    }

    /// Takes `units`, or returns the time until they are available.
    ///
    /// # Errors
    ///
    /// Takes nothing and returns the time to wait, which is [`clock::Millis::MAX`] for more units
    /// than the burst and for a rate of 0.
    pub fn take(&self, now: clock::Millis, units: u64, rate: Rate) -> Result<(), clock::Millis> {
        if rate.per_sec == 0 || units > rate.burst {
            return Err(clock::Millis::MAX);
        }
        let now_us = now.0.saturating_mul(1_000);
        let latest_us = now_us + rate.micros(rate.burst);
        let cost_us = rate.micros(units);
        let next =
            |full_at: u64| Some(full_at.max(now_us) + cost_us).filter(|next| *next <= latest_us);
        match self.full_at_us.fetch_update(AcqRel, Acquire, next) {
            Ok(_) => Ok(()),
            Err(full_at) => {
                let wait_us = full_at.max(now_us) + cost_us - latest_us;
                Err(clock::Millis(wait_us.div_ceil(1_000)))
            }
        }
    }

    /// Takes `units` that were already used; the bucket may go into debt.
    pub fn charge(&self, now: clock::Millis, units: u64, rate: Rate) {
        if rate.per_sec == 0 {
            return;
        }
        let now_us = now.0.saturating_mul(1_000);
        let cost_us = rate.micros(units);
        let next = |full_at: u64| Some(full_at.max(now_us).saturating_add(cost_us));
        // The closure always returns a value.
        let _ = self.full_at_us.fetch_update(AcqRel, Acquire, next);
    }

    /// Checks that the bucket is not in debt.
    ///
    /// # Errors
    ///
    /// Returns the time until the debt is paid off.
    pub fn check(&self, now: clock::Millis, rate: Rate) -> Result<(), clock::Millis> {
        if rate.per_sec == 0 {
            return Err(clock::Millis::MAX);
        }
        let latest_us = now.0.saturating_mul(1_000) + rate.micros(rate.burst);
        let full_at = self.full_at_us.load(Acquire);
        if full_at <= latest_us {
            return Ok(());
        }
        Err(clock::Millis((full_at - latest_us).div_ceil(1_000)))
    }

    /// Returns `units` that were taken but not used to the bucket.
    pub fn refund(&self, units: u64, rate: Rate) {
        if rate.per_sec == 0 {
            return;
        }
        let cost_us = rate.micros(units);
        let next = |full_at: u64| Some(full_at.saturating_sub(cost_us));
        // The closure always returns a value.
        let _ = self.full_at_us.fetch_update(AcqRel, Acquire, next);
    }
}

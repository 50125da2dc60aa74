//! Token bucket in one atomic.

use nutmegdale_base::clock;
use std::sync::atomic;
use std::sync::atomic::Ordering::{AcqRel, Acquire};

const MICROS_PER_SEC: u64 = 1_000_000;

/// Rate and burst of a bucket; passed with each call, so that a share may change at any time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rate {
    /// Units per second; 0 lets nothing pass.
    pub per_sec: u64,
    /// Units that may pass at once after a quiet time.
    pub burst: u64,
}

impl Rate {
    /// Returns a rate with a burst of a tenth of a second, at least one unit.
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

/// Token bucket, held as the time at which it would be full again.
///
/// Invariant: in any span of t seconds, [`Bucket::take`] lets at most `per_sec × t + burst` units
/// pass.
#[derive(Debug, Default)]
pub struct Bucket {
    full_at_us: atomic::AtomicU64,
}

impl Bucket {
    /// Creates a full bucket.
    pub fn new() -> Bucket {
        Bucket::default()
    }

    /// Takes `units`, or returns the time until they are there.
    ///
    /// # Errors
    ///
    /// Takes nothing and returns the time to wait; units beyond the burst never pass.
    pub fn take(&self, now: clock::Millis, units: u64, rate: Rate) -> Result<(), clock::Millis> {
        if rate.per_sec == 0 || units > rate.burst {
            return Err(clock::Millis::MAX);
        }
        let now_us = now.0.saturating_mul(1_000);
        let latest = now_us + rate.micros(rate.burst);
        let added = rate.micros(units);
        let next = |full: u64| Some(full.max(now_us) + added).filter(|next| *next <= latest);
        match self.full_at_us.fetch_update(AcqRel, Acquire, next) {
            Ok(_) => Ok(()),
            Err(full) => {
                let wait_us = full.max(now_us) + added - latest;
                Err(clock::Millis(wait_us.div_ceil(1_000)))
            }
        }
    }

    /// Takes `units` that were used already; the bucket may go into debt.
    pub fn charge(&self, now: clock::Millis, units: u64, rate: Rate) {
        if rate.per_sec == 0 {
            return;
        }
        let now_us = now.0.saturating_mul(1_000);
        let added = rate.micros(units);
        let next = |full: u64| Some(full.max(now_us).saturating_add(added));
        // The closure always returns a value.
        let _ = self.full_at_us.fetch_update(AcqRel, Acquire, next);
    }

    /// Returns whether nothing is owed beyond the burst, or the time until that is so.
    ///
    /// # Errors
    ///
    /// Returns the time to wait.
    pub fn check(&self, now: clock::Millis, rate: Rate) -> Result<(), clock::Millis> {
        if rate.per_sec == 0 {
            return Err(clock::Millis::MAX);
        }
        let latest = now.0.saturating_mul(1_000) + rate.micros(rate.burst);
        let full = self.full_at_us.load(Acquire);
        if full <= latest {
            return Ok(());
        }
        Err(clock::Millis((full - latest).div_ceil(1_000)))
    }

    /// Gives back `units` that were taken and not used.
    pub fn refund(&self, units: u64, rate: Rate) {
        if rate.per_sec == 0 {
            return;
        }
        let added = rate.micros(units);
        let next = |full: u64| Some(full.saturating_sub(added));
        // The closure always returns a value.
        let _ = self.full_at_us.fetch_update(AcqRel, Acquire, next);
    }
}

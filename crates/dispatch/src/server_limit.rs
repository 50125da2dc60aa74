//! Rate limit that a server names in its responses: the requests per second that it takes from all
//! entry processes together, for as long as its responses say so.

use std::sync::atomic;

/// Request rate in thousandths of a request per second, so that equal rates compare as equal in all
/// processes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rate {
    /// Thousandths of a request per second.
    pub milli_per_s: u32,
}

impl Rate {
    /// Converts a rate in requests per second; larger ones than the type holds are cut to its
    /// maximum, which limits nothing. Returns `None` for a negative value or one that is no number.
    pub fn from_per_s(per_s: f64) -> Option<Rate> {
        let milli_per_s = (per_s * 1_000.0).min(f64::from(u32::MAX));
        (milli_per_s >= 0.0).then_some(Rate {
            milli_per_s: milli_per_s as u32,
        })
    }

    /// Returns the rate in requests per second.
    pub fn per_s(self) -> f64 {
        f64::from(self.milli_per_s) / 1_000.0
    }
}

/// What the head of a response says about a limit.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Stated {
    /// It names none.
    #[default]
    Nothing,
    /// It names this limit.
    Limit(Rate),
    /// It names a limit that cannot be read, which says neither that there is one nor that there is
    /// none.
    Unreadable,
}

/// Value of [`Current`] without a limit.
const NO_LIMIT: u64 = u64::MAX;

/// Limit of one incarnation of a server, as an entry process knows it.
#[derive(Debug)]
pub struct Current {
    milli_per_s: atomic::AtomicU64,
}

impl Default for Current {
    fn default() -> Current {
        Current {
            milli_per_s: atomic::AtomicU64::new(NO_LIMIT),
        }
    }
}

impl Current {
    /// Returns the limit, if there is one.
    pub fn get(&self) -> Option<Rate> {
        let milli_per_s = self.milli_per_s.load(atomic::Ordering::Acquire);
        let milli_per_s = u32::try_from(milli_per_s).ok()?;
        Some(Rate { milli_per_s })
    }

    /// Replaces the limit; returns the one before.
    pub fn set(&self, rate: Option<Rate>) -> Option<Rate> {
        let milli_per_s = rate.map_or(NO_LIMIT, |rate| u64::from(rate.milli_per_s));
        let before = self.milli_per_s.swap(milli_per_s, atomic::Ordering::AcqRel);
        let milli_per_s = u32::try_from(before).ok()?;
        Some(Rate { milli_per_s })
    }
}

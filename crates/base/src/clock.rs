//! Time in milliseconds, read through a trait so that decisions can be replayed.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::ops;
use std::sync::atomic;

/// Number of milliseconds: a point on a process's monotonic clock, or a span between two points.
///
/// Points of different processes are not comparable, so messages carry only spans.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Millis(pub u64);

impl Millis {
    /// The start of the clock, and the empty span.
    pub const ZERO: Millis = Millis(0);
    /// A point that is never reached.
    pub const MAX: Millis = Millis(u64::MAX);

    /// Returns the span of `secs` seconds.
    pub const fn from_secs(secs: u64) -> Millis {
        Millis(secs.saturating_mul(1000))
    }

    /// Returns the span since `earlier`, or zero if `earlier` is later.
    pub fn since(self, earlier: Millis) -> Millis {
        Millis(self.0.saturating_sub(earlier.0))
    }
}

impl ops::Add for Millis {
    type Output = Millis;

    fn add(self, span: Millis) -> Millis {
        Millis(self.0.saturating_add(span.0))
    }
}

impl fmt::Display for Millis {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} ms", self.0)
    }
}

/// Source of the current time.
pub trait Clock: Send + Sync {
    /// Returns the current point on a monotonic clock.
    fn now(&self) -> Millis;
}

/// Clock that only [`ManualClock::advance`] moves, for tests and replays.
#[derive(Debug, Default)]
pub struct ManualClock {
    now_ms: atomic::AtomicU64,
}

impl ManualClock {
    /// Creates a clock that starts at `start`.
    pub fn new(start: Millis) -> ManualClock {
        ManualClock {
            now_ms: atomic::AtomicU64::new(start.0),
        }
    }

    /// Moves the clock forward by `span`.
    pub fn advance(&self, span: Millis) {
        self.now_ms.fetch_add(span.0, atomic::Ordering::SeqCst);
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Millis {
        Millis(self.now_ms.load(atomic::Ordering::SeqCst))
    }
}

//! Budget of the system's own messages: syncs, announcements and probes.

use crate::bucket;
use nutmegdale_base::clock;
use std::sync::atomic;
use std::sync::atomic::Ordering::Relaxed;

/// Messages per second of one process.
pub const MESSAGES_PER_SEC: u64 = 20;
/// Part of the bytes that may cross the link between regions, in percent.
pub const CROSS_REGION_PERCENT: u64 = 50;

/// How far a message goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reach {
    /// Within the region.
    Region,
    /// Over the paid link between regions.
    CrossRegion,
}

impl Reach {
    /// Every reach, for dense tables indexed by [`Reach::index`].
    pub const ALL: [Reach; 2] = [Reach::Region, Reach::CrossRegion];

    /// Returns the position in [`Reach::ALL`].
    pub fn index(self) -> usize {
        self as usize
    }

    /// Returns the value of the metrics' label.
    pub fn name(self) -> &'static str {
        match self {
            Reach::Region => "region",
            Reach::CrossRegion => "cross-region",
        }
    }
}

/// What was spent and held back.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Spent {
    /// Messages sent.
    pub messages_count: u64,
    /// Bytes sent and received.
    pub bytes: u64,
    /// Messages that had to wait.
    pub held_back_count: u64,
}

#[derive(Debug, Default)]
struct Part {
    bytes: bucket::Bucket,
    messages: bucket::Bucket,
    messages_count: atomic::AtomicU64,
    bytes_count: atomic::AtomicU64,
    held_back_count: atomic::AtomicU64,
}

/// Budget of one process.
///
/// Invariant: in any span of t seconds, at most `bytes_per_sec × (t + 1)` bytes plus one message
/// are spent, whatever fails. A message reserves its own bytes; its answer is charged when it is
/// there, and holds up the next message.
#[derive(Debug)]
pub struct Budget {
    bytes_per_sec: u64,
    parts: [Part; 2],
}

impl Budget {
    /// Creates a budget of `bytes_per_sec` for all messages of the process.
    pub fn new(bytes_per_sec: u64) -> Budget {
        Budget {
            bytes_per_sec,
            parts: [Part::default(), Part::default()],
        }
    }

    fn bytes_rate(&self, reach: Reach) -> bucket::Rate {
        let per_sec = match reach {
            Reach::Region => self.bytes_per_sec * (100 - CROSS_REGION_PERCENT) / 100,
            Reach::CrossRegion => self.bytes_per_sec * CROSS_REGION_PERCENT / 100,
        };
        bucket::Rate {
            per_sec,
            burst: per_sec,
        }
    }

    fn messages_rate() -> bucket::Rate {
        bucket::Rate {
            per_sec: MESSAGES_PER_SEC / 2,
            burst: MESSAGES_PER_SEC / 2,
        }
    }

    /// Takes one message of `bytes`, or returns the time until it may be sent.
    ///
    /// A message beyond a second's bytes passes once the bucket is not in debt; otherwise a first
    /// report of many servers could never be sent.
    ///
    /// # Errors
    ///
    /// Takes nothing and returns the time to wait.
    pub fn take(&self, now: clock::Millis, reach: Reach, bytes: u64) -> Result<(), clock::Millis> {
        let part = &self.parts[reach.index()];
        let rate = self.bytes_rate(reach);
        let held_back = |wait| {
            part.held_back_count.fetch_add(1, Relaxed);
            wait
        };
        part.messages
            .take(now, 1, Budget::messages_rate())
            .map_err(held_back)?;
        let reserved = bytes.min(rate.burst);
        if let Err(wait) = part.bytes.take(now, reserved, rate) {
            part.messages.refund(1, Budget::messages_rate());
            return Err(held_back(wait));
        }
        part.bytes.charge(now, bytes - reserved, rate);
        part.messages_count.fetch_add(1, Relaxed);
        part.bytes_count.fetch_add(bytes, Relaxed);
        Ok(())
    }

    /// Charges the bytes of an answer.
    pub fn charge_response(&self, now: clock::Millis, reach: Reach, bytes: u64) {
        let part = &self.parts[reach.index()];
        part.bytes.charge(now, bytes, self.bytes_rate(reach));
        part.bytes_count.fetch_add(bytes, Relaxed);
    }

    /// Returns what was spent.
    pub fn spent(&self, reach: Reach) -> Spent {
        let part = &self.parts[reach.index()];
        Spent {
            messages_count: part.messages_count.load(Relaxed),
            bytes: part.bytes_count.load(Relaxed),
            held_back_count: part.held_back_count.load(Relaxed),
        }
    }
}

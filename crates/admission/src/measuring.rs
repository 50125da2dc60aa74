//! Budget for the system's own traffic: syncs, announcements and health checks.

use crate::bucket;
use nutmegdale_base::clock;
use std::sync::atomic;
use std::sync::atomic::Ordering::Relaxed;

/// Messages that one process may send per second, over both values of [`Reach`].
pub const MESSAGES_PER_SEC: u64 = 20;
/// Share of the byte budget for messages between regions, in percent.
pub const CROSS_REGION_PERCENT: u64 = 50;

/// Whether a message crosses regions.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reach {
    /// Within the region.
    Region,
    /// Over the link between regions, which is billed by volume.
    CrossRegion,
}

impl Reach {
    /// All values, for arrays indexed by [`Reach::index`].
    pub const ALL: [Reach; 2] = [Reach::Region, Reach::CrossRegion];

    /// Returns the position in [`Reach::ALL`].
    pub fn index(self) -> usize {
        self as usize
    }

    /// Returns the value of the metric label.
    pub fn name(self) -> &'static str {
        match self {
            Reach::Region => "region",
            Reach::CrossRegion => "cross-region",
        }
    }
}

/// Usage of a budget.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Spent {
    /// Messages sent.
    pub messages_count: u64,
    /// Bytes sent and received.
    pub bytes: u64,
    /// Messages that were delayed because the budget was exhausted.
    pub held_back_count: u64,
}

#[derive(Debug, Default)]
struct ReachState {
    bytes: bucket::Bucket,
    messages: bucket::Bucket,
    messages_count: atomic::AtomicU64,
    bytes_count: atomic::AtomicU64,
    held_back_count: atomic::AtomicU64,
}

/// Traffic budget of one process.
///
/// Invariant: in any span of t seconds, at most `bytes_per_sec × (t + 1)` bytes plus one message
/// are spent, whatever fails. A message reserves its own bytes; its response is charged when it
/// arrives, and delays the next message.
#[derive(Debug)]
pub struct Budget {
    bytes_per_sec: u64,
    by_reach: [ReachState; 2],
}

impl Budget {
    /// Creates a budget of `bytes_per_sec` for all messages of the process.
    pub fn new(bytes_per_sec: u64) -> Budget {
        Budget {
            bytes_per_sec,
            by_reach: [ReachState::default(), ReachState::default()],
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

    /// Takes the budget for one message of `bytes`.
    ///
    /// A message larger than the bytes of one second is admitted once the bucket is full and puts
    /// it into debt; otherwise the first report of many servers could never be sent.
    ///
    /// # Errors
    ///
    /// Takes nothing and returns the time until the message may be sent.
    pub fn take(&self, now: clock::Millis, reach: Reach, bytes: u64) -> Result<(), clock::Millis> {
        let state = &self.by_reach[reach.index()];
        let rate = self.bytes_rate(reach);
        let held_back = |wait| {
            state.held_back_count.fetch_add(1, Relaxed);
            wait
        };
        state
            .messages
            .take(now, 1, Budget::messages_rate())
            .map_err(held_back)?;
        let reserved = bytes.min(rate.burst);
        if let Err(wait) = state.bytes.take(now, reserved, rate) {
            state.messages.refund(1, Budget::messages_rate());
            return Err(held_back(wait));
        }
        state.bytes.charge(now, bytes - reserved, rate);
        state.messages_count.fetch_add(1, Relaxed);
        state.bytes_count.fetch_add(bytes, Relaxed);
        Ok(())
    }

    /// Charges the bytes of a response.
    pub fn charge_response(&self, now: clock::Millis, reach: Reach, bytes: u64) {
        let state = &self.by_reach[reach.index()];
        state.bytes.charge(now, bytes, self.bytes_rate(reach));
        state.bytes_count.fetch_add(bytes, Relaxed);
    }

    /// Returns the usage so far.
    pub fn spent(&self, reach: Reach) -> Spent {
        let state = &self.by_reach[reach.index()];
        Spent {
            messages_count: state.messages_count.load(Relaxed),
            bytes: state.bytes_count.load(Relaxed),
            held_back_count: state.held_back_count.load(Relaxed),
        }
    }
}

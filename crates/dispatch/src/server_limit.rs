//! Rate limit that a server names in its responses: the requests per second that it takes from all
//! entry processes together, for as long as its responses say so.

use crate::{placement, server_rate};
use nutmegdale_base::clock;
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

    /// Returns the time in which the rate allows one request, at most [`SPACING_MAX_MS`].
    pub fn period(self) -> clock::Millis {
        let period_ms = 1_000.0 / self.per_s();
        clock::Millis(period_ms.ceil() as u64).min(SPACING_MAX_MS)
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
/// Responses of the service in a row without a limit that end it. A faulty server may leave the
/// header out of one of them.
const CLEAR_COUNT: u32 = 2;

/// Limit of one incarnation of a server, as an entry process knows it.
#[derive(Debug)]
pub struct Current {
    milli_per_s: atomic::AtomicU64,
    /// Time at which the limit was last changed, in milliseconds.
    changed_ms: atomic::AtomicU64,
    /// Responses of the service in a row that named no limit.
    clear_count: atomic::AtomicU32,
}

impl Default for Current {
    fn default() -> Current {
        Current {
            milli_per_s: atomic::AtomicU64::new(NO_LIMIT),
            changed_ms: atomic::AtomicU64::new(0),
            clear_count: atomic::AtomicU32::new(0),
        }
    }
}

/// Response of a server, as far as it matters for its limit.
#[derive(Debug, Clone, Copy)]
pub struct Observation {
    /// What it says.
    pub stated: Stated,
    /// Time at which its request was sent.
    pub sent_at: clock::Millis,
    /// Whether it shows that the service ran the request and did not fail. The absence of a limit from
    /// other responses, such as a rejection by something in front of the server, says nothing.
    pub is_from_service: bool,
}

fn decode(milli_per_s: u64) -> Option<Rate> {
    let milli_per_s = u32::try_from(milli_per_s).ok()?;
    Some(Rate { milli_per_s })
}

impl Current {
    /// Returns the limit, if there is one.
    pub fn get(&self) -> Option<Rate> {
        decode(self.milli_per_s.load(atomic::Ordering::Acquire))
    }

    /// Replaces the limit; returns the one before.
    pub fn set(&self, now: clock::Millis, rate: Option<Rate>) -> Option<Rate> {
        let milli_per_s = rate.map_or(NO_LIMIT, |rate| u64::from(rate.milli_per_s));
        self.clear_count.store(0, atomic::Ordering::Relaxed);
        self.changed_ms.store(now.0, atomic::Ordering::Release);
        let order = atomic::Ordering::AcqRel;
        decode(self.milli_per_s.swap(milli_per_s, order))
    }

    /// Returns the limit that a response states, which may be the known one; `None` if the response
    /// leaves the known one in force.
    pub fn observe(&self, observation: &Observation) -> Option<Option<Rate>> {
        match observation.stated {
            Stated::Unreadable => None,
            Stated::Limit(rate) => {
                self.clear_count.store(0, atomic::Ordering::Relaxed);
                Some(Some(rate))
            }
            Stated::Nothing => {
                self.get()?;
                let changed = clock::Millis(self.changed_ms.load(atomic::Ordering::Acquire));
                // A request that was sent before the limit was known may have been answered before
                // the server named it.
                if !observation.is_from_service || observation.sent_at < changed {
                    return None;
                }
                let before_count = self.clear_count.fetch_add(1, atomic::Ordering::Relaxed);
                (before_count + 1 >= CLEAR_COUNT).then_some(None)
            }
        }
    }
}

/// Longest interval between two requests of a sender. A lower limit, such as zero, is exceeded by that
/// much, since only a response shows that a limit has ended.
pub const SPACING_MAX_MS: clock::Millis = clock::Millis(10_000);
/// Requests that a sender may save. Callers arrive at random, so a pacer without any would lose a
/// part of the limit, and less urgent requests leave the saved one to others.
const SAVED_MAX_COUNT: u32 = 1;
/// Limit from which processes in other zones get a part, in requests per second. A lower one is spent
/// in the zone of the server.
const SPLIT_MIN_PER_S: f64 = 4.0;
/// Part of such a limit that the processes in the zone of the server get, as many of the requests
/// for which the server is best arrive there.
const NEAR_SHARE: f64 = 0.5;

/// Predicted time that a request may take longer at a limited server whose permit is due than at
/// others, as a fraction of its target latency. Unused permits are lost, and only requests show that
/// the limit has ended.
const BONUS_SHARE: f64 = 0.25;

/// Returns by how much a server with a due permit is preferred, in milliseconds. Traffic between
/// regions is billed, so a permit there is used only where the server is the best anyway.
pub fn bonus_ms(distance: placement::Distance, target_ms: f64) -> f64 {
    match distance {
        placement::Distance::CrossRegion => 0.0,
        _ => BONUS_SHARE * target_ms,
    }
}

/// Returns the share of the process at `rank` in a limit; `None` if it may not send to the server.
///
/// A sender gets about one request a second, or the whole of a lower limit. With an equal share for
/// all processes, hundreds of them would exceed a small limit with one request each.
pub fn share(limit: Rate, rank: &server_rate::Rank) -> Option<server_rate::Share> {
    let limit_per_s = limit.per_s();
    let near_count = rank.near_count;
    let far_count = rank.processes_count - near_count;
    let is_split = near_count > 0 && far_count > 0 && limit_per_s >= SPLIT_MIN_PER_S;
    if !is_split {
        return part(limit_per_s, rank.processes_count, rank.before_count);
    }
    match rank.before_count.checked_sub(near_count) {
        None => part(limit_per_s * NEAR_SHARE, near_count, rank.before_count),
        Some(before) => part(limit_per_s * (1.0 - NEAR_SHARE), far_count, before),
    }
}

/// Divides a rate evenly among the first of `count` processes, of which `before_count` go before this
/// one; as many of them as get a request a second each, but one at least.
fn part(rate_per_s: f64, count: u32, before_count: u32) -> Option<server_rate::Share> {
    let senders_count = (rate_per_s.ceil() as u32).clamp(1, count.max(1));
    let spacing_ms = f64::from(senders_count) * 1_000.0 / rate_per_s;
    let spacing = clock::Millis(spacing_ms.ceil() as u64).min(SPACING_MAX_MS);
    (before_count < senders_count).then_some(server_rate::Share {
        spacing,
        saved_max_count: SAVED_MAX_COUNT,
    })
}

//! Share of the requests of one process that are canary requests.
//!
//! Load pattern: a hundred processes that see a few requests a second each. The limit on a bad
//! version counts the requests of all processes, which cannot ask each other for each request. Each
//! process therefore stays below a limit of its own, and the limits add up to less than the whole.

use crate::bound;
use nutmegdale_base::digest;
use std::sync::atomic;

/// Part of the share and of the slack that is used. The rest covers requests that are sent before a
/// process knows of the order, and processes that start again with new counters.
const USED_PART: f64 = 0.8;

/// Counters of one process for one rollout.
///
/// Invariant: the number of canary requests is at most `rate` times the number of requests, plus
/// `offset`.
#[derive(Debug)]
pub struct Share {
    rate: f64,
    offset: f64,
    seen: atomic::AtomicU64,
    claimed: atomic::AtomicU64,
}

impl Share {
    /// Creates the counters of the process `own` among all processes with the names `all`, for the
    /// rollout that the command at the index `order` started.
    ///
    /// The offsets spread the first canary requests of the processes over time; over all processes
    /// they add up to at most `USED_PART` of the slack.
    pub fn new<'a>(
        bound: &bound::Bound,
        order: u64,
        own: &str,
        all: impl Iterator<Item = &'a str>,
    ) -> Share {
        let own_rank = digest::of(&(own, order));
        let (mut count, mut rank) = (0_u32, 0_u32);
        for name in all.filter(|name| *name != own) {
            count += 1;
            rank += u32::from(digest::of(&(name, order)) < own_rank);
        }
        let count = f64::from(count + 1);
        let widest = (2.0 * USED_PART * bound.slack / count).min(1.0);
        Share {
            rate: bound.share * USED_PART,
            offset: widest * (f64::from(rank) + 0.5) / count,
            seen: atomic::AtomicU64::new(0),
            claimed: atomic::AtomicU64::new(0),
        }
    }

    /// Counts a request of the service and returns whether it may be a canary request. If it is not
    /// sent as one, the claim is given back with [`Share::release`].
    pub fn claim(&self) -> bool {
        let order = atomic::Ordering::AcqRel;
        let seen = self.seen.fetch_add(1, order) + 1;
        let allowed = (self.rate * seen as f64 + self.offset) as u64;
        let update = |claimed: u64| (claimed < allowed).then_some(claimed + 1);
        self.claimed
            .fetch_update(order, atomic::Ordering::Acquire, update)
            .is_ok()
    }

    /// Gives a claim back for a later request.
    pub fn release(&self) {
        self.claimed.fetch_sub(1, atomic::Ordering::AcqRel);
    }
}

/// Returns how many of `count` new servers get canary requests, so that each of them runs at about
/// the load of an old one.
pub fn canary_servers_count(bound: &bound::Bound, count: usize) -> usize {
    let warranted = (count as f64 * bound.share * USED_PART).round() as usize;
    warranted.clamp(1, count.max(1))
}

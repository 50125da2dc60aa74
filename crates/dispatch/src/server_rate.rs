//! Limits of the request rate of one server over all entry processes.
//!
//! Two kinds of servers have such a limit: those that are warming up ([`ColdBound`]), and those that
//! name one in their responses ([`crate::server_limit`]). The limit also holds for processes that
//! cannot reach each other or the registry. Each process therefore derives its share without
//! coordination, by rendezvous hashing: the processes ranked first for the server send, each within
//! its own [`Pacer`], and the others send nothing.

use nutmegdale_base::rng::Rng;
use nutmegdale_base::{clock, digest, rng};
use std::sync::atomic;

/// Interval between two requests of one process to one cold server. It exceeds one second so that
/// requests with different network delays do not arrive within the same second.
const COLD_SPACING_MS: clock::Millis = clock::Millis(1_150);
/// Part of the limit of a cold server that is assigned to processes, in percent; the rest covers
/// processes that join or that rank by an older membership list.
const COLD_ASSIGNED_PERCENT: f64 = 85.0;

/// Limit on requests to a cold server over all processes.
#[derive(Debug, Clone, Copy)]
pub struct ColdBound {
    /// Factor on the nominal rate.
    pub overshoot: f64,
    /// Requests per second on top of that.
    pub slack: f64,
}

impl ColdBound {
    /// Returns the share of the process at `rank` in a server with a nominal rate of `rate_per_s`;
    /// `None` if the process may not send to it.
    pub fn share(&self, rate_per_s: f64, rank: &Rank) -> Option<Share> {
        let permits = (rate_per_s * self.overshoot + self.slack) * COLD_ASSIGNED_PERCENT / 100.0;
        let senders_count = permits.max(1.0) as u32;
        (rank.before_count < senders_count).then_some(Share {
            spacing: COLD_SPACING_MS,
            saved_max_count: 0,
        })
    }
}

/// Share of one process in the rate of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Share {
    /// Interval between two requests.
    pub spacing: clock::Millis,
    /// Number of unused requests that the process saves for later.
    pub saved_max_count: u32,
}

/// Process or server in the ranking: its zone and the hash of its name. The hash is computed once,
/// since every change of the registry ranks all processes for all servers.
#[derive(Debug, Clone, Copy)]
pub struct Node<'a> {
    /// Availability zone; processes in the zone of a server rank first for it.
    pub zone: &'a str,
    hash: u64,
}

impl<'a> Node<'a> {
    /// Creates the ranking entry of a process or server.
    pub fn new(name: &str, zone: &'a str) -> Node<'a> {
        Node {
            zone,
            hash: digest::of(name),
        }
    }
}

fn rank_key(process: &Node<'_>, server: &Node<'_>) -> (bool, u64) {
    let hash = rng::SplitMix64::new(process.hash ^ server.hash).next_u64();
    (process.zone != server.zone, hash)
}

/// Place of a process in the ranking for a server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Rank {
    /// Number of processes that go before it.
    pub before_count: u32,
    /// Number of all processes, itself included.
    pub processes_count: u32,
    /// Number of processes in the zone of the server, which go before all others.
    pub near_count: u32,
}

impl Rank {
    /// Returns the rank of `own` for `server`. `all` may contain `own`.
    pub fn new(own: &Node<'_>, all: &[Node<'_>], server: &Node<'_>) -> Rank {
        let own_key = rank_key(own, server);
        let mut rank = Rank {
            before_count: 0,
            processes_count: 1,
            near_count: u32::from(own.zone == server.zone),
        };
        for other in all.iter().filter(|other| other.hash != own.hash) {
            rank.processes_count += 1;
            rank.near_count += u32::from(other.zone == server.zone);
            rank.before_count += u32::from(rank_key(other, server) < own_key);
        }
        rank
    }
}

/// Pacer for the requests of one process to one server.
#[derive(Debug, Default)]
pub struct Pacer {
    /// Time at which the next request is due if none has been saved.
    due_ms: atomic::AtomicU64,
}

impl Pacer {
    /// Returns the time until a request is permitted that leaves `kept_count` of the saved ones to
    /// others; zero if it is permitted now.
    pub fn time_left(&self, now: clock::Millis, share: &Share, kept_count: u32) -> clock::Millis {
        let due_ms = self.due_ms.load(atomic::Ordering::Relaxed);
        let advance = Pacer::advance(share, kept_count);
        clock::Millis(due_ms.saturating_sub(advance)).since(now)
    }

    /// Begins anew, without saved requests: the first one is due after the interval. Another process
    /// may have sent until now in the place of this one.
    pub fn start(&self, now: clock::Millis, share: &Share) {
        let first = now + share.spacing + clock::Millis(Pacer::advance(share, 0));
        self.due_ms.fetch_max(first.0, atomic::Ordering::AcqRel);
    }

    /// Claims the permit for one request now; returns whether it was available.
    pub fn take(&self, now: clock::Millis, share: &Share, kept_count: u32) -> bool {
        let order = atomic::Ordering::AcqRel;
        let advance = Pacer::advance(share, kept_count);
        let update = |due_ms: u64| {
            let is_due = now.0 >= due_ms.saturating_sub(advance);
            is_due.then(|| due_ms.max(now.0) + share.spacing.0)
        };
        self.due_ms
            .fetch_update(order, atomic::Ordering::Acquire, update)
            .is_ok()
    }

    /// Returns by how much a request may come before it is due, in milliseconds.
    fn advance(share: &Share, kept_count: u32) -> u64 {
        let usable_count = share.saved_max_count.saturating_sub(kept_count);
        share.spacing.0 * u64::from(usable_count)
    }
}

//! Rate limit for servers that are warming up.
//!
//! A cold server has a limit on the requests per second of all entry processes together, which also
//! holds for processes that are partitioned from the others. Each process therefore derives its
//! share without coordination, by rendezvous hashing: as many processes as the limit allows, those
//! ranked first for the server, send at most one request per second each.

use nutmegdale_base::rng::Rng;
use nutmegdale_base::{clock, digest, rng};
use std::sync::atomic;

/// Interval between two requests of one process to one cold server. It exceeds one second so that
/// requests with different network delays do not arrive within the same second.
const SPACING_MS: clock::Millis = clock::Millis(1_150);
/// Part of the limit that is assigned to processes, in percent; the rest covers processes that join
/// or that rank by an older membership list.
const ASSIGNED_PERCENT: f64 = 85.0;

/// Limit on requests to a cold server over all processes.
#[derive(Debug, Clone, Copy)]
pub struct Bound {
    /// Factor on the nominal rate.
    pub overshoot: f64,
    /// Requests per second on top of that.
    pub slack: f64,
}

impl Bound {
    /// Returns how many processes may send to a server with a nominal rate of `rate_per_s`.
    pub fn senders_count(&self, rate_per_s: f64) -> usize {
        let permits = (rate_per_s * self.overshoot + self.slack) * ASSIGNED_PERCENT / 100.0;
        (permits.max(1.0)) as usize
    }
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

fn rank(process: &Node<'_>, server: &Node<'_>) -> (bool, u64) {
    let hash = rng::SplitMix64::new(process.hash ^ server.hash).next_u64();
    (process.zone != server.zone, hash)
}

/// Returns whether `own` is among the `count` processes that may send to a cold server. `all` may
/// contain `own`.
pub fn may_send(own: &Node<'_>, all: &[Node<'_>], server: &Node<'_>, count: usize) -> bool {
    let own_rank = rank(own, server);
    all.iter()
        .filter(|other| rank(other, server) < own_rank)
        .count()
        < count
}

/// Pacer for the requests of one process to one cold server.
#[derive(Debug, Default)]
pub struct Pacer {
    next_ms: atomic::AtomicU64,
}

impl Pacer {
    /// Returns whether [`Pacer::take`] would allow a request now.
    pub fn is_ready(&self, now: clock::Millis) -> bool {
        now.0 >= self.next_ms.load(atomic::Ordering::Relaxed)
    }

    /// Claims the permit for one request now; returns whether it was available.
    pub fn take(&self, now: clock::Millis) -> bool {
        let order = atomic::Ordering::AcqRel;
        let next = (now + SPACING_MS).0;
        let update = |at: u64| (now.0 >= at).then_some(next);
        self.next_ms
            .fetch_update(order, atomic::Ordering::Acquire, update)
            .is_ok()
    }
}

//! Paces requests to servers that warm up.
//!
//! The bound of a cold server is a rate for all entry processes together in every second, also for
//! those that reach nobody. Each process therefore works with a share that needs no message: the
//! processes with the highest rank for the server send at most one request a second each, and as
//! many processes have a rank as the bound allows.

use nutmegdale_base::rng::Rng;
use nutmegdale_base::{clock, digest, rng};
use std::sync::atomic;

/// Time between two requests of one process to one cold server. It exceeds the second of the bound
/// so that requests that travel at different speeds do not arrive within one.
const SPACING_MS: clock::Millis = clock::Millis(1_150);
/// Part of the bound that is shared out, in percent; the rest covers processes that join or that
/// rank by an older list.
const SHARED_PERCENT: f64 = 85.0;

/// Bound of cold servers over all processes.
#[derive(Debug, Clone, Copy)]
pub struct Bound {
    /// Factor by which the rate may be exceeded.
    pub overshoot: f64,
    /// Requests in one second on top of that.
    pub slack: f64,
}

impl Bound {
    /// Returns how many processes may send to a server that bears `rate_per_s`.
    pub fn senders_count(&self, rate_per_s: f64) -> usize {
        let most = (rate_per_s * self.overshoot + self.slack) * SHARED_PERCENT / 100.0;
        (most.max(1.0)) as usize
    }
}

/// Process or server as the ranking sees it: its zone and a hash of its name, which is worked out
/// once, since every change of the registry ranks all processes for all servers.
#[derive(Debug, Clone, Copy)]
pub struct Node<'a> {
    /// Zone.
    pub zone: &'a str,
    hash: u64,
}

impl<'a> Node<'a> {
    /// Creates the view of a process or server.
    pub fn new(name: &str, zone: &'a str) -> Node<'a> {
        Node {
            zone,
            hash: digest::of(name),
        }
    }
}

fn rank(process: &Node<'_>, server: &Node<'_>) -> (bool, u64) {
    let mixed = rng::SplitMix64::new(process.hash ^ server.hash).next_u64();
    (process.zone != server.zone, mixed)
}

/// Returns whether `own` is among the `count` processes that may send to a cold server. `all` may
/// hold `own`.
pub fn may_send(own: &Node<'_>, all: &[Node<'_>], server: &Node<'_>, count: usize) -> bool {
    let mine = rank(own, server);
    all.iter()
        .filter(|other| rank(other, server) < mine)
        .count()
        < count
}

/// Pacer of one process to one server.
#[derive(Debug, Default)]
pub struct Pacer {
    next_ms: atomic::AtomicU64,
}

impl Pacer {
    /// Returns whether a request could be sent now.
    pub fn is_ready(&self, now: clock::Millis) -> bool {
        now.0 >= self.next_ms.load(atomic::Ordering::Relaxed)
    }

    /// Takes the right to send one request now.
    pub fn take(&self, now: clock::Millis) -> bool {
        let order = atomic::Ordering::AcqRel;
        let next = (now + SPACING_MS).0;
        let update = |at: u64| (now.0 >= at).then_some(next);
        self.next_ms
            .fetch_update(order, atomic::Ordering::Acquire, update)
            .is_ok()
    }
}

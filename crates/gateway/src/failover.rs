//! Choice of the coordinator that an entry process syncs with next.
//!
//! The process stays with the coordinator that answered last. If that one fails, all others are tried
//! in order, nearest first, each once, before any of them is tried again: several coordinators in
//! front may be gone. From time to time one nearer coordinator is tried again, and if that fails, the
//! process goes back to the one that it left.

use nutmegdale_base::clock;
use std::net;

/// Time after which a nearer coordinator is tried again. After a start it is often not current for
/// a moment, and syncs with one of another region are billed. The time doubles with each failed
/// attempt, since an attempt at a silent coordinator costs a timeout.
const FAILBACK_MIN_MS: clock::Millis = clock::Millis(600);
/// Longest time after which a nearer coordinator is tried again.
const FAILBACK_MAX_MS: clock::Millis = clock::Millis(5_000);

/// State of the choice.
#[derive(Debug)]
pub struct Failover {
    /// Coordinator that answered last and has not failed since.
    followed: Option<net::SocketAddr>,
    /// Coordinators that have failed since the followed one was chosen, or since it was lost.
    failed: Vec<net::SocketAddr>,
    /// Time at which a nearer coordinator than the followed one is tried again.
    failback_at: Option<clock::Millis>,
    failback_delay: clock::Millis,
}

impl Failover {
    /// Creates the state of a process that has not synced yet.
    pub fn new() -> Failover {
        Failover {
            followed: None,
            failed: Vec::new(),
            failback_at: None,
            failback_delay: FAILBACK_MIN_MS,
        }
    }

    /// Returns the coordinator to sync with next, out of `targets`, which are in order of preference.
    /// Returns `None` once all of them have failed; after that the choice starts over.
    pub fn next(
        &mut self,
        now: clock::Millis,
        targets: &[net::SocketAddr],
    ) -> Option<net::SocketAddr> {
        match self.followed {
            Some(followed) => Some(self.failback(now, followed, targets).unwrap_or(followed)),
            None => self.next_untried(targets),
        }
    }

    /// Returns a nearer coordinator than the followed one, if it is time to try one.
    fn failback(
        &mut self,
        now: clock::Millis,
        followed: net::SocketAddr,
        targets: &[net::SocketAddr],
    ) -> Option<net::SocketAddr> {
        let at = self.failback_at?;
        if now < at {
            return None;
        }
        let mut nearer = targets.iter().take_while(|target| **target != followed);
        let next = nearer.find(|target| !self.failed.contains(target));
        if next.is_none() {
            self.failed.clear();
            self.failback_at = Some(now + self.failback_delay);
        }
        next.copied()
    }

    fn next_untried(&mut self, targets: &[net::SocketAddr]) -> Option<net::SocketAddr> {
        let mut targets = targets.iter();
        let next = targets.find(|target| !self.failed.contains(target));
        if next.is_none() {
            self.failed.clear();
        }
        next.copied()
    }

    /// Records that `target` answered and is current.
    pub fn record_success(
        &mut self,
        now: clock::Millis,
        target: net::SocketAddr,
        targets: &[net::SocketAddr],
    ) {
        if self.followed != Some(target) {
            self.followed = Some(target);
            self.failed.clear();
            self.failback_at = None;
        }
        if targets.first() == Some(&target) {
            self.failback_at = None;
            self.failback_delay = FAILBACK_MIN_MS;
        } else {
            self.failback_at.get_or_insert(now + self.failback_delay);
        }
    }

    /// Records that `target` did not answer or is not current.
    pub fn record_failure(&mut self, now: clock::Millis, target: net::SocketAddr) {
        if self.followed == Some(target) {
            self.followed = None;
            self.failed.clear();
            self.failback_at = None;
        }
        self.failed.push(target);
        if self.followed.is_some() {
            self.failback_delay = (self.failback_delay + self.failback_delay).min(FAILBACK_MAX_MS);
            self.failback_at = Some(now + self.failback_delay);
        }
    }
}

impl Default for Failover {
    fn default() -> Failover {
        Failover::new()
    }
}

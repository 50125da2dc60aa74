//! Selection of the control process that an entry process syncs with.
//!
//! Syncs go to the leader directly. If it is unreachable from here, for instance because only the
//! link between two regions is cut, another control process relays the syncs for a while.

use nutmegdale_base::clock;
use std::net;

/// Time for which syncs are relayed by another control process after the leader was unreachable.
pub const RELAY_MS: clock::Millis = clock::Millis(30_000);

/// Destination of a sync.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Target {
    /// Address of the control process.
    pub address: net::SocketAddr,
    /// Whether that process should relay the sync if it is not the leader.
    pub may_forward: bool,
}

/// Control processes known to one entry process, and the state of the search for the leader.
#[derive(Debug)]
pub struct Peers {
    configured: Vec<net::SocketAddr>,
    next_index: usize,
    leader: Option<net::SocketAddr>,
    unreachable_leader: Option<net::SocketAddr>,
    relay_until: clock::Millis,
}

impl Peers {
    /// Creates peers from the configured addresses, which must not be empty.
    pub fn new(configured: &[net::SocketAddr]) -> Peers {
        Peers {
            configured: configured.to_vec(),
            next_index: 0,
            leader: None,
            unreachable_leader: None,
            relay_until: clock::Millis::ZERO,
        }
    }

    /// Returns the destination of the next sync.
    pub fn target(&self, now: clock::Millis) -> Target {
        let configured = self.configured[self.next_index % self.configured.len()];
        Target {
            address: self.leader.unwrap_or(configured),
            may_forward: now < self.relay_until,
        }
    }

    /// Records that the target is not the leader, with the leader that it named. That address need
    /// not be configured: the settings may lack control processes that replaced lost ones.
    pub fn record_not_leader(&mut self, now: clock::Millis, leader: Option<net::SocketAddr>) {
        let may_use_leader = now >= self.relay_until || leader != self.unreachable_leader;
        self.leader = leader.filter(|_| may_use_leader);
        if self.leader.is_none() {
            self.advance();
        }
    }

    /// Records that the sync to the target failed.
    pub fn record_failure(&mut self, now: clock::Millis) {
        match self.leader.take() {
            Some(leader) => {
                self.unreachable_leader = Some(leader);
                self.relay_until = now + RELAY_MS;
                self.skip_unreachable_leader();
            }
            None => self.advance(),
        }
    }

    fn advance(&mut self) {
        self.next_index = (self.next_index + 1) % self.configured.len();
        self.skip_unreachable_leader();
    }

    fn skip_unreachable_leader(&mut self) {
        if self.unreachable_leader == Some(self.configured[self.next_index]) {
            self.next_index = (self.next_index + 1) % self.configured.len();
        }
    }
}

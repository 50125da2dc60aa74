//! Which control process an entry process sends its next sync to.
//!
//! The leader is asked directly. If it cannot be reached from here, for instance because only the
//! link between two regions is cut, another control process passes the syncs on for a while.

use nutmegdale_base::clock;
use std::net;

/// Time for which syncs go through another control process after the leader could not be reached.
pub const RELAY_MS: clock::Millis = clock::Millis(30_000);

/// Where a sync goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Target {
    /// Address of the control process.
    pub address: net::SocketAddr,
    /// Whether it should pass the sync on if it does not lead.
    pub may_forward: bool,
}

/// Control processes as one entry process sees them.
#[derive(Debug)]
pub struct Peers {
    listed: Vec<net::SocketAddr>,
    at: usize,
    leader: Option<net::SocketAddr>,
    unreached: Option<net::SocketAddr>,
    relay_until: clock::Millis,
}

impl Peers {
    /// Creates peers from the addresses of the settings, which must not be empty.
    pub fn new(listed: &[net::SocketAddr]) -> Peers {
        Peers {
            listed: listed.to_vec(),
            at: 0,
            leader: None,
            unreached: None,
            relay_until: clock::Millis::ZERO,
        }
    }

    /// Returns where the next sync goes.
    pub fn target(&self, now: clock::Millis) -> Target {
        let listed = self.listed[self.at % self.listed.len()];
        Target {
            address: self.leader.unwrap_or(listed),
            may_forward: now < self.relay_until,
        }
    }

    /// Notes that the target does not lead, and whom it names. The named address need not be
    /// listed: control processes that replaced lost ones are not in the settings yet.
    pub fn not_leader(&mut self, now: clock::Millis, leader: Option<net::SocketAddr>) {
        let may_ask = now >= self.relay_until || leader != self.unreached;
        self.leader = leader.filter(|_| may_ask);
        if self.leader.is_none() {
            self.next();
        }
    }

    /// Notes that the target did not answer.
    pub fn failed(&mut self, now: clock::Millis) {
        match self.leader.take() {
            Some(leader) => {
                self.unreached = Some(leader);
                self.relay_until = now + RELAY_MS;
                self.skip_unreached();
            }
            None => self.next(),
        }
    }

    fn next(&mut self) {
        self.at = (self.at + 1) % self.listed.len();
        self.skip_unreached();
    }

    fn skip_unreached(&mut self) {
        if self.unreached == Some(self.listed[self.at]) {
            self.at = (self.at + 1) % self.listed.len();
        }
    }
}

//! Leases of the servers that announce themselves to one entry process.

use crate::announcement;
use crate::hub;
use nutmegdale_base::clock;
use std::collections;

/// Why an announcement is refused.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Refusal {
    /// It breaks a rule.
    Faults(Vec<announcement::Fault>),
    /// A newer one is known, with this incarnation and sequence.
    Stale {
        /// Incarnation of the newer one.
        incarnation: u64,
        /// Sequence of the newer one.
        sequence: u64,
    },
}

#[derive(Debug)]
struct Leased {
    last: announcement::Announcement,
    ends: clock::Millis,
    change: u64,
}

/// Servers that announce themselves here.
#[derive(Debug, Default)]
pub struct LocalTable {
    servers: collections::BTreeMap<String, Leased>,
    last_change: u64,
}

impl LocalTable {
    /// Creates an empty table.
    pub fn new() -> LocalTable {
        LocalTable::default()
    }

    /// Takes an announcement and returns whether it changes more than the lease.
    ///
    /// # Errors
    ///
    /// Refuses an announcement that breaks a rule or is not newer than the last one.
    pub fn announce(
        &mut self,
        now: clock::Millis,
        announced: &announcement::Announcement,
    ) -> Result<bool, Refusal> {
        let faults = announced.faults();
        if !faults.is_empty() {
            return Err(Refusal::Faults(faults));
        }
        let ends = now + announcement::LEASE_MS;
        if let Some(leased) = self.servers.get_mut(&announced.server) {
            if announced.order() <= leased.last.order() {
                let (incarnation, sequence) = leased.last.order();
                return Err(Refusal::Stale {
                    incarnation,
                    sequence,
                });
            }
            if announced.is_renewal_of(&leased.last) {
                leased.ends = ends;
                leased.last.sequence = announced.sequence;
                return Ok(false);
            }
        }
        self.last_change += 1;
        let leased = Leased {
            last: announced.clone(),
            ends,
            change: self.last_change,
        };
        self.servers.insert(announced.server.clone(), leased);
        Ok(true)
    }

    /// Marks servers whose lease has ended as gone and returns whether there were any.
    pub fn expire(&mut self, now: clock::Millis) -> bool {
        let mut any = false;
        for leased in self.servers.values_mut() {
            if leased.ends <= now && leased.last.state != announcement::ServerState::Gone {
                leased.last.state = announcement::ServerState::Gone;
                self.last_change += 1;
                leased.change = self.last_change;
                any = true;
            }
        }
        any
    }

    /// Drops servers that are gone and whose end the hub has taken up.
    pub fn forget_gone(&mut self, acked_change: u64) {
        self.servers.retain(|_, leased| {
            leased.last.state != announcement::ServerState::Gone || leased.change > acked_change
        });
    }

    /// Compares what the hub lists for a server with the lease held here.
    ///
    /// Renewals do not travel, so the hub may list another entry process for a server that has
    /// come back here; the announcement is then sent again. A server that has moved on is dropped
    /// here, so that the end of its lease is not taken for its end.
    pub fn reconcile(&mut self, here: &str, listed: &hub::ServerRecord) {
        let Some(leased) = self.servers.get_mut(&listed.announced.server) else {
            return;
        };
        let is_live = leased.last.state != announcement::ServerState::Gone;
        let is_listed_gone = listed.announced.state == announcement::ServerState::Gone;
        let (ours, theirs) = (leased.last.order(), listed.announced.order());
        let is_elsewhere = listed.registrar != here;
        if is_elsewhere && ours < theirs {
            self.servers.remove(&listed.announced.server);
        } else if is_live && ours >= theirs && (is_listed_gone || (is_elsewhere && ours > theirs)) {
            self.last_change += 1;
            leased.change = self.last_change;
        }
    }

    /// Returns the number of the last change.
    pub fn last_change(&self) -> u64 {
        self.last_change
    }

    /// Returns announcements that changed after `change`.
    pub fn changed_after(&self, change: u64) -> impl Iterator<Item = &announcement::Announcement> {
        self.servers
            .values()
            .filter(move |leased| leased.change > change)
            .map(|l| &l.last)
    }
}

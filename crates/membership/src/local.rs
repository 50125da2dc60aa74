//! Leases of the servers that announce themselves to one entry process.

use crate::announcement;
use crate::hub;
use nutmegdale_base::clock;
use std::collections;

/// Reason for rejecting an announcement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Refusal {
    /// It is invalid.
    Faults(Vec<announcement::Fault>),
    /// It is not newer than the last one, which has this incarnation and sequence.
    Stale {
        /// Incarnation of the last announcement.
        incarnation: u64,
        /// Sequence of the last announcement.
        sequence: u64,
    },
}

#[derive(Debug)]
struct Leased {
    /// Last announcement; its state is gone once the lease has expired.
    announced: announcement::Announcement,
    expires: clock::Millis,
    /// Number of the last change that the hub has to receive.
    change: u64,
}

/// Servers that announce themselves to this entry process, with their leases.
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

    /// Applies an announcement and returns whether it changes more than the lease.
    ///
    /// # Errors
    ///
    /// Rejects an announcement that is invalid or not newer than the last one.
    pub fn announce(
        &mut self,
        now: clock::Millis,
        announced: &announcement::Announcement,
    ) -> Result<bool, Refusal> {
        let faults = announced.faults();
        if !faults.is_empty() {
            return Err(Refusal::Faults(faults));
        }
        let expires = now + announcement::LEASE_MS;
        if let Some(leased) = self.servers.get_mut(&announced.server) {
            if announced.order() <= leased.announced.order() {
                let (incarnation, sequence) = leased.announced.order();
                return Err(Refusal::Stale {
                    incarnation,
                    sequence,
                });
            }
            if announced.is_renewal_of(&leased.announced) {
                leased.expires = expires;
                leased.announced.sequence = announced.sequence;
                return Ok(false);
            }
        }
        self.last_change += 1;
        let leased = Leased {
            announced: announced.clone(),
            expires,
            change: self.last_change,
        };
        self.servers.insert(announced.server.clone(), leased);
        Ok(true)
    }

    /// Marks servers whose lease has expired as gone and returns whether there were any.
    pub fn expire(&mut self, now: clock::Millis) -> bool {
        let mut any = false;
        for leased in self.servers.values_mut() {
            if leased.expires <= now && leased.announced.state != announcement::ServerState::Gone {
                leased.announced.state = announcement::ServerState::Gone;
                self.last_change += 1;
                leased.change = self.last_change;
                any = true;
            }
        }
        any
    }

    /// Removes servers that are gone if the hub has acknowledged that change.
    pub fn forget_gone(&mut self, acked_change: u64) {
        self.servers.retain(|_, leased| {
            leased.announced.state != announcement::ServerState::Gone
                || leased.change > acked_change
        });
    }

    /// Reconciles the lease of a server with the hub's record. `own_name` is the name of this
    /// entry process.
    ///
    /// Renewals are not sent to the hub, so it may list another registrar for a server that has
    /// come back to this one; the announcement is then sent again. A server that now announces
    /// itself elsewhere is removed here, so that the expiry of its old lease does not mark it as
    /// gone.
    pub fn reconcile(&mut self, own_name: &str, listed: &hub::ServerRecord) {
        let Some(leased) = self.servers.get_mut(&listed.announced.server) else {
            return;
        };
        let is_live = leased.announced.state != announcement::ServerState::Gone;
        let is_listed_gone = listed.announced.state == announcement::ServerState::Gone;
        let (ours, theirs) = (leased.announced.order(), listed.announced.order());
        let is_elsewhere = listed.registrar != own_name;
        if is_elsewhere && ours < theirs {
            self.servers.remove(&listed.announced.server);
        } else if is_live && ours >= theirs && (is_listed_gone || (is_elsewhere && ours > theirs)) {
            self.last_change += 1;
            leased.change = self.last_change;
        }
    }

    /// Returns the number of the last change, to acknowledge changes by.
    pub fn last_change(&self) -> u64 {
        self.last_change
    }

    /// Returns the servers that changed after `change`.
    pub fn changed_after(&self, change: u64) -> impl Iterator<Item = &announcement::Announcement> {
        self.servers
            .values()
            .filter(move |leased| leased.change > change)
            .map(|l| &l.announced)
    }
}

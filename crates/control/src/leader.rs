//! What the leader of the control group gives to entry processes for a while: grants of cold
//! servers and shares of limits. It is soft state of one term, rebuilt from syncs.

use nutmegdale_admission::shares;
use nutmegdale_base::clock;
use nutmegdale_grants::{message as grants, table};
use nutmegdale_membership::hub;
use nutmegdale_rpc::message;

/// Grants and shares of one term.
#[derive(Debug)]
pub struct Leader {
    grants: table::Table,
    shares: shares::DemandTable,
}

impl Leader {
    /// Creates the state of a term that began at `now` or before.
    pub fn new(epoch: u64, now: clock::Millis) -> Leader {
        Leader {
            grants: table::Table::new(epoch, now),
            shares: shares::DemandTable::new(),
        }
    }

    /// Takes a sync and returns whether it gave up a grant that others may wait for.
    pub fn take(
        &mut self,
        now: clock::Millis,
        req: &message::SyncRequest,
        table: &mut hub::HubTable,
    ) -> bool {
        let (entry, boot) = (req.entry.name.as_str(), req.entry.boot);
        for heard in &req.heard {
            let is_holder = self.grants.is_held_by(entry, boot, &heard.server);
            table.apply_report(now, heard, is_holder);
        }
        self.shares.set_demand(entry, &req.demands);
        let is_live = |name: &str| table.entries().any(|entry| entry.name == name);
        self.shares.retain(is_live);
        self.grants.release(entry, boot, &req.grants.released)
    }

    /// Returns whether a sync could be granted a server that it does not hold.
    pub fn has_free(&self, now: clock::Millis, req: &message::SyncRequest) -> bool {
        let (entry, boot) = (req.entry.name.as_str(), req.entry.boot);
        self.grants
            .has_grantable(now, entry, boot, &req.grants.wanted)
    }

    /// Grants or renews what a sync wants; a quorum must have confirmed the term since it was sent.
    pub fn grant(&mut self, now: clock::Millis, req: &message::SyncRequest) -> Vec<grants::Grant> {
        let (entry, boot) = (req.entry.name.as_str(), req.entry.boot);
        self.grants.grant(now, entry, boot, &req.grants.wanted)
    }

    /// Returns the shares of the limits that an entry process has demand for.
    pub fn shares_of(&self, entry: &str, table: &hub::HubTable) -> Vec<shares::Share> {
        self.shares.shares_of(entry, table.entries().count())
    }
}

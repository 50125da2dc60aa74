//! Temporary allocations that the leader of the control group hands to entry processes: grants of
//! cold servers and shares of rate limits. They are soft state of one term, rebuilt from syncs.

use nutmegdale_admission::shares;
use nutmegdale_base::clock;
use nutmegdale_grants::{message as grants, table};
use nutmegdale_membership::hub;
use nutmegdale_rpc::message;

/// Grants of cold servers and shares of rate limits in one term.
#[derive(Debug)]
pub struct Allocations {
    grants: table::Table,
    shares: shares::DemandTable,
}

impl Allocations {
    /// Creates the allocations of a term that began at `now` or before.
    pub fn new(epoch: u64, now: clock::Millis) -> Allocations {
        Allocations {
            grants: table::Table::new(epoch, now),
            shares: shares::DemandTable::new(),
        }
    }

    /// Applies a sync and returns whether it released a grant that other entry processes may wait
    /// for.
    pub fn apply_sync(
        &mut self,
        now: clock::Millis,
        req: &message::SyncRequest,
        table: &mut hub::HubTable,
    ) -> bool {
        let (entry, boot) = (req.entry.name.as_str(), req.entry.boot);
        for report in &req.heard {
            let is_holder = self.grants.is_held_by(entry, boot, &report.server);
            table.apply_report(now, report, is_holder);
        }
        self.shares.set_demand(entry, &req.demands);
        let is_live = |name: &str| table.entries().any(|entry| entry.name == name);
        self.shares.retain(is_live);
        self.grants.release(entry, boot, &req.grants.released)
    }

    /// Returns whether the sender of a sync could be granted a server that it does not hold.
    pub fn has_grantable(&self, now: clock::Millis, req: &message::SyncRequest) -> bool {
        let (entry, boot) = (req.entry.name.as_str(), req.entry.boot);
        self.grants
            .has_grantable(now, entry, boot, &req.grants.wanted)
    }

    /// Grants or renews the cold servers that a sync requests. A quorum must have confirmed the term
    /// since the sync was sent.
    pub fn grant(&mut self, now: clock::Millis, req: &message::SyncRequest) -> Vec<grants::Grant> {
        let (entry, boot) = (req.entry.name.as_str(), req.entry.boot);
        self.grants.grant(now, entry, boot, &req.grants.wanted)
    }

    /// Returns the shares of the rate limits for which an entry process reported demand.
    pub fn shares_of(&self, entry: &str, table: &hub::HubTable) -> Vec<shares::Share> {
        self.shares.shares_of(entry, table.entries().count())
    }
}

//! Automatic repair of the replicated group: which member to admit, promote, demote or remove next.
//!
//! A process that restarts with an empty disk is a new replica, so the old member at its address
//! is removed before the new one is admitted. An unreachable voter loses its vote only while the
//! group has more voters than its target, that is, once it has been replaced, so that the group
//! never has fewer voters than before the failure. Until then the unreachable voter raises the
//! quorum without counting towards it, so it is demoted soon: the next VM may be lost as soon as
//! the replacement has caught up. A demotion can be undone if the voter comes back. A removal, after
//! which the replica deletes its data, needs longer evidence.
//! See [docs/replication.md](../../../docs/replication.md).

use nutmegdale_base::clock;
use nutmegdale_consensus::{status, types};
use nutmegdale_rpc::message;
use std::collections;
use std::net;

/// Time after which an unreachable surplus voter is demoted. A new leader, which starts to measure
/// after an election timeout, has demoted it before the next VM may be lost.
const UNREACHABLE_DEMOTION_MS: clock::Millis = clock::Millis(1_000);
/// Time after which an unreachable surplus member is removed. It exceeds the time that a frozen or
/// partitioned VM usually stays unreachable.
const UNREACHABLE_REMOVAL_MS: clock::Millis = clock::Millis(8_000);
/// Age of its last gossip below which a coordinator counts as alive.
const ALIVE_MS: clock::Millis = clock::Millis(2_000);

/// Coordinator known through gossip.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct PeerStatus {
    /// Address for messages between processes.
    pub address: net::SocketAddr,
    /// Identity of its replica.
    pub replica: types::ReplicaId,
    /// Whether its replica belongs to no group yet.
    pub is_blank: bool,
    /// Time since its last own message.
    pub age: clock::Millis,
}

/// Repair state of the leader.
#[derive(Debug, Default)]
pub struct Repair {
    unreachable_since: collections::HashMap<types::ReplicaId, clock::Millis>,
}

impl Repair {
    /// Returns the next membership change, if one is due. `target_voters_count` is the number of
    /// voters that the group should have.
    pub fn next_change(
        &mut self,
        now: clock::Millis,
        status: &status::Status,
        peers: &[PeerStatus],
        target_voters_count: usize,
    ) -> Option<message::MemberChange> {
        self.track_unreachable(now, status);
        if status.role != status::Role::Leader {
            return None;
        }
        promotion(status)
            .or_else(|| admission(status, peers))
            .or_else(|| self.removal(now, status, target_voters_count))
            .or_else(|| self.demotion(now, status, target_voters_count))
    }

    fn track_unreachable(&mut self, now: clock::Millis, status: &status::Status) {
        if status.role != status::Role::Leader {
            self.unreachable_since.clear();
            return;
        }
        for progress in &status.progress {
            if progress.is_reached || progress.id == status.id {
                self.unreachable_since.remove(&progress.id);
            } else {
                self.unreachable_since.entry(progress.id).or_insert(now);
            }
        }
        let members = &status.members;
        self.unreachable_since
            .retain(|id, _| members.get(*id).is_some());
    }

    /// Returns the member that has been unreachable longest and that the group does not need: a
    /// learner if the voters are complete, or a surplus voter.
    fn removal(
        &self,
        now: clock::Millis,
        status: &status::Status,
        target_voters_count: usize,
    ) -> Option<message::MemberChange> {
        let members = &status.members;
        let voters_count = members.voters().count();
        let is_surplus = |id: types::ReplicaId| match members.is_voter(id) {
            true => voters_count > target_voters_count,
            false => voters_count >= target_voters_count,
        };
        let id = self.longest_unreachable(now, UNREACHABLE_REMOVAL_MS, is_surplus)?;
        Some(message::MemberChange::Remove(id))
    }

    fn demotion(
        &self,
        now: clock::Millis,
        status: &status::Status,
        target_voters_count: usize,
    ) -> Option<message::MemberChange> {
        let members = &status.members;
        if members.voters().count() <= target_voters_count {
            return None;
        }
        let is_voter = |id| members.is_voter(id);
        let id = self.longest_unreachable(now, UNREACHABLE_DEMOTION_MS, is_voter)?;
        Some(message::MemberChange::Demote(id))
    }

    /// Returns the member that has been unreachable longest, for at least `min_time`, among those
    /// that `is_eligible` selects.
    fn longest_unreachable(
        &self,
        now: clock::Millis,
        min_time: clock::Millis,
        is_eligible: impl Fn(types::ReplicaId) -> bool,
    ) -> Option<types::ReplicaId> {
        let unreachable = self.unreachable_since.iter();
        let eligible =
            unreachable.filter(|(id, since)| now.since(**since) >= min_time && is_eligible(**id));
        eligible.min_by_key(|(_, since)| **since).map(|(id, _)| *id)
    }
}

/// Returns whether a replica can be admitted or promoted at once. Until it has a vote, the loss of one
/// more voter may leave the group without a quorum, so neither waits for the next round.
pub fn is_replacement_due(status: &status::Status, peers: &[PeerStatus]) -> bool {
    status.role == status::Role::Leader
        && (promotion(status).is_some() || admission(status, peers).is_some())
}

/// Returns the blank replica in whose favour `change` removes the former member at its address.
///
/// What the replica said of itself may have been held up on its way while the address changed hands,
/// so it is asked again right before the removal, which cannot be undone.
pub fn replaced_by<'a>(
    change: &message::MemberChange,
    status: &status::Status,
    peers: &'a [PeerStatus],
) -> Option<&'a PeerStatus> {
    let message::MemberChange::Remove(old) = change else {
        return None;
    };
    let address = status.members.get(*old)?.address;
    new_replica(status, peers).filter(|new| new.address == address)
}

fn promotion(status: &status::Status) -> Option<message::MemberChange> {
    let is_learner = |id| status.members.get(id).is_some_and(|m| !m.is_voter);
    let ready = status
        .progress
        .iter()
        .find(|p| is_learner(p.id) && p.is_reached && p.is_caught_up);
    Some(message::MemberChange::Promote(ready?.id))
}

fn admission(status: &status::Status, peers: &[PeerStatus]) -> Option<message::MemberChange> {
    let new = new_replica(status, peers)?;
    let members = &status.members.members;
    let old = members.iter().find(|m| m.address == new.address);
    Some(match old {
        Some(old) => message::MemberChange::Remove(old.id),
        None => message::MemberChange::Admit(new.address),
    })
}

/// Returns a live replica that belongs to no group yet.
fn new_replica<'a>(status: &status::Status, peers: &'a [PeerStatus]) -> Option<&'a PeerStatus> {
    let is_new =
        |p: &&PeerStatus| p.is_blank && p.age < ALIVE_MS && status.members.get(p.replica).is_none();
    peers.iter().find(is_new)
}

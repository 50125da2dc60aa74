//! Decides which member of the group to admit, promote or remove, without an operator.
//!
//! A process that comes back with an empty disk is another replica, so its former self is removed
//! before it is admitted. A member that is gone for good is removed only once the group has more
//! voters than it is meant to have, so that a repair never leaves it smaller than before.

use nutmegdale_base::clock;
use nutmegdale_consensus::{status, types};
use nutmegdale_rpc::message;
use std::collections;
use std::net;

/// Silence after which a voter is taken to be gone for good, if it has been replaced. It exceeds
/// the time that a VM that was frozen or cut off usually stays so.
const GONE_MS: clock::Millis = clock::Millis(8_000);
/// Age up to which a process counts as alive.
const ALIVE_MS: clock::Millis = clock::Millis(2_000);

/// Coordinator that was heard of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Heard {
    /// Address for messages between processes.
    pub address: net::SocketAddr,
    /// Identity of its replica.
    pub replica: types::ReplicaId,
    /// Whether its replica belongs to no group yet.
    pub is_blank: bool,
    /// Time since it was heard.
    pub age: clock::Millis,
}

/// What the leader remembers between two decisions.
#[derive(Debug, Default)]
pub struct Repair {
    silent_since: collections::HashMap<types::ReplicaId, clock::Millis>,
}

impl Repair {
    /// Returns the next change of the members, if one is due. `wanted` is how many voters the
    /// group is meant to have.
    pub fn next(
        &mut self,
        now: clock::Millis,
        status: &status::Status,
        heard: &[Heard],
        wanted: usize,
    ) -> Option<message::MemberChange> {
        self.note_silence(now, status);
        if status.role != status::Role::Leader {
            return None;
        }
        promotion(status)
            .or_else(|| admission(status, heard))
            .or_else(|| self.removal(now, status, wanted))
    }

    fn note_silence(&mut self, now: clock::Millis, status: &status::Status) {
        if status.role != status::Role::Leader {
            self.silent_since.clear();
            return;
        }
        for progress in &status.progress {
            if progress.is_reached || progress.id == status.id {
                self.silent_since.remove(&progress.id);
            } else {
                self.silent_since.entry(progress.id).or_insert(now);
            }
        }
        let members = &status.members;
        self.silent_since.retain(|id, _| members.get(*id).is_some());
    }

    fn removal(
        &self,
        now: clock::Millis,
        status: &status::Status,
        wanted: usize,
    ) -> Option<message::MemberChange> {
        if status.members.voters().count() <= wanted {
            return None;
        }
        let silent = self.silent_since.iter();
        let gone = silent.filter(|(_, since)| now.since(**since) >= GONE_MS);
        let longest = gone.min_by_key(|(_, since)| **since)?;
        Some(message::MemberChange::Remove(*longest.0))
    }
}

fn promotion(status: &status::Status) -> Option<message::MemberChange> {
    let is_learner = |id| status.members.get(id).is_some_and(|m| !m.is_voter);
    let ready = status
        .progress
        .iter()
        .find(|p| is_learner(p.id) && p.is_reached && p.is_caught_up);
    Some(message::MemberChange::Promote(ready?.id))
}

fn admission(status: &status::Status, heard: &[Heard]) -> Option<message::MemberChange> {
    let members = &status.members;
    let is_new = |h: &&Heard| h.is_blank && h.age < ALIVE_MS && members.get(h.replica).is_none();
    let new = heard.iter().find(is_new)?;
    let former = members.members.iter().find(|m| m.address == new.address);
    Some(match former {
        Some(former) => message::MemberChange::Remove(former.id),
        None => message::MemberChange::Admit(new.address),
    })
}

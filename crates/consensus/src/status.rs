//! Status that a replica reports.

use crate::types;
use nutmegdale_base::clock;
use serde::{Deserialize, Serialize};

/// Role of a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Does not belong to a group yet.
    Blank,
    /// Receives the log but does not vote.
    Learner,
    /// Follows a leader or waits for one.
    Follower,
    /// Requests pre-votes, to learn whether it could win an election.
    PreCandidate,
    /// Requests votes in a term that it has started.
    Candidate,
    /// Leads the group in its term.
    Leader,
    /// No longer takes part, because it was stopped or its disk failed.
    Stopped,
}

/// Replication progress of a member, as known to the leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberProgress {
    /// Member that this describes.
    pub id: types::ReplicaId,
    /// Last index that the member is known to hold durably.
    pub matched: types::Index,
    /// Whether the member responded within the last election timeout.
    pub is_reached: bool,
    /// Whether the member holds every committed entry.
    pub is_caught_up: bool,
    /// Whether the member acknowledged less than before, so that it does not count towards quorums
    /// until it is promoted again.
    pub is_suspect: bool,
}

/// Status of a replica after a step.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the replica's group.
    pub group: String,
    /// ID of this replica.
    pub id: types::ReplicaId,
    /// Current role of this replica.
    pub role: Role,
    /// Newest term that this replica has entered.
    pub term: types::Term,
    /// Leader of the term, if known.
    pub leader: Option<types::ReplicaId>,
    /// Last index that this replica knows to be committed.
    pub commit: types::Index,
    /// Last index passed to the state machine.
    pub applied: types::Index,
    /// Last index of this replica's log.
    pub last: types::Index,
    /// Members currently in effect, committed or not.
    pub members: types::MemberSet,
    /// Members as last committed, if those in effect are not committed yet. Not sent to other
    /// processes, whose older builds cannot decode it.
    #[serde(skip)]
    pub committed_members: Option<types::MemberSet>,
    /// Replication progress of each member; empty unless this replica leads.
    pub progress: Vec<MemberProgress>,
    /// Whether the last membership change is committed and every voter holds the log up to it;
    /// `None` unless this replica leads.
    pub is_repaired: Option<bool>,
    /// Start of the newest round that a quorum answered, on this process's clock: `commit` covers
    /// everything that was committed before it. `None` unless this replica leads and has committed
    /// an entry of its term. Not sent to other processes, whose clocks differ.
    #[serde(skip)]
    pub quorum_contact_at: Option<clock::Millis>,
}

impl Status {
    /// Marks the replica as stopped and clears what only a running replica knows.
    pub fn mark_stopped(&mut self) {
        self.role = Role::Stopped;
        self.leader = None;
        self.progress.clear();
        self.is_repaired = None;
        self.quorum_contact_at = None;
    }

    /// Returns the member that leads, if known.
    pub fn leader_member(&self) -> Option<&types::Member> {
        self.members.get(self.leader?)
    }
}

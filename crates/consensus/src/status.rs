//! What a replica shows of itself.

use crate::types;
use serde::{Deserialize, Serialize};

/// Role of a replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Belongs to no group yet.
    Blank,
    /// Receives the log and does not vote.
    Learner,
    /// Follows a leader or waits for one.
    Follower,
    /// Asks whether it would be elected.
    PreCandidate,
    /// Asks for votes.
    Candidate,
    /// Leads.
    Leader,
    /// Takes part no longer: it was stopped, or its disk failed.
    Stopped,
}

/// Progress of a member, as the leader sees it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberProgress {
    /// The member.
    pub id: types::ReplicaId,
    /// Last index that it holds durably.
    pub matched: types::Index,
    /// Whether it answered within the last election timeout.
    pub is_reached: bool,
    /// Whether it holds everything committed.
    pub is_caught_up: bool,
    /// Whether it acknowledged less than before and is not counted until it is promoted again.
    pub is_suspect: bool,
}

/// State of a replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Status {
    /// Name of the group.
    pub group: String,
    /// Identity of this replica.
    pub id: types::ReplicaId,
    /// Role.
    pub role: Role,
    /// Term.
    pub term: types::Term,
    /// Leader, if known.
    pub leader: Option<types::ReplicaId>,
    /// Last committed index known here.
    pub commit: types::Index,
    /// Last index handed to the state machine.
    pub applied: types::Index,
    /// Last index held here.
    pub last: types::Index,
    /// Members in force.
    pub members: types::MemberSet,
    /// Progress of each member; empty unless this replica leads.
    pub progress: Vec<MemberProgress>,
    /// Whether every voter holds everything committed up to the last change of members; `None`
    /// unless this replica leads.
    pub is_repaired: Option<bool>,
}

impl Status {
    /// Turns this into the status of a replica that takes part no longer.
    pub fn stop(&mut self) {
        self.role = Role::Stopped;
        self.leader = None;
        self.progress.clear();
        self.is_repaired = None;
    }

    /// Returns the leader as a member, if known.
    pub fn leader_member(&self) -> Option<&types::Member> {
        self.members.get(self.leader?)
    }
}

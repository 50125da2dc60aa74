//! What a driver feeds into a replica, and the answers it gets at once.

use crate::types;
use displaydoc::Display;

/// Input of one step.
#[derive(Debug)]
pub enum Input<'a> {
    /// End of a batch of inputs, or nothing but the passing of time: sends what is due.
    Tick,
    /// Message of another replica.
    Message(&'a types::Envelope),
    /// Command for the state machine.
    Propose(&'a [u8]),
    /// Read to confirm by a quorum round that starts after this step, under the driver's number.
    Read(u64),
    /// Change of the members.
    Change(MemberChange),
    /// First members of a new group, for a replica that holds nothing yet.
    Bootstrap {
        /// The members.
        set: &'a types::MemberSet,
        /// Whether all others know the members already, so that an election need not wait.
        is_last: bool,
    },
    /// Snapshot that the driver made durable, so that the entries it covers may be dropped.
    Compact(types::Snapshot),
    /// Transfers leadership to the follower that holds most, before a graceful stop.
    Transfer,
}

/// Change of one member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MemberChange {
    /// Admits a replica as a learner.
    Admit(types::Member),
    /// Makes a learner that has caught up a voter, or readmits a suspect voter.
    Promote(types::ReplicaId),
    /// Removes a member.
    Remove(types::ReplicaId),
}

/// Immediate answer of a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Answer {
    /// The input was taken up.
    Done,
    /// The entry was appended here; it is accepted once it appears among the committed entries
    /// with this term.
    Appended {
        /// Term of the entry.
        term: types::Term,
        /// Position of the entry.
        index: types::Index,
    },
    /// The input was refused and had no effect.
    Refused(Refusal),
}

/// Why an input was refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Refusal {
    /// this replica does not lead
    NotLeader,
    /// too many commands or reads are waiting
    Busy,
    /// an earlier change of members is not committed yet
    ChangePending,
    /// the leader has not committed an entry of its term yet
    NotReady,
    /// the replica is a member already
    AlreadyMember,
    /// the replica is not a member
    NotMember,
    /// the replica has not caught up yet
    NotCaughtUp,
    /// the last voter cannot be removed
    LastVoter,
    /// the replica belongs to a group already
    NotBlank,
    /// the first members do not include this replica as a voter
    NotListed,
}

impl std::error::Error for Refusal {}

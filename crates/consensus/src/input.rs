//! Inputs that a driver passes to a replica, and the immediate responses.

use crate::types;
use displaydoc::Display;

/// Input of one step.
#[derive(Debug)]
pub enum Input<'a> {
    /// End of a batch of inputs, or a timer: sends what is due.
    Tick,
    /// Message from another replica.
    Message(&'a types::Envelope),
    /// Command to append to the log for the state machine.
    Propose(&'a [u8]),
    /// Read with an ID chosen by the driver, to confirm by a quorum round that starts after this
    /// step.
    Read(u64),
    /// Change of the group's members.
    Change(MemberChange),
    /// Initial members of a new group, for a replica without any durable state.
    Bootstrap {
        /// Initial members; must include this replica as a voter.
        set: &'a types::MemberSet,
        /// Whether all other members are bootstrapped already, so that this replica may start an
        /// election at once.
        is_last: bool,
    },
    /// Snapshot that the driver made durable, so that the log can be compacted.
    Compact(types::Snapshot),
    /// Transfers leadership to the most up-to-date follower, before a graceful stop.
    Transfer,
}

/// Change of a single member.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum MemberChange {
    /// Admits a replica as a learner.
    Admit(types::Member),
    /// Makes a learner that has caught up a voter, and counts it towards quorums again if it was
    /// suspect.
    Promote(types::ReplicaId),
    /// Makes a voter, which must not be the last one, a learner.
    Demote(types::ReplicaId),
    /// Removes a member, which must not be the last voter.
    Remove(types::ReplicaId),
}

/// Immediate response to the input of a step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Response {
    /// The input was processed.
    Done,
    /// The entry was appended to this replica's log. It is accepted once an entry with this index
    /// and term is committed.
    Appended {
        /// Term of the appended entry.
        term: types::Term,
        /// Index of the appended entry.
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
    /// the replica is not a voter
    NotVoter,
    /// the replica has not caught up yet
    NotCaughtUp,
    /// the last voter cannot be removed or demoted
    LastVoter,
    /// the replica belongs to a group already
    NotBlank,
    /// the first members do not include this replica as a voter
    NotListed,
}

impl std::error::Error for Refusal {}

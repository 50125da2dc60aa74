//! Terms, indices, members, records and messages of a group.

use serde::{Deserialize, Serialize};
use std::net;

/// Random number that a replica draws when it creates its data folder; an empty folder is a new
/// replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ReplicaId(pub u64);

/// Number of an election.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Term(pub u64);

/// Position in the log; the first entry has index 1.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Index(pub u64);

/// Replica of a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Identity.
    pub id: ReplicaId,
    /// Name of the process.
    pub name: String,
    /// Region of the process.
    pub region: String,
    /// Address for messages.
    pub address: net::SocketAddr,
    /// Whether it votes; a learner only receives the log.
    pub is_voter: bool,
}

/// Replicas of a group; two successive sets differ by one member.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberSet {
    /// Members in order of their identity.
    pub members: Vec<Member>,
}

/// Content of a log entry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// First entry of a term.
    Empty,
    /// Command for the state machine.
    Command(Vec<u8>),
    /// New set of members, in force from the moment it is appended.
    Members(MemberSet),
}

/// Entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Term of the leader that appended it.
    pub term: Term,
    /// Position.
    pub index: Index,
    /// Content.
    pub payload: Payload,
}

/// What a replica must never forget besides its log.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Newest term seen.
    pub term: Term,
    /// Replica voted for in that term.
    pub voted_for: Option<ReplicaId>,
}

/// State machine and members as of one index.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Last index it covers.
    pub index: Index,
    /// Term of that index.
    pub term: Term,
    /// Members as of that index.
    pub members: MemberSet,
    /// State of the state machine.
    pub state: Vec<u8>,
}

/// Everything that a replica reads back from its disk.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Recovered {
    /// Newest term and vote.
    pub hard_state: HardState,
    /// Newest snapshot.
    pub snapshot: Option<Snapshot>,
    /// Entries after the snapshot, without gaps.
    pub entries: Vec<LogEntry>,
}

/// Message between two replicas of a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Name of the group: `catalogue` or `ledger-REGION`.
    pub group: String,
    /// Sender.
    pub from: ReplicaId,
    /// Receiver.
    pub to: ReplicaId,
    /// Term of the sender; for a pre-vote the term that it would start.
    pub term: Term,
    /// Content.
    pub message: Message,
}

/// Content of an envelope.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for a vote, or whether a vote would be given.
    RequestVote {
        /// Whether no term is started yet.
        is_pre_vote: bool,
        /// Last index of the candidate's log.
        last_index: Index,
        /// Term of that index.
        last_term: Term,
    },
    /// Answer to `RequestVote`.
    Vote {
        /// Whether it answers a pre-vote.
        is_pre_vote: bool,
        /// Whether the vote is given.
        is_granted: bool,
    },
    /// Entries for a follower; without entries, a heartbeat.
    Append {
        /// Index before the first entry.
        prev_index: Index,
        /// Term of that index.
        prev_term: Term,
        /// Entries in order.
        entries: Vec<LogEntry>,
        /// Index up to which the leader has committed.
        commit: Index,
        /// Round of the leader's quorum checks that this message belongs to.
        round: u64,
    },
    /// Answer to `Append` and `InstallSnapshot`.
    Appended {
        /// Whether the follower holds the entries durably.
        is_accepted: bool,
        /// If accepted, the last index known to match; otherwise a hint where to go on.
        index: Index,
        /// Round of the message answered.
        round: u64,
    },
    /// Part of a snapshot for a follower that lacks entries the leader dropped.
    InstallSnapshot {
        /// The snapshot; its state holds only the bytes from `offset`.
        snapshot: Snapshot,
        /// Offset of the bytes in the whole state.
        offset: u64,
        /// Whether this is the last part.
        is_last: bool,
        /// Round of the leader's quorum checks.
        round: u64,
    },
    /// Asks the receiver to start an election at once, before its leader stops.
    TimeoutNow,
}

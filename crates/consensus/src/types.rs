//! Terms, indices, members, records and messages of a group.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::net;

/// Random number that a replica draws when it creates its data folder; an empty folder is a new
/// replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ReplicaId(pub u64);

impl fmt::Display for ReplicaId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

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

impl Index {
    /// Returns the position after this one.
    pub fn next(self) -> Index {
        Index(self.0 + 1)
    }

    /// Returns the position before this one; 0 stays 0.
    pub fn prev(self) -> Index {
        Index(self.0.saturating_sub(1))
    }
}

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

impl MemberSet {
    /// Returns the member with an identity.
    pub fn get(&self, id: ReplicaId) -> Option<&Member> {
        self.members.iter().find(|m| m.id == id)
    }

    /// Returns whether a replica votes.
    pub fn is_voter(&self, id: ReplicaId) -> bool {
        self.get(id).is_some_and(|m| m.is_voter)
    }

    /// Returns the identities of the voters.
    pub fn voters(&self) -> impl Iterator<Item = ReplicaId> + '_ {
        self.members.iter().filter(|m| m.is_voter).map(|m| m.id)
    }

    /// Returns how many voters make a quorum.
    pub fn quorum_count(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Returns the largest value that a quorum of voters has reached, given each voter's value.
    pub fn quorum_value<V: Ord + Default + Copy>(&self, value: impl Fn(ReplicaId) -> V) -> V {
        let mut values: Vec<V> = self.voters().map(value).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        let reached = values.get(self.quorum_count() - 1);
        reached.copied().unwrap_or_default()
    }

    /// Puts a member in the place of its identity.
    pub fn put(&mut self, member: Member) {
        match self.members.binary_search_by_key(&member.id, |m| m.id) {
            Ok(at) => self.members[at] = member,
            Err(at) => self.members.insert(at, member),
        }
    }

    /// Removes a member.
    pub fn remove(&mut self, id: ReplicaId) {
        self.members.retain(|m| m.id != id);
    }
}

/// Content of a log entry.
#[serde_with::serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// First entry of a term.
    Empty,
    /// Command for the state machine.
    Command(#[serde_as(as = "serde_with::Bytes")] Vec<u8>),
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

impl LogEntry {
    /// Returns the size that bounds count, in bytes.
    pub fn size_bytes(&self) -> usize {
        const FIXED_BYTES: usize = 32;
        const MEMBER_BYTES: usize = 128;
        FIXED_BYTES
            + match &self.payload {
                Payload::Empty => 0,
                Payload::Command(cmd) => cmd.len(),
                Payload::Members(set) => set.members.len() * MEMBER_BYTES,
            }
    }
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
#[serde_with::serde_as]
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Last index it covers.
    pub index: Index,
    /// Term of that index.
    pub term: Term,
    /// Members as of that index.
    pub members: MemberSet,
    /// State of the state machine.
    #[serde_as(as = "serde_with::Bytes")]
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
        /// Whether the leader asked for the election, so that hearing it is no reason to refuse.
        is_transfer: bool,
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
        /// Last index that the follower holds durably. It never falls under one leader unless the
        /// follower lost its disk's newest state.
        last_index: Index,
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
    /// Answer to a part of a snapshot that is not the last one.
    SnapshotReceived {
        /// Index of the snapshot.
        index: Index,
        /// Bytes received without a gap; the next part starts there.
        received_bytes: u64,
        /// Round of the message answered.
        round: u64,
    },
    /// Asks the receiver to start an election at once, before its leader stops.
    TimeoutNow,
}

//! Terms, indices, members, durable records and messages of a group.

use serde::{Deserialize, Serialize};
use std::fmt;
use std::net;

/// Random ID that a replica draws when it creates its data folder. A replica that starts with an
/// empty folder therefore joins as a new one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct ReplicaId(pub u64);

impl fmt::Display for ReplicaId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Election term; each term has at most one leader.
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
    /// Returns the next index.
    pub fn next(self) -> Index {
        Index(self.0 + 1)
    }

    /// Returns the previous index; 0 stays 0.
    pub fn prev(self) -> Index {
        Index(self.0.saturating_sub(1))
    }
}

/// Replica that belongs to a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// ID of the replica.
    pub id: ReplicaId,
    /// Name of the replica's process.
    pub name: String,
    /// Region in which the process runs.
    pub region: String,
    /// Address at which the process receives messages.
    pub address: net::SocketAddr,
    /// Whether the replica votes; a learner only receives the log.
    pub is_voter: bool,
}

/// Replicas of a group; two successive sets differ by one member.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberSet {
    /// Members, sorted by ID.
    pub members: Vec<Member>,
}

impl MemberSet {
    /// Returns the member with the given ID.
    pub fn get(&self, id: ReplicaId) -> Option<&Member> {
        self.members.iter().find(|m| m.id == id)
    }

    /// Returns whether a replica is a voting member.
    pub fn is_voter(&self, id: ReplicaId) -> bool {
        self.get(id).is_some_and(|m| m.is_voter)
    }

    /// Returns the IDs of the voters.
    pub fn voters(&self) -> impl Iterator<Item = ReplicaId> + '_ {
        self.members.iter().filter(|m| m.is_voter).map(|m| m.id)
    }

    /// Returns the number of voters that form a quorum.
    pub fn quorum_count(&self) -> usize {
        self.voters().count() / 2 + 1
    }

    /// Returns the largest value that a quorum of voters has reached, given the value of each
    /// voter.
    pub fn quorum_value<V: Ord + Default + Copy>(&self, value: impl Fn(ReplicaId) -> V) -> V {
        let mut values: Vec<V> = self.voters().map(value).collect();
        values.sort_unstable_by(|a, b| b.cmp(a));
        let reached = values.get(self.quorum_count() - 1);
        reached.copied().unwrap_or_default()
    }

    /// Inserts a member, or replaces the one with the same ID.
    pub fn put(&mut self, member: Member) {
        match self.members.binary_search_by_key(&member.id, |m| m.id) {
            Ok(at) => self.members[at] = member,
            Err(at) => self.members.insert(at, member),
        }
    }

    /// Makes a member a learner, if present.
    pub fn demote(&mut self, id: ReplicaId) {
        for member in self.members.iter_mut().filter(|m| m.id == id) {
            member.is_voter = false;
        }
    }

    /// Removes a member, if present.
    pub fn remove(&mut self, id: ReplicaId) {
        self.members.retain(|m| m.id != id);
    }
}

/// Content of a log entry.
#[serde_with::serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Payload {
    /// No command; a leader appends it as the first entry of its term.
    Empty,
    /// Encoded command for the state machine.
    Command(#[serde_as(as = "serde_with::Bytes")] Vec<u8>),
    /// New member set, in effect as soon as it is appended.
    Members(MemberSet),
}

/// Entry of the log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LogEntry {
    /// Term of the leader that appended it.
    pub term: Term,
    /// Index of the entry in the log.
    pub index: Index,
    /// What the entry carries.
    pub payload: Payload,
}

impl LogEntry {
    /// Returns the approximate size in bytes, as counted against the limits.
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

/// State besides the log that must be durable before a replica acts on it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Newest term that the replica has entered.
    pub term: Term,
    /// Replica voted for in that term.
    pub voted_for: Option<ReplicaId>,
}

/// State of the state machine and members as of one index.
#[serde_with::serde_as]
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Last index that the snapshot covers.
    pub index: Index,
    /// Term of that index.
    pub term: Term,
    /// Members as of that index.
    pub members: MemberSet,
    /// Encoded state of the state machine.
    #[serde_as(as = "serde_with::Bytes")]
    pub state: Vec<u8>,
}

/// Durable state that a replica reads from its disk at the start.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Recovered {
    /// Newest durable term and vote.
    pub hard_state: HardState,
    /// Newest durable snapshot.
    pub snapshot: Option<Snapshot>,
    /// Entries after the snapshot, without gaps.
    pub entries: Vec<LogEntry>,
}

/// Message between two replicas of a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Envelope {
    /// Name of the group: `catalogue` or `ledger-REGION`.
    pub group: String,
    /// Replica that sends the message.
    pub from: ReplicaId,
    /// Replica that the message is for.
    pub to: ReplicaId,
    /// Term of the sender; for a pre-vote the term that the election would start.
    pub term: Term,
    /// What the envelope carries.
    pub message: Message,
}

/// Message body of an envelope.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Requests a vote or a pre-vote.
    RequestVote {
        /// Whether this is a pre-vote, which starts no term yet.
        is_pre_vote: bool,
        /// Last index of the candidate's log.
        last_index: Index,
        /// Term of that index.
        last_term: Term,
        /// Whether the leader requested the election, so that voters do not refuse because of
        /// recent contact with it.
        is_transfer: bool,
    },
    /// Response to `RequestVote`.
    Vote {
        /// Whether this responds to a pre-vote request.
        is_pre_vote: bool,
        /// Whether the vote is granted.
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
        /// Last index that the leader has committed.
        commit: Index,
        /// Quorum round of the leader that this message belongs to; numbered per term, from 1.
        round: u64,
    },
    /// Response to `Append`, and to `InstallSnapshot` if no further part is needed.
    Appended {
        /// Whether the follower holds the entries durably.
        is_accepted: bool,
        /// If accepted, the last index known to match; otherwise the index after which the leader
        /// should retry.
        index: Index,
        /// Last index that the follower holds durably. While one leader leads, a smaller value than
        /// before means that the follower lost the newest state of its disk.
        last_index: Index,
        /// Round of the request.
        round: u64,
    },
    /// Part of a snapshot, for a follower that lacks entries which the leader has compacted.
    InstallSnapshot {
        /// Snapshot whose state holds only the bytes of this part.
        snapshot: Snapshot,
        /// Offset of this part in the whole state, in bytes.
        offset: u64,
        /// Whether this is the last part.
        is_last: bool,
        /// Quorum round of the leader that this message belongs to.
        round: u64,
    },
    /// Response to a part of a snapshot if further parts are needed.
    SnapshotReceived {
        /// Last index that the snapshot covers.
        index: Index,
        /// Bytes received without a gap, which is the offset of the next part.
        received_bytes: u64,
        /// Round of the request.
        round: u64,
    },
    /// Requests that the receiver starts an election at once, because its leader is about to stop.
    TimeoutNow,
}

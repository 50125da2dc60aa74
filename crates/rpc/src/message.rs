//! Messages that join several pure crates.

use nutmegdale_admission::shares;
use nutmegdale_catalogue::{audit, config, diff};
use nutmegdale_consensus::types;
use nutmegdale_grants::message as grants;
use nutmegdale_membership::announcement;
use nutmegdale_membership::directory;
use nutmegdale_membership::hub;
use serde::{Deserialize, Serialize};
use std::net;

/// Version of the protocol between processes; a peer with another one is refused.
pub const PROTOCOL: &str = "1";
/// Header that carries [`PROTOCOL`].
pub const PROTOCOL_HEADER: &str = "nutmegdale-protocol";
/// Header that carries the cluster token.
pub const TOKEN_HEADER: &str = "nutmegdale-cluster-token";
/// Path prefix of calls; the name of the call follows.
pub const CALL_PATH: &str = "/call/";
/// Largest body of a call or its answer, in bytes.
pub const BODY_MAX_BYTES: usize = 16 * 1024 * 1024;

/// Control process as entry processes know it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlMember {
    /// Name of the process.
    pub name: String,
    /// Region that it runs in.
    pub region: String,
    /// Address that the system's processes connect to.
    pub address: net::SocketAddr,
}

/// Control processes of the system.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlList {
    /// Number that another list does not have, so that the list travels only when it is new; 0 for
    /// the list of an entry process that has none.
    pub revision: u32,
    /// Members.
    pub members: Vec<ControlMember>,
}

impl ControlList {
    /// Creates the list of `members`.
    pub fn new(members: Vec<ControlMember>) -> ControlList {
        let revision = fnv1a(format!("{members:?}").as_bytes()).max(1);
        ControlList { revision, members }
    }
}

/// 32-bit FNV-1a, which every build computes alike, unlike the standard library's hasher.
fn fnv1a(bytes: &[u8]) -> u32 {
    let step = |hash: u32, byte: &u8| (hash ^ u32::from(*byte)).wrapping_mul(0x0100_0193);
    bytes.iter().fold(0x811c_9dc5, step)
}

/// Sync of an entry process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncRequest {
    /// The entry process.
    pub entry: hub::EntryRecord,
    /// Version that is in force there.
    pub version: config::Version,
    /// What it holds of the hub's table.
    pub position: directory::Position,
    /// Announcements that changed there since the last sync that was answered.
    pub changed: Vec<announcement::Announcement>,
    /// Whether `changed` lists every server that announces itself there.
    pub is_all: bool,
    /// States of servers that answers told of.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub heard: Vec<hub::ReportedState>,
    /// Grants of cold servers that it wants or gives up.
    #[serde(default, skip_serializing_if = "grants::GrantRequest::is_empty")]
    pub grants: grants::GrantRequest,
    /// Demand for limited routes and accounts.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub demands: Vec<shares::Demand>,
    /// Revision of the list of control processes that it holds.
    pub control: u32,
    /// Whether the answer may be held until something changes.
    pub may_hold: bool,
    /// Whether a follower should pass the sync on, since the leader could not be reached.
    pub may_forward: bool,
    /// Whether a follower passed the sync on, so that it is not passed on again.
    pub is_forwarded: bool,
    /// Counts of what the entry process did, from time to time.
    #[serde(default, skip_serializing_if = "audit::Report::is_empty")]
    pub audit: audit::Report,
}

/// How an entry process comes to the newest configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// The whole configuration.
    Whole(Box<config::Config>),
    /// The entries that differ from the version that the request named. At 40 entry processes and
    /// 1,600 changes a day the whole configuration would use up the budget of a control process.
    Effects(Vec<diff::Effect>),
}

/// State of the leader, after a quorum confirmed its leadership.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Confirmed {
    /// Newest accepted version; it was confirmed after the sync arrived.
    pub version: config::Version,
    /// Digest of that version, which a configuration that was updated must have.
    pub digest: u64,
    /// The way there, if the entry process holds an older one.
    pub update: Option<Update>,
    /// What the entry process lacks of the hub's table.
    pub delta: directory::Delta,
    /// Whether the next sync must list every server that announces itself there.
    pub wants_all: bool,
    /// Grants of cold servers, counted from the sending of the sync.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub grants: Vec<grants::Grant>,
    /// Shares of the limits in demand.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub shares: Vec<shares::Share>,
    /// The list of control processes, if the entry process holds another one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub control: Option<ControlList>,
}

/// Answer to a sync.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum SyncReply {
    /// State of the leader.
    Confirmed(Box<Confirmed>),
    /// The process does not lead.
    NotLeader {
        /// Address of the leader, if known.
        leader: Option<net::SocketAddr>,
    },
}

/// Messages of consensus groups from one control process to another; one way.
#[serde_with::serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RaftBatch {
    /// Address at which the sender takes calls.
    pub sender: net::SocketAddr,
    /// Encoded envelopes, in the order in which they were sent.
    #[serde_as(as = "Vec<serde_with::Bytes>")]
    pub envelopes: Vec<Vec<u8>>,
}

/// Asks a control process who its replica of a group is.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupQuery {
    /// Name of the group.
    pub group: String,
}

/// Who a replica is, before it is known as a member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupAnswer {
    /// The replica as a member.
    pub member: types::Member,
    /// Whether an operator prepared its folder for the first bootstrap.
    pub is_prepared: bool,
    /// Members in force there; empty if the replica belongs to no group yet.
    pub members: types::MemberSet,
    /// Processes that its settings list for the group, as `NAME@REGION=ADDRESS`.
    pub listed: Vec<String>,
}

/// Tells a replica the first members of its group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BootstrapRequest {
    /// Name of the group.
    pub group: String,
    /// First members.
    pub members: types::MemberSet,
}

/// Change of the members of a group, for its leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberChangeRequest {
    /// Name of the group.
    pub group: String,
    /// The change.
    pub change: MemberChange,
}

/// Change of one member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberChange {
    /// Admits the new replica of the control process at an address as a learner.
    Admit(net::SocketAddr),
    /// Makes a learner that has caught up a voter, or readmits a replica that had lost state.
    Promote(types::ReplicaId),
    /// Removes a member.
    Remove(types::ReplicaId),
}

/// Answer to a change of members.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberChangeReply {
    /// The change is committed.
    Done {
        /// The replica that was admitted, promoted or removed.
        id: types::ReplicaId,
    },
    /// The process does not lead the group.
    NotLeader {
        /// Address of the leader, if known.
        leader: Option<net::SocketAddr>,
    },
    /// The change was not made, or it is not known whether it was.
    Failed {
        /// Rule or error, as a sentence.
        text: String,
    },
}

/// Request of an operator that a follower passes on to the leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdminRequest {
    /// Operator, whose token the follower has checked.
    pub operator: String,
    /// Method.
    pub method: String,
    /// Path.
    pub path: String,
    /// Query, or the empty string.
    pub query: String,
    /// Body.
    pub body: Vec<u8>,
}

/// Answer to a request of an operator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdminReply {
    /// HTTP status.
    pub status: u16,
    /// JSON body.
    pub body: Vec<u8>,
}

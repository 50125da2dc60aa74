//! Messages that combine types of several pure crates.

use nutmegdale_admission::shares;
use nutmegdale_catalogue::{audit, config, diff};
use nutmegdale_consensus::types;
use nutmegdale_grants::message as grants;
use nutmegdale_membership::announcement;
use nutmegdale_membership::directory;
use nutmegdale_membership::hub;
use serde::{Deserialize, Serialize};
use std::net;

/// Version of the protocol between processes; calls with any other version are refused.
pub const PROTOCOL: &str = "1";
/// Header that carries [`PROTOCOL`].
pub const PROTOCOL_HEADER: &str = "nutmegdale-protocol";
/// Header that carries the cluster token.
pub const TOKEN_HEADER: &str = "nutmegdale-cluster-token";
/// Path prefix of a call, followed by the name of the call.
pub const CALL_PATH: &str = "/call/";
/// Maximum size of the body of a call or of its response, in bytes.
pub const BODY_MAX_BYTES: usize = 16 * 1024 * 1024;

/// Control process, as advertised to entry processes.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlMember {
    /// Name of the process.
    pub name: String,
    /// Region in which the process runs.
    pub region: String,
    /// Address at which the process accepts calls of other processes.
    pub address: net::SocketAddr,
}

/// Control processes of the cluster.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ControlList {
    /// Hash of the members, so that the list is only sent to entry processes that hold another one;
    /// 0 for an entry process that has no list yet.
    pub revision: u32,
    /// Control processes, in the order in which they are hashed.
    pub members: Vec<ControlMember>,
}

impl ControlList {
    /// Creates a list of `members` and computes its revision.
    pub fn new(members: Vec<ControlMember>) -> ControlList {
        let revision = fnv1a(format!("{members:?}").as_bytes()).max(1);
        ControlList { revision, members }
    }
}

/// 32-bit FNV-1a hash, which is the same in every build, unlike the standard library's hasher.
fn fnv1a(bytes: &[u8]) -> u32 {
    let step = |hash: u32, byte: &u8| (hash ^ u32::from(*byte)).wrapping_mul(0x0100_0193);
    bytes.iter().fold(0x811c_9dc5, step)
}

/// Periodic sync of an entry process with a control process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncRequest {
    /// Entry process that sends the sync.
    pub entry: hub::EntryRecord,
    /// Configuration version in force at the entry process.
    pub version: config::Version,
    /// Position up to which the entry process holds the hub's table.
    pub position: directory::Position,
    /// Announcements that changed at the entry process since the last answered sync.
    pub changed: Vec<announcement::Announcement>,
    /// Whether `changed` lists all servers that announce themselves to the entry process.
    pub is_all: bool,
    /// Server states that were reported in the servers' responses.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub heard: Vec<hub::ReportedState>,
    /// Grants for cold servers that the entry process requests or releases.
    #[serde(default, skip_serializing_if = "grants::GrantRequest::is_empty")]
    pub grants: grants::GrantRequest,
    /// Demand for rate-limited routes and accounts.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub demands: Vec<shares::Demand>,
    /// Revision of the entry process's list of control processes.
    pub control: u32,
    /// Whether the reply may be delayed until something changes (long poll).
    pub may_hold: bool,
    /// Whether a follower should forward the sync, because the entry process cannot reach the
    /// leader.
    pub may_forward: bool,
    /// Whether a follower has forwarded the sync, so that it is not forwarded again.
    pub is_forwarded: bool,
    /// Request counts of the entry process, sent only with some syncs.
    #[serde(default, skip_serializing_if = "audit::Report::is_empty")]
    pub audit: audit::Report,
}

/// Update of an entry process to the newest configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Update {
    /// The full configuration.
    Whole(Box<config::Config>),
    /// The entries that differ from the version in the request. With 40 entry processes and 1,600
    /// changes a day, sending the full configuration would use up the budget of a control process.
    Effects(Vec<diff::Effect>),
}

/// State of the leader, sent after a quorum confirmed its leadership.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Confirmed {
    /// Newest accepted configuration version, confirmed after the sync arrived.
    pub version: config::Version,
    /// Digest of that version, which the configuration must match after the update is applied.
    pub digest: u64,
    /// Update to that version, if the entry process holds an older one.
    pub update: Option<Update>,
    /// Changes of the hub's table that the entry process has not received yet.
    pub delta: directory::Delta,
    /// Whether the next sync must list all servers that announce themselves to the entry process.
    pub wants_all: bool,
    /// Grants for cold servers; their lifetimes start when the entry process sent the sync.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub grants: Vec<grants::Grant>,
    /// Shares of the rate limits for which the entry process reported demand.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub shares: Vec<shares::Share>,
    /// Current list of control processes, if the entry process holds another revision.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub control: Option<ControlList>,
}

/// Reply to a sync.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum SyncReply {
    /// The leader's confirmed state.
    Confirmed(Box<Confirmed>),
    /// The process is not the leader.
    NotLeader {
        /// Address of the leader, if known.
        leader: Option<net::SocketAddr>,
    },
}

/// One-way batch of consensus messages from one control process to another.
#[serde_with::serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RaftBatch {
    /// Address at which the sender accepts calls.
    pub sender: net::SocketAddr,
    /// Encoded envelopes, in sending order.
    #[serde_as(as = "Vec<serde_with::Bytes>")]
    pub envelopes: Vec<Vec<u8>>,
}

/// Query for the identity of a control process's replica of a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupQuery {
    /// Name of the consensus group.
    pub group: String,
}

/// Identity of a replica that may not be a member of its group yet.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupAnswer {
    /// Member record of the replica.
    pub member: types::Member,
    /// Whether an operator initialized its data directory for the first bootstrap.
    pub is_prepared: bool,
    /// Membership in force at the replica; empty if it belongs to no group yet.
    pub members: types::MemberSet,
    /// Processes listed for the group in its settings, as `NAME@REGION=ADDRESS`.
    pub listed: Vec<String>,
}

/// Bootstraps a replica with the initial members of its group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BootstrapRequest {
    /// Name of the consensus group.
    pub group: String,
    /// Initial members.
    pub members: types::MemberSet,
}

/// Request to the leader of a group to change the group's membership.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberChangeRequest {
    /// Name of the consensus group.
    pub group: String,
    /// Change to make.
    pub change: MemberChange,
}

/// Membership change of a single replica.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberChange {
    /// Admits the new replica of the control process at an address as a learner.
    Admit(net::SocketAddr),
    /// Promotes a learner that has caught up to a voter, or readmits a replica that lost its state.
    Promote(types::ReplicaId),
    /// Makes a voter a learner, so that it no longer counts towards quorums. It can be promoted again.
    Demote(types::ReplicaId),
    /// Removes a member.
    Remove(types::ReplicaId),
}

/// Reply to a membership change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberChangeReply {
    /// The change is committed.
    Done {
        /// The replica that was admitted, promoted, demoted or removed.
        id: types::ReplicaId,
    },
    /// The process is not the leader of the group.
    NotLeader {
        /// Address of the leader, if known.
        leader: Option<net::SocketAddr>,
    },
    /// The change was rejected, or its outcome is unknown.
    Failed {
        /// Violated rule or error, as a sentence.
        text: String,
    },
}

/// Operator request that a follower forwards to the leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdminRequest {
    /// Name of the operator, whose token the follower has verified.
    pub operator: String,
    /// HTTP method.
    pub method: String,
    /// Path of the request URI.
    pub path: String,
    /// Query string of the request URI, or empty.
    pub query: String,
    /// Request body.
    pub body: Vec<u8>,
}

/// Response to an operator request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AdminReply {
    /// HTTP status code.
    pub status: u16,
    /// JSON body.
    pub body: Vec<u8>,
}

//! Messages that join several pure crates.

use nutmegdale_base::clock;
use nutmegdale_catalogue::config;
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

/// Longest time that a control process holds a sync open.
pub const SYNC_HOLD_MS: clock::Millis = clock::Millis(1_000);

/// Sync of an entry process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncRequest {
    /// The entry process.
    pub entry: hub::EntryRecord,
    /// Version that is in force there.
    pub version: config::Version,
    /// What it holds of the hub's table.
    pub position: directory::Position,
    /// Announcements that changed there since the hub of `position` took them up.
    pub changed: Vec<announcement::Announcement>,
    /// Whether the answer may be held until something changes.
    pub may_hold: bool,
    /// Whether a follower passed the sync on, so that it is not passed on again.
    pub is_forwarded: bool,
}

/// Answer to a sync, made only after a quorum confirmed the leader.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum SyncReply {
    /// State of the leader.
    Confirmed {
        /// Newest accepted version; it was confirmed after the sync arrived.
        version: config::Version,
        /// The configuration, if the entry process holds an older one.
        config: Option<Box<config::Config>>,
        /// What the entry process lacks of the hub's table.
        delta: directory::Delta,
    },
    /// The process does not lead.
    NotLeader {
        /// Address of the leader, if known.
        leader: Option<net::SocketAddr>,
    },
}

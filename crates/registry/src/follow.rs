//! Messages between a follower of the registry and a coordinator, and the follower's copy.

use crate::document;
use crate::feed;
use crate::server;
use nutmegdale_base::{clock, digest};
use serde::{Deserialize, Serialize};
use std::collections;
use std::net;

/// Name of the call of a follower to a coordinator.
pub const SYNC: &str = "registry-sync";

/// Entry process, as others need to know it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// Name.
    pub name: String,
    /// Address for callers.
    pub address: net::SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Region of the zone.
    pub region: String,
}

/// What a follower asks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncRequest {
    /// The follower.
    pub entry: Entry,
    /// Whether callers may be sent to it.
    pub is_ready: bool,
    /// Index up to which it holds the registry.
    pub index: u64,
    /// Digest of the list of entry processes that it holds.
    pub entries_digest: u64,
    /// Time for which the answer may be held until something changes.
    pub hold: clock::Millis,
}

/// Coordinator that followers may ask.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Coordinator {
    /// Address for messages between processes.
    pub address: net::SocketAddr,
    /// Availability zone; empty if it is not known.
    pub zone: String,
}

/// Answer of a coordinator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncReply {
    /// Whether the coordinator is in touch with a leader. Others may have missed changes, so a
    /// follower asks elsewhere.
    pub is_current: bool,
    /// Index up to which the changes go.
    pub index: u64,
    /// Whether the changes are the whole registry.
    pub is_whole: bool,
    /// Changes in order. The cold time of a server is what was left when the answer was made.
    pub changes: Vec<feed::Change>,
    /// Entry processes that are alive and ready, if the follower holds another list.
    pub entries: Option<Vec<Entry>>,
    /// Coordinators to ask.
    pub coordinators: Vec<Coordinator>,
}

/// Returns a number that two lists of entry processes share only if they are equal.
pub fn digest(entries: &[Entry]) -> u64 {
    digest::of(entries)
}

/// Server as a follower holds it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Server {
    /// What it announced.
    pub announcement: server::Announcement,
    /// Time on the follower's clock until which it is cold.
    pub cold_until: clock::Millis,
}

/// Copy of the registry.
///
/// Invariant: the index never falls, so that a coordinator that lags takes nothing back.
#[derive(Debug, Clone, Default)]
pub struct LocalCopy {
    /// Index up to which it holds the registry.
    pub index: u64,
    /// Version of the configuration; 0 without one.
    pub version: u64,
    /// Document of the configuration.
    pub document: document::Document,
    /// Zones out of service.
    pub zones_out: collections::BTreeSet<String>,
    /// Servers by id.
    pub servers: collections::BTreeMap<String, Server>,
    /// Entry processes that are alive and ready.
    pub entries: Vec<Entry>,
}

impl LocalCopy {
    /// Takes up an answer; returns whether anything changed.
    pub fn apply(&mut self, now: clock::Millis, reply: SyncReply) -> bool {
        let mut is_changed = false;
        if let Some(entries) = reply.entries {
            is_changed = self.entries != entries;
            self.entries = entries;
        }
        if reply.index <= self.index {
            return is_changed;
        }
        if reply.is_whole {
            self.servers.clear();
        }
        is_changed |= reply.is_whole || !reply.changes.is_empty();
        for change in reply.changes {
            self.change(now, change);
        }
        self.index = reply.index;
        is_changed
    }

    fn change(&mut self, now: clock::Millis, change: feed::Change) {
        match change {
            feed::Change::Configuration { version, document } => {
                self.version = version;
                self.document = document;
            }
            feed::Change::ZonesOut(zones) => self.zones_out = zones.into_iter().collect(),
            feed::Change::Server(announcement) => {
                let known = Server {
                    cold_until: now + announcement.cold_left,
                    announcement,
                };
                self.servers.insert(known.announcement.id.clone(), known);
            }
            feed::Change::Forgotten(id) => drop(self.servers.remove(&id)),
        }
    }
}

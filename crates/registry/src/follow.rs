//! Messages between a follower of the registry and a coordinator, and the follower's copy.

use crate::document;
use crate::entry_list;
use crate::feed;
use crate::rollout;
use crate::server;
use nutmegdale_base::{clock, digest};
use serde::{Deserialize, Serialize};
use std::collections;
use std::net;

/// Name of the call by which a follower fetches changes from a coordinator.
pub const SYNC: &str = "registry-sync";
/// Name of the same call with the age of the coordinator's evidence in the reply, which older builds
/// cannot decode.
pub const SYNC_CONFIRMED: &str = "registry-sync-confirmed";

/// Name of the same call with a [`SyncUpdate`] as its reply.
pub const SYNC_CHANGES: &str = "registry-sync-changes";

/// Identity and location of an entry process.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Entry {
    /// Name of the process.
    pub name: String,
    /// Address that callers connect to.
    pub address: net::SocketAddr,
    /// Availability zone that it runs in.
    pub zone: String,
    /// Region of the zone.
    pub region: String,
}

/// Request of a follower for the changes that its copy lacks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncRequest {
    /// Entry process that is the follower.
    pub entry: Entry,
    /// Whether it is ready for requests of callers.
    pub is_ready: bool,
    /// Index of the last command that its copy includes.
    pub index: u64,
    /// Digest of its list of entry processes.
    pub entries_digest: u64,
    /// Longest time for which the coordinator may delay its reply until something changes.
    pub hold: clock::Millis,
}

/// Coordinator that followers can sync with.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Coordinator {
    /// Address for messages between processes.
    pub address: net::SocketAddr,
    /// Availability zone; empty if it is not known.
    pub zone: String,
}

/// Reply of a coordinator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncReply {
    /// Whether the coordinator has recent evidence that it has every accepted change. Otherwise the
    /// follower tries another coordinator.
    pub is_current: bool,
    /// Index of the last command that the changes include.
    pub index: u64,
    /// Whether the changes are the full state and not those since the follower's index.
    pub is_whole: bool,
    /// Changes in order. The cold time of a server is the time left when the reply was created.
    pub changes: Vec<feed::Change>,
    /// Entry processes that are alive and ready, if the follower's list differs.
    pub entries: Option<Vec<Entry>>,
    /// Coordinators that the follower can sync with.
    pub coordinators: Vec<Coordinator>,
    /// How long before the reply every change accepted until then was in the coordinator's
    /// registry; `None` without evidence.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub confirmation_age: Option<clock::Millis>,
}

/// Reply to [`SYNC_CHANGES`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SyncUpdate {
    /// Reply without a list of entry processes, unless the whole list is needed.
    pub reply: SyncReply,
    /// Changes to the list of entry processes that the follower holds.
    pub entry_changes: Option<entry_list::EntryChanges>,
}

impl From<SyncReply> for SyncUpdate {
    fn from(reply: SyncReply) -> SyncUpdate {
        SyncUpdate {
            reply,
            entry_changes: None,
        }
    }
}

/// Returns the digest by which two lists of entry processes are compared.
pub fn entries_digest(entries: &[Entry]) -> u64 {
    digest::of(entries)
}

/// Backend server in the copy of a follower.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Server {
    /// Newest announcement.
    pub announcement: server::Announcement,
    /// Time on the follower's clock until which it is cold.
    pub cold_until: clock::Millis,
}

/// A follower's copy of the registry.
///
/// Invariant: the index never decreases, so that a lagging coordinator cannot undo changes.
#[derive(Debug, Clone, Default)]
pub struct LocalCopy {
    /// Index of the last command that the copy includes.
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
    /// Newest rollout of each service, with the time on the follower's clock at which its order
    /// became known.
    pub rollouts: collections::BTreeMap<String, (clock::Millis, rollout::Rollout)>,
}

impl LocalCopy {
    /// Applies a reply with changes to the list of entry processes; returns whether anything changed.
    pub fn apply_update(&mut self, now: clock::Millis, update: SyncUpdate) -> bool {
        let has_entry_changes = update.entry_changes.is_some();
        if let Some(changes) = update.entry_changes {
            changes.apply(&mut self.entries);
        }
        self.apply(now, update.reply) || has_entry_changes
    }

    /// Applies a reply and returns whether anything changed.
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
            self.apply_change(now, change);
        }
        self.index = reply.index;
        is_changed
    }

    fn apply_change(&mut self, now: clock::Millis, change: feed::Change) {
        match change {
            feed::Change::Configuration { version, document } => {
                self.version = version;
                self.document = document;
            }
            feed::Change::ZonesOut(zones) => self.zones_out = zones.into_iter().collect(),
            feed::Change::Server(announcement) => {
                let server = Server {
                    cold_until: now + announcement.cold_left,
                    announcement,
                };
                self.servers.insert(server.announcement.id.clone(), server);
            }
            feed::Change::Forgotten(id) => drop(self.servers.remove(&id)),
            feed::Change::Rollout(service, rollout) => self.apply_rollout(now, service, rollout),
        }
    }

    fn apply_rollout(&mut self, now: clock::Millis, service: String, rollout: rollout::Rollout) {
        let known = self.rollouts.get(&service);
        let known = known.filter(|(_, known)| known.order == rollout.order);
        let known_since = known.map_or(now, |(since, _)| *since);
        self.rollouts.insert(service, (known_since, rollout));
    }

    /// Returns whether servers of a service with this version are excluded, since the version was
    /// rolled back.
    pub fn is_excluded(&self, service: &str, version: &str) -> bool {
        let rollout = self.rollouts.get(service);
        rollout.is_some_and(|(_, rollout)| rollout.excludes(version))
    }
}

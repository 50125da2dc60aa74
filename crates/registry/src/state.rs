//! The state machine of the registry.
//!
//! Invariants: versions only increase; a version that was accepted once is accepted again only with
//! the same document; a server that has begun to leave does not return to service before it
//! restarts.

use crate::claim;
use crate::document;
use crate::feed;
use crate::rollout;
use crate::server;
use serde::{Deserialize, Serialize};
use sha2::Digest;
use std::collections;

/// Command of an operator or of the system itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// Replaces the configuration.
    Configure {
        /// Version of the new configuration.
        version: u64,
        /// Version that it is based on.
        base: u64,
        /// Document of the new configuration.
        document: document::Document,
    },
    /// Takes a zone out of service.
    ZoneOut(String),
    /// Puts a zone back into service.
    ZoneIn(String),
    /// Records the announcement of a server.
    Announce(server::Announcement),
    /// Records that the server with this id deregistered itself.
    Leave(String),
    /// Removes servers that have not announced themselves for long, by id and start time.
    Forget(Vec<(String, u64)>),
    /// Starts a rollout.
    StartRollout(rollout::Start),
    /// Moves a rollout on.
    AdvanceRollout(rollout::Advance),
    /// Records the announcement of a server that the order of starts and addresses overrules, after
    /// evidence that it is alive.
    Readmit(claim::Claim),
}

/// Answer to a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The command was applied or had been applied before.
    Done,
    /// The base is not the current version, or the new version is not above it; or another rollout
    /// of the service is running.
    Conflict {
        /// Current version, or index of the order of the running rollout.
        current: u64,
    },
}

/// SHA-256 of a document.
type Fingerprint = [u8; 32];

/// Returns the fingerprint of the decompressed document.
fn fingerprint(document: &document::Document) -> Fingerprint {
    let document = document.unpack();
    let document = document.expect("a coordinator of this build packed the document");
    sha2::Sha256::digest(document).into()
}

/// State of the registry.
#[serde_with::serde_as]
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// Index of the last applied command.
    pub index: u64,
    /// Current version; 0 before the first configuration.
    pub version: u64,
    /// Document of the current version.
    pub document: document::Document,
    /// Each accepted version with the fingerprint of its document, so that a resend is recognised
    /// also after later versions were accepted.
    accepted: collections::BTreeMap<u64, Fingerprint>,
    /// Zones out of service.
    pub zones_out: collections::BTreeSet<String>,
    /// Servers by id.
    pub servers: collections::BTreeMap<String, server::Record>,
    /// Newest rollout of each service. It is not encoded without one, so that snapshots are the same
    /// as without this field.
    #[serde(default, skip_serializing_if = "collections::BTreeMap::is_empty")]
    pub rollouts: collections::BTreeMap<String, rollout::Rollout>,
}

impl State {
    /// Applies the command at `index` and appends the resulting changes to `changes`.
    pub fn apply(&mut self, index: u64, cmd: Command, changes: &mut Vec<feed::Change>) -> Reply {
        self.index = index;
        match cmd {
            Command::Configure {
                version,
                base,
                document,
            } => return self.configure(version, base, document, changes),
            Command::ZoneOut(zone) => {
                if self.zones_out.insert(zone) {
                    changes.push(self.zones_change());
                }
            }
            Command::ZoneIn(zone) => {
                if self.zones_out.remove(&zone) {
                    changes.push(self.zones_change());
                }
            }
            Command::Announce(announcement) => self.announce(announcement, changes),
            Command::Leave(id) => self.leave(&id, changes),
            Command::Forget(incarnations) => self.forget(&incarnations, changes),
            Command::StartRollout(start) => return self.start_rollout(start, changes),
            Command::AdvanceRollout(advance) => self.advance_rollout(&advance, changes),
            Command::Readmit(claim) => self.readmit(claim, changes),
        }
        Reply::Done
    }

    /// Returns whether exactly this configuration was accepted before.
    pub fn was_accepted(&self, version: u64, document: &document::Document) -> bool {
        self.accepted
            .get(&version)
            .is_some_and(|accepted| *accepted == fingerprint(document))
    }

    fn configure(
        &mut self,
        version: u64,
        base: u64,
        document: document::Document,
        changes: &mut Vec<feed::Change>,
    ) -> Reply {
        if self.was_accepted(version, &document) {
            return Reply::Done;
        }
        if base != self.version || version <= self.version {
            return Reply::Conflict {
                current: self.version,
            };
        }
        self.accepted.insert(version, fingerprint(&document));
        self.version = version;
        self.document = document.clone();
        changes.push(feed::Change::Configuration { version, document });
        Reply::Done
    }

    fn zones_change(&self) -> feed::Change {
        feed::Change::ZonesOut(self.zones_out.iter().cloned().collect())
    }

    fn announce(&mut self, new: server::Announcement, changes: &mut Vec<feed::Change>) {
        if let Some(record) = self.servers.get(&new.id) {
            let old = &record.announcement;
            let is_leaving = new.born == old.born && old.state != server::State::Ready;
            let is_stale_ready = is_leaving && new.state == server::State::Ready;
            if !server::is_newer(&new, old) || is_stale_ready {
                return;
            }
        }
        if self.has_newer_at_address(&new) {
            return;
        }
        self.record(new, changes);
    }

    pub(crate) fn record(&mut self, new: server::Announcement, changes: &mut Vec<feed::Change>) {
        self.retire_others_at_address(&new, changes);
        let record = server::Record {
            announcement: new.clone(),
            index: self.index,
            replaced_by: None,
        };
        self.servers.insert(new.id.clone(), record);
        changes.push(feed::Change::Server(new));
    }

    /// Returns whether a server that started later is registered with the address of `new`.
    pub(crate) fn has_newer_at_address(&self, new: &server::Announcement) -> bool {
        let mut records = self.servers.values().map(|record| &record.announcement);
        records.any(|a| a.address == new.address && a.id != new.id && a.born > new.born)
    }

    fn retire_others_at_address(
        &mut self,
        new: &server::Announcement,
        changes: &mut Vec<feed::Change>,
    ) {
        for record in self.servers.values_mut() {
            let old = &mut record.announcement;
            let is_replaced = old.address == new.address && old.id != new.id;
            if is_replaced && old.state != server::State::Gone {
                if old.state == server::State::Ready {
                    record.replaced_by = Some(new.id.clone());
                }
                old.state = server::State::Gone;
                record.index = self.index;
                changes.push(feed::Change::Server(record.announcement.clone()));
            }
        }
    }

    fn leave(&mut self, id: &str, changes: &mut Vec<feed::Change>) {
        let Some(record) = self.servers.get_mut(id) else {
            return;
        };
        record.replaced_by = None;
        if record.announcement.state != server::State::Gone {
            record.announcement.state = server::State::Gone;
            record.index = self.index;
            changes.push(feed::Change::Server(record.announcement.clone()));
        }
    }

    fn forget(&mut self, incarnations: &[(String, u64)], changes: &mut Vec<feed::Change>) {
        for (id, born) in incarnations {
            let record = self.servers.get(id);
            if record.is_some_and(|record| record.announcement.born == *born) {
                self.servers.remove(id);
                changes.push(feed::Change::Forgotten(id.clone()));
            }
        }
    }

    /// Returns the full state as a list of changes, for a follower without a copy.
    pub fn full_changes(&self) -> Vec<feed::Change> {
        let mut changes = vec![self.zones_change()];
        if self.version > 0 {
            changes.push(feed::Change::Configuration {
                version: self.version,
                document: self.document.clone(),
            });
        }
        let servers = self.servers.values();
        changes.extend(servers.map(|record| feed::Change::Server(record.announcement.clone())));
        let rollouts = self.rollouts.iter();
        changes.extend(
            rollouts
                .map(|(service, rollout)| feed::Change::Rollout(service.clone(), rollout.clone())),
        );
        changes
    }
}

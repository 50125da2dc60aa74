//! The state machine of the registry.
//!
//! Invariants: versions only grow; a version that was accepted once is accepted again only with
//! the same document; a start of a server that has begun to leave never returns to service.

use crate::document;
use crate::feed;
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
        /// Version that it builds on.
        base: u64,
        /// The document.
        document: document::Document,
    },
    /// Takes a zone out of service.
    ZoneOut(String),
    /// Takes a zone back into service.
    ZoneIn(String),
    /// Notes what a server announced.
    Announce(server::Announcement),
    /// Notes that a server has left, by its own statement.
    Leave(String),
    /// Forgets starts of servers that have not been heard of for long, by id and start.
    Forget(Vec<(String, u64)>),
}

/// Answer to a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The command is in force.
    Done,
    /// Another version is current.
    Conflict {
        /// The current version.
        current: u64,
    },
}

/// SHA-256 of a document.
type Fingerprint = [u8; 32];

/// Returns the fingerprint of the document as its operator sent it.
fn fingerprint(document: &document::Document) -> Fingerprint {
    let document = document.unpack();
    let document = document.expect("a coordinator of this build packed the document");
    sha2::Sha256::digest(document).into()
}

/// State of the registry.
#[serde_with::serde_as]
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct State {
    /// Index of the last command.
    pub index: u64,
    /// Current version; 0 before the first configuration.
    pub version: u64,
    /// Document of the current version.
    pub document: document::Document,
    /// Each accepted version with the fingerprint of its document, so that a resent change is
    /// recognised after others have followed it.
    accepted: collections::BTreeMap<u64, Fingerprint>,
    /// Zones out of service.
    pub zones_out: collections::BTreeSet<String>,
    /// Servers by id.
    pub servers: collections::BTreeMap<String, server::Record>,
}

impl State {
    /// Applies the command at `index` and lists in `changes` what followers have to learn.
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
            Command::Forget(starts) => self.forget(&starts, changes),
        }
        Reply::Done
    }

    /// Returns whether exactly this configuration was accepted before.
    pub fn was_accepted(&self, version: u64, document: &document::Document) -> bool {
        self.accepted
            .get(&version)
            .is_some_and(|known| *known == fingerprint(document))
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
            let is_over = new.born == old.born && old.state != server::State::Ready;
            let is_return = is_over && new.state == server::State::Ready;
            if !server::is_newer(&new, old) || is_return {
                return;
            }
        }
        if self.holds_newer_at(&new) {
            return;
        }
        self.retire_others_at(&new, changes);
        let record = server::Record {
            announcement: new.clone(),
            index: self.index,
        };
        self.servers.insert(new.id.clone(), record);
        changes.push(feed::Change::Server(new));
    }

    /// Returns whether a server that started later holds the address of `new` already.
    fn holds_newer_at(&self, new: &server::Announcement) -> bool {
        let mut records = self.servers.values().map(|record| &record.announcement);
        records.any(|a| a.address == new.address && a.id != new.id && a.born > new.born)
    }

    fn retire_others_at(&mut self, new: &server::Announcement, changes: &mut Vec<feed::Change>) {
        for record in self.servers.values_mut() {
            let old = &mut record.announcement;
            let is_replaced = old.address == new.address && old.id != new.id;
            if is_replaced && old.state != server::State::Gone {
                old.state = server::State::Gone;
                record.index = self.index;
                changes.push(feed::Change::Server(record.announcement.clone()));
            }
        }
    }

    fn leave(&mut self, id: &str, changes: &mut Vec<feed::Change>) {
        if let Some(record) = self.servers.get_mut(id)
            && record.announcement.state != server::State::Gone
        {
            record.announcement.state = server::State::Gone;
            record.index = self.index;
            changes.push(feed::Change::Server(record.announcement.clone()));
        }
    }

    fn forget(&mut self, starts: &[(String, u64)], changes: &mut Vec<feed::Change>) {
        for (id, born) in starts {
            let record = self.servers.get(id);
            if record.is_some_and(|record| record.announcement.born == *born) {
                self.servers.remove(id);
                changes.push(feed::Change::Forgotten(id.clone()));
            }
        }
    }

    /// Returns everything as a list of changes, for a follower that holds nothing.
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
        changes
    }
}

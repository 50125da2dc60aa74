//! Merged changes of all entry processes, kept by the leader of the control group.

use crate::announcement;
use nutmegdale_base::clock;
use serde::{Deserialize, Serialize};
use std::collections;
use std::net;

/// Time without a sync after which an entry process counts as dead.
pub const ENTRY_DEAD_MS: clock::Millis = clock::Millis(4_000);
/// Time that a dead entry process's servers have to announce themselves elsewhere.
pub const ORPHAN_MS: clock::Millis = clock::Millis(6_000);
/// Time that a gone server is remembered, so that every entry process learns of its end.
pub const TOMBSTONE_MS: clock::Millis = clock::Millis(60_000);

/// Server as the hub distributes it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerRecord {
    /// Last announcement that changed something.
    pub announced: announcement::Announcement,
    /// Name of the entry process that it announces itself to.
    pub registrar: String,
}

/// Entry process as the hub distributes it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryRecord {
    /// Name of the entry process.
    pub name: String,
    /// Random number of this start of the process.
    pub boot: u64,
    /// Availability zone that it runs in.
    pub zone: String,
    /// Address that callers and servers connect to.
    pub address: net::SocketAddr,
    /// Whether it is shutting down.
    pub leaving: bool,
}

#[derive(Debug)]
struct Held {
    record: ServerRecord,
    revision: u64,
    drop_at: clock::Millis,
}

#[derive(Debug)]
struct HeldEntry {
    record: EntryRecord,
    last_sync: clock::Millis,
}

/// Table of the leader.
///
/// Invariant: revisions only grow within one epoch, and a record changes only together with its
/// revision, so an entry process that knows revision r needs exactly the records above r.
#[derive(Debug)]
pub struct HubTable {
    epoch: u64,
    revision: u64,
    entries_revision: u64,
    servers: collections::BTreeMap<String, Held>,
    entries: collections::BTreeMap<String, HeldEntry>,
}

impl HubTable {
    /// Creates an empty table for an epoch that no earlier table had.
    pub fn new(epoch: u64) -> HubTable {
        HubTable {
            epoch,
            revision: 0,
            entries_revision: 0,
            servers: collections::BTreeMap::new(),
            entries: collections::BTreeMap::new(),
        }
    }

    /// Returns the epoch; another epoch means that revisions start anew.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Returns the revision of the newest record of a server.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the revision of the list of entry processes.
    pub fn entries_revision(&self) -> u64 {
        self.entries_revision
    }

    /// Takes a sync of an entry process, with the announcements that changed there.
    pub fn sync(
        &mut self,
        now: clock::Millis,
        entry: &EntryRecord,
        changed: &[announcement::Announcement],
    ) {
        let known = self.entries.get(&entry.name);
        if known.is_none_or(|held| held.record != *entry) {
            self.entries_revision += 1;
        }
        let held = HeldEntry {
            record: entry.clone(),
            last_sync: now,
        };
        self.entries.insert(entry.name.clone(), held);
        for announced in changed {
            self.merge(now, &entry.name, announced);
        }
    }

    fn merge(
        &mut self,
        now: clock::Millis,
        registrar: &str,
        announced: &announcement::Announcement,
    ) {
        if let Some(held) = self.servers.get(&announced.server) {
            let known = &held.record;
            let is_older = announced.order() < known.announced.order();
            let is_end_seen_elsewhere = announced.state == announcement::ServerState::Gone
                && known.registrar != registrar
                && announced.order() <= known.announced.order();
            let is_same = known.announced == *announced && known.registrar == registrar;
            if is_older || is_end_seen_elsewhere || is_same {
                return;
            }
        }
        self.revision += 1;
        let record = ServerRecord {
            announced: announced.clone(),
            registrar: registrar.to_owned(),
        };
        let drop_at = drop_time(now, announced);
        self.servers.insert(
            announced.server.clone(),
            Held {
                record,
                revision: self.revision,
                drop_at,
            },
        );
    }

    /// Ends entry processes without a sync and, later, the servers that only they knew.
    pub fn expire(&mut self, now: clock::Millis) {
        let count = self.entries.len();
        self.entries
            .retain(|_, held| now.since(held.last_sync) < ENTRY_DEAD_MS);
        if self.entries.len() != count {
            self.entries_revision += 1;
        }
        for held in self.servers.values_mut() {
            let is_gone = held.record.announced.state == announcement::ServerState::Gone;
            if is_gone {
                continue;
            }
            if self.entries.contains_key(&held.record.registrar) {
                held.drop_at = clock::Millis::MAX;
            } else if held.drop_at == clock::Millis::MAX {
                held.drop_at = now + ORPHAN_MS;
            } else if held.drop_at <= now {
                held.record.announced.state = announcement::ServerState::Gone;
                held.drop_at = now + TOMBSTONE_MS;
                self.revision += 1;
                held.revision = self.revision;
            }
        }
        self.servers.retain(|_, held| {
            held.record.announced.state != announcement::ServerState::Gone || held.drop_at > now
        });
    }

    /// Returns records newer than `revision`.
    pub fn servers_after(&self, revision: u64) -> impl Iterator<Item = &ServerRecord> {
        self.servers
            .values()
            .filter(move |held| held.revision > revision)
            .map(|h| &h.record)
    }

    /// Returns the live entry processes.
    pub fn entries(&self) -> impl Iterator<Item = &EntryRecord> {
        self.entries.values().map(|held| &held.record)
    }
}

fn drop_time(now: clock::Millis, announced: &announcement::Announcement) -> clock::Millis {
    if announced.state == announcement::ServerState::Gone {
        return now + TOMBSTONE_MS;
    }
    clock::Millis::MAX
}

//! Table of all servers and entry processes, kept by the leader of the control group.

use crate::announcement;
use nutmegdale_base::clock;
use serde::{Deserialize, Serialize};
use std::collections;
use std::net;

/// Time without a sync after which an entry process counts as dead. It is not shorter than the
/// configuration lease, so a dead entry process no longer sends requests to servers.
pub const ENTRY_DEAD_MS: clock::Millis = clock::Millis(4_000);
/// Time that the servers of a dead entry process have to announce themselves to another one.
pub const ORPHAN_MS: clock::Millis = clock::Millis(6_000);
/// Retention of the tombstone of a gone server; an entry process that missed it gets the whole
/// table.
pub const TOMBSTONE_MS: clock::Millis = clock::Millis(60_000);
/// Age at which a table is complete. By then each live entry process has sent all its servers, and
/// each server whose entry process failed with the last leader has announced itself to another.
pub const COMPLETE_MS: clock::Millis = clock::Millis(ENTRY_DEAD_MS.0 + ORPHAN_MS.0);
/// Time for which a lost entry process is listed for operators.
const LOST_RETENTION_MS: clock::Millis = clock::Millis(600_000);

/// Server as the hub distributes it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServerRecord {
    /// Last announcement that differed from the one before. Its state is the one in effect, which
    /// may differ from the announced one.
    pub announced: announcement::Announcement,
    /// Name of the entry process that it announces itself to.
    pub registrar: String,
}

/// Entry process as the hub distributes it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryRecord {
    /// Name of the entry process.
    pub name: String,
    /// Random number that identifies this start of the process.
    pub boot: u64,
    /// Name of the availability zone that it runs in.
    pub zone: String,
    /// Address that callers and servers connect to.
    pub address: net::SocketAddr,
    /// Whether it is shutting down.
    pub leaving: bool,
}

/// Newest revisions of a table, to compare a copy with it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Watermarks {
    /// Epoch of the table, the term of its leader; revisions of different epochs are unrelated.
    pub epoch: u64,
    /// Newest revision of a server.
    pub servers: u64,
    /// Newest revision of the list of entry processes.
    pub entries: u64,
    /// Whether the table lists every live server.
    pub is_complete: bool,
}

/// State that an entry process uploads in a sync.
#[derive(Debug, Clone, Copy)]
pub struct Upload<'a> {
    /// Record of the entry process.
    pub entry: &'a EntryRecord,
    /// Last announcements of the servers that changed in its local table.
    pub changed: &'a [announcement::Announcement],
    /// Whether `changed` lists every server in its local table.
    pub is_all: bool,
    /// Version of the catalogue that it uses.
    pub version: u64,
}

/// State that a server reported in a response, ahead of its announcement.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedState {
    /// Name of the server.
    pub server: String,
    /// Incarnation of the server.
    pub incarnation: u64,
    /// Whether it is cold; otherwise it is warm again.
    pub is_cold: bool,
}

/// Minimum time for which a server that was reported cold counts as cold, since reports lag.
pub const REPORTED_COLD_MS: clock::Millis = clock::Millis(2_000);

/// Server in the table.
///
/// Invariant: the state of the record is the announced one, or cold while `reported_cold` is set.
#[derive(Debug)]
struct TrackedServer {
    record: ServerRecord,
    announced_state: announcement::ServerState,
    /// When it was reported cold although it announces itself as warm.
    reported_cold: Option<clock::Millis>,
    registrar_boot: u64,
    revision: u64,
    /// When a server without a live registrar is marked as gone, or a tombstone is dropped.
    drop_at: clock::Millis,
}

impl TrackedServer {
    fn is_announced_as(&self, announced: &announcement::Announcement) -> bool {
        let known = announcement::Announcement {
            state: self.announced_state,
            ..self.record.announced.clone()
        };
        known == *announced
    }
}

#[derive(Debug)]
struct TrackedEntry {
    record: EntryRecord,
    last_sync: clock::Millis,
    last_answer: Option<clock::Millis>,
    has_sent_all: bool,
    version: u64,
}

/// Status of an entry process for operators.
#[derive(Debug, Clone, Copy)]
pub struct EntryStatus<'a> {
    /// Record of the entry process.
    pub record: &'a EntryRecord,
    /// Version of the catalogue that it used at its last sync.
    pub version: u64,
    /// Time since its last sync.
    pub silent_ms: clock::Millis,
}

/// Table of the leader.
///
/// Invariant: revisions only grow within one epoch, and a record changes only together with its
/// revision, so a copy at revision r lacks exactly the records above r, unless a tombstone above r
/// has been dropped.
#[derive(Debug)]
pub struct HubTable {
    watermarks: Watermarks,
    started: clock::Millis,
    /// Highest revision of a dropped tombstone.
    dropped_revision: u64,
    servers: collections::BTreeMap<String, TrackedServer>,
    by_revision: collections::BTreeMap<u64, String>,
    entries: collections::BTreeMap<String, TrackedEntry>,
    /// Entry processes that stopped syncing without leaving, with the times of their last syncs.
    lost: collections::BTreeMap<String, (EntryRecord, clock::Millis)>,
}

impl HubTable {
    /// Creates an empty table for an epoch that no earlier table had.
    pub fn new(epoch: u64, now: clock::Millis) -> HubTable {
        HubTable {
            watermarks: Watermarks {
                epoch,
                ..Watermarks::default()
            },
            started: now,
            dropped_revision: 0,
            servers: collections::BTreeMap::new(),
            by_revision: collections::BTreeMap::new(),
            entries: collections::BTreeMap::new(),
            lost: collections::BTreeMap::new(),
        }
    }

    /// Returns the newest revisions, to compare with the position of a copy.
    pub fn watermarks(&self) -> Watermarks {
        self.watermarks
    }

    /// Returns whether a tombstone above `revision` has been dropped, so that a copy at `revision`
    /// needs the whole table.
    pub fn has_dropped_tombstone_after(&self, revision: u64) -> bool {
        revision < self.dropped_revision
    }

    /// Applies the upload of an entry process and returns whether it must send all its servers.
    pub fn sync(&mut self, now: clock::Millis, upload: Upload<'_>) -> bool {
        let entry = upload.entry;
        let known = self.entries.get(&entry.name);
        let is_same_start = known.is_some_and(|tracked| tracked.record.boot == entry.boot);
        let had_sent_all = is_same_start && known.is_some_and(|tracked| tracked.has_sent_all);
        if known.is_none_or(|tracked| tracked.record != *entry) {
            self.watermarks.entries += 1;
        }
        let tracked = TrackedEntry {
            record: entry.clone(),
            last_sync: now,
            last_answer: known.and_then(|tracked| tracked.last_answer),
            has_sent_all: had_sent_all || upload.is_all,
            version: upload.version,
        };
        let wants_all = !tracked.has_sent_all;
        self.entries.insert(entry.name.clone(), tracked);
        self.lost.remove(&entry.name);
        for announced in upload.changed {
            self.merge(now, entry, announced);
        }
        wants_all
    }

    fn merge(
        &mut self,
        now: clock::Millis,
        entry: &EntryRecord,
        announced: &announcement::Announcement,
    ) {
        let is_gone = announced.state == announcement::ServerState::Gone;
        let mut reported_cold = None;
        if let Some(tracked) = self.servers.get(&announced.server) {
            let known = &tracked.record;
            let is_known_gone = known.announced.state == announcement::ServerState::Gone;
            let is_elsewhere = known.registrar != entry.name;
            let is_older = announced.order() < known.announced.order();
            // Ignores the expiry of the lease that a moved server left behind, and an announcement
            // repeated to a second entry process, which would move the server back and forth.
            let is_tie_elsewhere = is_elsewhere
                && announced.order() == known.announced.order()
                && (is_gone || !is_known_gone);
            let is_same = tracked.is_announced_as(announced)
                && !is_elsewhere
                && tracked.registrar_boot == entry.boot;
            if is_older || is_tie_elsewhere || is_same {
                return;
            }
            // An announcement that repeats "warm" may be older than the report, which then stands;
            // a change to "warm" or another incarnation supersedes the report.
            let is_still_warm = tracked.announced_state == announcement::ServerState::Warm
                && announced.state == announcement::ServerState::Warm
                && announced.incarnation == known.announced.incarnation;
            reported_cold = tracked.reported_cold.filter(|_| is_still_warm);
        }
        let mut record = ServerRecord {
            announced: announced.clone(),
            registrar: entry.name.clone(),
        };
        if reported_cold.is_some() {
            record.announced.state = announcement::ServerState::Cold;
        }
        let drop_at = match is_gone {
            true => now + TOMBSTONE_MS,
            false => clock::Millis::MAX,
        };
        self.put(TrackedServer {
            record,
            announced_state: announced.state,
            reported_cold,
            registrar_boot: entry.boot,
            revision: 0,
            drop_at,
        });
    }

    /// Inserts or replaces a server under a new revision.
    fn put(&mut self, mut server: TrackedServer) {
        self.watermarks.servers += 1;
        let revision = self.watermarks.servers;
        let name = server.record.announced.server.clone();
        server.revision = revision;
        self.by_revision.insert(revision, name.clone());
        if let Some(old) = self.servers.insert(name, server) {
            self.by_revision.remove(&old.revision);
        }
    }

    /// Expires entry processes that stopped syncing, their servers after a grace period, and
    /// tombstones.
    ///
    /// It has to be called at a fixed interval, also while no sync arrives.
    pub fn expire(&mut self, now: clock::Millis) {
        self.watermarks.is_complete |= now.since(self.started) >= COMPLETE_MS;
        self.expire_entries(now);
        let mut orphaned = Vec::new();
        for (name, tracked) in &mut self.servers {
            if tracked.record.announced.state == announcement::ServerState::Gone {
                continue;
            }
            let registrar = self.entries.get(&tracked.record.registrar);
            // A restarted entry process does not know the servers of its earlier start.
            if registrar.is_some_and(|entry| entry.record.boot == tracked.registrar_boot) {
                tracked.drop_at = clock::Millis::MAX;
            } else if tracked.drop_at == clock::Millis::MAX {
                tracked.drop_at = now + ORPHAN_MS;
            } else if tracked.drop_at <= now {
                orphaned.push(name.clone());
            }
        }
        for name in orphaned {
            self.mark_gone(now, &name);
        }
        self.drop_tombstones(now);
    }

    fn mark_gone(&mut self, now: clock::Millis, name: &str) {
        if let Some(tracked) = self.servers.get(name) {
            let mut record = tracked.record.clone();
            record.announced.state = announcement::ServerState::Gone;
            let gone = TrackedServer {
                record,
                announced_state: announcement::ServerState::Gone,
                reported_cold: None,
                drop_at: now + TOMBSTONE_MS,
                ..*tracked
            };
            self.put(gone);
        }
    }

    /// Applies the state that a server reported in a response to an entry process.
    ///
    /// Only the holder of the server's grant can learn that it is warm again, since no other entry
    /// process sends to it.
    pub fn apply_report(&mut self, now: clock::Millis, reported: &ReportedState, is_holder: bool) {
        let Some(server) = self.servers.get(&reported.server) else {
            return;
        };
        let known = &server.record.announced;
        if known.incarnation != reported.incarnation {
            return;
        }
        let mut record = server.record.clone();
        let may_clear = |since| is_holder && now.since(since) >= REPORTED_COLD_MS;
        let reported_cold = match (reported.is_cold, server.reported_cold) {
            (true, _) if known.state == announcement::ServerState::Warm => Some(now),
            (false, Some(since)) if may_clear(since) => None,
            _ => return,
        };
        record.announced.state = match reported_cold {
            Some(_) => announcement::ServerState::Cold,
            None => server.announced_state,
        };
        let updated = TrackedServer {
            record,
            reported_cold,
            ..*server
        };
        self.put(updated);
    }

    fn expire_entries(&mut self, now: clock::Millis) {
        let is_dead = |entry: &TrackedEntry| now.since(entry.last_sync) >= ENTRY_DEAD_MS;
        let dead = self.entries.extract_if(.., |_, entry| is_dead(entry));
        let dead: Vec<TrackedEntry> = dead.map(|(_, entry)| entry).collect();
        if !dead.is_empty() {
            self.watermarks.entries += 1;
        }
        // An entry process that shut down as announced is not lost.
        for entry in dead.into_iter().filter(|entry| !entry.record.leaving) {
            let name = entry.record.name.clone();
            self.lost.insert(name, (entry.record, entry.last_sync));
        }
        self.lost
            .retain(|_, (_, last_sync)| now.since(*last_sync) < LOST_RETENTION_MS);
    }

    fn drop_tombstones(&mut self, now: clock::Millis) {
        let is_expired = |server: &TrackedServer| {
            server.record.announced.state == announcement::ServerState::Gone
                && server.drop_at <= now
        };
        let expired = self.servers.extract_if(.., |_, server| is_expired(server));
        let revisions: Vec<u64> = expired.map(|(_, server)| server.revision).collect();
        for revision in revisions {
            self.by_revision.remove(&revision);
            self.dropped_revision = self.dropped_revision.max(revision);
        }
    }

    /// Records that an entry process is answered at `now`.
    pub fn record_answer(&mut self, now: clock::Millis, entry: &str) {
        if let Some(entry) = self.entries.get_mut(entry) {
            entry.last_answer = Some(now);
        }
    }

    /// Returns the time of the last answer to an entry process.
    pub fn last_answer(&self, entry: &str) -> Option<clock::Millis> {
        self.entries.get(entry)?.last_answer
    }

    /// Returns the records above `revision`, in ascending order of revision.
    pub fn servers_after(&self, revision: u64) -> impl Iterator<Item = &ServerRecord> {
        let newer = self.by_revision.range(revision + 1..);
        newer.filter_map(|(_, name)| Some(&self.servers.get(name)?.record))
    }

    /// Returns the live entry processes.
    pub fn entries(&self) -> impl Iterator<Item = &EntryRecord> {
        self.entries.values().map(|tracked| &tracked.record)
    }

    /// Returns the status of the live entry processes for operators.
    pub fn entries_status(&self, now: clock::Millis) -> impl Iterator<Item = EntryStatus<'_>> {
        self.entries.values().map(move |tracked| EntryStatus {
            record: &tracked.record,
            version: tracked.version,
            silent_ms: now.since(tracked.last_sync),
        })
    }

    /// Returns the entry processes that stopped syncing without leaving, with the time since the
    /// last sync.
    pub fn lost(&self, now: clock::Millis) -> impl Iterator<Item = (&EntryRecord, clock::Millis)> {
        let lost = self.lost.values();
        lost.map(move |(record, last_sync)| (record, now.since(*last_sync)))
    }
}

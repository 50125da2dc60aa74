//! Merged changes of all entry processes, kept by the leader of the control group.

use crate::announcement;
use nutmegdale_base::clock;
use serde::{Deserialize, Serialize};
use std::collections;
use std::net;

/// Time without a sync after which an entry process counts as dead. It is not shorter than the
/// configuration lease, so a dead entry process gives no new work.
pub const ENTRY_DEAD_MS: clock::Millis = clock::Millis(4_000);
/// Time that a dead entry process's servers have to announce themselves elsewhere.
pub const ORPHAN_MS: clock::Millis = clock::Millis(6_000);
/// Time that a gone server is remembered; an entry process that missed it gets the whole table.
pub const TOMBSTONE_MS: clock::Millis = clock::Millis(60_000);
/// Age at which a table is complete. By then each live entry process has sent all its servers, and
/// each server whose entry process died with the last leader has announced itself elsewhere.
pub const COMPLETE_MS: clock::Millis = clock::Millis(ENTRY_DEAD_MS.0 + ORPHAN_MS.0);
/// Time that a lost entry process is shown to operators.
const LOST_SHOWN_MS: clock::Millis = clock::Millis(600_000);

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

/// What changes of a table an entry process has to hear of, cheap to compare.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Watermarks {
    /// Epoch of the table; another epoch means that revisions start anew.
    pub epoch: u64,
    /// Newest revision of a server.
    pub servers: u64,
    /// Newest revision of the entry list.
    pub entries: u64,
    /// Whether the table lists every live server.
    pub is_complete: bool,
}

/// Part of a sync that concerns the table.
#[derive(Debug, Clone, Copy)]
pub struct Upload<'a> {
    /// The entry process.
    pub entry: &'a EntryRecord,
    /// Announcements that changed there.
    pub changed: &'a [announcement::Announcement],
    /// Whether `changed` lists every server that announces itself there.
    pub is_all: bool,
    /// Version of the catalogue in force there.
    pub version: u64,
}

/// State that an entry process heard of in a server's answer, ahead of its announcement.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedState {
    /// Name of the server.
    pub server: String,
    /// Start number of the server.
    pub incarnation: u64,
    /// Whether it is cold; otherwise it is warm again.
    pub is_cold: bool,
}

/// Shortest time for which a server that was heard to be cold counts as cold, since reports lag.
pub const HEARD_COLD_MS: clock::Millis = clock::Millis(2_000);

/// Server in the table.
///
/// Invariant: the state of the record is the announced one, or cold while `heard_cold` is set.
#[derive(Debug)]
struct Held {
    record: ServerRecord,
    announced_state: announcement::ServerState,
    heard_cold: Option<clock::Millis>,
    registrar_boot: u64,
    revision: u64,
    drop_at: clock::Millis,
}

impl Held {
    fn is_announced_as(&self, announced: &announcement::Announcement) -> bool {
        let known = announcement::Announcement {
            state: self.announced_state,
            ..self.record.announced.clone()
        };
        known == *announced
    }
}

#[derive(Debug)]
struct HeldEntry {
    record: EntryRecord,
    last_sync: clock::Millis,
    last_answer: Option<clock::Millis>,
    has_sent_all: bool,
    version: u64,
}

/// Entry process as operators see it.
#[derive(Debug, Clone, Copy)]
pub struct EntryStatus<'a> {
    /// The entry process.
    pub record: &'a EntryRecord,
    /// Version of the catalogue in force there, as of its last sync.
    pub version: u64,
    /// Time since its last sync.
    pub silent_ms: clock::Millis,
}

/// Table of the leader.
///
/// Invariant: revisions only grow within one epoch, and a record changes only together with its
/// revision, so an entry process that knows revision r needs exactly the records above r, unless
/// an end after r has been forgotten.
#[derive(Debug)]
pub struct HubTable {
    marks: Watermarks,
    started: clock::Millis,
    forgotten: u64,
    servers: collections::BTreeMap<String, Held>,
    by_revision: collections::BTreeMap<u64, String>,
    entries: collections::BTreeMap<String, HeldEntry>,
    lost: collections::BTreeMap<String, (EntryRecord, clock::Millis)>,
}

impl HubTable {
    /// Creates an empty table for an epoch that no earlier table had.
    pub fn new(epoch: u64, now: clock::Millis) -> HubTable {
        HubTable {
            marks: Watermarks {
                epoch,
                ..Watermarks::default()
            },
            started: now,
            forgotten: 0,
            servers: collections::BTreeMap::new(),
            by_revision: collections::BTreeMap::new(),
            entries: collections::BTreeMap::new(),
            lost: collections::BTreeMap::new(),
        }
    }

    /// Returns what entry processes compare their copies with.
    pub fn watermarks(&self) -> Watermarks {
        self.marks
    }

    /// Returns whether an end after `revision` has been forgotten, so that the records above it do
    /// not tell everything.
    pub fn has_forgotten_after(&self, revision: u64) -> bool {
        revision < self.forgotten
    }

    /// Takes a sync of an entry process and returns whether it must send all its servers.
    pub fn sync(&mut self, now: clock::Millis, upload: Upload<'_>) -> bool {
        let entry = upload.entry;
        let known = self.entries.get(&entry.name);
        let is_same_start = known.is_some_and(|held| held.record.boot == entry.boot);
        let had_sent_all = is_same_start && known.is_some_and(|held| held.has_sent_all);
        if known.is_none_or(|held| held.record != *entry) {
            self.marks.entries += 1;
        }
        let held = HeldEntry {
            record: entry.clone(),
            last_sync: now,
            last_answer: known.and_then(|held| held.last_answer),
            has_sent_all: had_sent_all || upload.is_all,
            version: upload.version,
        };
        let wants_all = !held.has_sent_all;
        self.entries.insert(entry.name.clone(), held);
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
        let mut heard_cold = None;
        if let Some(held) = self.servers.get(&announced.server) {
            let known = &held.record;
            let is_known_gone = known.announced.state == announcement::ServerState::Gone;
            let is_elsewhere = known.registrar != entry.name;
            let is_older = announced.order() < known.announced.order();
            // A server that moved ends its lease at the first entry process, and a repeated
            // announcement at a second one must not move the server back and forth.
            let is_tie_elsewhere = is_elsewhere
                && announced.order() == known.announced.order()
                && (is_gone || !is_known_gone);
            let is_same = held.is_announced_as(announced)
                && !is_elsewhere
                && held.registrar_boot == entry.boot;
            if is_older || is_tie_elsewhere || is_same {
                return;
            }
            // An announcement that goes on to say "warm" may lag; one that says it anew, or comes
            // from another start of the server, is news.
            let is_still_warm = held.announced_state == announcement::ServerState::Warm
                && announced.state == announcement::ServerState::Warm
                && announced.incarnation == known.announced.incarnation;
            heard_cold = held.heard_cold.filter(|_| is_still_warm);
        }
        let mut record = ServerRecord {
            announced: announced.clone(),
            registrar: entry.name.clone(),
        };
        if heard_cold.is_some() {
            record.announced.state = announcement::ServerState::Cold;
        }
        let drop_at = match is_gone {
            true => now + TOMBSTONE_MS,
            false => clock::Millis::MAX,
        };
        self.put(Held {
            record,
            announced_state: announced.state,
            heard_cold,
            registrar_boot: entry.boot,
            revision: 0,
            drop_at,
        });
    }

    /// Puts a record in, under a new revision.
    fn put(&mut self, mut held: Held) {
        self.marks.servers += 1;
        let revision = self.marks.servers;
        let name = held.record.announced.server.clone();
        held.revision = revision;
        self.by_revision.insert(revision, name.clone());
        if let Some(old) = self.servers.insert(name, held) {
            self.by_revision.remove(&old.revision);
        }
    }

    /// Ends entry processes without a sync and, later, the servers that only they knew.
    ///
    /// It is called at a fixed pace, also while no sync arrives.
    pub fn expire(&mut self, now: clock::Millis) {
        self.marks.is_complete |= now.since(self.started) >= COMPLETE_MS;
        self.expire_entries(now);
        let mut ended = Vec::new();
        for (name, held) in &mut self.servers {
            if held.record.announced.state == announcement::ServerState::Gone {
                continue;
            }
            let registrar = self.entries.get(&held.record.registrar);
            // A restarted entry process does not know the servers of its earlier start.
            if registrar.is_some_and(|entry| entry.record.boot == held.registrar_boot) {
                held.drop_at = clock::Millis::MAX;
            } else if held.drop_at == clock::Millis::MAX {
                held.drop_at = now + ORPHAN_MS;
            } else if held.drop_at <= now {
                ended.push(name.clone());
            }
        }
        for name in ended {
            self.end(now, &name);
        }
        self.forget_ends(now);
    }

    fn end(&mut self, now: clock::Millis, name: &str) {
        if let Some(held) = self.servers.get(name) {
            let mut record = held.record.clone();
            record.announced.state = announcement::ServerState::Gone;
            let gone = Held {
                record,
                announced_state: announcement::ServerState::Gone,
                heard_cold: None,
                drop_at: now + TOMBSTONE_MS,
                ..*held
            };
            self.put(gone);
        }
    }

    /// Takes what an entry process heard in a server's answer.
    ///
    /// Only the holder of the server's grant can hear that it is warm again, since nobody else
    /// sends to it.
    pub fn apply_report(&mut self, now: clock::Millis, heard: &ReportedState, is_holder: bool) {
        let Some(held) = self.servers.get(&heard.server) else {
            return;
        };
        let known = &held.record.announced;
        if known.incarnation != heard.incarnation {
            return;
        }
        let mut record = held.record.clone();
        let is_over = |since| is_holder && now.since(since) >= HEARD_COLD_MS;
        let heard_cold = match (heard.is_cold, held.heard_cold) {
            (true, _) if known.state == announcement::ServerState::Warm => Some(now),
            (false, Some(since)) if is_over(since) => None,
            _ => return,
        };
        record.announced.state = match heard_cold {
            Some(_) => announcement::ServerState::Cold,
            None => held.announced_state,
        };
        let news = Held {
            record,
            heard_cold,
            ..*held
        };
        self.put(news);
    }

    fn expire_entries(&mut self, now: clock::Millis) {
        let is_dead = |held: &HeldEntry| now.since(held.last_sync) >= ENTRY_DEAD_MS;
        let dead = self.entries.extract_if(.., |_, held| is_dead(held));
        let dead: Vec<HeldEntry> = dead.map(|(_, held)| held).collect();
        if !dead.is_empty() {
            self.marks.entries += 1;
        }
        // One that said that it is leaving is not missed.
        for held in dead.into_iter().filter(|held| !held.record.leaving) {
            let name = held.record.name.clone();
            self.lost.insert(name, (held.record, held.last_sync));
        }
        self.lost
            .retain(|_, (_, last_sync)| now.since(*last_sync) < LOST_SHOWN_MS);
    }

    fn forget_ends(&mut self, now: clock::Millis) {
        let is_over = |held: &Held| {
            held.record.announced.state == announcement::ServerState::Gone && held.drop_at <= now
        };
        let over = self.servers.extract_if(.., |_, held| is_over(held));
        let revisions: Vec<u64> = over.map(|(_, held)| held.revision).collect();
        for revision in revisions {
            self.by_revision.remove(&revision);
            self.forgotten = self.forgotten.max(revision);
        }
    }

    /// Notes that an entry process is answered now.
    pub fn record_answer(&mut self, now: clock::Millis, entry: &str) {
        if let Some(held) = self.entries.get_mut(entry) {
            held.last_answer = Some(now);
        }
    }

    /// Returns when an entry process was last answered.
    pub fn last_answer(&self, entry: &str) -> Option<clock::Millis> {
        self.entries.get(entry)?.last_answer
    }

    /// Returns records newer than `revision`, oldest first.
    pub fn servers_after(&self, revision: u64) -> impl Iterator<Item = &ServerRecord> {
        let newer = self.by_revision.range(revision + 1..);
        newer.filter_map(|(_, name)| Some(&self.servers.get(name)?.record))
    }

    /// Returns the live entry processes.
    pub fn entries(&self) -> impl Iterator<Item = &EntryRecord> {
        self.entries.values().map(|held| &held.record)
    }

    /// Returns the live entry processes as operators see them.
    pub fn entries_status(&self, now: clock::Millis) -> impl Iterator<Item = EntryStatus<'_>> {
        self.entries.values().map(move |held| EntryStatus {
            record: &held.record,
            version: held.version,
            silent_ms: now.since(held.last_sync),
        })
    }

    /// Returns entry processes that stopped to sync without leaving, with the time since.
    pub fn lost(&self, now: clock::Millis) -> impl Iterator<Item = (&EntryRecord, clock::Millis)> {
        let lost = self.lost.values();
        lost.map(move |(record, last_sync)| (record, now.since(*last_sync)))
    }
}

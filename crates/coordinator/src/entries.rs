//! Live entry processes, as this coordinator knows them.
//!
//! The table is soft state: an entry process is listed because it syncs with this coordinator or,
//! as learned through gossip, with another one. Its record expires when the syncs stop.

use nutmegdale_base::clock;
use nutmegdale_registry::follow;
use serde::{Deserialize, Serialize};
use std::collections;

/// Time without a sync after which callers are no longer sent to an entry process. Two syncs and
/// one round of gossip fit into it.
const ALIVE_MS: clock::Millis = clock::Millis(2_200);

/// Liveness of an entry process, as coordinators exchange it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryStatus {
    /// Identity and location of the process.
    pub entry: follow::Entry,
    /// Whether callers may be sent to it.
    pub is_ready: bool,
    /// Time since its last sync.
    pub age: clock::Millis,
}

/// Time after the last sync with this coordinator during which reports on a process are ignored.
///
/// Others repeat what this coordinator told them, with a younger age, so a report does not show that
/// the process has moved. A process that still follows this coordinator syncs sooner; one that has
/// moved is taken from the report before its own record expires.
const OWN_EVIDENCE_MS: clock::Millis = clock::Millis(1_500);

#[derive(Debug)]
struct Record {
    entry: follow::Entry,
    is_ready: bool,
    last_sync: clock::Millis,
    /// Whether the last sync was with this coordinator rather than with another one.
    is_direct: bool,
}

impl Record {
    fn is_alive(&self, now: clock::Millis) -> bool {
        now.since(self.last_sync) < ALIVE_MS
    }

    /// Returns whether reports of others are ignored.
    fn has_own_evidence(&self, now: clock::Millis) -> bool {
        self.is_direct && now.since(self.last_sync) < OWN_EVIDENCE_MS
    }

    fn status(&self, now: clock::Millis) -> EntryStatus {
        EntryStatus {
            entry: self.entry.clone(),
            is_ready: self.is_ready,
            age: now.since(self.last_sync),
        }
    }
}

/// Entry processes by name, merged from direct syncs and gossip.
#[derive(Debug, Default)]
pub struct Entries {
    records: collections::BTreeMap<String, Record>,
}

impl Entries {
    /// Records a sync of an entry process with this coordinator.
    pub fn record_sync(&mut self, now: clock::Millis, entry: &follow::Entry, is_ready: bool) {
        self.upsert(entry, is_ready, now, true);
    }

    /// Merges the entry processes that another coordinator reports.
    pub fn merge(&mut self, now: clock::Millis, reported: &[EntryStatus]) {
        for status in reported {
            let known = self.records.get(&status.entry.name);
            if known.is_some_and(|record| record.has_own_evidence(now)) {
                continue;
            }
            let last_sync = clock::Millis(now.since(status.age).0);
            self.upsert(&status.entry, status.is_ready, last_sync, false);
        }
    }

    fn upsert(
        &mut self,
        entry: &follow::Entry,
        is_ready: bool,
        last_sync: clock::Millis,
        is_direct: bool,
    ) {
        match self.records.get_mut(&entry.name) {
            Some(record) if record.last_sync > last_sync => {}
            Some(record) if record.entry == *entry => {
                record.is_ready = is_ready;
                record.last_sync = last_sync;
                record.is_direct = is_direct;
            }
            _ => {
                let record = Record {
                    entry: entry.clone(),
                    is_ready,
                    last_sync,
                    is_direct,
                };
                self.records.insert(entry.name.clone(), record);
            }
        }
    }

    /// Returns the live entry processes that sync with this coordinator, to gossip to the others.
    pub fn direct(&self, now: clock::Millis) -> Vec<EntryStatus> {
        let records = self.records.values();
        let direct = records.filter(|record| record.is_direct && record.is_alive(now));
        direct.map(|record| record.status(now)).collect()
    }

    /// Returns the entry processes that callers may be sent to, with the age of their last sync.
    pub fn ready_statuses(&self, now: clock::Millis) -> Vec<EntryStatus> {
        self.ready_records(now)
            .map(|record| record.status(now))
            .collect()
    }

    fn ready_records(&self, now: clock::Millis) -> impl Iterator<Item = &Record> {
        let records = self.records.values();
        records.filter(move |record| record.is_ready && record.is_alive(now))
    }

    /// Replaces the entry processes that sync with other coordinators by the leader's list.
    pub fn replace_indirect(&mut self, now: clock::Millis, reported: &[EntryStatus]) {
        self.records.retain(|name, record| {
            record.is_direct || reported.iter().any(|status| status.entry.name == *name)
        });
        self.merge(now, reported);
    }

    /// Removes entry processes that no longer sync with any other coordinator.
    pub fn remove_indirect(&mut self, gone: &[String]) {
        self.records
            .retain(|name, record| record.is_direct || !gone.contains(name));
    }

    /// Renews the entry processes that sync with other coordinators, after the leader has
    /// confirmed that its list is the same.
    pub fn refresh_indirect(&mut self, now: clock::Millis) {
        let indirect = self.records.values_mut().filter(|record| !record.is_direct);
        for record in indirect.filter(|record| record.is_alive(now)) {
            record.last_sync = now;
        }
    }

    /// Returns the entry processes that callers may be sent to, by name.
    pub fn ready(&self, now: clock::Millis) -> Vec<follow::Entry> {
        let ready = self.ready_records(now);
        ready.map(|record| record.entry.clone()).collect()
    }

    /// Removes entry processes that have not synced with any coordinator for a minute.
    pub fn expire(&mut self, now: clock::Millis) {
        const RETENTION_MS: clock::Millis = clock::Millis(60_000);
        self.records
            .retain(|_, record| now.since(record.last_sync) < RETENTION_MS);
    }
}

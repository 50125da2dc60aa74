//! Live entry processes and coordinators, as this coordinator knows them.
//!
//! The table is soft: each entry process is known from its own syncs, here or at another
//! coordinator, and drops out when it has not been heard of for a while.

use nutmegdale_base::clock;
use nutmegdale_registry::follow;
use serde::{Deserialize, Serialize};
use std::collections;

/// Time without a sync after which callers are no longer sent to an entry process. Two syncs and
/// one round of gossip fit into it.
const ALIVE_MS: clock::Millis = clock::Millis(2_200);

/// Entry process with the age of its last sync.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Seen {
    /// The process.
    pub entry: follow::Entry,
    /// Whether callers may be sent to it.
    pub is_ready: bool,
    /// Time since its last sync.
    pub age: clock::Millis,
}

#[derive(Debug)]
struct Row {
    entry: follow::Entry,
    is_ready: bool,
    seen: clock::Millis,
    /// Whether the last sync came to this coordinator.
    is_own: bool,
}

impl Row {
    fn is_alive(&self, now: clock::Millis) -> bool {
        now.since(self.seen) < ALIVE_MS
    }

    fn seen(&self, now: clock::Millis) -> Seen {
        Seen {
            entry: self.entry.clone(),
            is_ready: self.is_ready,
            age: now.since(self.seen),
        }
    }
}

/// Table of entry processes.
#[derive(Debug, Default)]
pub struct Entries {
    rows: collections::BTreeMap<String, Row>,
}

impl Entries {
    /// Notes a sync of an entry process with this coordinator.
    pub fn synced(&mut self, now: clock::Millis, entry: &follow::Entry, is_ready: bool) {
        self.put(entry, is_ready, now, true);
    }

    /// Merges what another coordinator has seen.
    pub fn merge(&mut self, now: clock::Millis, seen: &[Seen]) {
        for seen in seen {
            let at = clock::Millis(now.since(seen.age).0);
            self.put(&seen.entry, seen.is_ready, at, false);
        }
    }

    fn put(&mut self, entry: &follow::Entry, is_ready: bool, seen: clock::Millis, is_own: bool) {
        match self.rows.get_mut(&entry.name) {
            Some(row) if row.seen > seen => {}
            Some(row) if row.entry == *entry => {
                row.is_ready = is_ready;
                row.seen = seen;
                row.is_own = is_own;
            }
            _ => {
                let row = Row {
                    entry: entry.clone(),
                    is_ready,
                    seen,
                    is_own,
                };
                self.rows.insert(entry.name.clone(), row);
            }
        }
    }

    /// Returns the entry processes that synced with this coordinator, for the others.
    pub fn own(&self, now: clock::Millis) -> Vec<Seen> {
        let rows = self.rows.values();
        let own = rows.filter(|row| row.is_own && row.is_alive(now));
        own.map(|row| row.seen(now)).collect()
    }

    /// Returns the entry processes that callers may be sent to, with the age of their last sync.
    pub fn ready_seen(&self, now: clock::Millis) -> Vec<Seen> {
        self.ready_rows(now).map(|row| row.seen(now)).collect()
    }

    fn ready_rows(&self, now: clock::Millis) -> impl Iterator<Item = &Row> {
        let rows = self.rows.values();
        rows.filter(move |row| row.is_ready && row.is_alive(now))
    }

    /// Replaces what is known of the entry processes that sync elsewhere by what the leader knows.
    pub fn take_ready(&mut self, now: clock::Millis, seen: &[Seen]) {
        self.rows
            .retain(|name, row| row.is_own || seen.iter().any(|seen| seen.entry.name == *name));
        self.merge(now, seen);
    }

    /// Removes entry processes that sync with no other coordinator any more.
    pub fn remove_others(&mut self, gone: &[String]) {
        self.rows
            .retain(|name, row| row.is_own || !gone.contains(name));
    }

    /// Keeps alive what syncs elsewhere, as a leader that is in touch knows nothing else.
    pub fn confirm_others(&mut self, now: clock::Millis) {
        let others = self.rows.values_mut().filter(|row| !row.is_own);
        for row in others.filter(|row| row.is_alive(now)) {
            row.seen = now;
        }
    }

    /// Returns the entry processes that callers may be sent to, by name.
    pub fn ready(&self, now: clock::Millis) -> Vec<follow::Entry> {
        let ready = self.ready_rows(now);
        ready.map(|row| row.entry.clone()).collect()
    }

    /// Drops entry processes that have not been heard of for long.
    pub fn sweep(&mut self, now: clock::Millis) {
        const KEPT_MS: clock::Millis = clock::Millis(60_000);
        self.rows.retain(|_, row| now.since(row.seen) < KEPT_MS);
    }
}

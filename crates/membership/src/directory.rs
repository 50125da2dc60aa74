//! Copy of the hub's table at an entry process.

use crate::announcement;
use crate::hub;
use serde::{Deserialize, Serialize};
use std::collections;

/// State of the hub's table that a copy corresponds to.
pub type Position = hub::Watermarks;

/// Changes of the hub's table that a copy lacks.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Position of the copy after the delta is applied.
    pub position: Position,
    /// Whether the delta lists the whole table. Records that it does not list are removed from the
    /// copy once the table is complete.
    pub is_full: bool,
    /// Servers that changed, including those that are gone.
    pub servers: Vec<hub::ServerRecord>,
    /// All live entry processes, if the list changed.
    pub entries: Option<Vec<hub::EntryRecord>>,
}

impl Delta {
    /// Collects the changes that a copy at `known` lacks.
    pub fn collect(table: &hub::HubTable, known: Position) -> Delta {
        let position = table.watermarks();
        let is_full =
            known.epoch != position.epoch || table.has_dropped_tombstone_after(known.servers);
        let known = if is_full { Position::default() } else { known };
        let has_new_entries = is_full || known.entries < position.entries;
        Delta {
            position,
            is_full,
            servers: table.servers_after(known.servers).cloned().collect(),
            entries: has_new_entries.then(|| table.entries().cloned().collect()),
        }
    }
}

/// `listing` of a record that is removed unless it is listed again; full deltas count from 1.
const UNLISTED: u64 = 0;

/// Record with the number of full deltas that had been applied when it was last listed.
#[derive(Debug)]
struct Listed<T> {
    record: T,
    listing: u64,
}

/// Copy of the hub's table at an entry process.
///
/// A new leader starts with an empty table. Until its table is marked complete, the copy keeps
/// its earlier records, since dropping every server and entry process on each leader change would
/// interrupt service; after that it holds exactly what the hub lists.
#[derive(Debug, Default)]
pub struct Directory {
    position: Position,
    /// Number of full deltas that were applied.
    listing: u64,
    servers: collections::BTreeMap<String, Listed<hub::ServerRecord>>,
    entries: collections::BTreeMap<String, Listed<hub::EntryRecord>>,
}

impl Directory {
    /// Creates an empty copy.
    pub fn new() -> Directory {
        Directory::default()
    }

    /// Returns the position to request the next delta from.
    pub fn position(&self) -> Position {
        self.position
    }

    /// Applies a delta and returns whether the copy changed.
    pub fn apply(&mut self, delta: Delta) -> bool {
        let mut is_changed = !delta.servers.is_empty();
        let becomes_complete = delta.position.is_complete && !self.position.is_complete;
        self.position = delta.position;
        if delta.is_full {
            self.listing += 1;
        }
        for record in delta.servers {
            self.apply_record(record);
        }
        if let Some(entries) = delta.entries {
            is_changed |= self.apply_entries(entries);
        }
        if self.position.is_complete && (becomes_complete || delta.is_full) {
            is_changed |= self.retain_listed();
        }
        is_changed
    }

    fn apply_record(&mut self, record: hub::ServerRecord) {
        let name = &record.announced.server;
        let is_gone = record.announced.state == announcement::ServerState::Gone;
        if let Some(known) = self.servers.get_mut(name)
            && !self.position.is_complete
            && known.record.announced.order() > record.announced.order()
        {
            // The new leader has not received the newer announcement yet. An older tombstone is
            // the expiry of a lease at an entry process that the server had left, so the record
            // stays only if it is listed again.
            known.listing = if is_gone { UNLISTED } else { self.listing };
            return;
        }
        if is_gone {
            self.servers.remove(name);
            return;
        }
        let listing = self.listing;
        self.servers
            .insert(name.clone(), Listed { record, listing });
    }

    fn apply_entries(&mut self, entries: Vec<hub::EntryRecord>) -> bool {
        let listing = self.listing;
        let before: Vec<hub::EntryRecord> = self.entries().cloned().collect();
        if self.position.is_complete {
            self.entries.clear();
        }
        for record in entries {
            let name = record.name.clone();
            self.entries.insert(name, Listed { record, listing });
        }
        !self.entries().eq(before.iter())
    }

    fn retain_listed(&mut self) -> bool {
        let count = self.servers.len() + self.entries.len();
        self.servers
            .retain(|_, listed| listed.listing == self.listing);
        self.entries
            .retain(|_, listed| listed.listing == self.listing);
        self.servers.len() + self.entries.len() != count
    }

    /// Returns the servers in order of their names.
    pub fn servers(&self) -> impl Iterator<Item = &hub::ServerRecord> {
        self.servers.values().map(|listed| &listed.record)
    }

    /// Returns the live entry processes in order of their names.
    pub fn entries(&self) -> impl Iterator<Item = &hub::EntryRecord> {
        self.entries.values().map(|listed| &listed.record)
    }
}

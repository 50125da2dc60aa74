//! Copy of the hub's table at an entry process.

use crate::announcement;
use crate::hub;
use serde::{Deserialize, Serialize};
use std::collections;

/// Position of a copy in the hub's table.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Position {
    /// Epoch of the hub.
    pub epoch: u64,
    /// Newest revision of a server that the copy holds.
    pub servers: u64,
    /// Newest revision of the entry list that the copy holds.
    pub entries: u64,
}

/// Part of the hub's table that a copy does not hold yet.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Position after the delta is applied.
    pub position: Position,
    /// Whether the copy must drop what it holds first.
    pub is_full: bool,
    /// Changed servers.
    pub servers: Vec<hub::ServerRecord>,
    /// The whole entry list, if it changed.
    pub entries: Option<Vec<hub::EntryRecord>>,
}

impl Delta {
    /// Collects what a copy at `known` lacks.
    pub fn collect(table: &hub::HubTable, known: Position) -> Delta {
        let is_full = known.epoch != table.epoch();
        let known = if is_full { Position::default() } else { known };
        let position = Position {
            epoch: table.epoch(),
            servers: table.revision(),
            entries: table.entries_revision(),
        };
        let has_new_entries = is_full || known.entries < table.entries_revision();
        Delta {
            position,
            is_full,
            servers: table.servers_after(known.servers).cloned().collect(),
            entries: has_new_entries.then(|| table.entries().cloned().collect()),
        }
    }
}

/// Copy of the hub's table.
#[derive(Debug, Default)]
pub struct Directory {
    position: Position,
    servers: collections::BTreeMap<String, hub::ServerRecord>,
    entries: Vec<hub::EntryRecord>,
}

impl Directory {
    /// Creates an empty copy.
    pub fn new() -> Directory {
        Directory::default()
    }

    /// Returns the position of the copy.
    pub fn position(&self) -> Position {
        self.position
    }

    /// Applies a delta and returns whether the copy changed.
    ///
    /// A new epoch replaces the table only once the hub has had time to hear of every server: the
    /// copy keeps servers that a new hub does not list yet, since dropping them all on each change
    /// of leader would interrupt service. [`Directory::retain_listed`] ends that grace.
    pub fn apply(&mut self, delta: Delta) -> bool {
        let changed = !delta.servers.is_empty() || delta.entries.is_some();
        self.position = delta.position;
        for record in delta.servers {
            self.apply_record(record);
        }
        if let Some(entries) = delta.entries {
            self.entries = entries;
        }
        changed
    }

    fn apply_record(&mut self, record: hub::ServerRecord) {
        let name = &record.announced.server;
        if let Some(known) = self.servers.get(name)
            && known.announced.order() > record.announced.order()
        {
            return;
        }
        if record.announced.state == announcement::ServerState::Gone {
            self.servers.remove(name);
            return;
        }
        self.servers.insert(name.clone(), record);
    }

    /// Drops every server that `is_listed` does not name; called when a new hub is complete.
    pub fn retain_listed(&mut self, is_listed: impl Fn(&str) -> bool) {
        self.servers.retain(|name, _| is_listed(name));
    }

    /// Returns the servers in order of their names.
    pub fn servers(&self) -> impl Iterator<Item = &hub::ServerRecord> {
        self.servers.values()
    }

    /// Returns the live entry processes.
    pub fn entries(&self) -> &[hub::EntryRecord] {
        &self.entries
    }
}

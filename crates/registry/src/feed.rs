//! Change feed of the registry, from which followers fetch the changes since an index.

use crate::document;
use crate::rollout;
use crate::server;
use serde::{Deserialize, Serialize};
use std::collections;

/// Maximum number of changes kept; a follower that lags further behind gets the full state.
const CHANGES_MAX_COUNT: usize = 2_048;

/// One change of the registry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// A new configuration is in force.
    Configuration {
        /// Version of the configuration.
        version: u64,
        /// Document of the configuration.
        document: document::Document,
    },
    /// The set of zones out of service changed; the list is complete.
    ZonesOut(Vec<String>),
    /// A server was added or changed.
    Server(server::Announcement),
    /// The server with this id was removed.
    Forgotten(String),
    /// A rollout of the service began or reached another stage.
    Rollout(String, rollout::Rollout),
}

/// Part of the registry that a change replaces.
#[derive(Debug, PartialEq, Eq, Hash)]
enum Subject<'a> {
    Configuration,
    ZonesOut,
    Server(&'a str),
    Rollout(&'a str),
}

impl Change {
    fn subject(&self) -> Subject<'_> {
        match self {
            Change::Configuration { .. } => Subject::Configuration,
            Change::ZonesOut(_) => Subject::ZonesOut,
            Change::Server(announcement) => Subject::Server(&announcement.id),
            Change::Forgotten(id) => Subject::Server(id),
            Change::Rollout(service, _) => Subject::Rollout(service),
        }
    }
}

/// Recent changes with the indices of their commands, oldest first.
#[derive(Debug, Default)]
pub struct Feed {
    changes: collections::VecDeque<(u64, Change)>,
    /// Changes up to this index are no longer kept.
    dropped_to: u64,
}

impl Feed {
    /// Empties the feed after a snapshot up to `index` replaced the state.
    pub fn reset(&mut self, index: u64) {
        self.changes.clear();
        self.dropped_to = index;
    }

    /// Appends the changes of the command at `index`.
    pub fn extend(&mut self, index: u64, changes: impl IntoIterator<Item = Change>) {
        self.changes
            .extend(changes.into_iter().map(|change| (index, change)));
        while self.changes.len() > CHANGES_MAX_COUNT
            && let Some((index, _)) = self.changes.pop_front()
        {
            self.dropped_to = index;
        }
    }

    /// Returns the changes after `index`, or `None` if some of them are no longer kept.
    ///
    /// Of several changes to the same part only the newest is returned: a follower on a slow link
    /// would fall further behind with each superseded version of a large configuration.
    pub fn since(&self, index: u64) -> Option<Vec<Change>> {
        if index < self.dropped_to {
            return None;
        }
        let newer = self.changes.iter().rev();
        let newer = newer.take_while(|(change_index, _)| *change_index > index);
        let mut subjects = collections::HashSet::new();
        let newest = newer.filter(|(_, change)| subjects.insert(change.subject()));
        let mut changes: Vec<_> = newest.map(|(_, change)| change.clone()).collect();
        changes.reverse();
        Some(changes)
    }
}

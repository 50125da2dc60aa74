//! Changes of the registry since an index, for processes that follow it.

use crate::document;
use crate::server;
use serde::{Deserialize, Serialize};
use std::collections;

/// Changes kept for followers; one that lags further gets the whole state.
const CHANGES_MAX_COUNT: usize = 2_048;

/// One change of the registry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Change {
    /// Another configuration is in force.
    Configuration {
        /// Its version.
        version: u64,
        /// Its document.
        document: document::Document,
    },
    /// Other zones are out of service; the list is complete.
    ZonesOut(Vec<String>),
    /// A server is new or changed.
    Server(server::Announcement),
    /// A server was forgotten.
    Forgotten(String),
}

/// What a change replaces.
#[derive(Debug, PartialEq, Eq, Hash)]
enum Subject<'a> {
    Configuration,
    ZonesOut,
    Server(&'a str),
}

impl Change {
    fn subject(&self) -> Subject<'_> {
        match self {
            Change::Configuration { .. } => Subject::Configuration,
            Change::ZonesOut(_) => Subject::ZonesOut,
            Change::Server(announcement) => Subject::Server(&announcement.id),
            Change::Forgotten(id) => Subject::Server(id),
        }
    }
}

/// Recent changes.
#[derive(Debug, Default)]
pub struct Feed {
    changes: collections::VecDeque<(u64, Change)>,
    /// Index up to which changes are no longer kept.
    dropped_to: u64,
}

impl Feed {
    /// Empties the feed, whose state now begins at `index`.
    pub fn reset(&mut self, index: u64) {
        self.changes.clear();
        self.dropped_to = index;
    }

    /// Adds the changes of the command at `index`.
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
    /// Of changes that replace each other only the newest is returned: a follower on a slow link
    /// falls further behind with each version of a large configuration that it fetches in vain.
    pub fn since(&self, index: u64) -> Option<Vec<Change>> {
        if index < self.dropped_to {
            return None;
        }
        let newer = self.changes.iter().rev();
        let newer = newer.take_while(|(at, _)| *at > index);
        let mut seen = collections::HashSet::new();
        let newest = newer.filter(|(_, change)| seen.insert(change.subject()));
        let mut changes: Vec<_> = newest.map(|(_, change)| change.clone()).collect();
        changes.reverse();
        Some(changes)
    }
}

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
    pub fn since(&self, index: u64) -> Option<Vec<Change>> {
        if index < self.dropped_to {
            return None;
        }
        let newer = self.changes.iter().filter(|(at, _)| *at > index);
        Some(newer.map(|(_, change)| change.clone()).collect())
    }
}

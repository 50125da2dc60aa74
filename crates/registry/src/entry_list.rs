//! Changes of the list of entry processes, for followers that hold an earlier list.
//!
//! The whole list goes to every entry process only when it starts. If each change carried the list,
//! the restart of all processes would cost bytes in proportion to the cube of their number.

use crate::follow;
use serde::{Deserialize, Serialize};
use std::cmp;
use std::collections;

/// Number of earlier lists that are kept. Followers ask every half second at the latest, and the
/// list is looked at ten times a second at the most.
const LISTS_MAX_COUNT: usize = 16;

/// Difference between two lists of entry processes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryChanges {
    /// Entry processes that were added, or whose location changed.
    pub changed: Vec<follow::Entry>,
    /// Names of the entry processes that were removed.
    pub removed: Vec<String>,
}

impl EntryChanges {
    /// Returns what turns `from` into `to`. Both lists are sorted by name.
    pub fn between(from: &[follow::Entry], to: &[follow::Entry]) -> EntryChanges {
        let mut changes = EntryChanges::default();
        let (mut from, mut to) = (from.iter().peekable(), to.iter().peekable());
        loop {
            let order = match (from.peek(), to.peek()) {
                (Some(old), Some(new)) => old.name.cmp(&new.name),
                (Some(_), None) => cmp::Ordering::Less,
                (None, Some(_)) => cmp::Ordering::Greater,
                (None, None) => return changes,
            };
            let old = from.next_if(|_| order != cmp::Ordering::Greater);
            let new = to.next_if(|_| order != cmp::Ordering::Less);
            match (old, new) {
                (Some(old), None) => changes.removed.push(old.name.clone()),
                (_, Some(new)) if old != Some(new) => changes.changed.push(new.clone()),
                _ => {}
            }
        }
    }

    /// Applies the changes to a list that is sorted by name.
    pub fn apply(self, entries: &mut Vec<follow::Entry>) {
        entries.retain(|entry| !self.removed.contains(&entry.name));
        for entry in self.changed {
            match entries.binary_search_by(|known| known.name.cmp(&entry.name)) {
                Ok(n) => entries[n] = entry,
                Err(n) => entries.insert(n, entry),
            }
        }
    }
}

/// Part of a reply on the list of entry processes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Update {
    /// The follower holds the current list.
    Same,
    /// Changes since the list that the follower holds.
    Changes(EntryChanges),
    /// Whole list, for a follower whose list is not known.
    Whole(Vec<follow::Entry>),
}

/// Recent lists of entry processes by digest, newest last.
#[derive(Debug, Default)]
pub struct History {
    lists: collections::VecDeque<(u64, Vec<follow::Entry>)>,
}

impl History {
    /// Records the current list, sorted by name, and returns what a follower needs whose list has
    /// the digest `held`.
    pub fn update(&mut self, current: Vec<follow::Entry>, held: u64) -> Update {
        let digest = follow::entries_digest(&current);
        if digest == held {
            return Update::Same;
        }
        let known = self.lists.iter().find(|(digest, _)| *digest == held);
        let update = match known {
            Some((_, list)) => Update::Changes(EntryChanges::between(list, &current)),
            None => Update::Whole(current.clone()),
        };
        if self
            .lists
            .back()
            .is_none_or(|(newest, _)| *newest != digest)
        {
            self.lists.retain(|(known, _)| *known != digest);
            self.lists.push_back((digest, current));
        }
        if self.lists.len() > LISTS_MAX_COUNT {
            self.lists.pop_front();
        }
        update
    }
}

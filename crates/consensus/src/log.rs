//! In-memory part of the log.

use crate::types;
use std::collections;

/// Log entries after `base`, the last index that is covered by a snapshot and no longer held.
///
/// Invariant: `entries[n]` has index `base + 1 + n`.
#[derive(Debug, Default)]
pub(crate) struct Log {
    base: types::Index,
    base_term: types::Term,
    entries: collections::VecDeque<types::LogEntry>,
}

impl Log {
    pub(crate) fn new(base: types::Index, base_term: types::Term) -> Log {
        let entries = collections::VecDeque::new();
        Log {
            base,
            base_term,
            entries,
        }
    }

    pub(crate) fn last(&self) -> types::Index {
        types::Index(self.base.0 + self.entries.len() as u64)
    }

    pub(crate) fn last_term(&self) -> types::Term {
        self.entries.back().map_or(self.base_term, |e| e.term)
    }

    fn position(&self, index: types::Index) -> Option<usize> {
        let offset = index.0.checked_sub(self.base.0 + 1)?;
        usize::try_from(offset).ok()
    }

    pub(crate) fn get(&self, index: types::Index) -> Option<&types::LogEntry> {
        self.entries.get(self.position(index)?)
    }

    /// Returns the term of an index, or `None` if the index is before the base or after the last
    /// entry.
    pub(crate) fn term_at(&self, index: types::Index) -> Option<types::Term> {
        if index == self.base {
            return Some(self.base_term);
        }
        self.get(index).map(|e| e.term)
    }

    pub(crate) fn push(&mut self, entry: types::LogEntry) {
        assert_eq!(entry.index, self.last().next(), "log must have no gaps");
        self.entries.push_back(entry);
    }

    pub(crate) fn truncate_from(&mut self, index: types::Index) {
        if let Some(position) = self.position(index) {
            self.entries.truncate(position);
        }
    }

    /// Drops the entries up to and including `index`, which must be in the log.
    pub(crate) fn compact_to(&mut self, index: types::Index) {
        while self.base < index
            && let Some(entry) = self.entries.pop_front()
        {
            self.base = entry.index;
            self.base_term = entry.term;
        }
    }

    /// Returns the first index after the base that has the term of `index`. A conflict hint uses it
    /// to skip a whole conflicting term.
    pub(crate) fn first_of_term(&self, index: types::Index) -> types::Index {
        let term = self.term_at(index);
        let mut first = index;
        while first > self.base.next() && self.term_at(first.prev()) == term {
            first = first.prev();
        }
        first
    }

    /// Returns copies of the entries from an index on, within the limits.
    pub(crate) fn entries_from(
        &self,
        from: types::Index,
        max_count: usize,
        max_bytes: usize,
    ) -> Vec<types::LogEntry> {
        let Some(position) = self.position(from) else {
            return Vec::new();
        };
        let mut size_bytes = 0;
        let mut copied = Vec::new();
        for entry in self.entries.iter().skip(position).take(max_count) {
            size_bytes += entry.size_bytes();
            // An entry larger than the limit is sent alone.
            if size_bytes > max_bytes && !copied.is_empty() {
                break;
            }
            copied.push(entry.clone());
        }
        copied
    }
}

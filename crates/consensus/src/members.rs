//! History of member sets.

use crate::types;

/// Member sets in the log with their indices, oldest first. The newest is in effect even before it
/// is committed.
#[derive(Debug, Default)]
pub(crate) struct MemberHistory {
    sets: Vec<(types::Index, types::MemberSet)>,
    empty: types::MemberSet,
}

impl MemberHistory {
    pub(crate) fn current(&self) -> &types::MemberSet {
        self.sets.last().map_or(&self.empty, |(_, set)| set)
    }

    /// Returns the index of the entry or snapshot that holds the current set; 0 without one.
    pub(crate) fn current_index(&self) -> types::Index {
        self.sets
            .last()
            .map_or(types::Index(0), |(index, _)| *index)
    }

    pub(crate) fn at(&self, index: types::Index) -> &types::MemberSet {
        let found = self.sets.iter().rev().find(|(start, _)| *start <= index);
        found.map_or(&self.empty, |(_, set)| set)
    }

    pub(crate) fn push(&mut self, index: types::Index, set: types::MemberSet) {
        self.sets.push((index, set));
    }

    pub(crate) fn truncate_from(&mut self, index: types::Index) {
        self.sets.retain(|(start, _)| *start < index);
    }

    pub(crate) fn reset(&mut self, index: types::Index, set: types::MemberSet) {
        self.sets.clear();
        self.push(index, set);
    }

    /// Drops the sets that were replaced at or before `index`.
    pub(crate) fn compact_to(&mut self, index: types::Index) {
        let replaced = self
            .sets
            .iter()
            .filter(|(start, _)| *start <= index)
            .count();
        self.sets.drain(..replaced.saturating_sub(1));
    }
}

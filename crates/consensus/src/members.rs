//! Member sets by the index that put them in force.

use crate::types;

/// Member sets of the log, oldest first; the newest is in force even before it is committed.
#[derive(Debug, Default)]
pub(crate) struct Members {
    sets: Vec<(types::Index, types::MemberSet)>,
    none: types::MemberSet,
}

impl Members {
    pub(crate) fn current(&self) -> &types::MemberSet {
        self.sets.last().map_or(&self.none, |(_, set)| set)
    }

    /// Returns the index that put the current set in force.
    pub(crate) fn since(&self) -> types::Index {
        self.sets
            .last()
            .map_or(types::Index(0), |(index, _)| *index)
    }

    pub(crate) fn at(&self, index: types::Index) -> &types::MemberSet {
        let found = self.sets.iter().rev().find(|(since, _)| *since <= index);
        found.map_or(&self.none, |(_, set)| set)
    }

    pub(crate) fn push(&mut self, index: types::Index, set: types::MemberSet) {
        self.sets.push((index, set));
    }

    pub(crate) fn truncate_from(&mut self, index: types::Index) {
        self.sets.retain(|(since, _)| *since < index);
    }

    pub(crate) fn reset(&mut self, index: types::Index, set: types::MemberSet) {
        self.sets.clear();
        self.push(index, set);
    }

    /// Forgets sets that were replaced at or before `index`.
    pub(crate) fn drop_to(&mut self, index: types::Index) {
        let replaced = self
            .sets
            .iter()
            .filter(|(since, _)| *since <= index)
            .count();
        self.sets.drain(..replaced.saturating_sub(1));
    }
}

//! Accepted changes, kept in a form that can be shared at a cost independent of their number.

use crate::change;
use crate::config;
use crate::diff;
use serde::{Deserialize, Serialize};
use std::sync;

/// Records kept. At 1,600 changes a day this covers 20 days; older ones are in the logs.
pub const RECORDS_MAX_COUNT: usize = 32_768;
/// Encoded bytes of the changes kept, which bounds memory when single changes are large.
pub const RECORDS_MAX_BYTES: u64 = 16 * 1024 * 1024;
/// Records of one chunk. Sharing a history copies at most this many pointers.
const CHUNK_COUNT: usize = 64;

/// Accepted change, as the history shows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Version that the change made.
    pub version: config::Version,
    /// Version that the change was applied to.
    pub base: config::Version,
    /// Time of acceptance by the leader's wall clock, in milliseconds since the Unix epoch. It is
    /// shown to operators and decides nothing.
    pub wall_ms: u64,
    /// Encoded bytes of the change.
    pub encoded_bytes: u64,
    /// The change.
    pub change: change::Change,
    /// Entries that the change created, replaced or removed.
    pub effects: Vec<diff::Effect>,
}

type Chunk = sync::Arc<Vec<sync::Arc<Record>>>;

/// Accepted changes, oldest first.
///
/// Invariant: versions are consecutive, and the oldest records are dropped by whole chunks as a
/// function of the records alone, so replicas drop the same ones.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct History {
    sealed: sync::Arc<Vec<Chunk>>,
    open: Vec<sync::Arc<Record>>,
    encoded_bytes: u64,
}

impl History {
    /// Adds the record of the next version and drops the oldest ones over the bounds.
    pub(crate) fn push(&mut self, record: Record) {
        self.encoded_bytes += record.encoded_bytes;
        self.open.push(sync::Arc::new(record));
        if self.open.len() < CHUNK_COUNT {
            return;
        }
        let chunk = sync::Arc::new(std::mem::take(&mut self.open));
        let sealed = sync::Arc::make_mut(&mut self.sealed);
        sealed.push(chunk);
        let is_over = |chunks: usize, bytes: u64| {
            chunks * CHUNK_COUNT > RECORDS_MAX_COUNT || bytes > RECORDS_MAX_BYTES
        };
        // The newest chunk stays, whatever its size.
        while sealed.len() > 1 && is_over(sealed.len(), self.encoded_bytes) {
            let oldest = sealed.remove(0);
            self.encoded_bytes -= oldest.iter().map(|r| r.encoded_bytes).sum::<u64>();
        }
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.sealed.len() * CHUNK_COUNT + self.open.len()
    }

    /// Returns whether no change was accepted yet.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns every record, oldest first.
    pub fn iter(&self) -> impl DoubleEndedIterator<Item = &sync::Arc<Record>> {
        let sealed = self.sealed.iter().flat_map(|chunk| chunk.iter());
        sealed.chain(&self.open)
    }

    /// Returns the oldest version that [`History::diff`] and [`History::config_at`] can go back to.
    pub fn oldest_base(&self) -> Option<config::Version> {
        self.iter().next().map(|record| record.base)
    }

    /// Returns the record that made `version`.
    pub fn get(&self, version: config::Version) -> Option<&sync::Arc<Record>> {
        let first = self.iter().next()?.version;
        let at = usize::try_from(version.0.checked_sub(first.0)?).ok()?;
        match self.sealed.get(at / CHUNK_COUNT) {
            Some(chunk) => chunk.get(at % CHUNK_COUNT),
            None => self.open.get(at - self.sealed.len() * CHUNK_COUNT),
        }
    }

    /// Returns records after `version`, oldest first.
    pub fn after(&self, version: config::Version) -> impl Iterator<Item = &sync::Arc<Record>> {
        let first = self
            .oldest_base()
            .map_or(version.0, |base| base.0.max(version.0));
        (first + 1..).map_while(|version| self.get(config::Version(version)))
    }

    /// Returns the entries that differ between two versions, or `None` if a record between them is
    /// not kept or not made yet.
    pub fn diff(&self, from: config::Version, to: config::Version) -> Option<Vec<diff::Effect>> {
        if from > to {
            return Some(diff::inverse(self.diff(to, from)?));
        }
        let versions = from.0 + 1..=to.0;
        let records: Option<Vec<_>> = versions.map(|v| self.get(config::Version(v))).collect();
        Some(diff::compose(records?.iter().flat_map(|r| &r.effects)))
    }

    /// Returns the configuration of an earlier version, worked out backwards from `newest`.
    ///
    /// Bindings of ledger regions are never taken back, so the result holds those of `newest`.
    pub fn config_at(
        &self,
        newest: &config::Config,
        version: config::Version,
    ) -> Option<config::Config> {
        let mut cfg = newest.clone();
        if version > newest.version {
            return None;
        }
        for effect in &self.diff(newest.version, version)? {
            diff::apply(&mut cfg, effect);
        }
        cfg.version = version;
        Some(cfg)
    }
}

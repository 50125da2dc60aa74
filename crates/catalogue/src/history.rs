//! History of accepted changes, which can be cloned at a cost independent of its length.

use crate::change;
use crate::config;
use crate::diff;
use serde::{Deserialize, Serialize};
use std::sync;

/// Most records kept. At 1,600 changes a day this covers 20 days; older ones are in the logs.
pub const RECORDS_MAX_COUNT: usize = 32_768;
/// Most encoded bytes of the changes kept, which bounds memory when single changes are large.
pub const RECORDS_MAX_BYTES: u64 = 16 * 1024 * 1024;
/// Records per chunk. Cloning a history copies at most this many pointers.
const CHUNK_RECORDS_COUNT: usize = 64;

/// Accepted change with its versions and effects.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Version that the change created.
    pub version: config::Version,
    /// Version that the change was applied to.
    pub base: config::Version,
    /// Time of acceptance by the leader's wall clock, in milliseconds since the Unix epoch. It is
    /// only shown to operators.
    pub wall_ms: u64,
    /// Size of the encoded change, in bytes.
    pub encoded_bytes: u64,
    /// Change as it was submitted.
    pub change: change::Change,
    /// Entries that the change created, replaced or removed.
    pub effects: Vec<diff::Effect>,
}

type Chunk = sync::Arc<Vec<sync::Arc<Record>>>;

/// Accepted changes, oldest first.
///
/// Invariant: versions are consecutive, and the oldest records are dropped in whole chunks. Which
/// ones depends on the records alone, so replicas drop the same ones.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct History {
    sealed: sync::Arc<Vec<Chunk>>,
    open: Vec<sync::Arc<Record>>,
    encoded_bytes: u64,
}

impl History {
    /// Appends the record of the next version and drops the oldest chunks that exceed the limits.
    pub(crate) fn push(&mut self, record: Record) {
        self.encoded_bytes += record.encoded_bytes;
        self.open.push(sync::Arc::new(record));
        if self.open.len() < CHUNK_RECORDS_COUNT {
            return;
        }
        let chunk = sync::Arc::new(std::mem::take(&mut self.open));
        let sealed = sync::Arc::make_mut(&mut self.sealed);
        sealed.push(chunk);
        let exceeds_limits = |chunks: usize, bytes: u64| {
            chunks * CHUNK_RECORDS_COUNT > RECORDS_MAX_COUNT || bytes > RECORDS_MAX_BYTES
        };
        // The newest chunk is kept whatever its size.
        while sealed.len() > 1 && exceeds_limits(sealed.len(), self.encoded_bytes) {
            let oldest = sealed.remove(0);
            self.encoded_bytes -= oldest.iter().map(|r| r.encoded_bytes).sum::<u64>();
        }
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.sealed.len() * CHUNK_RECORDS_COUNT + self.open.len()
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

    /// Returns the record that created `version`.
    pub fn get(&self, version: config::Version) -> Option<&sync::Arc<Record>> {
        let first = self.iter().next()?.version;
        let offset = usize::try_from(version.0.checked_sub(first.0)?).ok()?;
        match self.sealed.get(offset / CHUNK_RECORDS_COUNT) {
            Some(chunk) => chunk.get(offset % CHUNK_RECORDS_COUNT),
            None => self
                .open
                .get(offset - self.sealed.len() * CHUNK_RECORDS_COUNT),
        }
    }

    /// Returns the records after `version`, oldest first.
    pub fn after(&self, version: config::Version) -> impl Iterator<Item = &sync::Arc<Record>> {
        let start = self
            .oldest_base()
            .map_or(version.0, |base| base.0.max(version.0));
        (start + 1..).map_while(|version| self.get(config::Version(version)))
    }

    /// Returns the entries that differ between two versions, or `None` if a record between them is
    /// no longer kept or does not exist yet.
    pub fn diff(&self, from: config::Version, to: config::Version) -> Option<Vec<diff::Effect>> {
        if from > to {
            return Some(diff::inverse(self.diff(to, from)?));
        }
        let versions = from.0 + 1..=to.0;
        let records: Option<Vec<_>> = versions.map(|v| self.get(config::Version(v))).collect();
        Some(diff::compose(records?.iter().flat_map(|r| &r.effects)))
    }

    /// Returns the configuration of an earlier version, derived from `newest` by undoing the
    /// changes after it, or `None` if it does not exist or one of them is no longer kept.
    ///
    /// Bindings of ledger regions are never removed, so the result holds those of `newest`.
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

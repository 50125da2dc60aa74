//! Replication progress of one follower, as tracked by the leader.

use crate::types;
use std::collections;

/// Replication mode of a follower.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Mode {
    /// The last matching index is unknown; empty appends search for it, one at a time.
    Probe,
    /// Entries are pipelined without waiting for acknowledgments.
    Replicate,
    /// A snapshot is sent in parts, one at a time.
    Snapshot {
        index: types::Index,
        offset_bytes: u64,
    },
}

/// Replication progress of one follower.
#[derive(Debug)]
pub(crate) struct Progress {
    pub(crate) matched: types::Index,
    pub(crate) next: types::Index,
    pub(crate) mode: Mode,
    /// Whether the last probe or snapshot part is not acknowledged yet.
    pub(crate) is_awaiting_ack: bool,
    /// Last index of each in-flight message with entries.
    pub(crate) inflight: collections::VecDeque<types::Index>,
    pub(crate) acked_round: u64,
    /// Newest round when `matched` last grew; responses to later rounds must reflect that value.
    pub(crate) matched_round: u64,
    /// Whether the follower acknowledged less than before, as after a restart with an older disk.
    pub(crate) is_suspect: bool,
    /// First round whose responses count; earlier ones may describe a disk that was lost since.
    pub(crate) min_round: u64,
}

impl Progress {
    pub(crate) fn new(next: types::Index) -> Progress {
        Progress {
            matched: types::Index(0),
            next,
            mode: Mode::Replicate,
            is_awaiting_ack: false,
            inflight: collections::VecDeque::new(),
            acked_round: 0,
            matched_round: 0,
            is_suspect: false,
            min_round: 0,
        }
    }

    pub(crate) fn record_match(&mut self, index: types::Index, round: u64) {
        if index > self.matched {
            self.matched = index;
            self.matched_round = round;
        }
        self.next = self.next.max(self.matched.next());
        self.inflight.retain(|last| *last > index);
        self.is_awaiting_ack = false;
        match self.mode {
            Mode::Snapshot { index, .. } if self.matched < index => {}
            _ => self.mode = Mode::Replicate,
        }
    }

    pub(crate) fn probe_from(&mut self, next: types::Index) {
        self.next = next.max(self.matched.next());
        self.mode = Mode::Probe;
        self.is_awaiting_ack = false;
        self.inflight.clear();
    }

    pub(crate) fn record_received(&mut self, snapshot_index: types::Index, received_bytes: u64) {
        if let Mode::Snapshot {
            index,
            offset_bytes,
        } = &mut self.mode
            && *index == snapshot_index
        {
            *offset_bytes = received_bytes;
            self.is_awaiting_ack = false;
        }
    }

    pub(crate) fn mark_suspect(&mut self, min_round: u64) {
        self.is_suspect = true;
        self.min_round = min_round;
        self.matched = types::Index(0);
        self.matched_round = 0;
    }
}

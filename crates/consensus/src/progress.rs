//! What a leader knows of one follower.

use crate::types;
use std::collections;

/// How entries are sent to a follower.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Mode {
    /// The place where the logs part is unknown; empty messages look for it.
    Probe,
    /// Entries are sent without waiting for answers.
    Replicate,
    /// A snapshot is sent in parts.
    Snapshot {
        index: types::Index,
        offset_bytes: u64,
    },
}

/// Progress of one follower.
#[derive(Debug)]
pub(crate) struct Progress {
    pub(crate) matched: types::Index,
    pub(crate) next: types::Index,
    pub(crate) mode: Mode,
    /// Whether the last message of a probe or snapshot waits for its answer.
    pub(crate) is_waiting: bool,
    /// Last index of each message with entries on its way.
    pub(crate) inflight: collections::VecDeque<types::Index>,
    pub(crate) round_acked: u64,
    /// Round at the time when `matched` last grew: answers to later rounds reflect it.
    pub(crate) matched_round: u64,
    /// Whether it acknowledged less than before, as an older disk does.
    pub(crate) is_suspect: bool,
    /// Answers to earlier rounds are ignored: they may tell of a disk that was lost since.
    pub(crate) round_min: u64,
}

impl Progress {
    pub(crate) fn new(next: types::Index) -> Progress {
        Progress {
            matched: types::Index(0),
            next,
            mode: Mode::Replicate,
            is_waiting: false,
            inflight: collections::VecDeque::new(),
            round_acked: 0,
            matched_round: 0,
            is_suspect: false,
            round_min: 0,
        }
    }

    pub(crate) fn accept(&mut self, index: types::Index, round: u64) {
        if index > self.matched {
            self.matched = index;
            self.matched_round = round;
        }
        self.next = self.next.max(self.matched.next());
        self.inflight.retain(|last| *last > index);
        self.is_waiting = false;
        match self.mode {
            Mode::Snapshot { index, .. } if self.matched < index => {}
            _ => self.mode = Mode::Replicate,
        }
    }

    pub(crate) fn probe_from(&mut self, next: types::Index) {
        self.next = next.max(self.matched.next());
        self.mode = Mode::Probe;
        self.is_waiting = false;
        self.inflight.clear();
    }

    pub(crate) fn received(&mut self, of: types::Index, received_bytes: u64) {
        if let Mode::Snapshot {
            index,
            offset_bytes,
        } = &mut self.mode
            && *index == of
        {
            *offset_bytes = received_bytes;
            self.is_waiting = false;
        }
    }

    pub(crate) fn suspect(&mut self, round_min: u64) {
        self.is_suspect = true;
        self.round_min = round_min;
        self.matched = types::Index(0);
        self.matched_round = 0;
    }
}

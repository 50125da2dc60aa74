//! What the listener knows of one connection, without a timer for each request.
//!
//! A timer for each head cost 2,090 of 38,240 instructions per call, so the path of a
//! request only counts, and a slow tick per connection judges the counts.

use nutmegdale_base::clock;
use std::sync;
use std::sync::atomic;

/// Counters of one connection; its own task writes them.
#[derive(Debug, Default)]
pub(super) struct Activity {
    /// Requests that are being answered, to the end of their bodies.
    open: atomic::AtomicU32,
    /// Requests so far.
    begun: atomic::AtomicU64,
    /// Whether bytes came that belong to no request yet.
    has_partial: atomic::AtomicBool,
    /// Bytes written so far.
    written: atomic::AtomicU64,
    /// Whether the client takes no more bytes.
    is_blocked: atomic::AtomicBool,
}

/// Counts one request until it is dropped.
#[derive(Debug)]
pub(super) struct Open {
    activity: sync::Arc<Activity>,
}

impl Drop for Open {
    fn drop(&mut self) {
        self.activity
            .has_partial
            .store(false, atomic::Ordering::Relaxed);
        self.activity.open.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}

impl Activity {
    pub(super) fn begin(self: &sync::Arc<Activity>) -> Open {
        self.open.fetch_add(1, atomic::Ordering::Relaxed);
        self.begun.fetch_add(1, atomic::Ordering::Relaxed);
        self.has_partial.store(false, atomic::Ordering::Relaxed);
        Open {
            activity: sync::Arc::clone(self),
        }
    }

    pub(super) fn on_read(&self) {
        self.has_partial.store(true, atomic::Ordering::Relaxed);
    }

    pub(super) fn on_write(&self, count: Option<usize>) {
        if let Some(count) = count {
            self.written
                .fetch_add(count as u64, atomic::Ordering::Relaxed);
        }
        self.is_blocked
            .store(count.is_none(), atomic::Ordering::Relaxed);
    }

    pub(super) fn is_idle(&self) -> bool {
        self.open.load(atomic::Ordering::Relaxed) == 0
    }

    /// Returns whether no request has come yet.
    pub(super) fn is_new(&self) -> bool {
        self.begun.load(atomic::Ordering::Relaxed) == 0
    }

    fn seen(&self) -> Seen {
        Seen {
            begun: self.begun.load(atomic::Ordering::Relaxed),
            written: self.written.load(atomic::Ordering::Relaxed),
            state: self.state(),
        }
    }

    fn state(&self) -> State {
        if !self.is_idle() {
            if self.is_blocked.load(atomic::Ordering::Relaxed) {
                return State::Blocked;
            }
            return State::Answering;
        }
        if self.is_new() || self.has_partial.load(atomic::Ordering::Relaxed) {
            return State::ReadingHead;
        }
        State::Idle
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    ReadingHead,
    Answering,
    Blocked,
    Idle,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
struct Seen {
    begun: u64,
    written: u64,
    state: State,
}

/// Time that a connection may stay unchanged in each state.
#[derive(Debug, Clone, Copy)]
pub(super) struct Patience {
    pub(super) head: clock::Millis,
    pub(super) blocked: clock::Millis,
    pub(super) idle: clock::Millis,
}

/// Judge of one connection.
#[derive(Debug)]
pub(super) struct Judge {
    patience: Patience,
    last: Seen,
    unchanged: clock::Millis,
}

impl Judge {
    pub(super) fn new(patience: Patience, activity: &Activity) -> Judge {
        Judge {
            patience,
            last: activity.seen(),
            unchanged: clock::Millis::ZERO,
        }
    }

    /// Takes the end of a tick and returns whether the connection has to be closed.
    pub(super) fn tick(&mut self, activity: &Activity, span: clock::Millis) -> bool {
        let seen = activity.seen();
        if seen != self.last {
            self.last = seen;
            self.unchanged = clock::Millis::ZERO;
            return false;
        }
        self.unchanged = self.unchanged + span;
        match seen.state {
            State::Answering => false,
            State::ReadingHead => self.unchanged >= self.patience.head,
            State::Blocked => self.unchanged >= self.patience.blocked,
            State::Idle => self.unchanged >= self.patience.idle,
        }
    }
}

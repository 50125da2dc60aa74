//! Decision between sending a request and giving it up, taken once.

use std::sync::atomic;

const WAITING: u8 = 0;
const SENT: u8 = 1;
const CLOSED: u8 = 2;

/// Gate between a request and the server: what [`Gate::close`] closed is never sent.
///
/// Invariant: a closed gate stays closed, so a caller that was told "not run" was told the truth
/// whatever the sending task does later.
#[derive(Debug, Default)]
pub(crate) struct Gate {
    state: atomic::AtomicU8,
}

impl Gate {
    /// Passes the gate for a send, or returns `false` if it is closed.
    pub(crate) fn pass(&self) -> bool {
        self.swap(WAITING, SENT)
    }

    /// Takes back a pass whose request was returned unsent.
    pub(crate) fn take_back(&self) {
        // Fails only if no pass was taken, as for a connection that could not be opened.
        self.swap(SENT, WAITING);
    }

    /// Closes the gate and returns whether nothing passed it.
    pub(crate) fn close(&self) -> bool {
        self.swap(WAITING, CLOSED) || self.state.load(atomic::Ordering::Acquire) == CLOSED
    }

    fn swap(&self, from: u8, to: u8) -> bool {
        let (set, read) = (atomic::Ordering::AcqRel, atomic::Ordering::Acquire);
        self.state.compare_exchange(from, to, set, read).is_ok()
    }
}

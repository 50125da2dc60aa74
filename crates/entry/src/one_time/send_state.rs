//! Atomic decision between sending a request and cancelling it.

use std::sync::atomic;

const NOT_SENT: u8 = 0;
const SENT: u8 = 1;
const CANCELLED: u8 = 2;

/// Whether a request may still be sent.
///
/// Invariant: once [`SendState::cancel`] has returned `true`, the request is never sent, so a
/// `not-run` response to the caller is correct whatever the sending task does later.
#[derive(Debug, Default)]
pub(crate) struct SendState {
    state: atomic::AtomicU8,
}

impl SendState {
    /// Marks the request as sent, or returns `false` if it is cancelled or already sent.
    pub(crate) fn try_begin(&self) -> bool {
        self.transition(NOT_SENT, SENT)
    }

    /// Reverts [`SendState::try_begin`] after the request was returned unsent.
    pub(crate) fn undo(&self) {
        // This fails only if the send did not begin, as when the connection could not be opened.
        self.transition(SENT, NOT_SENT);
    }

    /// Cancels the request unless it was sent, and returns whether it is cancelled.
    pub(crate) fn cancel(&self) -> bool {
        self.transition(NOT_SENT, CANCELLED)
            || self.state.load(atomic::Ordering::Acquire) == CANCELLED
    }

    fn transition(&self, from: u8, to: u8) -> bool {
        let (success, failure) = (atomic::Ordering::AcqRel, atomic::Ordering::Acquire);
        self.state
            .compare_exchange(from, to, success, failure)
            .is_ok()
    }
}

//! The part of a grant that the path of a request reads.

use nutmegdale_base::clock;
use std::sync::atomic;
use std::sync::atomic::Ordering::SeqCst;

/// Grant of one cold server at this entry process, with the requests under it.
///
/// Invariant: after [`Lease::stop`] has returned `true`, no request is at the server and none
/// begins until [`Lease::extend`]. The orderings are sequentially consistent, since the count and
/// the end of the lease are two variables that both sides write and then read crosswise.
#[derive(Debug, Default)]
pub struct Lease {
    until_ms: atomic::AtomicU64,
    in_flight: atomic::AtomicU32,
}

impl Lease {
    /// Creates a lease that has ended.
    pub fn new() -> Lease {
        Lease::default()
    }

    /// Counts a request in if the grant is valid and fewer than `bound` are in flight.
    pub fn begin(&self, now: clock::Millis, bound: u32) -> bool {
        let next = |held: u32| (held < bound).then_some(held + 1);
        if self.in_flight.fetch_update(SeqCst, SeqCst, next).is_err() {
            return false;
        }
        if now.0 < self.until_ms.load(SeqCst) {
            return true;
        }
        self.end();
        false
    }

    /// Counts a request out, once the server works on it no more.
    pub fn end(&self) {
        self.in_flight.fetch_sub(1, SeqCst);
    }

    /// Returns the requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(SeqCst)
    }

    /// Returns whether a request may begin at `now`.
    pub fn is_valid(&self, now: clock::Millis) -> bool {
        now.0 < self.until_ms.load(SeqCst)
    }

    /// Sets the end of the grant; it never moves back.
    pub fn extend(&self, until: clock::Millis) {
        self.until_ms.fetch_max(until.0, SeqCst);
    }

    /// Ends the grant and returns whether nothing is in flight.
    pub fn stop(&self) -> bool {
        self.until_ms.store(0, SeqCst);
        self.in_flight.load(SeqCst) == 0
    }
}

//! Lease of a grant, which the request path reads.

use nutmegdale_base::clock;
use std::sync::atomic;
use std::sync::atomic::Ordering::SeqCst;

/// Lease of one cold server at this entry process, with the count of requests under it.
///
/// Invariant: after [`Lease::stop`] has returned `true`, no request is at the server and none
/// begins until [`Lease::extend`]. The orderings are sequentially consistent, since each side
/// writes one of the two variables, the count and the expiry, and then reads the other.
#[derive(Debug, Default)]
pub struct Lease {
    expires_ms: atomic::AtomicU64,
    in_flight: atomic::AtomicU32,
}

impl Lease {
    /// Creates an expired lease.
    pub fn new() -> Lease {
        Lease::default()
    }

    /// Adds a request to the count if the lease is valid and fewer than `bound` are in flight;
    /// returns whether it may be sent.
    pub fn begin(&self, now: clock::Millis, bound: u32) -> bool {
        let next = |count: u32| (count < bound).then_some(count + 1);
        if self.in_flight.fetch_update(SeqCst, SeqCst, next).is_err() {
            return false;
        }
        if now.0 < self.expires_ms.load(SeqCst) {
            return true;
        }
        self.end();
        false
    }

    /// Removes a request from the count, once the server no longer processes it.
    pub fn end(&self) {
        self.in_flight.fetch_sub(1, SeqCst);
    }

    /// Returns the number of requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(SeqCst)
    }

    /// Returns whether the lease is valid at `now`.
    pub fn is_valid(&self, now: clock::Millis) -> bool {
        now.0 < self.expires_ms.load(SeqCst)
    }

    /// Extends the lease until `expires`, unless it is valid for longer already.
    pub fn extend(&self, expires: clock::Millis) {
        self.expires_ms.fetch_max(expires.0, SeqCst);
    }

    /// Ends the lease and returns whether no request is in flight.
    pub fn stop(&self) -> bool {
        self.expires_ms.store(0, SeqCst);
        self.in_flight.load(SeqCst) == 0
    }
}

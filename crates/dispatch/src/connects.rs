//! Decides when a process opens a connection to a server only to ask for its load.
//!
//! Load pattern: a hundred processes send a few requests a second each to a hundred servers that are
//! mostly occupied. Health checks look for a free server, unknown servers look better than known
//! occupied ones, and so each process went round all servers. It came back to each after its idle
//! timeout: half a new connection for each request, most of them for health checks. A new connection
//! takes a slot for a moment and is reset by servers that are full, which callers need for requests.
//!
//! Health checks therefore use kept connections, and open new ones within a budget: a share of the
//! requests, so that the number of servers that a process keeps connections to follows its rate of
//! requests. Requests themselves are not limited by it.

use nutmegdale_base::clock;
use std::sync::atomic;

/// Unit in which tokens are counted.
const TOKEN: u64 = 1_000_000;
/// Tokens for each request. With those by time, a process with seven requests a second opens 0.17
/// connections per request for health checks, of 0.2 per request in all.
const REQUEST_TOKENS: u64 = TOKEN * 14 / 100;
/// Tokens for each millisecond, which let a process with few requests find servers that have become
/// free: one in five seconds.
const MILLISECOND_TOKENS: u64 = TOKEN / 5_000;
/// Maximum number of saved tokens, and their number at the start: enough to meet the preferred
/// servers of two services in a zone and its region.
const SAVED_MAX: u64 = 24 * TOKEN;
/// Time without new connections for health checks, and with none for requests that can go
/// elsewhere, after a server did not serve a new connection.
const HOLD_MS: u64 = 1_000;
/// Maximum of that time, which doubles while the server serves none.
const HOLD_MAX_MS: u64 = 4_000;

/// Budget of one process for connections that health checks open.
#[derive(Debug)]
pub struct Budget {
    tokens: atomic::AtomicU64,
    /// Time up to which tokens were added, in milliseconds.
    refilled_ms: atomic::AtomicU64,
}

impl Budget {
    /// Creates a full budget.
    pub fn new(now: clock::Millis) -> Budget {
        Budget {
            tokens: atomic::AtomicU64::new(SAVED_MAX),
            refilled_ms: atomic::AtomicU64::new(now.0),
        }
    }

    /// Adds the tokens for one request, and for the time that has passed.
    pub fn deposit(&self, now: clock::Millis) {
        let last = self.refilled_ms.fetch_max(now.0, atomic::Ordering::Relaxed);
        let passed_ms = now
            .0
            .saturating_sub(last)
            .min(SAVED_MAX / MILLISECOND_TOKENS);
        self.add(REQUEST_TOKENS + passed_ms * MILLISECOND_TOKENS);
    }

    /// Returns the token of a kept connection that went silent, so that it can be replaced: such
    /// faults come in groups.
    pub fn refund(&self) {
        self.add(TOKEN);
    }

    fn add(&self, added: u64) {
        let order = atomic::Ordering::Relaxed;
        let add = |tokens: u64| Some((tokens + added).min(SAVED_MAX));
        // The update always returns a value, so it cannot fail.
        let _ = self.tokens.fetch_update(order, order, add);
    }

    /// Returns whether a connection may be opened.
    pub fn has_token(&self) -> bool {
        self.tokens.load(atomic::Ordering::Relaxed) >= TOKEN
    }

    /// Takes the token for one connection; returns whether there was one.
    pub fn withdraw(&self) -> bool {
        let order = atomic::Ordering::Relaxed;
        let take = |tokens: u64| tokens.checked_sub(TOKEN);
        self.tokens.fetch_update(order, order, take).is_ok()
    }
}

/// Pause in new connections to one server that does not serve them: it has reached its limit, or
/// accepts fewer while its queue is long.
#[derive(Debug, Default)]
pub struct Hold {
    until_ms: atomic::AtomicU64,
    /// Length of the last pause; 0 after a health check or request was served.
    length_ms: atomic::AtomicU64,
}

impl Hold {
    /// Returns whether a connection may be opened.
    pub fn allows(&self, now: clock::Millis) -> bool {
        now.0 >= self.until_ms.load(atomic::Ordering::Relaxed)
    }

    /// Records that a new connection was reset or not served.
    pub fn record_unserved(&self, now: clock::Millis) {
        let order = atomic::Ordering::Relaxed;
        let length_ms = (self.length_ms.load(order) * 2).clamp(HOLD_MS, HOLD_MAX_MS);
        self.length_ms.store(length_ms, order);
        self.until_ms.store(now.0 + length_ms, order);
    }

    /// Records that the server has served a health check or a request.
    pub fn record_served(&self) {
        self.length_ms.store(0, atomic::Ordering::Relaxed);
    }
}

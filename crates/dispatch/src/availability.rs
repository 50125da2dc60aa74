//! What a server says about its own availability: that it is leaving, or that it wants no requests
//! for a while.
//!
//! Both come with responses, so an entry process learns them before the registry does, and also
//! while it is partitioned from the registry. A server that is leaving never returns under the same
//! incarnation; a backoff ends by itself.
//!
//! Load pattern: servers that are nearly full refuse with a delay. Requests that reach them anyway
//! take the time that they asked for to recover.

use nutmegdale_base::clock;
use std::collections;
use std::sync;
use std::sync::atomic;

/// Longest backoff that a server can ask for. No route may keep a request waiting for longer, so a
/// longer one is an error of the server.
pub const BACKOFF_MAX_MS: clock::Millis = clock::Millis(600_000);
/// Number of leaving incarnations that are remembered; it exceeds the servers that are replaced
/// while any of them can still be announced.
const LEAVING_MAX_COUNT: usize = 8_192;

/// Availability of one incarnation of a server, as its responses state it.
#[derive(Debug, Default)]
pub struct Availability {
    is_leaving: atomic::AtomicBool,
    backoff_until_ms: atomic::AtomicU64,
}

impl Availability {
    /// Records that the server is leaving; returns whether that is news.
    pub fn mark_leaving(&self) -> bool {
        !self.is_leaving.swap(true, atomic::Ordering::AcqRel)
    }

    /// Returns whether the server is leaving.
    pub fn is_leaving(&self) -> bool {
        self.is_leaving.load(atomic::Ordering::Acquire)
    }

    /// Records that the server wants no requests for `delay`, at most [`BACKOFF_MAX_MS`]. An
    /// earlier, longer backoff stays in force. Returns whether a backoff begins.
    pub fn back_off(&self, now: clock::Millis, delay: clock::Millis) -> bool {
        let until = now + delay.min(BACKOFF_MAX_MS);
        let order = atomic::Ordering::AcqRel;
        let before = self.backoff_until_ms.fetch_max(until.0, order);
        before <= now.0 && until > now
    }

    /// Returns the time until the server wants requests again; zero if it does now.
    pub fn backoff_left(&self, now: clock::Millis) -> clock::Millis {
        let until = self.backoff_until_ms.load(atomic::Ordering::Acquire);
        clock::Millis(until).since(now)
    }

    /// Returns whether the server accepts requests.
    pub fn is_available(&self, now: clock::Millis) -> bool {
        !self.is_leaving() && self.backoff_left(now) == clock::Millis::ZERO
    }
}

/// Incarnations of servers that said that they are leaving.
///
/// It outlives the runtime state of a server, which is dropped when the registry forgets the server
/// and created anew when it is announced again. Only a newer incarnation ends an entry.
#[derive(Debug, Default)]
pub struct LeavingServers {
    entries: sync::Mutex<Entries>,
}

#[derive(Debug, Default)]
struct Entries {
    /// Start time of the leaving incarnation by server id.
    born_by_id: collections::HashMap<String, u64>,
    /// Server ids, oldest entry first.
    order: collections::VecDeque<String>,
}

impl LeavingServers {
    fn entries(&self) -> sync::MutexGuard<'_, Entries> {
        self.entries
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Records that the incarnation of server `id` that started at `born` is leaving.
    pub fn insert(&self, id: &str, born: u64) {
        let mut entries = self.entries();
        if let Some(known) = entries.born_by_id.get_mut(id) {
            *known = born.max(*known);
            return;
        }
        if entries.order.len() >= LEAVING_MAX_COUNT
            && let Some(oldest) = entries.order.pop_front()
        {
            entries.born_by_id.remove(&oldest);
        }
        entries.born_by_id.insert(id.to_owned(), born);
        entries.order.push_back(id.to_owned());
    }

    /// Returns whether the incarnation of server `id` that started at `born` is leaving.
    pub fn contains(&self, id: &str, born: u64) -> bool {
        let entries = self.entries();
        entries.born_by_id.get(id).is_some_and(|left| born <= *left)
    }
}

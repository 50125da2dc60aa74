//! Tells a service whose servers all reject a part of their requests from a server that fails.
//!
//! Load pattern: seconds in which every server of a service rejects some requests although it has
//! free slots. If each rejection counted against the health of its server, most servers would be
//! ejected, and the rest would get all requests. A server that rejects while others do not, or that
//! rejects several requests in a row, still counts as failing.

use nutmegdale_base::clock;
use std::sync;
use std::sync::atomic;

/// Time for which a rejection counts.
const WINDOW_MS: clock::Millis = clock::Millis(5_000);
/// Rejections that are remembered.
const RECENT_COUNT: usize = 8;
/// Other servers that must have rejected in the window for a rejection to be the service's.
const OTHERS_MIN_COUNT: usize = 2;
/// Rejections in a row from which a server counts as failing in any case. With a third of the
/// requests rejected, one in a hundred runs is as long.
const STREAK_MIN_COUNT: u32 = 4;

/// Recent rejections by servers of one service that had free slots.
#[derive(Debug, Default)]
pub struct Shedding {
    recent: sync::Mutex<Recent>,
}

#[derive(Debug, Default)]
struct Recent {
    /// Servers and times, as a ring.
    rejections: [Option<(u32, clock::Millis)>; RECENT_COUNT],
    next: usize,
}

/// Rejections in a row by one server that had free slots.
#[derive(Debug, Default)]
pub struct Streak(atomic::AtomicU32);

impl Streak {
    /// Records that the server served a request.
    pub fn end(&self) {
        let order = atomic::Ordering::Relaxed;
        // Usually nothing changes, and a store would invalidate the cache line of other threads.
        if self.0.load(order) != 0 {
            self.0.store(0, order);
        }
    }
}

impl Shedding {
    fn recent(&self) -> sync::MutexGuard<'_, Recent> {
        self.recent
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Records that `server`, identified by any number of its own, rejected a request although it
    /// had free slots. Returns whether this counts as a failure of the server.
    pub fn record(&self, now: clock::Millis, server: u32, streak: &Streak) -> bool {
        let streak = 1 + streak.0.fetch_add(1, atomic::Ordering::Relaxed);
        let mut recent = self.recent();
        let n = recent.next;
        recent.rejections[n] = Some((server, now));
        recent.next = (n + 1) % RECENT_COUNT;
        streak >= STREAK_MIN_COUNT || recent.others_count(now, Some(server)) < OTHERS_MIN_COUNT
    }

    /// Returns whether several servers have recently rejected requests although they had free slots.
    pub fn is_active(&self, now: clock::Millis) -> bool {
        self.recent().others_count(now, None) > OTHERS_MIN_COUNT
    }
}

impl Recent {
    /// Returns the number of servers other than `except` that rejected in the window.
    fn others_count(&self, now: clock::Millis, except: Option<u32>) -> usize {
        let recent = self.rejections.iter().flatten();
        let recent = recent.filter(|(_, at)| now.since(*at) <= WINDOW_MS);
        let mut servers: [Option<u32>; RECENT_COUNT] = [None; RECENT_COUNT];
        let mut count = 0;
        for (server, _) in recent.filter(|(server, _)| Some(*server) != except) {
            if !servers[..count].contains(&Some(*server)) {
                servers[count] = Some(*server);
                count += 1;
            }
        }
        count
    }
}

//! Decides which requests a crash of a server is attributed to.
//!
//! A server runs several requests at once, of which one may have crashed it. One process sees only
//! its own requests. Servers also crash without any request's fault, mostly many at once: a zone
//! loses power, or a new version fails.

use nutmegdale_base::clock;
use std::sync;

/// Time within which crashes of several servers count as one event.
const EVENT_MS: clock::Millis = clock::Millis(300);
/// Servers that crash in one event from which it is not attributed to requests without earlier crashes. A
/// request that comes once reaches two servers at the most.
const EVENT_MIN_COUNT: usize = 3;

/// Returns the requests that are suspected for a crash, given those that ran and for each the number of
/// crashes that were attributed to it before. A request that ran under earlier crashes explains this one;
/// without one, all are suspected, unless several servers crashed in one event.
pub fn attributed<K: Copy>(running: &[(K, usize)], is_alone: bool) -> Vec<K> {
    let most = running
        .iter()
        .map(|(_, crashes_count)| *crashes_count)
        .max();
    let least_count = usize::from(!is_alone).max(most.unwrap_or(0));
    let attributed = running
        .iter()
        .filter(|(_, crashes_count)| *crashes_count >= least_count);
    attributed.map(|(key, _)| *key).collect()
}

/// Recent crashes of servers, as one process sees them.
#[derive(Debug, Default)]
pub struct Recent {
    crashes: sync::Mutex<Vec<(u32, clock::Millis)>>,
}

impl Recent {
    /// Records a crash of a server; returns whether it is not part of an event that hits several.
    pub fn record(&self, now: clock::Millis, server: u32) -> bool {
        let mut crashes = self
            .crashes
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        crashes.retain(|(other, at)| *other != server && now.since(*at) < EVENT_MS);
        crashes.push((server, now));
        crashes.len() < EVENT_MIN_COUNT
    }
}

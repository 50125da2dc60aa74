//! Rate limits that servers name, as facts.
//!
//! A process that gets a response with another limit than the known one numbers it one higher, so
//! that the newest observation wins. Two processes that observe different limits at once choose the
//! same number; the lower limit wins then, and the next response corrects it if it was the older one.

use crate::store;
use nutmegdale_base::{clock, digest};
use serde::{Deserialize, Serialize};

/// Time after which a limit is forgotten that no process has confirmed. The processes that send to
/// the server confirm it earlier; without any requests to it, nobody needs it.
pub const LIFETIME_MS: clock::Millis = clock::Millis(600_000);
/// Age from which a response that names the same limit confirms it to all processes.
const CONFIRM_AFTER_MS: clock::Millis = clock::Millis(300_000);
/// Change of a limit, as a share of the known one, that is worth a message.
const CHANGE_MIN_SHARE: f64 = 0.1;

/// Limit of one incarnation of a server, or that it has none any more.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Named {
    /// Number of the observation; a higher one is newer.
    pub number: u32,
    /// Limit in thousandths of a request per second; `None` without a limit.
    pub milli_per_s: Option<u32>,
}

impl store::Value for Named {
    fn merge(&mut self, other: &Named) -> bool {
        let order = |named: &Named| {
            let limit = named.milli_per_s.unwrap_or(u32::MAX);
            (
                named.number,
                std::cmp::Reverse(limit),
                named.milli_per_s.is_some(),
            )
        };
        let is_newer = order(other) > order(self);
        if is_newer {
            *self = *other;
        }
        is_newer
    }

    fn lifetime(&self) -> clock::Millis {
        LIFETIME_MS
    }
}

/// Returns the key of an incarnation of a server.
pub fn key(server_id: &str, born: u64) -> u64 {
    digest::of(&(server_id, born))
}

/// Returns the value to publish after a response that names `milli_per_s`, given the known value and
/// its age; `None` if that is no news.
pub fn observe(known: Option<(&Named, clock::Millis)>, milli_per_s: Option<u32>) -> Option<Named> {
    let Some((known, age)) = known else {
        let named = Named {
            number: 1,
            milli_per_s,
        };
        return milli_per_s.map(|_| named);
    };
    let is_news = match (known.milli_per_s, milli_per_s) {
        (Some(known), Some(new)) => {
            let difference = f64::from(known.abs_diff(new));
            difference > f64::from(known) * CHANGE_MIN_SHARE || age >= CONFIRM_AFTER_MS
        }
        (known, new) => known != new,
    };
    is_news.then(|| Named {
        number: known.number.saturating_add(1),
        milli_per_s,
    })
}

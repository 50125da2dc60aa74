//! Requests under which servers crashed, as facts.
//!
//! A request is identified by its fingerprint, the same one for each time that it comes again. A
//! process that sees a server crash suspects the requests that the server ran. A request that is
//! served successfully is cleared by whichever process sees that: it ran beside the one at fault.

use crate::store;
use nutmegdale_base::{clock, digest};
use serde::{Deserialize, Serialize};

/// Crashed incarnations of servers from which a request is banned.
pub const BAN_COUNT: usize = 3;
/// Time for which a request is banned after the last crash.
pub const BAN_MS: clock::Millis = clock::Millis(3_600_000);
/// Time for which fewer crashes are remembered.
const SUSPECTED_MS: clock::Millis = clock::Millis(600_000);
/// Time after which a request that was cleared can be suspected again. Requests that many callers need
/// run beside others all the time.
const CLEARED_GRACE_MS: clock::Millis = clock::Millis(30_000);
/// Time for which it is remembered that a suspected request was cleared, longer than most processes lag.
const CLEARED_MS: clock::Millis = clock::Millis(60_000);

/// Crashes that are attributed to a request.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Evidence {
    /// Number of times that the request was cleared; evidence from before is void.
    pub round: u32,
    /// Digests of the crashed incarnations since then, sorted, the lowest [`BAN_COUNT`] of them.
    /// Empty if the request was cleared.
    pub servers: Vec<u32>,
    /// Whether the request was banned before it was cleared. A process that returns with the ban after
    /// the others have forgotten that it was cleared would ban it once more, and no request would be
    /// served that could clear it.
    pub was_banned: bool,
}

impl Evidence {
    /// Returns whether the request is banned.
    pub fn is_ban(&self) -> bool {
        self.servers.len() >= BAN_COUNT
    }

    fn add(&mut self, servers: &[u32]) -> bool {
        let before = self.servers.clone();
        self.servers.extend_from_slice(servers);
        self.servers.sort_unstable();
        self.servers.dedup();
        self.servers.truncate(BAN_COUNT);
        self.servers != before
    }

    /// Adds what another process has attributed to the request since it was cleared last.
    fn add_round(&mut self, other: &Evidence) -> bool {
        let is_new = other.was_banned && !self.was_banned;
        self.was_banned |= other.was_banned;
        self.add(&other.servers) || is_new
    }
}

impl store::Value for Evidence {
    fn merge(&mut self, other: &Evidence) -> bool {
        if other.round > self.round {
            *self = other.clone();
            return true;
        }
        other.round == self.round && self.add_round(other)
    }

    fn lifetime(&self) -> clock::Millis {
        match self.servers.len() {
            _ if self.was_banned || self.is_ban() => BAN_MS,
            0 => CLEARED_MS,
            _ => SUSPECTED_MS,
        }
    }

    fn weight(&self) -> usize {
        self.servers.len()
    }
}

/// Returns the digest of an incarnation of a server.
pub fn server_digest(server_id: &str, born: u64) -> u32 {
    let digest = digest::of(&(server_id, born));
    (digest >> 32) as u32
}

/// Returns the evidence after the crash of `server` under a request, given what is known and its age;
/// `None` if that is no news or the request was cleared a short time ago.
pub fn attribute(known: Option<(&Evidence, clock::Millis)>, server: u32) -> Option<Evidence> {
    let Some((known, age)) = known else {
        return Some(Evidence {
            round: 0,
            servers: vec![server],
            was_banned: false,
        });
    };
    if known.servers.is_empty() && age < CLEARED_GRACE_MS {
        return None;
    }
    let mut evidence = known.clone();
    evidence.add(&[server]).then_some(evidence)
}

/// Returns the evidence after a successful response to a request; `None` if nothing was known that
/// this changes.
pub fn clear(known: Option<&Evidence>) -> Option<Evidence> {
    let suspected = known.filter(|known| !known.servers.is_empty())?;
    Some(Evidence {
        round: suspected.round.saturating_add(1),
        servers: Vec::new(),
        was_banned: suspected.was_banned || suspected.is_ban(),
    })
}

//! What backend servers announce of themselves, and which announcement is the newer one.

use nutmegdale_base::clock;
use serde::{Deserialize, Serialize};
use std::net;

/// State that a server announces.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// Takes work.
    Ready,
    /// Is about to leave and takes no new work.
    Draining,
    /// Has left.
    Gone,
}

/// Announcement of a server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Identity, unique over the whole system; a restarted server may have its old one.
    pub id: String,
    /// Start of the server in milliseconds since the Unix epoch; tells two starts apart.
    pub born: u64,
    /// Number that grows with each announcement of one start.
    pub sequence: u64,
    /// Service that it belongs to.
    pub service: String,
    /// Address for requests.
    pub address: net::SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Requests that it works on at once.
    pub slots: u32,
    /// State.
    pub state: State,
    /// Time for which it stays cold.
    pub cold_left: clock::Millis,
}

/// Server as the registry holds it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Newest announcement.
    pub announcement: Announcement,
    /// Index of the command that last changed the record.
    pub index: u64,
}

/// Span by which an announced cold time must exceed the expected one to be news; announcements
/// are delayed by up to a second on their way.
const COLD_NEWS_MS: clock::Millis = clock::Millis(1_000);

/// Returns whether `new` comes from a later start than `old`, or later in the same start.
pub fn is_newer(new: &Announcement, old: &Announcement) -> bool {
    (new.born, new.sequence) > (old.born, old.sequence)
}

/// Returns whether an announcement changes what is known: `old` is the record, and `cold_left`
/// what is left of its cold time by now. Others are only signs of life.
pub fn changes_record(new: &Announcement, old: Option<(&Announcement, clock::Millis)>) -> bool {
    let Some((old, cold_left)) = old else {
        return true;
    };
    if !is_newer(new, old) {
        return false;
    }
    if new.born > old.born {
        return true;
    }
    // A start that has begun to leave never comes back.
    if old.state != State::Ready {
        return old.state == State::Draining && new.state == State::Gone;
    }
    new.state != old.state
        || new.address != old.address
        || new.service != old.service
        || new.zone != old.zone
        || new.slots != old.slots
        || new.cold_left > cold_left + COLD_NEWS_MS
}

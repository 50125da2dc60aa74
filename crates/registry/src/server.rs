//! Announcements of backend servers and their order.

use nutmegdale_base::clock;
use serde::{Deserialize, Serialize};
use std::net;

/// State that a server announces.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// Accepts requests.
    Ready,
    /// Is about to leave and accepts no new requests.
    Draining,
    /// Has left.
    Gone,
}

/// Announcement in which a backend server describes itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Announcement {
    /// Identifier, unique in the deployment; a restarted server may reuse its old one.
    pub id: String,
    /// Start time of the server in milliseconds since the Unix epoch, which identifies the start.
    pub born: u64,
    /// Number that increases with each announcement since the start.
    pub sequence: u64,
    /// Name of the service that it belongs to.
    pub service: String,
    /// Address for requests.
    pub address: net::SocketAddr,
    /// Availability zone that it runs in.
    pub zone: String,
    /// Requests that it handles concurrently.
    pub slots: u32,
    /// Whether it accepts requests.
    pub state: State,
    /// Time for which it remains cold.
    pub cold_left: clock::Millis,
}

/// Backend server in the registry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Newest announcement.
    pub announcement: Announcement,
    /// Index of the command that last changed the record.
    pub index: u64,
}

/// Time by which an announced cold time must exceed the expected one to count as a change;
/// announcements arrive with a delay of up to a second.
const COLD_CHANGE_MIN_MS: clock::Millis = clock::Millis(1_000);

/// Returns whether `new` comes from a later start than `old`, or later in the same start.
pub fn is_newer(new: &Announcement, old: &Announcement) -> bool {
    (new.born, new.sequence) > (old.born, old.sequence)
}

/// Returns whether an announcement changes the record of its server, which is `old` with the time
/// for which the server is expected to remain cold. Any other announcement is only a heartbeat.
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
    // A server that has begun to leave does not return before it restarts.
    if old.state != State::Ready {
        return old.state == State::Draining && new.state == State::Gone;
    }
    new.state != old.state
        || new.address != old.address
        || new.service != old.service
        || new.zone != old.zone
        || new.slots != old.slots
        || new.cold_left > cold_left + COLD_CHANGE_MIN_MS
}

//! Announcements of backend servers and their order.

use displaydoc::Display;
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
    /// Software version; empty where versions have no meaning, and then not encoded, so that
    /// messages and stored records are the same as without this field.
    #[serde(default, skip_serializing_if = "String::is_empty")]
    pub version: String,
}

/// Maximum length of the identifier of a server, of the name of its service and of its version, in
/// bytes.
const NAME_MAX_BYTES: usize = 256;
/// Maximum number of requests that a server handles concurrently.
const SLOTS_MAX_COUNT: u32 = 100_000;
/// Latest start time of a server, the year 2200: later ones are in another unit than milliseconds.
const BORN_MAX_MS: u64 = 7_258_118_400_000;
/// Largest sequence number: the largest integer that all writers of JSON represent exactly.
const SEQUENCE_MAX: u64 = 1 << 53;
/// Longest time for which a server is cold.
const COLD_MAX_MS: clock::Millis = clock::Millis::from_secs(3_600);

/// Reason why an announcement cannot come from a working server.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Error {
    /// the version must have at most 256 bytes, not {0}
    Version(usize),
    /// {field} must have 1 to 256 bytes, not {bytes}
    Name {
        /// Field that holds the name.
        field: &'static str,
        /// Length of the name.
        bytes: usize,
    },
    /// no server can be reached at {0}
    Address(net::SocketAddr),
    /// slots must be between 1 and 100000, not {0}
    Slots(u32),
    /// the start time {0} is later than the year 2200
    Born(u64),
    /// the sequence number {0} is out of range
    Sequence(u64),
    /// a server is not cold for {0}
    ColdTime(clock::Millis),
}

impl std::error::Error for Error {}

/// Checks that an announcement may come from a working server. An implausible one must not enter
/// the registry, where a start time or a sequence number out of range would win over everything
/// that the server says later.
///
/// # Errors
///
/// Returns the first violation.
pub fn check(announcement: &Announcement) -> Result<(), Error> {
    for (field, name) in [("id", &announcement.id), ("service", &announcement.service)] {
        let bytes = name.len();
        if bytes == 0 || bytes > NAME_MAX_BYTES {
            return Err(Error::Name { field, bytes });
        }
    }
    let bytes = announcement.version.len();
    if bytes > NAME_MAX_BYTES {
        return Err(Error::Version(bytes));
    }
    let ip = announcement.address.ip();
    if announcement.address.port() == 0 || ip.is_unspecified() || ip.is_multicast() {
        return Err(Error::Address(announcement.address));
    }
    if announcement.slots == 0 || announcement.slots > SLOTS_MAX_COUNT {
        return Err(Error::Slots(announcement.slots));
    }
    if announcement.born > BORN_MAX_MS {
        return Err(Error::Born(announcement.born));
    }
    if announcement.sequence > SEQUENCE_MAX {
        return Err(Error::Sequence(announcement.sequence));
    }
    if announcement.cold_left > COLD_MAX_MS {
        return Err(Error::ColdTime(announcement.cold_left));
    }
    Ok(())
}

/// Backend server in the registry.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Newest announcement.
    pub announcement: Announcement,
    /// Index of the command that last changed the record.
    pub index: u64,
    /// Id of the server that was announced with the same address and thereby retired this one,
    /// which has not itself said that it leaves.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub replaced_by: Option<String>,
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
        || new.version != old.version
        || new.cold_left > cold_left + COLD_CHANGE_MIN_MS
}

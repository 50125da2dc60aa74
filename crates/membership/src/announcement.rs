//! What a backend server says of itself.

use nutmegdale_base::clock;
use serde::{Deserialize, Serialize};
use std::net;

/// Lease of an announcement; a server renews it every [`RENEW_MS`].
pub const LEASE_MS: clock::Millis = clock::Millis(6_000);
/// Pace of renewals that the answer to an announcement asks for.
pub const RENEW_MS: clock::Millis = clock::Millis(2_000);
/// Longest name of a server, service or zone, in bytes.
const NAME_MAX_BYTES: usize = 64;
/// Most slots or connections of one server.
const COUNT_MAX: u32 = 100_000;

/// State of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServerState {
    /// Bears at most its cold slots.
    Cold,
    /// Bears its full share.
    Warm,
    /// Finishes its work and takes no new work.
    Draining,
    /// Has left; sent by the system itself when a lease ends.
    Gone,
}

/// Announcement of a backend server.
///
/// Announcements of one server are ordered by `(incarnation, sequence)`; every table refuses one
/// that is not newer than what it holds, so late and repeated messages do no harm.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Name of the server, unique over the whole system.
    pub server: String,
    /// Service that it belongs to.
    pub service: String,
    /// Address for requests.
    pub address: net::SocketAddr,
    /// Availability zone that it runs in.
    pub zone: String,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Connections that it accepts.
    pub connections: u32,
    /// Requests that it bears at once while cold.
    #[serde(default = "default_cold_slots")]
    pub cold_slots: u32,
    /// State.
    pub state: ServerState,
    /// Number that grows with each start of the server.
    pub incarnation: u64,
    /// Number that grows with each announcement of one incarnation.
    pub sequence: u64,
}

fn default_cold_slots() -> u32 {
    1
}

/// Rule that an announcement breaks: its field and the rule.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Field of the announcement.
    pub field: &'static str,
    /// Rule.
    pub rule: String,
}

impl Announcement {
    /// Returns the position in the order of the server's announcements.
    pub fn order(&self) -> (u64, u64) {
        (self.incarnation, self.sequence)
    }

    /// Returns whether only the sequence differs, so that a renewal need not travel.
    pub fn is_renewal_of(&self, earlier: &Announcement) -> bool {
        let same = Announcement {
            sequence: earlier.sequence,
            ..self.clone()
        };
        same == *earlier
    }

    /// Returns every rule that the announcement breaks by itself.
    pub fn faults(&self) -> Vec<Fault> {
        let mut faults = Vec::new();
        let names = [
            ("server", &self.server),
            ("service", &self.service),
            ("zone", &self.zone),
        ];
        for (field, name) in names {
            if name.is_empty() || name.len() > NAME_MAX_BYTES {
                let rule = format!("must have 1 to {NAME_MAX_BYTES} bytes");
                faults.push(Fault { field, rule });
            }
        }
        let counts = [
            ("slots", self.slots),
            ("connections", self.connections),
            ("cold_slots", self.cold_slots),
        ];
        for (field, count) in counts {
            if count == 0 || count > COUNT_MAX {
                let rule = format!("must be between 1 and {COUNT_MAX}, not {count}");
                faults.push(Fault { field, rule });
            }
        }
        if self.cold_slots > self.slots {
            let rule = format!("must be at most slots, {}", self.slots);
            faults.push(Fault {
                field: "cold_slots",
                rule,
            });
        }
        if self.address.ip().is_unspecified() || self.address.port() == 0 {
            let rule = "must be an address that can be connected to".to_owned();
            faults.push(Fault {
                field: "address",
                rule,
            });
        }
        if self.state == ServerState::Gone {
            let rule = "must be cold, warm or draining".to_owned();
            faults.push(Fault {
                field: "state",
                rule,
            });
        }
        faults
    }
}

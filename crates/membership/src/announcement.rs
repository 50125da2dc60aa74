//! Announcements, by which backend servers register and renew their leases.

use nutmegdale_base::clock;
use serde::{Deserialize, Serialize};
use std::net;

/// Duration of the lease that an announcement starts; a server renews it every [`RENEW_MS`].
pub const LEASE_MS: clock::Millis = clock::Millis(6_000);
/// Renewal interval that the answer to an announcement asks for.
pub const RENEW_MS: clock::Millis = clock::Millis(2_000);
/// Maximum length of the name of a server, service or zone, in bytes.
const NAME_MAX_BYTES: usize = 64;
/// Maximum slots or connections of one server.
const COUNT_MAX: u32 = 100_000;

/// State of a backend server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ServerState {
    /// Warming up: takes at most its cold slots of concurrent requests.
    Cold,
    /// Takes its full share of requests.
    Warm,
    /// Finishes its requests in flight and takes no new ones.
    Draining,
    /// Has left. Never announced by a server; set when its lease has expired.
    Gone,
}

/// Announcement of a backend server.
///
/// Announcements of one server are ordered by `(incarnation, sequence)`; every table rejects one
/// that is not newer than what it holds, so delayed and duplicated messages have no effect.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Name of the server, unique in the whole system.
    pub server: String,
    /// Name of the service that it belongs to.
    pub service: String,
    /// Address for requests.
    pub address: net::SocketAddr,
    /// Name of the availability zone that it runs in.
    pub zone: String,
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// Number of connections that it accepts.
    pub connections: u32,
    /// Number of requests that it processes concurrently while cold.
    #[serde(default = "default_cold_slots")]
    pub cold_slots: u32,
    /// Whether it is cold, warm or draining.
    pub state: ServerState,
    /// Number that increases with each start of the server.
    pub incarnation: u64,
    /// Number that increases with each announcement of one incarnation.
    pub sequence: u64,
}

fn default_cold_slots() -> u32 {
    1
}

/// Validation error of an announcement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Fault {
    /// Name of the invalid field.
    pub field: &'static str,
    /// Rule that the field breaks, for the author of the server.
    pub rule: String,
}

impl Announcement {
    /// Returns the key that orders the announcements of one server.
    pub fn order(&self) -> (u64, u64) {
        (self.incarnation, self.sequence)
    }

    /// Returns whether only the sequence differs, so that the hub need not receive it.
    pub fn is_renewal_of(&self, earlier: &Announcement) -> bool {
        let same = Announcement {
            sequence: earlier.sequence,
            ..self.clone()
        };
        same == *earlier
    }

    /// Validates the announcement by itself and returns all errors.
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

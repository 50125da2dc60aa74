//! Settings of a gateway.

use nutmegdale_base::clock;
use nutmegdale_dispatch::{budget, cold, placement};
use nutmegdale_registry::follow;
use std::collections;

/// Settings of a gateway.
#[derive(Debug, Clone)]
pub struct Settings {
    /// This process, as others know it.
    pub entry: follow::Entry,
    /// Region of each zone.
    pub regions: collections::BTreeMap<String, String>,
    /// Bounds that all processes keep together.
    pub bounds: Bounds,
    /// Secret that the system's processes show each other.
    pub cluster_token: String,
    /// Connections that callers may hold open.
    pub connections_max_count: usize,
}

/// Bounds that all processes keep together.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Second sends.
    pub retry_budget: budget::Bound,
    /// Requests to cold servers.
    pub cold_rate: cold::Bound,
    /// Health checks of one server per second.
    pub probes_per_s: f64,
    /// Time that a graceful shutdown may take.
    pub grace: clock::Millis,
    /// Longest time for which callers keep addresses.
    pub addresses_ttl_max: clock::Millis,
}

/// Costs of the ways to servers: the time of the links between zones and regions, and the delay
/// that is accepted to spare them a request or a kilobyte, since traffic between zones is billed by
/// volume.
pub const WAYS: placement::Links = placement::Links {
    zone: placement::Link {
        rtt_ms: 0.5,
        penalty_share: 0.0,
        penalty_share_per_kb: 0.0,
    },
    region: placement::Link {
        rtt_ms: 3.0,
        penalty_share: 0.05,
        penalty_share_per_kb: 0.02,
    },
    cross_region: placement::Link {
        rtt_ms: 17.0,
        penalty_share: 0.1,
        penalty_share_per_kb: 0.03,
    },
};

//! Settings of a gateway.

use nutmegdale_base::clock;
use nutmegdale_dispatch::{budget, locality, placement, server_rate};
use nutmegdale_quota::gate;
use nutmegdale_registry::follow;
use nutmegdale_rollout::bound;
use std::collections;
use std::net;

/// Settings of a gateway.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Description of this process for callers and other processes.
    pub entry: follow::Entry,
    /// Address for datagrams of other entry processes, whose port is the same at all of them;
    /// `None` if they exchange nothing.
    pub gossip_address: Option<net::SocketAddr>,
    /// Region of each zone.
    pub regions: collections::BTreeMap<String, String>,
    /// Limits that apply to all processes together.
    pub bounds: Bounds,
    /// Shared secret that authenticates the processes of the system to each other.
    pub cluster_token: String,
    /// Maximum number of open connections from callers.
    pub connections_max_count: usize,
    /// Features that this deployment asks for.
    pub features: Features,
}

/// Features that only some deployments ask for; without them no step is added to the path of a
/// request.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Features {
    /// Roll-outs of software versions.
    pub rollouts: Option<bound::Bound>,
    /// Client accounts.
    pub accounts: Option<Accounts>,
    /// Limits of client accounts over all processes.
    pub quotas: Option<gate::Bound>,
    /// Whether health checks open connections to servers only within a budget.
    pub limits_connections: bool,
    /// Sending the surplus of a zone to other zones.
    pub locality: Option<locality::Bound>,
}

/// Bounds on the use of account keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Accounts {
    /// Time after the acknowledgement of its withdrawal from which a key is accepted nowhere, not
    /// even by processes that cannot reach a coordinator; `None` if only processes that can are
    /// bound.
    pub revocation: Option<clock::Millis>,
}

/// Limits that apply to all processes together.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Budget of retries and hedges.
    pub retry_budget: budget::Bound,
    /// Limit of the request rate of servers that warm up.
    pub cold_rate: server_rate::ColdBound,
    /// Maximum number of health checks of one server per second.
    pub probes_per_s: f64,
    /// Maximum duration of a graceful shutdown.
    pub grace: clock::Millis,
    /// Maximum time to live of the addresses that callers cache.
    pub addresses_ttl_max: clock::Millis,
}

/// Costs of the links to servers: their round-trip times, and the delay that is accepted to avoid
/// sending a request or a kilobyte over them, since traffic between zones is billed by volume.
pub const LINKS: placement::Links = placement::Links {
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

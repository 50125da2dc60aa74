//! The accepted configuration, immutable once built.

use crate::spec;
use serde::{Deserialize, Serialize};
use sha2::Digest;
use std::collections;
use std::fmt;

/// Number of an accepted configuration; the empty catalogue is version 0.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Version(pub u64);

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Availability zone with its service state.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneState {
    /// Region of the zone.
    pub region: String,
    /// Whether operators have taken the zone out of service.
    pub out: bool,
}

/// Configuration accepted at one version.
///
/// Maps are ordered so that two replicas serialise the same configuration to the same bytes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    /// Version of this configuration.
    pub version: Version,
    /// Routes by name.
    pub routes: collections::BTreeMap<String, spec::RouteSpec>,
    /// Accounts by name.
    pub accounts: collections::BTreeMap<String, spec::AccountSpec>,
    /// Zones by name.
    pub zones: collections::BTreeMap<String, ZoneState>,
    /// Names of servers that operators have taken out of service.
    pub servers_out: collections::BTreeSet<String>,
    /// Ledger region of every one-time route that ever existed. A route name keeps its region:
    /// another ledger group would grant idempotency keys again that the first one had granted.
    pub ledger_regions: collections::BTreeMap<String, String>,
}

impl Config {
    /// Returns a digest of the fields that affect requests, so that a copy that was updated by
    /// deltas can be compared with the original.
    pub fn digest(&self) -> u64 {
        let fields = (&self.routes, &self.accounts, &self.zones, &self.servers_out);
        let encoded = serde_json::to_vec(&fields).expect("configuration can be encoded");
        let digest: [u8; 32] = sha2::Sha256::digest(encoded).into();
        let first = digest.first_chunk().expect("32 bytes");
        u64::from_be_bytes(*first)
    }
}

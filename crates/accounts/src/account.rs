//! Client account and its limits.

use crate::key;

/// Limit on the requests of an account over all entry processes together.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limit {
    /// Requests per second.
    pub rate_per_s: f64,
    /// Requests that may exceed the rate at once.
    pub burst: f64,
}

/// Client account.
#[derive(Debug, Clone, PartialEq)]
pub struct Account {
    /// Unique name, which servers are told.
    pub name: String,
    /// Digests of the keys that identify the account.
    pub keys: Vec<key::Digest>,
    /// Priority of its requests, which takes precedence over that of a route; 0 is the most urgent.
    pub priority: Option<u32>,
    /// Limit on its requests; `None` if there is none.
    pub limit: Option<Limit>,
    /// Regions that may serve the account; empty if all may.
    pub home_regions: Vec<String>,
}

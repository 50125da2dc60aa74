//! Messages about grants between an entry process and the leader, carried by syncs.

use serde::{Deserialize, Serialize};

/// Identity of a grant; a later grant of the same server has a greater one.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct GrantId {
    /// Term of the leader that granted it.
    pub epoch: u64,
    /// Number of the grant within the term.
    pub number: u64,
}

/// Grant of one server, or its renewal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Name of the server.
    pub server: String,
    /// Identity, which a renewal keeps.
    pub id: GrantId,
}

/// Grants that an entry process requests, renews and releases.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantRequest {
    /// Names of the cold servers to grant, including those whose grants are to be renewed.
    pub wanted: Vec<String>,
    /// Released grants, under which no request is in flight any more.
    pub released: Vec<Grant>,
}

impl GrantRequest {
    /// Returns whether the request neither wants nor releases a grant.
    pub fn is_empty(&self) -> bool {
        self.wanted.is_empty() && self.released.is_empty()
    }
}

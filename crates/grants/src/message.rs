//! What an entry process and the leader tell each other, inside syncs.

use serde::{Deserialize, Serialize};

/// Identity of one grant; a later grant of the same server is greater.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct GrantId {
    /// Term of the leader.
    pub epoch: u64,
    /// Number within the term.
    pub number: u64,
}

/// Grant of one server, or its renewal.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Grant {
    /// Name of the server.
    pub server: String,
    /// Identity.
    pub id: GrantId,
}

/// Request of an entry process.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct GrantRequest {
    /// Cold servers that it wants to send to, those that it holds already included.
    pub wanted: Vec<String>,
    /// Grants that it gave up with nothing in flight.
    pub released: Vec<Grant>,
}

impl GrantRequest {
    /// Returns whether nothing is asked for.
    pub fn is_empty(&self) -> bool {
        self.wanted.is_empty() && self.released.is_empty()
    }
}

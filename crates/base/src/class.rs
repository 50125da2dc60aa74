//! Classes of requests.

use serde::{Deserialize, Serialize};
use std::fmt;

/// Class of a route, which decides idempotency and priority.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// Short idempotent read that a person waits for.
    UrgentLookup,
    /// Non-idempotent request that must run at most once.
    OneTimeFiling,
    /// Long idempotent read with the lowest priority.
    BulkExport,
}

impl Class {
    /// Every class, for dense tables indexed by [`Class::index`].
    pub const ALL: [Class; 3] = [Class::UrgentLookup, Class::OneTimeFiling, Class::BulkExport];

    /// Returns the position of the class in [`Class::ALL`].
    pub fn index(self) -> usize {
        self as usize
    }

    /// Returns whether a request of this class may be sent to a second server.
    pub fn is_idempotent(self) -> bool {
        self != Class::OneTimeFiling
    }

    /// Returns the name used in settings, metrics and JSON.
    pub fn name(self) -> &'static str {
        match self {
            Class::UrgentLookup => "urgent-lookup",
            Class::OneTimeFiling => "one-time-filing",
            Class::BulkExport => "bulk-export",
        }
    }
}

impl fmt::Display for Class {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.name())
    }
}

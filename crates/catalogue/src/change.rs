//! Changes that operators submit, and the answers to them.

use crate::config;
use crate::spec;
use serde::{Deserialize, Serialize};
use std::fmt;

/// One step of a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "op", deny_unknown_fields)]
pub enum Op {
    /// Creates or replaces a route.
    PutRoute {
        /// Complete new entry.
        route: spec::RouteSpec,
    },
    /// Removes a route.
    RemoveRoute {
        /// Name of the route.
        name: String,
    },
    /// Creates or replaces an account.
    PutAccount {
        /// Complete new entry.
        account: spec::AccountSpec,
    },
    /// Removes an account.
    RemoveAccount {
        /// Name of the account.
        name: String,
    },
    /// Creates a zone, in service.
    PutZone {
        /// Complete new entry.
        zone: spec::ZoneSpec,
    },
    /// Removes a zone.
    RemoveZone {
        /// Name of the zone.
        name: String,
    },
    /// Takes a zone out of service.
    ZoneOut {
        /// Name of the zone.
        name: String,
    },
    /// Takes a zone back into service.
    ZoneIn {
        /// Name of the zone.
        name: String,
    },
    /// Takes a server out of service, whether or not it is announced.
    ServerOut {
        /// Name of the server.
        name: String,
    },
    /// Takes a server back into service.
    ServerIn {
        /// Name of the server.
        name: String,
    },
}

impl Op {
    /// Returns whether the step only takes a zone or server out of service or back into it.
    pub fn only_sets_service_state(&self) -> bool {
        matches!(
            self,
            Op::ZoneOut { .. } | Op::ZoneIn { .. } | Op::ServerOut { .. } | Op::ServerIn { .. }
        )
    }
}

/// Change that an operator submits; its steps are applied together or not at all.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Identifier chosen by the client; a resend with the same identifier gets the first answer.
    pub id: String,
    /// Version that the change is based on. It may be omitted only if every step takes a zone or
    /// server out of service or back into it: such a change has the same effect on every version,
    /// and taking a zone out in an emergency should not fail with a conflict.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub base: Option<config::Version>,
    /// Person who submits the change.
    pub author: String,
    /// Steps, applied in order.
    pub ops: Vec<Op>,
}

/// Validation error: a field and the rule that it breaks.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// Field, as a path such as `routes.reads.limits.concurrency`.
    pub field: String,
    /// Rule that the field breaks.
    pub rule: String,
}

/// Answer to a change.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", tag = "answer")]
pub enum Answer {
    /// The change is accepted and durable.
    Accepted {
        /// Version that the change created.
        version: config::Version,
    },
    /// Another change was accepted from the same base version.
    Conflict {
        /// Newest accepted version.
        current: config::Version,
        /// Identifier of the change that was accepted from the same base.
        winner: String,
        /// Person who submitted it.
        winner_author: String,
    },
    /// The change is invalid and was not applied.
    Rejected {
        /// Rules that it breaks; a long list is cut off.
        faults: Vec<Fault>,
    },
}

impl Answer {
    /// Returns whether the change was accepted.
    pub fn is_accepted(&self) -> bool {
        matches!(self, Answer::Accepted { .. })
    }
}

impl fmt::Display for Answer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Answer::Accepted { version } => write!(f, "accepted as version {version}"),
            Answer::Conflict {
                current,
                winner,
                winner_author,
            } => write!(
                f,
                "conflict: change {winner} of {winner_author} won; the newest version is {current}"
            ),
            Answer::Rejected { faults } => {
                write!(f, "rejected")?;
                for fault in faults {
                    write!(f, "\n  {}: {}", fault.field, fault.rule)?;
                }
                Ok(())
            }
        }
    }
}

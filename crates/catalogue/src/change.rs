//! Changes that operators ask for, and the answers to them.

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
        /// New content.
        route: spec::RouteSpec,
    },
    /// Removes a route.
    RemoveRoute {
        /// Name of the route.
        name: String,
    },
    /// Creates or replaces an account.
    PutAccount {
        /// New content.
        account: spec::AccountSpec,
    },
    /// Removes an account.
    RemoveAccount {
        /// Name of the account.
        name: String,
    },
    /// Creates a zone, in service.
    PutZone {
        /// New content.
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
    /// Returns whether the step only takes a zone or server out of or into service.
    pub fn is_service_state(&self) -> bool {
        matches!(
            self,
            Op::ZoneOut { .. } | Op::ZoneIn { .. } | Op::ServerOut { .. } | Op::ServerIn { .. }
        )
    }
}

/// Change that an operator asks for; its steps are accepted together or not at all.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Identifier chosen by the client, which makes a resend return the first answer.
    pub id: String,
    /// Version that the change was made from. It may be left out only if every step takes a zone or
    /// server out or in: such a change means the same on every version, and an operator who takes a
    /// zone out in haste should not lose a race.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub base: Option<config::Version>,
    /// Person who asks.
    pub author: String,
    /// Steps in order.
    pub ops: Vec<Op>,
}

/// Rule that a change breaks.
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
        /// Version that the change made.
        version: config::Version,
    },
    /// Another change was accepted from the same base version.
    Conflict {
        /// Version now in force.
        current: config::Version,
        /// Identifier of the change that was accepted from the same base.
        winner: String,
        /// Person who asked for it.
        winner_author: String,
    },
    /// The change breaks rules; nothing changed.
    Rejected {
        /// Every rule that it breaks.
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

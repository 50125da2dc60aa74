//! Calls to the one-time request ledger of a region.

use nutmegdale_ledger::key;
use serde::{Deserialize, Serialize};
use std::net;

/// Name of the call that takes a `Claim` and returns a `ClaimReply`.
pub const CLAIM: &str = "claim";
/// Name of the call that takes a `Record` and returns a `RecordReply`.
pub const RECORD: &str = "record";
/// Name of the call that takes a `Release` and returns a `ReleaseReply`.
pub const RELEASE: &str = "release";
/// Name of the call that takes a `MarkUnknown` and returns a `Status`.
pub const MARK_UNKNOWN: &str = "mark-unknown";
/// Name of the call that takes a [`Lookup`] and returns a `Status`.
pub const LOOKUP: &str = "lookup";

/// Call to the ledger of a region.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request<T> {
    /// Region of the ledger; a control process in another region refuses the call.
    pub region: String,
    /// Command of `nutmegdale_ledger::command`, or [`Lookup`].
    pub body: T,
}

/// Query for the status of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lookup {
    /// Key that identifies the one-time request.
    pub key: key::KeyId,
}

/// Reply to a ledger call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply<T> {
    /// Reply of the state machine, after a quorum has stored the command or confirmed the lookup.
    Done(T),
    /// The process is not the leader; the call had no effect.
    NotLeader {
        /// Address of the leader, if known.
        leader: Option<net::SocketAddr>,
    },
    /// The process cannot execute the call, which had no effect.
    Refused(String),
    /// The call may or may not take effect.
    Uncertain,
}

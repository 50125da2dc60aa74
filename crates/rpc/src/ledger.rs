//! Calls to the record of one-time requests of a region.

use nutmegdale_ledger::key;
use serde::{Deserialize, Serialize};
use std::net;

/// Name of the call with a `Claim` and a `ClaimReply`.
pub const CLAIM: &str = "claim";
/// Name of the call with a `Record` and a `RecordReply`.
pub const RECORD: &str = "record";
/// Name of the call with a `Release` and a `ReleaseReply`.
pub const RELEASE: &str = "release";
/// Name of the call with a `MarkUnknown` and a `Status`.
pub const MARK_UNKNOWN: &str = "mark-unknown";
/// Name of the call with a [`Lookup`] and a `Status`.
pub const LOOKUP: &str = "lookup";

/// Call to the record of a region.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request<T> {
    /// Region that the record must be kept in; a control process of another one refuses the call.
    pub region: String,
    /// Command of `nutmegdale_ledger::command`, or [`Lookup`].
    pub body: T,
}

/// Asks what is known of a key.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Lookup {
    /// Identity of the request.
    pub key: key::KeyId,
}

/// Reply to a call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply<T> {
    /// Reply of the state machine, after a quorum has stored the command or confirmed the lookup.
    Done(T),
    /// The process does not lead; the call had no effect.
    NotLeader {
        /// Address of the leader, if known.
        leader: Option<net::SocketAddr>,
    },
    /// The process cannot take the call, which had no effect.
    Refused(String),
    /// The call may or may not take effect.
    Uncertain,
}

//! Commands of the state machine and their replies.

use crate::key;
use nutmegdale_base::clock;
use serde::{Deserialize, Serialize};
use serde_with::serde_as;
use std::sync;

/// Largest body of an answer that a record keeps, in bytes; of a larger one it keeps the digest.
pub const BODY_MAX_BYTES: usize = 64 * 1024;
/// Largest sum of the names and values of the kept headers, in bytes. An answer with more is kept
/// as a digest, since an answer replayed without some of its headers would be another answer.
pub const HEADERS_MAX_BYTES: usize = 8 * 1024;

/// Attempt of an entry process at one request; an attempt sends at most once.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Claimant {
    /// Name of the entry process.
    pub entry: String,
    /// Random number of this start of the entry process.
    pub boot: u64,
    /// Number of the attempt, which only grows within one boot.
    pub attempt: u64,
}

/// Asks for the right to send a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Identity of the request.
    pub key: key::KeyId,
    /// Digest of the request.
    pub digest: key::Digest,
    /// Attempt that would send it.
    pub claimant: Claimant,
    /// Longest time from the sending of the claim to the end of the attempt. The claimant must
    /// not begin to send after it.
    pub run_ms: clock::Millis,
    /// Time to keep the outcome.
    pub keep_ms: clock::Millis,
}

/// Reply to [`Claim`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimReply {
    /// The claimant may send the request once. A repeated claim of the same attempt gets this
    /// again.
    Granted,
    /// Another attempt holds the claim and may be running.
    Pending(Claimant),
    /// The request ran and this is its answer.
    Answered(sync::Arc<Answer>),
    /// An earlier attempt broke off and may have run.
    Unknown,
    /// The key was used for a request with another digest.
    OtherRequest,
    /// The claimant gave this attempt up earlier; a new attempt may claim.
    GivenUp,
    /// The record is full.
    Full,
}

/// Stores the answer of the server.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Identity of the request.
    pub key: key::KeyId,
    /// Attempt that sent it.
    pub claimant: Claimant,
    /// The answer.
    pub answer: Answer,
}

/// Reply to [`Record`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordReply {
    /// The answer of this attempt is stored.
    Recorded,
    /// This attempt holds no claim, for instance because its record has expired.
    NotHeld,
}

/// Gives up an attempt that provably sent nothing and never will.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// Identity of the request.
    pub key: key::KeyId,
    /// Attempt that is given up.
    pub claimant: Claimant,
}

/// Reply to [`Release`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReleaseReply {
    /// The attempt holds no claim and will not be granted one.
    Released,
    /// The outcome of the attempt is already unknown or answered and stays so.
    TooLate,
    /// The record is full, so an early release cannot be kept; repeat it later.
    Full,
}

/// Declares that an attempt broke off or that its entry process is gone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MarkUnknown {
    /// Identity of the request.
    pub key: key::KeyId,
    /// Attempt that broke off.
    pub claimant: Claimant,
}

/// What the record says of a key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Status {
    /// No attempt has claimed it, or its record has expired.
    Unclaimed,
    /// An attempt holds the claim and may be running.
    Pending(Claimant),
    /// Every attempt so far was released without sending.
    Released,
    /// An attempt broke off and may have run.
    Unknown,
    /// The request ran and this is its answer.
    Answered(sync::Arc<Answer>),
}

/// Answer of a server as the record keeps it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status.
    pub status: u16,
    /// Kept headers in their order.
    pub headers: Vec<Header>,
    /// Body or its digest.
    pub body: Body,
}

/// Header of an answer.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Name in lower case.
    pub name: String,
    /// Value.
    #[serde_as(as = "serde_with::Bytes")]
    pub value: Vec<u8>,
}

/// Body of an answer as the record keeps it.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Whole body.
    Kept(#[serde_as(as = "serde_with::Bytes")] Vec<u8>),
    /// Body that was too large to keep.
    Digest {
        /// SHA-256 of the body.
        sha256: key::Digest,
        /// Length of the body.
        bytes: u64,
    },
}

impl Answer {
    /// Returns the bytes of the headers and of the kept body.
    pub fn kept_bytes(&self) -> usize {
        let body_bytes = match &self.body {
            Body::Kept(body) => body.len(),
            Body::Digest { .. } => 0,
        };
        self.headers_bytes() + body_bytes
    }

    /// Returns the bytes of the names and values of the headers.
    pub fn headers_bytes(&self) -> usize {
        let sizes = self.headers.iter().map(|h| h.name.len() + h.value.len());
        sizes.sum()
    }

    /// Replaces the body by its digest and drops the headers, which belong to the body.
    pub fn reduce(&mut self) {
        self.headers = Vec::new();
        if let Body::Kept(body) = &self.body {
            self.body = Body::Digest {
                sha256: key::Digest::of_body(body),
                bytes: body.len() as u64,
            };
        }
    }
}

/// Command of the replicated log.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Command {
    /// See [`Claim`].
    Claim(Claim),
    /// See [`Record`].
    Record(Record),
    /// See [`Release`].
    Release(Release),
    /// See [`MarkUnknown`].
    MarkUnknown(MarkUnknown),
    /// Lets time pass and drops a bounded number of expired records.
    Expire {
        /// Time since the leader's last such command in the same term, by its monotonic clock.
        /// Time without a leader is not counted, which only keeps records longer.
        elapsed_ms: clock::Millis,
    },
}

/// Reply to a [`Command`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// Reply to [`Claim`].
    Claim(ClaimReply),
    /// Reply to [`Record`].
    Record(RecordReply),
    /// Reply to [`Release`].
    Release(ReleaseReply),
    /// What the record says after a [`MarkUnknown`].
    Status(Status),
    /// Whether more records are due than one `Expire` handles.
    Expired {
        /// Whether another command should follow at once.
        has_more: bool,
    },
}

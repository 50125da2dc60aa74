//! Commands of the ledger's state machine and their replies.

use crate::key;
use nutmegdale_base::clock;
use serde::{Deserialize, Serialize};
use serde_with::serde_as;
use std::sync;

/// Maximum size in bytes of the body of an answer that is kept whole. A larger body is replaced by
/// its digest.
pub const BODY_MAX_BYTES: usize = 64 * 1024;
/// Maximum total size in bytes of the names and values of the kept headers. An answer that exceeds
/// it is kept as a digest, since a replay must not omit some of the headers.
pub const HEADERS_MAX_BYTES: usize = 8 * 1024;

/// Attempt of an entry process to run a request. An attempt sends the request at most once.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Claimant {
    /// Name of the entry process.
    pub entry: String,
    /// Random number that the entry process drew when it started.
    pub boot: u64,
    /// Number of the attempt; strictly increasing within one boot.
    pub attempt: u64,
}

/// Requests the exclusive right to send a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Identifier of the request.
    pub key: key::KeyId,
    /// Digest of the request's content. Unless the key is released, a claim with another digest is
    /// refused.
    pub digest: key::Digest,
    /// Attempt that wants to send the request.
    pub claimant: Claimant,
    /// Maximum time from the sending of the claim to the end of the attempt. The claimant must not
    /// start to send after it.
    pub run_ms: clock::Millis,
    /// Retention time of the outcome.
    pub keep_ms: clock::Millis,
}

/// Reply to [`Claim`].
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ClaimReply {
    /// The claimant may send the request once. A retried claim of the same attempt gets the same
    /// reply.
    Granted,
    /// Another attempt holds the claim and may still be running.
    Pending(Claimant),
    /// The request ran and this is its answer.
    Answered(sync::Arc<Answer>),
    /// An earlier attempt was interrupted, and the request may have run.
    Unknown,
    /// The key was used for a request with another digest.
    OtherRequest,
    /// This attempt or a later one of its boot was released; a new attempt may claim the key.
    GivenUp,
    /// The ledger has reached its maximum number of records.
    Full,
}

/// Stores the server's answer to a request.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Identifier of the request.
    pub key: key::KeyId,
    /// Attempt that sent the request.
    pub claimant: Claimant,
    /// Answer to store; one that exceeds the limits is reduced to a digest.
    pub answer: Answer,
}

/// Reply to [`Record`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordReply {
    /// The answer of this attempt is stored.
    Recorded,
    /// The attempt holds no claim, for example because its record has expired.
    NotHeld,
}

/// Releases the claim of an attempt that certainly sent nothing and never will.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Release {
    /// Identifier of the request.
    pub key: key::KeyId,
    /// Attempt that is released.
    pub claimant: Claimant,
}

/// Reply to [`Release`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum ReleaseReply {
    /// The attempt holds no claim and will not be granted one.
    Released,
    /// The outcome of the attempt is already unknown or answered, which is final for a release.
    TooLate,
    /// The ledger is full, so a release that arrives before its claim cannot be stored. Retry it
    /// later.
    Full,
}

/// Reports that an attempt was interrupted or that its entry process is gone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct MarkUnknown {
    /// Identifier of the request.
    pub key: key::KeyId,
    /// Attempt that was interrupted.
    pub claimant: Claimant,
}

/// State of a key in the ledger.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Status {
    /// No attempt has claimed the key, or its record has expired.
    Unclaimed,
    /// An attempt holds the claim and may still be running.
    Pending(Claimant),
    /// Every attempt so far was released without sending.
    Released,
    /// An attempt was interrupted, and the request may have run.
    Unknown,
    /// The request ran and this is its answer.
    Answered(sync::Arc<Answer>),
}

/// Answer of a server as stored in the ledger.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Stored headers in their original order.
    pub headers: Vec<Header>,
    /// Body, or its digest if it was too large.
    pub body: Body,
}

/// Header of an answer.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Header {
    /// Name in lower case.
    pub name: String,
    /// Value, which need not be valid UTF-8.
    #[serde_as(as = "serde_with::Bytes")]
    pub value: Vec<u8>,
}

/// Body of an answer as stored in the ledger.
#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Complete body.
    Kept(#[serde_as(as = "serde_with::Bytes")] Vec<u8>),
    /// Digest of a body that was too large to store.
    Digest {
        /// SHA-256 of the body.
        sha256: key::Digest,
        /// Length of the body in bytes.
        bytes: u64,
    },
}

impl Answer {
    /// Returns the size in bytes of the headers and of the body unless it is a digest.
    pub fn kept_bytes(&self) -> usize {
        let body_bytes = match &self.body {
            Body::Kept(body) => body.len(),
            Body::Digest { .. } => 0,
        };
        self.headers_bytes() + body_bytes
    }

    /// Returns the size in bytes of the names and values of the headers.
    pub fn headers_bytes(&self) -> usize {
        let sizes = self.headers.iter().map(|h| h.name.len() + h.value.len());
        sizes.sum()
    }

    /// Replaces the body by its digest and removes the headers, which describe the body.
    pub fn reduce_to_digest(&mut self) {
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
    /// Advances the clock and removes a bounded number of expired records.
    Expire {
        /// Time since the leader's previous `Expire` command in the same term, by its monotonic
        /// clock. Time without a leader is not counted, which only extends retention.
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
    /// State of the key after a [`MarkUnknown`].
    Status(Status),
    /// Reply to [`Command::Expire`].
    Expired {
        /// Whether more records are due than one command handles, so that another command should
        /// follow at once.
        has_more: bool,
    },
}

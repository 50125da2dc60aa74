//! Identity of a one-time request and digest of its content.

use serde::{Deserialize, Serialize};
use serde_with::serde_as;
use sha2::Digest as _;
use std::fmt;

/// Bytes of a [`KeyId`].
const KEY_ID_BYTES: usize = 16;

/// Identity of a one-time request: account, route and idempotency key.
///
/// It holds the first 16 bytes of their SHA-256, which keeps a record small whatever the length of
/// the key. A collision between accounts takes a second preimage; a collision that one account
/// makes for itself only gets its own requests refused.
#[serde_as]
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyId(#[serde_as(as = "serde_with::Bytes")] [u8; KEY_ID_BYTES]);

impl KeyId {
    /// Returns the identity of the requests of `account` on `route` with `key`.
    pub fn new(account: &str, route: &str, key: &str) -> KeyId {
        let whole = hash_parts(&[account.as_bytes(), route.as_bytes(), key.as_bytes()]);
        let mut id = [0; KEY_ID_BYTES];
        id.copy_from_slice(&whole[..KEY_ID_BYTES]);
        KeyId(id)
    }
}

impl fmt::Debug for KeyId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_hex(f, &self.0)
    }
}

/// SHA-256 of a request or of the body of an answer.
#[serde_as]
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Digest(#[serde_as(as = "serde_with::Bytes")] [u8; 32]);

impl Digest {
    /// Returns the digest of a request; `target` is its path and query.
    pub fn of_request(method: &str, target: &str, body: &[u8]) -> Digest {
        Digest(hash_parts(&[method.as_bytes(), target.as_bytes(), body]))
    }

    /// Returns the digest of the body of an answer.
    pub fn of_body(body: &[u8]) -> Digest {
        Digest(sha2::Sha256::digest(body).into())
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_hex(f, &self.0)
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write_hex(f, &self.0)
    }
}

/// Digest of a body that is read in parts.
#[derive(Debug, Clone, Default)]
pub struct BodyHasher {
    hasher: sha2::Sha256,
}

impl BodyHasher {
    /// Starts with an empty body.
    pub fn new() -> BodyHasher {
        BodyHasher::default()
    }

    /// Adds the next part.
    pub fn update(&mut self, part: &[u8]) {
        self.hasher.update(part);
    }

    /// Returns the digest of all parts.
    pub fn finish(self) -> Digest {
        Digest(self.hasher.finalize().into())
    }
}

/// Hashes parts with their lengths, so that no two lists of parts have the same input.
fn hash_parts(parts: &[&[u8]]) -> [u8; 32] {
    let mut hasher = sha2::Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_be_bytes());
        hasher.update(part);
    }
    hasher.finalize().into()
}

fn write_hex(f: &mut fmt::Formatter<'_>, bytes: &[u8]) -> fmt::Result {
    bytes.iter().try_for_each(|byte| write!(f, "{byte:02x}"))
}

//! Identifier of a one-time request and digest of its content.

use serde::{Deserialize, Serialize};
use serde_with::serde_as;
use sha2::Digest as _;
use std::fmt;

/// Size of a [`KeyId`] in bytes.
const KEY_ID_BYTES: usize = 16;

/// Identifier of a one-time request: hash of its account, route and idempotency key.
///
/// It holds the first 16 bytes of their SHA-256, so that the size of a record does not depend on
/// the length of the key. Only a second preimage collides with another account's request; if an
/// account makes its own requests collide, only those are refused.
#[serde_as]
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct KeyId(#[serde_as(as = "serde_with::Bytes")] [u8; KEY_ID_BYTES]);

impl KeyId {
    /// Returns the identifier of the requests of `account` on `route` with `key`.
    pub fn new(account: &str, route: &str, key: &str) -> KeyId {
        let digest = hash_parts(&[account.as_bytes(), route.as_bytes(), key.as_bytes()]);
        let mut id = [0; KEY_ID_BYTES];
        id.copy_from_slice(&digest[..KEY_ID_BYTES]);
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

/// Computes the digest of a body that arrives in parts.
#[derive(Debug, Clone, Default)]
pub struct BodyHasher {
    hasher: sha2::Sha256,
}

impl BodyHasher {
    /// Creates a hasher of an empty body.
    pub fn new() -> BodyHasher {
        BodyHasher::default()
    }

    /// Hashes the next part of the body.
    pub fn update(&mut self, part: &[u8]) {
        self.hasher.update(part);
    }

    /// Returns the digest of all parts together.
    pub fn finish(self) -> Digest {
        Digest(self.hasher.finalize().into())
    }
}

/// Hashes each part after its length, so that different lists of parts never give the same input.
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

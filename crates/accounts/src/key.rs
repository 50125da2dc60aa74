//! Digests of account keys. A key itself is never stored.

use sha2::Digest as _;
use std::fmt;
use subtle::ConstantTimeEq;

/// SHA-256 of a key.
#[derive(Clone, Copy)]
pub struct Digest([u8; 32]);

impl Digest {
    /// Returns the digest of a key.
    pub fn of(key: &[u8]) -> Digest {
        Digest(sha2::Sha256::digest(key).into())
    }

    /// Returns the bytes of the digest, for an index over many accounts.
    pub fn bytes(&self) -> &[u8; 32] {
        &self.0
    }
}

impl PartialEq for Digest {
    /// Compares in constant time, so that response times say nothing about stored digests.
    fn eq(&self, other: &Digest) -> bool {
        self.0.ct_eq(&other.0).into()
    }
}

impl Eq for Digest {}

/// Prints nothing of the digest, since digests of short keys can be reversed.
impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Digest")
    }
}

//! Digests of account keys, and the key that a request presents. A key itself is never stored.

use sha2::Digest as _;
use std::fmt;
use subtle::ConstantTimeEq;

/// Length of a digest in hexadecimal digits.
const HEX_LEN: usize = 64;

/// SHA-256 of a key.
#[derive(Clone, Copy)]
pub struct Digest([u8; 32]);

impl Digest {
    /// Digest that practically no key has, so that an account with it is open to nobody.
    pub const OF_NO_KEY: Digest = Digest([0; 32]);

    /// Returns the digest of a key.
    pub fn of(key: &[u8]) -> Digest {
        Digest(sha2::Sha256::digest(key).into())
    }

    /// Parses a digest from 64 lower-case hexadecimal digits.
    pub fn parse_hex(text: &str) -> Option<Digest> {
        let is_hex = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
        if text.len() != HEX_LEN || !text.bytes().all(is_hex) {
            return None;
        }
        let mut digest = [0; 32];
        for (n, byte) in digest.iter_mut().enumerate() {
            *byte = u8::from_str_radix(text.get(n * 2..n * 2 + 2)?, 16).ok()?;
        }
        Some(Digest(digest))
    }

    /// Returns the bytes of the digest, for an index over many accounts.
    pub fn bytes(&self) -> &[u8; 32] {
        &self.0
    }

    /// Returns whether this is the digest of `key`.
    pub fn is_of(&self, key: &[u8]) -> bool {
        *self == Digest::of(key)
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

/// Key that a request presents, as a front end finds it in the head.
#[derive(Clone, Copy, PartialEq, Eq)]
pub enum Presented<'a> {
    /// The request has no key, or an empty one.
    Missing,
    /// The request has exactly one key.
    One(&'a [u8]),
    /// The request has several keys. None of them counts, since it is unclear whose request it is.
    Several,
}

impl<'a> Presented<'a> {
    /// Collects the values of the header that holds the key.
    pub fn from_values(mut values: impl Iterator<Item = &'a [u8]>) -> Presented<'a> {
        match (values.next(), values.next()) {
            (_, Some(_)) => Presented::Several,
            (Some(key), None) if !key.is_empty() => Presented::One(key),
            (_, None) => Presented::Missing,
        }
    }

    /// Returns the digest of the key, if there is exactly one.
    pub fn digest(&self) -> Option<Digest> {
        match self {
            Presented::One(key) => Some(Digest::of(key)),
            Presented::Missing | Presented::Several => None,
        }
    }
}

/// Prints how many keys there are, never a key.
impl fmt::Debug for Presented<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Presented::Missing => "Missing",
            Presented::One(_) => "One",
            Presented::Several => "Several",
        })
    }
}

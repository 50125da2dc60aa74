//! Identifies requests that are the same although each attempt of a caller has an identifier of its
//! own.

use crate::{attempt, payload};
use hyper::header;
use sha2::Digest;
use std::fmt;

/// Bytes of a body that are identified, besides its length. The rest of a large one may not have
/// arrived when its request is sent, and hashing it would delay others.
const BODY_MAX_BYTES: usize = 64 * 1024;

/// Keyed digest of what makes two requests the same, which callers cannot predict.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) struct Fingerprint(pub(crate) u64);

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

impl Fingerprint {
    /// Returns the fingerprint of a request. `token` is the key, which all processes share, and
    /// `account` the client account. The address of a caller is left out, since one that comes again
    /// may come from another one.
    pub(crate) fn of(
        token: &str,
        account: Option<&str>,
        head: &attempt::Head,
        payload: &payload::Payload,
    ) -> Fingerprint {
        let mut hasher = sha2::Sha256::new();
        // Each part is preceded by its length, so that no two requests yield the same bytes.
        let mut add = |part: &[u8]| {
            hasher.update((part.len() as u64).to_be_bytes());
            hasher.update(part);
        };
        add(token.as_bytes());
        add(account.unwrap_or_default().as_bytes());
        add(head.method.as_str().as_bytes());
        let host = head.headers.get(header::HOST);
        add(host.map_or(&[][..], header::HeaderValue::as_bytes));
        add(head.uri.to_string().as_bytes());
        add(&payload.len_hint().to_be_bytes());
        let body = &payload.buffered;
        add(&body[..body.len().min(BODY_MAX_BYTES)]);
        let digest = hasher.finalize();
        let mut first = [0; 8];
        first.copy_from_slice(&digest[..8]);
        Fingerprint(u64::from_be_bytes(first))
    }
}

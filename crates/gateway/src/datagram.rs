//! Encodes the messages between entry processes as datagrams, which bear an authentication code that
//! depends on the cluster token.

use nutmegdale_gossip::message;
use sha2::Digest;
use subtle::ConstantTimeEq;

/// Version of the format of datagrams; those of other versions are ignored.
const FORMAT: u8 = 1;
/// Size of the authentication code of a datagram, in bytes.
const CODE_BYTES: usize = 8;

/// Returns the authentication code of a message under the cluster token.
fn code(token: &str, body: &[u8]) -> [u8; CODE_BYTES] {
    let mut hasher = sha2::Sha256::new();
    hasher.update((token.len() as u64).to_be_bytes());
    hasher.update(token.as_bytes());
    hasher.update(body);
    let mut code = [0; CODE_BYTES];
    code.copy_from_slice(&hasher.finalize()[..CODE_BYTES]);
    code
}

/// Returns the datagram of a message; `None` if it cannot be encoded.
pub(crate) fn encode(token: &str, message: &message::Message) -> Option<Vec<u8>> {
    let body = rmp_serde::to_vec(message).ok()?;
    let mut datagram = Vec::with_capacity(1 + CODE_BYTES + body.len());
    datagram.push(FORMAT);
    datagram.extend_from_slice(&code(token, &body));
    datagram.extend_from_slice(&body);
    Some(datagram)
}

/// Returns the message of a datagram; `None` if it is not authentic or cannot be decoded.
pub(crate) fn decode(token: &str, datagram: &[u8]) -> Option<message::Message> {
    let (format, rest) = datagram.split_first()?;
    let (stated, body) = rest.split_at_checked(CODE_BYTES)?;
    // In constant time, so that the time of the comparison says nothing about the code.
    let is_authentic = stated.ct_eq(&code(token, body));
    if *format != FORMAT || !bool::from(is_authentic) {
        return None;
    }
    rmp_serde::from_slice(body).ok()
}

//! Heads of requests and answers on their way through an entry VM.

use hyper::header as http;
use nutmegdale_base::header;
use nutmegdale_rpc::listen;

/// Name of the request id header. Names from text are parsed on each use; this one is not.
pub static REQUEST_ID: http::HeaderName = http::HeaderName::from_static(header::REQUEST_ID);
/// Name of the account header.
pub static ACCOUNT: http::HeaderName = http::HeaderName::from_static(header::ACCOUNT);
/// Name of the header with the account's token.
pub static TOKEN: http::HeaderName = http::HeaderName::from_static(header::TOKEN);
/// Name of the outcome header.
pub static OUTCOME: http::HeaderName = http::HeaderName::from_static(header::OUTCOME);
/// Name of the catalogue version header.
pub static VERSION: http::HeaderName = http::HeaderName::from_static(header::VERSION);
/// Name of the reason header.
pub static REASON: http::HeaderName = http::HeaderName::from_static(header::REASON);
/// Name of the refusal header of servers.
pub static REFUSED: http::HeaderName = http::HeaderName::from_static(header::REFUSED);
/// Name of the load report header of servers.
pub static LOAD: http::HeaderName = http::HeaderName::from_static(header::LOAD);
/// Name of the deadline header.
pub static DEADLINE_MS: http::HeaderName = http::HeaderName::from_static(header::DEADLINE_MS);

static KEEP_ALIVE: http::HeaderName = http::HeaderName::from_static("keep-alive");
static PROXY_CONNECTION: http::HeaderName = http::HeaderName::from_static("proxy-connection");

/// Headers that one `Connection` header may name; more make the request malformed.
const NAMED_MAX_COUNT: usize = 16;

/// Returns whether a header concerns one connection only.
fn is_hop(name: &http::HeaderName) -> bool {
    *name == http::CONNECTION
        || *name == http::TE
        || *name == http::TRAILER
        || *name == http::UPGRADE
        || *name == http::PROXY_AUTHENTICATE
        || *name == http::PROXY_AUTHORIZATION
        || *name == KEEP_ALIVE
        || *name == PROXY_CONNECTION
}

/// Removes the headers that concern one connection only, and those that `Connection` names.
///
/// Framing headers stay, since the HTTP library derives the framing of the next connection from
/// them; a `Connection` header cannot remove them.
pub fn strip_hop_headers(headers: &mut http::HeaderMap) {
    // Most requests have none, and looking at each name once is cheaper than a lookup per name.
    if !headers.keys().any(is_hop) {
        return;
    }
    let named = headers.get_all(http::CONNECTION).iter();
    let named = named.filter_map(|value| value.to_str().ok());
    let named = named.flat_map(|value| value.split(',')).map(str::trim);
    let named = named.filter_map(|name| http::HeaderName::from_bytes(name.as_bytes()).ok());
    let named: Vec<_> = named.take(NAMED_MAX_COUNT).collect();
    let hops: Vec<_> = headers
        .keys()
        .filter(|name| is_hop(name))
        .cloned()
        .collect();
    for name in hops {
        headers.remove(name);
    }
    for name in named.iter().filter(|name| may_be_named(name)) {
        headers.remove(name);
    }
}

fn may_be_named(name: &http::HeaderName) -> bool {
    *name != http::CONTENT_LENGTH
        && *name != http::TRANSFER_ENCODING
        && *name != http::HOST
        && !name.as_str().starts_with("nutmegdale-")
        && name.as_str() != header::IDEMPOTENCY_KEY
}

/// Returns the id of a request: the start of the process and the number of the request.
pub fn request_id(boot: u64, number: u64) -> http::HeaderValue {
    const DIGITS: &[u8; 16] = b"0123456789abcdef";
    let mut buf = [b'-'; 33];
    for n in 0..16 {
        let shift = 60 - 4 * n;
        buf[n] = DIGITS[(boot >> shift) as usize & 15];
        buf[17 + n] = DIGITS[(number >> shift) as usize & 15];
    }
    http::HeaderValue::from_bytes(&buf).expect("hexadecimal digits")
}

/// Rewrites the target to a path with a `Host` header; HTTP/2 requests have the authority in the
/// target instead.
pub fn use_origin_form(req: &mut hyper::Request<listen::Body>) {
    // Requests over HTTP/1.1 usually are in this form already.
    let Some(authority) = req.uri().authority() else {
        return;
    };
    if !req.headers().contains_key(http::HOST)
        && let Ok(host) = http::HeaderValue::from_str(authority.as_str())
    {
        req.headers_mut().insert(http::HOST, host);
    }
    let target = req.uri().path_and_query().cloned();
    *req.uri_mut() = target.map_or_else(hyper::Uri::default, hyper::Uri::from);
}

/// Returns whether a path means the same to every reader: a server that decodes or resolves
/// segments must not see another route than this process matched.
pub fn is_plain_path(path: &str) -> bool {
    let bytes = path.as_bytes();
    if !path.starts_with('/') || bytes.contains(&b'\\') {
        return false;
    }
    let mut segments = path.split('/');
    let has_dots = segments.any(|segment| segment == "." || segment == "..");
    !has_dots && !has_encoded_separator(bytes)
}

/// Returns whether a dot, slash or backslash is percent-encoded.
fn has_encoded_separator(path: &[u8]) -> bool {
    let mut rest = path;
    while let Some(at) = rest.iter().position(|byte| *byte == b'%') {
        rest = &rest[at + 1..];
        if let [high, low, ..] = rest {
            let pair = [*high, low.to_ascii_lowercase()];
            if [*b"2e", *b"2f", *b"5c"].contains(&pair) {
                return true;
            }
        }
    }
    false
}

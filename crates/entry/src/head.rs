//! Header names, and rewriting of request and response heads in an entry process.

use hyper::header as http;
use nutmegdale_base::header;
use nutmegdale_rpc::listen;

/// Name of the request id header. Static names avoid parsing a string on each use.
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

/// Number of `Connection` options that are honoured; further ones are ignored.
const CONNECTION_OPTIONS_MAX_COUNT: usize = 16;

/// Returns whether a header is hop-by-hop.
fn is_hop_by_hop(name: &http::HeaderName) -> bool {
    *name == http::CONNECTION
        || *name == http::TE
        || *name == http::TRAILER
        || *name == http::UPGRADE
        || *name == http::PROXY_AUTHENTICATE
        || *name == http::PROXY_AUTHORIZATION
        || *name == KEEP_ALIVE
        || *name == PROXY_CONNECTION
}

/// Returns whether a status can be that of a final response. The HTTP library also accepts statuses
/// from 600 to 999, which no caller understands, and a switch of protocols that nobody asked for; it
/// rejects those below 100 itself.
pub fn is_final_status(status: hyper::StatusCode) -> bool {
    (200..600).contains(&status.as_u16())
}

/// Removes the hop-by-hop headers, including those that `Connection` lists.
///
/// Framing headers stay, since the HTTP library derives the framing of the next connection from
/// them; a `Connection` header cannot remove them.
pub fn strip_hop_headers(headers: &mut http::HeaderMap) {
    // Most requests have none, and one scan of the names is cheaper than a lookup for each of them.
    if !headers.keys().any(is_hop_by_hop) {
        return;
    }
    let options = headers.get_all(http::CONNECTION).iter();
    let options = options.filter_map(|value| value.to_str().ok());
    let options = options.flat_map(|value| value.split(',')).map(str::trim);
    let options = options.filter_map(|name| http::HeaderName::from_bytes(name.as_bytes()).ok());
    let options: Vec<_> = options.take(CONNECTION_OPTIONS_MAX_COUNT).collect();
    let hop_by_hop: Vec<_> = headers
        .keys()
        .filter(|name| is_hop_by_hop(name))
        .cloned()
        .collect();
    for name in hop_by_hop {
        headers.remove(name);
    }
    for name in options.iter().filter(|name| is_removable(name)) {
        headers.remove(name);
    }
}

/// Returns whether a `Connection` header may remove this one.
fn is_removable(name: &http::HeaderName) -> bool {
    *name != http::CONTENT_LENGTH
        && *name != http::TRANSFER_ENCODING
        && *name != http::HOST
        && !name.as_str().starts_with("nutmegdale-")
        && name.as_str() != header::IDEMPOTENCY_KEY
}

/// Returns a request id: the boot id of the process and the request's sequence number, in
/// hexadecimal.
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
    // HTTP/1.1 requests usually have no authority in the target.
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

/// Returns whether every parser reads a path in the same way: a server that decodes or resolves
/// segments must not see a path of another route than the one matched here.
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

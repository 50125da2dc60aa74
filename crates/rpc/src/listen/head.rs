//! Heads of requests as they arrive: where one ends, and what it asks for.

use hyper::header;

/// Maximum number of headers of a head, as in the HTTP library.
const HEADERS_MAX_COUNT: usize = 100;

/// Finds the end of a head in bytes that arrive in parts.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct EndFinder {
    /// Whether the start line has begun; empty lines before it are ignored.
    is_begun: bool,
    /// Whether the current line has bytes other than a carriage return.
    has_text: bool,
}

impl EndFinder {
    /// Takes the next bytes; returns the position after the head if it ends within them.
    pub(super) fn find(&mut self, bytes: &[u8]) -> Option<usize> {
        let mut start = 0;
        for end in memchr::memchr_iter(b'\n', bytes) {
            self.add(&bytes[start..end]);
            if self.is_begun && !self.has_text {
                return Some(end + 1);
            }
            self.has_text = false;
            start = end + 1;
        }
        self.add(&bytes[start..]);
        None
    }

    fn add(&mut self, part: &[u8]) {
        self.has_text |= part.iter().any(|byte| *byte != b'\r');
        self.is_begun |= self.has_text;
    }
}

/// Returns the body length that the last lines of a head state, 0 if they state none. It is only good
/// for passing bytes on sooner: the head may have begun earlier, and nobody has validated it.
pub(super) fn guess_body_length(lines: &[u8]) -> u64 {
    const NAME: &[u8] = b"content-length:";
    let value = lines.split(|byte| *byte == b'\n').find_map(|line| {
        let (name, value) = line.split_at_checked(NAME.len())?;
        name.eq_ignore_ascii_case(NAME).then_some(value)
    });
    let value = value.and_then(|value| std::str::from_utf8(value).ok());
    value
        .and_then(|value| value.trim().parse().ok())
        .unwrap_or(0)
}

/// What may follow a request on its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Follow {
    /// Another request.
    Request,
    /// Nothing: the request asks for the end of the connection.
    Nothing,
}

/// Returns whether a request may run beside others of its connection: its method changes nothing.
pub(super) fn is_safe(method: &hyper::Method) -> bool {
    method == hyper::Method::GET || method == hyper::Method::HEAD
}

/// Returns what may follow a request; `None` if its `connection` header asks for anything unusual.
pub(super) fn follow(version: hyper::Version, headers: &header::HeaderMap) -> Option<Follow> {
    if version != hyper::Version::HTTP_11 || headers.contains_key(header::UPGRADE) {
        return None;
    }
    let mut values = headers.get_all(header::CONNECTION).iter();
    let value = values.next().map_or(&b"keep-alive"[..], |v| v.as_bytes());
    if values.next().is_some() {
        None
    } else if value.eq_ignore_ascii_case(b"keep-alive") {
        Some(Follow::Request)
    } else {
        (value.eq_ignore_ascii_case(b"close")).then_some(Follow::Nothing)
    }
}

/// Parses a complete head. Returns `None` unless it is valid and the request has a safe method and
/// no body.
pub(super) fn parse(bytes: &[u8]) -> Option<(hyper::Request<()>, Follow)> {
    let mut fields = [httparse::EMPTY_HEADER; HEADERS_MAX_COUNT];
    let mut head = httparse::Request::new(&mut fields);
    let is_whole = head.parse(bytes).ok()? == httparse::Status::Complete(bytes.len());
    if !is_whole || head.version != Some(1) {
        return None;
    }
    let mut req = hyper::Request::new(());
    *req.method_mut() = hyper::Method::from_bytes(head.method?.as_bytes()).ok()?;
    *req.uri_mut() = hyper::Uri::try_from(head.path?).ok()?;
    req.headers_mut().reserve(head.headers.len());
    for field in head.headers.iter() {
        let name = header::HeaderName::from_bytes(field.name.as_bytes()).ok()?;
        let value = header::HeaderValue::from_bytes(field.value).ok()?;
        req.headers_mut().append(name, value);
    }
    let headers = req.headers();
    let has_body = headers.contains_key(header::TRANSFER_ENCODING)
        || headers.contains_key(header::EXPECT)
        || headers
            .get_all(header::CONTENT_LENGTH)
            .iter()
            .any(|length| length != "0");
    if has_body || !is_safe(req.method()) {
        return None;
    }
    let follow = follow(req.version(), headers)?;
    Some((req, follow))
}

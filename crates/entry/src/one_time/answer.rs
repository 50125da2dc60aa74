//! Responses of servers to one-time requests: reading, recording and replaying them.
//!
//! The ledger calls a recorded response an answer.

use crate::head;
use crate::one_time::run;
use crate::response;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{body, header as http};
use nutmegdale_base::{header, outcome};
use nutmegdale_catalogue::config;
use nutmegdale_ledger::{command, key};
use nutmegdale_rpc::listen;
use serde::Serialize;
use std::pin;
use std::task;
use tokio::sync::mpsc;

/// Response headers that are recorded and replayed. The others apply to one exchange only.
const RECORDED_HEADERS: [http::HeaderName; 6] = [
    http::CONTENT_TYPE,
    http::CONTENT_ENCODING,
    http::CONTENT_LANGUAGE,
    http::LOCATION,
    http::ETAG,
    http::LAST_MODIFIED,
];
/// Most chunks of a large response that are buffered for a slow caller.
const CHUNKS_MAX_COUNT: usize = 4;

/// Response of a server.
pub(super) enum Answered {
    /// Complete response, small enough to be recorded.
    Small(Small),
    /// Response that is too large, of which only the digest is recorded.
    Large(Large),
}

/// Complete response.
pub(super) struct Small {
    head: hyper::http::response::Parts,
    body: Bytes,
}

/// Start of a response, with the rest still streaming.
pub(super) struct Large {
    head: hyper::http::response::Parts,
    start: Vec<Bytes>,
    rest: listen::Body,
}

/// Reads a response until its end or until it is too large to be recorded.
pub(super) async fn read(response: hyper::Response<listen::Body>) -> run::SendResult {
    let (mut head, mut rest) = response.into_parts();
    head::strip_hop_headers(&mut head.headers);
    // The framing towards the caller is determined separately.
    head.headers.remove(http::TRANSFER_ENCODING);
    let mut start = Vec::new();
    let mut bytes = 0;
    while let Some(frame) = rest.frame().await {
        let Ok(frame) = frame else {
            return run::SendResult::Unknown(outcome::Reason::BrokenAnswer);
        };
        if let Ok(chunk) = frame.into_data() {
            bytes += chunk.len();
            start.push(chunk);
        }
        if bytes > command::BODY_MAX_BYTES {
            let large = Large { head, start, rest };
            return run::SendResult::Answered(Answered::Large(large));
        }
    }
    let body = Bytes::from(start.concat());
    run::SendResult::Answered(Answered::Small(Small { head, body }))
}

fn recorded_headers(headers: &http::HeaderMap) -> Vec<command::Header> {
    let recorded = RECORDED_HEADERS.iter().filter_map(|name| {
        let value = headers.get(name)?;
        Some(command::Header {
            name: name.as_str().to_owned(),
            value: value.as_bytes().to_vec(),
        })
    });
    recorded.collect()
}

fn set_answered_outcome(headers: &mut http::HeaderMap, version: config::Version) {
    response::set_outcome(headers, outcome::Outcome::Answered, version);
}

impl Small {
    pub(super) fn to_response(&self, version: config::Version) -> hyper::Response<listen::Body> {
        let mut response = hyper::Response::new(listen::full(self.body.clone()));
        *response.status_mut() = self.head.status;
        response.headers_mut().clone_from(&self.head.headers);
        set_answered_outcome(response.headers_mut(), version);
        response
    }

    pub(super) fn to_record(&self) -> command::Answer {
        command::Answer {
            status: self.head.status.as_u16(),
            headers: recorded_headers(&self.head.headers),
            body: command::Body::Kept(self.body.to_vec()),
        }
    }
}

/// Streams a large response to the caller and computes its digest.
pub(super) struct Relay {
    status: u16,
    start: Vec<Bytes>,
    rest: listen::Body,
    chunks: mpsc::Sender<Result<Bytes, listen::BodyError>>,
}

impl Large {
    /// Returns the response for the caller and the relay that feeds it.
    pub(super) fn split(self, version: config::Version) -> (hyper::Response<listen::Body>, Relay) {
        let (chunks, incoming) = mpsc::channel(CHUNKS_MAX_COUNT);
        let mut response = hyper::Response::new(listen::Body::new(ChannelBody { incoming }));
        *response.status_mut() = self.head.status;
        *response.headers_mut() = self.head.headers;
        set_answered_outcome(response.headers_mut(), version);
        let relay = Relay {
            status: self.head.status.as_u16(),
            start: self.start,
            rest: self.rest,
            chunks,
        };
        (response, relay)
    }
}

impl Relay {
    /// Streams the response to its end and returns what to record, or `None` if the response was
    /// truncated. It continues to read after the caller has disconnected.
    pub(super) async fn run(mut self) -> Option<command::Answer> {
        let mut hasher = key::BodyHasher::new();
        let mut bytes = 0;
        for chunk in std::mem::take(&mut self.start) {
            bytes += chunk.len() as u64;
            hasher.update(&chunk);
            drop(self.chunks.send(Ok(chunk)).await);
        }
        while let Some(frame) = self.rest.frame().await {
            match frame {
                Ok(frame) => {
                    if let Ok(chunk) = frame.into_data() {
                        bytes += chunk.len() as u64;
                        hasher.update(&chunk);
                        drop(self.chunks.send(Ok(chunk)).await);
                    }
                }
                Err(err) => {
                    drop(self.chunks.send(Err(err)).await);
                    return None;
                }
            }
        }
        let sha256 = hasher.finish();
        Some(command::Answer {
            status: self.status,
            headers: Vec::new(),
            body: command::Body::Digest { sha256, bytes },
        })
    }
}

/// Response body that receives its chunks from a [`Relay`].
struct ChannelBody {
    incoming: mpsc::Receiver<Result<Bytes, listen::BodyError>>,
}

impl body::Body for ChannelBody {
    type Data = Bytes;
    type Error = listen::BodyError;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<body::Frame<Bytes>, listen::BodyError>>> {
        let chunk = task::ready!(self.incoming.poll_recv(cx));
        task::Poll::Ready(chunk.map(|chunk| chunk.map(body::Frame::data)))
    }
}

/// Body of the response to a resend if only the digest of the original response was recorded.
#[derive(Debug, Serialize)]
struct DigestBody {
    outcome: &'static str,
    status: u16,
    body_sha256: String,
    body_bytes: u64,
}

/// Returns the response to a resend from the record. If the record has only the digest, the status
/// is 410, since the body cannot be replayed.
pub(super) fn replay(
    answer: &command::Answer,
    version: config::Version,
) -> hyper::Response<listen::Body> {
    let mut response = match &answer.body {
        command::Body::Kept(body) => {
            let mut response = hyper::Response::new(listen::full(body.clone()));
            let status = hyper::StatusCode::from_u16(answer.status);
            *response.status_mut() = status.unwrap_or(hyper::StatusCode::BAD_GATEWAY);
            for header in &answer.headers {
                let name = http::HeaderName::from_bytes(header.name.as_bytes());
                let value = http::HeaderValue::from_bytes(&header.value);
                if let (Ok(name), Ok(value)) = (name, value) {
                    response.headers_mut().append(name, value);
                }
            }
            response
        }
        command::Body::Digest { sha256, bytes } => {
            let body = DigestBody {
                outcome: outcome::Outcome::Answered.name(),
                status: answer.status,
                body_sha256: sha256.to_string(),
                body_bytes: *bytes,
            };
            response::json(hyper::StatusCode::GONE, &body)
        }
    };
    let replayed = http::HeaderValue::from_static("true");
    response.headers_mut().insert(header::REPLAYED, replayed);
    set_answered_outcome(response.headers_mut(), version);
    response
}

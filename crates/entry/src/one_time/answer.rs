//! Answers of servers to one-time requests: reading, keeping and replaying them.

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

/// Headers of a server's answer that a replay repeats. Others concern one exchange.
const KEPT_HEADERS: [http::HeaderName; 6] = [
    http::CONTENT_TYPE,
    http::CONTENT_ENCODING,
    http::CONTENT_LANGUAGE,
    http::LOCATION,
    http::ETAG,
    http::LAST_MODIFIED,
];
/// Parts of a large answer that wait for a slow caller.
const PARTS_MAX_COUNT: usize = 4;

/// Answer of a server.
pub(super) enum Answered {
    /// Whole answer that the record can keep.
    Small(Small),
    /// Answer of which the record keeps the digest.
    Large(Large),
}

/// Whole answer.
pub(super) struct Small {
    head: hyper::http::response::Parts,
    body: Bytes,
}

/// Start of an answer with the rest still to come.
pub(super) struct Large {
    head: hyper::http::response::Parts,
    start: Vec<Bytes>,
    rest: listen::Body,
}

/// Reads an answer until its end or until it is too large for the record.
pub(super) async fn read(answer: hyper::Response<listen::Body>) -> run::Sent {
    let (mut head, mut rest) = answer.into_parts();
    head::strip_hop_headers(&mut head.headers);
    // The length and the coding of the transfer are set anew for the caller.
    head.headers.remove(http::TRANSFER_ENCODING);
    let mut start = Vec::new();
    let mut bytes = 0;
    while let Some(frame) = rest.frame().await {
        let Ok(frame) = frame else {
            return run::Sent::Unknown(outcome::Reason::BrokenAnswer);
        };
        if let Ok(part) = frame.into_data() {
            bytes += part.len();
            start.push(part);
        }
        if bytes > command::BODY_MAX_BYTES {
            let large = Large { head, start, rest };
            return run::Sent::Answered(Answered::Large(large));
        }
    }
    let body = Bytes::from(start.concat());
    run::Sent::Answered(Answered::Small(Small { head, body }))
}

fn kept_headers(headers: &http::HeaderMap) -> Vec<command::Header> {
    let kept = KEPT_HEADERS.iter().filter_map(|name| {
        let value = headers.get(name)?;
        Some(command::Header {
            name: name.as_str().to_owned(),
            value: value.as_bytes().to_vec(),
        })
    });
    kept.collect()
}

fn set_answered(headers: &mut http::HeaderMap, version: config::Version) {
    response::set_outcome(headers, outcome::Outcome::Answered, version);
}

impl Small {
    pub(super) fn to_response(&self, version: config::Version) -> hyper::Response<listen::Body> {
        let mut response = hyper::Response::new(listen::full(self.body.clone()));
        *response.status_mut() = self.head.status;
        response.headers_mut().clone_from(&self.head.headers);
        set_answered(response.headers_mut(), version);
        response
    }

    pub(super) fn to_record(&self) -> command::Answer {
        command::Answer {
            status: self.head.status.as_u16(),
            headers: kept_headers(&self.head.headers),
            body: command::Body::Kept(self.body.to_vec()),
        }
    }
}

/// Passes a large answer on and digests it.
pub(super) struct Relay {
    status: u16,
    start: Vec<Bytes>,
    rest: listen::Body,
    parts: mpsc::Sender<Result<Bytes, listen::BodyError>>,
}

impl Large {
    /// Returns the response for the caller and the relay that feeds it.
    pub(super) fn split(self, version: config::Version) -> (hyper::Response<listen::Body>, Relay) {
        let (parts, incoming) = mpsc::channel(PARTS_MAX_COUNT);
        let mut response = hyper::Response::new(listen::Body::new(Parts { incoming }));
        *response.status_mut() = self.head.status;
        *response.headers_mut() = self.head.headers;
        set_answered(response.headers_mut(), version);
        let relay = Relay {
            status: self.head.status.as_u16(),
            start: self.start,
            rest: self.rest,
            parts,
        };
        (response, relay)
    }
}

impl Relay {
    /// Passes the answer on to its end and returns what to record, or `None` if it broke off. It
    /// reads on when the caller has gone away.
    pub(super) async fn run(mut self) -> Option<command::Answer> {
        let mut hasher = key::BodyHasher::new();
        let mut bytes = 0;
        for part in std::mem::take(&mut self.start) {
            bytes += part.len() as u64;
            hasher.update(&part);
            drop(self.parts.send(Ok(part)).await);
        }
        while let Some(frame) = self.rest.frame().await {
            match frame {
                Ok(frame) => {
                    if let Ok(part) = frame.into_data() {
                        bytes += part.len() as u64;
                        hasher.update(&part);
                        drop(self.parts.send(Ok(part)).await);
                    }
                }
                Err(err) => {
                    drop(self.parts.send(Err(err)).await);
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

/// Body that a relay feeds.
struct Parts {
    incoming: mpsc::Receiver<Result<Bytes, listen::BodyError>>,
}

impl body::Body for Parts {
    type Data = Bytes;
    type Error = listen::BodyError;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<body::Frame<Bytes>, listen::BodyError>>> {
        let part = task::ready!(self.incoming.poll_recv(cx));
        task::Poll::Ready(part.map(|part| part.map(body::Frame::data)))
    }
}

/// Body of the answer to a resend whose recorded answer was too large to keep.
#[derive(Debug, Serialize)]
struct Digested {
    outcome: &'static str,
    status: u16,
    body_sha256: String,
    body_bytes: u64,
}

/// Answers a resend from the record. If the record holds only the digest, the status is 410, since
/// the body cannot be given again.
pub(super) fn replay(
    answer: &command::Answer,
    version: config::Version,
) -> hyper::Response<listen::Body> {
    let mut response = match &answer.body {
        command::Body::Kept(body) => {
            let mut response = hyper::Response::new(listen::full(body.clone()));
            let status = hyper::StatusCode::from_u16(answer.status);
            *response.status_mut() = status.unwrap_or(hyper::StatusCode::BAD_GATEWAY);
            for kept in &answer.headers {
                let name = http::HeaderName::from_bytes(kept.name.as_bytes());
                let value = http::HeaderValue::from_bytes(&kept.value);
                if let (Ok(name), Ok(value)) = (name, value) {
                    response.headers_mut().append(name, value);
                }
            }
            response
        }
        command::Body::Digest { sha256, bytes } => {
            let body = Digested {
                outcome: outcome::Outcome::Answered.name(),
                status: answer.status,
                body_sha256: sha256.to_string(),
                body_bytes: *bytes,
            };
            response::json(hyper::StatusCode::GONE, &body)
        }
    };
    let is_true = http::HeaderValue::from_static("true");
    response.headers_mut().insert(header::REPLAYED, is_true);
    set_answered(response.headers_mut(), version);
    response
}

//! Bodies of requests and answers: read whole up to a bound, streamed beyond it.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body;
use hyper::body::Body;
use nutmegdale_rpc::listen;
use std::pin;
use std::task;

/// Bytes of a body that are held in memory. Larger ones stream, and a request with such a body is
/// not sent twice.
pub const HELD_MAX_BYTES: usize = 1024 * 1024;

/// Body that was read as far as the bound allows.
#[derive(Debug)]
pub struct Payload {
    /// Bytes that were read.
    pub held: Bytes,
    /// The rest, if the body is longer.
    pub rest: Option<body::Incoming>,
}

impl Payload {
    /// Reads a body.
    ///
    /// # Errors
    ///
    /// Fails if the body is broken off.
    pub async fn read(mut incoming: body::Incoming) -> Result<Payload, hyper::Error> {
        let expected = incoming.size_hint().lower();
        let expected = usize::try_from(expected).unwrap_or(HELD_MAX_BYTES);
        let mut held = BytesMut::with_capacity(expected.min(HELD_MAX_BYTES));
        while held.len() < HELD_MAX_BYTES {
            let Some(frame) = incoming.frame().await else {
                return Ok(Payload::whole(held.freeze()));
            };
            if let Ok(data) = frame?.into_data() {
                held.extend_from_slice(&data);
            }
        }
        Ok(Payload {
            held: held.freeze(),
            rest: Some(incoming),
        })
    }

    /// Returns a payload that was read whole.
    pub fn whole(held: Bytes) -> Payload {
        Payload { held, rest: None }
    }

    /// Returns a body with the same bytes.
    pub fn into_body(self) -> listen::Body {
        match self.rest {
            None => listen::full(self.held),
            Some(rest) => listen::Body::new(Joined {
                held: Some(self.held),
                rest,
            }),
        }
    }
}

/// Body whose first bytes were read before.
#[derive(Debug)]
struct Joined {
    held: Option<Bytes>,
    rest: body::Incoming,
}

impl body::Body for Joined {
    type Data = Bytes;
    type Error = listen::BodyError;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<body::Frame<Bytes>, listen::BodyError>>> {
        if let Some(held) = self.held.take() {
            return task::Poll::Ready(Some(Ok(body::Frame::data(held))));
        }
        let polled = task::ready!(pin::Pin::new(&mut self.rest).poll_frame(cx));
        task::Poll::Ready(polled.map(|frame| frame.map_err(Into::into)))
    }

    fn size_hint(&self) -> body::SizeHint {
        let held = self.held.as_ref().map_or(0, Bytes::len) as u64;
        let rest = self.rest.size_hint();
        match rest.exact() {
            Some(rest) => body::SizeHint::with_exact(rest + held),
            None => body::SizeHint::default(),
        }
    }
}

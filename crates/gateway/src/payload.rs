//! Bodies of requests and responses: buffered up to a limit, streamed beyond it.

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body;
use hyper::body::Body;
use nutmegdale_rpc::listen;
use std::pin;
use std::task;

/// Maximum number of bytes of a body that are buffered. Larger bodies are streamed, and a request
/// with such a body is not retried.
pub const BUFFERED_MAX_BYTES: usize = 1024 * 1024;

/// Body that is buffered up to the limit.
#[derive(Debug)]
pub struct Payload {
    /// Bytes that were read into memory.
    pub buffered: Bytes,
    /// Remainder of a body that exceeds the limit.
    pub rest: Option<body::Incoming>,
}

impl Payload {
    /// Reads a body up to the limit.
    ///
    /// # Errors
    ///
    /// Returns the error of the connection if the body ends prematurely.
    pub async fn read(mut incoming: body::Incoming) -> Result<Payload, hyper::Error> {
        let expected = incoming.size_hint().lower();
        let expected = usize::try_from(expected).unwrap_or(BUFFERED_MAX_BYTES);
        let mut buf = BytesMut::with_capacity(expected.min(BUFFERED_MAX_BYTES));
        while buf.len() < BUFFERED_MAX_BYTES {
            let Some(frame) = incoming.frame().await else {
                return Ok(Payload::from_bytes(buf.freeze()));
            };
            if let Ok(data) = frame?.into_data() {
                buf.extend_from_slice(&data);
            }
        }
        Ok(Payload {
            buffered: buf.freeze(),
            rest: Some(incoming),
        })
    }

    /// Creates a payload from a complete body.
    pub fn from_bytes(buffered: Bytes) -> Payload {
        Payload {
            buffered,
            rest: None,
        }
    }

    /// Converts the payload into a body that yields the buffered bytes and then the rest.
    pub fn into_body(self) -> listen::Body {
        match self.rest {
            None => listen::full(self.buffered),
            Some(rest) => listen::Body::new(ChainedBody {
                buffered: Some(self.buffered),
                rest,
            }),
        }
    }
}

/// Body that yields buffered bytes before the rest of a stream.
#[derive(Debug)]
struct ChainedBody {
    buffered: Option<Bytes>,
    rest: body::Incoming,
}

impl body::Body for ChainedBody {
    type Data = Bytes;
    type Error = listen::BodyError;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<body::Frame<Bytes>, listen::BodyError>>> {
        if let Some(buffered) = self.buffered.take() {
            return task::Poll::Ready(Some(Ok(body::Frame::data(buffered))));
        }
        let polled = task::ready!(pin::Pin::new(&mut self.rest).poll_frame(cx));
        task::Poll::Ready(polled.map(|frame| frame.map_err(Into::into)))
    }

    fn size_hint(&self) -> body::SizeHint {
        let buffered = self.buffered.as_ref().map_or(0, Bytes::len) as u64;
        let rest = self.rest.size_hint();
        match rest.exact() {
            Some(rest) => body::SizeHint::with_exact(rest + buffered),
            None => body::SizeHint::default(),
        }
    }
}

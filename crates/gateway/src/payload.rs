//! Bodies of requests and responses: buffered up to a limit, streamed beyond it.

use crate::buffer;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body;
use hyper::body::Body;
use nutmegdale_rpc::listen;
use std::pin;
use std::sync;
use std::task;

/// Maximum number of bytes of a body that are buffered. Larger bodies are streamed, and a request
/// with such a body is not retried. See [`buffer`] for the limit of the whole process.
pub const BUFFERED_MAX_BYTES: usize = 1024 * 1024;

/// Maximum size of the parts in which a buffered body is passed on, in bytes. The next part leaves the
/// buffer once the connection has room for it, so the buffer is held, and counted, until then.
const PART_MAX_BYTES: usize = 32 * 1024;

/// Body that is buffered up to the limit.
#[derive(Debug)]
pub struct Payload {
    /// Bytes that were read into memory.
    pub buffered: Bytes,
    /// Remainder of a body that exceeds the limit.
    pub rest: Option<body::Incoming>,
    /// Share of the process's budget that the buffered bytes take.
    reservation: Option<buffer::Reservation>,
}

impl Payload {
    /// Reads a body up to the limit, or as far as the budget of the process allows.
    ///
    /// # Errors
    ///
    /// Returns the error of the connection if the body ends prematurely.
    pub async fn read(
        mut incoming: body::Incoming,
        budget: &sync::Arc<buffer::Budget>,
    ) -> Result<Payload, hyper::Error> {
        let mut reservation = buffer::Reservation::new(budget);
        let expected = incoming.size_hint().lower();
        let expected = usize::try_from(expected).unwrap_or(BUFFERED_MAX_BYTES);
        let expected = expected.min(BUFFERED_MAX_BYTES);
        let capacity = match reservation.extend_to(expected) {
            true => expected,
            false => buffer::FREE_BYTES,
        };
        let mut buf = BytesMut::with_capacity(capacity);
        let mut is_whole = false;
        while !is_whole && buf.len() < BUFFERED_MAX_BYTES && reservation.extend_to(buf.len() + 1) {
            match incoming.frame().await {
                None => is_whole = true,
                Some(frame) => {
                    if let Ok(data) = frame?.into_data() {
                        buf.extend_from_slice(&data);
                    }
                }
            }
        }
        Ok(Payload {
            buffered: buf.freeze(),
            rest: (!is_whole).then_some(incoming),
            reservation: Some(reservation),
        })
    }

    /// Creates a payload from a complete body.
    pub fn from_bytes(buffered: Bytes) -> Payload {
        Payload {
            buffered,
            rest: None,
            reservation: None,
        }
    }

    /// Returns the number of bytes of the body, or of what is known of them.
    pub fn len_hint(&self) -> u64 {
        let rest = self
            .rest
            .as_ref()
            .map_or(0, |rest| rest.size_hint().lower());
        self.buffered.len() as u64 + rest
    }

    /// Returns whether the body is passed on as one part.
    pub fn is_one_part(&self) -> bool {
        self.rest.is_none() && self.buffered.len() <= PART_MAX_BYTES
    }

    /// Converts the payload into a body that yields the buffered bytes and then the rest.
    pub fn into_body(self) -> listen::Body {
        if self.is_one_part() {
            return listen::full(self.buffered);
        }
        listen::Body::new(ChainedBody {
            buffered: self.buffered,
            rest: self.rest,
            _reservation: self.reservation,
        })
    }
}

/// Body that yields buffered bytes before the rest of a stream.
#[derive(Debug)]
struct ChainedBody {
    buffered: Bytes,
    rest: Option<body::Incoming>,
    _reservation: Option<buffer::Reservation>,
}

impl body::Body for ChainedBody {
    type Data = Bytes;
    type Error = listen::BodyError;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<body::Frame<Bytes>, listen::BodyError>>> {
        if !self.buffered.is_empty() {
            let len = self.buffered.len().min(PART_MAX_BYTES);
            let part = self.buffered.split_to(len);
            return task::Poll::Ready(Some(Ok(body::Frame::data(part))));
        }
        let Some(rest) = &mut self.rest else {
            return task::Poll::Ready(None);
        };
        let polled = task::ready!(pin::Pin::new(rest).poll_frame(cx));
        task::Poll::Ready(polled.map(|frame| frame.map_err(Into::into)))
    }

    fn is_end_stream(&self) -> bool {
        self.buffered.is_empty() && self.rest.as_ref().is_none_or(body::Body::is_end_stream)
    }

    fn size_hint(&self) -> body::SizeHint {
        let buffered = self.buffered.len() as u64;
        let rest = match &self.rest {
            None => Some(0),
            Some(rest) => rest.size_hint().exact(),
        };
        match rest {
            Some(rest) => body::SizeHint::with_exact(rest + buffered),
            None => body::SizeHint::default(),
        }
    }
}

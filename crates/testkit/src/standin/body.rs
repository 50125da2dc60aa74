//! Response bodies of a stand-in.

use bytes::Bytes;
use hyper::body;
use nutmegdale_rpc::listen;
use std::pin;
use std::task;

/// Size of one chunk of a streamed body.
const CHUNK_BYTES: usize = 64 * 1024;
static CHUNK: [u8; CHUNK_BYTES] = [b'x'; CHUNK_BYTES];

/// Returns a body of `size` bytes that is streamed in chunks.
pub(super) fn sized(size: u64) -> listen::Body {
    listen::Body::new(Sized { remaining: size })
}

/// Returns a body that fails, which closes the connection.
pub(super) fn broken() -> listen::Body {
    listen::Body::new(Broken)
}

struct Sized {
    remaining: u64,
}

impl body::Body for Sized {
    type Data = Bytes;
    type Error = listen::BodyError;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        _cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<body::Frame<Bytes>, listen::BodyError>>> {
        let size = self.remaining.min(CHUNK_BYTES as u64);
        if size == 0 {
            return task::Poll::Ready(None);
        }
        self.remaining -= size;
        let chunk = Bytes::from_static(&CHUNK[..size as usize]);
        task::Poll::Ready(Some(Ok(body::Frame::data(chunk))))
    }

    fn is_end_stream(&self) -> bool {
        self.remaining == 0
    }

    fn size_hint(&self) -> body::SizeHint {
        body::SizeHint::with_exact(self.remaining)
    }
}

struct Broken;

impl body::Body for Broken {
    type Data = Bytes;
    type Error = listen::BodyError;

    fn poll_frame(
        self: pin::Pin<&mut Self>,
        _cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<body::Frame<Bytes>, listen::BodyError>>> {
        task::Poll::Ready(Some(Err("connection closed on purpose".into())))
    }
}

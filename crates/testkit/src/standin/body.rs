//! Bodies of a stand-in's answers.

use bytes::Bytes;
use hyper::body;
use nutmegdale_rpc::listen;
use std::pin;
use std::task;

/// Bytes of one piece of a streamed body.
const PIECE_BYTES: usize = 64 * 1024;
static PIECE: [u8; PIECE_BYTES] = [b'x'; PIECE_BYTES];

/// Returns a body of `size` bytes that is streamed in pieces.
pub(super) fn sized(size: u64) -> listen::Body {
    listen::Body::new(Sized { left: size })
}

/// Returns a body that breaks off, which closes the connection.
pub(super) fn broken() -> listen::Body {
    listen::Body::new(Broken)
}

struct Sized {
    left: u64,
}

impl body::Body for Sized {
    type Data = Bytes;
    type Error = listen::BodyError;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        _cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<body::Frame<Bytes>, listen::BodyError>>> {
        let size = self.left.min(PIECE_BYTES as u64);
        if size == 0 {
            return task::Poll::Ready(None);
        }
        self.left -= size;
        let piece = Bytes::from_static(&PIECE[..size as usize]);
        task::Poll::Ready(Some(Ok(body::Frame::data(piece))))
    }

    fn is_end_stream(&self) -> bool {
        self.left == 0
    }

    fn size_hint(&self) -> body::SizeHint {
        body::SizeHint::with_exact(self.left)
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
        task::Poll::Ready(Some(Err("broken off".into())))
    }
}

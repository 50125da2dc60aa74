//! Socket and response body that update the [`activity::Activity`] of their connection.

use super::{Body, BodyError, activity, stream};
use bytes::Bytes;
use hyper::body;
use hyper::rt;
use hyper_util::rt::TokioIo;
use std::io;
use std::pin;
use std::sync;
use std::task;

/// Socket that counts reads and writes.
pub(super) struct Socket {
    pub(super) io: TokioIo<stream::Stream<tokio::net::TcpStream>>,
    pub(super) activity: sync::Arc<activity::Activity>,
}

impl Socket {
    fn record_write(&self, polled: &task::Poll<io::Result<usize>>) {
        match polled {
            task::Poll::Ready(Ok(count)) => self.activity.on_write(Some(*count)),
            task::Poll::Ready(Err(_)) => {}
            task::Poll::Pending => self.activity.on_write(None),
        }
    }
}

impl rt::Read for Socket {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: rt::ReadBufCursor<'_>,
    ) -> task::Poll<io::Result<()>> {
        let polled = pin::Pin::new(&mut self.io).poll_read(cx, buf);
        if polled.is_ready() {
            self.activity.on_read();
        }
        polled
    }
}

impl rt::Write for Socket {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        let polled = pin::Pin::new(&mut self.io).poll_write(cx, buf);
        self.record_write(&polled);
        polled
    }

    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.io).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        let polled = pin::Pin::new(&mut self.io).poll_write_vectored(cx, bufs);
        self.record_write(&polled);
        polled
    }
}

/// Response body; its request counts as in flight until the body is dropped.
#[derive(Debug)]
pub(super) struct ResponseBody {
    pub(super) body: Body,
    pub(super) _in_flight: activity::InFlight,
}

impl body::Body for ResponseBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<body::Frame<Bytes>, BodyError>>> {
        pin::Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> body::SizeHint {
        self.body.size_hint()
    }
}

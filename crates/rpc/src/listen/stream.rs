//! Stream of a caller's connection that passes on one request at a time and reads ahead of it.
//!
//! All bytes are passed on unchanged and in order. The end of a head is found here; what follows it
//! is as the HTTP library decoded it, so both cannot disagree about where a request ends. Whenever
//! the library reads more than expected, everything is passed through from then on.

use super::{ahead, head};
use bytes::{Buf, BytesMut};
use std::io;
use std::pin;
use std::sync;
use std::task;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Maximum number of bytes that are read ahead: eight heads of usual size.
const AHEAD_MAX_BYTES: usize = 8 * 1024;

/// Position in the bytes that were passed on.
#[derive(Debug, Clone, Copy)]
enum Position {
    /// Within or before a head.
    Head(head::EndFinder),
    /// After a head and this many bytes behind it; the library has not yet asked for more.
    HeadEnd(u64),
    /// Within a body, before this many bytes of it.
    Body(u64),
    /// After a request, which may be unfinished.
    RequestEnd,
    /// Unknown, for the rest of the connection.
    Unknown,
}

/// Search for heads in the bytes that were read ahead.
#[derive(Debug, Default)]
struct Scan {
    /// Start of the head that is searched.
    start: usize,
    /// Number of bytes that were searched.
    searched: usize,
    finder: head::EndFinder,
    /// Whether a request that must not run early comes next.
    is_blocked: bool,
    /// Whether a request that ends the connection was found.
    is_last: bool,
}

/// Stream between a socket and the HTTP library.
#[allow(missing_debug_implementations)] // Holds a trait object.
pub(super) struct Stream<S> {
    inner: S,
    ahead: sync::Arc<ahead::Ahead>,
    position: Position,
    /// Number of heads that were passed on.
    heads_count: u64,
    /// Bytes that were read ahead.
    held: BytesMut,
    held_max_bytes: usize,
    scan: Scan,
}

impl<S: AsyncRead + Unpin> Stream<S> {
    pub(super) fn new(
        inner: S,
        ahead: sync::Arc<ahead::Ahead>,
        head_max_bytes: usize,
    ) -> Stream<S> {
        Stream {
            inner,
            ahead,
            position: Position::Head(head::EndFinder::default()),
            heads_count: 0,
            held: BytesMut::new(),
            held_max_bytes: AHEAD_MAX_BYTES.min(head_max_bytes),
            scan: Scan::default(),
        }
    }

    /// Returns the position after the head and `passed` bytes, now that the library has asked for more
    /// bytes.
    fn after_head(&self, passed: u64) -> Position {
        if self.ahead.activity.started_count() != self.heads_count {
            return Position::Unknown;
        }
        let length = self.ahead.activity.body_length();
        match length.and_then(|length| length.checked_sub(passed)) {
            Some(0) => Position::RequestEnd,
            Some(left) => Position::Body(left),
            None => Position::Unknown,
        }
    }

    /// Reads bytes for the library, from those that were read ahead if there are any. Bytes that
    /// `take` does not accept are kept.
    fn poll_pass(
        &mut self,
        cx: &mut task::Context<'_>,
        buf: &mut ReadBuf<'_>,
        take: impl FnOnce(&mut Self, &[u8]) -> usize,
    ) -> task::Poll<io::Result<()>> {
        if !self.held.is_empty() {
            let available = self.held.split_to(self.held.len().min(buf.remaining()));
            let taken = take(self, &available);
            buf.put_slice(&available[..taken]);
            // Splitting and joining adjacent parts of one buffer copies nothing.
            let mut rest = available;
            rest.advance(taken);
            rest.unsplit(std::mem::take(&mut self.held));
            self.held = rest;
            self.scan.pass(taken);
            return task::Poll::Ready(Ok(()));
        }
        let before = buf.filled().len();
        task::ready!(pin::Pin::new(&mut self.inner).poll_read(cx, buf))?;
        let taken = take(self, &buf.filled()[before..]);
        self.held.extend_from_slice(&buf.filled()[before + taken..]);
        buf.set_filled(before + taken);
        task::Poll::Ready(Ok(()))
    }

    /// Counts the bytes up to the end of the head, and those of the body if it seems to have one, as
    /// passed on; returns their number.
    fn pass_head(&mut self, mut finder: head::EndFinder, bytes: &[u8]) -> usize {
        let Some(end) = finder.find(bytes) else {
            self.position = Position::Head(finder);
            return bytes.len();
        };
        self.heads_count += 1;
        let mut behind = (bytes.len() - end) as u64;
        if behind > 0 {
            behind = behind.min(head::guess_body_length(&bytes[..end]));
        }
        self.position = Position::HeadEnd(behind);
        end + behind as usize
    }

    fn pass_body(&mut self, left: u64, bytes: &[u8]) -> usize {
        let taken = (bytes.len() as u64).min(left);
        self.position = match left - taken {
            0 => Position::RequestEnd,
            left => Position::Body(left),
        };
        taken as usize
    }

    /// Reads ahead while a request is unfinished. Completes only when the connection has ended or
    /// failed.
    fn poll_ahead(
        &mut self,
        cx: &mut task::Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        loop {
            self.start_ahead();
            let room = self.held_max_bytes.saturating_sub(self.held.len());
            if room == 0 {
                break;
            }
            let mut part = buf.take(room);
            let read = pin::Pin::new(&mut self.inner).poll_read(cx, &mut part);
            if read.is_pending() {
                break;
            }
            task::ready!(read)?;
            if part.filled().is_empty() {
                return task::Poll::Ready(Ok(()));
            }
            self.held.extend_from_slice(part.filled());
        }
        if !self.held.is_empty() {
            self.ahead.activity.wake_at_end(cx.waker());
        }
        task::Poll::Pending
    }

    /// Starts the work of those requests in the held bytes that may run now.
    fn start_ahead(&mut self) {
        let scan = &mut self.scan;
        while !scan.is_blocked
            && !scan.is_last
            && self.ahead.activity.may_be_followed()
            && self.ahead.may_start()
        {
            let Some(length) = scan.finder.find(&self.held[scan.searched..]) else {
                scan.searched = self.held.len();
                return;
            };
            let end = scan.searched + length;
            let parsed = head::parse(&self.held[scan.start..end]);
            let Some((req, follow)) = parsed else {
                scan.is_blocked = true;
                return;
            };
            if !self.ahead.try_start(req) {
                scan.is_blocked = true;
                return;
            }
            scan.is_last = follow == head::Follow::Nothing;
            (scan.start, scan.searched) = (end, end);
            scan.finder = head::EndFinder::default();
        }
    }
}

impl Scan {
    /// Notes that bytes at the start were passed on.
    fn pass(&mut self, count: usize) {
        if self.start >= count {
            self.start -= count;
            self.searched -= count;
            return;
        }
        // What was searched is now the current request.
        *self = Scan {
            is_last: self.is_last,
            ..Scan::default()
        };
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Stream<S> {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        let stream = &mut *self;
        if buf.remaining() == 0 {
            return task::Poll::Ready(Ok(()));
        }
        if let Position::HeadEnd(passed) = stream.position {
            stream.position = stream.after_head(passed);
        }
        if let Position::RequestEnd = stream.position {
            if !stream.ahead.activity.is_idle() {
                return stream.poll_ahead(cx, buf);
            }
            stream.position = Position::Head(head::EndFinder::default());
        }
        match stream.position {
            Position::Head(finder) => {
                stream.poll_pass(cx, buf, |stream, bytes| stream.pass_head(finder, bytes))
            }
            Position::Body(left) => {
                stream.poll_pass(cx, buf, |stream, bytes| stream.pass_body(left, bytes))
            }
            _ => stream.poll_pass(cx, buf, |_, bytes| bytes.len()),
        }
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Stream<S> {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        pin::Pin::new(&mut self.inner).poll_write(cx, buf)
    }

    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.inner).poll_flush(cx)
    }

    fn poll_shutdown(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.inner).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.inner.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        pin::Pin::new(&mut self.inner).poll_write_vectored(cx, bufs)
    }
}

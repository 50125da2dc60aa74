//! Progress of a large request body on its way to a server.
//!
//! A server may respond before it has read the body. The connection then carries no other request
//! until the body is through: its bytes would be taken for a part of the body, or wait behind it.

use crate::{payload, pool};
use bytes::Bytes;
use hyper::body;
use nutmegdale_base::clock;
use nutmegdale_rpc::listen;
use std::pin;
use std::task;
use std::time;
use tokio::sync::oneshot;

/// Tells whether a body has been passed to the connection to its end.
#[derive(Debug)]
pub(crate) struct Progress {
    /// Closed once the body is dropped; `None` for a body that is passed on as one part.
    ended: Option<oneshot::Receiver<()>>,
}

/// Returns the body of a payload and its progress.
pub(crate) fn track(payload: payload::Payload) -> (listen::Body, Progress) {
    if payload.is_one_part() {
        return (payload.into_body(), Progress { ended: None });
    }
    let (guard, ended) = oneshot::channel();
    let body = listen::Body::new(Tracked {
        body: payload.into_body(),
        _guard: guard,
    });
    (body, Progress { ended: Some(ended) })
}

impl Progress {
    /// Returns whether nothing of the body is left.
    pub(crate) fn is_complete(&mut self) -> bool {
        let ended = self.ended.as_mut();
        ended.is_none_or(|ended| ended.try_recv() == Err(oneshot::error::TryRecvError::Closed))
    }

    /// Keeps a connection open until the body is through, but not beyond `limit`. The server may be
    /// working on what it has read so far.
    pub(crate) fn finish(self, connection: pool::Connection, limit: clock::Millis) {
        let Some(ended) = self.ended else {
            return;
        };
        let limit = time::Duration::from_millis(limit.0);
        tokio::spawn(async move {
            if tokio::time::timeout(limit, ended).await.is_err() {
                connection.abort();
            }
        });
    }
}

/// Body whose end is noticed.
struct Tracked {
    body: listen::Body,
    _guard: oneshot::Sender<()>,
}

impl body::Body for Tracked {
    type Data = Bytes;
    type Error = listen::BodyError;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<body::Frame<Bytes>, listen::BodyError>>> {
        pin::Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> body::SizeHint {
        self.body.size_hint()
    }
}

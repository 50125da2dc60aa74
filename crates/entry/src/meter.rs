//! Body of an answer on its way to the caller: counts bytes against limits and slows bulk answers
//! that cross the link between regions.

use crate::check;
use bytes::Bytes;
use hyper::body;
use nutmegdale_admission::bulk;
use nutmegdale_base::clock;
use nutmegdale_rpc::listen;
use std::pin;
use std::sync;
use std::task;
use std::time;

/// Metered body; its admission ends with it.
pub struct Metered {
    inner: listen::Body,
    admitted: check::Admitted,
    clock: sync::Arc<dyn clock::Clock>,
    counts_bytes: bool,
    link: Option<sync::Arc<bulk::BulkLink>>,
    pause: Option<pin::Pin<Box<tokio::time::Sleep>>>,
}

impl std::fmt::Debug for Metered {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Metered")
            .field("admitted", &self.admitted)
            .finish_non_exhaustive()
    }
}

impl Metered {
    /// Wraps a body; `link` is given for bulk answers that cross regions.
    pub fn new(
        inner: listen::Body,
        admitted: check::Admitted,
        clock: sync::Arc<dyn clock::Clock>,
        link: Option<sync::Arc<bulk::BulkLink>>,
    ) -> Metered {
        Metered {
            counts_bytes: admitted.counts_bytes(),
            inner,
            admitted,
            clock,
            link,
            pause: None,
        }
    }

    fn count(&mut self, bytes: u64) {
        if self.counts_bytes {
            self.admitted.answered(self.clock.now(), bytes);
        }
        let Some(link) = &self.link else {
            return;
        };
        let pause = link.charge(self.clock.now(), bytes);
        if pause > clock::Millis::ZERO {
            let span = time::Duration::from_millis(pause.0);
            self.pause = Some(Box::pin(tokio::time::sleep(span)));
        }
    }
}

impl body::Body for Metered {
    type Data = Bytes;
    type Error = listen::BodyError;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<body::Frame<Bytes>, listen::BodyError>>> {
        if let Some(pause) = &mut self.pause {
            task::ready!(pause.as_mut().poll(cx));
            self.pause = None;
        }
        let frame = task::ready!(pin::Pin::new(&mut self.inner).poll_frame(cx));
        if let Some(Ok(frame)) = &frame
            && let Some(data) = frame.data_ref()
        {
            self.count(data.len() as u64);
        }
        task::Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> body::SizeHint {
        self.inner.size_hint()
    }
}

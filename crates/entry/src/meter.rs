//! Response body that charges its bytes to rate limits and throttles bulk responses that cross the
//! link between regions.

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

/// Metered response body. It holds the admission guard, so both are dropped together.
pub struct MeteredBody {
    inner: listen::Body,
    admission: check::AdmissionGuard,
    clock: sync::Arc<dyn clock::Clock>,
    counts_bytes: bool,
    bulk_link: Option<sync::Arc<bulk::BulkLink>>,
    delay: Option<pin::Pin<Box<tokio::time::Sleep>>>,
}

impl std::fmt::Debug for MeteredBody {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("MeteredBody")
            .field("admission", &self.admission)
            .finish_non_exhaustive()
    }
}

impl MeteredBody {
    /// Wraps a body; `bulk_link` is set for bulk responses that cross regions.
    pub fn new(
        inner: listen::Body,
        admission: check::AdmissionGuard,
        clock: sync::Arc<dyn clock::Clock>,
        bulk_link: Option<sync::Arc<bulk::BulkLink>>,
    ) -> MeteredBody {
        MeteredBody {
            counts_bytes: admission.counts_bytes(),
            inner,
            admission,
            clock,
            bulk_link,
            delay: None,
        }
    }

    fn count(&mut self, bytes: u64) {
        if self.counts_bytes {
            self.admission.count_response_bytes(self.clock.now(), bytes);
        }
        let Some(bulk_link) = &self.bulk_link else {
            return;
        };
        let delay = bulk_link.charge(self.clock.now(), bytes);
        if delay > clock::Millis::ZERO {
            let duration = time::Duration::from_millis(delay.0);
            self.delay = Some(Box::pin(tokio::time::sleep(duration)));
        }
    }
}

impl body::Body for MeteredBody {
    type Data = Bytes;
    type Error = listen::BodyError;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<body::Frame<Bytes>, listen::BodyError>>> {
        if let Some(delay) = &mut self.delay {
            task::ready!(delay.as_mut().poll(cx));
            self.delay = None;
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

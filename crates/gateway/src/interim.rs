//! Limits the interim responses (1xx) that a server may send before its response.
//!
//! The HTTP library drops them and reads on, so a server that sends nothing else would keep the
//! processor busy until the timeout of the request.

use std::sync;
use std::sync::atomic;
use tokio::sync::Notify;

/// Maximum number of interim responses to one request. Servers usually send one at most.
const RESPONSES_MAX_COUNT: usize = 16;

/// Limit on the interim responses to one request.
#[derive(Debug, Default)]
pub(crate) struct Limit {
    count: atomic::AtomicUsize,
    exceeded: Notify,
}

impl Limit {
    /// Counts the interim responses to `req` from now on.
    pub(crate) fn watch<B>(req: &mut hyper::Request<B>) -> sync::Arc<Limit> {
        let limit = sync::Arc::new(Limit::default());
        let counted = sync::Arc::clone(&limit);
        hyper::ext::on_informational(req, move |_| counted.record());
        limit
    }

    fn record(&self) {
        if self.count.fetch_add(1, atomic::Ordering::Relaxed) == RESPONSES_MAX_COUNT {
            self.exceeded.notify_one();
        }
    }

    /// Waits until the server has sent more interim responses than it may.
    pub(crate) async fn exceeded(&self) {
        self.exceeded.notified().await;
    }
}

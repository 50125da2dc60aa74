//! Decides which pipelined requests start while earlier ones of their connection are unfinished.

use crate::{metrics, proxy, state};
use nutmegdale_base::clock;
use std::sync;

/// Pipelined request that was started early, until its response is ready.
pub(crate) struct Early {
    shared: sync::Arc<state::Shared>,
    /// Time at which its head was read.
    pub(crate) started: clock::Millis,
    is_complete: bool,
}

impl Early {
    /// Starts a request unless it must wait for its turn: its route may not run twice, since its
    /// caller sends it again if the connection ends first, or this process is stopping.
    pub(crate) fn try_start(
        shared: &sync::Arc<state::Shared>,
        req: &hyper::Request<()>,
    ) -> Option<Early> {
        if shared.is_stopping() {
            return None;
        }
        let table = shared.table.load();
        let route = table.route(proxy::host_of(req.headers()), req.uri().path())?;
        if !route.spec.class.is_idempotent() {
            return None;
        }
        metrics::increment(&shared.metrics.pipelined);
        Some(Early {
            shared: sync::Arc::clone(shared),
            started: shared.clock.now(),
            is_complete: false,
        })
    }

    /// Notes that the response is ready.
    pub(crate) fn complete(&mut self) {
        self.is_complete = true;
    }
}

impl Drop for Early {
    fn drop(&mut self) {
        if !self.is_complete {
            metrics::increment(&self.shared.metrics.pipelined_cancelled);
        }
    }
}

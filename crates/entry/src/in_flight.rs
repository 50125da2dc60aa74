//! Guard of one request in flight at a server, which records its load, latency and failure.

use crate::state;
use nutmegdale_base::clock;
use nutmegdale_choice::report;
use nutmegdale_grants::{REQUEST_MAX_MS, lease};
use std::pin;
use std::sync;
use std::time;

/// Time for which a cancelled request still counts as in flight at a cold server, which notices the
/// cancellation only by the closed connection.
const CANCEL_DELAY_MS: u64 = 1_000;
/// Timeout of a request at a cold server. With the delay until the server has noticed a
/// cancellation, it stays within the time that the leader allows for requests under a grant.
pub const COLD_REQUEST_TIMEOUT_MS: clock::Millis =
    clock::Millis(REQUEST_MAX_MS.0 - CANCEL_DELAY_MS);

/// Request in flight, counted from the server selection to the end of the response.
pub struct InFlight {
    /// State of the server.
    pub server: sync::Arc<state::Server>,
    /// Clock of the process.
    pub clock: sync::Arc<dyn clock::Clock>,
    lease: Option<sync::Arc<lease::Lease>>,
    started: time::Instant,
    is_sampled: bool,
    is_ended: bool,
    state_reported: sync::Arc<tokio::sync::Notify>,
}

impl std::fmt::Debug for InFlight {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("InFlight")
            .field("server", &self.server)
            .finish_non_exhaustive()
    }
}

impl InFlight {
    /// Counts a request as in flight; `lease` is the lease of a cold server that it was counted under.
    pub fn begin(
        server: &sync::Arc<state::Server>,
        clock: &sync::Arc<dyn clock::Clock>,
        lease: Option<sync::Arc<lease::Lease>>,
        state_reported: &sync::Arc<tokio::sync::Notify>,
    ) -> InFlight {
        server.signal.begin();
        InFlight {
            server: sync::Arc::clone(server),
            clock: sync::Arc::clone(clock),
            lease,
            started: time::Instant::now(),
            is_sampled: false,
            is_ended: false,
            state_reported: sync::Arc::clone(state_reported),
        }
    }

    /// Returns the time of the process's clock.
    pub fn now(&self) -> clock::Millis {
        self.clock.now()
    }

    /// Returns the time since the request began, in microseconds.
    pub fn elapsed_us(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_micros()).unwrap_or(u64::MAX)
    }

    /// Returns a timer for [`COLD_REQUEST_TIMEOUT_MS`], or `None` if the server is warm.
    pub fn cold_timeout(&self) -> Option<pin::Pin<Box<tokio::time::Sleep>>> {
        self.lease.as_ref()?;
        let end = self.started + time::Duration::from_millis(COLD_REQUEST_TIMEOUT_MS.0);
        Some(Box::pin(tokio::time::sleep_until(end.into())))
    }

    /// Records the load report of a response. A state change that the leader may not know of, of a
    /// warm server to cold or of one under a lease to warm, triggers a sync.
    pub fn record_load_report(&self, report: Option<report::Report>) {
        let Some(report) = report else {
            return;
        };
        let was_cold = self.server.signal.is_reported_cold();
        self.server.signal.record_report(self.now(), &report);
        let is_cold = report.state == Some(report::State::Cold);
        let is_new_state = match self.lease {
            None => is_cold && !was_cold,
            Some(_) => !is_cold && was_cold,
        };
        if is_new_state {
            self.state_reported.notify_one();
        }
    }

    /// Records a success, with the time to the response head as a latency sample.
    pub fn record_success(&mut self) {
        self.is_sampled = true;
        self.server
            .signal
            .record_success(self.now(), self.elapsed_us());
    }

    /// Records a failure.
    pub fn record_failure(&mut self) {
        self.is_sampled = true;
        self.server.signal.record_failure(self.now());
    }

    /// Marks the request as not run: nothing was sent, or the server refused it. No latency is
    /// sampled.
    pub fn mark_not_run(&mut self) {
        self.is_sampled = true;
        self.is_ended = true;
    }

    /// Marks the end of the response: the server no longer works on the request.
    pub fn mark_ended(&mut self) {
        self.is_ended = true;
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        if !self.is_sampled {
            self.server
                .signal
                .record_cancellation(self.now(), self.elapsed_us());
        }
        self.server.signal.end();
        let Some(lease) = self.lease.take() else {
            return;
        };
        if self.is_ended {
            lease.end();
        } else if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(async move {
                tokio::time::sleep(time::Duration::from_millis(CANCEL_DELAY_MS)).await;
                lease.end();
            });
        }
        // Without a runtime the process is exiting, and its leases end with it.
    }
}

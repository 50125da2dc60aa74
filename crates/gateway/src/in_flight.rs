//! Guard of a request in flight: what its server's load and health statistics learn from it.

use crate::{attempt, backend, dialect, metrics, rollouts, state};
use nutmegdale_base::clock;
use nutmegdale_dispatch::{health, signal};
use std::sync;

/// Time beyond twice the predicted response time after which a missing response counts as a
/// failure of the server.
const SILENCE_SLACK_MS: clock::Millis = clock::Millis(150);

/// Guard that counts a request as in flight at a server until it is dropped. If the attempt was
/// abandoned, the drop records how long the server had not responded.
#[derive(Debug)]
pub(crate) struct InFlight {
    shared: SharedState,
    backend: sync::Arc<backend::Backend>,
    pub(crate) started: clock::Millis,
    silence_timeout: clock::Millis,
    /// Response time that the server's load reports predict, in milliseconds.
    uncorrected_ms: f64,
    pub(crate) is_written: bool,
    /// Whether the result is known, so that the drop records nothing.
    pub(crate) is_settled: bool,
    /// Recorder of what the attempt says about the version of its server.
    observer: Option<rollouts::Observer>,
}

/// Wrapper that implements `Debug`, since the state holds trait objects.
struct SharedState(sync::Arc<state::Shared>);

impl std::fmt::Debug for SharedState {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Shared")
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.backend.signal.end();
        let elapsed = self.shared.0.clock.now().since(self.started);
        // The elapsed time of an abandoned attempt is a lower bound of its response time.
        if self.is_written && !self.is_settled && elapsed.0 as f64 > self.uncorrected_ms {
            self.record_response_time(elapsed);
            if let Some(observer) = &self.observer {
                observer.record_abandoned(elapsed, self.slowdown_percent());
            }
        }
        if self.is_written && !self.is_settled && elapsed > self.silence_timeout {
            let failure = health::Failure::Silence;
            self.shared
                .0
                .record_failure(&self.backend, failure, "request");
            self.backend.pool.invalidate();
        }
    }
}

impl InFlight {
    pub(crate) fn begin(shared: &sync::Arc<state::Shared>, attempt: &attempt::Attempt) -> InFlight {
        let silence_timeout =
            clock::Millis((attempt.prediction.response_ms * 2.0) as u64) + SILENCE_SLACK_MS;
        attempt.backend.signal.begin();
        InFlight {
            shared: SharedState(sync::Arc::clone(shared)),
            backend: sync::Arc::clone(&attempt.backend),
            started: shared.clock.now(),
            silence_timeout,
            uncorrected_ms: attempt.prediction.uncorrected_ms,
            is_written: false,
            is_settled: false,
            observer: attempt.observer.clone(),
        }
    }

    pub(crate) fn now(&self) -> clock::Millis {
        self.shared.0.clock.now()
    }

    fn slowdown_percent(&self) -> u32 {
        let last = self.backend.signal.last_report(self.now());
        last.map_or(signal::NO_SLOWDOWN_PERCENT, |aged| aged.slowdown_percent)
    }

    /// Records a broken response as evidence on the version of the server.
    pub(crate) fn observe_failure(&self) {
        if let Some(observer) = &self.observer {
            observer.record_failure();
        }
    }

    fn record_response_time(&self, elapsed: clock::Millis) {
        let signal = &self.backend.signal;
        signal.record_response_time(self.now(), elapsed.0 as f64, self.uncorrected_ms);
    }

    pub(crate) fn record_failure(&mut self, failure: health::Failure) {
        self.is_settled = true;
        self.shared
            .0
            .record_failure(&self.backend, failure, "request");
    }

    /// Records that the server rejected the request. This counts as a failure only if the server
    /// reports free slots and gives no time for which it wants no requests, and if it is not one of
    /// several that reject a part of their requests.
    pub(crate) fn record_refusal(&mut self, metadata: &dialect::Response<'_>) {
        self.is_settled = true;
        match metadata.report {
            Some(_) if metadata.backoff.is_some() || metadata.is_leaving => {}
            Some(report) if report.running < report.slots => {
                let shedding = &self.backend.history.shedding;
                let (server, streak) = (self.backend.position, &self.backend.streak);
                match shedding.record(self.now(), server, streak) {
                    true => self.record_failure(health::Failure::Answer),
                    false => metrics::increment(&self.shared.0.metrics.rejections_shed),
                }
            }
            Some(_) => {}
            None => self.backend.signal.record_full(self.now()),
        }
    }

    /// Records that the server closed the connection before the request was written. It closes new
    /// connections when it is full.
    pub(crate) fn record_unserved(&mut self, is_reused: bool) {
        self.is_settled = true;
        if !is_reused {
            self.backend.signal.record_full(self.now());
            self.backend.connect_hold.record_unserved(self.now());
        }
    }

    /// Records a complete response of the server.
    pub(crate) fn record_response(&mut self, status: hyper::StatusCode) {
        self.is_settled = true;
        self.backend.connect_hold.record_served();
        if status.is_server_error() {
            self.observe_failure();
            self.record_failure(health::Failure::Answer);
            return;
        }
        if let Some(observer) = &self.observer {
            let elapsed = self.now().since(self.started);
            observer.record_served(elapsed, self.slowdown_percent());
        }
        self.backend.health.record_success();
        self.backend.streak.end();
        self.record_response_time(self.now().since(self.started));
    }

    pub(crate) fn record_load(&self, metadata: &dialect::Response<'_>) {
        if let Some(report) = metadata.report {
            let own_in_flight = self.backend.signal.in_flight();
            self.backend
                .signal
                .record_report(self.now(), report, own_in_flight);
        }
        if let Some(left) = metadata
            .cold_left
            .filter(|left| *left > clock::Millis::ZERO)
        {
            self.backend.extend_cold_until(self.now() + left);
        }
    }
}

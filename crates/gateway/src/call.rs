//! State of one request, and the responses that the gateway generates itself.

use crate::{decisions, state};
use hyper::header;
use nutmegdale_accounts::account;
use nutmegdale_base::{clock, outcome};
use nutmegdale_rpc::listen;
use std::sync;

/// Time before the deadline at which the final response is sent, so that it arrives in time.
pub(crate) const DEADLINE_MARGIN_MS: clock::Millis = clock::Millis(8);

/// Request that is in progress.
pub(crate) struct Call<'a> {
    pub(crate) shared: &'a sync::Arc<state::Shared>,
    pub(crate) started: clock::Millis,
    pub(crate) deadline: clock::Millis,
    pub(crate) request_id: sync::Arc<str>,
    /// Client account of the caller, once it is identified.
    pub(crate) account: Option<sync::Arc<account::Account>>,
    pub(crate) trace: decisions::Trace,
}

/// Final response to a request, with its outcome for logs and metrics.
pub(crate) struct FinalResponse {
    pub(crate) response: hyper::Response<listen::Body>,
    pub(crate) outcome: outcome::Outcome,
}

impl Call<'_> {
    /// Returns the time since the head of the request was read.
    pub(crate) fn elapsed(&self) -> clock::Millis {
        self.shared.clock.now().since(self.started)
    }

    /// Returns the time until the final response is due.
    pub(crate) fn time_left(&self) -> clock::Millis {
        self.deadline.since(self.shared.clock.now())
    }

    /// Returns a response that the gateway generates itself, with a `retry-after` header if
    /// `retry_after` is given.
    pub(crate) fn local_response(
        &self,
        status: hyper::StatusCode,
        outcome: outcome::Outcome,
        retry_after: Option<clock::Millis>,
    ) -> FinalResponse {
        let mut response = hyper::Response::new(listen::full(""));
        *response.status_mut() = status;
        let headers = response.headers_mut();
        self.shared
            .dialect
            .prepare_local_response(headers, Some(&self.request_id));
        if let Some(after) = retry_after {
            let secs = format!("{:.3}", after.0 as f64 / 1000.0);
            if let Ok(value) = header::HeaderValue::from_str(&secs) {
                headers.insert(header::RETRY_AFTER, value);
            }
        }
        FinalResponse { response, outcome }
    }

    /// Returns the response to a request that no server has run.
    pub(crate) fn not_run(
        &self,
        reason: outcome::Reason,
        retry_after: Option<clock::Millis>,
    ) -> FinalResponse {
        let outcome = outcome::Outcome::NotRun(reason);
        self.local_response(hyper::StatusCode::SERVICE_UNAVAILABLE, outcome, retry_after)
    }

    /// Returns the response to a request that is banned, which has not run and need not come again.
    pub(crate) fn banned(&self) -> FinalResponse {
        let outcome = outcome::Outcome::NotRun(outcome::Reason::CrashesServers);
        self.local_response(hyper::StatusCode::BAD_REQUEST, outcome, None)
    }

    /// Returns the response to a request that a server may have run.
    pub(crate) fn unknown(&self, reason: outcome::Reason) -> FinalResponse {
        let status = match reason {
            outcome::Reason::Deadline => hyper::StatusCode::GATEWAY_TIMEOUT,
            _ => hyper::StatusCode::BAD_GATEWAY,
        };
        self.local_response(status, outcome::Outcome::Unknown(reason), None)
    }
}

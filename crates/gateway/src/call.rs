//! One request that is being served: its times, its trail and its refusals.

use crate::{decisions, state};
use hyper::header;
use nutmegdale_base::{clock, outcome};
use nutmegdale_rpc::listen;
use std::sync;

/// Time before the deadline at which the final answer is made, so that it still arrives.
pub(crate) const MARGIN_MS: clock::Millis = clock::Millis(8);

/// Request that is being served.
pub(crate) struct Call<'a> {
    pub(crate) shared: &'a sync::Arc<state::Shared>,
    pub(crate) started: clock::Millis,
    pub(crate) deadline: clock::Millis,
    pub(crate) id: sync::Arc<str>,
    pub(crate) trail: decisions::Trail,
}

/// Final answer of a request.
pub(crate) struct Final {
    pub(crate) response: hyper::Response<listen::Body>,
    pub(crate) outcome: outcome::Outcome,
}

impl Call<'_> {
    /// Returns the time since the head of the request was read.
    pub(crate) fn passed(&self) -> clock::Millis {
        self.shared.clock.now().since(self.started)
    }

    /// Returns the time until the final answer is due.
    pub(crate) fn left(&self) -> clock::Millis {
        self.deadline.since(self.shared.clock.now())
    }

    /// Returns an answer of our own, with a time to return if one is known.
    pub(crate) fn refuse(
        &self,
        status: hyper::StatusCode,
        outcome: outcome::Outcome,
        after: Option<clock::Millis>,
    ) -> Final {
        let mut response = hyper::Response::new(listen::full(""));
        *response.status_mut() = status;
        let headers = response.headers_mut();
        self.shared
            .dialect
            .prepare_local_response(headers, Some(&self.id));
        if let Some(after) = after {
            let secs = format!("{:.3}", after.0 as f64 / 1000.0);
            if let Ok(value) = header::HeaderValue::from_str(&secs) {
                headers.insert(header::RETRY_AFTER, value);
            }
        }
        Final { response, outcome }
    }

    /// Returns the answer to a request that no server has run.
    pub(crate) fn not_run(&self, reason: outcome::Reason, after: Option<clock::Millis>) -> Final {
        let outcome = outcome::Outcome::NotRun(reason);
        self.refuse(hyper::StatusCode::SERVICE_UNAVAILABLE, outcome, after)
    }

    /// Returns the answer to a request that a server may have run.
    pub(crate) fn unknown(&self, reason: outcome::Reason) -> Final {
        let status = match reason {
            outcome::Reason::Deadline => hyper::StatusCode::GATEWAY_TIMEOUT,
            _ => hyper::StatusCode::BAD_GATEWAY,
        };
        self.refuse(status, outcome::Outcome::Unknown(reason), None)
    }
}

//! Handles the requests of a stand-in.

use super::behaviour;
use super::body as bodies;
use super::counts;
use super::shared;
use http_body_util::BodyExt;
use hyper::body;
use nutmegdale_base::header;
use nutmegdale_membership::announcement;
use nutmegdale_rpc::listen;
use std::time;

/// Header with the number of the execution, counted per stand-in.
const EXECUTION: &str = "standin-execution";

/// Counts a request as cancelled if the future of its answer is dropped early, which happens when the
/// client disconnects.
struct CancelGuard<'a> {
    cancelled: Option<&'a counts::Counter>,
}

impl Drop for CancelGuard<'_> {
    fn drop(&mut self) {
        if let Some(cancelled) = self.cancelled {
            cancelled.add_one();
        }
    }
}

impl shared::Shared {
    pub(super) async fn answer(
        &self,
        req: hyper::Request<body::Incoming>,
    ) -> hyper::Response<listen::Body> {
        let mut guard = CancelGuard {
            cancelled: Some(&self.counts.cancelled),
        };
        let mut response = self.admit(req).await;
        guard.cancelled = None;
        if let Some(load) = self.reported_load() {
            let value = load
                .to_string()
                .parse()
                .expect("load is a valid header value");
            response.headers_mut().insert(header::LOAD, value);
        }
        response
    }

    async fn admit(&self, req: hyper::Request<body::Incoming>) -> hyper::Response<listen::Body> {
        let behaviour = self.behaviour();
        self.record_late_arrival();
        if behaviour.sheds {
            return self.refuse("shed");
        }
        if behaviour.fails {
            let number = self.record_execution(&behaviour, &req);
            return status(hyper::StatusCode::INTERNAL_SERVER_ERROR, "failed", number);
        }
        let _in_system = self.counts.in_system.enter();
        let is_cold = behaviour.state == announcement::ServerState::Cold;
        let _in_system_cold = is_cold.then(|| self.counts.in_system_cold.enter());
        if is_cold && self.counts.in_system_cold.current() > self.limits.cold_slots {
            self.collapse(behaviour.collapse_time);
        }
        let waiting = self
            .counts
            .in_system
            .current()
            .saturating_sub(self.counts.running.current());
        if waiting > behaviour.queue_max_count + 1 {
            return self.refuse("queue is full");
        }
        let deadline = deadline(&req);
        let Ok(slot) = tokio::time::timeout_at(deadline, self.slots.acquire()).await else {
            return self.refuse("deadline passed in the queue");
        };
        let _slot = slot.expect("slots are never closed");
        let number = self.record_execution(&behaviour, &req);
        let running = self.counts.running.enter();
        let result = tokio::time::timeout_at(deadline, self.run(&behaviour, req)).await;
        drop(running);
        match result {
            Ok(mut response) => {
                set_execution_number(&mut response, number);
                response
            }
            Err(_) => {
                self.counts.expired.add_one();
                status(hyper::StatusCode::GATEWAY_TIMEOUT, "deadline", number)
            }
        }
    }

    async fn run(
        &self,
        behaviour: &behaviour::Behaviour,
        req: hyper::Request<body::Incoming>,
    ) -> hyper::Response<listen::Body> {
        let path = req.uri().path().to_owned();
        let body_bytes = body_bytes_of(req.uri().query().unwrap_or(""));
        let size = match req.into_body().collect().await {
            Ok(collected) => collected.to_bytes().len(),
            Err(_) => return hyper::Response::new(bodies::broken()),
        };
        if !behaviour.service_time.is_zero() {
            tokio::time::sleep(behaviour.service_time).await;
        }
        while let Some(until) = self.collapsed_until() {
            tokio::time::sleep_until(until.into()).await;
        }
        self.warm_up();
        if behaviour.breaks {
            return hyper::Response::new(bodies::broken());
        }
        match body_bytes {
            Some(size) => hyper::Response::new(bodies::sized(size)),
            None => {
                let text = format!("{} {path} {size}", self.limits.server);
                hyper::Response::new(listen::full(text))
            }
        }
    }

    fn refuse(&self, text: &'static str) -> hyper::Response<listen::Body> {
        self.counts.refused.add_one();
        let mut response = hyper::Response::new(listen::full(text));
        *response.status_mut() = hyper::StatusCode::SERVICE_UNAVAILABLE;
        let value = hyper::header::HeaderValue::from_static("not-run");
        response.headers_mut().insert(header::REFUSED, value);
        response
    }

    fn record_execution(
        &self,
        behaviour: &behaviour::Behaviour,
        req: &hyper::Request<body::Incoming>,
    ) -> u64 {
        if behaviour.keeps_executions {
            self.counts.add_execution(counts::Execution {
                request_id: header_text(req, header::REQUEST_ID).to_owned(),
                key: header_text(req, header::IDEMPOTENCY_KEY).to_owned(),
                path: req.uri().path().to_owned(),
            });
        }
        self.counts.executed.add_one()
    }
}

fn header_text<'a>(req: &'a hyper::Request<body::Incoming>, name: &str) -> &'a str {
    let value = req.headers().get(name);
    value.and_then(|value| value.to_str().ok()).unwrap_or("")
}

fn deadline(req: &hyper::Request<body::Incoming>) -> tokio::time::Instant {
    // A request without a deadline gets an hour.
    let ms = header_text(req, header::DEADLINE_MS)
        .parse()
        .unwrap_or(3_600_000);
    tokio::time::Instant::now() + time::Duration::from_millis(ms)
}

/// Returns the body size that a query such as `bytes=16384` requests.
fn body_bytes_of(query: &str) -> Option<u64> {
    let mut pairs = query.split('&');
    pairs
        .find_map(|pair| pair.strip_prefix("bytes="))?
        .parse()
        .ok()
}

fn status(
    status: hyper::StatusCode,
    text: &'static str,
    number: u64,
) -> hyper::Response<listen::Body> {
    let mut response = hyper::Response::new(listen::full(text));
    *response.status_mut() = status;
    set_execution_number(&mut response, number);
    response
}

fn set_execution_number(response: &mut hyper::Response<listen::Body>, number: u64) {
    response.headers_mut().insert(EXECUTION, number.into());
}

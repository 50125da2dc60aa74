//! Path of one request through a stand-in.

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

/// Header that numbers the executions of one stand-in.
const EXECUTION: &str = "standin-execution";

/// Counts a request whose client goes away: the future of its answer is then dropped early.
struct Unanswered<'a> {
    cancelled: Option<&'a counts::Counter>,
}

impl Drop for Unanswered<'_> {
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
        let mut unanswered = Unanswered {
            cancelled: Some(&self.counts.cancelled),
        };
        let mut response = self.admit(req).await;
        unanswered.cancelled = None;
        if let Some(load) = self.reported() {
            let value = load.to_string().parse().expect("load is a header value");
            response.headers_mut().insert(header::LOAD, value);
        }
        response
    }

    async fn admit(&self, req: hyper::Request<body::Incoming>) -> hyper::Response<listen::Body> {
        let behaviour = self.behaviour();
        self.count_late();
        if behaviour.sheds {
            return self.refuse("shed");
        }
        if behaviour.fails {
            let number = self.count(&behaviour, &req);
            return status(hyper::StatusCode::INTERNAL_SERVER_ERROR, "failed", number);
        }
        let _present = self.counts.present.enter();
        let is_cold = behaviour.state == announcement::ServerState::Cold;
        let _present_cold = is_cold.then(|| self.counts.present_cold.enter());
        if is_cold && self.counts.present_cold.now() > self.limits.cold_slots {
            self.collapse(behaviour.collapse_time);
        }
        let waiting = self
            .counts
            .present
            .now()
            .saturating_sub(self.counts.running.now());
        if waiting > behaviour.queue_max_count + 1 {
            return self.refuse("queue is full");
        }
        let deadline = deadline(&req);
        let Ok(slot) = tokio::time::timeout_at(deadline, self.slots.acquire()).await else {
            return self.refuse("deadline passed in the queue");
        };
        let _slot = slot.expect("slots are never closed");
        let number = self.count(&behaviour, &req);
        let running = self.counts.running.enter();
        let ran = tokio::time::timeout_at(deadline, self.run(&behaviour, req)).await;
        drop(running);
        match ran {
            Ok(mut response) => {
                number_answer(&mut response, number);
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
        let wanted = wanted_bytes(req.uri().query().unwrap_or(""));
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
        match wanted {
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

    fn count(&self, behaviour: &behaviour::Behaviour, req: &hyper::Request<body::Incoming>) -> u64 {
        if behaviour.keeps_executions {
            self.counts.add_execution(counts::Execution {
                request_id: text_of(req, header::REQUEST_ID).to_owned(),
                key: text_of(req, header::IDEMPOTENCY_KEY).to_owned(),
                path: req.uri().path().to_owned(),
            });
        }
        self.counts.executed.add_one()
    }
}

fn text_of<'a>(req: &'a hyper::Request<body::Incoming>, name: &str) -> &'a str {
    let value = req.headers().get(name);
    value.and_then(|value| value.to_str().ok()).unwrap_or("")
}

fn deadline(req: &hyper::Request<body::Incoming>) -> tokio::time::Instant {
    // Without a deadline, an hour stands for no limit.
    let ms = text_of(req, header::DEADLINE_MS)
        .parse()
        .unwrap_or(3_600_000);
    tokio::time::Instant::now() + time::Duration::from_millis(ms)
}

/// Reads the size of the answer that a query such as `bytes=16384` asks for.
fn wanted_bytes(query: &str) -> Option<u64> {
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
    number_answer(&mut response, number);
    response
}

fn number_answer(response: &mut hyper::Response<listen::Body>, number: u64) {
    response.headers_mut().insert(EXECUTION, number.into());
}

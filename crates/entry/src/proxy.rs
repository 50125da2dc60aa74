//! The path of a request, from its head to its outcome.

use crate::check;
use crate::head;
use crate::meter;
use crate::one_time;
use crate::reserved;
use crate::response;
use crate::snapshot;
use http_body_util::BodyExt;
use hyper::body;
use hyper::body::Body;
use hyper::header as http;
use nutmegdale_admission::{bulk, measuring};
use nutmegdale_base::{class, clock, header, outcome};
use nutmegdale_choice::policy;
use nutmegdale_rpc::listen;
use nutmegdale_telemetry::{failures, metrics};
use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

/// What every request of an entry process shares.
#[allow(missing_debug_implementations)] // Holds trait objects.
pub struct Shared {
    /// Clock of the process.
    pub clock: sync::Arc<dyn clock::Clock>,
    /// Published snapshot.
    pub published: snapshot::Published,
    /// Server choice.
    pub policy: Box<dyn policy::Policy>,
    /// Bound of bulk answers on the link between regions.
    pub bulk_link: sync::Arc<bulk::BulkLink>,
    /// Budget of the process's own messages.
    pub measuring: measuring::Budget,
    /// Told when an answer names a server's state that the leader may not know.
    pub heard: sync::Arc<tokio::sync::Notify>,
    /// Requests that run at most once.
    pub one_time: one_time::OneTime,
    /// Requests that the entry VM answers itself.
    pub reserved: reserved::Reserved,
    /// Whether the process is shutting down.
    pub is_stopping: atomic::AtomicBool,
    /// Longest time of a request whose caller states no deadline.
    pub deadline_ms: clock::Millis,
    /// Number of the next request, for request ids.
    pub next_request: atomic::AtomicU64,
    /// Random number of this start of the process.
    pub boot: u64,
    /// Metrics of requests.
    pub requests: metrics::Requests,
    /// Log of requests that were not answered.
    pub failures: failures::Failures,
}

/// Service for callers and backend servers.
#[allow(missing_debug_implementations)] // Holds trait objects.
pub struct Proxy {
    shared: sync::Arc<Shared>,
}

impl Proxy {
    /// Creates the service.
    pub fn new(shared: sync::Arc<Shared>) -> Proxy {
        Proxy { shared }
    }
}

impl listen::Service for Proxy {
    fn call(
        &self,
        req: hyper::Request<body::Incoming>,
        _client: net::SocketAddr,
    ) -> listen::Answer {
        let shared = sync::Arc::clone(&self.shared);
        Box::pin(async move {
            if req.uri().path().starts_with(header::RESERVED_PATH) {
                return shared.reserved.answer(&shared, req).await;
            }
            shared.answer(req).await
        })
    }
}

impl Shared {
    /// Answers a request; the id on the answer is the one in logs and at the server.
    async fn answer(
        self: &sync::Arc<Self>,
        req: hyper::Request<body::Incoming>,
    ) -> hyper::Response<listen::Body> {
        let number = self.next_request.fetch_add(1, atomic::Ordering::Relaxed);
        let id = head::request_id(self.boot, number);
        let mut answer = self.decide(req, &id).await;
        answer.headers_mut().insert(&head::REQUEST_ID, id);
        answer
    }

    async fn decide(
        self: &sync::Arc<Self>,
        req: hyper::Request<body::Incoming>,
        id: &http::HeaderValue,
    ) -> hyper::Response<listen::Body> {
        let started = time::Instant::now();
        let snapshot = self.published.load();
        let version = snapshot.view.version;
        let body_bytes = req.body().size_hint().exact();
        let admitted = self.check(&snapshot, &req).and_then(|checked| {
            let admitted = self.admit(&snapshot, &checked, body_bytes)?;
            Ok((checked, admitted))
        });
        let (checked, admitted) = match admitted {
            Ok(admitted) => admitted,
            Err(refused) => {
                let outcome = outcome::Outcome::NotRun(refused.reason);
                self.count_failure(started, id, &snapshot, None, outcome);
                return refused.answer(&snapshot);
            }
        };
        let limit = check::body_limit(&snapshot, &checked);
        let mut req = req.map(|incoming| limited(incoming, body_bytes, limit));
        self.prepare(&mut req, id);
        if checked.class == class::Class::OneTimeFiling {
            let view = sync::Arc::clone(&snapshot);
            let (answer, outcome) = one_time::answer(self, snapshot, checked, req).await;
            if outcome == outcome::Outcome::Answered {
                self.requests
                    .count(Some(checked.priority), outcome, started.elapsed());
            } else {
                self.count_failure(started, id, &view, Some(&checked), outcome);
            }
            return answer.map(|inner| self.metered(inner, admitted, false));
        }
        match self.forward(&snapshot, &checked, req).await {
            Ok((mut answer, region)) => {
                head::strip_hop_headers(answer.headers_mut());
                let outcome = outcome::Outcome::Answered;
                let class = Some(checked.priority);
                self.requests.count(class, outcome, started.elapsed());
                response::set_outcome(answer.headers_mut(), outcome, version);
                let is_far = snapshot.view.local_region != Some(region);
                answer.map(|inner| self.metered(inner, admitted, is_far))
            }
            Err(outcome) => {
                self.count_failure(started, id, &snapshot, Some(&checked), outcome);
                response::refusal(outcome, version, "")
            }
        }
    }

    fn metered(
        &self,
        inner: listen::Body,
        admitted: check::Admitted,
        is_far: bool,
    ) -> listen::Body {
        let is_slowed = is_far && admitted.priority() == class::Class::BulkExport;
        let link = is_slowed.then(|| sync::Arc::clone(&self.bulk_link));
        let clock = sync::Arc::clone(&self.clock);
        listen::Body::new(meter::Metered::new(inner, admitted, clock, link))
    }

    fn prepare(&self, req: &mut hyper::Request<listen::Body>, id: &http::HeaderValue) {
        head::strip_hop_headers(req.headers_mut());
        req.headers_mut().remove(&head::TOKEN);
        req.headers_mut().insert(&head::REQUEST_ID, id.clone());
        head::use_origin_form(req);
        *req.version_mut() = hyper::Version::HTTP_11;
    }
}

/// Bounds a body whose length is not announced; a longer one breaks off the request.
fn limited(incoming: body::Incoming, known: Option<u64>, limit: Option<u64>) -> listen::Body {
    match limit {
        Some(most) if known.is_none() => {
            let most = usize::try_from(most).unwrap_or(usize::MAX);
            http_body_util::Limited::new(incoming, most).boxed_unsync()
        }
        _ => incoming.map_err(Into::into).boxed_unsync(),
    }
}

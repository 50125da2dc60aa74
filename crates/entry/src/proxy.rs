//! Request path: handles a caller's request from its head to its outcome.

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

/// State that all requests of an entry process share.
#[allow(missing_debug_implementations)] // Holds trait objects.
pub struct Shared {
    /// Clock of the process.
    pub clock: sync::Arc<dyn clock::Clock>,
    /// Current snapshot.
    pub published: snapshot::Published,
    /// Load-balancing policy.
    pub policy: Box<dyn policy::Policy>,
    /// Bandwidth limit of bulk responses on the link between regions.
    pub bulk_link: sync::Arc<bulk::BulkLink>,
    /// Byte budget of this process's own messages (syncs).
    pub measuring: measuring::Budget,
    /// Notified when a load report has a server state that the leader may not know.
    pub state_reported: sync::Arc<tokio::sync::Notify>,
    /// State of one-time requests, which run at most once.
    pub one_time: one_time::OneTime,
    /// State of the reserved paths, which the entry process serves itself.
    pub reserved: reserved::Reserved,
    /// Whether the process is shutting down.
    pub is_stopping: atomic::AtomicBool,
    /// Timeout of requests without a deadline header.
    pub deadline_ms: clock::Millis,
    /// Sequence number of the next request, for request ids.
    pub next_request_number: atomic::AtomicU64,
    /// Random boot id, which identifies this start of the process.
    pub boot: u64,
    /// Metrics of requests.
    pub requests: metrics::Requests,
    /// Log of failed requests.
    pub failures: failures::FailureLog,
}

/// HTTP service for callers and for announcements of backend servers.
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
    ) -> listen::ResponseFuture {
        let shared = sync::Arc::clone(&self.shared);
        Box::pin(async move {
            if req.uri().path().starts_with(header::RESERVED_PATH) {
                return shared.reserved.handle(&shared, req).await;
            }
            shared.handle(req).await
        })
    }
}

impl Shared {
    /// Handles a request. The response has the same request id as the logs and the forwarded
    /// request.
    async fn handle(
        self: &sync::Arc<Self>,
        req: hyper::Request<body::Incoming>,
    ) -> hyper::Response<listen::Body> {
        let number = self
            .next_request_number
            .fetch_add(1, atomic::Ordering::Relaxed);
        let id = head::request_id(self.boot, number);
        let mut response = self.process(req, &id).await;
        response.headers_mut().insert(&head::REQUEST_ID, id);
        response
    }

    async fn process(
        self: &sync::Arc<Self>,
        req: hyper::Request<body::Incoming>,
        id: &http::HeaderValue,
    ) -> hyper::Response<listen::Body> {
        let started = time::Instant::now();
        let snapshot = self.published.load();
        let version = snapshot.view.version;
        let body_bytes = req.body().size_hint().exact();
        let admission = self.check(&snapshot, &req).and_then(|checked| {
            let admission = self.admit(&snapshot, &checked, body_bytes)?;
            Ok((checked, admission))
        });
        let (checked, admission) = match admission {
            Ok(admission) => admission,
            Err(rejection) => {
                let outcome = outcome::Outcome::NotRun(rejection.reason);
                self.count_failure(started, id, &snapshot, None, outcome);
                return rejection.into_response(&snapshot);
            }
        };
        let limit = check::body_limit(&snapshot, &checked);
        let mut req = req.map(|incoming| limit_body(incoming, body_bytes, limit));
        self.prepare_request(&mut req, id);
        if checked.class == class::Class::OneTimeFiling {
            let started_snapshot = sync::Arc::clone(&snapshot);
            let (response, outcome) = one_time::handle(self, snapshot, checked, req).await;
            if outcome == outcome::Outcome::Answered {
                self.requests
                    .count(Some(checked.priority), outcome, started.elapsed());
            } else {
                self.count_failure(started, id, &started_snapshot, Some(&checked), outcome);
            }
            return response.map(|inner| self.meter_body(inner, admission, false));
        }
        match self.forward(&snapshot, &checked, req).await {
            Ok((mut response, region)) => {
                head::strip_hop_headers(response.headers_mut());
                let outcome = outcome::Outcome::Answered;
                let class = Some(checked.priority);
                self.requests.count(class, outcome, started.elapsed());
                response::set_outcome(response.headers_mut(), outcome, version);
                let is_cross_region = snapshot.view.local_region != Some(region);
                response.map(|inner| self.meter_body(inner, admission, is_cross_region))
            }
            Err(outcome) => {
                self.count_failure(started, id, &snapshot, Some(&checked), outcome);
                response::error(outcome, version, "")
            }
        }
    }

    fn meter_body(
        &self,
        inner: listen::Body,
        admission: check::AdmissionGuard,
        is_cross_region: bool,
    ) -> listen::Body {
        let is_throttled = is_cross_region && admission.priority() == class::Class::BulkExport;
        let bulk_link = is_throttled.then(|| sync::Arc::clone(&self.bulk_link));
        let clock = sync::Arc::clone(&self.clock);
        listen::Body::new(meter::MeteredBody::new(inner, admission, clock, bulk_link))
    }

    fn prepare_request(&self, req: &mut hyper::Request<listen::Body>, id: &http::HeaderValue) {
        head::strip_hop_headers(req.headers_mut());
        req.headers_mut().remove(&head::TOKEN);
        req.headers_mut().insert(&head::REQUEST_ID, id.clone());
        head::use_origin_form(req);
        *req.version_mut() = hyper::Version::HTTP_11;
    }
}

/// Limits a body of unknown length; exceeding the limit aborts the request.
fn limit_body(
    incoming: body::Incoming,
    length_bytes: Option<u64>,
    limit_bytes: Option<u64>,
) -> listen::Body {
    match limit_bytes {
        Some(limit_bytes) if length_bytes.is_none() => {
            let limit_bytes = usize::try_from(limit_bytes).unwrap_or(usize::MAX);
            http_body_util::Limited::new(incoming, limit_bytes).boxed_unsync()
        }
        _ => incoming.map_err(Into::into).boxed_unsync(),
    }
}

//! Concurrency limit, load shedding and timeout for services with few and possibly slow requests.
//!
//! The services for operators and for monitoring take these layers from `tower`. The data path does
//! not: it enforces its own limits with atomics.

use crate::listen;
use hyper::body;
use nutmegdale_base::clock;
use std::net;
use std::sync;
use std::time;
use tower::ServiceExt;
use tower::load_shed::error::Overloaded;

type Call = (hyper::Request<body::Incoming>, net::SocketAddr);
type Inner = tower::util::BoxCloneSyncService<Call, hyper::Response<listen::Body>, tower::BoxError>;

/// Limits of a [`Layered`] service.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Maximum number of concurrent requests; any further request is rejected immediately.
    pub requests_max_count: usize,
    /// Time limit for producing one response, in milliseconds.
    pub answer_ms: clock::Millis,
}

/// Reason why the layers rejected a request or gave up waiting for its response.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// The concurrency limit was reached; the service never saw the request.
    Busy,
    /// The service timed out; it may or may not have executed the request.
    Slow,
}

/// Service wrapped in the layers.
#[allow(missing_debug_implementations)] // Holds a trait object.
pub struct Layered {
    inner: Inner,
    refuse: fn(Refusal) -> hyper::Response<listen::Body>,
}

impl Layered {
    /// Wraps `service` in the layers; `refuse` builds the response for a request that they reject.
    pub fn new(
        service: sync::Arc<dyn listen::Service>,
        limits: Limits,
        refuse: fn(Refusal) -> hyper::Response<listen::Body>,
    ) -> Layered {
        let inner = tower::service_fn(move |(req, client): Call| {
            let response = service.call(req, client);
            async move { Ok::<_, tower::BoxError>(response.await) }
        });
        let layers = tower::ServiceBuilder::new()
            .load_shed()
            .concurrency_limit(limits.requests_max_count)
            .timeout(time::Duration::from_millis(limits.answer_ms.0))
            .service(inner);
        let inner = tower::util::BoxCloneSyncService::new(layers);
        Layered { inner, refuse }
    }
}

impl listen::Service for Layered {
    fn call(
        &self,
        req: hyper::Request<body::Incoming>,
        client: net::SocketAddr,
    ) -> listen::ResponseFuture {
        let (inner, refuse) = (self.inner.clone(), self.refuse);
        Box::pin(async move {
            match inner.oneshot((req, client)).await {
                Ok(response) => response,
                Err(err) if err.is::<Overloaded>() => refuse(Refusal::Busy),
                Err(_) => refuse(Refusal::Slow),
            }
        })
    }
}

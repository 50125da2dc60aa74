//! Layers around a service whose requests are few and may be slow.
//!
//! The path of callers' requests has limits of its own, kept in atomics; the services for operators
//! and for observation take theirs from `tower`.

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

/// Bounds of a layered service.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Requests at once; further ones are refused at once.
    pub requests_max_count: usize,
    /// Time for one answer.
    pub answer_ms: clock::Millis,
}

/// Why the layers did not pass on an answer of the service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Refusal {
    /// Too many requests at once; the service did not see this one.
    Busy,
    /// The service took too long; it may or may not have carried the request out.
    Slow,
}

/// Service behind the layers.
#[allow(missing_debug_implementations)] // Holds a trait object.
pub struct Layered {
    inner: Inner,
    refuse: fn(Refusal) -> hyper::Response<listen::Body>,
}

impl Layered {
    /// Puts the layers around `service`; `refuse` makes their own answers.
    pub fn new(
        service: sync::Arc<dyn listen::Service>,
        limits: Limits,
        refuse: fn(Refusal) -> hyper::Response<listen::Body>,
    ) -> Layered {
        let answer = tower::service_fn(move |(req, client): Call| {
            let answer = service.call(req, client);
            async move { Ok::<_, tower::BoxError>(answer.await) }
        });
        let layers = tower::ServiceBuilder::new()
            .load_shed()
            .concurrency_limit(limits.requests_max_count)
            .timeout(time::Duration::from_millis(limits.answer_ms.0))
            .service(answer);
        let inner = tower::util::BoxCloneSyncService::new(layers);
        Layered { inner, refuse }
    }
}

impl listen::Service for Layered {
    fn call(&self, req: hyper::Request<body::Incoming>, client: net::SocketAddr) -> listen::Answer {
        let (inner, refuse) = (self.inner.clone(), self.refuse);
        Box::pin(async move {
            match inner.oneshot((req, client)).await {
                Ok(answer) => answer,
                Err(err) if err.is::<Overloaded>() => refuse(Refusal::Busy),
                Err(_) => refuse(Refusal::Slow),
            }
        })
    }
}

//! Backend server of the soak: announces itself, executes requests and records them.

use crate::{ledger, wire};
use hyper::body;
use nutmegdale_base::clock;
use nutmegdale_base::rng;
use nutmegdale_base::rng::Rng;
use nutmegdale_rpc::listen;
use nutmegdale_testkit::http;
use std::net;
use std::sync;
use std::sync::atomic;
use std::time;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, watch};
use tokio::task;

/// Number of requests that a server executes at once.
pub const SLOTS: usize = 3;
/// Interval between announcements.
const ANNOUNCE_INTERVAL_MS: u64 = 700;
/// Timeout of an announcement.
const ANNOUNCE_TIMEOUT_MS: u64 = 1_000;
/// Time after an acknowledged draining announcement from which no request may reach the server.
const DRAIN_MAX_MS: u64 = 2_000;
/// Range of the service time of a request, in milliseconds.
const SERVICE_TIME_MS: (u64, u64) = (15, 45);
/// Share of responses that a server truncates while truncation is on, in percent.
const TRUNCATED_PERCENT: u64 = 40;

/// State that the tasks of a server share.
struct Shared {
    id: String,
    zone: String,
    ledger: sync::Arc<ledger::Ledger>,
    wire: sync::Arc<dyn wire::Wire>,
    running_count: atomic::AtomicUsize,
    is_truncating: atomic::AtomicBool,
    is_draining: atomic::AtomicBool,
    /// Limit that the server names, in thousandths of a request per second; 0 without one.
    limit_milli_per_s: atomic::AtomicU32,
    /// Tells the scenario that the server has crashed.
    crashed: mpsc::UnboundedSender<String>,
    /// From when on no request may reach the server.
    closed_from: sync::Mutex<Option<time::Instant>>,
    next_seed: atomic::AtomicU64,
}

impl Shared {
    fn random(&self, below: u64) -> u64 {
        let seed = self.next_seed.fetch_add(1, atomic::Ordering::Relaxed);
        rng::SplitMix64::new(seed).below(below)
    }

    fn closed_from(&self) -> sync::MutexGuard<'_, Option<time::Instant>> {
        self.closed_from
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// Running server; it ends without deregistering when dropped.
#[allow(missing_debug_implementations)] // Holds a trait object.
pub struct Server {
    shared: sync::Arc<Shared>,
    _stop: watch::Sender<bool>,
    tasks: task::JoinSet<()>,
}

/// Parameters of a server.
#[allow(missing_debug_implementations)] // Holds a trait object.
pub struct Spec {
    /// Identity of the server.
    pub id: String,
    /// Address that it listens on.
    pub listen: net::SocketAddr,
    /// Address that it announces, which leads to it through a link.
    pub announced: net::SocketAddr,
    /// Its availability zone.
    pub zone: String,
    /// Name of its service.
    pub service: &'static str,
    /// Addresses of the control processes.
    pub control: Vec<net::SocketAddr>,
    /// Receives the identity of the server when it crashes; the receiver ends it.
    pub crashed: mpsc::UnboundedSender<String>,
    /// Record of the requests that it executes.
    pub ledger: sync::Arc<ledger::Ledger>,
    /// Wire format.
    pub wire: sync::Arc<dyn wire::Wire>,
}

impl Server {
    /// Starts a server and its announcements.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if its address cannot be bound.
    pub async fn start(spec: Spec) -> std::io::Result<Server> {
        let listener = TcpListener::bind(spec.listen).await?;
        let shared = sync::Arc::new(Shared {
            id: spec.id,
            zone: spec.zone,
            ledger: spec.ledger,
            wire: spec.wire,
            running_count: atomic::AtomicUsize::new(0),
            is_truncating: atomic::AtomicBool::new(false),
            is_draining: atomic::AtomicBool::new(false),
            limit_milli_per_s: atomic::AtomicU32::new(0),
            crashed: spec.crashed,
            closed_from: sync::Mutex::default(),
            next_seed: atomic::AtomicU64::new(u64::from(spec.listen.port()) << 32),
        });
        let (stop, stopped) = watch::channel(false);
        let service = sync::Arc::new(Service(sync::Arc::clone(&shared)));
        let mut tasks = task::JoinSet::new();
        tasks.spawn(async move {
            let bounds = listen::Bounds::default();
            listen::serve(listener, service, bounds, stopped, clock::Millis::ZERO).await;
        });
        tasks.spawn(announce(
            sync::Arc::clone(&shared),
            spec.announced,
            spec.service,
            spec.control,
        ));
        Ok(Server {
            shared,
            _stop: stop,
            tasks,
        })
    }

    /// Ends the server without deregistration.
    pub fn end(&mut self) {
        self.tasks.abort_all();
    }

    /// Returns the identity of the server.
    pub fn id(&self) -> &str {
        &self.shared.id
    }

    /// Returns the zone of the server.
    pub fn zone(&self) -> &str {
        &self.shared.zone
    }

    /// Turns truncation of a share of the responses on or off.
    pub fn set_truncating(&self, is_truncating: bool) {
        let order = atomic::Ordering::Relaxed;
        self.shared.is_truncating.store(is_truncating, order);
    }

    /// Makes the server name a limit in thousandths of a request per second, or none with 0.
    pub fn set_limit(&self, milli_per_s: u32) {
        let order = atomic::Ordering::Relaxed;
        self.shared.limit_milli_per_s.store(milli_per_s, order);
        if milli_per_s == 0 {
            self.shared.ledger.record_limit_end(&self.shared.id);
        }
    }

    /// Makes the server announce that it is draining.
    pub fn drain(&self) {
        let order = atomic::Ordering::Relaxed;
        self.shared.is_draining.store(true, order);
    }

    /// Sets the time from which no request may reach the server; `None` if requests may reach it.
    pub fn set_closed_from(&self, from: Option<time::Instant>) {
        *self.shared.closed_from() = from;
    }
}

async fn announce(
    shared: sync::Arc<Shared>,
    address: net::SocketAddr,
    service: &'static str,
    control: Vec<net::SocketAddr>,
) {
    let since_epoch = time::SystemTime::now().duration_since(time::UNIX_EPOCH);
    let started_ms = u64::try_from(since_epoch.unwrap_or_default().as_millis()).unwrap_or(0);
    for sequence in 1.. {
        let is_draining = shared.is_draining.load(atomic::Ordering::Relaxed);
        let message = shared.wire.announce(&wire::Announcement {
            id: &shared.id,
            address,
            zone: &shared.zone,
            service,
            started_ms,
            sequence,
            is_draining,
        });
        let first = shared.random(control.len() as u64) as usize;
        let targets = control.iter().cycle().skip(first).take(control.len());
        for target in targets {
            let sent = send(*target, &message, ANNOUNCE_TIMEOUT_MS).await;
            if sent.is_some_and(|answer| answer.status == 200) {
                if is_draining {
                    let from = time::Instant::now() + time::Duration::from_millis(DRAIN_MAX_MS);
                    shared.closed_from().get_or_insert(from);
                }
                break;
            }
        }
        tokio::time::sleep(time::Duration::from_millis(ANNOUNCE_INTERVAL_MS)).await;
    }
}

/// Sends a message on a new connection; returns `None` without a response within `timeout_ms`.
pub async fn send(
    to: net::SocketAddr,
    message: &wire::Message,
    timeout_ms: u64,
) -> Option<http::Answer> {
    let headers: Vec<_> = message
        .headers
        .iter()
        .map(|(name, value)| (*name, value.as_str()))
        .collect();
    let req = http::Request {
        method: message.method,
        path: &message.path,
        headers: &headers,
        body: message.body.clone().into(),
    };
    let timeout = time::Duration::from_millis(timeout_ms);
    tokio::time::timeout(timeout, http::send(to, &req))
        .await
        .ok()?
        .ok()
}

struct Service(sync::Arc<Shared>);

impl listen::Service for Service {
    fn call(
        &self,
        req: hyper::Request<body::Incoming>,
        _client: net::SocketAddr,
    ) -> listen::ResponseFuture {
        let shared = sync::Arc::clone(&self.0);
        let (head, body) = req.into_parts();
        let received = shared.wire.parse_request(&head);
        Box::pin(async move { handle_request(&shared, received, body).await })
    }
}

/// Counts a request as running until it is dropped.
struct RunningGuard<'a>(&'a Shared);

impl Drop for RunningGuard<'_> {
    fn drop(&mut self) {
        self.0.running_count.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}

async fn handle_request(
    shared: &Shared,
    received: wire::ReceivedRequest,
    body: body::Incoming,
) -> hyper::Response<listen::Body> {
    let limit_milli_per_s = shared.limit_milli_per_s.load(atomic::Ordering::Relaxed);
    let respond = |status: u16, is_not_run: bool, text: String| {
        let mut response = hyper::Response::builder().status(status);
        if limit_milli_per_s > 0 {
            let (name, value) = shared.wire.limit_header(limit_milli_per_s);
            response = response.header(name, value);
            shared.ledger.record_limit(&shared.id, limit_milli_per_s);
        }
        for (name, value) in shared
            .wire
            .response_headers(&shared.id, &received.id, is_not_run)
        {
            response = response.header(name, value);
        }
        let body = listen::full(text);
        response.body(body).expect("a plain response can be built")
    };
    if received.is_health_check {
        return respond(200, false, String::new());
    }
    if limit_milli_per_s > 0 {
        shared
            .ledger
            .record_limited_arrival(&shared.id, &received.id);
    }
    if received
        .expected_server
        .as_deref()
        .is_some_and(|id| id != shared.id)
    {
        return respond(421, true, String::new());
    }
    if shared.running_count.fetch_add(1, atomic::Ordering::Relaxed) >= SLOTS {
        shared.running_count.fetch_sub(1, atomic::Ordering::Relaxed);
        return respond(503, true, String::new());
    }
    let running = RunningGuard(shared);
    shared.ledger.record_run(
        &received.id,
        ledger::Run {
            server: shared.id.clone(),
            at: time::Instant::now(),
            closed_from: *shared.closed_from(),
            is_answered: false,
        },
    );
    if received.is_crashing {
        // Without a receiver the scenario has ended.
        drop(shared.crashed.send(shared.id.clone()));
        std::future::pending::<()>().await;
    }
    drop(http_body_util::BodyExt::collect(body).await);
    let service_time = SERVICE_TIME_MS.0 + shared.random(SERVICE_TIME_MS.1 - SERVICE_TIME_MS.0);
    tokio::time::sleep(time::Duration::from_millis(service_time)).await;
    drop(running);
    let is_truncating = shared.is_truncating.load(atomic::Ordering::Relaxed);
    if is_truncating && shared.random(100) < TRUNCATED_PERCENT {
        let mut response = respond(200, false, String::new());
        *response.body_mut() = listen::Body::new(TruncatedBody);
        return response;
    }
    shared.ledger.record_response(&received.id, &shared.id);
    respond(200, false, response_body(&received.id))
}

/// Returns the response body for a request, which differs for each request.
pub fn response_body(id: &str) -> String {
    format!("answer to {id}, {}", "x".repeat(200))
}

/// Body that fails instead of yielding data.
struct TruncatedBody;

impl body::Body for TruncatedBody {
    type Data = bytes::Bytes;
    type Error = listen::BodyError;

    fn poll_frame(
        self: std::pin::Pin<&mut Self>,
        _cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Result<body::Frame<bytes::Bytes>, listen::BodyError>>> {
        std::task::Poll::Ready(Some(Err("response truncated by the stand-in".into())))
    }
}

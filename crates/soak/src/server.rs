//! Backend server of the soak: announces itself, runs requests and says what it saw.

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
use tokio::sync::watch;
use tokio::task;

/// Requests that a server works on at once.
pub const SLOTS: usize = 3;
/// Time between two announcements.
const ANNOUNCE_MS: u64 = 700;
/// Time for the answer to an announcement.
const ANSWER_MS: u64 = 1_000;
/// Time after the acknowledgement that a server drains from which no request reaches it.
const DRAIN_MS: u64 = 2_000;
/// Work of a request, in milliseconds.
const WORK_MS: (u64, u64) = (15, 45);
/// Share of answers that a server breaks off when it is told to, in percent.
const BROKEN_PERCENT: u64 = 40;

/// What a server shares with its tasks.
struct Shared {
    id: String,
    zone: String,
    ledger: sync::Arc<ledger::Ledger>,
    wire: sync::Arc<dyn wire::Wire>,
    running: atomic::AtomicUsize,
    is_breaking: atomic::AtomicBool,
    is_draining: atomic::AtomicBool,
    /// From when on no request may reach it.
    closed_from: sync::Mutex<Option<time::Instant>>,
    random: atomic::AtomicU64,
}

impl Shared {
    fn random(&self, below: u64) -> u64 {
        let seed = self.random.fetch_add(1, atomic::Ordering::Relaxed);
        rng::SplitMix64::new(seed).below(below)
    }

    fn closed_from(&self) -> sync::MutexGuard<'_, Option<time::Instant>> {
        self.closed_from
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// Running server; it ends without a word when dropped.
#[allow(missing_debug_implementations)] // Holds a trait object.
pub struct Server {
    shared: sync::Arc<Shared>,
    _stop: watch::Sender<bool>,
    _tasks: task::JoinSet<()>,
}

/// What a server needs.
#[allow(missing_debug_implementations)] // Holds a trait object.
pub struct Spec {
    /// Identity.
    pub id: String,
    /// Address that it listens at.
    pub listen: net::SocketAddr,
    /// Address that it announces.
    pub announced: net::SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Service.
    pub service: &'static str,
    /// Control processes.
    pub control: Vec<net::SocketAddr>,
    /// Where it notes what it saw.
    pub ledger: sync::Arc<ledger::Ledger>,
    /// What it speaks.
    pub wire: sync::Arc<dyn wire::Wire>,
}

impl Server {
    /// Starts a server.
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
            running: atomic::AtomicUsize::new(0),
            is_breaking: atomic::AtomicBool::new(false),
            is_draining: atomic::AtomicBool::new(false),
            closed_from: sync::Mutex::default(),
            random: atomic::AtomicU64::new(u64::from(spec.listen.port()) << 32),
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
            _tasks: tasks,
        })
    }

    /// Returns its identity.
    pub fn id(&self) -> &str {
        &self.shared.id
    }

    /// Returns its zone.
    pub fn zone(&self) -> &str {
        &self.shared.zone
    }

    /// Breaks off a part of the answers, or no longer.
    pub fn break_answers(&self, is_breaking: bool) {
        let order = atomic::Ordering::Relaxed;
        self.shared.is_breaking.store(is_breaking, order);
    }

    /// Has the server say that it drains.
    pub fn drain(&self) {
        let order = atomic::Ordering::Relaxed;
        self.shared.is_draining.store(true, order);
    }

    /// Notes from when on no request may come any more, or that requests may come again.
    pub fn close(&self, from: Option<time::Instant>) {
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
    let born = u64::try_from(since_epoch.unwrap_or_default().as_millis()).unwrap_or(0);
    for sequence in 1.. {
        let is_draining = shared.is_draining.load(atomic::Ordering::Relaxed);
        let message = shared.wire.announce(&wire::Announcement {
            id: &shared.id,
            address,
            zone: &shared.zone,
            service,
            born,
            sequence,
            is_draining,
        });
        let first = shared.random(control.len() as u64) as usize;
        let targets = control.iter().cycle().skip(first).take(control.len());
        for target in targets {
            let sent = send(*target, &message, ANSWER_MS).await;
            if sent.is_some_and(|answer| answer.status == 200) {
                if is_draining {
                    let from = time::Instant::now() + time::Duration::from_millis(DRAIN_MS);
                    shared.closed_from().get_or_insert(from);
                }
                break;
            }
        }
        tokio::time::sleep(time::Duration::from_millis(ANNOUNCE_MS)).await;
    }
}

/// Sends a message on a connection of its own; `None` without an answer in time.
pub async fn send(
    to: net::SocketAddr,
    message: &wire::Message,
    limit_ms: u64,
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
    let limit = time::Duration::from_millis(limit_ms);
    tokio::time::timeout(limit, http::send(to, &req))
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
        let arrived = shared.wire.arrived(&head);
        Box::pin(async move { answer(&shared, arrived, body).await })
    }
}

/// Counts a request that runs.
struct Running<'a>(&'a Shared);

impl Drop for Running<'_> {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}

async fn answer(
    shared: &Shared,
    arrived: wire::Arrived,
    body: body::Incoming,
) -> hyper::Response<listen::Body> {
    let respond = |status: u16, is_not_run: bool, text: String| {
        let mut response = hyper::Response::builder().status(status);
        for (name, value) in shared.wire.answer(&shared.id, &arrived.id, is_not_run) {
            response = response.header(name, value);
        }
        let body = listen::full(text);
        response.body(body).expect("a plain answer can be made")
    };
    if arrived.is_health {
        return respond(200, false, String::new());
    }
    if arrived
        .expected
        .as_deref()
        .is_some_and(|id| id != shared.id)
    {
        return respond(421, true, String::new());
    }
    if shared.running.fetch_add(1, atomic::Ordering::Relaxed) >= SLOTS {
        shared.running.fetch_sub(1, atomic::Ordering::Relaxed);
        return respond(503, true, String::new());
    }
    let running = Running(shared);
    shared.ledger.run(
        &arrived.id,
        ledger::Run {
            server: shared.id.clone(),
            at: time::Instant::now(),
            closed_from: *shared.closed_from(),
            is_answered: false,
        },
    );
    drop(http_body_util::BodyExt::collect(body).await);
    let work = WORK_MS.0 + shared.random(WORK_MS.1 - WORK_MS.0);
    tokio::time::sleep(time::Duration::from_millis(work)).await;
    drop(running);
    let is_breaking = shared.is_breaking.load(atomic::Ordering::Relaxed);
    if is_breaking && shared.random(100) < BROKEN_PERCENT {
        let mut response = respond(200, false, String::new());
        *response.body_mut() = listen::Body::new(Broken);
        return response;
    }
    shared.ledger.answered(&arrived.id, &shared.id);
    respond(200, false, body_of(&arrived.id))
}

/// Returns the body that a server answers to a request.
pub fn body_of(id: &str) -> String {
    format!("answer to {id}, {}", "x".repeat(200))
}

/// Body that ends with an error after its first bytes.
struct Broken;

impl body::Body for Broken {
    type Data = bytes::Bytes;
    type Error = listen::BodyError;

    fn poll_frame(
        self: std::pin::Pin<&mut Self>,
        _cx: &mut std::task::Context<'_>,
    ) -> std::task::Poll<Option<Result<body::Frame<bytes::Bytes>, listen::BodyError>>> {
        std::task::Poll::Ready(Some(Err("broken off".into())))
    }
}

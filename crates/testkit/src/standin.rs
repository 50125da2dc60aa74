//! Backend server stand-in that counts every execution by request id and by key.

use crate::http;
use http_body_util::BodyExt;
use hyper::body;
use nutmegdale_base::{clock, header};
use nutmegdale_membership::announcement;
use nutmegdale_rpc::listen;
use std::collections;
use std::net;
use std::pin;
use std::sync;
use std::sync::atomic;
use std::task;
use std::time;
use tokio::sync::watch;

/// How a stand-in behaves; may be changed while it runs.
#[derive(Debug, Clone)]
pub struct Behaviour {
    /// Time that one request takes.
    pub service_time: time::Duration,
    /// Whether requests are refused as not run.
    pub sheds: bool,
    /// Whether the connection is broken after the request was executed.
    pub breaks: bool,
    /// Announced state.
    pub state: announcement::ServerState,
}

/// Execution that a stand-in counted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Execution {
    /// Request id of the entry VM.
    pub request_id: String,
    /// Idempotency key, or the empty string.
    pub key: String,
    /// Path.
    pub path: String,
}

/// State shared by the connections of a stand-in.
#[derive(Debug)]
pub struct Shared {
    name: String,
    behaviour: sync::Mutex<Behaviour>,
    executions: sync::Mutex<Vec<Execution>>,
    running: atomic::AtomicU32,
    running_max: atomic::AtomicU32,
}

/// Running stand-in; it stops when dropped.
#[derive(Debug)]
pub struct StandIn {
    /// What it counted and how it behaves.
    pub shared: sync::Arc<Shared>,
    stop: watch::Sender<bool>,
}

impl Shared {
    /// Returns the executions so far.
    pub fn executions(&self) -> Vec<Execution> {
        self.executions
            .lock()
            .expect("no panic while counting")
            .clone()
    }

    /// Returns executions per idempotency key, leaving out requests without one.
    pub fn executions_by_key(&self) -> collections::BTreeMap<String, usize> {
        let mut counts = collections::BTreeMap::new();
        for execution in self.executions().iter().filter(|e| !e.key.is_empty()) {
            *counts.entry(execution.key.clone()).or_default() += 1;
        }
        counts
    }

    /// Returns the most requests that ran at once.
    pub fn running_max(&self) -> u32 {
        self.running_max.load(atomic::Ordering::SeqCst)
    }

    /// Changes the behaviour.
    pub fn set(&self, change: impl FnOnce(&mut Behaviour)) {
        change(&mut self.behaviour.lock().expect("no panic while changing"));
    }

    fn behaviour(&self) -> Behaviour {
        self.behaviour
            .lock()
            .expect("no panic while changing")
            .clone()
    }

    async fn answer(&self, req: hyper::Request<body::Incoming>) -> hyper::Response<listen::Body> {
        let behaviour = self.behaviour();
        if behaviour.sheds {
            let mut response = hyper::Response::new(listen::full("shed"));
            *response.status_mut() = hyper::StatusCode::SERVICE_UNAVAILABLE;
            let value = hyper::header::HeaderValue::from_static("not-run");
            response.headers_mut().insert(header::REFUSED, value);
            return response;
        }
        self.count(&req);
        let running = self.running.fetch_add(1, atomic::Ordering::SeqCst) + 1;
        self.running_max
            .fetch_max(running, atomic::Ordering::SeqCst);
        let path = req.uri().path().to_owned();
        let body = req
            .into_body()
            .collect()
            .await
            .map(http_body_util::Collected::to_bytes);
        tokio::time::sleep(behaviour.service_time).await;
        self.running.fetch_sub(1, atomic::Ordering::SeqCst);
        if behaviour.breaks {
            return broken();
        }
        let size = body.map_or(0, |bytes| bytes.len());
        hyper::Response::new(listen::full(format!("{} {path} {size}", self.name)))
    }

    fn count(&self, req: &hyper::Request<body::Incoming>) {
        let value = |name| {
            let value = req
                .headers()
                .get(name)
                .and_then(|value| value.to_str().ok());
            value.unwrap_or("").to_owned()
        };
        let execution = Execution {
            request_id: value(header::REQUEST_ID),
            key: value(header::IDEMPOTENCY_KEY),
            path: req.uri().path().to_owned(),
        };
        self.executions
            .lock()
            .expect("no panic while counting")
            .push(execution);
    }
}

/// Returns an answer whose body breaks off, which closes the connection.
fn broken() -> hyper::Response<listen::Body> {
    hyper::Response::new(listen::Body::new(BrokenBody))
}

struct BrokenBody;

impl body::Body for BrokenBody {
    type Data = bytes::Bytes;
    type Error = listen::BodyError;

    fn poll_frame(
        self: pin::Pin<&mut Self>,
        _cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<body::Frame<bytes::Bytes>, listen::BodyError>>> {
        task::Poll::Ready(Some(Err("broken off".into())))
    }
}

struct Service {
    shared: sync::Arc<Shared>,
}

impl listen::Service for Service {
    fn call(
        &self,
        req: hyper::Request<body::Incoming>,
        _client: net::SocketAddr,
    ) -> listen::Answer {
        let shared = sync::Arc::clone(&self.shared);
        Box::pin(async move { shared.answer(req).await })
    }
}

impl StandIn {
    /// Starts a stand-in at the announced address that announces itself to `entries` in turn.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if the address cannot be bound.
    pub async fn start(
        announced: announcement::Announcement,
        entries: Vec<net::SocketAddr>,
        behaviour: Behaviour,
    ) -> std::io::Result<StandIn> {
        let listener = listen::bind(announced.address).await?;
        let (stop, stop_rx) = watch::channel(false);
        let shared = sync::Arc::new(Shared {
            name: announced.server.clone(),
            behaviour: sync::Mutex::new(behaviour),
            executions: sync::Mutex::default(),
            running: atomic::AtomicU32::new(0),
            running_max: atomic::AtomicU32::new(0),
        });
        let service = sync::Arc::new(Service {
            shared: sync::Arc::clone(&shared),
        });
        let bounds = listen::Bounds::default();
        tokio::spawn(listen::serve(
            listener,
            service,
            bounds,
            stop_rx.clone(),
            clock::Millis(100),
        ));
        tokio::spawn(announce(
            sync::Arc::clone(&shared),
            announced,
            entries,
            stop_rx,
        ));
        Ok(StandIn { shared, stop })
    }
}

impl Drop for StandIn {
    fn drop(&mut self) {
        self.stop.send_replace(true);
    }
}

async fn announce(
    shared: sync::Arc<Shared>,
    mut announced: announcement::Announcement,
    entries: Vec<net::SocketAddr>,
    mut stop: watch::Receiver<bool>,
) {
    let mut entry = 0;
    while !*stop.borrow() {
        announced.sequence += 1;
        announced.state = shared.behaviour().state;
        let body = serde_json::to_vec(&announced).expect("announcement can be encoded");
        let req = http::Request::post("/.nutmegdale/announce", &[], body);
        let is_ok = match http::send(entries[entry % entries.len()], &req).await {
            Ok(answer) => answer.status == 200,
            Err(_) => false,
        };
        let pause = if is_ok { 500 } else { 100 };
        if !is_ok {
            entry += 1;
        }
        tokio::select! {
            () = tokio::time::sleep(time::Duration::from_millis(pause)) => {}
            _ = stop.changed() => {}
        }
    }
}

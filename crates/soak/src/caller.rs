//! Caller of the soak: looks up the entry processes, keeps its connection until it fails, and
//! records the outcome of each request.

use crate::{ledger, server, wire};
use http_body_util::BodyExt;
use hyper::client::conn::http1;
use hyper_util::rt;
use nutmegdale_base::rng::Rng;
use nutmegdale_base::{digest, rng};
use std::collections;
use std::net;
use std::sync;
use std::time;
use tokio::net::TcpStream;
use tokio::sync::watch;

type Sender = http1::SendRequest<http_body_util::Full<bytes::Bytes>>;

/// Deadline that a caller sends with each request, in milliseconds.
const DEADLINE_MS: u64 = 900;
/// Time beyond the deadline after which a caller abandons the connection.
const DEADLINE_MARGIN_MS: u64 = 600;
/// Timeout of a connection attempt or of a directory query.
const CONNECT_TIMEOUT_MS: u64 = 500;
/// Time for which a caller caches its list of addresses.
const ADDRESSES_TTL_MS: u64 = 1_000;
/// Longest pause between two requests of a caller.
const PAUSE_MAX_MS: u64 = 120;
/// Share of requests that may be executed once at most, in percent.
const ONE_TIME_PERCENT: u64 = 40;

/// Parameters of a caller.
#[derive(Clone)]
#[allow(missing_debug_implementations)] // Holds a trait object.
pub struct Spec {
    /// Number of the caller.
    pub number: usize,
    /// Seed of its random choices.
    pub seed: u64,
    /// Zone of the caller.
    pub zone: String,
    /// Addresses of the directories, the nearest first.
    pub directories: Vec<net::SocketAddr>,
    /// Indexes of the entry processes by address.
    pub entries: collections::HashMap<net::SocketAddr, usize>,
    /// Record of its attempts.
    pub ledger: sync::Arc<ledger::Ledger>,
    /// Wire format.
    pub wire: sync::Arc<dyn wire::Wire>,
}

/// Interval between two sends of the request that crashes servers.
const CRASHING_INTERVAL: time::Duration = time::Duration::from_millis(150);

struct Caller {
    spec: Spec,
    rng: rng::SplitMix64,
    addresses: Vec<net::SocketAddr>,
    resolved_at: Option<time::Instant>,
    connection: Option<(net::SocketAddr, Sender)>,
}

/// Sends the request that crashes servers until `stop` is true, at an entry process drawn each time.
pub async fn run_crashing(spec: Spec, stop: watch::Receiver<bool>) {
    let mut caller = Caller::new(spec);
    let mut number = 0;
    while !*stop.borrow() {
        caller.refresh_addresses().await;
        caller.connection = None;
        let id = format!("c{:x}-{number}", caller.spec.seed);
        let message = caller.spec.wire.crashing_request(&id, DEADLINE_MS);
        caller.send_request(&message, Kind::Crashing, id).await;
        number += 1;
        tokio::time::sleep(CRASHING_INTERVAL).await;
    }
}

/// Sends requests until `stop` is true.
pub async fn run(spec: Spec, stop: watch::Receiver<bool>) {
    let mut caller = Caller::new(spec);
    let mut number = 0;
    while !*stop.borrow() {
        caller.refresh_addresses().await;
        caller.send_next(number).await;
        number += 1;
        let pause = caller.rng.below(PAUSE_MAX_MS);
        tokio::time::sleep(time::Duration::from_millis(pause)).await;
    }
}

/// Kind of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Kind {
    Repeatable,
    OneTime,
    Crashing,
}

impl Caller {
    fn new(spec: Spec) -> Caller {
        Caller {
            rng: rng::SplitMix64::new(digest::of(&(spec.seed, spec.number))),
            spec,
            addresses: Vec::new(),
            resolved_at: None,
            connection: None,
        }
    }

    /// Queries the directories unless the cached list is still valid.
    async fn refresh_addresses(&mut self) {
        let ttl = time::Duration::from_millis(ADDRESSES_TTL_MS);
        if self.resolved_at.is_some_and(|at| at.elapsed() < ttl) {
            return;
        }
        let message = self.spec.wire.resolve(&self.spec.zone);
        for directory in &self.spec.directories {
            let Some(answer) = server::send(*directory, &message, CONNECT_TIMEOUT_MS).await else {
                continue;
            };
            let addresses = self.spec.wire.parse_addresses(&answer.body);
            if answer.status == 200 && !addresses.is_empty() {
                self.addresses = addresses;
                self.resolved_at = Some(time::Instant::now());
                break;
            }
        }
        // An open connection to an address that is no longer listed is not used again.
        self.connection
            .take_if(|(address, _)| !self.addresses.contains(address));
    }

    async fn connect(&mut self) -> Option<(net::SocketAddr, Sender)> {
        if let Some((address, mut sender)) = self.connection.take()
            && sender.ready().await.is_ok()
        {
            return Some((address, sender));
        }
        let count = self.addresses.len() as u64;
        let address = *self.addresses.get(self.rng.below(count.max(1)) as usize)?;
        let timeout = time::Duration::from_millis(CONNECT_TIMEOUT_MS);
        let connecting = tokio::time::timeout(timeout, TcpStream::connect(address));
        let stream = connecting.await.ok()?.ok()?;
        let (sender, conn) = http1::handshake(rt::TokioIo::new(stream)).await.ok()?;
        // The request learns of connection errors through its sender.
        tokio::spawn(async move { drop(conn.await) });
        Some((address, sender))
    }

    async fn send_next(&mut self, number: u64) {
        let id = format!("r{:x}-{}-{number}", self.spec.seed, self.spec.number);
        let kind = match self.rng.below(100) < ONE_TIME_PERCENT {
            true => Kind::OneTime,
            false => Kind::Repeatable,
        };
        let is_one_time = kind == Kind::OneTime;
        let message = self.spec.wire.request(&id, is_one_time, DEADLINE_MS);
        self.send_request(&message, kind, id).await;
    }

    async fn send_request(&mut self, message: &wire::Message, kind: Kind, id: String) {
        let Some((address, mut sender)) = self.connect().await else {
            self.resolved_at = None;
            return;
        };
        let Some(entry) = self.spec.entries.get(&address) else {
            let text = format!("the directory lists {address}, which is not an entry process");
            self.spec.ledger.record_violation(text);
            return;
        };
        self.spec.ledger.record_attempt(ledger::Attempt {
            id: id.clone(),
            is_one_time: kind == Kind::OneTime,
            is_crashing: kind == Kind::Crashing,
            entry: *entry,
            at: time::Instant::now(),
            outcome: None,
        });
        let timeout = time::Duration::from_millis(DEADLINE_MS + DEADLINE_MARGIN_MS);
        let exchanged = tokio::time::timeout(timeout, exchange(&mut sender, message)).await;
        let outcome = match exchanged {
            Err(_) => ledger::Outcome::TimedOut,
            Ok(Err(outcome)) => outcome,
            Ok(Ok((head, body))) => {
                let close = head.headers.get(hyper::header::CONNECTION);
                if close.is_none_or(|value| value != "close") {
                    self.connection = Some((address, sender));
                }
                ledger::Outcome::Answered {
                    status: head.status.as_u16(),
                    is_signed: self.spec.wire.is_signed(&head.headers),
                    body,
                }
            }
        };
        self.spec.ledger.record_outcome(&id, outcome);
    }
}

async fn exchange(
    sender: &mut Sender,
    message: &wire::Message,
) -> Result<(hyper::http::response::Parts, Vec<u8>), ledger::Outcome> {
    let mut req = hyper::Request::builder()
        .method(message.method)
        .uri(&message.path);
    for (name, value) in &message.headers {
        req = req.header(*name, value);
    }
    let body = http_body_util::Full::new(message.body.clone().into());
    let req = req.body(body).expect("a plain request can be built");
    let sent = sender.try_send_request(req).await;
    let answer = sent.map_err(|mut err| match err.take_message() {
        Some(_) => ledger::Outcome::NotSent,
        None => ledger::Outcome::ConnectionLost,
    })?;
    let (head, body) = answer.into_parts();
    let body = body
        .collect()
        .await
        .map_err(|_| ledger::Outcome::ConnectionLost)?;
    Ok((head, body.to_bytes().to_vec()))
}

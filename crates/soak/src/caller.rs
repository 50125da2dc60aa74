//! Caller of the soak: asks where to connect, keeps its connection until it breaks, and notes how
//! each request ended.

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

/// Time that a caller waits for an answer, in milliseconds.
const DEADLINE_MS: u64 = 900;
/// Time beyond the deadline after which a caller gives a connection up.
const PATIENCE_MS: u64 = 600;
/// Time for a connection or an answer of the directory.
const CONNECT_MS: u64 = 500;
/// Time for which a caller keeps its list of addresses.
const KEPT_MS: u64 = 1_000;
/// Longest pause between two requests of a caller.
const PAUSE_MAX_MS: u64 = 120;
/// Requests out of a hundred that may run once at most.
const ONE_TIME_PERCENT: u64 = 40;

/// What a caller needs.
#[derive(Clone)]
#[allow(missing_debug_implementations)] // Holds a trait object.
pub struct Spec {
    /// Number of the caller.
    pub number: usize,
    /// Seed of its random choices.
    pub seed: u64,
    /// Its zone.
    pub zone: String,
    /// Directories, the nearest first.
    pub directories: Vec<net::SocketAddr>,
    /// Positions of entry processes by their address.
    pub entries: collections::HashMap<net::SocketAddr, usize>,
    /// Where it notes what it saw.
    pub ledger: sync::Arc<ledger::Ledger>,
    /// What it speaks.
    pub wire: sync::Arc<dyn wire::Wire>,
}

struct Caller {
    spec: Spec,
    rng: rng::SplitMix64,
    known: Vec<net::SocketAddr>,
    known_at: Option<time::Instant>,
    connection: Option<(net::SocketAddr, Sender)>,
}

/// Sends requests until `stop` turns true.
pub async fn run(spec: Spec, stop: watch::Receiver<bool>) {
    let mut caller = Caller {
        rng: rng::SplitMix64::new(digest::of(&(spec.seed, spec.number))),
        spec,
        known: Vec::new(),
        known_at: None,
        connection: None,
    };
    let mut number = 0;
    while !*stop.borrow() {
        caller.look_up().await;
        caller.request(number).await;
        number += 1;
        let pause = caller.rng.below(PAUSE_MAX_MS);
        tokio::time::sleep(time::Duration::from_millis(pause)).await;
    }
}

impl Caller {
    /// Asks where to connect, unless the last answer is young.
    async fn look_up(&mut self) {
        let kept = time::Duration::from_millis(KEPT_MS);
        if self.known_at.is_some_and(|at| at.elapsed() < kept) {
            return;
        }
        let message = self.spec.wire.resolve(&self.spec.zone);
        for directory in &self.spec.directories {
            let Some(answer) = server::send(*directory, &message, CONNECT_MS).await else {
                continue;
            };
            let known = self.spec.wire.addresses(&answer.body);
            if answer.status == 200 && !known.is_empty() {
                self.known = known;
                self.known_at = Some(time::Instant::now());
                break;
            }
        }
        // An open connection to an address that is no longer named is not used again.
        self.connection
            .take_if(|(address, _)| !self.known.contains(address));
    }

    async fn connect(&mut self) -> Option<(net::SocketAddr, Sender)> {
        if let Some((address, mut sender)) = self.connection.take()
            && sender.ready().await.is_ok()
        {
            return Some((address, sender));
        }
        let count = self.known.len() as u64;
        let address = *self.known.get(self.rng.below(count.max(1)) as usize)?;
        let limit = time::Duration::from_millis(CONNECT_MS);
        let connecting = tokio::time::timeout(limit, TcpStream::connect(address));
        let stream = connecting.await.ok()?.ok()?;
        let (sender, conn) = http1::handshake(rt::TokioIo::new(stream)).await.ok()?;
        // Its errors reach the request through the sender.
        tokio::spawn(async move { drop(conn.await) });
        Some((address, sender))
    }

    async fn request(&mut self, number: u64) {
        let id = format!("r{:x}-{}-{number}", self.spec.seed, self.spec.number);
        let is_one_time = self.rng.below(100) < ONE_TIME_PERCENT;
        let Some((address, mut sender)) = self.connect().await else {
            self.known_at = None;
            return;
        };
        let Some(entry) = self.spec.entries.get(&address) else {
            let text = format!("the directory names {address}, which is no entry process");
            self.spec.ledger.broken(text);
            return;
        };
        let message = self.spec.wire.request(&id, is_one_time, DEADLINE_MS);
        self.spec.ledger.begin(ledger::Attempt {
            id: id.clone(),
            is_one_time,
            entry: *entry,
            at: time::Instant::now(),
            end: None,
        });
        let limit = time::Duration::from_millis(DEADLINE_MS + PATIENCE_MS);
        let exchanged = tokio::time::timeout(limit, exchange(&mut sender, &message)).await;
        let end = match exchanged {
            Err(_) => ledger::End::Silent,
            Ok(Err(end)) => end,
            Ok(Ok((head, body))) => {
                let close = head.headers.get(hyper::header::CONNECTION);
                if close.is_none_or(|value| value != "close") {
                    self.connection = Some((address, sender));
                }
                ledger::End::Answered {
                    status: head.status.as_u16(),
                    is_signed: self.spec.wire.is_signed(&head.headers),
                    body,
                }
            }
        };
        self.spec.ledger.end(&id, end);
    }
}

async fn exchange(
    sender: &mut Sender,
    message: &wire::Message,
) -> Result<(hyper::http::response::Parts, Vec<u8>), ledger::End> {
    let mut req = hyper::Request::builder()
        .method(message.method)
        .uri(&message.path);
    for (name, value) in &message.headers {
        req = req.header(*name, value);
    }
    let body = http_body_util::Full::new(message.body.clone().into());
    let req = req.body(body).expect("a plain request can be made");
    let sent = sender.try_send_request(req).await;
    let answer = sent.map_err(|mut err| match err.take_message() {
        Some(_) => ledger::End::NotSent,
        None => ledger::End::Broken,
    })?;
    let (head, body) = answer.into_parts();
    let body = body.collect().await.map_err(|_| ledger::End::Broken)?;
    Ok((head, body.to_bytes().to_vec()))
}

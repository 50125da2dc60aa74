//! Sends one request to one server and reads its answer.
//!
//! Invariants: a request is written only while the server is open to requests, which is asked once
//! the connection is there; an attempt is `NotRun` only if no byte of it was written or the server
//! states that it did not run; an answer is passed on only if it answers this very request and, up
//! to the bound of what is held, only when it is complete.

use crate::{backend, dialect, metrics, payload, pool, state};
use bytes::Bytes;
use hyper::{body, header};
use nutmegdale_base::{clock, outcome};
use nutmegdale_dispatch::{estimate, health, placement, signal};
use nutmegdale_rpc::listen;
use std::pin;
use std::sync;
use std::task;
use std::time;

/// Idle time up to which a connection may carry a request that must not be sent twice. A health
/// check or an answer has just shown that it works.
const FRESH_IDLE_MS: clock::Millis = clock::Millis(300);
/// Time without an answer, beyond twice the predicted one, after which a server counts as silent.
const SILENT_MS: clock::Millis = clock::Millis(150);

/// Head of a caller's request.
#[derive(Debug, Clone)]
pub struct Head {
    /// Method.
    pub method: hyper::Method,
    /// Path and query.
    pub uri: hyper::Uri,
    /// Headers, without those that concern one connection.
    pub headers: header::HeaderMap,
}

/// One send.
#[derive(Debug)]
pub struct Send {
    /// Server.
    pub backend: sync::Arc<backend::Backend>,
    /// Head of the request.
    pub head: sync::Arc<Head>,
    /// Identifier of the request.
    pub id: sync::Arc<str>,
    /// Body.
    pub payload: payload::Payload,
    /// Whether the request must not be sent twice.
    pub is_one_time: bool,
    /// End of the time for it.
    pub deadline: clock::Millis,
    /// Prediction that the choice rests on.
    pub prediction: placement::Prediction,
}

/// Answer of a server.
#[derive(Debug)]
pub struct Answer {
    /// Status.
    pub status: hyper::StatusCode,
    /// Headers.
    pub headers: header::HeaderMap,
    /// Body.
    pub body: listen::Body,
    /// Bytes of the body that were read.
    pub held_bytes: u64,
    /// Time from the send to the answer.
    pub took: clock::Millis,
    /// Speed of the server's VM when it answered, in percent of its usual time.
    pub stretch_percent: u32,
    /// Room that the server was predicted to have.
    pub room: estimate::Room,
}

/// Result of one send.
#[derive(Debug)]
pub enum Sent {
    /// The server answered.
    Answered(Answer),
    /// The request provably did not run at this server; `true` if it was written to it.
    NotRun(outcome::Reason, bool),
    /// The request may have run.
    Unknown(outcome::Reason),
}

/// Counts a request at a server until it has ended, however that comes about.
#[derive(Debug)]
struct Flight {
    shared: Holder,
    backend: sync::Arc<backend::Backend>,
    started: clock::Millis,
    patience: clock::Millis,
    /// Predicted time of a server that is as quick as its reports say, in milliseconds.
    reported_ms: f64,
    is_written: bool,
    is_over: bool,
}

/// Parts that are shared; they hold trait objects.
struct Holder(sync::Arc<state::Shared>);

impl std::fmt::Debug for Holder {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Shared")
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        self.backend.signal.end();
        let waited = self.shared.0.clock.now().since(self.started);
        // An answer that was not awaited to its end took at least as long.
        if self.is_written && !self.is_over && waited.0 as f64 > self.reported_ms {
            self.note_answer(waited);
        }
        if self.is_written && !self.is_over && waited > self.patience {
            let failure = health::Failure::Silence;
            self.shared
                .0
                .note_failure(&self.backend, failure, "request");
            self.backend.pool.renew();
        }
    }
}

impl Flight {
    fn begin(shared: &sync::Arc<state::Shared>, send: &Send) -> Flight {
        let patience = clock::Millis((send.prediction.response_ms * 2.0) as u64) + SILENT_MS;
        send.backend.signal.begin();
        Flight {
            shared: Holder(sync::Arc::clone(shared)),
            backend: sync::Arc::clone(&send.backend),
            started: shared.clock.now(),
            patience,
            reported_ms: send.prediction.uncorrected_ms,
            is_written: false,
            is_over: false,
        }
    }

    fn now(&self) -> clock::Millis {
        self.shared.0.clock.now()
    }

    fn note_answer(&self, took: clock::Millis) {
        let signal = &self.backend.signal;
        signal.record_response_time(self.now(), took.0 as f64, self.reported_ms);
    }

    fn failed(&mut self, failure: health::Failure) {
        self.is_over = true;
        self.shared
            .0
            .note_failure(&self.backend, failure, "request");
    }

    /// Notes a refusal of the server. One that is full refuses rightly; one with free slots fails.
    fn refused(&mut self, report: Option<signal::Report>) {
        self.is_over = true;
        match report {
            Some(report) if report.running < report.slots => {
                self.failed(health::Failure::Answer);
            }
            Some(_) => {}
            None => self.backend.signal.record_full(self.now()),
        }
    }

    /// Notes a whole answer of the server.
    fn answered(&mut self, status: hyper::StatusCode) {
        self.is_over = true;
        if status.is_server_error() {
            self.failed(health::Failure::Answer);
            return;
        }
        self.backend.health.record_success();
        self.note_answer(self.now().since(self.started));
    }

    fn take_report(&self, said: &dialect::Response<'_>) {
        if let Some(report) = said.report {
            let own = self.backend.signal.inflight();
            self.backend.signal.record_report(self.now(), report, own);
        }
        if let Some(left) = said.cold_left.filter(|left| *left > clock::Millis::ZERO) {
            self.backend.cold_until(self.now() + left);
        }
    }
}

/// Sends a request and waits for its answer until its deadline.
pub async fn send(shared: &sync::Arc<state::Shared>, send: Send) -> Sent {
    let mut flight = Flight::begin(shared, &send);
    let idle_max = match send.is_one_time {
        true => FRESH_IDLE_MS,
        false => clock::Millis::MAX,
    };
    let left = send.deadline.since(flight.now());
    let checkout = send.backend.pool.checkout(flight.now(), idle_max);
    let connection = match tokio::time::timeout(span(left), checkout).await {
        Ok(Ok(connection)) => connection,
        Ok(Err(pool::Error::Full)) => return Sent::NotRun(outcome::Reason::Overload, false),
        Ok(Err(pool::Error::Connect)) => {
            flight.failed(health::Failure::Connect);
            return Sent::NotRun(outcome::Reason::Connect, false);
        }
        Err(_) => return Sent::NotRun(outcome::Reason::Deadline, false),
    };
    let left = send.deadline.since(flight.now());
    if left == clock::Millis::ZERO {
        return Sent::NotRun(outcome::Reason::Deadline, false);
    }
    if !send.backend.is_open() {
        return Sent::NotRun(outcome::Reason::NoServer, false);
    }
    flight.is_written = true;
    metrics::count(&shared.metrics.sends);
    let exchanged = exchange(shared, &mut flight, connection, send, left);
    match tokio::time::timeout(span(left), exchanged).await {
        Ok(sent) => sent,
        // The dropped connection cancels the request at the server.
        Err(_) => Sent::Unknown(outcome::Reason::Deadline),
    }
}

fn span(left: clock::Millis) -> time::Duration {
    time::Duration::from_millis(left.0)
}

async fn exchange(
    shared: &sync::Arc<state::Shared>,
    flight: &mut Flight,
    mut connection: pool::Connection,
    send: Send,
    left: clock::Millis,
) -> Sent {
    let req = request(shared, &send, left);
    let id = send.id;
    let req = req.map(|()| send.payload.into_body());
    let response = match connection.sender.try_send_request(req).await {
        Ok(response) => response,
        Err(mut err) => {
            if err.take_message().is_some() {
                flight.is_over = true;
                return Sent::NotRun(outcome::Reason::Connect, false);
            }
            let failure = match connection.is_reused {
                // The server may only have closed an idle connection.
                true => health::Failure::Silence,
                false => health::Failure::Answer,
            };
            flight.failed(failure);
            return Sent::Unknown(outcome::Reason::BrokenAnswer);
        }
    };
    let (head, incoming) = response.into_parts();
    let said = shared.dialect.parse_response(head.status, &head.headers);
    if said.request_id.is_some_and(|said| said != &*id) {
        // It answers an earlier request; whether this one ran is not known.
        flight.failed(health::Failure::Answer);
        return Sent::Unknown(outcome::Reason::BrokenAnswer);
    }
    flight.take_report(&said);
    if said.is_misdirected {
        flight.failed(health::Failure::Replaced);
        return Sent::NotRun(outcome::Reason::ServerRefused, true);
    }
    let is_not_run = said.is_not_run;
    let is_sound = !head.status.is_success()
        || (said.is_signed && !head.headers.contains_key(header::CONTENT_ENCODING));
    let payload = match payload::Payload::read(incoming).await {
        Ok(payload) if is_sound || is_not_run => payload,
        _ if is_not_run => return Sent::NotRun(outcome::Reason::ServerRefused, true),
        _ => {
            flight.failed(health::Failure::Answer);
            return Sent::Unknown(outcome::Reason::BrokenAnswer);
        }
    };
    if is_not_run {
        flight.refused(said.report);
        state::checkin(&send.backend, flight.now(), connection, &head.headers);
        return Sent::NotRun(outcome::Reason::ServerRefused, true);
    }
    flight.answered(head.status);
    let last = send.backend.signal.last_report(flight.now());
    let held_bytes = payload.held.len() as u64;
    let body = match payload.rest {
        None => {
            state::checkin(&send.backend, flight.now(), connection, &head.headers);
            payload.into_body()
        }
        Some(_) => listen::Body::new(Kept {
            body: payload.into_body(),
            _connection: connection,
        }),
    };
    Sent::Answered(Answer {
        status: head.status,
        headers: head.headers,
        body,
        held_bytes,
        room: send.prediction.room(),
        took: flight.now().since(flight.started),
        stretch_percent: last.map_or(signal::NO_SLOWDOWN_PERCENT, |aged| aged.slowdown_percent),
    })
}

/// Returns the request without its body, as the server gets it.
fn request(shared: &state::Shared, send: &Send, left: clock::Millis) -> hyper::Request<()> {
    let mut req = hyper::Request::new(());
    *req.method_mut() = send.head.method.clone();
    *req.uri_mut() = send.head.uri.clone();
    *req.headers_mut() = send.head.headers.clone();
    shared
        .dialect
        .prepare_request(req.headers_mut(), send.backend.id(), left);
    req
}

/// Body that streams and keeps its connection until its end.
struct Kept {
    body: listen::Body,
    _connection: pool::Connection,
}

impl body::Body for Kept {
    type Data = Bytes;
    type Error = listen::BodyError;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<body::Frame<Bytes>, listen::BodyError>>> {
        pin::Pin::new(&mut self.body).poll_frame(cx)
    }

    fn size_hint(&self) -> body::SizeHint {
        body::Body::size_hint(&self.body)
    }
}

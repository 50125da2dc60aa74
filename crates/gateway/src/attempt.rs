//! Sends one request to one server and reads the response.
//!
//! Invariants: a request is written only while the server accepts requests and the caller's key is
//! valid, which is checked after the connection is established; an attempt is `NotRun` only if no byte of it was written or the
//! server states that it did not run it; a response is forwarded only if it belongs to this request
//! and, up to the buffering limit, only once it is complete.

use crate::{
    backend, call, caller, in_flight, interim, metrics, opened, payload, pool, rollouts,
    server_traffic, state, upload,
};
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::{body, header};
use nutmegdale_accounts::identify;
use nutmegdale_base::{clock, outcome};
use nutmegdale_dispatch::{estimate, health, placement, server_limit, signal};
use nutmegdale_entry::head as entry_head;
use nutmegdale_rpc::listen;
use std::pin;
use std::sync;
use std::task;
use std::time;

/// Maximum idle time of a connection for a request that must not be sent twice. A health check or a
/// response has just shown that the connection works.
const FRESH_IDLE_MS: clock::Millis = clock::Millis(300);
/// Time for the body of a refusal, which arrives with its head. Waiting longer would delay the next
/// attempt to save a connection.
const REFUSAL_BODY_MS: clock::Millis = clock::Millis(50);

/// Maximum size of the body of a refusal that is read to keep its connection, in bytes.
const REFUSAL_BODY_MAX_BYTES: usize = 64 * 1024;

/// Head of a caller's request, shared by its attempts.
#[derive(Debug, Clone)]
pub struct Head {
    /// Method, forwarded unchanged.
    pub method: hyper::Method,
    /// Request target, forwarded unchanged.
    pub uri: hyper::Uri,
    /// Headers without the hop-by-hop ones.
    pub headers: header::HeaderMap,
}

/// One attempt to serve a request.
#[derive(Debug)]
pub struct Attempt {
    /// Server to send to.
    pub backend: sync::Arc<backend::Backend>,
    /// Head of the request.
    pub head: sync::Arc<Head>,
    /// Identifier of the request, which the response must match if it states one.
    pub request_id: sync::Arc<str>,
    /// Body of the request.
    pub payload: payload::Payload,
    /// Key of the caller, which is checked before the send; `None` if it needs none.
    pub identity: Option<caller::Identity>,
    /// Whether the request must not be sent twice.
    pub is_one_time: bool,
    /// Time at which the attempt is abandoned.
    pub deadline: clock::Millis,
    /// Prediction on which the choice of the server is based.
    pub prediction: placement::Prediction,
    /// Permit of the rate limits of the server.
    pub permit: backend::Permit,
    /// Servers that it may go to during a rollout.
    pub selection: rollouts::Selection,
    /// Recorder of what it says about the version of its server.
    pub observer: Option<rollouts::Observer>,
}

/// Response of a server.
#[derive(Debug)]
pub struct Response {
    /// Status code, forwarded unchanged.
    pub status: hyper::StatusCode,
    /// Headers, including the hop-by-hop ones.
    pub headers: header::HeaderMap,
    /// Body of the response.
    pub body: listen::Body,
    /// Number of bytes of the body that were buffered.
    pub buffered_bytes: u64,
    /// Time from the start of the attempt to the response.
    pub elapsed: clock::Millis,
    /// Slowdown of the server's VM at the time of the response, in percent of the usual work time.
    pub slowdown_percent: u32,
    /// Predicted free capacity of the server.
    pub room: estimate::Room,
    /// Selection by which the server was picked.
    pub selection: rollouts::Selection,
}

/// Result of one attempt.
#[derive(Debug)]
pub enum AttemptResult {
    /// The server responded.
    Answered(Response),
    /// The request did not run on this server. The flag is true if it was written to the server.
    NotRun(outcome::Reason, bool),
    /// The request was not written, since it cannot be shown that its caller's key is valid.
    Refused(identify::Refusal),
    /// The request may have run.
    Unknown(outcome::Reason),
    /// The connection ended before the response did, so the request may have run.
    Disconnected,
}

/// Sends a request and waits for the response until the deadline.
pub async fn run(shared: &sync::Arc<state::Shared>, attempt: Attempt) -> AttemptResult {
    let mut in_flight = in_flight::InFlight::begin(shared, &attempt);
    let idle_max = match attempt.is_one_time {
        true => FRESH_IDLE_MS,
        false => clock::Millis::MAX,
    };
    let time_left = attempt.deadline.since(in_flight.now());
    let checkout = attempt.backend.pool.checkout(in_flight.now(), idle_max);
    let connection = match tokio::time::timeout(duration(time_left), checkout).await {
        Ok(Ok(connection)) => connection,
        Ok(Err(pool::Error::Full)) => {
            return AttemptResult::NotRun(outcome::Reason::Overload, false);
        }
        Ok(Err(pool::Error::Connect | pool::Error::Refused)) => {
            in_flight.record_failure(health::Failure::Connect);
            return AttemptResult::NotRun(outcome::Reason::Connect, false);
        }
        Err(_) => return AttemptResult::NotRun(outcome::Reason::Deadline, false),
    };
    let reason = match attempt.is_one_time {
        true => opened::Reason::OneTimeRequest,
        false => opened::Reason::Request,
    };
    shared.count_opened(reason, &connection);
    let time_left = attempt.deadline.since(in_flight.now());
    if time_left == clock::Millis::ZERO {
        return AttemptResult::NotRun(outcome::Reason::Deadline, false);
    }
    if !attempt.backend.accepts(in_flight.now())
        || !rollouts::may_send(shared, &attempt.backend, attempt.selection)
    {
        return AttemptResult::NotRun(outcome::Reason::NoServer, false);
    }
    if let Some(identity) = &attempt.identity
        && let Err(refusal) = identity.confirm(shared)
    {
        let now = in_flight.now();
        attempt.backend.pool.checkin(now, connection, None);
        return AttemptResult::Refused(refusal);
    }
    if !attempt.backend.confirm(in_flight.now(), attempt.permit) {
        let now = in_flight.now();
        attempt.backend.pool.checkin(now, connection, None);
        return AttemptResult::NotRun(outcome::Reason::ServerLimit, false);
    }
    in_flight.is_written = true;
    if attempt.selection == rollouts::Selection::Canary {
        metrics::increment(&shared.rollouts.canaries);
    }
    metrics::increment(&shared.metrics.sends);
    if attempt.backend.limit.get().is_some() {
        metrics::increment(&shared.metrics.sends_limited);
    }
    let round_trip = round_trip(shared, &mut in_flight, connection, attempt, time_left);
    match tokio::time::timeout(duration(time_left), round_trip).await {
        Ok(result) => result,
        // Dropping the connection cancels the request at the server.
        Err(_) => AttemptResult::Unknown(outcome::Reason::Deadline),
    }
}

fn duration(time_left: clock::Millis) -> time::Duration {
    time::Duration::from_millis(time_left.0)
}

/// Writes the request and reads the response.
async fn round_trip(
    shared: &sync::Arc<state::Shared>,
    in_flight: &mut in_flight::InFlight,
    mut connection: pool::Connection,
    attempt: Attempt,
    time_left: clock::Millis,
) -> AttemptResult {
    let req = request_head(shared, &attempt, time_left);
    let bytes = request_bytes(shared, &attempt.backend);
    bytes
        .sent
        .inc_by(server_traffic::head_bytes(req.headers()) + attempt.payload.len_hint());
    let (body, progress) = upload::track(attempt.payload);
    let sent = SentRequest {
        backend: attempt.backend,
        request_id: attempt.request_id,
        end: attempt.deadline + call::DEADLINE_MARGIN_MS,
        room: attempt.prediction.room(),
        selection: attempt.selection,
        progress,
    };
    let mut req = req.map(|()| body);
    let interim = interim::Limit::watch(&mut req);
    let response = tokio::select! {
        biased;
        response = connection.sender.try_send_request(req) => response,
        () = interim.exceeded() => return broken(in_flight, health::Failure::Answer),
    };
    let mut err = match response {
        Ok(response) => return sent.receive(shared, in_flight, connection, response).await,
        Err(err) => err,
    };
    if err.take_message().is_some() {
        in_flight.record_unserved(connection.is_reused);
        return AttemptResult::NotRun(outcome::Reason::Connect, false);
    }
    let failure = match connection.is_reused {
        // The server may just have closed an idle connection.
        true => health::Failure::Silence,
        false => health::Failure::Answer,
    };
    ended_early(in_flight, failure, err.error())
}

/// Returns the counters of the bytes of requests to a server.
fn request_bytes<'a>(
    shared: &'a state::Shared,
    backend: &backend::Backend,
) -> &'a server_traffic::Bytes {
    let kind = server_traffic::Kind::Request;
    shared.server_traffic.bytes(backend.distance, kind)
}

/// Records a failure after which it is unknown whether the request ran.
fn broken(in_flight: &mut in_flight::InFlight, failure: health::Failure) -> AttemptResult {
    if matches!(failure, health::Failure::Answer) {
        in_flight.observe_failure();
    }
    in_flight.record_failure(failure);
    AttemptResult::Unknown(outcome::Reason::BrokenAnswer)
}

/// Records that a connection failed before the response was complete. It has ended, unless the
/// server sent bytes that are no response.
fn ended_early(
    in_flight: &mut in_flight::InFlight,
    failure: health::Failure,
    err: &hyper::Error,
) -> AttemptResult {
    let result = broken(in_flight, failure);
    match err.is_parse() {
        true => result,
        false => AttemptResult::Disconnected,
    }
}

/// What an attempt keeps of its request once the request is written.
struct SentRequest {
    backend: sync::Arc<backend::Backend>,
    request_id: sync::Arc<str>,
    /// Time at which a streamed response fails.
    end: clock::Millis,
    room: estimate::Room,
    selection: rollouts::Selection,
    progress: upload::Progress,
}

impl SentRequest {
    /// Returns whether a response belongs to this request.
    ///
    /// Servers repeat the identifier of a request in its response. On a reused connection a response
    /// without it may be one that an earlier request or health check got, sent once more.
    fn is_own(&self, response_id: Option<&str>, is_reused: bool) -> bool {
        match response_id {
            Some(id) => id == &*self.request_id,
            None => !is_reused || self.request_id.is_empty(),
        }
    }

    /// Checks the head of a response and reads its body.
    async fn receive(
        mut self,
        shared: &sync::Arc<state::Shared>,
        in_flight: &mut in_flight::InFlight,
        connection: pool::Connection,
        response: hyper::Response<body::Incoming>,
    ) -> AttemptResult {
        let (head, incoming) = response.into_parts();
        if !entry_head::is_final_status(head.status) {
            return broken(in_flight, health::Failure::Answer);
        }
        let length = body::Body::size_hint(&incoming).lower();
        request_bytes(shared, &self.backend)
            .received
            .inc_by(server_traffic::head_bytes(&head.headers) + length);
        let metadata = shared.dialect.parse_response(head.status, &head.headers);
        if !self.is_own(metadata.request_id, connection.is_reused) {
            return broken(in_flight, health::Failure::Answer);
        }
        in_flight.record_load(&metadata);
        if metadata.is_misdirected {
            // Another server holds the address, so nothing else in the response is about this one.
            in_flight.record_failure(health::Failure::Replaced);
            return AttemptResult::NotRun(outcome::Reason::ServerRefused, true);
        }
        shared.record_availability(&self.backend, &metadata);
        let observation = server_limit::Observation {
            stated: metadata.limit,
            sent_at: in_flight.started,
            is_from_service: metadata.is_signed
                && !metadata.is_not_run
                && !head.status.is_server_error(),
        };
        shared.record_limit(&self.backend, &observation);
        if metadata.is_not_run {
            in_flight.record_refusal(&metadata);
            if !self.progress.is_complete() {
                // The rest of the body would only keep the link busy.
                connection.abort();
            } else if is_short(incoming).await {
                state::checkin(&self.backend, in_flight.now(), connection, &head.headers);
            }
            return AttemptResult::NotRun(outcome::Reason::ServerRefused, true);
        }
        let is_valid = !head.status.is_success()
            || (metadata.is_signed && !head.headers.contains_key(header::CONTENT_ENCODING));
        match payload::Payload::read(incoming, &shared.buffer_budget).await {
            Ok(payload) if is_valid => self.answer(in_flight, connection, head, payload),
            Err(err) => ended_early(in_flight, health::Failure::Answer, &err),
            Ok(_) => broken(in_flight, health::Failure::Answer),
        }
    }

    /// Returns the response, whose body keeps its connection if it is still being read.
    fn answer(
        mut self,
        in_flight: &mut in_flight::InFlight,
        connection: pool::Connection,
        head: hyper::http::response::Parts,
        payload: payload::Payload,
    ) -> AttemptResult {
        in_flight.record_response(head.status);
        let now = in_flight.now();
        let last = self.backend.signal.last_report(now);
        let buffered_bytes = payload.buffered.len() as u64;
        let body = match payload.rest {
            None if !self.progress.is_complete() => {
                self.progress.finish(connection, self.end.since(now));
                payload.into_body()
            }
            None => {
                state::checkin(&self.backend, now, connection, &head.headers);
                payload.into_body()
            }
            Some(_) => listen::Body::new(ConnectionBody {
                body: payload.into_body(),
                timeout: Box::pin(tokio::time::sleep(duration(self.end.since(now)))),
                _connection: connection,
            }),
        };
        AttemptResult::Answered(Response {
            status: head.status,
            headers: head.headers,
            body,
            buffered_bytes,
            room: self.room,
            selection: self.selection,
            elapsed: now.since(in_flight.started),
            slowdown_percent: last
                .map_or(signal::NO_SLOWDOWN_PERCENT, |aged| aged.slowdown_percent),
        })
    }
}

/// Reads the body of a refusal, whose head says all there is to know; returns whether it ended soon,
/// so that its connection can be reused.
async fn is_short(body: body::Incoming) -> bool {
    let body = http_body_util::Limited::new(body, REFUSAL_BODY_MAX_BYTES);
    let read = tokio::time::timeout(duration(REFUSAL_BODY_MS), body.collect()).await;
    matches!(read, Ok(Ok(_)))
}

/// Returns the request for the server, without its body.
fn request_head(
    shared: &state::Shared,
    attempt: &Attempt,
    time_left: clock::Millis,
) -> hyper::Request<()> {
    let mut req = hyper::Request::new(());
    *req.method_mut() = attempt.head.method.clone();
    *req.uri_mut() = attempt.head.uri.clone();
    *req.headers_mut() = attempt.head.headers.clone();
    shared
        .dialect
        .prepare_request(req.headers_mut(), attempt.backend.id(), time_left);
    req
}

/// Streamed body that keeps its connection open until it is dropped, and that fails at the timeout
/// of the request.
struct ConnectionBody {
    body: listen::Body,
    timeout: pin::Pin<Box<tokio::time::Sleep>>,
    _connection: pool::Connection,
}

impl body::Body for ConnectionBody {
    type Data = Bytes;
    type Error = listen::BodyError;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<body::Frame<Bytes>, listen::BodyError>>> {
        if self.timeout.as_mut().poll(cx).is_ready() {
            let err = listen::BodyError::from("response did not end before its timeout");
            return task::Poll::Ready(Some(Err(err)));
        }
        pin::Pin::new(&mut self.body).poll_frame(cx)
    }

    fn size_hint(&self) -> body::SizeHint {
        body::Body::size_hint(&self.body)
    }
}

//! Requests that must run at most once.
//!
//! A request with an idempotency key is claimed in the ledger of the route's ledger region before
//! any byte is sent to a server. Its response is recorded before the caller gets it, and resends get
//! the recorded response. Each request runs in its own task, so a caller that disconnects neither
//! leaves a claim behind nor loses the response. A request without a key is sent once by one entry
//! process; if its outcome is `unknown`, nobody can find out later whether it ran. See
//! [docs/design.md](../../../docs/design.md), section 6.

mod answer;
pub(crate) mod outcome;
mod run;
mod send_state;

use crate::check;
use crate::ledger_client;
use crate::proxy;
use crate::response;
use crate::snapshot;
use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use nutmegdale_base::{clock, header, outcome as base_outcome};
use nutmegdale_ledger::{command, key};
use nutmegdale_rpc::{listen, message};
use nutmegdale_settings::model;
use nutmegdale_telemetry::clock as machine_clock;
use std::sync;
use std::sync::atomic;
use std::time;
use tokio::sync::{Semaphore, oneshot};

/// Body size limit of one-time requests without a limit of their route or account, in bytes.
const BODY_MAX_BYTES: u64 = 1024 * 1024;
/// Length limit of an idempotency key, in bytes.
const KEY_MAX_BYTES: usize = 255;
/// Limit of concurrent one-time requests in an entry process, recording included. Each holds its
/// body and at most 64 KiB of its response.
const IN_FLIGHT_MAX_COUNT: usize = 1_024;

/// State that the one-time requests of an entry process share.
#[allow(missing_debug_implementations)] // Holds a trait object.
pub struct OneTime {
    store: sync::Arc<dyn ledger_client::ClaimStore>,
    remote: Option<sync::Arc<ledger_client::RemoteStore>>,
    entry: String,
    boot: u64,
    next_attempt: atomic::AtomicU64,
    in_flight: sync::Arc<Semaphore>,
}

impl OneTime {
    /// Creates the state of a process that uses the ledger of the control processes.
    pub fn new(process: &model::Process) -> OneTime {
        let remote = sync::Arc::new(ledger_client::RemoteStore::new(&process.cluster_token));
        let store = sync::Arc::clone(&remote);
        let mut one_time = OneTime::with_store(&process.name, store);
        one_time.remote = Some(remote);
        one_time
    }

    /// Creates the state of an entry process with any store.
    pub fn with_store(entry: &str, store: sync::Arc<dyn ledger_client::ClaimStore>) -> OneTime {
        OneTime {
            store,
            remote: None,
            entry: entry.to_owned(),
            boot: machine_clock::boot_id(),
            next_attempt: atomic::AtomicU64::new(1),
            in_flight: sync::Arc::new(Semaphore::new(IN_FLIGHT_MAX_COUNT)),
        }
    }

    /// Replaces the list of control processes.
    pub fn set_control(&self, control: message::ControlList) {
        if let Some(remote) = &self.remote {
            remote.set_control(control);
        }
    }

    /// Returns the revision of the list of control processes, or 0 if there is none.
    pub fn control_revision(&self) -> u32 {
        self.remote.as_ref().map_or(0, |r| r.control_revision())
    }

    /// Waits at most `limit` until no request is in flight, and returns whether that was reached.
    pub async fn wait_idle(&self, limit: clock::Millis) -> bool {
        let all = u32::try_from(IN_FLIGHT_MAX_COUNT).unwrap_or(u32::MAX);
        let limit = time::Duration::from_millis(limit.0);
        let idle = tokio::time::timeout(limit, self.in_flight.acquire_many(all)).await;
        matches!(idle, Ok(Ok(_)))
    }

    fn claimant(&self) -> command::Claimant {
        command::Claimant {
            entry: self.entry.clone(),
            boot: self.boot,
            attempt: self.next_attempt.fetch_add(1, atomic::Ordering::Relaxed),
        }
    }
}

/// Rejection of a request before anything was claimed.
struct Rejection(base_outcome::Reason, &'static str);

/// Identity of a request in the ledger.
struct LedgerRecord {
    region: ledger_client::LedgerRegion,
    key: key::KeyId,
    digest: key::Digest,
    retention_ms: clock::Millis,
}

/// Request with its complete body.
struct BufferedRequest {
    head: hyper::http::request::Parts,
    body: Bytes,
    record: Option<LedgerRecord>,
}

impl BufferedRequest {
    fn to_request(&self) -> hyper::Request<listen::Body> {
        let mut req = hyper::Request::new(listen::full(self.body.clone()));
        req.method_mut().clone_from(&self.head.method);
        req.uri_mut().clone_from(&self.head.uri);
        req.headers_mut().clone_from(&self.head.headers);
        req
    }
}

/// Handles a request of the class `one-time-filing`.
pub(crate) async fn handle(
    shared: &sync::Arc<proxy::Shared>,
    snapshot: sync::Arc<snapshot::Snapshot>,
    checked: check::CheckedRequest,
    req: hyper::Request<listen::Body>,
) -> (hyper::Response<listen::Body>, base_outcome::Outcome) {
    let version = snapshot.view.version;
    let started = start(shared, snapshot, checked, req).await;
    let response = match started {
        Ok(response_rx) => response_rx.await.unwrap_or_else(|_| {
            // The task ended without a response: whether it sent the request is unknown.
            let reason = base_outcome::Reason::BrokenAnswer;
            response::error(base_outcome::Outcome::Unknown(reason), version, "")
        }),
        Err(Rejection(reason, detail)) => {
            response::error(base_outcome::Outcome::NotRun(reason), version, detail)
        }
    };
    let outcome = outcome_of(response.headers());
    (response, outcome)
}

/// Returns the outcome in the response headers, for the metrics of the process.
fn outcome_of(headers: &hyper::HeaderMap) -> base_outcome::Outcome {
    use base_outcome::{Outcome, Reason};
    let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
    let reason = text(header::REASON);
    let reason = Reason::ALL.iter().find(|r| Some(r.name()) == reason);
    match (text(header::OUTCOME), reason) {
        (Some("not-run"), Some(reason)) => Outcome::NotRun(*reason),
        (Some("unknown"), Some(reason)) => Outcome::Unknown(*reason),
        _ => Outcome::Answered,
    }
}

async fn start(
    shared: &sync::Arc<proxy::Shared>,
    snapshot: sync::Arc<snapshot::Snapshot>,
    checked: check::CheckedRequest,
    req: hyper::Request<listen::Body>,
) -> Result<oneshot::Receiver<hyper::Response<listen::Body>>, Rejection> {
    let slot = sync::Arc::clone(&shared.one_time.in_flight).try_acquire_owned();
    let slot = slot.map_err(|_| {
        let detail = "too many one-time requests are under way";
        Rejection(base_outcome::Reason::Overload, detail)
    })?;
    let request = buffer_request(shared, &snapshot, &checked, req).await?;
    let (response_tx, response_rx) = oneshot::channel();
    let run = run::Run::new(sync::Arc::clone(shared), snapshot, checked, request);
    tokio::spawn(async move {
        run.run(run::Caller::new(response_tx)).await;
        drop(slot);
    });
    Ok(response_rx)
}

async fn buffer_request(
    shared: &proxy::Shared,
    snapshot: &snapshot::Snapshot,
    checked: &check::CheckedRequest,
    req: hyper::Request<listen::Body>,
) -> Result<BufferedRequest, Rejection> {
    use base_outcome::Reason;
    let idempotency_key = idempotency_key(req.headers())?.map(str::to_owned);
    let (head, incoming) = req.into_parts();
    let limit = check::body_limit(snapshot, checked).unwrap_or(BODY_MAX_BYTES);
    let limit = usize::try_from(limit).unwrap_or(usize::MAX);
    let time_left = checked.deadline.left(shared.clock.now());
    let time_left = time::Duration::from_millis(time_left.unwrap_or_default().0);
    let body = match tokio::time::timeout(time_left, read_body(incoming, limit)).await {
        Ok(body) => body?,
        Err(_) => {
            return Err(Rejection(
                Reason::Deadline,
                "the body did not arrive in time",
            ));
        }
    };
    let record = match idempotency_key {
        Some(key) => Some(ledger_record(snapshot, checked, &head, &key, &body)?),
        None => None,
    };
    Ok(BufferedRequest { head, body, record })
}

async fn read_body(mut incoming: listen::Body, limit_bytes: usize) -> Result<Bytes, Rejection> {
    let reject = |detail| Rejection(base_outcome::Reason::BadRequest, detail);
    let mut body = BytesMut::new();
    while let Some(frame) = incoming.frame().await {
        let frame = frame.map_err(|_| reject("the body ended early"))?;
        if let Ok(data) = frame.into_data() {
            if body.len() + data.len() > limit_bytes {
                return Err(reject("the body is larger than the route permits"));
            }
            body.extend_from_slice(&data);
        }
    }
    Ok(body.freeze())
}

fn ledger_record(
    snapshot: &snapshot::Snapshot,
    checked: &check::CheckedRequest,
    head: &hyper::http::request::Parts,
    key: &str,
    body: &[u8],
) -> Result<LedgerRecord, Rejection> {
    use base_outcome::Reason;
    let view = &snapshot.view;
    let route = &view.routes[checked.route];
    let (Some(region), Some(retention)) = (route.ledger_region, route.retention) else {
        return Err(Rejection(Reason::Ledger, "the ledger region is not known"));
    };
    let permit = checked.regions.permit(region).ok_or(Rejection(
        Reason::HomeRegion,
        "the ledger region is not a home region of the account",
    ))?;
    let target = head.uri.path_and_query().map_or("/", |t| t.as_str());
    Ok(LedgerRecord {
        region: ledger_client::LedgerRegion::new(view, permit),
        key: key::KeyId::new(&view.accounts[checked.account].name, &route.name, key),
        digest: key::Digest::of_request(head.method.as_str(), target, body),
        retention_ms: clock::Millis::from_secs(retention.secs),
    })
}

/// Returns the idempotency key, which identifies the request across resends, if there is one.
fn idempotency_key(headers: &hyper::HeaderMap) -> Result<Option<&str>, Rejection> {
    let mut values = headers.get_all(header::IDEMPOTENCY_KEY).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    let is_single = values.next().is_none();
    let key = value
        .to_str()
        .ok()
        .filter(|key| is_valid_key(key) && is_single);
    let key = key.ok_or(Rejection(
        base_outcome::Reason::Key,
        "the idempotency key must be one header of 1 to 255 visible ASCII characters",
    ))?;
    Ok(Some(key))
}

fn is_valid_key(key: &str) -> bool {
    (1..=KEY_MAX_BYTES).contains(&key.len()) && key.bytes().all(|b| b.is_ascii_graphic())
}

//! Requests that must run at most once.
//!
//! A request with an idempotency key is claimed in the record of the route's ledger region before
//! any byte goes to a server; its answer is recorded before the caller gets it, and resends get the
//! recorded answer. The work runs on a task of its own, so a caller that goes away neither leaves a
//! claim behind nor loses the answer. A request without a key is sent once by one entry process; if
//! its caller is told `unknown`, nothing can tell later whether it ran. See
//! [docs/design.md](../../../docs/design.md), section 6.

mod answer;
mod gate;
pub(crate) mod outcome;
mod run;

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

/// Largest body of a one-time request on a route without a limit of its own, in bytes.
const BODY_MAX_BYTES: u64 = 1024 * 1024;
/// Longest idempotency key, in bytes.
const KEY_MAX_BYTES: usize = 255;
/// One-time requests of an entry process that are under way at once, recording included. Each holds
/// its body and at most 64 KiB of its answer.
const RUNS_MAX_COUNT: usize = 1_024;

/// What the one-time requests of an entry process share.
#[allow(missing_debug_implementations)] // Holds a trait object.
pub struct OneTime {
    store: sync::Arc<dyn ledger_client::ClaimStore>,
    remote: Option<sync::Arc<ledger_client::Remote>>,
    entry: String,
    boot: u64,
    next_attempt: atomic::AtomicU64,
    runs: sync::Arc<Semaphore>,
}

impl OneTime {
    /// Creates the state of a process whose records are kept by control processes.
    pub fn new(process: &model::Process) -> OneTime {
        let remote = sync::Arc::new(ledger_client::Remote::new(&process.cluster_token));
        let store = sync::Arc::clone(&remote);
        let mut one_time = OneTime::with_store(&process.name, store);
        one_time.remote = Some(remote);
        one_time
    }

    /// Creates the state of an entry process over any store.
    pub fn with_store(entry: &str, store: sync::Arc<dyn ledger_client::ClaimStore>) -> OneTime {
        OneTime {
            store,
            remote: None,
            entry: entry.to_owned(),
            boot: machine_clock::boot_id(),
            next_attempt: atomic::AtomicU64::new(1),
            runs: sync::Arc::new(Semaphore::new(RUNS_MAX_COUNT)),
        }
    }

    /// Takes over a list of control processes.
    pub fn set_control(&self, control: message::ControlList) {
        if let Some(remote) = &self.remote {
            remote.set_control(control);
        }
    }

    /// Returns the revision of the list of control processes, or 0 if there is none.
    pub fn control_revision(&self) -> u32 {
        self.remote.as_ref().map_or(0, |r| r.control_revision())
    }

    /// Waits until no request is under way, at most for `limit`, and returns whether that is so.
    pub async fn wait_idle(&self, limit: clock::Millis) -> bool {
        let all = u32::try_from(RUNS_MAX_COUNT).unwrap_or(u32::MAX);
        let limit = time::Duration::from_millis(limit.0);
        let idle = tokio::time::timeout(limit, self.runs.acquire_many(all)).await;
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

/// Why a request was refused before anything was claimed.
struct Refused(base_outcome::Reason, &'static str);

/// Record that a request is kept in.
struct Kept {
    home: ledger_client::Home,
    key: key::KeyId,
    digest: key::Digest,
    keep_ms: clock::Millis,
}

/// Request with its whole body.
struct Whole {
    head: hyper::http::request::Parts,
    body: Bytes,
    kept: Option<Kept>,
}

impl Whole {
    fn to_request(&self) -> hyper::Request<listen::Body> {
        let mut req = hyper::Request::new(listen::full(self.body.clone()));
        req.method_mut().clone_from(&self.head.method);
        req.uri_mut().clone_from(&self.head.uri);
        req.headers_mut().clone_from(&self.head.headers);
        req
    }
}

/// Answers a request of the class `one-time-filing`.
pub(crate) async fn answer(
    shared: &sync::Arc<proxy::Shared>,
    snapshot: sync::Arc<snapshot::Snapshot>,
    checked: check::CheckedRequest,
    req: hyper::Request<listen::Body>,
) -> (hyper::Response<listen::Body>, base_outcome::Outcome) {
    let version = snapshot.view.version;
    let started = start(shared, snapshot, checked, req).await;
    let response = match started {
        Ok(told) => told.await.unwrap_or_else(|_| {
            // The task ended without telling: nothing is known about its send.
            let reason = base_outcome::Reason::BrokenAnswer;
            response::error(base_outcome::Outcome::Unknown(reason), version, "")
        }),
        Err(Refused(reason, detail)) => {
            response::error(base_outcome::Outcome::NotRun(reason), version, detail)
        }
    };
    let outcome = outcome_of(response.headers());
    (response, outcome)
}

/// Returns the outcome that the headers state, for the counts of the process.
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
) -> Result<oneshot::Receiver<hyper::Response<listen::Body>>, Refused> {
    let slot = sync::Arc::clone(&shared.one_time.runs).try_acquire_owned();
    let slot = slot.map_err(|_| {
        let detail = "too many one-time requests are under way";
        Refused(base_outcome::Reason::Overload, detail)
    })?;
    let whole = read_whole(shared, &snapshot, &checked, req).await?;
    let (tell, told) = oneshot::channel();
    let run = run::Run::new(sync::Arc::clone(shared), snapshot, checked, whole);
    tokio::spawn(async move {
        run.run(run::Caller::new(tell)).await;
        drop(slot);
    });
    Ok(told)
}

async fn read_whole(
    shared: &proxy::Shared,
    snapshot: &snapshot::Snapshot,
    checked: &check::CheckedRequest,
    req: hyper::Request<listen::Body>,
) -> Result<Whole, Refused> {
    use base_outcome::Reason;
    let idempotency_key = idempotency_key(req.headers())?.map(str::to_owned);
    let (head, incoming) = req.into_parts();
    let limit = check::body_limit(snapshot, checked).unwrap_or(BODY_MAX_BYTES);
    let limit = usize::try_from(limit).unwrap_or(usize::MAX);
    let left = checked.deadline.left(shared.clock.now());
    let left = time::Duration::from_millis(left.unwrap_or_default().0);
    let body = match tokio::time::timeout(left, read_body(incoming, limit)).await {
        Ok(body) => body?,
        Err(_) => return Err(Refused(Reason::Deadline, "the body did not arrive in time")),
    };
    let kept = match idempotency_key {
        Some(key) => Some(kept(snapshot, checked, &head, &key, &body)?),
        None => None,
    };
    Ok(Whole { head, body, kept })
}

async fn read_body(mut incoming: listen::Body, limit_bytes: usize) -> Result<Bytes, Refused> {
    let refused = |detail| Refused(base_outcome::Reason::BadRequest, detail);
    let mut body = BytesMut::new();
    while let Some(frame) = incoming.frame().await {
        let frame = frame.map_err(|_| refused("the body ended early"))?;
        if let Ok(part) = frame.into_data() {
            if body.len() + part.len() > limit_bytes {
                return Err(refused("the body is larger than the route permits"));
            }
            body.extend_from_slice(&part);
        }
    }
    Ok(body.freeze())
}

fn kept(
    snapshot: &snapshot::Snapshot,
    checked: &check::CheckedRequest,
    head: &hyper::http::request::Parts,
    key: &str,
    body: &[u8],
) -> Result<Kept, Refused> {
    use base_outcome::Reason;
    let view = &snapshot.view;
    let route = &view.routes[checked.route];
    let (Some(region), Some(retention)) = (route.ledger_region, route.retention) else {
        return Err(Refused(Reason::Ledger, "the ledger region is not known"));
    };
    let permit = checked.regions.permit(region).ok_or(Refused(
        Reason::HomeRegion,
        "the ledger region is not a home region of the account",
    ))?;
    let target = head.uri.path_and_query().map_or("/", |t| t.as_str());
    Ok(Kept {
        home: ledger_client::Home::new(view, permit),
        key: key::KeyId::new(&view.accounts[checked.account].name, &route.name, key),
        digest: key::Digest::of_request(head.method.as_str(), target, body),
        keep_ms: clock::Millis::from_secs(retention.secs),
    })
}

/// Returns the key that identifies the request across resends, if it has one.
fn idempotency_key(headers: &hyper::HeaderMap) -> Result<Option<&str>, Refused> {
    let mut values = headers.get_all(header::IDEMPOTENCY_KEY).iter();
    let Some(value) = values.next() else {
        return Ok(None);
    };
    let is_single = values.next().is_none();
    let key = value.to_str().ok().filter(|key| is_key(key) && is_single);
    let key = key.ok_or(Refused(
        base_outcome::Reason::Key,
        "the idempotency key must be one header of 1 to 255 visible ASCII characters",
    ))?;
    Ok(Some(key))
}

fn is_key(key: &str) -> bool {
    (1..=KEY_MAX_BYTES).contains(&key.len()) && key.bytes().all(|b| b.is_ascii_graphic())
}

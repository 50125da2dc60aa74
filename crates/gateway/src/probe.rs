//! Health checks right before a server is picked, since load reports are stale within milliseconds.

use crate::{backend, interim, metrics, opened, pool, server_traffic, state};
use http_body_util::BodyExt;
use hyper::header;
use nutmegdale_admission::bucket;
use nutmegdale_base::clock;
use nutmegdale_dispatch::{health, placement, server_limit};
use nutmegdale_entry::head as entry_head;
use nutmegdale_rpc::listen;
use std::sync;
use std::time;
use tokio::task;

/// Timeout of a health check. On a reused connection a health check needs no slot of the server, so
/// this only covers the network and a slow VM.
const TIMEOUT_MS: u64 = 400;
/// Maximum size of the body of a response to a health check, in bytes.
const BODY_MAX_BYTES: usize = 64 * 1024;
/// Percentage of the allowed health checks that is used; the rest is reserved for processes that
/// join.
const USED_PERCENT: f64 = 70.0;

/// Takes a token for one health check from this process's share; returns whether there was one.
fn acquire_token(shared: &state::Shared, now: clock::Millis) -> bool {
    let table = shared.table.load();
    let allowed = shared.settings.bounds.probes_per_s * table.servers_count() as f64;
    let share = allowed * USED_PERCENT / 100.0 / table.processes_count() as f64;
    let rate = bucket::Rate::smooth((share as u64).max(1));
    shared.probe_budget.take(now, 1, rate).is_ok()
}

/// Reason why a health check yielded no load report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum ProbeError {
    /// The server failed, which counts for its ejection.
    Failed(health::Failure),
    /// A new connection was not served: a full server makes it wait for a slot, or resets it.
    Unserved,
    /// A reused connection was closed, which says nothing about the state of the server.
    Closed,
    /// This process has used up its share of the server's connections.
    NoConnection,
    /// The server stopped accepting requests while the connection was established.
    NotAccepted,
}

/// Spawns a task that runs a health check of a server, or joins the one that is running. Returns
/// `None` if the last report is fresh or the limit of health checks is reached.
///
/// The health check outlives the request that started it, since other requests use its result.
pub fn refresh(
    shared: &sync::Arc<state::Shared>,
    backend: &sync::Arc<backend::Backend>,
    path: &str,
) -> Option<task::JoinHandle<()>> {
    refresh_if(shared, backend, path, |_| true)
}

/// Like [`refresh`], but opens a connection only within the budget.
pub fn refresh_within_budget(
    shared: &sync::Arc<state::Shared>,
    backend: &sync::Arc<backend::Backend>,
    path: &str,
) -> Option<task::JoinHandle<()>> {
    refresh_if(shared, backend, path, |now| {
        let may_connect = || backend.connect_hold.allows(now) && shared.connect_budget.withdraw();
        let is_limited = shared.settings.features.limits_connections;
        let is_allowed = !is_limited || backend.pool.has_kept(now) || may_connect();
        if !is_allowed {
            metrics::increment(&shared.metrics.probes_unconnected);
        }
        is_allowed
    })
}

/// Returns whether [`refresh_within_budget`] may run a health check of a server.
pub fn is_within_budget(
    shared: &state::Shared,
    backend: &backend::Backend,
    now: clock::Millis,
) -> bool {
    !shared.settings.features.limits_connections
        || backend.pool.has_kept(now)
        || backend.probe.is_running()
        || (backend.connect_hold.allows(now) && shared.connect_budget.has_token())
}

fn refresh_if(
    shared: &sync::Arc<state::Shared>,
    backend: &sync::Arc<backend::Backend>,
    path: &str,
    may_check: impl FnOnce(clock::Millis) -> bool,
) -> Option<task::JoinHandle<()>> {
    let now = shared.clock.now();
    if !backend.accepts(now) {
        return None;
    }
    let last = backend.signal.last_report(now);
    let is_fresh = last.is_some_and(|last| last.age <= placement::FRESH_MS);
    let may_probe =
        !is_fresh && (backend.probe.is_running() || (acquire_token(shared, now) && may_check(now)));
    may_probe.then(|| {
        let (shared, backend) = (sync::Arc::clone(shared), sync::Arc::clone(backend));
        tokio::spawn(probe(shared, backend, path.to_owned()))
    })
}

/// Runs a health check and records its result, or waits for the one that is running.
async fn probe(
    shared: sync::Arc<state::Shared>,
    backend: sync::Arc<backend::Backend>,
    path: String,
) {
    let Some(_guard) = backend.probe.try_begin() else {
        return backend.probe.wait().await;
    };
    metrics::increment(&shared.metrics.probes);
    let Err(err) = run_check(&shared, &backend, &path).await else {
        return backend.connect_hold.record_served();
    };
    metrics::increment(&shared.metrics.probes_failed);
    match err {
        ProbeError::Failed(failure) => {
            if failure == health::Failure::Silence {
                backend.pool.invalidate();
                shared.connect_budget.refund();
            }
            shared.record_failure(&backend, failure, "health check");
        }
        // Without a report the server ranks behind those with a known load.
        ProbeError::Unserved => {
            metrics::increment(&shared.metrics.probes_unserved);
            backend.connect_hold.record_unserved(shared.clock.now());
        }
        ProbeError::Closed => backend.pool.invalidate(),
        ProbeError::NoConnection | ProbeError::NotAccepted => {}
    }
}

async fn run_check(
    shared: &state::Shared,
    backend: &backend::Backend,
    path: &str,
) -> Result<(), ProbeError> {
    let checkout = backend
        .pool
        .checkout(shared.clock.now(), clock::Millis::MAX)
        .await;
    let connection = checkout.map_err(|err| match err {
        pool::Error::Connect | pool::Error::Refused => ProbeError::Failed(health::Failure::Connect),
        pool::Error::Full => ProbeError::NoConnection,
    })?;
    shared.count_opened(opened::Reason::HealthCheck, &connection);
    if !backend.accepts(shared.clock.now()) {
        return Err(ProbeError::NotAccepted);
    }
    let is_reused = connection.is_reused;
    let timeout = time::Duration::from_millis(TIMEOUT_MS);
    match tokio::time::timeout(timeout, request_report(shared, backend, path, connection)).await {
        Ok(result) => result,
        Err(_) if is_reused => Err(ProbeError::Failed(health::Failure::Silence)),
        Err(_) => Err(ProbeError::Unserved),
    }
}

async fn request_report(
    shared: &state::Shared,
    backend: &backend::Backend,
    path: &str,
    mut connection: pool::Connection,
) -> Result<(), ProbeError> {
    let own_in_flight = backend.signal.in_flight();
    let host = backend.announcement.address.to_string();
    let mut req = hyper::Request::get(path)
        .header(header::HOST, host)
        .body(listen::full(""))
        .map_err(|_| ProbeError::Failed(health::Failure::Answer))?;
    let err = match connection.is_reused {
        true => ProbeError::Closed,
        false => ProbeError::Unserved,
    };
    let bytes = shared
        .server_traffic
        .bytes(backend.distance, server_traffic::Kind::Probe);
    bytes.sent.inc_by(server_traffic::head_bytes(req.headers()));
    let interim = interim::Limit::watch(&mut req);
    let response = tokio::select! {
        biased;
        response = connection.sender.send_request(req) => response.map_err(|_| err)?,
        () = interim.exceeded() => return Err(ProbeError::Failed(health::Failure::Answer)),
    };
    let (head, body) = response.into_parts();
    if !entry_head::is_final_status(head.status) {
        return Err(ProbeError::Failed(health::Failure::Answer));
    }
    bytes
        .received
        .inc_by(server_traffic::head_bytes(&head.headers));
    let collected = http_body_util::Limited::new(body, BODY_MAX_BYTES)
        .collect()
        .await;
    collected.map_err(
        |cause| match cause.is::<http_body_util::LengthLimitError>() {
            true => ProbeError::Failed(health::Failure::Answer),
            false => err,
        },
    )?;
    let now = shared.clock.now();
    let metadata = shared.dialect.parse_response(head.status, &head.headers);
    if metadata.request_id.is_some() {
        // The response belongs to an earlier request: a health check has no identifier.
        return Err(ProbeError::Failed(health::Failure::Answer));
    }
    if metadata
        .server_id
        .is_some_and(|server| server != backend.id())
    {
        return Err(ProbeError::Failed(health::Failure::Replaced));
    }
    shared.record_availability(backend, &metadata);
    let observation = server_limit::Observation {
        stated: metadata.limit,
        sent_at: now,
        // Servers name their limits in answers to requests; a health check may lack it.
        is_from_service: false,
    };
    shared.record_limit(backend, &observation);
    if let Some(report) = metadata.report {
        backend.signal.record_report(now, report, own_in_flight);
    }
    match metadata.cold_left {
        Some(left) if left > clock::Millis::ZERO => backend.extend_cold_until(now + left),
        _ => backend.mark_warm(),
    }
    state::checkin(backend, now, connection, &head.headers);
    Ok(())
}

//! Health checks right before a choice, since load reports are stale within milliseconds.

use crate::{backend, metrics, pool, state};
use http_body_util::BodyExt;
use hyper::header;
use nutmegdale_admission::bucket;
use nutmegdale_base::clock;
use nutmegdale_dispatch::{health, placement};
use nutmegdale_rpc::listen;
use std::sync;
use std::time;
use tokio::task;

/// Time after which a health check is given up. On a kept connection its answer does not wait for a
/// slot, so this only covers the way and a busy VM.
const SILENT_MS: u64 = 400;
/// Part of the allowed health checks that is used, in percent; the rest covers processes that join.
const USED_PERCENT: f64 = 70.0;

/// Takes the right to one health check.
fn may_probe(shared: &state::Shared, now: clock::Millis) -> bool {
    let table = shared.table.load();
    let allowed = shared.settings.bounds.probes_per_s * table.servers_count() as f64;
    let own = allowed * USED_PERCENT / 100.0 / table.processes_count() as f64;
    let rate = bucket::Rate::smooth((own as u64).max(1));
    shared.probes.take(now, 1, rate).is_ok()
}

/// Why a health check brought no report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    /// The server failed.
    Failed(health::Failure),
    /// A new connection was not served: a full server lets it wait for a slot, or resets it.
    Full,
    /// A kept connection was closed, which says nothing of the server.
    Closed,
    /// This process has its share of the server's connections in use.
    NoConnection,
}

/// Asks a server for its load, unless it reported that a moment ago or the allowed health checks are
/// used up; one that is under way is waited for. It runs as a task of its own, since its answer is
/// of use to other requests once the one that asked has been decided.
pub fn refresh(
    shared: &sync::Arc<state::Shared>,
    backend: &sync::Arc<backend::Backend>,
    path: &str,
) -> Option<task::JoinHandle<()>> {
    let now = shared.clock.now();
    let last = backend.signal.last_report(now);
    let is_known = last.is_some_and(|last| last.age <= placement::FRESH_MS);
    let may_ask = !is_known && (backend.check.is_under_way() || may_probe(shared, now));
    may_ask.then(|| {
        let (shared, backend) = (sync::Arc::clone(shared), sync::Arc::clone(backend));
        tokio::spawn(probe(shared, backend, path.to_owned()))
    })
}

/// Asks a server for its load and notes the answer, or waits for the answer of a health check that
/// is under way.
async fn probe(
    shared: sync::Arc<state::Shared>,
    backend: sync::Arc<backend::Backend>,
    path: String,
) {
    let Some(_under_way) = backend.check.begin() else {
        return backend.check.wait().await;
    };
    metrics::count(&shared.metrics.probes);
    let Err(fault) = check(&shared, &backend, &path).await else {
        return;
    };
    metrics::count(&shared.metrics.probes_failed);
    match fault {
        Fault::Failed(failure) => {
            if failure == health::Failure::Silence {
                backend.pool.renew();
            }
            shared.note_failure(&backend, failure, "health check");
        }
        // Nothing is known of it then, so servers that are known go before it.
        Fault::Full => metrics::count(&shared.metrics.probes_unserved),
        Fault::Closed => backend.pool.renew(),
        Fault::NoConnection => {}
    }
}

async fn check(
    shared: &state::Shared,
    backend: &backend::Backend,
    path: &str,
) -> Result<(), Fault> {
    let checkout = backend
        .pool
        .checkout(shared.clock.now(), clock::Millis::MAX)
        .await;
    let connection = checkout.map_err(|err| match err {
        pool::Error::Connect => Fault::Failed(health::Failure::Connect),
        pool::Error::Full => Fault::NoConnection,
    })?;
    let is_reused = connection.is_reused;
    let limit = time::Duration::from_millis(SILENT_MS);
    match tokio::time::timeout(limit, ask(shared, backend, path, connection)).await {
        Ok(asked) => asked,
        Err(_) if is_reused => Err(Fault::Failed(health::Failure::Silence)),
        Err(_) => Err(Fault::Full),
    }
}

async fn ask(
    shared: &state::Shared,
    backend: &backend::Backend,
    path: &str,
    mut connection: pool::Connection,
) -> Result<(), Fault> {
    let own = backend.signal.inflight();
    let host = backend.announcement.address.to_string();
    let req = hyper::Request::get(path)
        .header(header::HOST, host)
        .body(listen::full(""))
        .map_err(|_| Fault::Failed(health::Failure::Answer))?;
    let fault = match connection.is_reused {
        true => Fault::Closed,
        false => Fault::Full,
    };
    let answer = connection.sender.send_request(req).await;
    let answer = answer.map_err(|_| fault)?;
    let (head, body) = answer.into_parts();
    body.collect().await.map_err(|_| fault)?;
    let now = shared.clock.now();
    let said = shared.dialect.parse_response(head.status, &head.headers);
    if said.server_id.is_some_and(|server| server != backend.id()) {
        return Err(Fault::Failed(health::Failure::Replaced));
    }
    if let Some(report) = said.report {
        backend.signal.record_report(now, report, own);
    }
    match said.cold_left {
        Some(left) if left > clock::Millis::ZERO => backend.cold_until(now + left),
        _ => backend.warm(),
    }
    state::checkin(backend, now, connection, &head.headers);
    Ok(())
}

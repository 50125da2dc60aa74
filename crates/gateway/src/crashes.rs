//! Recognises servers that crashed under requests, and requests that crash servers.
//!
//! A connection that ends without a response says little: servers break off for many reasons. A
//! process therefore asks for a new connection right afterwards. A refusal shows that nothing listens
//! at the address any more, which a server that leaves, resets a connection or is cut off does not
//! cause. The evidence is a fact that all processes share. See
//! [docs/design/crashing-requests.md](../../../docs/design/crashing-requests.md).

use crate::{backend, fingerprint, metrics, opened, pool, rollouts, state};
use nutmegdale_base::clock;
use nutmegdale_dispatch::crash;
use nutmegdale_gossip::crashes;
use std::sync;
use std::time;

/// Time from the end of a connection to the check. The other connections of a crashed server have
/// ended by then.
const CHECK_DELAY_MS: u64 = 60;
/// Requests at one server that are remembered until the check; a server runs fewer of one process.
const SUSPECTS_MAX_COUNT: usize = 64;

/// Requests whose connections to a server ended without a response, until it is known whether the
/// server crashed.
#[derive(Debug, Default)]
pub struct Suspects {
    fingerprints: sync::Mutex<Vec<fingerprint::Fingerprint>>,
}

impl Suspects {
    fn lock(&self) -> sync::MutexGuard<'_, Vec<fingerprint::Fingerprint>> {
        self.fingerprints
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// Notes that the connection of a request to a server ended without a response, and checks whether
/// the server crashed.
pub(crate) fn suspect(
    shared: &sync::Arc<state::Shared>,
    backend: &sync::Arc<backend::Backend>,
    fingerprint: fingerprint::Fingerprint,
) {
    // During a rollout the version of the server explains a crash better than the request.
    if !backend.is_open() || backend.role() != rollouts::Role::Usual {
        return;
    }
    let mut suspects = backend.suspects.lock();
    if suspects.len() >= SUSPECTS_MAX_COUNT {
        return;
    }
    suspects.push(fingerprint);
    if suspects.len() == 1 {
        tokio::spawn(check(sync::Arc::clone(shared), sync::Arc::clone(backend)));
    }
}

/// Attributes the crash to the suspects if the server has crashed.
async fn check(shared: sync::Arc<state::Shared>, backend: sync::Arc<backend::Backend>) {
    tokio::time::sleep(time::Duration::from_millis(CHECK_DELAY_MS)).await;
    let is_crashed = backend.is_open() && refuses_connections(&shared, &backend).await;
    let suspects = std::mem::take(&mut *backend.suspects.lock());
    if !is_crashed || !backend.is_open() {
        return;
    }
    metrics::increment(&shared.metrics.servers_crashed);
    let now = shared.clock.now();
    let server = &backend.announcement;
    let digest = crashes::server_digest(&server.id, server.born);
    let is_alone = shared.crashes.record(now, digest);
    shared
        .decision_log
        .write_crash(now, &backend, suspects.len(), is_alone);
    let running: Vec<_> = suspects
        .iter()
        .map(|suspect| (*suspect, shared.gossip.crashes_count(*suspect)))
        .collect();
    for fingerprint in crash::attributed(&running, is_alone) {
        shared.gossip.record_crash(now, fingerprint, digest);
    }
}

/// Returns whether nothing listens at the address of a server. No answer is no evidence: the server
/// or the link may be down for another reason. A connection that shows that the server works is kept
/// for the next request.
async fn refuses_connections(shared: &state::Shared, backend: &backend::Backend) -> bool {
    let now = shared.clock.now();
    match backend.pool.checkout(now, clock::Millis::MAX).await {
        Ok(connection) => {
            shared.count_opened(opened::Reason::HealthCheck, &connection);
            backend.pool.checkin(now, connection, None);
            false
        }
        Err(err) => err == pool::Error::Refused,
    }
}

//! Grants held by an entry process, owned by the task that syncs.

use crate::GRANT_MS;
use crate::lease;
use crate::message;
use nutmegdale_base::clock;
use std::collections;
use std::sync;

/// Maximum number of grants that one entry process requests at a time, so that several processes
/// share the warm-up of the servers of a zone that returns.
pub const GRANTS_MAX_COUNT: usize = 4;

#[derive(Debug, Default)]
struct ServerGrant {
    lease: sync::Arc<lease::Lease>,
    /// The grant, while it is held.
    id: Option<message::GrantId>,
    /// Whether the grant is released as soon as no request is in flight.
    is_stopping: bool,
    /// Last released grant, which a delayed answer must not renew.
    last_released: Option<message::GrantId>,
}

/// Grants of one entry process, by server.
#[derive(Debug, Default)]
pub struct Holder {
    servers: collections::BTreeMap<String, ServerGrant>,
    /// Releases that no answer has acknowledged yet.
    unacked_releases: Vec<message::Grant>,
}

impl Holder {
    /// Creates a holder without grants.
    pub fn new() -> Holder {
        Holder::default()
    }

    /// Returns the lease of a server, which stays the same as long as the process runs.
    pub fn lease(&mut self, server: &str) -> sync::Arc<lease::Lease> {
        if let Some(grant) = self.servers.get(server) {
            return sync::Arc::clone(&grant.lease);
        }
        let grant = self.servers.entry(server.to_owned()).or_default();
        sync::Arc::clone(&grant.lease)
    }

    /// Returns the request for the next sync, given the cold servers that client requests need.
    ///
    /// A grant that is no longer needed is released once no request is in flight under it.
    pub fn request<'a>(&mut self, wanted: impl Iterator<Item = &'a str>) -> message::GrantRequest {
        let wanted: collections::BTreeSet<&str> = wanted.collect();
        for (server, grant) in &mut self.servers {
            if grant.is_stopping || (grant.id.is_some() && !wanted.contains(server.as_str())) {
                grant.is_stopping = true;
                release_if_idle(server, grant, &mut self.unacked_releases);
            }
        }
        let is_stopping = |server: &str| self.servers.get(server).is_some_and(|g| g.is_stopping);
        let is_held = |server: &str| self.servers.get(server).is_some_and(|g| g.id.is_some());
        let eligible = wanted.iter().filter(|server| !is_stopping(server));
        let (mut requested, others): (Vec<&str>, Vec<&str>) =
            eligible.copied().partition(|server| is_held(server));
        let room = GRANTS_MAX_COUNT.saturating_sub(requested.len());
        requested.extend(others.into_iter().take(room));
        message::GrantRequest {
            wanted: requested.into_iter().map(str::to_owned).collect(),
            released: self.unacked_releases.clone(),
        }
    }

    /// Applies the answer to a sync that was sent at `sent` with `req`.
    pub fn apply_answer(
        &mut self,
        sent: clock::Millis,
        req: &message::GrantRequest,
        granted: &[message::Grant],
    ) {
        self.unacked_releases
            .retain(|grant| !req.released.contains(grant));
        for grant in granted {
            let held = self.servers.entry(grant.server.clone()).or_default();
            let is_released = held.last_released.is_some_and(|last| grant.id <= last);
            if held.is_stopping || is_released {
                continue;
            }
            held.id = held.id.max(Some(grant.id));
            held.lease.extend(sent + GRANT_MS);
        }
    }
}

/// Ends the lease of a grant; releases the grant if no request is in flight under it.
fn release_if_idle(server: &str, grant: &mut ServerGrant, unacked: &mut Vec<message::Grant>) {
    if !grant.lease.stop() {
        return;
    }
    grant.is_stopping = false;
    grant.last_released = grant.last_released.max(grant.id);
    if let Some(id) = grant.id.take() {
        unacked.push(message::Grant {
            server: server.to_owned(),
            id,
        });
    }
}

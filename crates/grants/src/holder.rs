//! Grants at an entry process, owned by the task that syncs.

use crate::GRANT_MS;
use crate::lease;
use crate::message;
use nutmegdale_base::clock;
use std::collections;
use std::sync;

/// Grants that one entry process asks for at once, so that several processes share the warming of
/// a zone that returns.
pub const GRANTS_MAX_COUNT: usize = 4;

#[derive(Debug, Default)]
struct Held {
    lease: sync::Arc<lease::Lease>,
    id: Option<message::GrantId>,
    is_stopping: bool,
    /// Highest grant that was given up; an answer that was under way may still renew it.
    released: Option<message::GrantId>,
}

/// Grants of one entry process, by server.
#[derive(Debug, Default)]
pub struct Holder {
    servers: collections::BTreeMap<String, Held>,
    /// Releases that no answer has confirmed yet.
    unconfirmed: Vec<message::Grant>,
}

impl Holder {
    /// Creates a holder without grants.
    pub fn new() -> Holder {
        Holder::default()
    }

    /// Returns the lease of a server, which lives as long as the process.
    pub fn lease(&mut self, server: &str) -> sync::Arc<lease::Lease> {
        if let Some(held) = self.servers.get(server) {
            return sync::Arc::clone(&held.lease);
        }
        let held = self.servers.entry(server.to_owned()).or_default();
        sync::Arc::clone(&held.lease)
    }

    /// Returns what to ask for, given the cold servers that requests wait for.
    ///
    /// Every grant that is not wanted any more is given up as soon as nothing is in flight.
    pub fn request<'a>(&mut self, wanted: impl Iterator<Item = &'a str>) -> message::GrantRequest {
        let wanted: collections::BTreeSet<&str> = wanted.collect();
        for (server, held) in &mut self.servers {
            if held.is_stopping || (held.id.is_some() && !wanted.contains(server.as_str())) {
                held.is_stopping = true;
                give_up(server, held, &mut self.unconfirmed);
            }
        }
        let is_stopping = |server: &str| self.servers.get(server).is_some_and(|h| h.is_stopping);
        let is_held = |server: &str| self.servers.get(server).is_some_and(|h| h.id.is_some());
        let asked = wanted.iter().filter(|server| !is_stopping(server));
        let (mut held, others): (Vec<&str>, Vec<&str>) =
            asked.copied().partition(|server| is_held(server));
        let room = GRANTS_MAX_COUNT.saturating_sub(held.len());
        held.extend(others.into_iter().take(room));
        message::GrantRequest {
            wanted: held.into_iter().map(str::to_owned).collect(),
            released: self.unconfirmed.clone(),
        }
    }

    /// Takes the answer to the sync that was sent at `sent` with `asked`.
    pub fn apply_answer(
        &mut self,
        sent: clock::Millis,
        asked: &message::GrantRequest,
        granted: &[message::Grant],
    ) {
        self.unconfirmed
            .retain(|grant| !asked.released.contains(grant));
        for grant in granted {
            let held = self.servers.entry(grant.server.clone()).or_default();
            let is_over = held.released.is_some_and(|released| grant.id <= released);
            if held.is_stopping || is_over {
                continue;
            }
            held.id = held.id.max(Some(grant.id));
            held.lease.extend(sent + GRANT_MS);
        }
    }
}

fn give_up(server: &str, held: &mut Held, unconfirmed: &mut Vec<message::Grant>) {
    if !held.lease.stop() {
        return;
    }
    held.is_stopping = false;
    held.released = held.released.max(held.id);
    if let Some(id) = held.id.take() {
        unconfirmed.push(message::Grant {
            server: server.to_owned(),
            id,
        });
    }
}

//! What the path of a request reads: a view, its lease and the live part of each server.

use crate::audit;
use crate::pool;
use arc_swap::ArcSwap;
use nutmegdale_base::{clock, entity};
use nutmegdale_choice::{policy, signal};
use nutmegdale_membership::announcement;
use nutmegdale_routing::view;
use std::collections;
use std::sync;
use std::sync::atomic;

/// Part of a server that outlives a view: its load signal and connections.
#[derive(Debug)]
pub struct Live {
    /// Load signal.
    pub signal: sync::Arc<signal::Signal>,
    /// Connections to this start of the server.
    pub pool: pool::Pool,
}

/// View with the live parts of its servers.
#[derive(Debug)]
pub struct Snapshot {
    /// The view.
    pub view: view::View,
    /// Live part of each server.
    pub live: entity::PrimaryMap<entity::Server, sync::Arc<Live>>,
    /// Candidates of each service.
    pub candidates: entity::PrimaryMap<entity::Service, Vec<policy::Candidate>>,
    /// Counters for the audit.
    pub counts: audit::Counts,
}

type LiveKey = (String, u64);

/// Keeps live parts across views.
#[derive(Debug, Default)]
pub struct Builder {
    live: collections::HashMap<LiveKey, sync::Arc<Live>>,
}

impl Builder {
    /// Creates a builder without live parts.
    pub fn new() -> Builder {
        Builder::default()
    }

    /// Joins a view with the live parts of its servers and drops those of servers that are gone.
    pub fn build(&mut self, view: view::View, counts: audit::Counts) -> Snapshot {
        let entries_count = view.entries.len().max(1);
        let mut kept = collections::HashMap::new();
        let mut live = entity::PrimaryMap::new();
        for server in view.servers.values() {
            // A new start of a server begins with a new signal and no connections.
            let key = (server.name.clone(), server.incarnation);
            let part = match self.live.remove(&key) {
                Some(part) => part,
                None => sync::Arc::new(Live {
                    signal: sync::Arc::new(signal::Signal::new()),
                    pool: pool::Pool::new(server.address),
                }),
            };
            part.pool.set_share(server.connections, entries_count);
            kept.insert(key, sync::Arc::clone(&part));
            live.push(part);
        }
        self.live = kept;
        let mut candidates = entity::PrimaryMap::new();
        for service in view.services.values() {
            let list = service
                .servers
                .iter()
                .map(|server| candidate(&view, &live, *server));
            candidates.push(list.collect());
        }
        Snapshot {
            view,
            live,
            candidates,
            counts,
        }
    }
}

fn candidate(
    view: &view::View,
    live: &entity::PrimaryMap<entity::Server, sync::Arc<Live>>,
    key: entity::Server,
) -> policy::Candidate {
    let server = &view.servers[key];
    policy::Candidate {
        server: key,
        region: server.region,
        distance: server.distance as u8,
        slots: server.slots,
        is_cold: server.state == announcement::ServerState::Cold,
        signal: sync::Arc::clone(&live[key].signal),
    }
}

/// Published snapshot with its lease.
#[derive(Debug)]
pub struct Published {
    snapshot: ArcSwap<Snapshot>,
    lease_ends_ms: atomic::AtomicU64,
}

impl Published {
    /// Publishes a first snapshot without a lease.
    pub fn new(snapshot: Snapshot) -> Published {
        Published {
            snapshot: ArcSwap::from_pointee(snapshot),
            lease_ends_ms: atomic::AtomicU64::new(0),
        }
    }

    /// Returns the snapshot.
    pub fn load(&self) -> sync::Arc<Snapshot> {
        self.snapshot.load_full()
    }

    /// Publishes a snapshot. It must come before the lease that confirms it is extended.
    pub fn store(&self, snapshot: Snapshot) {
        self.snapshot.store(sync::Arc::new(snapshot));
    }

    /// Extends the lease; it never becomes shorter.
    pub fn extend_lease(&self, ends: clock::Millis) {
        self.lease_ends_ms
            .fetch_max(ends.0, atomic::Ordering::Release);
    }

    /// Returns whether new work may be given at `now`.
    pub fn has_lease(&self, now: clock::Millis) -> bool {
        now.0 < self.lease_ends_ms.load(atomic::Ordering::Acquire)
    }
}

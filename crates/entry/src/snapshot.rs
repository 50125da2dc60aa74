//! Immutable snapshot that the request path reads, and its publication under the configuration
//! lease.

use crate::audit;
use crate::state;
use arc_swap::ArcSwap;
use nutmegdale_admission::limit;
use nutmegdale_base::{clock, entity};
use nutmegdale_choice::policy;
use nutmegdale_grants::holder;
use nutmegdale_membership::announcement;
use nutmegdale_routing::view;
use std::sync;
use std::sync::atomic;

/// View of the catalogue and the directory, with the mutable state of the entities in it.
#[derive(Debug)]
pub struct Snapshot {
    /// Routing view.
    pub view: view::View,
    /// State of each server.
    pub servers: entity::PrimaryMap<entity::Server, sync::Arc<state::Server>>,
    /// State of each service.
    pub services: entity::PrimaryMap<entity::Service, sync::Arc<state::Service>>,
    /// Limiter of each route.
    pub route_limits: entity::PrimaryMap<entity::Route, sync::Arc<limit::Limiter>>,
    /// Limiter of each account.
    pub account_limits: entity::PrimaryMap<entity::Account, sync::Arc<limit::Limiter>>,
    /// Warm servers of each service, nearest first.
    pub candidates: entity::PrimaryMap<entity::Service, Vec<policy::Candidate>>,
    /// Cold servers of each service, nearest first.
    pub cold_servers: entity::PrimaryMap<entity::Service, Vec<entity::Server>>,
    /// Counters of the audit.
    pub counters: audit::SnapshotCounters,
}

/// Returns the name under which the limit of a route is shared among entry processes.
pub fn route_limit_name(route: &view::RouteView) -> String {
    format!("route:{}", route.name)
}

/// Returns the name under which the limit of an account is shared among entry processes.
pub fn account_limit_name(account: &view::AccountView) -> String {
    format!("account:{}", account.name)
}

/// Builds snapshots and keeps the state of entities across them.
#[derive(Debug, Default)]
pub struct Builder {
    states: state::Table,
}

impl Builder {
    /// Creates a builder without any state.
    pub fn new() -> Builder {
        Builder::default()
    }

    /// Builds the snapshot of a view.
    pub fn build(
        &mut self,
        now: clock::Millis,
        view: view::View,
        counters: audit::SnapshotCounters,
        holder: &mut holder::Holder,
    ) -> Snapshot {
        self.states.remove_unused();
        let entries_count = view.entries.len().max(1);
        let mut snapshot = Snapshot {
            servers: entity::PrimaryMap::new(),
            services: entity::PrimaryMap::new(),
            route_limits: entity::PrimaryMap::new(),
            account_limits: entity::PrimaryMap::new(),
            candidates: entity::PrimaryMap::new(),
            cold_servers: entity::PrimaryMap::new(),
            counters,
            view,
        };
        let view = &snapshot.view;
        for server in view.servers.values() {
            let state = self.states.server(now, server, entries_count, holder);
            snapshot.servers.push(state);
        }
        for service in view.services.values() {
            snapshot.services.push(self.states.service(view, service));
            let (warm, cold) = split_candidates(view, &snapshot.servers, service);
            snapshot.candidates.push(warm);
            snapshot.cold_servers.push(cold);
        }
        for route in view.routes.values() {
            let name = route_limit_name(route);
            let limiter = self.states.limiter(name, entries_count);
            snapshot.route_limits.push(limiter);
        }
        for account in view.accounts.values() {
            let name = account_limit_name(account);
            let limiter = self.states.limiter(name, entries_count);
            snapshot.account_limits.push(limiter);
        }
        snapshot
    }
}

/// Returns the warm servers of a service as candidates, and its cold ones, nearest first.
fn split_candidates(
    view: &view::View,
    states: &entity::PrimaryMap<entity::Server, sync::Arc<state::Server>>,
    service: &view::ServiceView,
) -> (Vec<policy::Candidate>, Vec<entity::Server>) {
    let mut servers = service.servers.clone();
    servers.sort_by_key(|server| view.servers[*server].distance);
    let is_cold =
        |server: &entity::Server| view.servers[*server].state == announcement::ServerState::Cold;
    let (cold, warm): (Vec<_>, Vec<_>) = servers.into_iter().partition(is_cold);
    let candidate = |key: entity::Server| policy::Candidate {
        server: key,
        region: view.servers[key].region,
        distance: view.servers[key].distance as u8,
        slots: view.servers[key].slots,
        is_cold: false,
        signal: sync::Arc::clone(&states[key].signal),
    };
    (warm.into_iter().map(candidate).collect(), cold)
}

/// Current snapshot and the end of the configuration lease.
#[derive(Debug)]
pub struct Published {
    snapshot: ArcSwap<Snapshot>,
    lease_ends_ms: atomic::AtomicU64,
}

impl Published {
    /// Publishes an initial snapshot without a lease.
    pub fn new(snapshot: Snapshot) -> Published {
        Published {
            snapshot: ArcSwap::from_pointee(snapshot),
            lease_ends_ms: atomic::AtomicU64::new(0),
        }
    }

    /// Returns the current snapshot.
    pub fn load(&self) -> sync::Arc<Snapshot> {
        self.snapshot.load_full()
    }

    /// Returns the current snapshot unless it is `used`. It usually is, and then no reference count
    /// is updated.
    pub fn load_if_newer(&self, used: &Snapshot) -> Option<sync::Arc<Snapshot>> {
        let newest = self.snapshot.load();
        let is_unchanged = std::ptr::eq(sync::Arc::as_ptr(&newest), used);
        (!is_unchanged).then(|| sync::Arc::clone(&newest))
    }

    /// Publishes a snapshot. Call this before extending the lease that confirms the snapshot.
    pub fn store(&self, snapshot: Snapshot) {
        self.snapshot.store(sync::Arc::new(snapshot));
    }

    /// Extends the lease to `ends`; an earlier time has no effect.
    pub fn extend_lease(&self, ends: clock::Millis) {
        self.lease_ends_ms
            .fetch_max(ends.0, atomic::Ordering::Release);
    }

    /// Returns whether the lease is valid at `now`; without it, no new requests may be sent.
    pub fn has_lease(&self, now: clock::Millis) -> bool {
        now.0 < self.lease_ends_ms.load(atomic::Ordering::Acquire)
    }
}

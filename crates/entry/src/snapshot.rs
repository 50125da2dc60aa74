//! What the path of a request reads: a view, its lease and the live parts beside it.

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

/// View with the live parts of what it lists.
#[derive(Debug)]
pub struct Snapshot {
    /// The view.
    pub view: view::View,
    /// Live part of each server.
    pub servers: entity::PrimaryMap<entity::Server, sync::Arc<state::Server>>,
    /// Live part of each service.
    pub services: entity::PrimaryMap<entity::Service, sync::Arc<state::Service>>,
    /// Limiter of each route.
    pub route_limits: entity::PrimaryMap<entity::Route, sync::Arc<limit::Limiter>>,
    /// Limiter of each account.
    pub account_limits: entity::PrimaryMap<entity::Account, sync::Arc<limit::Limiter>>,
    /// Candidates of each service, ordered by distance.
    pub candidates: entity::PrimaryMap<entity::Service, Vec<policy::Candidate>>,
    /// Cold servers of each service, ordered by distance.
    pub cold: entity::PrimaryMap<entity::Service, Vec<entity::Server>>,
    /// Counters for the audit.
    pub counts: audit::Counts,
}

/// Returns the name under which the limit of a route is shared among entry processes.
pub fn route_limit_name(route: &view::RouteView) -> String {
    format!("route:{}", route.name)
}

/// Returns the name under which the limit of an account is shared among entry processes.
pub fn account_limit_name(account: &view::AccountView) -> String {
    format!("account:{}", account.name)
}

/// Keeps live parts across views.
#[derive(Debug, Default)]
pub struct Builder {
    live: state::Table,
}

impl Builder {
    /// Creates a builder without live parts.
    pub fn new() -> Builder {
        Builder::default()
    }

    /// Joins a view with the live parts of what it lists.
    pub fn build(
        &mut self,
        now: clock::Millis,
        view: view::View,
        counts: audit::Counts,
        holder: &mut holder::Holder,
    ) -> Snapshot {
        self.live.remove_unused();
        let entries_count = view.entries.len().max(1);
        let mut snapshot = Snapshot {
            servers: entity::PrimaryMap::new(),
            services: entity::PrimaryMap::new(),
            route_limits: entity::PrimaryMap::new(),
            account_limits: entity::PrimaryMap::new(),
            candidates: entity::PrimaryMap::new(),
            cold: entity::PrimaryMap::new(),
            counts,
            view,
        };
        let view = &snapshot.view;
        for server in view.servers.values() {
            let part = self.live.server(now, server, entries_count, holder);
            snapshot.servers.push(part);
        }
        for service in view.services.values() {
            snapshot.services.push(self.live.service(view, service));
            let (warm, cold) = candidates(view, &snapshot.servers, service);
            snapshot.candidates.push(warm);
            snapshot.cold.push(cold);
        }
        for route in view.routes.values() {
            let name = route_limit_name(route);
            let limiter = self.live.limiter(name, entries_count);
            snapshot.route_limits.push(limiter);
        }
        for account in view.accounts.values() {
            let name = account_limit_name(account);
            let limiter = self.live.limiter(name, entries_count);
            snapshot.account_limits.push(limiter);
        }
        snapshot
    }
}

/// Returns the warm servers of a service as candidates, and its cold ones, nearest first.
fn candidates(
    view: &view::View,
    live: &entity::PrimaryMap<entity::Server, sync::Arc<state::Server>>,
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
        signal: sync::Arc::clone(&live[key].signal),
    };
    (warm.into_iter().map(candidate).collect(), cold)
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

    /// Returns the newest snapshot if it is another one than `used`; most often it is not.
    pub fn newer_than(&self, used: &Snapshot) -> Option<sync::Arc<Snapshot>> {
        let newest = self.snapshot.load();
        let is_same = std::ptr::eq(sync::Arc::as_ptr(&newest), used);
        (!is_same).then(|| sync::Arc::clone(&newest))
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

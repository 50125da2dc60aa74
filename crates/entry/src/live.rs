//! Parts of servers, services, routes and accounts that outlive a view.

use crate::pool;
use nutmegdale_admission::{bulk, hedge, limit, retry, shares};
use nutmegdale_base::clock;
use nutmegdale_choice::signal;
use nutmegdale_grants::{holder, lease};
use nutmegdale_membership::announcement;
use nutmegdale_routing::view;
use std::collections;
use std::hash;
use std::sync;
use std::sync::atomic;
use std::sync::atomic::Ordering::Relaxed;

/// Requests of one entry process at a service, per slot of the service, beyond which a request is
/// refused: with a full round waiting, more would only wait longer.
const ROUNDS_MAX_COUNT: u64 = 2;

/// Server: its load signal, connections and grant.
#[derive(Debug)]
pub struct Server {
    /// Load signal.
    pub signal: sync::Arc<signal::Signal>,
    /// Connections to this start of the server.
    pub pool: pool::Pool,
    /// Grant while it is cold.
    pub lease: sync::Arc<lease::Lease>,
    was_cold: atomic::AtomicBool,
}

impl Server {
    /// Takes the state of a new view: a server that became warm gets its share slowly, and what
    /// was heard before the view says nothing any more.
    fn update(&self, now: clock::Millis, view: &view::ServerView, entries_count: usize) {
        self.pool.set_share(view.connections, entries_count);
        let is_cold = view.state == announcement::ServerState::Cold;
        let was_cold = self.was_cold.swap(is_cold, Relaxed);
        if is_cold != was_cold {
            self.signal.clear_heard();
        }
        if was_cold && !is_cold {
            self.signal.set_warm_since(now);
        }
    }
}

/// Service: its budgets.
#[derive(Debug, Default)]
pub struct Service {
    /// Retries and hedges.
    pub retries: retry::RetryBudget,
    /// Wait before a hedge.
    pub hedge: hedge::HedgeDelay,
    /// Bound of bulk requests.
    pub bulk: bulk::BulkSlots,
    /// Requests that asked for the service.
    pub asked_count: atomic::AtomicU64,
    /// Second sends, hedges included.
    pub second_sends_count: atomic::AtomicU64,
    in_flight: atomic::AtomicU64,
    most: atomic::AtomicU64,
}

impl Service {
    fn update(&self, view: &view::View, service: &view::ServiceView) {
        let slots = |server| u64::from(view.servers[server].slots);
        let slots_count: u64 = service.servers.iter().map(|s| slots(*s)).sum();
        let entries_count = view.entries.len().max(1);
        self.bulk
            .set(slots_count, service.has_urgent_route, entries_count);
        self.most
            .store((slots_count * ROUNDS_MAX_COUNT).max(1), Relaxed);
    }

    /// Counts a request in, unless the service has too many of this process already.
    pub fn begin(&self) -> bool {
        self.asked_count.fetch_add(1, Relaxed);
        let most = self.most.load(Relaxed);
        let next = |held: u64| (held < most).then_some(held + 1);
        self.in_flight.fetch_update(Relaxed, Relaxed, next).is_ok()
    }

    /// Counts a request out.
    pub fn end(&self) {
        self.in_flight.fetch_sub(1, Relaxed);
    }
}

/// Every live part, owned by the task that builds snapshots.
#[derive(Debug, Default)]
pub struct Table {
    servers: collections::HashMap<(String, u64), sync::Arc<Server>>,
    services: collections::HashMap<String, sync::Arc<Service>>,
    limits: collections::HashMap<String, sync::Arc<limit::Limiter>>,
}

impl Table {
    /// Returns the live part of a server; a new start begins with a new signal and no connections.
    pub fn server(
        &mut self,
        now: clock::Millis,
        view: &view::ServerView,
        entries_count: usize,
        holder: &mut holder::Holder,
    ) -> sync::Arc<Server> {
        let key = (view.name.clone(), view.incarnation);
        let make = || {
            sync::Arc::new(Server {
                signal: sync::Arc::new(signal::Signal::new()),
                pool: pool::Pool::new(view.address),
                lease: holder.lease(&view.name),
                was_cold: atomic::AtomicBool::new(false),
            })
        };
        let part = self.servers.entry(key).or_insert_with(make);
        part.update(now, view, entries_count);
        sync::Arc::clone(part)
    }

    /// Returns the live part of a service.
    pub fn service(
        &mut self,
        view: &view::View,
        service: &view::ServiceView,
    ) -> sync::Arc<Service> {
        let part = self.services.entry(service.name.clone()).or_default();
        part.update(view, service);
        sync::Arc::clone(part)
    }

    /// Returns the limiter of a route or an account, by its name in syncs.
    pub fn limiter(&mut self, name: String, entries_count: usize) -> sync::Arc<limit::Limiter> {
        let make = || {
            let limiter = limit::Limiter::new();
            limiter.set_share(shares::even(entries_count));
            sync::Arc::new(limiter)
        };
        sync::Arc::clone(self.limits.entry(name).or_insert_with(make))
    }

    /// Drops what no snapshot uses.
    pub fn sweep(&mut self) {
        retain_used(&mut self.servers);
        retain_used(&mut self.services);
        retain_used(&mut self.limits);
    }
}

fn retain_used<K: Eq + hash::Hash, V>(map: &mut collections::HashMap<K, sync::Arc<V>>) {
    map.retain(|_, part| sync::Arc::strong_count(part) > 1);
}

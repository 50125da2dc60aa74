//! Mutable state of servers, services, routes and accounts, shared by successive snapshots.

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

/// Requests of one entry process in flight at a service, per slot of the service, beyond which
/// requests are rejected: with one request queued per slot, further ones would only wait longer.
const IN_FLIGHT_PER_SLOT_MAX_COUNT: u64 = 2;

/// State of one incarnation of a server.
#[derive(Debug)]
pub struct Server {
    /// Load, latency and errors, as input of the load-balancing policy.
    pub signal: sync::Arc<signal::Signal>,
    /// Connections to this incarnation of the server.
    pub pool: pool::Pool,
    /// Lease under which this process may send to the server while it is cold.
    pub lease: sync::Arc<lease::Lease>,
    was_cold: atomic::AtomicBool,
}

impl Server {
    /// Applies a new view. If the server changed between warm and cold, the state from older load
    /// reports is discarded; one that became warm ramps up to its full share of requests.
    fn update(&self, now: clock::Millis, view: &view::ServerView, entries_count: usize) {
        self.pool.set_share(view.connections, entries_count);
        let is_cold = view.state == announcement::ServerState::Cold;
        let was_cold = self.was_cold.swap(is_cold, Relaxed);
        if is_cold != was_cold {
            self.signal.clear_reported_state();
        }
        if was_cold && !is_cold {
            self.signal.set_warm_since(now);
        }
    }
}

/// Budgets and counters of a service.
#[derive(Debug, Default)]
pub struct Service {
    /// Budget of retries and hedged requests.
    pub retries: retry::RetryBudget,
    /// Delay before a hedged request.
    pub hedge: hedge::HedgeDelay,
    /// Concurrency limit of bulk requests.
    pub bulk: bulk::BulkSlots,
    /// Requests for the service since start, including those over the in-flight limit.
    pub requests_count: atomic::AtomicU64,
    /// Retries and hedged requests since start.
    pub second_sends_count: atomic::AtomicU64,
    in_flight: atomic::AtomicU64,
    in_flight_max: atomic::AtomicU64,
}

impl Service {
    fn update(&self, view: &view::View, service: &view::ServiceView) {
        let slots = |server| u64::from(view.servers[server].slots);
        let slots_count: u64 = service.servers.iter().map(|s| slots(*s)).sum();
        let entries_count = view.entries.len().max(1);
        self.bulk
            .set_limit(slots_count, service.has_urgent_route, entries_count);
        self.in_flight_max
            .store((slots_count * IN_FLIGHT_PER_SLOT_MAX_COUNT).max(1), Relaxed);
    }

    /// Counts a request as in flight, or returns `false` if the service is at its limit.
    pub fn begin(&self) -> bool {
        self.requests_count.fetch_add(1, Relaxed);
        let in_flight_max = self.in_flight_max.load(Relaxed);
        let next = |count: u64| (count < in_flight_max).then_some(count + 1);
        self.in_flight.fetch_update(Relaxed, Relaxed, next).is_ok()
    }

    /// Counts the end of a request.
    pub fn end(&self) {
        self.in_flight.fetch_sub(1, Relaxed);
    }
}

/// State by name, owned by the task that builds snapshots.
#[derive(Debug, Default)]
pub struct Table {
    servers: collections::HashMap<(String, u64), sync::Arc<Server>>,
    services: collections::HashMap<String, sync::Arc<Service>>,
    limits: collections::HashMap<String, sync::Arc<limit::Limiter>>,
}

impl Table {
    /// Returns the state of a server; a new incarnation starts with a new signal and no connections.
    pub fn server(
        &mut self,
        now: clock::Millis,
        view: &view::ServerView,
        entries_count: usize,
        holder: &mut holder::Holder,
    ) -> sync::Arc<Server> {
        let key = (view.name.clone(), view.incarnation);
        let new = || {
            sync::Arc::new(Server {
                signal: sync::Arc::new(signal::Signal::new()),
                pool: pool::Pool::new(view.address),
                lease: holder.lease(&view.name),
                was_cold: atomic::AtomicBool::new(false),
            })
        };
        let state = self.servers.entry(key).or_insert_with(new);
        state.update(now, view, entries_count);
        sync::Arc::clone(state)
    }

    /// Returns the state of a service.
    pub fn service(
        &mut self,
        view: &view::View,
        service: &view::ServiceView,
    ) -> sync::Arc<Service> {
        let state = self.services.entry(service.name.clone()).or_default();
        state.update(view, service);
        sync::Arc::clone(state)
    }

    /// Returns the limiter of a route or an account, by the name used in syncs.
    pub fn limiter(&mut self, name: String, entries_count: usize) -> sync::Arc<limit::Limiter> {
        let new = || {
            let limiter = limit::Limiter::new();
            limiter.set_share(shares::even_share(entries_count));
            sync::Arc::new(limiter)
        };
        sync::Arc::clone(self.limits.entry(name).or_insert_with(new))
    }

    /// Removes state that no snapshot refers to.
    pub fn remove_unused(&mut self) {
        retain_used(&mut self.servers);
        retain_used(&mut self.services);
        retain_used(&mut self.limits);
    }
}

fn retain_used<K: Eq + hash::Hash, V>(map: &mut collections::HashMap<K, sync::Arc<V>>) {
    map.retain(|_, state| sync::Arc::strong_count(state) > 1);
}

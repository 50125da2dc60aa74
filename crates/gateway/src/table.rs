//! Immutable routing table that the path of a request reads: routes, services and servers.

use crate::{backend, precedence, rollouts, settings};
use nutmegdale_accounts::index;
use nutmegdale_base::{clock, digest};
use nutmegdale_dispatch::{
    availability, budget, estimate, placement, precedence as levels, server_rate, split,
};
use nutmegdale_registry::{config, follow, server};
use std::cell;
use std::collections;
use std::sync;

/// Percentage of a server's connection limit that all processes use together; the rest is reserved
/// for processes that join.
const CONNECTIONS_USED_PERCENT: usize = 80;

/// Route of the current configuration.
#[derive(Debug)]
pub struct Route {
    /// Settings of the route.
    pub spec: config::Route,
    /// Indices of its services in [`Table::services`].
    service_indices: Vec<usize>,
    /// Cumulative weights of its services.
    cumulative_weights: Vec<f64>,
    /// Estimate of the cost of its requests, learned from responses.
    pub estimate: sync::Arc<estimate::Estimate>,
    splitter: sync::Arc<split::Splitter>,
}

impl Route {
    /// Returns the index of the service for the next request.
    pub fn next_service(&self) -> usize {
        // A validated configuration has at least one service for each route.
        self.service_indices
            .get(self.splitter.next(&self.cumulative_weights))
            .copied()
            .unwrap_or(0)
    }
}

/// Service of the current configuration.
#[derive(Debug)]
pub struct Service {
    /// Settings of the service.
    pub spec: config::Service,
    /// Servers that accept requests.
    pub backends: Vec<sync::Arc<backend::Backend>>,
    /// Budget of retries and hedges.
    pub budget: sync::Arc<budget::Budget>,
    /// Priorities of the requests that may reach it.
    pub levels: sync::Arc<levels::Levels>,
    /// Slots of all its servers.
    pub slots_count: u32,
    /// What this process remembers of its requests.
    pub history: sync::Arc<precedence::History>,
    /// Division between two versions while a rollout runs.
    pub rollout: Option<sync::Arc<rollouts::Division>>,
}

/// Routes by host, in descending order of prefix length.
type Routes = collections::HashMap<String, Vec<Route>>;

/// Immutable snapshot of the configuration and the registry.
#[derive(Debug)]
pub struct Table {
    /// Version of the configuration; 0 without one.
    pub config_version: u64,
    /// Index of the registry from which the table was built.
    pub registry_index: u64,
    routes: sync::Arc<Routes>,
    /// Client accounts by key; `None` if callers are not identified.
    pub accounts: Option<sync::Arc<index::Index>>,
    /// Services of the configuration, in its order.
    pub services: Vec<Service>,
    /// Entry processes that are ready for callers.
    pub entries: Vec<follow::Entry>,
    /// Limits of the listeners for callers; `None` without a configuration.
    pub listeners: Option<config::Listeners>,
}

impl Table {
    /// Returns the route with the longest matching prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let routes = self.routes.get(host)?;
        routes
            .iter()
            .find(|route| path.starts_with(&route.spec.prefix))
    }

    /// Returns the regions to which the routes of a host are restricted; empty if they are not.
    pub fn home_regions(&self, host: &str) -> &[String] {
        let routes = self.routes.get(host).map_or(&[][..], Vec::as_slice);
        routes.first().map_or(&[], |route| &route.spec.home_regions)
    }

    /// Returns the number of entry processes that share the limits, at least 1.
    pub fn processes_count(&self) -> usize {
        self.entries.len().max(1)
    }

    /// Returns the number of servers that accept requests.
    pub fn servers_count(&self) -> usize {
        self.services.iter().map(|s| s.backends.len()).sum()
    }

    /// Returns the servers of all services that accept requests.
    pub fn backends(&self) -> impl Iterator<Item = &sync::Arc<backend::Backend>> {
        self.services.iter().flat_map(|service| &service.backends)
    }
}

/// Identifier of a server and start time of its incarnation.
type Incarnation = (String, u64);

/// Builds tables, and keeps runtime state from one table to the next.
#[derive(Debug)]
pub struct Builder {
    settings: sync::Arc<settings::Settings>,
    backends: collections::HashMap<Incarnation, sync::Arc<backend::Backend>>,
    leaving: sync::Arc<availability::LeavingServers>,
    budgets: collections::HashMap<String, sync::Arc<budget::Budget>>,
    estimates: collections::HashMap<String, sync::Arc<estimate::Estimate>>,
    splitters: collections::HashMap<String, sync::Arc<split::Splitter>>,
    /// Version of the configuration and its routes. These are reused, since servers and processes
    /// change far more often and a configuration may have more than a thousand routes.
    routes: (u64, sync::Arc<Routes>),
    /// Client accounts of the same version.
    accounts: Option<sync::Arc<index::Index>>,
    /// Priorities at each service, which are reused like the routes.
    levels: collections::HashMap<String, sync::Arc<levels::Levels>>,
    histories: collections::HashMap<String, sync::Arc<precedence::History>>,
    zones_out: collections::BTreeSet<String>,
    divisions: rollouts::Divisions,
}

impl Builder {
    /// Creates a builder without runtime state.
    pub fn new(settings: sync::Arc<settings::Settings>) -> Builder {
        Builder {
            settings,
            backends: collections::HashMap::new(),
            leaving: sync::Arc::default(),
            budgets: collections::HashMap::new(),
            estimates: collections::HashMap::new(),
            splitters: collections::HashMap::new(),
            routes: (0, sync::Arc::default()),
            accounts: None,
            levels: collections::HashMap::new(),
            histories: collections::HashMap::new(),
            zones_out: collections::BTreeSet::new(),
            divisions: rollouts::Divisions::default(),
        }
    }

    /// Builds the table for a copy of the registry; `config` is its decoded configuration.
    pub fn build(
        &mut self,
        now: clock::Millis,
        copy: &follow::LocalCopy,
        config: Option<&config::Config>,
    ) -> Table {
        self.update_backends(now, copy);
        self.mark_restored_zones_cold(now, copy, config);
        let processes = Processes::new(&copy.entries);
        if let Some(config) = config.filter(|config| config.version != self.routes.0) {
            self.routes = (config.version, sync::Arc::new(self.build_routes(config)));
            let names = config.services.iter().map(|service| &service.name);
            let levels = names.map(|name| (name.clone(), precedence::levels(config, name).into()));
            self.levels = levels.collect();
            let accounts = config.accounts.as_deref();
            self.accounts = accounts.map(|list| sync::Arc::new(index::Index::new(list)));
        }
        let settings = sync::Arc::clone(&self.settings);
        let rollouts = rollouts::Source {
            bound: settings.features.rollouts,
            own_name: &settings.entry.name,
            copy,
            config,
        };
        let services = config.map_or(&[][..], |config| &config.services);
        let services: Vec<_> = services
            .iter()
            .map(|spec| self.build_service(now, spec, &processes, rollouts))
            .collect();
        Table {
            config_version: copy.version,
            registry_index: copy.index,
            routes: sync::Arc::clone(&self.routes.1),
            accounts: self.accounts.clone(),
            services,
            entries: copy.entries.clone(),
            listeners: config.map(|config| config.listeners),
        }
    }

    /// Creates the state of new incarnations, opens or closes each server to requests, and drops
    /// the state of incarnations that have left the registry.
    fn update_backends(&mut self, now: clock::Millis, copy: &follow::LocalCopy) {
        let mut accepting = collections::HashSet::new();
        for known in copy.servers.values() {
            let announcement = &known.announcement;
            let incarnation = (announcement.id.clone(), announcement.born);
            let backend = match self.backends.get(&incarnation) {
                Some(backend)
                    if backend.announcement.address == announcement.address
                        && backend.announcement.version == announcement.version =>
                {
                    sync::Arc::clone(backend)
                }
                _ => {
                    let backend = sync::Arc::new(self.new_backend(announcement));
                    self.backends
                        .insert(incarnation.clone(), sync::Arc::clone(&backend));
                    backend
                }
            };
            if known.cold_until > now {
                backend.extend_cold_until(known.cold_until);
            }
            let is_out = copy.zones_out.contains(&announcement.zone)
                || copy.is_excluded(&announcement.service, &announcement.version);
            if announcement.state == server::State::Ready && !is_out {
                accepting.insert(incarnation);
            }
        }
        for (incarnation, backend) in &self.backends {
            if backend.set_open(accepting.contains(incarnation)) && !accepting.contains(incarnation)
            {
                backend.pool.invalidate();
            }
        }
        let is_registered = |incarnation: &Incarnation| {
            let known = copy.servers.get(&incarnation.0);
            known.is_some_and(|known| known.announcement.born == incarnation.1)
        };
        self.backends
            .retain(|incarnation, _| is_registered(incarnation));
    }

    fn history(&mut self, service_name: &str) -> sync::Arc<precedence::History> {
        let history = self.histories.entry(service_name.to_owned());
        sync::Arc::clone(history.or_default())
    }

    fn new_backend(&mut self, announcement: &server::Announcement) -> backend::Backend {
        let history = self.history(&announcement.service);
        let regions = &self.settings.regions;
        let region = regions.get(&announcement.zone).cloned().unwrap_or_default();
        let own_entry = &self.settings.entry;
        let distance = if announcement.zone == own_entry.zone {
            placement::Distance::Zone
        } else if region == own_entry.region {
            placement::Distance::Region
        } else {
            placement::Distance::CrossRegion
        };
        let leaving = sync::Arc::clone(&self.leaving);
        backend::Backend::new(announcement.clone(), region, distance, leaving, history)
    }

    /// Marks the servers of zones that return to service as cold, since they may have cooled down
    /// meanwhile. A server stays cold until it reports otherwise or its warm-up time has passed.
    fn mark_restored_zones_cold(
        &mut self,
        now: clock::Millis,
        copy: &follow::LocalCopy,
        config: Option<&config::Config>,
    ) {
        let restored: Vec<_> = self.zones_out.difference(&copy.zones_out).collect();
        for backend in self.backends.values() {
            if restored.contains(&&backend.announcement.zone) {
                let services = config.iter().flat_map(|config| &config.services);
                let mut services = services.filter(|s| s.name == backend.announcement.service);
                let warmup = services.next().map_or(clock::Millis::ZERO, |s| s.warmup);
                backend.extend_cold_until(now + warmup);
            }
        }
        self.zones_out = copy.zones_out.clone();
    }

    fn build_service(
        &mut self,
        now: clock::Millis,
        spec: &config::Service,
        processes: &Processes<'_>,
        rollouts: rollouts::Source<'_>,
    ) -> Service {
        let history = self.history(&spec.name);
        let own_node = entry_node(&self.settings.entry);
        let bounds = &self.settings.bounds;
        let cold_per_s = spec.cold_requests_per_s;
        let connections = spec.connections_max as usize * CONNECTIONS_USED_PERCENT / 100;
        let open_max = u32::try_from(connections / processes.count()).unwrap_or(u32::MAX);
        let is_usable = |backend: &&sync::Arc<backend::Backend>| {
            backend.is_open() && backend.announcement.service == spec.name
        };
        let mut backends: Vec<_> = self.backends.values().filter(is_usable).cloned().collect();
        backends.sort_by(|a, b| a.announcement.id.cmp(&b.announcement.id));
        let ranking_digest = digest::of(&(processes.digest, cold_per_s.to_bits())).max(1);
        for backend in &backends {
            let announcement = &backend.announcement;
            backend.set_ranking(now, ranking_digest, || {
                let server = server_rate::Node::new(&announcement.id, &announcement.zone);
                let rank = server_rate::Rank::new(&own_node, processes.nodes(), &server);
                backend::Ranking {
                    rank,
                    cold_share: bounds.cold_rate.share(cold_per_s, &rank),
                }
            });
            backend.pool.set_open_max(open_max);
        }
        let all = self.backends.values().cloned();
        let rollout = self.divisions.build(rollouts, &spec.name, &backends, all);
        mark_preferred(&self.settings.entry.name, &backends);
        let budget = self.budgets.entry(spec.name.clone()).or_insert_with(|| {
            sync::Arc::new(budget::Budget::new(
                now,
                &bounds.retry_budget,
                processes.count(),
            ))
        });
        let slots = backends.iter().map(|backend| backend.announcement.slots);
        Service {
            spec: spec.clone(),
            slots_count: slots.fold(0, u32::saturating_add),
            backends,
            budget: sync::Arc::clone(budget),
            levels: self.levels.get(&spec.name).cloned().unwrap_or_default(),
            history,
            rollout,
        }
    }

    fn build_routes(&mut self, config: &config::Config) -> Routes {
        let indices = config.services.iter().enumerate();
        let indices = indices.map(|(n, service)| (service.name.as_str(), n));
        let indices: collections::HashMap<_, _> = indices.collect();
        let mut routes = Routes::new();
        for spec in &config.routes {
            let route = self.build_route(spec, &indices);
            routes.entry(spec.host.clone()).or_default().push(route);
        }
        for routes in routes.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.spec.prefix.len()));
        }
        routes
    }

    fn build_route(
        &mut self,
        spec: &config::Route,
        indices: &collections::HashMap<&str, usize>,
    ) -> Route {
        let mut sum = 0.0;
        let mut service_indices = Vec::new();
        let mut cumulative_weights = Vec::new();
        for target in spec.targets.iter().filter(|target| target.weight > 0.0) {
            // A validated configuration refers to known services only.
            let Some(index) = indices.get(target.service.as_str()) else {
                continue;
            };
            sum += target.weight;
            service_indices.push(*index);
            cumulative_weights.push(sum);
        }
        let estimate = self.estimates.entry(spec.name.clone());
        let estimate = estimate.or_insert_with(|| {
            sync::Arc::new(estimate::Estimate::new(spec.class, spec.target_latency))
        });
        let own_name = &self.settings.entry.name;
        let splitter = self.splitters.entry(spec.name.clone()).or_insert_with(|| {
            let seed = digest::of(&(own_name, &spec.name));
            sync::Arc::new(split::Splitter::new(seed))
        });
        Route {
            spec: spec.clone(),
            service_indices,
            cumulative_weights,
            estimate: sync::Arc::clone(estimate),
            splitter: sync::Arc::clone(splitter),
        }
    }
}

/// Entry processes that share the limits of servers.
struct Processes<'a> {
    entries: &'a [follow::Entry],
    /// Digest of `entries`, which changes when the list does.
    digest: u64,
    nodes: cell::OnceCell<Vec<server_rate::Node<'a>>>,
}

impl<'a> Processes<'a> {
    fn new(entries: &'a [follow::Entry]) -> Processes<'a> {
        Processes {
            entries,
            digest: follow::entries_digest(entries),
            nodes: cell::OnceCell::new(),
        }
    }

    fn count(&self) -> usize {
        self.entries.len().max(1)
    }

    /// Returns the processes as the warm-up ranking sees them. They are computed on first use,
    /// since most tables need no ranking.
    fn nodes(&self) -> &[server_rate::Node<'a>] {
        self.nodes
            .get_or_init(|| self.entries.iter().map(entry_node).collect())
    }
}

fn entry_node(entry: &follow::Entry) -> server_rate::Node<'_> {
    server_rate::Node::new(&entry.name, &entry.zone)
}

/// Marks the servers that this process prefers: the same number for each distance and part in a
/// rollout, chosen by rendezvous hashing so that the processes spread evenly over the servers.
fn mark_preferred(own_name: &str, backends: &[sync::Arc<backend::Backend>]) {
    let rank = |backend: &backend::Backend| digest::of(&(own_name, backend.id()));
    let mut ranked: Vec<_> = backends.iter().collect();
    ranked.sort_by_key(|backend| (backend.distance, rank(backend)));
    let mut counts = collections::HashMap::new();
    for backend in ranked {
        let group = (backend.distance, backend.role() as u8);
        let count = counts.entry(group).or_insert(0);
        backend.set_preferred(*count < placement::PREFERRED_COUNT);
        *count += 1;
    }
}

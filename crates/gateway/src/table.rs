//! What the path of a request reads: routes, services and servers in force.

use crate::{backend, settings};
use nutmegdale_base::{clock, digest};
use nutmegdale_dispatch::{budget, cold, estimate, placement, split};
use nutmegdale_registry::{config, follow, server};
use std::cell;
use std::collections;
use std::sync;

/// Part of a server's connections that all processes use together, in percent; the rest covers
/// processes that join.
const CONNECTIONS_USED_PERCENT: usize = 80;

/// Route in force.
#[derive(Debug)]
pub struct Route {
    /// What the operator set.
    pub spec: config::Route,
    /// Positions of its services.
    targets: Vec<usize>,
    /// Sum of the weights up to each service.
    sums: Vec<f64>,
    /// What its requests need.
    pub estimate: sync::Arc<estimate::Estimate>,
    turns: sync::Arc<split::Splitter>,
}

impl Route {
    /// Returns the position of the service of the next request.
    pub fn next_service(&self) -> usize {
        // A checked configuration gives each route a service.
        self.targets
            .get(self.turns.next(&self.sums))
            .copied()
            .unwrap_or(0)
    }
}

/// Service in force.
#[derive(Debug)]
pub struct Service {
    /// What the operator set.
    pub spec: config::Service,
    /// Servers that take requests.
    pub backends: Vec<sync::Arc<backend::Backend>>,
    /// Budget of second sends.
    pub budget: sync::Arc<budget::Budget>,
}

/// Routes by host, the longest prefix first.
type Routes = collections::HashMap<String, Vec<Route>>;

/// Everything in force.
#[derive(Debug)]
pub struct Table {
    /// Version of the configuration; 0 without one.
    pub version: u64,
    /// Index of the registry that it was built from.
    pub index: u64,
    routes: sync::Arc<Routes>,
    /// Services.
    pub services: Vec<Service>,
    /// Entry processes that callers may be sent to.
    pub entries: Vec<follow::Entry>,
    /// Bounds of listeners, if there is a configuration.
    pub listeners: Option<config::Listeners>,
}

impl Table {
    /// Returns the route of a request.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let routes = self.routes.get(host)?;
        routes
            .iter()
            .find(|route| path.starts_with(&route.spec.prefix))
    }

    /// Returns the regions that the routes of a host are bound to; empty if one is not bound.
    pub fn home_regions(&self, host: &str) -> &[String] {
        let routes = self.routes.get(host).map_or(&[][..], Vec::as_slice);
        routes.first().map_or(&[], |route| &route.spec.home_regions)
    }

    /// Returns how many entry processes share the bounds.
    pub fn processes_count(&self) -> usize {
        self.entries.len().max(1)
    }

    /// Returns the number of servers that take requests.
    pub fn servers_count(&self) -> usize {
        self.services.iter().map(|s| s.backends.len()).sum()
    }

    /// Returns the servers that take requests, of all services.
    pub fn backends(&self) -> impl Iterator<Item = &sync::Arc<backend::Backend>> {
        self.services.iter().flat_map(|service| &service.backends)
    }
}

type Start = (String, u64);

/// Builds tables and keeps live parts across them.
#[derive(Debug)]
pub struct Builder {
    settings: sync::Arc<settings::Settings>,
    backends: collections::HashMap<Start, sync::Arc<backend::Backend>>,
    budgets: collections::HashMap<String, sync::Arc<budget::Budget>>,
    estimates: collections::HashMap<String, sync::Arc<estimate::Estimate>>,
    turns: collections::HashMap<String, sync::Arc<split::Splitter>>,
    /// Routes of the configuration with this version. Servers and processes change far more often,
    /// and a configuration may have more than a thousand routes.
    routes: (u64, sync::Arc<Routes>),
    zones_out: collections::BTreeSet<String>,
}

impl Builder {
    /// Creates a builder without live parts.
    pub fn new(settings: sync::Arc<settings::Settings>) -> Builder {
        Builder {
            settings,
            backends: collections::HashMap::new(),
            budgets: collections::HashMap::new(),
            estimates: collections::HashMap::new(),
            turns: collections::HashMap::new(),
            routes: (0, sync::Arc::default()),
            zones_out: collections::BTreeSet::new(),
        }
    }

    /// Builds the table of a copy of the registry; `config` is its decoded configuration.
    pub fn build(
        &mut self,
        now: clock::Millis,
        copy: &follow::Copy,
        config: Option<&config::Config>,
    ) -> Table {
        self.take_servers(now, copy);
        self.take_zones(now, copy, config);
        let processes = Processes::new(&copy.entries);
        let services = config.map_or(&[][..], |config| &config.services);
        let services: Vec<_> = services
            .iter()
            .map(|spec| self.service(now, spec, &processes))
            .collect();
        if let Some(config) = config.filter(|config| config.version != self.routes.0) {
            let routes = self.routes(config);
            self.routes = (config.version, sync::Arc::new(routes));
        }
        Table {
            version: copy.version,
            index: copy.index,
            routes: sync::Arc::clone(&self.routes.1),
            services,
            entries: copy.entries.clone(),
            listeners: config.map(|config| config.listeners),
        }
    }

    /// Creates live parts of new starts and closes those that take no more requests.
    fn take_servers(&mut self, now: clock::Millis, copy: &follow::Copy) {
        let mut open = collections::HashSet::new();
        for known in copy.servers.values() {
            let announcement = &known.announcement;
            let start = (announcement.id.clone(), announcement.born);
            let backend = match self.backends.get(&start) {
                Some(backend) if backend.announcement.address == announcement.address => {
                    sync::Arc::clone(backend)
                }
                _ => {
                    let backend = sync::Arc::new(self.backend(announcement));
                    self.backends
                        .insert(start.clone(), sync::Arc::clone(&backend));
                    backend
                }
            };
            if known.cold_until > now {
                backend.cold_until(known.cold_until);
            }
            let is_out = copy.zones_out.contains(&announcement.zone);
            if announcement.state == server::State::Ready && !is_out {
                open.insert(start);
            }
        }
        for (start, backend) in &self.backends {
            if backend.set_open(open.contains(start)) && !open.contains(start) {
                backend.pool.renew();
            }
        }
        let known = |start: &Start| {
            let known = copy.servers.get(&start.0);
            known.is_some_and(|known| known.announcement.born == start.1)
        };
        self.backends.retain(|start, _| known(start));
    }

    fn backend(&self, announcement: &server::Announcement) -> backend::Backend {
        let regions = &self.settings.regions;
        let region = regions.get(&announcement.zone).cloned().unwrap_or_default();
        let own = &self.settings.entry;
        let distance = if announcement.zone == own.zone {
            placement::Distance::Zone
        } else if region == own.region {
            placement::Distance::Region
        } else {
            placement::Distance::CrossRegion
        };
        backend::Backend::new(announcement.clone(), region, distance)
    }

    /// Servers of a zone that comes back may have turned cold meanwhile; they count as cold until
    /// they say otherwise.
    fn take_zones(
        &mut self,
        now: clock::Millis,
        copy: &follow::Copy,
        config: Option<&config::Config>,
    ) {
        let back: Vec<_> = self.zones_out.difference(&copy.zones_out).collect();
        for backend in self.backends.values() {
            if back.contains(&&backend.announcement.zone) {
                let services = config.iter().flat_map(|config| &config.services);
                let mut services = services.filter(|s| s.name == backend.announcement.service);
                let warmup = services.next().map_or(clock::Millis::ZERO, |s| s.warmup);
                backend.cold_until(now + warmup);
            }
        }
        self.zones_out = copy.zones_out.clone();
    }

    fn service(
        &mut self,
        now: clock::Millis,
        spec: &config::Service,
        processes: &Processes<'_>,
    ) -> Service {
        let own = cold_process(&self.settings.entry);
        let bounds = &self.settings.bounds;
        let holders = bounds.cold_rate.senders_count(spec.cold_per_s);
        let connections = spec.connections_max as usize * CONNECTIONS_USED_PERCENT / 100;
        let share = u32::try_from(connections / processes.count()).unwrap_or(u32::MAX);
        let of_service = |backend: &&sync::Arc<backend::Backend>| {
            backend.is_open() && backend.announcement.service == spec.name
        };
        let mut backends: Vec<_> = self.backends.values().filter(of_service).cloned().collect();
        backends.sort_by(|a, b| a.announcement.id.cmp(&b.announcement.id));
        let ranked = digest::of(&(processes.digest, holders)).max(1);
        for backend in &backends {
            let announcement = &backend.announcement;
            backend.set_cold_holder(ranked, || {
                let server = cold::Node::new(&announcement.id, &announcement.zone);
                cold::may_send(&own, processes.ranked(), &server, holders)
            });
            backend.pool.set_share(share);
        }
        prefer(&self.settings.entry.name, &backends);
        let budget = self.budgets.entry(spec.name.clone()).or_insert_with(|| {
            sync::Arc::new(budget::Budget::new(
                now,
                &bounds.retry_budget,
                processes.count(),
            ))
        });
        Service {
            spec: spec.clone(),
            backends,
            budget: sync::Arc::clone(budget),
        }
    }

    fn routes(&mut self, config: &config::Config) -> Routes {
        let positions = config.services.iter().enumerate();
        let positions = positions.map(|(n, service)| (service.name.as_str(), n));
        let positions: collections::HashMap<_, _> = positions.collect();
        let mut routes = Routes::new();
        for spec in &config.routes {
            let row = self.route(spec, &positions);
            routes.entry(spec.host.clone()).or_default().push(row);
        }
        for rows in routes.values_mut() {
            rows.sort_by_key(|row| std::cmp::Reverse(row.spec.prefix.len()));
        }
        routes
    }

    fn route(
        &mut self,
        spec: &config::Route,
        positions: &collections::HashMap<&str, usize>,
    ) -> Route {
        let mut sum = 0.0;
        let mut targets = Vec::new();
        let mut sums = Vec::new();
        for target in spec.targets.iter().filter(|target| target.weight > 0.0) {
            // A checked configuration names known services only.
            let Some(position) = positions.get(target.service.as_str()) else {
                continue;
            };
            sum += target.weight;
            targets.push(*position);
            sums.push(sum);
        }
        let estimate = self.estimates.entry(spec.name.clone());
        let estimate = estimate
            .or_insert_with(|| sync::Arc::new(estimate::Estimate::new(spec.class, spec.aim)));
        let own = &self.settings.entry.name;
        let turns = self.turns.entry(spec.name.clone()).or_insert_with(|| {
            let seed = digest::of(&(own, &spec.name));
            sync::Arc::new(split::Splitter::new(seed))
        });
        Route {
            spec: spec.clone(),
            targets,
            sums,
            estimate: sync::Arc::clone(estimate),
            turns: sync::Arc::clone(turns),
        }
    }
}

/// Processes that share the bounds of servers.
struct Processes<'a> {
    entries: &'a [follow::Entry],
    /// Number that two lists of processes share only if they are equal.
    digest: u64,
    ranked: cell::OnceCell<Vec<cold::Node<'a>>>,
}

impl<'a> Processes<'a> {
    fn new(entries: &'a [follow::Entry]) -> Processes<'a> {
        Processes {
            entries,
            digest: follow::digest(entries),
            ranked: cell::OnceCell::new(),
        }
    }

    fn count(&self) -> usize {
        self.entries.len().max(1)
    }

    /// Returns the processes as they are ranked for cold servers; mostly none needs that.
    fn ranked(&self) -> &[cold::Node<'a>] {
        self.ranked
            .get_or_init(|| self.entries.iter().map(cold_process).collect())
    }
}

fn cold_process(entry: &follow::Entry) -> cold::Node<'_> {
    cold::Node::new(&entry.name, &entry.zone)
}

/// Marks the servers that this process goes to first: for each distance the same number, spread so
/// that every server is first for as many processes as any other.
fn prefer(own: &str, backends: &[sync::Arc<backend::Backend>]) {
    let rank = |backend: &backend::Backend| digest::of(&(own, backend.id()));
    let mut ranked: Vec<_> = backends.iter().collect();
    ranked.sort_by_key(|backend| (backend.distance, rank(backend)));
    let mut taken = collections::HashMap::new();
    for backend in ranked {
        let count = taken.entry(backend.distance).or_insert(0);
        backend.set_preferred(*count < placement::PREFERRED_COUNT);
        *count += 1;
    }
}

//! Catalogue and membership joined into one table, with names resolved to indices.

use crate::permit;
use nutmegdale_accounts::key;
use nutmegdale_base::class;
use nutmegdale_base::entity;
use nutmegdale_base::entity::EntityRef;
use nutmegdale_catalogue::config;
use nutmegdale_catalogue::spec;
use nutmegdale_membership::announcement;
use nutmegdale_membership::directory;
use std::collections;
use std::net;

/// Availability zone in a view.
#[derive(Debug, Clone)]
pub struct ZoneView {
    /// Name in the catalogue.
    pub name: String,
    /// Region of the zone.
    pub region: entity::Region,
    /// Whether the zone is out of service.
    pub out: bool,
}

/// Network distance from the process that holds the view, in ascending order of cost.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// Same availability zone.
    SameZone,
    /// Another zone of the same region.
    SameRegion,
    /// Another region; the link is slow and billed by volume.
    OtherRegion,
}

/// Backend server in a view.
#[derive(Debug, Clone)]
pub struct ServerView {
    /// Announced name, unique in the whole system.
    pub name: String,
    /// Service that it belongs to.
    pub service: entity::Service,
    /// Address for requests.
    pub address: net::SocketAddr,
    /// Availability zone that it runs in.
    pub zone: entity::Zone,
    /// Region of the zone.
    pub region: entity::Region,
    /// Distance from the process that holds the view.
    pub distance: Distance,
    /// Number of requests that it processes concurrently.
    pub slots: u32,
    /// Number of connections that it accepts.
    pub connections: u32,
    /// Number of requests that it processes concurrently while cold.
    pub cold_slots: u32,
    /// State as the hub distributes it.
    pub state: announcement::ServerState,
    /// Number that increases with each start of the server.
    pub incarnation: u64,
}

/// Service in a view.
#[derive(Debug, Clone)]
pub struct ServiceView {
    /// Name that its servers announce.
    pub name: String,
    /// Servers that may get new requests: cold or warm, and neither they nor their zones are out
    /// of service.
    pub servers: Vec<entity::Server>,
    /// Whether a route of another class than bulk export uses it.
    pub has_urgent_route: bool,
}

/// Route in a view.
#[derive(Debug, Clone)]
pub struct RouteView {
    /// Name in the catalogue.
    pub name: String,
    /// Priority class of its requests.
    pub class: class::Class,
    /// Service that it forwards to; `None` while no server of the service is announced.
    pub service: Option<entity::Service>,
    /// Home regions: requests of the route may be processed and stored only there.
    pub regions: permit::RegionSet,
    /// Region whose ledger records the one-time requests.
    pub ledger_region: Option<entity::Region>,
    /// Retention of those records.
    pub retention: Option<spec::Span>,
    /// Accounts that may use the route; `None` for every account.
    pub accounts: Option<Vec<entity::Account>>,
    /// Admission limits of the route.
    pub limits: spec::Limits,
}

/// Client account in a view.
#[derive(Debug, Clone)]
pub struct AccountView {
    /// Name in the catalogue.
    pub name: String,
    /// Highest priority class that its requests may have.
    pub class: class::Class,
    /// SHA-256 of the token that callers of the account must send; `None` if it needs none.
    pub token_sha256: Option<key::Digest>,
    /// Home regions: requests of the account may be processed and stored only there.
    pub regions: permit::RegionSet,
    /// Admission limits of the account.
    pub limits: spec::Limits,
}

/// Entry process in a view.
#[derive(Debug, Clone)]
pub struct EntryView {
    /// Name in its settings.
    pub name: String,
    /// Random number that identifies this start of the process.
    pub boot: u64,
    /// Address for callers.
    pub address: net::SocketAddr,
    /// Region of its zone.
    pub region: entity::Region,
    /// Distance from the process that holds the view.
    pub distance: Distance,
    /// Whether callers may be sent to it: its zone is in service and it is not shutting down.
    pub is_usable: bool,
}

/// Zone and region of the process that holds a view, from its settings.
#[derive(Debug, Clone, Copy)]
pub struct Locality<'a> {
    /// Name of its zone.
    pub zone: &'a str,
    /// Name of its region.
    pub region: &'a str,
}

/// Immutable table of everything that routing and admission of a request depend on.
#[derive(Debug)]
pub struct View {
    /// Version of the catalogue that the view was built from.
    pub version: config::Version,
    /// Names of the regions.
    pub regions: entity::PrimaryMap<entity::Region, String>,
    /// Zones of the catalogue.
    pub zones: entity::PrimaryMap<entity::Zone, ZoneView>,
    /// Services that any server announces.
    pub services: entity::PrimaryMap<entity::Service, ServiceView>,
    /// Announced servers in known zones, usable or not.
    pub servers: entity::PrimaryMap<entity::Server, ServerView>,
    /// Routes of the catalogue.
    pub routes: entity::PrimaryMap<entity::Route, RouteView>,
    /// Client accounts of the catalogue.
    pub accounts: entity::PrimaryMap<entity::Account, AccountView>,
    /// Live entry processes in known zones.
    pub entries: entity::PrimaryMap<entity::Entry, EntryView>,
    /// Region of the process that holds the view; `None` if the catalogue does not confirm it,
    /// so that no home region is permitted.
    pub local_region: Option<entity::Region>,
    /// Whether the zone of the process that holds the view is out of service or unknown.
    pub is_local_zone_out: bool,
    routes_by_prefix: collections::HashMap<String, entity::Route>,
    routes_by_name: collections::HashMap<String, entity::Route>,
    accounts_by_name: collections::HashMap<String, entity::Account>,
}

impl View {
    /// Builds the view of a catalogue version and a directory for a process at `locality`.
    pub fn build(
        cfg: &config::Config,
        directory: &directory::Directory,
        locality: Locality<'_>,
    ) -> View {
        let mut cx = Builder::new(locality);
        cx.add_zones(cfg);
        cx.add_servers(cfg, directory);
        cx.add_accounts(cfg);
        cx.add_routes(cfg);
        cx.add_entries(directory);
        cx.finish(cfg.version)
    }

    /// Returns the route with the longest path prefix that matches whole segments of `path`.
    pub fn match_route(&self, path: &str) -> Option<entity::Route> {
        let mut prefix = path;
        loop {
            if let Some(route) = self.routes_by_prefix.get(prefix) {
                return Some(*route);
            }
            match prefix.rfind('/') {
                Some(0) | None => return self.routes_by_prefix.get("/").copied(),
                Some(at) => prefix = &prefix[..at],
            }
        }
    }

    /// Returns the route with this name.
    pub fn find_route(&self, name: &str) -> Option<entity::Route> {
        self.routes_by_name.get(name).copied()
    }

    /// Returns the account with this name.
    pub fn find_account(&self, name: &str) -> Option<entity::Account> {
        self.accounts_by_name.get(name).copied()
    }

    /// Returns the home regions that a request of an account on a route is restricted to.
    pub fn home_regions(
        &self,
        route: entity::Route,
        account: entity::Account,
    ) -> permit::RegionSet {
        self.routes[route]
            .regions
            .intersection(self.accounts[account].regions)
    }
}

struct Builder<'a> {
    locality: Locality<'a>,
    regions: entity::PrimaryMap<entity::Region, String>,
    regions_by_name: collections::HashMap<String, entity::Region>,
    zones: entity::PrimaryMap<entity::Zone, ZoneView>,
    zones_by_name: collections::HashMap<String, entity::Zone>,
    services: entity::PrimaryMap<entity::Service, ServiceView>,
    services_by_name: collections::HashMap<String, entity::Service>,
    servers: entity::PrimaryMap<entity::Server, ServerView>,
    accounts: entity::PrimaryMap<entity::Account, AccountView>,
    accounts_by_name: collections::HashMap<String, entity::Account>,
    routes: entity::PrimaryMap<entity::Route, RouteView>,
    routes_by_prefix: collections::HashMap<String, entity::Route>,
    routes_by_name: collections::HashMap<String, entity::Route>,
    entries: entity::PrimaryMap<entity::Entry, EntryView>,
}

impl<'a> Builder<'a> {
    fn new(locality: Locality<'a>) -> Builder<'a> {
        Builder {
            locality,
            regions: entity::PrimaryMap::new(),
            regions_by_name: collections::HashMap::new(),
            zones: entity::PrimaryMap::new(),
            zones_by_name: collections::HashMap::new(),
            services: entity::PrimaryMap::new(),
            services_by_name: collections::HashMap::new(),
            servers: entity::PrimaryMap::new(),
            accounts: entity::PrimaryMap::new(),
            accounts_by_name: collections::HashMap::new(),
            routes: entity::PrimaryMap::new(),
            routes_by_prefix: collections::HashMap::new(),
            routes_by_name: collections::HashMap::new(),
            entries: entity::PrimaryMap::new(),
        }
    }

    fn add_zones(&mut self, cfg: &config::Config) {
        for (name, zone) in &cfg.zones {
            let region = match self.regions_by_name.get(&zone.region) {
                Some(region) => *region,
                None => {
                    let region = self.regions.push(zone.region.clone());
                    self.regions_by_name.insert(zone.region.clone(), region);
                    region
                }
            };
            let zone = self.zones.push(ZoneView {
                name: name.clone(),
                region,
                out: zone.out,
            });
            self.zones_by_name.insert(name.clone(), zone);
        }
    }

    fn distance(&self, zone: entity::Zone) -> Distance {
        let zone = &self.zones[zone];
        if zone.name == self.locality.zone {
            Distance::SameZone
        } else if self.regions[zone.region] == self.locality.region {
            Distance::SameRegion
        } else {
            Distance::OtherRegion
        }
    }

    fn service(&mut self, name: &str) -> entity::Service {
        if let Some(service) = self.services_by_name.get(name) {
            return *service;
        }
        let view = ServiceView {
            name: name.to_owned(),
            servers: Vec::new(),
            has_urgent_route: false,
        };
        let service = self.services.push(view);
        self.services_by_name.insert(name.to_owned(), service);
        service
    }

    fn add_servers(&mut self, cfg: &config::Config, directory: &directory::Directory) {
        for record in directory.servers() {
            let announced = &record.announced;
            // A server in a zone that is not in the catalogue has no region, so no permit could
            // cover it.
            let Some(zone) = self.zones_by_name.get(&announced.zone).copied() else {
                continue;
            };
            let service = self.service(&announced.service);
            let server = self.servers.push(ServerView {
                name: announced.server.clone(),
                service,
                address: announced.address,
                zone,
                region: self.zones[zone].region,
                distance: self.distance(zone),
                slots: announced.slots,
                connections: announced.connections,
                cold_slots: announced.cold_slots,
                state: announced.state,
                incarnation: announced.incarnation,
            });
            let accepts_requests = matches!(
                announced.state,
                announcement::ServerState::Cold | announcement::ServerState::Warm
            );
            let is_out = self.zones[zone].out || cfg.servers_out.contains(&announced.server);
            if accepts_requests && !is_out {
                self.services[service].servers.push(server);
            }
        }
    }

    fn region_set(&self, names: &[String]) -> permit::RegionSet {
        if names.is_empty() {
            return permit::RegionSet::ALL;
        }
        let mut set = permit::RegionSet::NONE;
        for name in names {
            if let Some(region) = self.regions_by_name.get(name) {
                set.insert(*region);
            }
        }
        set
    }

    fn add_accounts(&mut self, cfg: &config::Config) {
        for (name, account) in &cfg.accounts {
            let key = self.accounts.push(AccountView {
                name: name.clone(),
                class: account.class,
                token_sha256: account.token_sha256.as_deref().map(parse_digest),
                regions: self.region_set(&account.home_regions),
                limits: account.limits.clone(),
            });
            self.accounts_by_name.insert(name.clone(), key);
        }
    }

    fn add_routes(&mut self, cfg: &config::Config) {
        for (name, route) in &cfg.routes {
            let accounts = route
                .accounts
                .iter()
                .filter_map(|a| self.accounts_by_name.get(a));
            let accounts: Vec<entity::Account> = accounts.copied().collect();
            let service = self.services_by_name.get(&route.service).copied();
            if let Some(service) = service
                && route.class != class::Class::BulkExport
            {
                self.services[service].has_urgent_route = true;
            }
            let region_of = |name: &String| self.regions_by_name.get(name).copied();
            let key = self.routes.push(RouteView {
                name: name.clone(),
                class: route.class,
                service,
                regions: self.region_set(&route.home_regions),
                ledger_region: route.ledger_region.as_ref().and_then(region_of),
                retention: route.retention,
                accounts: (!route.accounts.is_empty()).then_some(accounts),
                limits: route.limits.clone(),
            });
            self.routes_by_prefix.insert(route.path_prefix.clone(), key);
            self.routes_by_name.insert(name.clone(), key);
        }
    }

    fn add_entries(&mut self, directory: &directory::Directory) {
        for record in directory.entries() {
            let Some(zone) = self.zones_by_name.get(&record.zone).copied() else {
                continue;
            };
            self.entries.push(EntryView {
                name: record.name.clone(),
                boot: record.boot,
                address: record.address,
                region: self.zones[zone].region,
                distance: self.distance(zone),
                is_usable: !self.zones[zone].out && !record.leaving,
            });
        }
    }

    fn finish(self, version: config::Version) -> View {
        let local_zone = self
            .zones_by_name
            .get(self.locality.zone)
            .map(|zone| &self.zones[*zone]);
        // If the settings of the process and the catalogue disagree on the region of its zone, it
        // gets no region, so it serves no request with home regions in the wrong region.
        let local_region = local_zone
            .map(|zone| zone.region)
            .filter(|region| self.regions[*region] == self.locality.region);
        let is_local_zone_out = local_zone.is_none_or(|zone| zone.out);
        View {
            version,
            regions: self.regions,
            zones: self.zones,
            services: self.services,
            servers: self.servers,
            routes: self.routes,
            accounts: self.accounts,
            entries: self.entries,
            local_region,
            is_local_zone_out,
            routes_by_prefix: self.routes_by_prefix,
            routes_by_name: self.routes_by_name,
            accounts_by_name: self.accounts_by_name,
        }
    }
}

impl View {
    /// Returns the number of usable servers of all services.
    pub fn usable_servers_count(&self) -> usize {
        self.services
            .values()
            .map(|service| service.servers.len())
            .sum()
    }

    /// Returns the index after the last server, as the length of dense tables indexed by server.
    pub fn servers_end(&self) -> usize {
        self.servers
            .keys()
            .last()
            .map_or(0, |server| server.index() + 1)
    }
}

/// Parses 64 hexadecimal digits, which the validation of the catalogue guarantees. Any other text
/// gives a digest that practically no token has, so the account fails closed.
fn parse_digest(text: &str) -> key::Digest {
    key::Digest::parse_hex(text).unwrap_or(key::Digest::OF_NO_KEY)
}

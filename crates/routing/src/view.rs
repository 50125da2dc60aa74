//! Catalogue and membership, resolved to indices.

use crate::permit;
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
    /// Name.
    pub name: String,
    /// Region of the zone.
    pub region: entity::Region,
    /// Whether the zone is out of service.
    pub out: bool,
}

/// Distance of a server from the entry VM that holds the view, cheapest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Distance {
    /// Same availability zone.
    SameZone,
    /// Another zone of the same region.
    SameRegion,
    /// Another region; the link is slow and paid by volume.
    OtherRegion,
}

/// Backend server in a view.
#[derive(Debug, Clone)]
pub struct ServerView {
    /// Name.
    pub name: String,
    /// Service.
    pub service: entity::Service,
    /// Address.
    pub address: net::SocketAddr,
    /// Zone.
    pub zone: entity::Zone,
    /// Region of the zone.
    pub region: entity::Region,
    /// Distance from here.
    pub distance: Distance,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Connections that it accepts.
    pub connections: u32,
    /// Requests that it bears at once while cold.
    pub cold_slots: u32,
    /// Announced state.
    pub state: announcement::ServerState,
    /// Start number of the server.
    pub incarnation: u64,
}

/// Service in a view.
#[derive(Debug, Clone)]
pub struct ServiceView {
    /// Name.
    pub name: String,
    /// Servers that may get new work: announced cold or warm, in service, in a zone in service.
    pub servers: Vec<entity::Server>,
    /// Whether a route of another class than bulk export uses it.
    pub has_urgent_route: bool,
}

/// Route in a view.
#[derive(Debug, Clone)]
pub struct RouteView {
    /// Name.
    pub name: String,
    /// Class.
    pub class: class::Class,
    /// Service, if any server of it is announced.
    pub service: Option<entity::Service>,
    /// Regions that a request of the route may be in.
    pub regions: permit::RegionSet,
    /// Region that keeps the record of one-time requests.
    pub ledger_region: Option<entity::Region>,
    /// How long that record is kept.
    pub retention: Option<spec::Span>,
    /// Accounts that may use the route; `None` for every account.
    pub accounts: Option<Vec<entity::Account>>,
    /// Limits.
    pub limits: spec::Limits,
}

/// Client account in a view.
#[derive(Debug, Clone)]
pub struct AccountView {
    /// Name.
    pub name: String,
    /// Highest priority.
    pub class: class::Class,
    /// SHA-256 of the token that callers of the account must show.
    pub token_sha256: Option<[u8; 32]>,
    /// Regions that a request of the account may be in.
    pub regions: permit::RegionSet,
    /// Limits.
    pub limits: spec::Limits,
}

/// Entry process in a view.
#[derive(Debug, Clone)]
pub struct EntryView {
    /// Name.
    pub name: String,
    /// Random number of this start of the process.
    pub boot: u64,
    /// Address for callers.
    pub address: net::SocketAddr,
    /// Region of its zone.
    pub region: entity::Region,
    /// Distance from here.
    pub distance: Distance,
    /// Whether callers may be sent to it: its zone is in service and it is not shutting down.
    pub is_usable: bool,
}

/// Where the holder of a view runs.
#[derive(Debug, Clone, Copy)]
pub struct Locality<'a> {
    /// Name of its zone.
    pub zone: &'a str,
    /// Name of its region.
    pub region: &'a str,
}

/// Everything that the path of a request needs to know, immutable.
#[derive(Debug)]
pub struct View {
    /// Version of the catalogue.
    pub version: config::Version,
    /// Names of the regions.
    pub regions: entity::PrimaryMap<entity::Region, String>,
    /// Zones.
    pub zones: entity::PrimaryMap<entity::Zone, ZoneView>,
    /// Services.
    pub services: entity::PrimaryMap<entity::Service, ServiceView>,
    /// Announced servers, usable or not.
    pub servers: entity::PrimaryMap<entity::Server, ServerView>,
    /// Routes.
    pub routes: entity::PrimaryMap<entity::Route, RouteView>,
    /// Accounts.
    pub accounts: entity::PrimaryMap<entity::Account, AccountView>,
    /// Live entry processes.
    pub entries: entity::PrimaryMap<entity::Entry, EntryView>,
    /// Region of the holder; `None` if the catalogue does not know it, which permits nothing.
    pub local_region: Option<entity::Region>,
    /// Whether the holder's own zone is out of service or unknown.
    pub is_local_zone_out: bool,
    routes_by_prefix: collections::HashMap<String, entity::Route>,
    routes_by_name: collections::HashMap<String, entity::Route>,
    accounts_by_name: collections::HashMap<String, entity::Account>,
}

impl View {
    /// Builds the view of a catalogue version and a directory for a process at `place`.
    pub fn build(
        cfg: &config::Config,
        directory: &directory::Directory,
        place: Locality<'_>,
    ) -> View {
        let mut cx = Builder::new(place);
        cx.add_zones(cfg);
        cx.add_servers(cfg, directory);
        cx.add_accounts(cfg);
        cx.add_routes(cfg);
        cx.add_entries(directory);
        cx.finish(cfg.version)
    }

    /// Returns the route with the longest prefix of whole segments of `path`.
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

    /// Returns the route of a name.
    pub fn find_route(&self, name: &str) -> Option<entity::Route> {
        self.routes_by_name.get(name).copied()
    }

    /// Returns the account of a name.
    pub fn find_account(&self, name: &str) -> Option<entity::Account> {
        self.accounts_by_name.get(name).copied()
    }

    /// Returns the regions that a request of an account on a route may be in.
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
    place: Locality<'a>,
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
    fn new(place: Locality<'a>) -> Builder<'a> {
        Builder {
            place,
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
        if zone.name == self.place.zone {
            Distance::SameZone
        } else if self.regions[zone.region] == self.place.region {
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
            // A server in a zone that the catalogue does not know has no region, so no permit
            // could cover it.
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
            let takes_work = matches!(
                announced.state,
                announcement::ServerState::Cold | announcement::ServerState::Warm
            );
            let is_out = self.zones[zone].out || cfg.servers_out.contains(&announced.server);
            if takes_work && !is_out {
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
            .get(self.place.zone)
            .map(|zone| &self.zones[*zone]);
        // A process whose settings name another region than the catalogue gives its zone gets no
        // region at all, so it serves nothing with home regions in the wrong place.
        let local_region = local_zone
            .map(|zone| zone.region)
            .filter(|region| self.regions[*region] == self.place.region);
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
    /// Returns the number of usable servers over all services.
    pub fn usable_servers_count(&self) -> usize {
        self.services
            .values()
            .map(|service| service.servers.len())
            .sum()
    }

    /// Returns an index past the last server, for dense tables beside the view.
    pub fn servers_end(&self) -> usize {
        self.servers
            .keys()
            .last()
            .map_or(0, |server| server.index() + 1)
    }
}

/// Reads 64 hexadecimal digits, which the catalogue's checks guarantee. Any other text gives a
/// digest that no token has for practical purposes, so the account stays closed.
fn parse_digest(text: &str) -> [u8; 32] {
    let mut digest = [0; 32];
    for (byte, pair) in digest.iter_mut().zip(text.as_bytes().chunks(2)) {
        let pair = std::str::from_utf8(pair).unwrap_or("");
        *byte = u8::from_str_radix(pair, 16).unwrap_or(0);
    }
    digest
}

//! Counts of what this entry process did, for the comparison with the catalogue at the leader.
//!
//! The path of a request adds to atomics that lie beside its snapshot; the syncer collects them.
//! See `nutmegdale_catalogue::audit` for what is counted and how it is judged.

use crate::forward;
use nutmegdale_base::clock;
use nutmegdale_base::entity::EntityRef;
use nutmegdale_base::{class, entity};
use nutmegdale_catalogue::{audit, config};
use nutmegdale_routing::view;
use std::collections;
use std::sync;
use std::sync::atomic;

/// Versions whose counts are kept here until the leader has taken them.
const VERSIONS_MAX_COUNT: usize = 64;
/// Shortest time between two reports.
const REPORT_MS: clock::Millis = clock::Millis(2_000);
/// Time that one row adds to the wait for the next report. At 100 bytes a row, 20 entry processes
/// then send less than 4 KB a second together, a fifth of the budget of a control process.
const ROW_MS: u64 = 500;

/// Counters of one row.
#[derive(Debug, Default)]
struct Cell {
    served: atomic::AtomicU64,
    not_run: atomic::AtomicU64,
    unknown: atomic::AtomicU64,
}

impl Cell {
    fn read(&self) -> audit::Counts {
        audit::Counts {
            served: self.served.load(atomic::Ordering::Relaxed),
            not_run: self.not_run.load(atomic::Ordering::Relaxed),
            unknown: self.unknown.load(atomic::Ordering::Relaxed),
        }
    }
}

type SharedCell = sync::Arc<Cell>;
type Cells = collections::BTreeMap<audit::Subject, SharedCell>;

/// Counters beside one snapshot, by the indices of its view.
#[derive(Debug, Default)]
pub struct Counts {
    zones: Vec<[SharedCell; class::Class::ALL.len()]>,
    routes: Vec<Vec<SharedCell>>,
    servers: Vec<Option<SharedCell>>,
}

/// Request that is sent; it counts as unknown unless its end is told.
#[derive(Debug)]
pub struct Sent<'a> {
    cells: [Option<&'a Cell>; 3],
    is_ended: bool,
}

impl Counts {
    /// Counts a request that is about to be sent to a server.
    pub fn begin(
        &self,
        view: &view::View,
        route: entity::Route,
        server: entity::Server,
    ) -> Sent<'_> {
        let place = &view.servers[server];
        let class = view.routes[route].class.index();
        let zone = self
            .zones
            .get(place.zone.index())
            .map(|cells| &*cells[class]);
        let regions = self.routes.get(route.index());
        let region = regions.and_then(|cells| Some(&**cells.get(place.region.index())?));
        let server = self.servers.get(server.index());
        let server = server.and_then(|cell| cell.as_deref());
        Sent {
            cells: [zone, region, server],
            is_ended: false,
        }
    }
}

impl Sent<'_> {
    /// Counts the end of the attempt.
    pub fn end(mut self, attempt: &forward::AttemptResult) {
        self.is_ended = true;
        self.add(|cell| match attempt {
            forward::AttemptResult::Answered(_) => &cell.served,
            forward::AttemptResult::NotRun(..) => &cell.not_run,
            forward::AttemptResult::Unknown(_) => &cell.unknown,
        });
    }

    fn add(&self, counter: impl Fn(&Cell) -> &atomic::AtomicU64) {
        for cell in self.cells.iter().flatten() {
            counter(cell).fetch_add(1, atomic::Ordering::Relaxed);
        }
    }
}

impl Drop for Sent<'_> {
    fn drop(&mut self) {
        if !self.is_ended {
            self.add(|cell| &cell.unknown);
        }
    }
}

/// Collects the counters of all versions; owned by the syncer.
#[derive(Debug, Default)]
pub struct Audit {
    versions: collections::BTreeMap<config::Version, Cells>,
    acked: collections::BTreeMap<audit::RowKey, u64>,
    dropped: u64,
    next_report: clock::Millis,
}

impl Audit {
    /// Creates an audit without counts.
    pub fn new() -> Audit {
        Audit::default()
    }

    /// Returns the counters for a view of a configuration; views of one version share them.
    pub fn counts(&mut self, cfg: &config::Config, view: &view::View) -> Counts {
        let cells = self.versions.entry(cfg.version).or_default();
        let mut cell = |subject| sync::Arc::clone(cells.entry(subject).or_default());
        let zones = view.zones.values().map(|zone| {
            class::Class::ALL.map(|class| {
                cell(audit::Subject::Zone {
                    class,
                    zone: zone.name.clone(),
                    region: view.regions[zone.region].clone(),
                })
            })
        });
        let zones = zones.collect();
        let routes = view.routes.values().map(|route| {
            // Only a route with home regions can be sent to a wrong region.
            let spec = cfg.routes.get(&route.name);
            if spec.is_none_or(|spec| spec.home_regions.is_empty()) {
                return Vec::new();
            }
            let cell_of = |region: &String| {
                cell(audit::Subject::Route {
                    route: route.name.clone(),
                    region: region.clone(),
                })
            };
            view.regions.values().map(cell_of).collect()
        });
        let routes = routes.collect();
        let servers = view.servers.values().map(|server| {
            let is_out = cfg.servers_out.contains(&server.name);
            is_out.then(|| {
                cell(audit::Subject::Server {
                    server: server.name.clone(),
                })
            })
        });
        let servers = servers.collect();
        self.bound();
        Counts {
            zones,
            routes,
            servers,
        }
    }

    fn bound(&mut self) {
        while self.versions.len() > VERSIONS_MAX_COUNT
            && let Some((version, cells)) = self.versions.pop_first()
        {
            for (subject, cell) in cells {
                let key = audit::RowKey { version, subject };
                let acked = self.acked.remove(&key).unwrap_or(0);
                if matches!(key.subject, audit::Subject::Zone { .. }) {
                    self.dropped += cell.read().total() - acked;
                }
            }
        }
    }

    /// Returns the rows that changed since the last report, if one is due.
    pub fn report(&mut self, now: clock::Millis) -> audit::Report {
        if now < self.next_report {
            return audit::Report::default();
        }
        let changed = self.changed();
        let rows: Vec<audit::Row> = changed.take(audit::REPORT_ROWS_MAX_COUNT).collect();
        let wait = clock::Millis(rows.len() as u64 * ROW_MS);
        self.next_report = now + wait.max(REPORT_MS);
        audit::Report {
            rows,
            dropped: self.dropped,
        }
    }

    fn changed(&self) -> impl Iterator<Item = audit::Row> + '_ {
        let cells = self.versions.iter().flat_map(|(version, cells)| {
            let key = |subject: &audit::Subject| audit::RowKey {
                version: *version,
                subject: subject.clone(),
            };
            cells.iter().map(move |(s, cell)| (key(s), cell.read()))
        });
        cells
            .filter(|(key, counts)| counts.total() > self.acked.get(key).copied().unwrap_or(0))
            .map(|(key, counts)| audit::Row { key, counts })
    }

    /// Notes that the leader has taken a report.
    pub fn ack(&mut self, report: &audit::Report) {
        for row in &report.rows {
            self.acked.insert(row.key.clone(), row.counts.total());
        }
    }

    /// Notes that the leader has no counts of this process, so that all are sent again.
    pub fn forget_acked(&mut self) {
        self.acked.clear();
        self.next_report = clock::Millis::ZERO;
    }
}

//! Counts of the sends of this entry process, which the leader compares with the catalogue.
//!
//! The request path increments atomics that belong to its snapshot; the syncer collects them. See
//! `nutmegdale_catalogue::audit` for what is counted and how violations are detected.

use crate::forward;
use nutmegdale_base::clock;
use nutmegdale_base::entity::EntityRef;
use nutmegdale_base::{class, entity};
use nutmegdale_catalogue::{audit, config};
use nutmegdale_routing::view;
use std::collections;
use std::sync;
use std::sync::atomic;

/// Most catalogue versions whose counters are kept; older ones are evicted, acknowledged or not.
const VERSIONS_MAX_COUNT: usize = 64;
/// Shortest interval between two reports.
const REPORT_INTERVAL_MS: clock::Millis = clock::Millis(2_000);
/// Interval to the next report for each row of a report, in milliseconds. At 100 bytes per row, 20
/// entry processes together send less than 4 KB/s, a fifth of the budget of a control process.
const REPORT_MS_PER_ROW: u64 = 500;

/// Counters of one row.
#[derive(Debug, Default)]
struct RowCounters {
    served: atomic::AtomicU64,
    not_run: atomic::AtomicU64,
    unknown: atomic::AtomicU64,
}

impl RowCounters {
    fn read(&self) -> audit::Counts {
        audit::Counts {
            served: self.served.load(atomic::Ordering::Relaxed),
            not_run: self.not_run.load(atomic::Ordering::Relaxed),
            unknown: self.unknown.load(atomic::Ordering::Relaxed),
        }
    }
}

type SharedCounters = sync::Arc<RowCounters>;
type CountersBySubject = collections::BTreeMap<audit::Subject, SharedCounters>;

/// Counters of one snapshot, indexed like its view.
#[derive(Debug, Default)]
pub struct SnapshotCounters {
    zones: Vec<[SharedCounters; class::Class::ALL.len()]>,
    routes: Vec<Vec<SharedCounters>>,
    servers: Vec<Option<SharedCounters>>,
}

/// Send in progress; dropped without [`SendGuard::end`], it counts as unknown.
#[derive(Debug)]
pub struct SendGuard<'a> {
    counters: [Option<&'a RowCounters>; 3],
    is_finished: bool,
}

impl SnapshotCounters {
    /// Begins to count a request that is about to be sent to a server.
    pub fn begin(
        &self,
        view: &view::View,
        route: entity::Route,
        server: entity::Server,
    ) -> SendGuard<'_> {
        let server_view = &view.servers[server];
        let class = view.routes[route].class.index();
        let zone = self
            .zones
            .get(server_view.zone.index())
            .map(|counters| &*counters[class]);
        let regions = self.routes.get(route.index());
        let region =
            regions.and_then(|counters| Some(&**counters.get(server_view.region.index())?));
        let server = self.servers.get(server.index());
        let server = server.and_then(|row| row.as_deref());
        SendGuard {
            counters: [zone, region, server],
            is_finished: false,
        }
    }
}

impl SendGuard<'_> {
    /// Counts the result of the attempt.
    pub fn end(mut self, result: &forward::AttemptResult) {
        self.is_finished = true;
        self.add(|row| match result {
            forward::AttemptResult::Answered(_) => &row.served,
            forward::AttemptResult::NotRun(..) => &row.not_run,
            forward::AttemptResult::Unknown(_) => &row.unknown,
        });
    }

    fn add(&self, counter: impl Fn(&RowCounters) -> &atomic::AtomicU64) {
        for row in self.counters.iter().flatten() {
            counter(row).fetch_add(1, atomic::Ordering::Relaxed);
        }
    }
}

impl Drop for SendGuard<'_> {
    fn drop(&mut self) {
        if !self.is_finished {
            self.add(|row| &row.unknown);
        }
    }
}

/// Collects the counters of all catalogue versions; owned by the syncer.
#[derive(Debug, Default)]
pub struct Collector {
    versions: collections::BTreeMap<config::Version, CountersBySubject>,
    acked: collections::BTreeMap<audit::RowKey, u64>,
    dropped: u64,
    next_report: clock::Millis,
}

impl Collector {
    /// Creates a collector without counters.
    pub fn new() -> Collector {
        Collector::default()
    }

    /// Returns the counters for a view; views of the same catalogue version share them.
    pub fn counters(&mut self, cfg: &config::Config, view: &view::View) -> SnapshotCounters {
        let counters = self.versions.entry(cfg.version).or_default();
        let mut counters_of = |subject| sync::Arc::clone(counters.entry(subject).or_default());
        let zones = view.zones.values().map(|zone| {
            class::Class::ALL.map(|class| {
                counters_of(audit::Subject::Zone {
                    class,
                    zone: zone.name.clone(),
                    region: view.regions[zone.region].clone(),
                })
            })
        });
        let zones = zones.collect();
        let routes = view.routes.values().map(|route| {
            // Only requests of a route with home regions can reach a wrong region.
            let spec = cfg.routes.get(&route.name);
            if spec.is_none_or(|spec| spec.home_regions.is_empty()) {
                return Vec::new();
            }
            let route_counters = |region: &String| {
                counters_of(audit::Subject::Route {
                    route: route.name.clone(),
                    region: region.clone(),
                })
            };
            view.regions.values().map(route_counters).collect()
        });
        let routes = routes.collect();
        let servers = view.servers.values().map(|server| {
            let is_out = cfg.servers_out.contains(&server.name);
            is_out.then(|| {
                counters_of(audit::Subject::Server {
                    server: server.name.clone(),
                })
            })
        });
        let servers = servers.collect();
        self.evict_old_versions();
        SnapshotCounters {
            zones,
            routes,
            servers,
        }
    }

    fn evict_old_versions(&mut self) {
        while self.versions.len() > VERSIONS_MAX_COUNT
            && let Some((version, counters)) = self.versions.pop_first()
        {
            for (subject, row) in counters {
                let key = audit::RowKey { version, subject };
                let acked = self.acked.remove(&key).unwrap_or(0);
                if matches!(key.subject, audit::Subject::Zone { .. }) {
                    self.dropped += row.read().total() - acked;
                }
            }
        }
    }

    /// Returns the rows that changed since they were last acknowledged, or an empty report if none is
    /// due.
    pub fn report(&mut self, now: clock::Millis) -> audit::Report {
        if now < self.next_report {
            return audit::Report::default();
        }
        let changed = self.changed_rows();
        let rows: Vec<audit::Row> = changed.take(audit::REPORT_ROWS_MAX_COUNT).collect();
        let wait = clock::Millis(rows.len() as u64 * REPORT_MS_PER_ROW);
        self.next_report = now + wait.max(REPORT_INTERVAL_MS);
        audit::Report {
            rows,
            dropped: self.dropped,
        }
    }

    fn changed_rows(&self) -> impl Iterator<Item = audit::Row> + '_ {
        let counters = self.versions.iter().flat_map(|(version, counters)| {
            let key = |subject: &audit::Subject| audit::RowKey {
                version: *version,
                subject: subject.clone(),
            };
            counters.iter().map(move |(s, row)| (key(s), row.read()))
        });
        counters
            .filter(|(key, counts)| counts.total() > self.acked.get(key).copied().unwrap_or(0))
            .map(|(key, counts)| audit::Row { key, counts })
    }

    /// Records that the leader has acknowledged a report.
    pub fn ack(&mut self, report: &audit::Report) {
        for row in &report.rows {
            self.acked.insert(row.key.clone(), row.counts.total());
        }
    }

    /// Records that the leader has no counts of this process, so that all rows are sent again.
    pub fn reset_acked(&mut self) {
        self.acked.clear();
        self.next_report = clock::Millis::ZERO;
    }
}

//! Audit of the requests that entry processes sent against the catalogue.
//!
//! Entry processes count the requests that they sent per catalogue version that they routed by.
//! The counts influence no decision; [`check`] compares them with the configuration of the same
//! version and does not depend on how servers are chosen.

use crate::config;
use crate::state;
use nutmegdale_base::class;
use serde::{Deserialize, Serialize};
use std::collections;

/// Most rows that the leader keeps per boot of an entry process; rows of the oldest versions are
/// evicted first.
pub const ROWS_MAX_COUNT: usize = 4_096;
/// Most rows in one report.
pub const REPORT_ROWS_MAX_COUNT: usize = 256;

/// Requests that a row counts.
///
/// One row per route and server would be up to 890 rows per entry process and version, too many
/// for a sync. So zones are counted by class; only routes with home regions are counted by region,
/// and only servers that the version takes out of service are counted by name.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Subject {
    /// Requests of one class sent to one zone.
    Zone {
        /// Class of the route.
        class: class::Class,
        /// Zone of the server.
        zone: String,
        /// Region of that zone.
        region: String,
    },
    /// Requests of one route sent to one region.
    Route {
        /// Name of the route.
        route: String,
        /// Region of the server.
        region: String,
    },
    /// Requests sent to one server.
    Server {
        /// Name of the server.
        server: String,
    },
}

/// Version and subject, which identify a row.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RowKey {
    /// Version that the entry process routed by.
    pub version: config::Version,
    /// Requests that the row counts.
    pub subject: Subject,
}

/// Outcomes of the requests of a row, counted since the entry process started.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Requests that the server answered.
    pub served: u64,
    /// Requests that did not run.
    pub not_run: u64,
    /// Requests that may have run.
    pub unknown: u64,
}

impl Counts {
    /// Returns the number of requests.
    pub fn total(self) -> u64 {
        self.served + self.not_run + self.unknown
    }
}

/// Counts of one subject under one version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Version and subject of the row.
    pub key: RowKey,
    /// Requests by outcome.
    pub counts: Counts,
}

/// Rows of one entry process that changed since its last acknowledged report.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Changed rows with their new totals.
    pub rows: Vec<Row>,
    /// Requests since the process started whose rows were evicted before they were acknowledged.
    pub dropped: u64,
}

impl Report {
    /// Returns whether the report has neither rows nor dropped requests.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty() && self.dropped == 0
    }
}

/// Rule of the catalogue that requests violated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Violation {
    /// Entry process that sent the requests.
    pub entry: String,
    /// Row that counts the requests.
    pub key: RowKey,
    /// Requests of the row, whatever their outcome.
    pub count: u64,
    /// Description of the violated rule.
    pub rule: String,
}

/// Latest request counts of every boot of every entry process.
#[derive(Debug, Default)]
pub struct RequestCounts {
    boots: collections::BTreeMap<(String, u64), BootCounts>,
    reports_count: u64,
}

/// Boots of entry processes kept. At 75 restarts a day this covers three days.
const BOOTS_MAX_COUNT: usize = 256;
/// Rows kept over all entry processes, which bounds memory to about 20 MB.
const TOTAL_ROWS_MAX_COUNT: usize = 65_536;

#[derive(Debug, Default)]
struct BootCounts {
    rows: collections::BTreeMap<RowKey, Counts>,
    dropped: u64,
    last_report: u64,
}

impl RequestCounts {
    /// Records a report of the boot `boot` of an entry process.
    pub fn record_report(&mut self, entry: &str, boot: u64, report: &Report) {
        if report.is_empty() {
            return;
        }
        self.reports_count += 1;
        let number = self.reports_count;
        let boot_counts = self.boots.entry((entry.to_owned(), boot)).or_default();
        boot_counts.last_report = number;
        boot_counts.dropped = boot_counts.dropped.max(report.dropped);
        for row in &report.rows {
            let counts = boot_counts.rows.entry(row.key.clone()).or_default();
            // Counts only grow, so a smaller total comes from an older report that arrived late.
            if row.counts.total() >= counts.total() {
                *counts = row.counts;
            }
        }
        while boot_counts.rows.len() > ROWS_MAX_COUNT {
            boot_counts.rows.pop_first();
        }
        self.evict_oldest();
    }

    fn evict_oldest(&mut self) {
        while self.boots.len() > BOOTS_MAX_COUNT || self.rows_count() > TOTAL_ROWS_MAX_COUNT {
            let oldest = self
                .boots
                .iter()
                .min_by_key(|(_, boot_counts)| boot_counts.last_report);
            let Some(key) = oldest.map(|(key, _)| key.clone()) else {
                return;
            };
            self.boots.remove(&key);
        }
    }

    fn rows_count(&self) -> usize {
        self.boots
            .values()
            .map(|boot_counts| boot_counts.rows.len())
            .sum()
    }

    /// Returns every row with its entry process and boot, ordered by process, boot and key.
    pub fn rows(&self) -> impl Iterator<Item = (&str, u64, &RowKey, &Counts)> {
        self.boots.iter().flat_map(|((entry, boot), boot_counts)| {
            let rows = boot_counts.rows.iter();
            rows.map(move |(key, counts)| (entry.as_str(), *boot, key, counts))
        })
    }

    /// Returns the requests whose rows the entry processes evicted unreported.
    pub fn dropped(&self) -> u64 {
        self.boots
            .values()
            .map(|boot_counts| boot_counts.dropped)
            .sum()
    }
}

/// Result of comparing every row that the leader holds with the catalogue.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdict {
    /// Requests in all rows, each counted once.
    pub requests: u64,
    /// Violated rules, by row.
    pub violations: Vec<Violation>,
    /// Rows whose version the history does not hold, so that they cannot be checked.
    pub unjudged_rows: u64,
    /// Requests whose rows the entry processes evicted unreported.
    pub dropped: u64,
}

/// Compares every row with the configuration of its version.
pub fn evaluate(request_counts: &RequestCounts, accepted: &state::Accepted) -> Verdict {
    let mut verdict = Verdict {
        dropped: request_counts.dropped(),
        ..Verdict::default()
    };
    let mut configs = collections::BTreeMap::new();
    for (entry, _, key, counts) in request_counts.rows() {
        // Each request is in one zone row; rows of routes and servers count it again.
        if matches!(key.subject, Subject::Zone { .. }) {
            verdict.requests += counts.total();
        }
        let config_at = |version| accepted.history.config_at(&accepted.config, version);
        let cfg = configs
            .entry(key.version)
            .or_insert_with_key(|v| config_at(*v));
        match cfg {
            Some(cfg) => verdict.violations.extend(check(entry, key, counts, cfg)),
            None => verdict.unjudged_rows += 1,
        }
    }
    verdict
}

/// Returns the rules that the requests of a row violated; `cfg` must have the row's version.
pub fn check(entry: &str, key: &RowKey, counts: &Counts, cfg: &config::Config) -> Vec<Violation> {
    // Requests that did not run count too: they must not have been sent, and the counts do not tell
    // a refusal by the server from a failed connection.
    let count = counts.total();
    if count == 0 {
        return Vec::new();
    }
    violated_rules(key, cfg)
        .into_iter()
        .map(|rule| Violation {
            entry: entry.to_owned(),
            key: key.clone(),
            count,
            rule,
        })
        .collect()
}

fn violated_rules(key: &RowKey, cfg: &config::Config) -> Vec<String> {
    match &key.subject {
        Subject::Zone { zone, region, .. } => violated_zone_rules(zone, region, cfg),
        Subject::Route { route, region } => match cfg.routes.get(route) {
            None => vec![format!("route {route:?} is not in the catalogue")],
            Some(spec) if !spec.home_regions.is_empty() && !spec.home_regions.contains(region) => {
                vec![format!(
                    "region {region:?} is not a home region of route {route:?}"
                )]
            }
            Some(_) => Vec::new(),
        },
        Subject::Server { server } if cfg.servers_out.contains(server) => {
            vec![format!("server {server:?} is out of service")]
        }
        Subject::Server { .. } => Vec::new(),
    }
}

fn violated_zone_rules(zone: &str, region: &str, cfg: &config::Config) -> Vec<String> {
    let Some(state) = cfg.zones.get(zone) else {
        return vec![format!("zone {zone:?} is not in the catalogue")];
    };
    let mut rules = Vec::new();
    if state.out {
        rules.push(format!("zone {zone:?} is out of service"));
    }
    if state.region != region {
        rules.push(format!(
            "zone {zone:?} lies in region {:?}, not in {region:?}",
            state.region
        ));
    }
    rules
}

//! Comparison of what entry processes did with what the catalogue of that version said.
//!
//! Entry processes count the requests that they sent, by the version that they routed by. The
//! counts say what happened and decide nothing; [`check`] reads them against the configuration of
//! the same version and knows nothing of how servers are chosen.

use crate::config;
use crate::state;
use nutmegdale_base::class;
use serde::{Deserialize, Serialize};
use std::collections;

/// Rows that the leader keeps for one start of an entry process; the oldest versions go first.
pub const ROWS_MAX_COUNT: usize = 4_096;
/// Rows of one report.
pub const REPORT_ROWS_MAX_COUNT: usize = 256;

/// What a row counts.
///
/// One row per route and server would be up to 890 rows per entry process and version, too much
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

/// Key of a row.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RowKey {
    /// Version that the entry process routed by.
    pub version: config::Version,
    /// What is counted.
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

/// Row of a report.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// What the row counts.
    pub key: RowKey,
    /// The counts.
    pub counts: Counts,
}

/// Rows of one entry process that changed since the last report that was taken.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Changed rows.
    pub rows: Vec<Row>,
    /// Requests that no row counts, since the process started.
    pub dropped: u64,
}

impl Report {
    /// Returns whether the report says nothing.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty() && self.dropped == 0
    }
}

/// Rule of the catalogue that requests broke.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Violation {
    /// Entry process that sent the requests.
    pub entry: String,
    /// The row.
    pub key: RowKey,
    /// Requests that ran or may have run.
    pub count: u64,
    /// Rule that they broke.
    pub rule: String,
}

/// Newest counts of every entry process and start of it.
#[derive(Debug, Default)]
pub struct RequestCounts {
    sources: collections::BTreeMap<(String, u64), Source>,
    next_number: u64,
}

/// Starts of entry processes kept. At 75 restarts a day this covers three days.
const SOURCES_MAX_COUNT: usize = 256;
/// Rows kept over all entry processes, which bounds memory to about 20 MB.
const LEDGER_ROWS_MAX_COUNT: usize = 65_536;

#[derive(Debug, Default)]
struct Source {
    rows: collections::BTreeMap<RowKey, Counts>,
    dropped: u64,
    number: u64,
}

impl RequestCounts {
    /// Takes the report of an entry process.
    pub fn record_report(&mut self, entry: &str, boot: u64, report: &Report) {
        if report.is_empty() {
            return;
        }
        self.next_number += 1;
        let number = self.next_number;
        let source = self.sources.entry((entry.to_owned(), boot)).or_default();
        source.number = number;
        source.dropped = source.dropped.max(report.dropped);
        for row in &report.rows {
            let counts = source.rows.entry(row.key.clone()).or_default();
            // Counts only grow, so a report that arrives late changes nothing.
            if row.counts.total() >= counts.total() {
                *counts = row.counts;
            }
        }
        while source.rows.len() > ROWS_MAX_COUNT {
            source.rows.pop_first();
        }
        self.bound();
    }

    fn bound(&mut self) {
        while self.sources.len() > SOURCES_MAX_COUNT || self.rows_count() > LEDGER_ROWS_MAX_COUNT {
            let oldest = self.sources.iter().min_by_key(|(_, source)| source.number);
            let Some(key) = oldest.map(|(key, _)| key.clone()) else {
                return;
            };
            self.sources.remove(&key);
        }
    }

    fn rows_count(&self) -> usize {
        self.sources.values().map(|source| source.rows.len()).sum()
    }

    /// Returns every row with its entry process and boot, in order.
    pub fn rows(&self) -> impl Iterator<Item = (&str, u64, &RowKey, &Counts)> {
        self.sources.iter().flat_map(|((entry, boot), source)| {
            let rows = source.rows.iter();
            rows.map(move |(key, counts)| (entry.as_str(), *boot, key, counts))
        })
    }

    /// Returns the requests that no row counts.
    pub fn dropped(&self) -> u64 {
        self.sources.values().map(|source| source.dropped).sum()
    }
}

/// Comparison of every row that the leader holds with the catalogue.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Verdict {
    /// Requests that rows count.
    pub requests: u64,
    /// Rules that requests broke.
    pub violations: Vec<Violation>,
    /// Rows whose version the history no longer holds; they are not judged.
    pub unjudged_rows: u64,
    /// Requests that no row counts.
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
        // Each request is counted by zone; the other rows repeat it.
        if matches!(key.subject, Subject::Zone { .. }) {
            verdict.requests += counts.total();
        }
        let at = |version| accepted.history.config_at(&accepted.config, version);
        let cfg = configs.entry(key.version).or_insert_with_key(|v| at(*v));
        match cfg {
            Some(cfg) => verdict.violations.extend(check(entry, key, counts, cfg)),
            None => verdict.unjudged_rows += 1,
        }
    }
    verdict
}

/// Returns the rules that the requests of a row broke; `cfg` must be of the row's version.
pub fn check(entry: &str, key: &RowKey, counts: &Counts, cfg: &config::Config) -> Vec<Violation> {
    // A request that did not run did no harm, but it must not have been sent either; a server's
    // refusal and a failed connection are counted alike.
    let count = counts.total();
    if count == 0 {
        return Vec::new();
    }
    broken_rules(key, cfg)
        .into_iter()
        .map(|rule| Violation {
            entry: entry.to_owned(),
            key: key.clone(),
            count,
            rule,
        })
        .collect()
}

fn broken_rules(key: &RowKey, cfg: &config::Config) -> Vec<String> {
    match &key.subject {
        Subject::Zone { zone, region, .. } => broken_zone_rules(zone, region, cfg),
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

fn broken_zone_rules(zone: &str, region: &str, cfg: &config::Config) -> Vec<String> {
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

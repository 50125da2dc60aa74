//! Newest report of each entry process.
//!
//! Load pattern: reports that are lost, repeated and reordered, processes that restart or move to
//! another coordinator. Reports are kept by process and start, so that none is counted twice and the
//! sums never fall.

use crate::{evidence, plan};
use nutmegdale_base::clock;
use serde::{Deserialize, Serialize};
use std::collections;

/// Name of the call by which a coordinator passes reports on to the leader.
pub const BATCH: &str = "rollout-evidence-batch";

/// Time without a report after which a process that does not follow any coordinator either is no
/// longer waited for.
pub const ALIVE_MS: clock::Millis = clock::Millis(2_200);
/// Time after which the report of a process is dropped; it exceeds the duration of rollouts.
const RETENTION_MS: clock::Millis = clock::Millis(120_000);

/// Reports that a coordinator passes on.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Batch {
    /// Reports with the time since they were received.
    pub reports: Vec<(clock::Millis, evidence::Report)>,
}

#[derive(Debug)]
struct Record {
    report: evidence::Report,
    received_at: clock::Millis,
    /// Position in the order in which the starts of processes became known.
    known_as: u64,
}

/// Newest reports by the name and the start of the process.
#[derive(Debug, Default)]
pub struct Reports {
    records: collections::BTreeMap<(String, u64), Record>,
    known_count: u64,
}

impl Reports {
    /// Takes in a report that was received at `at`, unless a later one of the same start is known.
    pub fn record(&mut self, at: clock::Millis, report: evidence::Report) {
        let key = (report.process.clone(), report.boot);
        match self.records.get_mut(&key) {
            Some(record) if record.report.sequence >= report.sequence => {}
            Some(record) => {
                record.report = report;
                record.received_at = record.received_at.max(at);
            }
            None => {
                self.known_count += 1;
                let record = Record {
                    report,
                    received_at: at,
                    known_as: self.known_count,
                };
                self.records.insert(key, record);
            }
        }
    }

    /// Drops reports from long ago.
    pub fn expire(&mut self, now: clock::Millis) {
        self.records
            .retain(|_, record| now.since(record.received_at) < RETENTION_MS);
    }

    /// Returns the reports that are not in `sent`, which maps each start to the sequence of the
    /// report that a receiver holds.
    pub fn batch(
        &self,
        now: clock::Millis,
        sent: &collections::BTreeMap<(String, u64), u64>,
    ) -> Batch {
        let is_news = |(key, record): &(&(String, u64), &Record)| {
            sent.get(*key)
                .is_none_or(|sequence| *sequence < record.report.sequence)
        };
        let news = self.records.iter().filter(is_news);
        let reports =
            news.map(|(_, record)| (now.since(record.received_at), record.report.clone()));
        Batch {
            reports: reports.collect(),
        }
    }

    /// Returns the sum of the evidence of all processes on one rollout.
    pub fn evidence(&self, service: &str, order: u64) -> evidence::Evidence {
        let mut sum = evidence::Evidence::default();
        for record in self.records.values() {
            let services = record.report.services.iter();
            for report in services.filter(|r| r.service == service && r.order == order) {
                sum.add(&report.evidence);
            }
        }
        sum
    }

    /// Returns the names of the processes that have not shown that they use the old servers of a
    /// service no longer: those in `live`, and those that reported a short time ago.
    pub fn unreleased<'a>(
        &'a self,
        now: clock::Millis,
        service: &str,
        order: u64,
        live: impl Iterator<Item = &'a str>,
    ) -> collections::BTreeSet<&'a str> {
        let mut newest = collections::BTreeMap::<&str, &Record>::new();
        for record in self.records.values() {
            let known = newest.entry(&record.report.process).or_insert(record);
            if record.known_as > known.known_as {
                *known = record;
            }
        }
        let is_recent = |record: &&Record| now.since(record.received_at) < ALIVE_MS;
        let recent = newest.values().copied().filter(is_recent);
        let recent = recent.map(|record| record.report.process.as_str());
        let names: collections::BTreeSet<&str> = live.chain(recent).collect();
        let is_released = |name: &&str| {
            let record = newest.get(name);
            record.is_some_and(|record| is_released(&record.report, service, order))
        };
        names
            .into_iter()
            .filter(|name| !is_released(name))
            .collect()
    }
}

fn is_released(report: &evidence::Report, service: &str, order: u64) -> bool {
    let mut services = report.services.iter();
    services.any(|report| {
        let is_promoted = report.stage == plan::Stage::Promoting && report.old_in_flight == 0;
        report.service == service && report.order == order && is_promoted
    })
}

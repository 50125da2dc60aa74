//! Metrics and health check of a control process.

use crate::{catalogue, groups};
use nutmegdale_consensus::status;
use nutmegdale_rpc::message;
use nutmegdale_settings::model;
use prometheus::{Encoder, IntGaugeVec, Opts, Registry, TextEncoder};
use std::sync;

/// Sources of the metrics and of the health check.
#[allow(missing_debug_implementations)] // Holds trait objects.
pub struct Observe {
    host: sync::Arc<groups::Host>,
    published: sync::Arc<catalogue::Published>,
    groups: [String; 2],
}

impl Observe {
    /// Creates the sources for the groups of which a process runs replicas.
    pub fn new(
        process: &model::Process,
        host: sync::Arc<groups::Host>,
        published: sync::Arc<catalogue::Published>,
    ) -> Observe {
        let ledger = groups::ledger_group(&process.region);
        Observe {
            host,
            published,
            groups: [groups::CATALOGUE.to_owned(), ledger],
        }
    }

    /// Returns the metrics in the Prometheus text format.
    pub fn metrics(&self) -> message::AdminReply {
        let registry = Registry::new();
        let gauge = |name, help| {
            let valid = "names and labels are valid and registered once";
            let gauge = IntGaugeVec::new(Opts::new(name, help), &["group"]).expect(valid);
            registry.register(Box::new(gauge.clone())).expect(valid);
            gauge
        };
        let term = gauge("nutmegdale_replica_term", "Term of the replica.");
        let commit = gauge("nutmegdale_replica_commit_index", "Last committed index.");
        let applied = gauge("nutmegdale_replica_applied_index", "Last applied index.");
        let leads = gauge("nutmegdale_replica_leads", "1 if the replica leads.");
        let has_leader_gauge = gauge("nutmegdale_replica_has_leader", "1 if a leader is known.");
        let version = gauge("nutmegdale_catalogue_version", "Version applied here.");
        for group in &self.groups {
            let Some(status) = self.host.status(group) else {
                continue;
            };
            let label = &[group.as_str()];
            term.with_label_values(label).set(to_gauge(status.term.0));
            commit
                .with_label_values(label)
                .set(to_gauge(status.commit.0));
            applied
                .with_label_values(label)
                .set(to_gauge(status.applied.0));
            let is_leader = status.role == status::Role::Leader;
            leads.with_label_values(label).set(i64::from(is_leader));
            let has_leader = status.leader.is_some();
            has_leader_gauge
                .with_label_values(label)
                .set(i64::from(has_leader));
        }
        let applied_version = self.published.load().accepted.config.version.0;
        let catalogue = &[groups::CATALOGUE];
        version
            .with_label_values(catalogue)
            .set(to_gauge(applied_version));
        let mut body = Vec::new();
        let encoded = TextEncoder::new().encode(&registry.gather(), &mut body);
        encoded.expect("metrics can be written to memory");
        message::AdminReply { status: 200, body }
    }

    /// Returns status 200 if every group of the process has a known leader, 503 otherwise.
    pub fn health(&self) -> message::AdminReply {
        let statuses = self
            .groups
            .iter()
            .filter_map(|group| self.host.status(group));
        let leaderless: Vec<String> = statuses
            .filter(|s| s.leader.is_none())
            .map(|s| s.group.clone())
            .collect();
        let body =
            serde_json::json!({ "has_leader": leaderless.is_empty(), "without": leaderless });
        message::AdminReply {
            status: if leaderless.is_empty() { 200 } else { 503 },
            body: body.to_string().into_bytes(),
        }
    }
}

fn to_gauge(value: u64) -> i64 {
    i64::try_from(value).unwrap_or(i64::MAX)
}

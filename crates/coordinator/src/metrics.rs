//! Metrics of a coordinator.

use nutmegdale_telemetry::metrics;
use prometheus::{IntCounter, IntCounterVec, IntGauge, Opts, Registry};

/// Metrics of one coordinator.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Calls of operators, servers and other processes, by call and outcome.
    pub calls: IntCounterVec,
    /// 1 if this replica leads, otherwise 0.
    pub is_leader: IntGauge,
    /// Last applied index.
    pub applied: IntGauge,
    /// Last index that this replica knows to be committed.
    pub commit: IntGauge,
    /// Age of the evidence that the registry of this replica is complete, in milliseconds; -1
    /// without evidence.
    pub confirmation_age_ms: IntGauge,
    /// Entry processes that callers may be sent to.
    pub entries: IntGauge,
    /// Membership changes that this process requested.
    pub repairs: IntCounter,
    /// Steps of rollouts that this process decided on as the leader.
    pub rollout_steps: IntCounter,
}

impl Metrics {
    /// Creates every series at zero.
    ///
    /// # Panics
    ///
    /// Panics if a name is invalid or registered twice, which no input can cause.
    pub fn new() -> Metrics {
        let valid = "names and labels are valid and registered once";
        let opts = Opts::new("nutmegdale_coordinator_calls_total", "Calls by outcome.");
        let calls = IntCounterVec::new(opts, &["call", "outcome"]).expect(valid);
        let gauge = |name: &str, help: &str| IntGauge::new(name, help).expect(valid);
        let is_leader = gauge(
            "nutmegdale_coordinator_is_leader",
            "1 if this replica leads.",
        );
        let applied = gauge(
            "nutmegdale_coordinator_applied_index",
            "Last applied index.",
        );
        let commit = gauge(
            "nutmegdale_coordinator_commit_index",
            "Last index known to be committed.",
        );
        let confirmation_age_ms = gauge(
            "nutmegdale_coordinator_confirmation_age_ms",
            "Age of the evidence that the registry is complete; -1 without evidence.",
        );
        let entries = gauge(
            "nutmegdale_coordinator_entries",
            "Entry processes that callers may be sent to.",
        );
        let repairs = IntCounter::new(
            "nutmegdale_coordinator_repairs_total",
            "Changes of the group's members that this process asked for.",
        );
        let repairs = repairs.expect(valid);
        let rollout_steps = IntCounter::new(
            "nutmegdale_coordinator_rollout_steps_total",
            "Stages of rollouts that this process decided on as the leader.",
        );
        let rollout_steps = rollout_steps.expect(valid);
        let registry = Registry::new();
        registry.register(Box::new(calls.clone())).expect(valid);
        for counter in [&repairs, &rollout_steps] {
            registry.register(Box::new(counter.clone())).expect(valid);
        }
        let gauges = [
            &is_leader,
            &applied,
            &commit,
            &confirmation_age_ms,
            &entries,
        ];
        for gauge in gauges {
            registry.register(Box::new(gauge.clone())).expect(valid);
        }
        Metrics {
            registry,
            calls,
            is_leader,
            applied,
            commit,
            confirmation_age_ms,
            entries,
            repairs,
            rollout_steps,
        }
    }

    /// Counts a call.
    pub fn count(&self, call: &str, outcome: &str) {
        self.calls.with_label_values(&[call, outcome]).inc();
    }

    /// Encodes the metrics in the Prometheus text format.
    pub fn text(&self) -> Vec<u8> {
        metrics::encode(&self.registry)
    }
}

impl Default for Metrics {
    fn default() -> Metrics {
        Metrics::new()
    }
}

//! Metrics of a gateway.

use nutmegdale_telemetry::metrics;
use std::sync::atomic;

/// Metrics of a gateway.
#[derive(Debug, Default)]
pub struct Metrics {
    /// Requests by class, outcome and reason, and their duration.
    pub requests: metrics::Requests,
    /// Sends to servers, second ones included.
    pub sends: atomic::AtomicU64,
    /// Second sends after a failure or refusal.
    pub retries: atomic::AtomicU64,
    /// Second sends while the first one is awaited.
    pub hedges: atomic::AtomicU64,
    /// Second sends that the budget did not allow.
    pub over_budget: atomic::AtomicU64,
    /// Health checks.
    pub probes: atomic::AtomicU64,
    /// Health checks that were not answered.
    pub probes_failed: atomic::AtomicU64,
    /// Of these, those on a new connection that a full server did not serve.
    pub probes_unserved: atomic::AtomicU64,
    /// Times that a server was taken out of the choice.
    pub ejections: atomic::AtomicU64,
    /// Syncs with a coordinator that failed.
    pub syncs_failed: atomic::AtomicU64,
}

impl Metrics {
    /// Creates every series at zero.
    pub fn new() -> Metrics {
        Metrics::default()
    }

    /// Returns the metrics in the text format, with values of the state at this moment.
    pub fn text(&self, state: &[metrics::Sample]) -> String {
        let counter = |name, help, value: &atomic::AtomicU64| metrics::Sample {
            name,
            help,
            kind: metrics::Kind::Counter,
            value: value.load(atomic::Ordering::Relaxed),
        };
        let mut samples = vec![
            counter("nutmegdale_sends_total", "Sends to servers.", &self.sends),
            counter(
                "nutmegdale_retries_total",
                "Second sends after a failure or refusal.",
                &self.retries,
            ),
            counter(
                "nutmegdale_hedges_total",
                "Second sends while the first one is awaited.",
                &self.hedges,
            ),
            counter(
                "nutmegdale_retries_over_budget_total",
                "Second sends that the budget did not allow.",
                &self.over_budget,
            ),
            counter("nutmegdale_probes_total", "Health checks.", &self.probes),
            counter(
                "nutmegdale_probes_failed_total",
                "Health checks that were not answered.",
                &self.probes_failed,
            ),
            counter(
                "nutmegdale_probes_unserved_total",
                "Health checks on a new connection that a full server did not serve.",
                &self.probes_unserved,
            ),
            counter(
                "nutmegdale_ejections_total",
                "Times that a server was taken out of the choice.",
                &self.ejections,
            ),
            counter(
                "nutmegdale_syncs_failed_total",
                "Syncs with a coordinator that failed.",
                &self.syncs_failed,
            ),
        ];
        samples.extend_from_slice(state);
        self.requests.text(&samples)
    }
}

/// Adds one to a counter.
pub fn count(counter: &atomic::AtomicU64) {
    counter.fetch_add(1, atomic::Ordering::Relaxed);
}

//! Metrics of a gateway.

use crate::precedence;
use nutmegdale_telemetry::metrics;
use std::sync::atomic;

/// Counters of a gateway.
#[derive(Debug, Default)]
pub struct Metrics {
    /// Requests by class, outcome and reason, with their durations.
    pub requests: metrics::Requests,
    /// Attempts, that is requests written to servers, including retries and hedges.
    pub sends: atomic::AtomicU64,
    /// Retries: further attempts after a failure or a rejection.
    pub retries: atomic::AtomicU64,
    /// Hedges: further attempts while an earlier one is in flight.
    pub hedges: atomic::AtomicU64,
    /// Retries and hedges that the retry budget did not allow.
    pub over_budget: atomic::AtomicU64,
    /// Refusals because the free slots are kept for more urgent requests.
    pub refused_for_urgent: atomic::AtomicU64,
    /// Rejections by servers with free slots that do not count against their health.
    pub rejections_shed: atomic::AtomicU64,
    /// Attempts that left the zone because it is short of room.
    pub left_for_surplus: atomic::AtomicU64,
    /// Attempts that left the zone because of their own prediction.
    pub left_as_predicted: atomic::AtomicU64,
    /// Health checks that were started.
    pub probes: atomic::AtomicU64,
    /// Health checks that yielded no load report.
    pub probes_failed: atomic::AtomicU64,
    /// Failed health checks on a new connection that a full server did not serve.
    pub probes_unserved: atomic::AtomicU64,
    /// Health checks that were left out since they needed a connection that may not be opened.
    pub probes_unconnected: atomic::AtomicU64,
    /// Ejections of a server.
    pub ejections: atomic::AtomicU64,
    /// Servers whose responses stated that they are leaving.
    pub servers_leaving: atomic::AtomicU64,
    /// Backoffs that servers asked for.
    pub backoffs: atomic::AtomicU64,
    /// Changes of the rate limits that servers name.
    pub limits_changed: atomic::AtomicU64,
    /// Responses with a rate limit that cannot be read.
    pub limits_unreadable: atomic::AtomicU64,
    /// Sends to servers that name a rate limit.
    pub sends_limited: atomic::AtomicU64,
    /// Servers that crashed under requests of this process.
    pub servers_crashed: atomic::AtomicU64,
    /// Failed writes of the file of crashes.
    pub crashes_unsaved: atomic::AtomicU64,
    /// Requests that were refused since servers crashed under them.
    pub refused_banned: atomic::AtomicU64,
    /// Requests to which crashes were laid and that were served.
    pub requests_cleared: atomic::AtomicU64,
    /// Pipelined requests that were started while an earlier one of their connection was unfinished.
    pub pipelined: atomic::AtomicU64,
    /// Pipelined requests that were started early and dropped, since their connection ended.
    pub pipelined_cancelled: atomic::AtomicU64,
    /// Failed registry syncs with a coordinator.
    pub syncs_failed: atomic::AtomicU64,
}

impl Metrics {
    /// Creates all counters at zero.
    pub fn new() -> Metrics {
        Metrics::default()
    }

    /// Counts an attempt that leaves the zone.
    pub(crate) fn count_leaving(&self, leaving: &precedence::Leaving) {
        increment(match leaving.is_surplus() {
            true => &self.left_for_surplus,
            false => &self.left_as_predicted,
        });
    }

    /// Returns the metrics in the Prometheus text format, followed by the gauges in `state`.
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
            counter(
                "nutmegdale_refused_for_urgent_total",
                "Refusals because free slots are kept for more urgent requests.",
                &self.refused_for_urgent,
            ),
            counter(
                "nutmegdale_rejections_shed_total",
                "Rejections by servers with free slots while others reject some requests too.",
                &self.rejections_shed,
            ),
            counter(
                "nutmegdale_left_zone_surplus_total",
                "Sends to other zones because the zone is short of room.",
                &self.left_for_surplus,
            ),
            counter(
                "nutmegdale_left_zone_predicted_total",
                "Sends to other zones because a server there is predicted to be better.",
                &self.left_as_predicted,
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
                "nutmegdale_probes_unconnected_total",
                "Health checks left out that needed a connection beyond the budget.",
                &self.probes_unconnected,
            ),
            counter(
                "nutmegdale_ejections_total",
                "Times that a server was taken out of the choice.",
                &self.ejections,
            ),
            counter(
                "nutmegdale_servers_leaving_total",
                "Servers that stated in a response that they are leaving.",
                &self.servers_leaving,
            ),
            counter(
                "nutmegdale_server_backoffs_total",
                "Times that a server asked for no requests for a while.",
                &self.backoffs,
            ),
            counter(
                "nutmegdale_server_limits_changed_total",
                "Changes of the rate limits that servers name.",
                &self.limits_changed,
            ),
            counter(
                "nutmegdale_server_limits_unreadable_total",
                "Responses with a rate limit that cannot be read.",
                &self.limits_unreadable,
            ),
            counter(
                "nutmegdale_sends_limited_total",
                "Sends to servers that name a rate limit.",
                &self.sends_limited,
            ),
            counter(
                "nutmegdale_servers_crashed_total",
                "Servers that crashed under requests of this process.",
                &self.servers_crashed,
            ),
            counter(
                "nutmegdale_crashes_unsaved_total",
                "Failed writes of the file that keeps crashes for later starts.",
                &self.crashes_unsaved,
            ),
            counter(
                "nutmegdale_refused_banned_total",
                "Refusals of requests under which servers crashed.",
                &self.refused_banned,
            ),
            counter(
                "nutmegdale_requests_cleared_total",
                "Requests to which crashes of servers were laid and that were served.",
                &self.requests_cleared,
            ),
            counter(
                "nutmegdale_pipelined_total",
                "Requests that were started while an earlier one of their connection was unfinished.",
                &self.pipelined,
            ),
            counter(
                "nutmegdale_pipelined_cancelled_total",
                "Requests that were started early and ended with their connection.",
                &self.pipelined_cancelled,
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

/// Increments a counter.
pub fn increment(counter: &atomic::AtomicU64) {
    counter.fetch_add(1, atomic::Ordering::Relaxed);
}

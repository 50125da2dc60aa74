//! Counts the connections that are opened to servers, by what needed them and why no kept one served.
//!
//! A new connection takes a slot of its server for a moment, and servers limit their number over all
//! processes.

use nutmegdale_telemetry::metrics;
use prometheus::{IntCounter, IntCounterVec, Opts, Registry};

/// What a connection is needed for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// Request that may be sent again.
    Request,
    /// Request that must not be sent twice.
    OneTimeRequest,
    /// Health check.
    HealthCheck,
}

/// Why no kept connection was used.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cause {
    /// No connection to the server was open.
    NoneOpen,
    /// All open connections were in use.
    AllBusy,
    /// The kept connections had been idle for too long.
    Idle,
}

const REASONS: [&str; 3] = ["request", "one-time-request", "health-check"];
const CAUSES: [&str; 3] = ["none-open", "all-busy", "idle"];

/// Counters by reason and cause, all created at the start.
#[derive(Debug)]
pub struct Opened {
    registry: Registry,
    /// Indexed by reason and cause.
    counts: [[IntCounter; 3]; 3],
}

impl Opened {
    /// Creates all counters at zero.
    ///
    /// # Panics
    ///
    /// Panics if a name is invalid or registered twice, which no input can cause.
    pub fn new() -> Opened {
        let valid = "names and labels are valid and registered once";
        let opts = Opts::new(
            "nutmegdale_connections_opened_total",
            "Connections opened to servers, by what needed them and why no kept one was used.",
        );
        let total = IntCounterVec::new(opts, &["reason", "cause"]).expect(valid);
        let registry = Registry::new();
        registry.register(Box::new(total.clone())).expect(valid);
        let series = |reason, cause| total.with_label_values(&[reason, cause]);
        Opened {
            registry,
            counts: REASONS.map(|reason| CAUSES.map(|cause| series(reason, cause))),
        }
    }

    /// Counts a connection that was opened.
    pub fn count(&self, reason: Reason, cause: Cause) {
        // Both are declared in the order of their labels.
        self.counts[reason as usize][cause as usize].inc();
    }

    /// Returns the counters in the Prometheus text format.
    pub fn text(&self) -> Vec<u8> {
        metrics::encode(&self.registry)
    }
}

impl Default for Opened {
    fn default() -> Opened {
        Opened::new()
    }
}

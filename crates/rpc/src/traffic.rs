//! Counts the calls of a process to others and their bytes, by call.
//!
//! The cost of a deployment with hundreds of processes is decided by messages whose size or number
//! grows with it, and only a count by kind of message shows which. Bytes are those of the bodies;
//! the heads of HTTP come on top. See [docs/CAPACITY.md](../../../docs/CAPACITY.md).

use nutmegdale_telemetry::metrics;
use prometheus::{IntCounterVec, Opts, Registry};

/// Counters of the calls that one client sends. The names of calls are constants, so the number of
/// series is bounded.
#[derive(Debug)]
pub struct Traffic {
    registry: Registry,
    calls: IntCounterVec,
    bytes: IntCounterVec,
}

impl Traffic {
    /// Creates counters without series; each call creates its own at its first use.
    ///
    /// # Panics
    ///
    /// Panics if a name is invalid or registered twice, which no input can cause.
    pub fn new() -> Traffic {
        let valid = "names and labels are valid and registered once";
        let opts = Opts::new("nutmegdale_calls_sent_total", "Calls to other processes.");
        let calls = IntCounterVec::new(opts, &["call"]).expect(valid);
        let opts = Opts::new(
            "nutmegdale_call_bytes_total",
            "Bytes of the bodies of calls to other processes and of their responses.",
        );
        let bytes = IntCounterVec::new(opts, &["call", "direction"]).expect(valid);
        let registry = Registry::new();
        registry.register(Box::new(calls.clone())).expect(valid);
        registry.register(Box::new(bytes.clone())).expect(valid);
        Traffic {
            registry,
            calls,
            bytes,
        }
    }

    /// Records a call that is sent with a body of `size_bytes`.
    pub(crate) fn record_sent(&self, call: &str, size_bytes: usize) {
        self.calls.with_label_values(&[call]).inc();
        let sent = self.bytes.with_label_values(&[call, "sent"]);
        sent.inc_by(size_bytes as u64);
    }

    /// Records the response to a call.
    pub(crate) fn record_received(&self, call: &str, size_bytes: usize) {
        let received = self.bytes.with_label_values(&[call, "received"]);
        received.inc_by(size_bytes as u64);
    }

    /// Returns the counters in the Prometheus text format.
    pub fn text(&self) -> Vec<u8> {
        metrics::encode(&self.registry)
    }
}

impl Default for Traffic {
    fn default() -> Traffic {
        Traffic::new()
    }
}

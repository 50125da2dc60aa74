//! Counts the bytes between this process and servers, by link and kind of message.
//!
//! Traffic between zones and regions is billed by volume. The counts are those of bodies and header
//! fields, without what TCP adds. See [docs/CAPACITY.md](../../../docs/CAPACITY.md).

use hyper::header;
use nutmegdale_dispatch::placement;
use nutmegdale_telemetry::metrics;
use prometheus::{IntCounter, IntCounterVec, Opts, Registry};

/// Bytes of a request line or status line, about, and of the empty line after the header fields.
const START_LINE_BYTES: usize = 40;
/// Bytes that separate the name of a header field from its value, and fields from each other.
const FIELD_SEPARATORS_BYTES: usize = 4;

/// Kind of message to a server.
#[derive(Debug, Clone, Copy)]
pub enum Kind {
    /// Request of a caller.
    Request,
    /// Health check.
    Probe,
}

/// Bytes of one kind of message over one link.
#[derive(Debug)]
pub struct Bytes {
    /// Bytes to servers.
    pub sent: IntCounter,
    /// Bytes from servers.
    pub received: IntCounter,
}

/// Counters by link and kind, all created at the start.
#[derive(Debug)]
pub struct ServerTraffic {
    registry: Registry,
    /// Indexed by link and kind.
    bytes: [[Bytes; 2]; 3],
}

const LINKS: [&str; 3] = ["zone", "region", "cross-region"];
const KINDS: [&str; 2] = ["request", "probe"];

impl ServerTraffic {
    /// Creates all counters at zero.
    ///
    /// # Panics
    ///
    /// Panics if a name is invalid or registered twice, which no input can cause.
    pub fn new() -> ServerTraffic {
        let valid = "names and labels are valid and registered once";
        let opts = Opts::new(
            "nutmegdale_server_bytes_total",
            "Bytes of heads and bodies to and from servers.",
        );
        let labels = ["link", "kind", "direction"];
        let total = IntCounterVec::new(opts, &labels).expect(valid);
        let registry = Registry::new();
        registry.register(Box::new(total.clone())).expect(valid);
        let series = |link, kind| Bytes {
            sent: total.with_label_values(&[link, kind, "sent"]),
            received: total.with_label_values(&[link, kind, "received"]),
        };
        ServerTraffic {
            registry,
            bytes: LINKS.map(|link| KINDS.map(|kind| series(link, kind))),
        }
    }

    /// Returns the counters of one kind of message over the link to a server.
    pub fn bytes(&self, link: placement::Distance, kind: Kind) -> &Bytes {
        let link = match link {
            placement::Distance::Zone => 0,
            placement::Distance::Region => 1,
            placement::Distance::CrossRegion => 2,
        };
        let kind = match kind {
            Kind::Request => 0,
            Kind::Probe => 1,
        };
        &self.bytes[link][kind]
    }

    /// Returns the counters in the Prometheus text format.
    pub fn text(&self) -> Vec<u8> {
        metrics::encode(&self.registry)
    }
}

impl Default for ServerTraffic {
    fn default() -> ServerTraffic {
        ServerTraffic::new()
    }
}

/// Returns about how many bytes the head of a message takes.
pub fn head_bytes(headers: &header::HeaderMap) -> u64 {
    let fields = headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + FIELD_SEPARATORS_BYTES);
    (START_LINE_BYTES + fields.sum::<usize>()) as u64
}

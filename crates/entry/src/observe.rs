//! Observability of an entry process: metrics, a dump of its state, and a readiness check.

use crate::check;
use crate::proxy;
use crate::response;
use crate::snapshot;
use hyper::body;
use hyper::header as http;
use nutmegdale_admission::measuring;
use nutmegdale_base::outcome;
use nutmegdale_rpc::listen;
use nutmegdale_telemetry::{failures, metrics};
use serde_json::json;
use std::net;
use std::sync;
use std::sync::atomic::Ordering::Relaxed;
use std::time;

/// HTTP service of the `observe` address.
#[allow(missing_debug_implementations)] // Holds trait objects.
pub struct Observe {
    shared: sync::Arc<proxy::Shared>,
}

impl Observe {
    /// Creates the service.
    pub fn new(shared: sync::Arc<proxy::Shared>) -> Observe {
        Observe { shared }
    }
}

impl listen::Service for Observe {
    fn call(
        &self,
        req: hyper::Request<body::Incoming>,
        _client: net::SocketAddr,
    ) -> listen::ResponseFuture {
        let shared = &self.shared;
        listen::ready(match (req.method().as_str(), req.uri().path()) {
            ("GET", "/metrics") => shared.metrics(),
            ("GET", "/dump") => shared.dump(),
            ("GET", "/healthz") => shared.health(),
            _ => response::json(
                hyper::StatusCode::NOT_FOUND,
                &json!({ "error": "paths are /metrics, /dump and /healthz" }),
            ),
        })
    }
}

impl proxy::Shared {
    /// Counts and logs a failed request.
    pub(crate) fn count_failure(
        &self,
        started: time::Instant,
        id: &http::HeaderValue,
        snapshot: &snapshot::Snapshot,
        checked: Option<&check::CheckedRequest>,
        outcome: outcome::Outcome,
    ) {
        let elapsed = started.elapsed();
        let class = checked.map(|checked| checked.priority);
        self.requests.count(class, outcome, elapsed);
        let route = checked.map(|checked| snapshot.view.routes[checked.route].name.as_str());
        let failure = failures::Failure {
            request_id: id.to_str().unwrap_or(""),
            version: snapshot.view.version.0,
            outcome,
            route,
            class,
            server: None,
            took_ms: u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX),
        };
        self.failures.write(self.clock.now(), &failure);
    }

    /// Returns the reason why the process is not ready for new requests, or `None` if it is.
    fn not_ready_reason(&self, snapshot: &snapshot::Snapshot) -> Option<outcome::Reason> {
        if self.is_stopping.load(Relaxed) {
            return Some(outcome::Reason::ShuttingDown);
        }
        if !self.published.has_lease(self.clock.now()) {
            return Some(outcome::Reason::ConfigLease);
        }
        snapshot
            .view
            .is_local_zone_out
            .then_some(outcome::Reason::ZoneOut)
    }

    fn health(&self) -> hyper::Response<listen::Body> {
        match self.not_ready_reason(&self.published.load()) {
            None => response::json(hyper::StatusCode::OK, &json!({ "ready": true })),
            Some(reason) => response::json(
                hyper::StatusCode::SERVICE_UNAVAILABLE,
                &json!({ "ready": false, "reason": reason.name() }),
            ),
        }
    }

    fn metrics(&self) -> hyper::Response<listen::Body> {
        let snapshot = self.published.load();
        let servers = || snapshot.servers.values();
        let gauge = |name, help, value| metrics::Sample {
            name,
            help,
            kind: metrics::Kind::Gauge,
            value,
        };
        let counter = |name, help, value| metrics::Sample {
            name,
            help,
            kind: metrics::Kind::Counter,
            value,
        };
        let region = self.measuring.spent(measuring::Reach::Region);
        let cross_region = self.measuring.spent(measuring::Reach::CrossRegion);
        let second_sends = snapshot.services.values();
        let second_sends = second_sends.map(|s| s.second_sends_count.load(Relaxed));
        let in_flight = servers().map(|server| u64::from(server.signal.in_flight()));
        let connections = servers().map(|server| u64::from(server.pool.open_count()));
        let samples = [
            gauge(
                "nutmegdale_catalogue_version",
                "Version of the catalogue that decides requests.",
                snapshot.view.version.0,
            ),
            gauge(
                "nutmegdale_ready",
                "1 if the process accepts new work.",
                u64::from(self.not_ready_reason(&snapshot).is_none()),
            ),
            gauge(
                "nutmegdale_servers",
                "Announced servers.",
                snapshot.view.servers.len() as u64,
            ),
            gauge(
                "nutmegdale_requests_in_flight",
                "Requests of this process that are at servers.",
                in_flight.sum(),
            ),
            gauge(
                "nutmegdale_server_connections",
                "Open connections to servers.",
                connections.sum(),
            ),
            // Counts of services that are no longer announced are removed, so this can decrease.
            gauge(
                "nutmegdale_second_sends",
                "Retries and hedges of the announced services.",
                second_sends.sum(),
            ),
            counter(
                "nutmegdale_measuring_region_bytes_total",
                "Bytes of syncs within the region.",
                region.bytes,
            ),
            counter(
                "nutmegdale_measuring_cross_region_bytes_total",
                "Bytes of syncs to other regions.",
                cross_region.bytes,
            ),
            counter(
                "nutmegdale_measuring_region_messages_total",
                "Syncs within the region.",
                region.messages_count,
            ),
            counter(
                "nutmegdale_measuring_cross_region_messages_total",
                "Syncs to other regions.",
                cross_region.messages_count,
            ),
            counter(
                "nutmegdale_measuring_held_back_total",
                "Times that the measuring budget held a sync back.",
                region.held_back_count + cross_region.held_back_count,
            ),
        ];
        let text = self.requests.text(&samples);
        let mut response = hyper::Response::new(listen::full(text));
        let content_type = hyper::header::HeaderValue::from_static("text/plain; version=0.0.4");
        let headers = response.headers_mut();
        headers.insert(hyper::header::CONTENT_TYPE, content_type);
        response
    }

    fn dump(&self) -> hyper::Response<listen::Body> {
        let snapshot = self.published.load();
        let view = &snapshot.view;
        let servers: Vec<_> = view
            .servers
            .iter()
            .map(|(key, server)| {
                let state = &snapshot.servers[key];
                json!({
                    "name": server.name,
                    "service": view.services[server.service].name,
                    "address": server.address,
                    "zone": view.zones[server.zone].name,
                    "state": server.state,
                    "slots": server.slots,
                    "in_flight": state.signal.in_flight(),
                    "connections": state.pool.open_count(),
                })
            })
            .collect();
        let zones = view.zones.values();
        let zones = zones.map(|zone| json!({ "name": zone.name, "out": zone.out }));
        let routes = view.routes.values();
        let routes = routes.map(|route| json!({ "name": route.name, "class": route.class }));
        let entries = view.entries.values();
        let entries = entries
            .map(|e| json!({ "name": e.name, "address": e.address, "is_usable": e.is_usable }));
        let reason = self.not_ready_reason(&snapshot);
        let body = json!({
            "version": view.version,
            "boot": format!("{:016x}", self.boot),
            "ready": reason.is_none(),
            "reason": reason.map(outcome::Reason::name),
            "zones": zones.collect::<Vec<_>>(),
            "routes": routes.collect::<Vec<_>>(),
            "entries": entries.collect::<Vec<_>>(),
            "servers": servers,
        });
        response::json(hyper::StatusCode::OK, &body)
    }
}

//! What an entry process shows of itself: metrics, a dump of its state, and whether it is ready.

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

/// Service of the `observe` address.
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
    ) -> listen::Answer {
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
    /// Counts and logs a request that was not answered.
    pub(crate) fn count_failure(
        &self,
        started: time::Instant,
        id: &http::HeaderValue,
        snapshot: &snapshot::Snapshot,
        checked: Option<&check::Checked>,
        outcome: outcome::Outcome,
    ) {
        let took = started.elapsed();
        let class = checked.map(|checked| checked.priority);
        self.requests.count(class, outcome, took);
        let route = checked.map(|checked| snapshot.view.routes[checked.route].name.as_str());
        let failure = failures::Failure {
            request_id: id.to_str().unwrap_or(""),
            version: snapshot.view.version.0,
            outcome,
            route,
            class,
            server: None,
            took_ms: u64::try_from(took.as_millis()).unwrap_or(u64::MAX),
        };
        self.failures.write(self.clock.now(), &failure);
    }

    /// Returns the reason why no new work is given, if there is one.
    fn closed_reason(&self, snapshot: &snapshot::Snapshot) -> Option<outcome::Reason> {
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
        match self.closed_reason(&self.published.load()) {
            None => response::json(hyper::StatusCode::OK, &json!({ "ready": true })),
            Some(reason) => response::json(
                hyper::StatusCode::SERVICE_UNAVAILABLE,
                &json!({ "ready": false, "reason": reason.name() }),
            ),
        }
    }

    fn metrics(&self) -> hyper::Response<listen::Body> {
        let snapshot = self.published.load();
        let live = || snapshot.live.values();
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
        let near = self.measuring.spent(measuring::Reach::Region);
        let far = self.measuring.spent(measuring::Reach::CrossRegion);
        let second_sends = snapshot.services.values();
        let second_sends = second_sends.map(|s| s.second_sends_count.load(Relaxed));
        let in_flight = live().map(|part| u64::from(part.signal.in_flight()));
        let open = live().map(|part| u64::from(part.pool.open_count()));
        let samples = [
            gauge(
                "nutmegdale_catalogue_version",
                "Version of the catalogue that decides requests.",
                snapshot.view.version.0,
            ),
            gauge(
                "nutmegdale_ready",
                "1 if the process accepts new work.",
                u64::from(self.closed_reason(&snapshot).is_none()),
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
                open.sum(),
            ),
            // A service that is no longer announced takes its count away, so this can fall.
            gauge(
                "nutmegdale_second_sends",
                "Retries and hedges of the announced services.",
                second_sends.sum(),
            ),
            counter(
                "nutmegdale_measuring_region_bytes_total",
                "Bytes of syncs within the region.",
                near.bytes,
            ),
            counter(
                "nutmegdale_measuring_cross_region_bytes_total",
                "Bytes of syncs to other regions.",
                far.bytes,
            ),
            counter(
                "nutmegdale_measuring_region_messages_total",
                "Syncs within the region.",
                near.messages_count,
            ),
            counter(
                "nutmegdale_measuring_cross_region_messages_total",
                "Syncs to other regions.",
                far.messages_count,
            ),
            counter(
                "nutmegdale_measuring_held_back_total",
                "Times that the measuring budget held a sync back.",
                near.held_back_count + far.held_back_count,
            ),
        ];
        let text = self.requests.text(&samples);
        let mut answer = hyper::Response::new(listen::full(text));
        let kind = hyper::header::HeaderValue::from_static("text/plain; version=0.0.4");
        let headers = answer.headers_mut();
        headers.insert(hyper::header::CONTENT_TYPE, kind);
        answer
    }

    fn dump(&self) -> hyper::Response<listen::Body> {
        let snapshot = self.published.load();
        let view = &snapshot.view;
        let servers: Vec<_> = view
            .servers
            .iter()
            .map(|(key, server)| {
                let part = &snapshot.live[key];
                json!({
                    "name": server.name,
                    "service": view.services[server.service].name,
                    "address": server.address,
                    "zone": view.zones[server.zone].name,
                    "state": server.state,
                    "slots": server.slots,
                    "in_flight": part.signal.in_flight(),
                    "connections": part.pool.open_count(),
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
        let reason = self.closed_reason(&snapshot);
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

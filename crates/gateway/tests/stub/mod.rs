//! Test harness: a gateway with a fixed registry, and stub backend servers.

#![allow(dead_code)] // Each test file uses only some of the helpers.

pub(crate) mod observe;
pub(crate) mod raw;
mod server;

use http_body_util::BodyExt;
use hyper::header;
use hyper_util::rt;
use nutmegdale_accounts::key;
use nutmegdale_base::{class, clock};
use nutmegdale_dispatch::{budget, estimate, health, server_rate, signal};
use nutmegdale_gateway::{buffer, dialect, pool, proxy, settings, state, table};
use nutmegdale_quota::gate;
use nutmegdale_registry::{config, follow, server as registry};
use nutmegdale_rpc::listen;
use std::net;
use std::sync;
use std::time;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

#[allow(unused_imports)] // Each test file uses only some of them.
pub(crate) use server::{Behaviour, HEALTH_ID, RequestLog, crashed_server, start as start_server};

/// Response that a caller received.
#[derive(Debug)]
pub(crate) struct CallerResponse {
    pub(crate) status: u16,
    pub(crate) body: String,
    pub(crate) retry_after: Option<f64>,
}

/// Header names and formats of the tests.
pub(crate) struct TestDialect;

impl dialect::Dialect for TestDialect {
    fn parse_request<'a>(&self, headers: &'a header::HeaderMap) -> dialect::Request<'a> {
        dialect::Request {
            request_id: headers.get("id").and_then(|id| id.to_str().ok()),
            timeout: Some(clock::Millis(900)),
        }
    }

    fn parse_key<'a>(&self, headers: &'a header::HeaderMap) -> key::Presented<'a> {
        let values = headers.get_all("key").into_iter();
        key::Presented::from_values(values.map(header::HeaderValue::as_bytes))
    }

    fn replace_account(&self, headers: &mut header::HeaderMap, account: Option<&str>) {
        headers.remove("key");
        headers.remove("account");
        if let Some(name) = account {
            let name = header::HeaderValue::from_str(name).expect("a valid header value");
            headers.insert("account", name);
        }
    }

    fn prepare_request(
        &self,
        headers: &mut header::HeaderMap,
        server_id: &str,
        _time_left: clock::Millis,
    ) {
        let server_id = header::HeaderValue::from_str(server_id).expect("a valid header value");
        headers.insert("expected", server_id);
    }

    fn parse_response<'a>(
        &self,
        _status: hyper::StatusCode,
        headers: &'a header::HeaderMap,
    ) -> dialect::Response<'a> {
        dialect::Response {
            request_id: headers.get("id").and_then(|id| id.to_str().ok()),
            is_not_run: headers.contains_key("not-run") || headers.contains_key("misdirected"),
            is_misdirected: headers.contains_key("misdirected"),
            is_signed: headers.contains_key("signed"),
            is_leaving: headers.contains_key("leaving"),
            backoff: headers.get("backoff-ms").and_then(|millis| {
                let millis = millis.to_str().ok()?.parse().ok()?;
                Some(clock::Millis(millis))
            }),
            report: parse_load(headers),
            ..dialect::Response::default()
        }
    }

    fn prepare_local_response(&self, _headers: &mut header::HeaderMap, _request_id: Option<&str>) {}
}

/// Parses the header `load`: running and waiting requests, slots, slowdown in percent.
fn parse_load(headers: &header::HeaderMap) -> Option<signal::Report> {
    let value = headers.get("load")?.to_str().ok()?;
    let mut figures = value.split(' ').map(|figure| figure.parse().ok());
    Some(signal::Report {
        running: figures.next()??,
        waiting: figures.next()??,
        slots: figures.next()??,
        slowdown_percent: figures.next()??,
    })
}

/// Codec that is never called, since the tests publish tables themselves.
struct UnusedCodec;

impl config::Codec for UnusedCodec {
    fn decode(&self, _document: &[u8]) -> Result<config::Config, config::Error> {
        Err(config::Error::Unreadable(
            "codec of the tests is not used".to_owned(),
        ))
    }
}

/// Codec that decodes every document to the same configuration.
pub(crate) struct FixedCodec;

impl config::Codec for FixedCodec {
    fn decode(&self, _document: &[u8]) -> Result<config::Config, config::Error> {
        Ok(config(class::Class::UrgentLookup))
    }
}

/// What differs between the gateways of tests.
pub(crate) struct Setup {
    pub(crate) retry_budget: budget::Bound,
    pub(crate) features: settings::Features,
    pub(crate) gate: Option<sync::Arc<dyn gate::Gate>>,
}

impl Default for Setup {
    fn default() -> Setup {
        Setup {
            retry_budget: RETRY_BUDGET,
            features: settings::Features::default(),
            gate: None,
        }
    }
}

/// Gateway with its stub servers.
pub(crate) struct Harness {
    address: net::SocketAddr,
    shared: sync::Arc<state::Shared>,
    builder: sync::Mutex<table::Builder>,
    copy: follow::LocalCopy,
    config: config::Config,
    clock: sync::Arc<observe::ShiftedClock>,
    log_text: observe::LogText,
    log: server::RequestLog,
    _stop: watch::Sender<bool>,
}

impl Harness {
    /// Starts servers and a configured gateway.
    pub(crate) async fn start(class: class::Class, behaviours: &[Behaviour]) -> Harness {
        let harness = Harness::start_unconfigured(class, behaviours).await;
        harness.configure();
        harness
    }

    /// Starts servers and a gateway without a configuration.
    pub(crate) async fn start_unconfigured(
        class: class::Class,
        behaviours: &[Behaviour],
    ) -> Harness {
        let log = server::RequestLog::default();
        let mut servers = Vec::new();
        for behaviour in behaviours {
            let zone = match behaviour {
                Behaviour::Late => "far",
                _ => "zone",
            };
            let address = server::start(*behaviour, sync::Arc::clone(&log)).await;
            servers.push((address, zone));
        }
        Harness::start_gateway(class, &servers, log, Setup::default()).await
    }

    /// Starts a configured gateway with servers that the test runs itself.
    pub(crate) async fn start_with(class: class::Class, servers: &[net::SocketAddr]) -> Harness {
        let servers: Vec<_> = servers.iter().map(|address| (*address, "zone")).collect();
        Harness::start_in_zones(class, &servers, RETRY_BUDGET).await
    }

    /// Starts a configured gateway with servers that the test runs itself, given by address and
    /// zone, and a retry budget.
    pub(crate) async fn start_in_zones(
        class: class::Class,
        servers: &[(net::SocketAddr, &str)],
        retry_budget: budget::Bound,
    ) -> Harness {
        let log = server::RequestLog::default();
        let setup = Setup {
            retry_budget,
            ..Setup::default()
        };
        let harness = Harness::start_gateway(class, servers, log, setup).await;
        harness.configure();
        harness
    }

    /// Starts a gateway without a configuration that has the features of `setup`.
    pub(crate) async fn start_setup(
        class: class::Class,
        servers: &[(net::SocketAddr, &str)],
        setup: Setup,
    ) -> Harness {
        Harness::start_gateway(class, servers, server::RequestLog::default(), setup).await
    }

    async fn start_gateway(
        class: class::Class,
        servers: &[(net::SocketAddr, &str)],
        log: server::RequestLog,
        setup: Setup,
    ) -> Harness {
        let copy = registry_of(servers);
        let mut settings = settings();
        settings.bounds.retry_budget = setup.retry_budget;
        settings.features = setup.features;
        let settings = sync::Arc::new(settings);
        let mut builder = table::Builder::new(sync::Arc::clone(&settings));
        let empty = builder.build(clock::Millis::ZERO, &follow::LocalCopy::default(), None);
        let clock = sync::Arc::new(observe::ShiftedClock::start());
        let log_text = observe::LogText::default();
        let dependencies = state::Dependencies {
            clock: sync::Arc::clone(&clock) as sync::Arc<dyn clock::Clock>,
            dialect: sync::Arc::new(TestDialect),
            codec: sync::Arc::new(UnusedCodec),
            log: log_text.logger(),
            data: None,
            seed: 1,
        };
        let mut shared = state::Shared::new(settings, dependencies, empty);
        if let Some(gate) = setup.gate {
            shared.quota_gate = gate;
        }
        let shared = sync::Arc::new(shared);
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let proxy = sync::Arc::new(proxy::Proxy::new(sync::Arc::clone(&shared)));
        let (stop, stopped) = watch::channel(false);
        let bounds = listen::Bounds::default();
        tokio::spawn(listen::serve(
            listener,
            proxy,
            bounds,
            stopped,
            clock::Millis(100),
        ));
        Harness {
            address,
            shared,
            builder: sync::Mutex::new(builder),
            copy,
            config: config(class),
            clock,
            log_text,
            log,
            _stop: stop,
        }
    }

    /// Publishes a table with the configuration.
    pub(crate) fn configure(&self) {
        self.publish(&self.copy);
    }

    /// Changes the configuration and publishes it as the next version.
    pub(crate) fn reconfigure(&mut self, change: impl FnOnce(&mut config::Config)) {
        change(&mut self.config);
        self.config.version += 1;
        self.copy.version = self.config.version;
        self.configure();
    }

    /// Records that the table had every change that was accepted until `age` ago.
    pub(crate) fn confirm(&self, age: clock::Millis) {
        let now = self.shared.clock.now();
        self.shared
            .record_confirmation(clock::Millis(now.since(age).0));
    }

    /// Moves the clock of the gateway forward, as after a suspension of its VM.
    pub(crate) fn advance(&self, span: clock::Millis) {
        self.clock.advance(span);
    }

    /// Returns the text of all log lines.
    pub(crate) fn log_text(&self) -> String {
        self.log_text.text()
    }

    /// Returns the metrics.
    pub(crate) fn metrics_text(&self) -> String {
        String::from_utf8(self.shared.metrics_text()).expect("text")
    }

    /// Limits the gateway to one connection to each server.
    pub(crate) fn limit_connections(&mut self) {
        self.config.services[0].connections_max = 1;
        self.configure();
    }

    /// Returns the number of ejections since the start.
    pub(crate) fn ejections_count(&self) -> u64 {
        self.shared
            .metrics
            .ejections
            .load(sync::atomic::Ordering::Relaxed)
    }

    /// Returns the value of a metric, given by its name and labels.
    pub(crate) fn metric(&self, series: &str) -> u64 {
        let text = String::from_utf8(self.shared.metrics_text()).expect("a text");
        let line = text.lines().find_map(|line| line.strip_prefix(series));
        line.expect("a series").trim().parse().expect("a number")
    }

    /// Returns the values of the series whose names start with `prefix`.
    pub(crate) fn metrics(&self, prefix: &str) -> Vec<(String, u64)> {
        let text = String::from_utf8(self.shared.metrics_text()).expect("a text");
        let lines = text.lines().filter(|line| line.starts_with(prefix));
        let series = lines.filter_map(|line| {
            let (name, value) = line.rsplit_once(' ')?;
            Some((name.to_owned(), value.parse().ok()?))
        });
        series.collect()
    }

    /// Sets the largest body that callers may send.
    pub(crate) fn set_body_max(&mut self, bytes: u64) {
        self.config.listeners.body_max_bytes = bytes;
        self.configure();
    }

    /// Sets the limit of connections of each server.
    pub(crate) fn set_limits(&mut self, connections_max: u32) {
        self.config.services[0].connections_max = connections_max;
        self.configure();
    }

    /// Publishes a table in which the zone of the servers is out of service.
    pub(crate) fn set_zone_out(&self) {
        let mut copy = self.copy.clone();
        copy.zones_out.insert("zone".to_owned());
        self.publish(&copy);
    }

    /// Marks the gateway as stopping, so that it cuts off requests after `left`.
    pub(crate) fn begin_stop(&self, left: time::Duration) {
        let left = clock::Millis(left.as_millis() as u64);
        self.shared.begin_stop(self.shared.clock.now() + left);
    }

    /// Gives the requests in flight their final response, as at the end of a stop.
    pub(crate) fn end_requests(&self) {
        self.shared.end_requests();
    }

    /// Returns the memory for buffered bodies.
    pub(crate) fn buffer_budget(&self) -> &sync::Arc<buffer::Budget> {
        &self.shared.buffer_budget
    }

    /// Returns the address for callers.
    pub(crate) fn address(&self) -> net::SocketAddr {
        self.address
    }

    /// Limits the gateway to one connection to a server and takes it.
    pub(crate) async fn take_only_connection(&self, server_id: &str) -> pool::Connection {
        let table = self.shared.table.load_full();
        let mut backends = table.backends();
        let backend = backends.find(|backend| backend.id() == server_id);
        let pool = &backend.expect("a known server").pool;
        pool.set_open_max(1);
        let connection = pool.checkout(clock::Millis(1), clock::Millis::MAX).await;
        connection.expect("a connection")
    }

    /// Ejects every server, so that none is preferred to the others for its health.
    pub(crate) fn eject_all(&self) {
        let table = self.shared.table.load();
        for backend in table.backends() {
            let now = self.shared.clock.now();
            backend
                .health
                .record_failure(now, health::Failure::Replaced);
        }
    }

    /// Makes the gateway expect responses to take `took`, as after a time of slow responses.
    pub(crate) fn expect_service_time(&self, took: clock::Millis) {
        const RESPONSES_COUNT: u32 = 50;
        let table = self.shared.table.load();
        let route = table.route("host", "/path/x").expect("a route");
        for _ in 0..RESPONSES_COUNT {
            let room = estimate::Room::Free;
            route.estimate.record_response(took, 100, 100, room);
        }
    }

    /// Publishes tables in which the registry forgets all servers, and then knows them again as
    /// incarnations that started at `born`.
    pub(crate) fn forget_and_announce(&self, born: u64) {
        let mut copy = self.copy.clone();
        copy.servers.clear();
        self.publish(&copy);
        copy.servers.clone_from(&self.copy.servers);
        for known in copy.servers.values_mut() {
            known.announcement.born = born;
        }
        self.publish(&copy);
    }

    fn publish(&self, copy: &follow::LocalCopy) {
        let mut builder = self.builder.lock().expect("no test panicked");
        let table = builder.build(clock::Millis(1), copy, Some(&self.config));
        self.shared.publish(table);
    }

    /// Adds a service with one server, to which requests for "/other/" go.
    pub(crate) fn add_other_service(&mut self, address: net::SocketAddr) {
        let mut route = self.config.routes[0].clone();
        route.name = "other".to_owned();
        route.prefix = "/other/".to_owned();
        route.targets[0].service = "other".to_owned();
        self.config.routes.push(route);
        let mut service = self.config.services[0].clone();
        service.name = "other".to_owned();
        self.config.services.push(service);
        let added = registry_of(&[(address, "zone")]).servers;
        let mut known = added.into_values().next().expect("a server");
        known.announcement.id = "other".to_owned();
        known.announcement.service = "other".to_owned();
        self.copy.servers.insert("other".to_owned(), known);
        self.config.version += 1;
        self.copy.version += 1;
        self.configure();
    }

    /// Adds a route for "/order/" whose requests must not run twice.
    pub(crate) fn add_one_time_route(&mut self) {
        let mut route = self.config.routes[0].clone();
        route.name = "order".to_owned();
        route.prefix = "/order/".to_owned();
        route.class = class::Class::OneTimeFiling;
        self.add_route(route);
    }

    /// Adds a less urgent route to the same service, to which requests for "/patient/" go.
    pub(crate) fn add_patient_route(&mut self) {
        let mut route = self.config.routes[0].clone();
        route.name = "patient".to_owned();
        route.prefix = "/patient/".to_owned();
        route.priority = self.config.routes[0].priority + 1;
        self.add_route(route);
    }

    fn add_route(&mut self, route: config::Route) {
        self.config.routes.push(route);
        self.config.version += 1;
        self.copy.version += 1;
        self.configure();
    }

    /// Makes the gateway one of `count` that share the limits of servers with `slots` slots.
    pub(crate) fn share_servers(&mut self, count: usize, slots: u32) {
        self.copy.entries = (0..count)
            .map(|n| follow::Entry {
                name: format!("entry-{n}"),
                ..settings().entry
            })
            .collect();
        for known in self.copy.servers.values_mut() {
            known.announcement.slots = slots;
        }
        self.copy.index += 1;
        self.configure();
    }

    /// Makes every server look as if it ran `running` requests of other processes.
    pub(crate) fn report_load(&self, running: u32) {
        let report = signal::Report {
            running,
            waiting: 0,
            slots: 4,
            slowdown_percent: 100,
        };
        for backend in self.shared.table.load().backends() {
            let now = self.shared.clock.now();
            backend.signal.record_report(now, report, 0);
        }
    }

    /// Sends a request and reads the response, which must be complete.
    pub(crate) async fn send(&self, id: &str) -> CallerResponse {
        self.try_send(id).await.expect("a complete response")
    }

    /// Sends a request and reads the response.
    pub(crate) async fn try_send(&self, id: &str) -> Result<CallerResponse, hyper::Error> {
        self.try_send_to("/path/x", id).await
    }

    /// Like [`Harness::try_send`], with the path of the request.
    pub(crate) async fn try_send_to(
        &self,
        path: &str,
        id: &str,
    ) -> Result<CallerResponse, hyper::Error> {
        let stream = TcpStream::connect(self.address).await.expect("a gateway");
        let io = rt::TokioIo::new(stream);
        let handshake = hyper::client::conn::http1::handshake(io).await;
        let (mut sender, conn) = handshake.expect("a connection");
        tokio::spawn(conn);
        let req = hyper::Request::post(path)
            .header(header::HOST, "host")
            .header("id", id)
            .body(listen::full("body"))
            .expect("a valid request");
        let response = sender.send_request(req).await?;
        let (head, body) = response.into_parts();
        let retry_after = head.headers.get(header::RETRY_AFTER);
        let body = body.collect().await?.to_bytes();
        Ok(CallerResponse {
            status: head.status.as_u16(),
            body: String::from_utf8_lossy(&body).into_owned(),
            retry_after: retry_after.and_then(|secs| secs.to_str().ok()?.parse().ok()),
        })
    }

    /// Sends a request and closes the connection after `wait`, before there is a response.
    pub(crate) async fn send_and_disconnect(&self, id: &str, wait: time::Duration) {
        let response = tokio::time::timeout(wait, self.send(id)).await;
        assert!(
            response.is_err(),
            "the request completed before the caller disconnected"
        );
    }

    fn stats(&self, id: &str) -> server::RequestStats {
        let log = self.log.lock().expect("no server panicked");
        log.get(id).copied().unwrap_or_default()
    }

    /// Returns the number of times that the request reached a server.
    pub(crate) fn arrivals(&self, id: &str) -> usize {
        self.stats(id).arrivals
    }

    /// Returns the number of times that the request ran.
    pub(crate) fn runs(&self, id: &str) -> usize {
        self.stats(id).runs
    }

    /// Returns whether the request was cancelled at a server within `wait`.
    pub(crate) async fn is_cancelled(&self, id: &str, wait: time::Duration) -> bool {
        let step = time::Duration::from_millis(10);
        for _ in 0..wait.as_millis() / step.as_millis() {
            if self.stats(id).is_cancelled {
                return true;
            }
            tokio::time::sleep(step).await;
        }
        false
    }
}

/// Retry budget that the tests do not use up.
pub(crate) const RETRY_BUDGET: budget::Bound = budget::Bound {
    ratio: 1.0,
    slack: 100.0,
    window: clock::Millis(1_000),
};

/// Returns a registry that contains the servers, given by address and zone.
fn registry_of(servers: &[(net::SocketAddr, &str)]) -> follow::LocalCopy {
    let mut copy = follow::LocalCopy {
        index: 1,
        version: 1,
        ..follow::LocalCopy::default()
    };
    for (n, (address, zone)) in servers.iter().enumerate() {
        let announcement = registry::Announcement {
            id: format!("s{n}"),
            born: 1,
            sequence: 1,
            service: "service".to_owned(),
            address: *address,
            zone: (*zone).to_owned(),
            slots: 4,
            state: registry::State::Ready,
            cold_left: clock::Millis::ZERO,
            version: String::new(),
        };
        let known = follow::Server {
            announcement,
            cold_until: clock::Millis::ZERO,
        };
        copy.servers.insert(format!("s{n}"), known);
    }
    copy
}

pub(crate) fn settings() -> settings::Settings {
    settings::Settings {
        entry: follow::Entry {
            name: "entry".to_owned(),
            address: "127.0.0.1:1".parse().expect("an address"),
            zone: "zone".to_owned(),
            region: "region".to_owned(),
        },
        gossip_address: None,
        regions: [("zone", "region"), ("next", "region"), ("far", "elsewhere")]
            .map(|(zone, region)| (zone.to_owned(), region.to_owned()))
            .into(),
        bounds: settings::Bounds {
            retry_budget: RETRY_BUDGET,
            cold_rate: server_rate::ColdBound {
                overshoot: 1.5,
                slack: 5.0,
            },
            probes_per_s: 100.0,
            grace: clock::Millis(1_000),
            addresses_ttl_max: clock::Millis(1_000),
        },
        cluster_token: "token".to_owned(),
        connections_max_count: 100,
        features: settings::Features::default(),
    }
}

pub(crate) fn config(class: class::Class) -> config::Config {
    config::Config {
        version: 1,
        routes: vec![config::Route {
            name: "route".to_owned(),
            host: "host".to_owned(),
            prefix: "/path/".to_owned(),
            class,
            timeout: clock::Millis(900),
            target_latency: clock::Millis(300),
            priority: 0,
            targets: vec![config::Target {
                service: "service".to_owned(),
                weight: 1.0,
            }],
            attempts_max: 2,
            home_regions: Vec::new(),
            is_public: false,
        }],
        services: vec![config::Service {
            name: "service".to_owned(),
            health_path: "/health".to_owned(),
            connections_max: 100,
            warmup: clock::Millis::ZERO,
            cold_requests_per_s: 10.0,
        }],
        listeners: config::Listeners {
            head_max_bytes: 16_384,
            body_max_bytes: 100_000,
            header_timeout: clock::Millis(3_000),
            idle_timeout: clock::Millis(15_000),
        },
        accounts: None,
    }
}

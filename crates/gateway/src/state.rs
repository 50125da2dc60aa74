//! State that all tasks of a gateway share.

use crate::{
    backend, buffer, caller, decisions, dialect, gossip, metrics, opened, pool, quota, rollouts,
    server_traffic, settings, table,
};
use arc_swap::ArcSwap;
use hyper::header;
use nutmegdale_admission::bucket;
use nutmegdale_base::{clock, rng};
use nutmegdale_dispatch::{connects, crash, health, server_limit};
use nutmegdale_quota::gate;
use nutmegdale_registry::config;
use nutmegdale_rpc::client;
use nutmegdale_storage::disk;
use nutmegdale_telemetry::metrics as telemetry;
use std::sync;
use std::sync::atomic;
use std::time;
use tokio::sync::watch;

/// State that all tasks of a gateway share.
#[allow(missing_debug_implementations)] // Holds trait objects.
pub struct Shared {
    /// Settings, which do not change while the process runs.
    pub settings: sync::Arc<settings::Settings>,
    /// Clock of the process.
    pub clock: sync::Arc<dyn clock::Clock>,
    /// Header names and formats of the front end.
    pub dialect: sync::Arc<dyn dialect::Dialect>,
    /// Decoder of configuration documents.
    pub codec: sync::Arc<dyn config::Codec>,
    /// What operators see of the identification of callers.
    pub callers: caller::Monitor,
    /// Limits of client accounts.
    pub quota_gate: sync::Arc<dyn gate::Gate>,
    /// State behind the gate, if the deployment has limits.
    pub quota: Option<sync::Arc<quota::Quota>>,
    /// Current routing table, replaced by read-copy-update.
    pub table: ArcSwap<table::Table>,
    is_configured: watch::Sender<bool>,
    /// Time up to which the followed coordinator has confirmed the registry, in milliseconds on the
    /// clock of the process.
    confirmed_at_ms: atomic::AtomicU64,
    /// Token bucket that limits health checks.
    pub probe_budget: bucket::Bucket,
    /// Limits the connections that health checks open.
    pub connect_budget: connects::Budget,
    /// Client for calls to coordinators.
    pub client: sync::Arc<client::Client>,
    /// Whether the process is shutting down.
    is_stopping: atomic::AtomicBool,
    /// Time at which a stopping process cuts off requests, in milliseconds.
    stop_end_ms: atomic::AtomicU64,
    /// Turns true when the requests in flight get their final response, since the process ends.
    is_ending: watch::Sender<bool>,
    /// Counters of the process.
    pub metrics: metrics::Metrics,
    /// Memory for buffered bodies.
    pub buffer_budget: sync::Arc<buffer::Budget>,
    /// Bytes to and from servers.
    pub server_traffic: server_traffic::ServerTraffic,
    /// Connections opened to servers.
    pub opened: opened::Opened,
    /// Log of the decisions on requests.
    pub decision_log: decisions::DecisionLog,
    /// Logger of everything else.
    pub log: slog::Logger,
    /// State of rollouts that outlives tables.
    pub rollouts: rollouts::State,
    /// Recent crashes of servers.
    pub crashes: crash::Recent,
    /// Facts that the entry processes tell each other.
    pub gossip: gossip::Gossip,
    /// Number that identifies the start of the process.
    pub boot: u64,
    seed: atomic::AtomicU64,
}

/// Dependencies of a gateway that its caller provides.
#[allow(missing_debug_implementations)] // Holds trait objects.
pub struct Dependencies {
    /// Clock of the process.
    pub clock: sync::Arc<dyn clock::Clock>,
    /// Header names and formats of the front end.
    pub dialect: sync::Arc<dyn dialect::Dialect>,
    /// Decoder of configuration documents.
    pub codec: sync::Arc<dyn config::Codec>,
    /// Logger for decisions and for all other events.
    pub log: slog::Logger,
    /// Folder for what outlives the process; `None` on a VM without a disk.
    pub data: Option<sync::Arc<dyn disk::DataFolder>>,
    /// Seed of the random number generators.
    pub seed: u64,
}

impl Shared {
    /// Creates the shared state with an initial table.
    pub fn new(
        settings: sync::Arc<settings::Settings>,
        dependencies: Dependencies,
        initial: table::Table,
    ) -> Shared {
        let client = sync::Arc::new(client::Client::new(&settings.cluster_token));
        let quota = settings.features.quotas.map(|_| {
            let clock = sync::Arc::clone(&dependencies.clock);
            quota::Quota::new(clock, sync::Arc::clone(&client), dependencies.log.clone())
        });
        let quota_gate: sync::Arc<dyn gate::Gate> = match &quota {
            Some(quota) => sync::Arc::new(quota::Gate::new(sync::Arc::clone(quota))),
            None => sync::Arc::new(gate::Open),
        };
        let connect_budget = connects::Budget::new(dependencies.clock.now());
        Shared {
            client,
            settings,
            clock: dependencies.clock,
            dialect: dependencies.dialect,
            codec: dependencies.codec,
            callers: caller::Monitor::default(),
            quota_gate,
            quota,
            table: ArcSwap::from_pointee(initial),
            is_configured: watch::channel(false).0,
            confirmed_at_ms: atomic::AtomicU64::new(0),
            probe_budget: bucket::Bucket::new(),
            connect_budget,
            is_stopping: atomic::AtomicBool::new(false),
            stop_end_ms: atomic::AtomicU64::new(u64::MAX),
            is_ending: watch::channel(false).0,
            metrics: metrics::Metrics::new(),
            buffer_budget: sync::Arc::default(),
            server_traffic: server_traffic::ServerTraffic::new(),
            opened: opened::Opened::new(),
            decision_log: decisions::DecisionLog::new(dependencies.log.clone()),
            log: dependencies.log,
            rollouts: rollouts::State::default(),
            crashes: crash::Recent::default(),
            gossip: gossip::Gossip::default(),
            boot: dependencies.seed,
            seed: atomic::AtomicU64::new(dependencies.seed),
        }
    }

    /// Returns a random number generator for one request.
    pub fn rng(&self) -> rng::SplitMix64 {
        const STEP: u64 = 0x9e37_79b9_7f4a_7c15;
        rng::SplitMix64::new(self.seed.fetch_add(STEP, atomic::Ordering::Relaxed))
    }

    /// Publishes a new table.
    pub fn publish(&self, table: table::Table) {
        self.publish_confirmed(table, None);
    }

    /// Publishes a new table, which has every change accepted before `confirmed_at`. Requests that
    /// wait for the first configuration see both at once.
    pub fn publish_confirmed(&self, table: table::Table, confirmed_at: Option<clock::Millis>) {
        let is_configured = table.config_version > 0;
        gossip::apply_limits(&self.gossip, self.clock.now(), &table);
        self.table.store(sync::Arc::new(table));
        if let Some(at) = confirmed_at {
            self.record_confirmation(at);
        }
        self.is_configured.send_replace(is_configured);
    }

    /// Records that every change accepted before `at` is in the routing table.
    pub fn record_confirmation(&self, at: clock::Millis) {
        self.confirmed_at_ms
            .fetch_max(at.0, atomic::Ordering::Release);
    }

    /// Returns the time such that every change accepted before it is in any routing table that is
    /// loaded afterwards. A table that was loaded before may lack some of them.
    pub fn confirmed_at(&self) -> clock::Millis {
        clock::Millis(self.confirmed_at_ms.load(atomic::Ordering::Acquire))
    }

    /// Returns how long ago every change accepted until then was in the routing table.
    pub fn confirmation_age(&self) -> clock::Millis {
        let confirmed_at = self.confirmed_at();
        self.clock.now().since(confirmed_at)
    }

    /// Returns the metrics in the Prometheus text format.
    pub fn metrics_text(&self) -> Vec<u8> {
        let mut samples = vec![
            telemetry::Sample {
                name: "nutmegdale_registry_confirmation_age_ms",
                help: "Age of the evidence that the routing table has every accepted change.",
                kind: telemetry::Kind::Gauge,
                value: self.confirmation_age().0,
            },
            telemetry::Sample {
                name: "nutmegdale_buffered_bytes",
                help: "Bytes that bodies hold out of the budget for buffers.",
                kind: telemetry::Kind::Gauge,
                value: self.buffer_budget.used_bytes() as u64,
            },
            telemetry::Sample {
                name: "nutmegdale_buffer_budget_exhausted_total",
                help: "Times that a body found the budget for buffers used up.",
                kind: telemetry::Kind::Counter,
                value: self.buffer_budget.exhausted_count(),
            },
            telemetry::Sample {
                name: "nutmegdale_limited_servers",
                help: "Servers that name a rate limit.",
                kind: telemetry::Kind::Gauge,
                value: self.limited_servers_count(),
            },
        ];
        if self.settings.features.accounts.is_some() || self.table.load().accounts.is_some() {
            samples.extend(self.callers.samples());
        }
        samples.extend(self.gossip.samples());
        if self.settings.features.rollouts.is_some() {
            samples.extend(self.rollouts.samples());
        }
        let text = self.metrics.text(&samples);
        let quota = self.quota.as_ref().map(|quota| quota.metrics_text());
        [
            text.into_bytes(),
            quota.unwrap_or_default(),
            self.server_traffic.text(),
            self.opened.text(),
            self.client.traffic.text(),
        ]
        .concat()
    }

    fn limited_servers_count(&self) -> u64 {
        let table = self.table.load();
        let limited = table.backends().filter(|b| b.limit.get().is_some());
        limited.count() as u64
    }

    /// Waits up to `limit` for the first configuration.
    pub async fn wait_configured(&self, limit: clock::Millis) {
        let mut is_configured = self.is_configured.subscribe();
        let limit = time::Duration::from_millis(limit.0);
        // The caller checks the table itself.
        drop(tokio::time::timeout(limit, is_configured.wait_for(|is| *is)).await);
    }

    /// Returns whether the process is shutting down.
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.load(atomic::Ordering::Acquire)
    }

    /// Marks the process as stopping; it will cut off requests at `end`.
    pub fn begin_stop(&self, end: clock::Millis) {
        self.stop_end_ms.store(end.0, atomic::Ordering::Release);
        self.is_stopping.store(true, atomic::Ordering::Release);
    }

    /// Returns the time until requests are cut off; without end if the process is not stopping.
    pub fn stop_time_left(&self) -> clock::Millis {
        let end = clock::Millis(self.stop_end_ms.load(atomic::Ordering::Acquire));
        end.since(self.clock.now())
    }

    /// Gives the requests in flight their final response.
    pub fn end_requests(&self) {
        self.is_ending.send_replace(true);
    }

    /// Waits until the requests in flight have to end.
    pub async fn wait_ending(&self) {
        let mut is_ending = self.is_ending.subscribe();
        // The sender lives as long as the state.
        drop(is_ending.wait_for(|is_ending| *is_ending).await);
    }

    /// Counts a connection that was opened for `reason`.
    pub fn count_opened(&self, reason: opened::Reason, connection: &pool::Connection) {
        if !connection.is_reused {
            self.opened.count(reason, connection.cause);
        }
    }

    /// Returns whether callers may be directed to this process.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.table.load().config_version > 0
    }

    /// Records a failed request or health check, as named by `source`, and logs the server if the
    /// failure ejects it.
    pub fn record_failure(
        &self,
        backend: &backend::Backend,
        failure: health::Failure,
        source: &str,
    ) {
        let now = self.clock.now();
        let Some(ejected_for) = backend.health.record_failure(now, failure) else {
            return;
        };
        metrics::increment(&self.metrics.ejections);
        self.decision_log
            .write_ejection(now, backend, failure, source, ejected_for);
    }

    /// Records what a response of the server says about its availability.
    pub fn record_availability(
        &self,
        backend: &backend::Backend,
        metadata: &dialect::Response<'_>,
    ) {
        let now = self.clock.now();
        if metadata.is_leaving && backend.mark_leaving() {
            metrics::increment(&self.metrics.servers_leaving);
            self.decision_log.write_leaving(now, backend);
        }
        let Some(delay) = metadata.backoff else {
            return;
        };
        if backend.availability.back_off(now, delay) {
            metrics::increment(&self.metrics.backoffs);
            self.decision_log.write_backoff(now, backend);
        }
    }

    /// Records what a response of the server says about its rate limit, and tells the other
    /// processes what is news for them. An unreadable limit changes nothing.
    pub fn record_limit(
        &self,
        backend: &backend::Backend,
        observation: &server_limit::Observation,
    ) {
        if observation.stated == server_limit::Stated::Unreadable {
            metrics::increment(&self.metrics.limits_unreadable);
        }
        let Some(limit) = backend.limit.observe(observation) else {
            return;
        };
        let now = self.clock.now();
        self.set_limit(backend, now, limit, "response");
        let server = &backend.announcement;
        self.gossip
            .publish_limit(now, (&server.id, server.born), limit);
    }

    /// Sets the limit of a server, as learned from `source`.
    pub(crate) fn set_limit(
        &self,
        backend: &backend::Backend,
        now: clock::Millis,
        limit: Option<server_limit::Rate>,
        source: &str,
    ) {
        if backend.limit.get() == limit {
            return;
        }
        let before = backend.set_limit(now, limit);
        metrics::increment(&self.metrics.limits_changed);
        let change = decisions::LimitChange {
            before,
            limit,
            source,
        };
        self.decision_log.write_limit(now, backend, change);
    }
}

/// Returns a connection to its pool, unless the response announces that the server closes it.
pub fn checkin(
    backend: &backend::Backend,
    now: clock::Millis,
    connection: pool::Connection,
    headers: &header::HeaderMap,
) {
    let text = |name| {
        let value: Option<&header::HeaderValue> = headers.get(name);
        value.and_then(|value| value.to_str().ok())
    };
    let is_closing = text(header::CONNECTION).is_some_and(|value| {
        let mut words = value.split(',').map(str::trim);
        words.any(|word| word.eq_ignore_ascii_case("close"))
    });
    if is_closing {
        return;
    }
    let idle_timeout = text(header::HeaderName::from_static("keep-alive")).and_then(|value| {
        let mut words = value.split(',').map(str::trim);
        let secs = words.find_map(|word| word.strip_prefix("timeout="))?;
        Some(clock::Millis::from_secs(secs.parse().ok()?))
    });
    backend.pool.checkin(now, connection, idle_timeout);
}

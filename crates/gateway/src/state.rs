//! What all tasks of a gateway share.

use crate::{backend, decisions, dialect, metrics, pool, settings, table};
use arc_swap::ArcSwap;
use hyper::header;
use nutmegdale_admission::bucket;
use nutmegdale_base::{clock, rng};
use nutmegdale_dispatch::health;
use nutmegdale_registry::config;
use nutmegdale_rpc::client;
use std::sync;
use std::sync::atomic;
use std::time;
use tokio::sync::watch;

/// Parts of a gateway that its tasks share.
#[allow(missing_debug_implementations)] // Holds trait objects.
pub struct Shared {
    /// Settings.
    pub settings: sync::Arc<settings::Settings>,
    /// Clock of the process.
    pub clock: sync::Arc<dyn clock::Clock>,
    /// Header names of the front end.
    pub dialect: sync::Arc<dyn dialect::Dialect>,
    /// Decoder of configurations.
    pub codec: sync::Arc<dyn config::Codec>,
    /// What is in force.
    pub table: ArcSwap<table::Table>,
    is_configured: watch::Sender<bool>,
    /// Budget of health checks.
    pub probes: bucket::Bucket,
    /// Calls to coordinators.
    pub client: client::Client,
    /// Whether the process is shutting down.
    pub is_stopping: atomic::AtomicBool,
    /// Metrics.
    pub metrics: metrics::Metrics,
    /// Log of decisions.
    pub decisions: decisions::Decisions,
    /// Logger of beliefs.
    pub log: slog::Logger,
    seed: atomic::AtomicU64,
}

/// Outside parts of a gateway.
#[allow(missing_debug_implementations)] // Holds trait objects.
pub struct Dependencies {
    /// Clock of the process.
    pub clock: sync::Arc<dyn clock::Clock>,
    /// Header names of the front end.
    pub dialect: sync::Arc<dyn dialect::Dialect>,
    /// Decoder of configurations.
    pub codec: sync::Arc<dyn config::Codec>,
    /// Logger.
    pub log: slog::Logger,
    /// Seed of random choices.
    pub seed: u64,
}

impl Shared {
    /// Joins the parts with a first table.
    pub fn new(
        settings: sync::Arc<settings::Settings>,
        parts: Dependencies,
        first: table::Table,
    ) -> Shared {
        Shared {
            client: client::Client::new(&settings.cluster_token),
            settings,
            clock: parts.clock,
            dialect: parts.dialect,
            codec: parts.codec,
            table: ArcSwap::from_pointee(first),
            is_configured: watch::channel(false).0,
            probes: bucket::Bucket::new(),
            is_stopping: atomic::AtomicBool::new(false),
            metrics: metrics::Metrics::new(),
            decisions: decisions::Decisions::new(parts.log.clone()),
            log: parts.log,
            seed: atomic::AtomicU64::new(parts.seed),
        }
    }

    /// Returns a generator for one request.
    pub fn rng(&self) -> rng::SplitMix64 {
        const STEP: u64 = 0x9e37_79b9_7f4a_7c15;
        rng::SplitMix64::new(self.seed.fetch_add(STEP, atomic::Ordering::Relaxed))
    }

    /// Puts a table in force.
    pub fn publish(&self, table: table::Table) {
        let is_configured = table.version > 0;
        self.table.store(sync::Arc::new(table));
        self.is_configured.send_replace(is_configured);
    }

    /// Waits at most for `limit` until there is a configuration.
    pub async fn configured(&self, limit: clock::Millis) {
        let mut is_configured = self.is_configured.subscribe();
        let limit = time::Duration::from_millis(limit.0);
        // The caller looks at the table itself.
        drop(tokio::time::timeout(limit, is_configured.wait_for(|is| *is)).await);
    }

    /// Returns whether the process is shutting down.
    pub fn is_stopping(&self) -> bool {
        self.is_stopping.load(atomic::Ordering::Acquire)
    }

    /// Returns whether callers may be sent here.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.table.load().version > 0
    }
}

impl Shared {
    /// Notes that a request or a health check failed, and logs it if the server is taken out of
    /// the choice.
    pub fn note_failure(&self, backend: &backend::Backend, failure: health::Failure, of: &str) {
        let now = self.clock.now();
        let Some(span) = backend.health.record_failure(now, failure) else {
            return;
        };
        metrics::count(&self.metrics.ejections);
        self.decisions.ejected(now, backend, failure, of, span);
    }
}

/// Returns a connection to its pool, unless the head of the answer says that the server closes it.
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
    let closes = text(header::CONNECTION).is_some_and(|value| {
        let mut words = value.split(',').map(str::trim);
        words.any(|word| word.eq_ignore_ascii_case("close"))
    });
    if closes {
        return;
    }
    let limit = text(header::HeaderName::from_static("keep-alive")).and_then(|value| {
        let mut words = value.split(',').map(str::trim);
        let secs = words.find_map(|word| word.strip_prefix("timeout="))?;
        Some(clock::Millis::from_secs(secs.parse().ok()?))
    });
    backend.pool.checkin(now, connection, limit);
}

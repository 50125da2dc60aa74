//! Runs a gateway, including its graceful shutdown.

use crate::{crash_file, follow, gossip, proxy, rollouts, settings, state, table};
use nutmegdale_base::clock;
use nutmegdale_registry::follow as registry;
use nutmegdale_rpc::listen;
use nutmegdale_storage::disk;
use std::io;
use std::net;
use std::sync;
use std::time;
use tokio::sync::watch;
use tokio::task;

/// Interval between sweeps of idle connections.
const SWEEP_MS: u64 = 1_000;
/// Percentage of the grace period for which a stopping gateway still accepts new requests: callers
/// learn of the shutdown only when they next resolve the addresses of entry processes.
const DRAIN_DELAY_PERCENT: u64 = 45;
/// Percentage of the grace period after which requests in flight get a final response that says that
/// their outcome is unknown.
const REQUESTS_END_PERCENT: u64 = 90;
/// Percentage of the grace period after which all requests must have ended.
const DRAIN_END_PERCENT: u64 = 92;

/// Gateway that is ready to run.
#[allow(missing_debug_implementations)] // Holds trait objects.
pub struct Gateway {
    /// State that its tasks share.
    pub shared: sync::Arc<state::Shared>,
    follower: follow::Follower,
    data: Option<sync::Arc<dyn disk::DataFolder>>,
    stop: watch::Receiver<bool>,
}

impl Gateway {
    /// Creates a gateway that finds the registry through the coordinators in `seeds` and shuts down
    /// gracefully once `stop` is true.
    pub fn new(
        settings: settings::Settings,
        seeds: watch::Receiver<Vec<net::SocketAddr>>,
        dependencies: state::Dependencies,
        stop: watch::Receiver<bool>,
    ) -> Gateway {
        let settings = sync::Arc::new(settings);
        let mut builder = table::Builder::new(sync::Arc::clone(&settings));
        let empty = registry::LocalCopy::default();
        let table = builder.build(clock::Millis::ZERO, &empty, None);
        let data = dependencies.data.clone();
        let shared = sync::Arc::new(state::Shared::new(settings, dependencies, table));
        let follower =
            follow::Follower::new(sync::Arc::clone(&shared), builder, seeds, stop.clone());
        Gateway {
            shared,
            follower,
            data,
            stop,
        }
    }

    /// Serves callers at the address in the settings until the graceful shutdown is complete.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if the address cannot be bound.
    pub async fn run(self) -> io::Result<()> {
        let shared = self.shared;
        let listener = listen::bind(shared.settings.entry.address).await?;
        let follower = tokio::spawn(self.follower.run());
        let rollouts = shared.settings.features.rollouts;
        let reporter = rollouts.map(|_| tokio::spawn(rollouts::report(sync::Arc::clone(&shared))));
        let gossip = spawn_gossip(&shared);
        let run_file = |data| tokio::spawn(crash_file::run(sync::Arc::clone(&shared), data));
        let crash_file = self.data.map(run_file);
        let sweeper = tokio::spawn(sweep_idle(sync::Arc::clone(&shared)));
        let grace = shared.settings.bounds.grace;
        let (closed_tx, closed_rx) = watch::channel(false);
        let drain_delay = delay_drain(sync::Arc::clone(&shared), self.stop, closed_tx);
        let bounds = || listener_bounds(&shared);
        let proxy = sync::Arc::new(proxy::Proxy::new(sync::Arc::clone(&shared)));
        let drain_timeout =
            clock::Millis(grace.0 * (DRAIN_END_PERCENT - DRAIN_DELAY_PERCENT) / 100);
        let serve = listen::serve_with(listener, proxy, &bounds, closed_rx, drain_timeout);
        let ((), is_clean) = tokio::join!(drain_delay, serve);
        slog::info!(shared.log, "gateway stopped"; "all_requests_ended" => is_clean);
        follower.abort();
        sweeper.abort();
        for task in [reporter, gossip, crash_file].into_iter().flatten() {
            task.abort();
        }
        Ok(())
    }
}

/// Starts the exchange of facts with other entry processes, if the settings have an address for it.
/// Without it the process goes on with what it observes itself.
fn spawn_gossip(shared: &sync::Arc<state::Shared>) -> Option<task::JoinHandle<()>> {
    let address = shared.settings.gossip_address?;
    let shared = sync::Arc::clone(shared);
    Some(tokio::spawn(async move {
        if let Err(err) = gossip::run(sync::Arc::clone(&shared), address).await {
            slog::error!(shared.log, "gossip failed"; "address" => %address, "error" => %err);
        }
    }))
}

/// Waits for `stop`, then marks the process as stopping and closes the listener after the drain
/// delay.
async fn delay_drain(
    shared: sync::Arc<state::Shared>,
    mut stop: watch::Receiver<bool>,
    closed: watch::Sender<bool>,
) {
    // The sender is never dropped while the process runs.
    drop(stop.wait_for(|is_stopping| *is_stopping).await);
    let grace = shared.settings.bounds.grace.0;
    let requests_end = grace * REQUESTS_END_PERCENT / 100;
    shared.begin_stop(shared.clock.now() + clock::Millis(requests_end));
    slog::info!(shared.log, "gateway stops");
    let delay = grace * DRAIN_DELAY_PERCENT / 100;
    tokio::time::sleep(time::Duration::from_millis(delay)).await;
    closed.send_replace(true);
    let rest = time::Duration::from_millis(requests_end - delay);
    tokio::spawn(async move {
        tokio::time::sleep(rest).await;
        shared.end_requests();
    });
}

async fn sweep_idle(shared: sync::Arc<state::Shared>) {
    let mut interval = tokio::time::interval(time::Duration::from_millis(SWEEP_MS));
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        let now = shared.clock.now();
        for backend in shared.table.load().backends() {
            backend.pool.sweep(now);
        }
    }
}

fn listener_bounds(shared: &state::Shared) -> listen::Bounds {
    let defaults = listen::Bounds {
        connections_max_count: shared.settings.connections_max_count,
        ..listen::Bounds::default()
    };
    match shared.table.load().listeners {
        None => defaults,
        Some(listeners) => listen::Bounds {
            header_read_ms: listeners.header_timeout,
            idle_ms: listeners.idle_timeout,
            head_max_bytes: listeners.head_max_bytes.max(HEAD_MIN_BYTES),
            ..defaults
        },
    }
}

/// Minimum size limit of a request head that the HTTP library accepts, in bytes.
const HEAD_MIN_BYTES: usize = 8_192;

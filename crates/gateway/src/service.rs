//! Starts a gateway and ends it gracefully.

use crate::{follow, front, settings, state, table};
use nutmegdale_base::clock;
use nutmegdale_registry::follow as registry;
use nutmegdale_rpc::listen;
use std::io;
use std::net;
use std::sync;
use std::sync::atomic;
use std::time;
use tokio::sync::watch;

/// Time between two sweeps of idle connections.
const SWEEP_MS: u64 = 1_000;
/// Part of the grace for which a stopping gateway still takes new requests, in percent: callers
/// learn of it when they ask for addresses the next time.
const LINGER_PERCENT: u64 = 45;
/// Part of the grace after which every request has to have ended, in percent.
const END_PERCENT: u64 = 92;

/// Gateway that is ready to run.
#[allow(missing_debug_implementations)] // Holds trait objects.
pub struct Gateway {
    /// What its services share.
    pub shared: sync::Arc<state::Shared>,
    follower: follow::Follower,
    stop: watch::Receiver<bool>,
}

impl Gateway {
    /// Creates a gateway that follows the registry at the coordinators in `seeds` until `stop`
    /// turns true.
    pub fn new(
        settings: settings::Settings,
        seeds: watch::Receiver<Vec<net::SocketAddr>>,
        parts: state::Dependencies,
        stop: watch::Receiver<bool>,
    ) -> Gateway {
        let settings = sync::Arc::new(settings);
        let mut builder = table::Builder::new(sync::Arc::clone(&settings));
        let empty = registry::Copy::default();
        let first = builder.build(clock::Millis::ZERO, &empty, None);
        let shared = sync::Arc::new(state::Shared::new(settings, parts, first));
        let follower =
            follow::Follower::new(sync::Arc::clone(&shared), builder, seeds, stop.clone());
        Gateway {
            shared,
            follower,
            stop,
        }
    }

    /// Serves callers at the address of the entry until the end of a graceful stop.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if the address cannot be bound.
    pub async fn run(self) -> io::Result<()> {
        let shared = self.shared;
        let listener = listen::bind(shared.settings.entry.address).await?;
        let follow = tokio::spawn(self.follower.run());
        let sweep = tokio::spawn(sweep(sync::Arc::clone(&shared)));
        let grace = shared.settings.bounds.grace;
        let (closed_tx, closed_rx) = watch::channel(false);
        let linger = linger(sync::Arc::clone(&shared), self.stop, closed_tx);
        let bounds = || bounds(&shared);
        let front = sync::Arc::new(front::Front::new(sync::Arc::clone(&shared)));
        let drain = clock::Millis(grace.0 * (END_PERCENT - LINGER_PERCENT) / 100);
        let serve = listen::serve_with(listener, front, &bounds, closed_rx, drain);
        let ((), is_clean) = tokio::join!(linger, serve);
        slog::info!(shared.log, "gateway stopped"; "all_requests_ended" => is_clean);
        follow.abort();
        sweep.abort();
        Ok(())
    }
}

/// Says at once that the process leaves, and goes on serving while callers still come.
async fn linger(
    shared: sync::Arc<state::Shared>,
    mut stop: watch::Receiver<bool>,
    closed: watch::Sender<bool>,
) {
    // The sender lives as long as the process.
    drop(stop.wait_for(|is_stopping| *is_stopping).await);
    shared.is_stopping.store(true, atomic::Ordering::Release);
    slog::info!(shared.log, "gateway stops");
    let linger = shared.settings.bounds.grace.0 * LINGER_PERCENT / 100;
    tokio::time::sleep(time::Duration::from_millis(linger)).await;
    closed.send_replace(true);
}

async fn sweep(shared: sync::Arc<state::Shared>) {
    let mut round = tokio::time::interval(time::Duration::from_millis(SWEEP_MS));
    round.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        round.tick().await;
        let now = shared.clock.now();
        for backend in shared.table.load().backends() {
            backend.pool.sweep(now);
        }
    }
}

fn bounds(shared: &state::Shared) -> listen::Bounds {
    let defaults = listen::Bounds {
        connections_max_count: shared.settings.connections_max_count,
        ..listen::Bounds::default()
    };
    match shared.table.load().listeners {
        None => defaults,
        Some(listeners) => listen::Bounds {
            header_read_ms: listeners.head,
            idle_ms: listeners.idle,
            head_max_bytes: listeners.head_max_bytes.max(HEAD_MIN_BYTES),
            ..defaults
        },
    }
}

/// Smallest bound of a head that the HTTP library accepts, in bytes.
const HEAD_MIN_BYTES: usize = 8_192;

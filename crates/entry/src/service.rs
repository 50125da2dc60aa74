//! Startup and shutdown of the entry role.

use crate::{audit, observe, one_time, proxy, reserved, snapshot, syncer};
use nutmegdale_admission::{bulk, measuring};
use nutmegdale_base::clock;
use nutmegdale_catalogue::config;
use nutmegdale_choice::least_cost;
use nutmegdale_grants::holder;
use nutmegdale_membership::{directory, local};
use nutmegdale_routing::view;
use nutmegdale_rpc::listen;
use nutmegdale_settings::model;
use nutmegdale_telemetry::clock as machine_clock;
use nutmegdale_telemetry::{failures, metrics};
use std::io;
use std::sync;
use std::sync::atomic;
use std::time;
use tokio::sync::watch;

/// Time for the notice of a shutdown to reach the other entry processes.
const ANNOUNCE_SHUTDOWN_MS: clock::Millis = clock::Millis(500);

/// Drain timeout of requests for metrics.
const OBSERVE_DRAIN_MS: clock::Millis = clock::Millis(500);

/// Runs the entry role until `stop` turns true.
///
/// # Errors
///
/// Returns the error of the operating system if an address cannot be bound.
pub async fn run(
    process: &model::Process,
    entry: &model::Entry,
    clock: sync::Arc<dyn clock::Clock>,
    log: slog::Logger,
    mut stop: watch::Receiver<bool>,
) -> io::Result<()> {
    let listener = listen::bind(entry.listen).await?;
    let observe_listener = listen::bind(entry.observe).await?;
    let shared = sync::Arc::new(proxy::Shared {
        clock,
        published: snapshot::Published::new(empty_snapshot(process)),
        policy: Box::new(least_cost::LeastCost::default()),
        bulk_link: sync::Arc::new(bulk::BulkLink::new()),
        measuring: measuring::Budget::new(entry.measuring_bytes_per_second),
        state_reported: sync::Arc::new(tokio::sync::Notify::new()),
        one_time: one_time::OneTime::new(process),
        reserved: reserved::Reserved {
            local: sync::Mutex::new(local::LocalTable::new()),
            local_changed: watch::Sender::new(()),
            addresses_ttl_ms: entry.addresses_ttl_ms,
        },
        is_stopping: atomic::AtomicBool::new(false),
        deadline_ms: entry.deadline_ms,
        next_request_number: atomic::AtomicU64::new(0),
        boot: machine_clock::boot_id(),
        requests: metrics::Requests::new(),
        failures: failures::FailureLog::new(log.clone()),
    });
    let (close_tx, close_rx) = watch::channel(false);
    let syncer = syncer::Syncer::new(sync::Arc::clone(&shared), process, entry, log.clone());
    let syncing = tokio::spawn(syncer.run(close_rx.clone()));
    let service = sync::Arc::new(proxy::Proxy::new(sync::Arc::clone(&shared)));
    let bounds = listen::Bounds::default();
    slog::info!(log, "entry role started"; "listen" => %entry.listen);
    let serving = tokio::spawn(listen::serve(
        listener,
        service,
        bounds,
        close_rx,
        entry.drain_ms,
    ));
    let observe = sync::Arc::new(observe::Observe::new(sync::Arc::clone(&shared)));
    let (observe_close_tx, observe_close_rx) = watch::channel(false);
    let observing = tokio::spawn(listen::serve(
        observe_listener,
        observe,
        bounds,
        observe_close_rx,
        OBSERVE_DRAIN_MS,
    ));
    // The sender lives as long as the process; an error means that the process is exiting.
    drop(stop.wait_for(|is_stopping| *is_stopping).await);
    shared.is_stopping.store(true, atomic::Ordering::Relaxed);
    shared.reserved.local_changed.send_replace(());
    // Callers with an old address list still connect, and get a `not-run` response until their list
    // expires: closing the listener resets connections in its backlog, and their callers could only
    // assume an unknown outcome.
    let leave_ms = ANNOUNCE_SHUTDOWN_MS + entry.addresses_ttl_ms;
    tokio::time::sleep(time::Duration::from_millis(leave_ms.0)).await;
    close_tx.send_replace(true);
    let is_drained = serving.await.unwrap_or(false);
    let is_one_time_idle = shared.one_time.wait_idle(entry.drain_ms).await;
    drop(syncing.await);
    // Metrics and the dump stay available until the last request has ended.
    observe_close_tx.send_replace(true);
    drop(observing.await);
    slog::info!(log, "entry role stopped"; "all_requests_ended" => is_drained && is_one_time_idle);
    Ok(())
}

fn empty_snapshot(process: &model::Process) -> snapshot::Snapshot {
    let place = view::Locality {
        zone: &process.zone,
        region: &process.region,
    };
    let view = view::View::build(
        &config::Config::default(),
        &directory::Directory::new(),
        place,
    );
    let mut holder = holder::Holder::new();
    let counters = audit::SnapshotCounters::default();
    snapshot::Builder::new().build(clock::Millis::ZERO, view, counters, &mut holder)
}

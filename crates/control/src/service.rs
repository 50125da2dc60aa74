//! The control role of a process.

use crate::{admin, catalogue, groups, hub};
use bytes::Bytes;
use nutmegdale_base::clock;
use nutmegdale_rpc::{listen, server};
use nutmegdale_settings::model;
use std::io;
use std::sync;
use tokio::sync::watch;

/// Time that a stopping control process waits for calls to end.
const DRAIN_MS: clock::Millis = clock::Millis(3_000);

/// Runs the control role until `stop` turns true.
///
/// # Errors
///
/// Returns the error of the operating system if an address cannot be bound.
pub async fn run(
    process: &model::Process,
    control: &model::Control,
    clock: sync::Arc<dyn clock::Clock>,
    log: slog::Logger,
    stop: watch::Receiver<bool>,
) -> io::Result<()> {
    let published = catalogue::Published::new();
    let machine = catalogue::Machine::new(sync::Arc::clone(&published));
    let host = groups::Host::new(process, control, sync::Arc::clone(&clock), log.clone());
    let members = &control.members;
    let group = groups::start(&host, groups::CATALOGUE, members, Box::new(machine))?;
    let hub = hub::Hub::new(clock, group.clone(), sync::Arc::clone(&published));
    let calls = sync::Arc::new(Calls {
        hub: sync::Arc::new(hub),
        host: sync::Arc::clone(&host),
    });
    let peers = sync::Arc::new(server::CallService::new(&process.cluster_token, calls));
    let operators = sync::Arc::new(admin::Admin::new(&control.operators, group, published));
    let peer_listener = listen::bind(control.listen).await?;
    let admin_listener = listen::bind(control.admin).await?;
    slog::info!(log, "control role started"; "listen" => %control.listen, "admin" => %control.admin);
    let bounds = listen::Bounds::default();
    // The groups stop first: handing over the lead needs the listener for the other replicas.
    let (groups_stopped_tx, groups_stopped) = watch::channel(false);
    let stopping = async {
        let mut stop = stop.clone();
        // An error means that the sender is gone, which is a stop too.
        drop(stop.wait_for(|is_stopping| *is_stopping).await);
        host.stop().await;
        groups_stopped_tx.send_replace(true);
    };
    tokio::join!(
        stopping,
        listen::serve(peer_listener, peers, bounds, groups_stopped, DRAIN_MS),
        listen::serve(admin_listener, operators, bounds, stop.clone(), DRAIN_MS),
    );
    Ok(())
}

struct Calls {
    hub: sync::Arc<hub::Hub>,
    host: sync::Arc<groups::Host>,
}

impl server::Handler for Calls {
    fn call(&self, name: &str, body: Bytes) -> Option<server::ReplyFuture> {
        match name {
            "sync" => {
                let hub = sync::Arc::clone(&self.hub);
                Some(Box::pin(async move {
                    let req = server::decode(&body)?;
                    server::encode(&hub.sync(&req).await)
                }))
            }
            other => self.host.call(other, body),
        }
    }
}

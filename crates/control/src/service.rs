//! The control role of a process: starts its groups and serves entry processes, peers and operators.

use crate::{admin, api, catalogue, groups, hub, ledger, observe, replicas};
use bytes::Bytes;
use nutmegdale_base::clock;
use nutmegdale_rpc::{client, layered, listen, message, server};
use nutmegdale_settings::model;
use std::io;
use std::sync;
use tokio::sync::watch;

/// Drain timeout: time that a stopping control process waits for in-flight calls.
const DRAIN_TIMEOUT_MS: clock::Millis = clock::Millis(3_000);

/// Timeout of a sync that is forwarded to the leader: longer than the longest hold, but shorter than
/// the timeout of the entry process.
const FORWARD_TIMEOUT_MS: clock::Millis = clock::Millis(1_500);

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
    let ledger = ledger::Ledger::start(&host, process, control, sync::Arc::clone(&clock))?;
    tokio::spawn(sync::Arc::clone(&ledger).run_expiry(stop.clone()));
    let hub = sync::Arc::new(hub::Hub::new(
        clock,
        group.clone(),
        sync::Arc::clone(&published),
    ));
    let (api_hub, api_log) = (sync::Arc::clone(&hub), log.clone());
    let observe = observe::Observe::new(
        process,
        sync::Arc::clone(&host),
        sync::Arc::clone(&published),
    );
    let replicas = replicas::Replicas::new(sync::Arc::clone(&host), process, control);
    let api = api::Api::new(&process.name, group, published, api_hub, replicas, api_log);
    let api = sync::Arc::new(api);
    let calls = sync::Arc::new(Calls {
        hub: sync::Arc::clone(&hub),
        host: sync::Arc::clone(&host),
        api: sync::Arc::clone(&api),
        ledger,
        client: sync::Arc::new(client::Client::new(&process.cluster_token)),
    });
    let peers = sync::Arc::new(server::CallService::new(&process.cluster_token, calls));
    let operators = sync::Arc::new(admin::Admin::new(process, control, api, observe));
    let operators = layered::Layered::new(operators, admin::LIMITS, admin::refuse);
    let operators = sync::Arc::new(operators);
    let peer_listener = listen::bind(control.listen).await?;
    let admin_listener = listen::bind(control.admin).await?;
    slog::info!(log, "control role started"; "listen" => %control.listen, "admin" => %control.admin);
    let bounds = listen::Bounds::default();
    // The groups stop first: a leadership transfer needs the listener for the other replicas.
    let (groups_stopped_tx, groups_stopped) = watch::channel(false);
    let shutdown = async {
        let mut stop = stop.clone();
        // An error means that the sender was dropped, which stops the service too.
        drop(stop.wait_for(|is_stopping| *is_stopping).await);
        host.stop().await;
        groups_stopped_tx.send_replace(true);
    };
    tokio::join!(
        shutdown,
        listen::serve(
            peer_listener,
            peers,
            bounds,
            groups_stopped,
            DRAIN_TIMEOUT_MS
        ),
        listen::serve(
            admin_listener,
            operators,
            bounds,
            stop.clone(),
            DRAIN_TIMEOUT_MS
        ),
        hub.expire(stop.clone()),
    );
    Ok(())
}

struct Calls {
    hub: sync::Arc<hub::Hub>,
    host: sync::Arc<groups::Host>,
    api: sync::Arc<api::Api>,
    ledger: sync::Arc<ledger::Ledger>,
    client: sync::Arc<client::Client>,
}

impl server::Handler for Calls {
    fn call(&self, name: &str, body: Bytes) -> Option<server::ReplyFuture> {
        match name {
            "sync" => {
                let (hub, client) = (sync::Arc::clone(&self.hub), sync::Arc::clone(&self.client));
                Some(Box::pin(async move { sync(&hub, &client, &body).await }))
            }
            "admin" => {
                let api = sync::Arc::clone(&self.api);
                Some(Box::pin(async move {
                    let req = server::decode(&body)?;
                    let reply = api.handle(&req).await;
                    let reply = reply.unwrap_or_else(|_| api::error(503, "the leader has changed"));
                    server::encode(&reply)
                }))
            }
            other => {
                let ledger = sync::Arc::clone(&self.ledger);
                let call = self.host.call(other, body.clone());
                call.or_else(|| ledger.call(other, body))
            }
        }
    }
}

/// Answers a sync, or forwards it to the leader if the entry process cannot reach the leader.
async fn sync(hub: &hub::Hub, client: &client::Client, body: &[u8]) -> server::Reply {
    let mut req: message::SyncRequest = server::decode(body)?;
    let reply = hub.sync(&req).await;
    let message::SyncReply::NotLeader {
        leader: Some(leader),
    } = reply
    else {
        return server::encode(&reply);
    };
    if !req.may_forward || req.is_forwarded {
        return server::encode(&reply);
    }
    req.is_forwarded = true;
    match client.call(leader, "sync", &req, FORWARD_TIMEOUT_MS).await {
        Ok::<message::SyncReply, _>(reply) => server::encode(&reply),
        Err(err) => Err((hyper::StatusCode::BAD_GATEWAY, err.to_string())),
    }
}

//! Starts the replicated groups of a control process.
//!
//! A group is bootstrapped once, and only by replicas whose folders an operator prepared with
//! [`prepare`]; see [docs/replication.md](../../../docs/replication.md).

use crate::{bootstrap, peers};
use bytes::Bytes;
use nutmegdale_base::{clock, rng};
use nutmegdale_consensus::{config, status, types};
use nutmegdale_replica::{driver, handle, machine};
use nutmegdale_rpc::{client, message, server};
use nutmegdale_settings::model;
use nutmegdale_storage::{disk, store};
use nutmegdale_telemetry::clock as telemetry_clock;
use std::collections;
use std::io;
use std::net;
use std::sync;

/// Name of the group that replicates the catalogue.
pub const CATALOGUE: &str = "catalogue";

/// Timeout of a query to another control process.
pub(crate) const QUERY_TIMEOUT_MS: clock::Millis = clock::Millis(1_000);

/// Returns the name of the group that replicates the ledger of one-time requests of a region.
pub fn ledger_group(region: &str) -> String {
    format!("ledger-{region}")
}

/// Runs the replicas of a process: their settings, clock, log and connections to peers.
#[allow(missing_debug_implementations)] // Holds a trait object.
pub struct Host {
    name: String,
    region: String,
    address: net::SocketAddr,
    data: Box<dyn disk::DataFolder>,
    timing: config::Config,
    clock: sync::Arc<dyn clock::Clock>,
    log: slog::Logger,
    peers: sync::Arc<peers::Peers>,
    pub(crate) client: sync::Arc<client::Client>,
    groups: sync::RwLock<collections::BTreeMap<String, Group>>,
}

#[derive(Debug, Clone)]
struct Group {
    handle: handle::Handle,
    identity: store::Identity,
    configured: Vec<String>,
}

impl Host {
    /// Creates the host of a process with the default timing of its groups. Must be called inside the
    /// Tokio runtime.
    pub fn new(
        process: &model::Process,
        control: &model::Control,
        clock: sync::Arc<dyn clock::Clock>,
        log: slog::Logger,
    ) -> sync::Arc<Host> {
        let data = Box::new(disk::FolderData::new(&control.data));
        Host::with_timing(
            process,
            control,
            config::Config::default(),
            data,
            clock,
            log,
        )
    }

    /// Creates the host of a process with the given timing and data folder of its groups. Must be
    /// called inside the Tokio runtime.
    pub fn with_timing(
        process: &model::Process,
        control: &model::Control,
        timing: config::Config,
        data: Box<dyn disk::DataFolder>,
        clock: sync::Arc<dyn clock::Clock>,
        log: slog::Logger,
    ) -> sync::Arc<Host> {
        let client = sync::Arc::new(client::Client::new(&process.cluster_token));
        let address = control.listen;
        sync::Arc::new(Host {
            name: process.name.clone(),
            region: process.region.clone(),
            address,
            data,
            timing,
            clock,
            log,
            peers: sync::Arc::new(peers::Peers::new(address, sync::Arc::clone(&client))),
            client,
            groups: sync::RwLock::default(),
        })
    }

    /// Returns the client for calls to other processes, which its owner may share.
    pub fn client(&self) -> &sync::Arc<client::Client> {
        &self.client
    }

    fn group(&self, name: &str) -> Option<Group> {
        let groups = self.groups.read();
        let groups = groups.unwrap_or_else(sync::PoisonError::into_inner);
        groups.get(name).cloned()
    }

    pub(crate) fn log(&self) -> &slog::Logger {
        &self.log
    }

    pub(crate) fn address(&self) -> net::SocketAddr {
        self.address
    }

    pub(crate) fn own_member(&self, group: &str) -> Option<types::Member> {
        self.group(group).map(|g| self.describe(&g).member)
    }

    /// Returns the status of this process's replica of a group.
    pub fn status(&self, group: &str) -> Option<sync::Arc<status::Status>> {
        self.group(group).map(|g| g.handle.status())
    }

    /// Returns the handle of this process's replica of a group.
    pub fn handle(&self, group: &str) -> Option<handle::Handle> {
        self.group(group).map(|g| g.handle)
    }

    pub(crate) async fn query(
        &self,
        group: &str,
        address: net::SocketAddr,
    ) -> nutmegdale_rpc::error::Result<message::GroupAnswer> {
        let query = message::GroupQuery {
            group: group.to_owned(),
        };
        self.client
            .call(address, "group-query", &query, QUERY_TIMEOUT_MS)
            .await
    }

    /// Handles the call `name` of another control process, or returns `None` if `name` is not a call
    /// of the groups.
    pub fn call(self: &sync::Arc<Host>, name: &str, body: Bytes) -> Option<server::ReplyFuture> {
        let host = sync::Arc::clone(self);
        match name {
            "raft" => {
                let reply = server::decode(&body).and_then(|batch| {
                    host.deliver(&batch)?;
                    server::encode(&())
                });
                Some(Box::pin(std::future::ready(reply)))
            }
            "group-query" => {
                let reply = server::decode(&body).and_then(|query: message::GroupQuery| {
                    let group = host.group(&query.group).ok_or_else(no_group)?;
                    server::encode(&host.describe(&group))
                });
                Some(Box::pin(std::future::ready(reply)))
            }
            "group-status" => {
                let reply = server::decode(&body).and_then(|query: message::GroupQuery| {
                    let status = host.status(&query.group).ok_or_else(no_group)?;
                    server::encode(status.as_ref())
                });
                Some(Box::pin(std::future::ready(reply)))
            }
            "group-change" => Some(Box::pin(async move {
                let req: message::MemberChangeRequest = server::decode(&body)?;
                server::encode(&host.change(&req.group, req.change).await)
            })),
            "group-bootstrap" => Some(Box::pin(async move {
                let req: message::BootstrapRequest = server::decode(&body)?;
                let group = host.group(&req.group).ok_or_else(no_group)?;
                let bootstrapped = bootstrap::accept(&group.handle, &group.configured, req.members);
                let refused = |text| (hyper::StatusCode::CONFLICT, text);
                bootstrapped.await.map_err(refused)?;
                server::encode(&())
            })),
            _ => None,
        }
    }

    fn deliver(&self, batch: &message::RaftBatch) -> Result<(), (hyper::StatusCode, String)> {
        let mut by_group: collections::BTreeMap<String, (Vec<types::Envelope>, usize)> =
            collections::BTreeMap::new();
        for body in &batch.envelopes {
            let env: types::Envelope = server::decode(body)?;
            self.peers.set_address(env.from, batch.sender);
            let (envelopes, size_bytes) = by_group.entry(env.group.clone()).or_default();
            envelopes.push(env);
            *size_bytes += body.len();
        }
        for (name, (envelopes, size_bytes)) in by_group {
            if let Some(group) = self.group(&name) {
                group.handle.deliver(envelopes, size_bytes);
            }
        }
        Ok(())
    }

    fn describe(&self, group: &Group) -> message::GroupAnswer {
        let member = types::Member {
            id: types::ReplicaId(group.identity.id),
            name: self.name.clone(),
            region: self.region.clone(),
            address: self.address,
            is_voter: true,
        };
        message::GroupAnswer {
            member,
            is_prepared: group.identity.is_prepared,
            members: group.handle.status().members.clone(),
            listed: group.configured.clone(),
        }
    }

    /// Transfers leadership of every group and stops every group.
    pub async fn stop(&self) {
        let groups = self.groups.read();
        let groups = groups.unwrap_or_else(sync::PoisonError::into_inner).clone();
        for group in groups.values() {
            group.handle.stop().await;
        }
    }
}

fn no_group() -> (hyper::StatusCode, String) {
    (
        hyper::StatusCode::NOT_FOUND,
        "this process has no replica of the group".to_owned(),
    )
}

/// Returns a random replica identity for an empty folder.
fn new_identity(is_prepared: bool) -> store::Identity {
    store::Identity {
        id: telemetry_clock::boot_id(),
        is_prepared,
    }
}

/// Starts this process's replica of the group `name`, which `members` bootstrap.
///
/// # Errors
///
/// Fails if the folder of the group is corrupt, in use or unreadable, or if the group's thread cannot
/// be started.
pub fn start(
    host: &sync::Arc<Host>,
    name: &str,
    members: &[model::Member],
    machine: Box<dyn machine::StateMachine>,
) -> io::Result<handle::Handle> {
    let mut cfg = driver::Config::new(name, new_identity(false));
    cfg.node = host.timing.clone();
    let deps = driver::Dependencies {
        machine,
        transport: sync::Arc::clone(&host.peers)
            as sync::Arc<dyn nutmegdale_replica::transport::Transport>,
        clock: sync::Arc::clone(&host.clock),
        rng: Box::new(rng::SplitMix64::new(telemetry_clock::boot_id())),
        disk: host.data.open(name)?,
        log: host.log.clone(),
    };
    let started = driver::start(cfg, deps);
    let started = started.map_err(|err| io::Error::other(format!("group {name}: {err}")))?;
    slog::info!(host.log, "replica started"; "group" => name,
        "replica" => %types::ReplicaId(started.identity.id));
    let group = Group {
        handle: started.handle.clone(),
        identity: started.identity,
        configured: members.iter().map(bootstrap::format_member).collect(),
    };
    let mut groups = host.groups.write();
    let groups = groups.as_deref_mut();
    let groups = groups.map_err(|_| io::Error::other("the start of another group panicked"))?;
    groups.insert(name.to_owned(), group);
    bootstrap::spawn(host, name, members, &started);
    Ok(started.handle)
}

/// Prepares the data folder of a process for the first bootstrap of its groups. Idempotent until the
/// bootstrap.
///
/// # Errors
///
/// Fails if a folder cannot be read or written, or holds a replica that belongs to a group or was
/// not prepared.
pub fn prepare(process: &model::Process, control: &model::Control) -> io::Result<()> {
    let data = disk::FolderData::new(&control.data);
    for name in [CATALOGUE.to_owned(), ledger_group(&process.region)] {
        if !prepare_group(&data, &name)? {
            let text = format!("group {name}: the data folder already holds a replica");
            return Err(io::Error::other(text));
        }
    }
    Ok(())
}

/// Prepares the folder of one group for its first bootstrap; returns false if the folder holds a
/// replica that belongs to a group or was not prepared.
///
/// # Errors
///
/// Fails if the folder cannot be read or written.
pub fn prepare_group(data: &dyn disk::DataFolder, name: &str) -> io::Result<bool> {
    let disk = data.open(name)?;
    let limits = store::Limits::default();
    let failed = |err| io::Error::other(format!("group {name}: {err}"));
    match store::Store::open(disk, limits).map_err(failed)? {
        store::Opened::Blank(disk) => {
            store::Store::create(disk, limits, new_identity(true)).map_err(failed)?;
            Ok(true)
        }
        store::Opened::Replica(store, recovered) => {
            let is_used = recovered.hard_state != store::HardState::default()
                || !recovered.entries.is_empty();
            Ok(!is_used && store.identity().is_prepared)
        }
    }
}

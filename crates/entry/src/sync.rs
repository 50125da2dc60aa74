//! Keeps the snapshot of an entry process current.
//!
//! Invariants: the version in force never goes back, and the lease is extended only after the
//! snapshot that a quorum confirmed is published, counted from the sending of the sync.

use crate::proxy;
use crate::snapshot;
use nutmegdale_base::clock;
use nutmegdale_catalogue::config;
use nutmegdale_membership::{directory, hub};
use nutmegdale_routing::view;
use nutmegdale_rpc::{client, message};
use nutmegdale_settings::model;
use std::net;
use std::sync;
use std::sync::atomic;
use std::time;
use tokio::sync::watch;

/// Time for one sync; it must leave room for another one within the lease.
const SYNC_TIMEOUT_MS: clock::Millis = clock::Millis(1_800);
/// Pause after a failed sync.
const RETRY_MS: u64 = 100;
/// Shortest time between two syncs, which bounds their number while much changes.
const PACE_MS: u64 = 20;

/// State of the sync of one entry process.
#[allow(missing_debug_implementations)] // Holds trait objects.
pub struct Syncer {
    shared: sync::Arc<proxy::Shared>,
    client: client::Client,
    process: model::Process,
    entry: model::Entry,
    log: slog::Logger,
    config: config::Config,
    directory: directory::Directory,
    builder: snapshot::Builder,
    acked_change: u64,
    peer: usize,
    leader: Option<net::SocketAddr>,
}

impl Syncer {
    /// Creates the syncer of an entry process.
    pub fn new(
        shared: sync::Arc<proxy::Shared>,
        process: &model::Process,
        entry: &model::Entry,
        log: slog::Logger,
    ) -> Syncer {
        Syncer {
            shared,
            client: client::Client::new(&process.cluster_token),
            process: process.clone(),
            entry: entry.clone(),
            log,
            config: config::Config::default(),
            directory: directory::Directory::new(),
            builder: snapshot::Builder::new(),
            acked_change: 0,
            peer: 0,
            leader: None,
        }
    }

    /// Syncs until `stop` turns true.
    pub async fn run(mut self, mut stop: watch::Receiver<bool>) {
        let mut local_changed = self.shared.reserved.local_changed.subscribe();
        while !*stop.borrow() {
            local_changed.mark_unchanged();
            let has_unacked = {
                let mut local = self.shared.reserved.local();
                local.expire(self.shared.clock.now());
                local.last_change() > self.acked_change
            };
            let is_ok = tokio::select! {
                is_ok = self.sync(!has_unacked) => is_ok,
                // A held sync is given up, so that a local change travels at once.
                _ = local_changed.changed() => true,
                _ = stop.changed() => break,
            };
            let pause_ms = if is_ok { PACE_MS } else { RETRY_MS };
            tokio::time::sleep(time::Duration::from_millis(pause_ms)).await;
        }
    }

    fn request(&self, may_hold: bool) -> (message::SyncRequest, u64) {
        let entry = hub::EntryRecord {
            name: self.process.name.clone(),
            boot: self.shared.boot,
            zone: self.process.zone.clone(),
            address: self.entry.listen,
            leaving: self.shared.is_stopping.load(atomic::Ordering::Relaxed),
        };
        let local = self.shared.reserved.local();
        let req = message::SyncRequest {
            entry,
            version: self.config.version,
            position: self.directory.position(),
            changed: local.changed_after(self.acked_change).cloned().collect(),
            may_hold,
            is_forwarded: false,
        };
        (req, local.last_change())
    }

    async fn sync(&mut self, may_hold: bool) -> bool {
        let (req, change) = self.request(may_hold);
        let peer = match self.leader {
            Some(leader) => leader,
            None => self.entry.control[self.peer % self.entry.control.len()],
        };
        let sent = self.shared.clock.now();
        let reply = self.client.call(peer, "sync", &req, SYNC_TIMEOUT_MS).await;
        match reply {
            Ok(message::SyncReply::Confirmed {
                version,
                config,
                delta,
            }) => self.take(sent, change, version, config, delta),
            Ok(message::SyncReply::NotLeader { leader }) => {
                self.next_peer(leader);
                false
            }
            Err(err) => {
                slog::warn!(self.log, "sync failed"; "peer" => %peer, "error" => %err);
                self.next_peer(None);
                false
            }
        }
    }

    fn next_peer(&mut self, leader: Option<net::SocketAddr>) {
        self.leader = leader.filter(|address| self.entry.control.contains(address));
        if self.leader.is_none() {
            self.peer += 1;
        }
    }

    fn take(
        &mut self,
        sent: clock::Millis,
        change: u64,
        version: config::Version,
        config: Option<Box<config::Config>>,
        delta: directory::Delta,
    ) -> bool {
        if version < self.config.version {
            // Only a leader that lost accepted changes could answer so.
            slog::error!(self.log, "older catalogue refused";
                "held" => self.config.version.0, "offered" => version.0);
            return false;
        }
        let is_new_hub = delta.position.epoch != self.directory.position().epoch;
        let mut is_changed = self.directory.apply(delta);
        if let Some(config) = config.filter(|config| config.version > self.config.version) {
            slog::info!(self.log, "catalogue in force"; "version" => config.version.0);
            self.config = *config;
            is_changed = true;
        }
        if self.config.version != version {
            return false;
        }
        if is_changed {
            self.publish();
        }
        self.shared
            .published
            .extend_lease(sent + self.entry.config_lease_ms);
        // A new hub knows nothing of this process's servers, so all of them are sent again.
        self.acked_change = if is_new_hub { 0 } else { change };
        if !is_new_hub {
            self.shared.reserved.local().forget_gone(self.acked_change);
        }
        true
    }

    fn publish(&mut self) {
        let place = view::Place {
            zone: &self.process.zone,
            region: &self.process.region,
        };
        let view = view::View::build(&self.config, &self.directory, place);
        self.shared.published.store(self.builder.build(view));
    }
}

//! Keeps the snapshot of an entry process current.
//!
//! Invariant: the configuration lease is extended only after the snapshot that a quorum confirmed
//! is published, counted from the sending of the sync.

use crate::asks;
use crate::audit;
use crate::follow;
use crate::peers;
use crate::proxy;
use crate::snapshot;
use nutmegdale_admission::measuring;
use nutmegdale_base::clock;
use nutmegdale_membership::hub;
use nutmegdale_routing::view;
use nutmegdale_rpc::{client, error, message};
use nutmegdale_settings::model;
use std::mem;
use std::net;
use std::sync;
use std::sync::atomic;
use std::time;
use tokio::sync::watch;

/// Time for one sync; it must leave room for another one within the lease.
const SYNC_TIMEOUT_MS: clock::Millis = clock::Millis(1_800);
/// Pause after a failed sync.
const RETRY_MS: u64 = 100;
/// Pause after a sync that was held.
const PACE_MS: u64 = 20;
/// Shortest time between the starts of two syncs that send announcements. The first change of a
/// burst travels at once, the rest together.
const GATHER_MS: clock::Millis = clock::Millis(100);

/// Bytes of the heads of a call and its answer.
const HEAD_BYTES: u64 = 300;
/// Longest time that the measuring budget holds up a sync. One answer with the whole table of 890
/// servers costs more than 20 s of the default budget, and a sync that waits for it would end the
/// configuration lease; at one sync a second, the lease itself costs less than 1 KB a second.
const BUDGET_WAIT_MS: clock::Millis = clock::Millis(1_000);

/// State of the sync of one entry process.
#[allow(missing_debug_implementations)] // Holds trait objects.
pub struct Syncer {
    shared: sync::Arc<proxy::Shared>,
    client: client::Client,
    process: model::Process,
    entry: model::Entry,
    log: slog::Logger,
    follower: follow::Follower,
    builder: snapshot::Builder,
    audit: audit::Audit,
    asks: asks::Asks,
    peers: peers::Peers,
    /// Addresses of the control processes in the own region, as the leader named them.
    near: Vec<net::SocketAddr>,
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
            follower: follow::Follower::new(),
            builder: snapshot::Builder::new(),
            audit: audit::Audit::new(),
            asks: asks::Asks::new(),
            peers: peers::Peers::new(&entry.control),
            near: Vec::new(),
        }
    }

    /// Syncs until `stop` turns true.
    pub async fn run(mut self, mut stop: watch::Receiver<bool>) {
        let shared = sync::Arc::clone(&self.shared);
        let mut local_changed = self.shared.reserved.local_changed.subscribe();
        while !*stop.borrow() {
            local_changed.mark_unchanged();
            let started = self.shared.clock.now();
            let has_unsent = {
                let mut local = self.shared.reserved.local();
                local.expire(started);
                self.follower.has_unsent(&local)
            };
            let may_hold = !has_unsent;
            let is_ok = tokio::select! {
                is_ok = self.sync(may_hold) => is_ok,
                // A held sync is given up, so that a local change travels at once. One that
                // carries changes is not: under steady changes no sync would ever end.
                _ = local_changed.changed(), if may_hold => true,
                () = shared.heard.notified() => true,
                _ = stop.changed() => break,
            };
            let gather = GATHER_MS.since(self.shared.clock.now().since(started));
            let pause_ms = match is_ok {
                false => RETRY_MS,
                true if may_hold => PACE_MS,
                true => gather.0.max(PACE_MS),
            };
            tokio::time::sleep(time::Duration::from_millis(pause_ms)).await;
        }
    }

    fn request(
        &mut self,
        now: clock::Millis,
        may_hold: bool,
        may_forward: bool,
    ) -> (message::SyncRequest, u64) {
        let entry = hub::EntryRecord {
            name: self.process.name.clone(),
            boot: self.shared.boot,
            zone: self.process.zone.clone(),
            address: self.entry.listen,
            leaving: self.shared.is_stopping.load(atomic::Ordering::Relaxed),
        };
        let asked = self.asks.collect(now, &self.shared.published.load());
        let announced = self.follower.announced(&self.shared.reserved.local());
        let req = message::SyncRequest {
            entry,
            version: self.follower.stated_version(),
            position: self.follower.directory().position(),
            changed: announced.changed,
            is_all: announced.is_all,
            control: self.shared.one_time.control_revision(),
            heard: asked.heard,
            grants: asked.grants,
            demands: asked.demands,
            may_hold,
            may_forward,
            is_forwarded: false,
            audit: self.audit.report(now),
        };
        (req, announced.last_change)
    }

    async fn sync(&mut self, may_hold: bool) -> bool {
        let started = self.shared.clock.now();
        let target = self.peers.target(started);
        let peer = target.address;
        let (req, change) = self.request(started, may_hold, target.may_forward);
        let reply = self.call(peer, &req).await;
        let now = self.shared.clock.now();
        match reply {
            Ok((sent, message::SyncReply::Confirmed(mut confirmed))) => {
                if let Some(control) = confirmed.control.take() {
                    let is_near = |m: &&message::ControlMember| m.region == self.process.region;
                    let near = control.members.iter().filter(is_near);
                    self.near = near.map(|member| member.address).collect();
                    self.shared.one_time.set_control(control);
                }
                if confirmed.wants_all {
                    // Another leader has no counts yet.
                    self.audit.forget_acked();
                } else {
                    self.audit.ack(&req.audit);
                }
                self.take(sent, change, &req, *confirmed)
            }
            Ok((_, message::SyncReply::NotLeader { leader })) => {
                self.peers.not_leader(now, leader);
                false
            }
            Err(err) => {
                slog::warn!(self.log, "sync failed"; "peer" => %peer, "error" => %err);
                self.peers.failed(now);
                false
            }
        }
    }

    /// Sends a sync within the measuring budget and returns when it was sent, with the answer.
    async fn call(
        &self,
        peer: net::SocketAddr,
        req: &message::SyncRequest,
    ) -> error::Result<(clock::Millis, message::SyncReply)> {
        // Until the first answer names the regions, the paid link is assumed.
        let reach = match self.near.contains(&peer) {
            true => measuring::Reach::Region,
            false => measuring::Reach::CrossRegion,
        };
        let body = client::Client::encode(req)?;
        self.reserve(reach, body.len() as u64 + HEAD_BYTES).await;
        let sent = self.shared.clock.now();
        let call = self.client.call_bytes(peer, "sync", body, SYNC_TIMEOUT_MS);
        let reply = call.await?;
        let bytes = reply.len() as u64 + HEAD_BYTES;
        self.shared
            .measuring
            .answered(self.shared.clock.now(), reach, bytes);
        Ok((sent, client::Client::decode(&reply)?))
    }

    /// Waits until the measuring budget allows a message, at most for [`BUDGET_WAIT_MS`].
    async fn reserve(&self, reach: measuring::Reach, bytes: u64) {
        let budget = &self.shared.measuring;
        let started = self.shared.clock.now();
        while let Err(wait) = budget.take(self.shared.clock.now(), reach, bytes) {
            let now = self.shared.clock.now();
            let left = BUDGET_WAIT_MS.since(now.since(started));
            if left == clock::Millis::ZERO {
                // What is sent beyond the budget is owed and holds up the next messages.
                budget.answered(now, reach, bytes);
                return;
            }
            let pause_ms = wait.min(left).0;
            tokio::time::sleep(time::Duration::from_millis(pause_ms)).await;
        }
    }

    fn take(
        &mut self,
        sent: clock::Millis,
        change: u64,
        req: &message::SyncRequest,
        mut reply: message::Confirmed,
    ) -> bool {
        let granted = mem::take(&mut reply.grants);
        let given = mem::take(&mut reply.shares);
        let before = self.follower.config().version;
        let taken = {
            let mut local = self.shared.reserved.local();
            self.follower
                .take(&self.process.name, change, reply, &mut local)
        };
        match taken {
            Ok(is_changed) => {
                if is_changed {
                    self.publish();
                }
                let version = self.follower.config().version;
                if version != before {
                    slog::info!(self.log, "catalogue in force"; "version" => version.0);
                }
                let snapshot = self.shared.published.load();
                let asked = &req.grants;
                self.asks.take(sent, asked, &granted, given, &snapshot);
                let lease_ends = sent + self.entry.config_lease_ms;
                self.shared.published.extend_lease(lease_ends);
                true
            }
            Err(refused) => {
                slog::error!(self.log, "sync answer refused"; "error" => %refused);
                false
            }
        }
    }

    fn publish(&mut self) {
        let place = view::Locality {
            zone: &self.process.zone,
            region: &self.process.region,
        };
        let (config, directory) = (self.follower.config(), self.follower.directory());
        let view = view::View::build(config, directory, place);
        let counts = self.audit.counts(config, &view);
        self.shared.bulk_link.set_entries(view.entries.len());
        let now = self.shared.clock.now();
        let holder = &mut self.asks.holder;
        let snapshot = self.builder.build(now, view, counts, holder);
        self.shared.published.store(snapshot);
    }
}

//! Synchronizes an entry process with the control group and publishes its snapshots.
//!
//! Invariant: the configuration lease is extended only after the snapshot that a quorum confirmed
//! is published, and its duration starts when the sync is sent.

use crate::audit;
use crate::demand;
use crate::peers;
use crate::proxy;
use crate::snapshot;
use crate::sync_state;
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

/// Timeout of one sync; the configuration lease must have time for a second one.
const SYNC_TIMEOUT_MS: clock::Millis = clock::Millis(1_800);
/// Delay after a failed sync, in milliseconds.
const RETRY_DELAY_MS: u64 = 100;
/// Shortest delay after a successful sync, in milliseconds.
const SYNC_DELAY_MS: u64 = 20;
/// Shortest interval between the starts of two syncs that send announcements. The first change of
/// a burst is sent at once, the rest as a batch.
const ANNOUNCEMENT_INTERVAL_MS: clock::Millis = clock::Millis(100);

/// Estimated size of the HTTP head of a request or a reply, in bytes.
const HEAD_BYTES: u64 = 300;
/// Longest time that the byte budget delays a sync. One reply with the full directory of 890
/// servers uses more than 20 s of the default budget, and waiting that long would let the
/// configuration lease expire; at one sync per second, the lease costs less than 1 KB/s.
const BUDGET_WAIT_MAX_MS: clock::Millis = clock::Millis(1_000);

/// Task that syncs one entry process.
#[allow(missing_debug_implementations)] // Holds trait objects.
pub struct Syncer {
    shared: sync::Arc<proxy::Shared>,
    client: client::Client,
    process: model::Process,
    entry: model::Entry,
    log: slog::Logger,
    sync_state: sync_state::SyncState,
    builder: snapshot::Builder,
    audit: audit::Collector,
    demand: demand::DemandTracker,
    peers: peers::Peers,
    /// Addresses of the control processes in this region, from the leader's list.
    local_control: Vec<net::SocketAddr>,
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
            sync_state: sync_state::SyncState::new(),
            builder: snapshot::Builder::new(),
            audit: audit::Collector::new(),
            demand: demand::DemandTracker::new(),
            peers: peers::Peers::new(&entry.control),
            local_control: Vec::new(),
        }
    }

    /// Syncs until `stop` turns true.
    pub async fn run(mut self, mut stop: watch::Receiver<bool>) {
        let shared = sync::Arc::clone(&self.shared);
        let mut local_changed = self.shared.reserved.local_changed.subscribe();
        while !*stop.borrow() {
            local_changed.mark_unchanged();
            let started = self.shared.clock.now();
            let has_pending = {
                let mut local = self.shared.reserved.local();
                local.expire(started);
                self.sync_state.has_pending_announcements(&local)
            };
            let may_hold = !has_pending;
            let is_ok = tokio::select! {
                is_ok = self.sync(may_hold) => is_ok,
                // A sync that the leader may hold open is cancelled, so that a local change is sent
                // at once. One that carries changes is not: under steady changes, no sync would
                // ever complete.
                _ = local_changed.changed(), if may_hold => true,
                () = shared.state_reported.notified() => true,
                _ = stop.changed() => break,
            };
            let until_next_announcement =
                ANNOUNCEMENT_INTERVAL_MS.since(self.shared.clock.now().since(started));
            let pause_ms = match is_ok {
                false => RETRY_DELAY_MS,
                true if may_hold => SYNC_DELAY_MS,
                true => until_next_announcement.0.max(SYNC_DELAY_MS),
            };
            tokio::time::sleep(time::Duration::from_millis(pause_ms)).await;
        }
    }

    fn build_request(
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
        let demand = self.demand.collect(now, &self.shared.published.load());
        let pending = self
            .sync_state
            .pending_announcements(&self.shared.reserved.local());
        let req = message::SyncRequest {
            entry,
            version: self.sync_state.request_version(),
            position: self.sync_state.directory().position(),
            changed: pending.changed,
            is_all: pending.is_all,
            control: self.shared.one_time.control_revision(),
            heard: demand.reported_states,
            grants: demand.grants,
            demands: demand.demands,
            may_hold,
            may_forward,
            is_forwarded: false,
            audit: self.audit.report(now),
        };
        (req, pending.last_change)
    }

    async fn sync(&mut self, may_hold: bool) -> bool {
        let started = self.shared.clock.now();
        let target = self.peers.target(started);
        let peer = target.address;
        let (req, sent_change) = self.build_request(started, may_hold, target.may_forward);
        let reply = self.call(peer, &req).await;
        let now = self.shared.clock.now();
        match reply {
            Ok((sent_at, message::SyncReply::Confirmed(mut confirmed))) => {
                if let Some(control) = confirmed.control.take() {
                    let is_local = |m: &&message::ControlMember| m.region == self.process.region;
                    let local = control.members.iter().filter(is_local);
                    self.local_control = local.map(|member| member.address).collect();
                    self.shared.one_time.set_control(control);
                }
                if confirmed.wants_all {
                    // A new leader has no counts yet.
                    self.audit.reset_acked();
                } else {
                    self.audit.ack(&req.audit);
                }
                self.apply_reply(sent_at, sent_change, &req, *confirmed)
            }
            Ok((_, message::SyncReply::NotLeader { leader })) => {
                self.peers.record_not_leader(now, leader);
                false
            }
            Err(err) => {
                slog::warn!(self.log, "sync failed"; "peer" => %peer, "error" => %err);
                self.peers.record_failure(now);
                false
            }
        }
    }

    /// Sends a sync within the byte budget and returns the time it was sent, and the reply.
    async fn call(
        &self,
        peer: net::SocketAddr,
        req: &message::SyncRequest,
    ) -> error::Result<(clock::Millis, message::SyncReply)> {
        // Until the first reply lists the control processes by region, the peer is assumed to be
        // across the link between regions, which is billed.
        let reach = match self.local_control.contains(&peer) {
            true => measuring::Reach::Region,
            false => measuring::Reach::CrossRegion,
        };
        let body = client::Client::encode(req)?;
        self.wait_for_budget(reach, body.len() as u64 + HEAD_BYTES)
            .await;
        let sent_at = self.shared.clock.now();
        let call = self.client.call_bytes(peer, "sync", body, SYNC_TIMEOUT_MS);
        let reply = call.await?;
        let bytes = reply.len() as u64 + HEAD_BYTES;
        self.shared
            .measuring
            .charge_response(self.shared.clock.now(), reach, bytes);
        Ok((sent_at, client::Client::decode(&reply)?))
    }

    /// Waits until the byte budget allows a message, at most for [`BUDGET_WAIT_MAX_MS`].
    async fn wait_for_budget(&self, reach: measuring::Reach, bytes: u64) {
        let budget = &self.shared.measuring;
        let started = self.shared.clock.now();
        while let Err(wait) = budget.take(self.shared.clock.now(), reach, bytes) {
            let now = self.shared.clock.now();
            let left = BUDGET_WAIT_MAX_MS.since(now.since(started));
            if left == clock::Millis::ZERO {
                // Bytes beyond the budget are charged as debt, which delays the next messages.
                budget.charge_response(now, reach, bytes);
                return;
            }
            let pause_ms = wait.min(left).0;
            tokio::time::sleep(time::Duration::from_millis(pause_ms)).await;
        }
    }

    fn apply_reply(
        &mut self,
        sent_at: clock::Millis,
        sent_change: u64,
        req: &message::SyncRequest,
        mut reply: message::Confirmed,
    ) -> bool {
        let granted = mem::take(&mut reply.grants);
        let new_shares = mem::take(&mut reply.shares);
        let previous_version = self.sync_state.config().version;
        let applied = {
            let mut local = self.shared.reserved.local();
            self.sync_state
                .apply_reply(&self.process.name, sent_change, reply, &mut local)
        };
        match applied {
            Ok(is_changed) => {
                if is_changed {
                    self.publish();
                }
                let version = self.sync_state.config().version;
                if version != previous_version {
                    slog::info!(self.log, "catalogue version applied"; "version" => version.0);
                }
                let snapshot = self.shared.published.load();
                let requested = &req.grants;
                self.demand
                    .apply_reply(sent_at, requested, &granted, new_shares, &snapshot);
                let lease_ends = sent_at + self.entry.config_lease_ms;
                self.shared.published.extend_lease(lease_ends);
                true
            }
            Err(err) => {
                slog::error!(self.log, "sync answer refused"; "error" => %err);
                false
            }
        }
    }

    fn publish(&mut self) {
        let locality = view::Locality {
            zone: &self.process.zone,
            region: &self.process.region,
        };
        let (config, directory) = (self.sync_state.config(), self.sync_state.directory());
        let view = view::View::build(config, directory, locality);
        let counters = self.audit.counters(config, &view);
        self.shared.bulk_link.set_entries(view.entries.len());
        let now = self.shared.clock.now();
        let holder = &mut self.demand.holder;
        let snapshot = self.builder.build(now, view, counters, holder);
        self.shared.published.store(snapshot);
    }
}

//! Keeps the routing table in sync with the registry, by long polling one coordinator at a time.

use crate::{failover, metrics, state, table};
use nutmegdale_base::{clock, digest};
use nutmegdale_registry::{config, document, follow};
use nutmegdale_rpc::{client, error};
use std::net;
use std::sync;
use std::time;
use tokio::sync::watch;

/// Time for which a coordinator may hold a sync request until something changes.
const HOLD_MS: clock::Millis = clock::Millis(500);
/// Age of the evidence from which a sync is not held, where account keys depend on it. In normal
/// operation it is below: 0.7 s at the coordinator, two hold times here.
const UNHELD_AGE_MS: clock::Millis = clock::Millis(2_000);
/// Timeout of a sync beyond the hold time, after which the next coordinator is tried.
const RESPONSE_TIMEOUT_MS: clock::Millis = clock::Millis(400);
/// Backoff after every coordinator has failed once.
const BACKOFF_MS: u64 = 100;
/// Time without a current coordinator after which a response of one that is not current is used,
/// since outdated data is better than none.
const STALE_AFTER_MS: clock::Millis = clock::Millis(2_500);

/// Task that follows the registry and publishes routing tables.
#[allow(missing_debug_implementations)] // Holds trait objects.
pub struct Follower {
    shared: sync::Arc<state::Shared>,
    seeds: watch::Receiver<Vec<net::SocketAddr>>,
    stop: watch::Receiver<bool>,
    builder: table::Builder,
    copy: follow::LocalCopy,
    config: Option<config::Config>,
    decoded_version: u64,
    /// Coordinators that the last current response named.
    coordinators: Vec<follow::Coordinator>,
    /// Time of the last response from a current coordinator.
    last_current: clock::Millis,
    /// Time of the last sync that was not held.
    last_unheld: clock::Millis,
    failover: failover::Failover,
    /// Coordinator that gave the last current response.
    followed: Option<net::SocketAddr>,
}

impl Follower {
    /// Creates a follower that first contacts the coordinators in `seeds`.
    pub fn new(
        shared: sync::Arc<state::Shared>,
        builder: table::Builder,
        seeds: watch::Receiver<Vec<net::SocketAddr>>,
        stop: watch::Receiver<bool>,
    ) -> Follower {
        let now = shared.clock.now();
        Follower {
            shared,
            seeds,
            stop,
            builder,
            copy: follow::LocalCopy::default(),
            config: None,
            decoded_version: 0,
            coordinators: Vec::new(),
            last_current: now,
            last_unheld: clock::Millis::ZERO,
            failover: failover::Failover::new(),
            followed: None,
        }
    }

    /// Follows the registry until the task is aborted.
    pub async fn run(mut self) {
        loop {
            let targets = self.targets();
            if let Some(quota) = &self.shared.quota {
                quota.set_coordinators(&targets);
            }
            let Some(target) = self.failover.next(self.shared.clock.now(), &targets) else {
                tokio::time::sleep(time::Duration::from_millis(BACKOFF_MS)).await;
                continue;
            };
            let is_current = self.sync(target).await;
            let now = self.shared.clock.now();
            if is_current {
                self.failover.record_success(now, target, &targets);
            } else {
                metrics::increment(&self.shared.metrics.syncs_failed);
                self.failover.record_failure(now, target);
            }
        }
    }

    /// Returns the addresses of the coordinators, nearest first, and then the seeds.
    fn targets(&self) -> Vec<net::SocketAddr> {
        let settings = &self.shared.settings;
        let region = |zone: &str| settings.regions.get(zone).map_or("", String::as_str);
        let own_entry = &settings.entry;
        let mut coordinators = self.coordinators.clone();
        coordinators.sort_by_key(|c| {
            let is_far = region(&c.zone) != own_entry.region;
            (
                c.zone != own_entry.zone,
                is_far,
                spread_hash(&own_entry.name, c.address),
            )
        });
        let mut targets: Vec<_> = coordinators.iter().map(|c| c.address).collect();
        // After startup only the seeds are known; hashing spreads processes that start together.
        let mut seeds = self.seeds.borrow().clone();
        seeds.sort_by_key(|seed| spread_hash(&own_entry.name, *seed));
        targets.extend(
            seeds
                .iter()
                .filter(|seed| !coordinators.iter().any(|c| c.address == **seed)),
        );
        targets
    }

    /// Syncs with one coordinator; returns whether to stay with it.
    async fn sync(&mut self, target: net::SocketAddr) -> bool {
        let is_ready = !self.shared.is_stopping();
        let sent_at = self.shared.clock.now();
        let req = follow::SyncRequest {
            entry: self.shared.settings.entry.clone(),
            is_ready: is_ready && self.copy.version > 0,
            index: self.copy.index,
            entries_digest: follow::entries_digest(&self.copy.entries),
            hold: self.hold(sent_at),
        };
        let client = &self.shared.client;
        let update = tokio::select! {
            update = request_changes(client, target, &req) => update,
            // Ends this sync, so that the next one announces at once that the process is leaving.
            _ = self.stop.wait_for(|is_stopping| *is_stopping), if is_ready => return true,
        };
        let now = self.shared.clock.now();
        let update = match update {
            Ok(update) => update,
            Err(err) => {
                self.log_lost(target, &err);
                return false;
            }
        };
        let reply = &update.reply;
        let is_current = reply.is_current;
        let is_stale = now.since(self.last_current) >= STALE_AFTER_MS;
        if is_current {
            self.last_current = now;
            self.coordinators.clone_from(&reply.coordinators);
            self.log_followed(target);
        } else {
            self.log_lost(target, &"coordinator is not current");
            if !is_stale {
                return false;
            }
        }
        let confirmed_at = reply
            .confirmation_age
            .map(|age| clock::Millis(sent_at.since(age).0));
        self.apply(now, update, target, confirmed_at);
        is_current
    }

    /// Returns the hold time of the next sync.
    ///
    /// After a loss of contact or a suspension, callers with keys are refused until there is new
    /// evidence, which need not wait for a change. Such syncs are spaced, since a coordinator of an
    /// older build gives no evidence at all.
    fn hold(&mut self, now: clock::Millis) -> clock::Millis {
        let is_old = now.since(self.shared.confirmed_at()) >= UNHELD_AGE_MS;
        let has_accounts = self.shared.settings.features.accounts.is_some();
        if !has_accounts || !is_old || now.since(self.last_unheld) < HOLD_MS {
            return HOLD_MS;
        }
        self.last_unheld = now;
        clock::Millis::ZERO
    }

    fn decode(&self) -> Result<config::Config, config::Error> {
        let unreadable = |err: std::io::Error| config::Error::Unreadable(err.to_string());
        let document = self.copy.document.unpack().map_err(unreadable)?;
        self.shared.codec.decode(&document)
    }

    /// Logs that the followed coordinator failed or is no longer current.
    fn log_lost(&mut self, target: net::SocketAddr, reason: &dyn std::fmt::Display) {
        if self
            .followed
            .take_if(|followed| *followed == target)
            .is_some()
        {
            self.shared.rollouts.followed.store(None);
            slog::info!(self.shared.log, "coordinator lost"; "coordinator" => %target,
                "index" => self.copy.index, "error" => %reason);
        }
    }

    /// Logs that another coordinator is followed.
    fn log_followed(&mut self, target: net::SocketAddr) {
        if self.followed != Some(target) {
            slog::info!(self.shared.log, "coordinator followed"; "coordinator" => %target,
                "index" => self.copy.index);
            self.followed = Some(target);
            self.shared.gossip.catch_up();
            let followed = Some(sync::Arc::new(target));
            self.shared.rollouts.followed.store(followed);
        }
    }

    /// Applies the changes of a reply and publishes a new table if there were any.
    ///
    /// The changes of a configuration that cannot be decoded are not in the table, so nothing is
    /// confirmed then.
    fn apply(
        &mut self,
        now: clock::Millis,
        update: follow::SyncUpdate,
        source: net::SocketAddr,
        confirmed_at: Option<clock::Millis>,
    ) {
        let confirmation_age = update.reply.confirmation_age;
        let is_decoded = |follower: &Follower| follower.copy.version == follower.decoded_version;
        if !self.copy.apply_update(now, update) {
            if let Some(at) = confirmed_at.filter(|_| is_decoded(self)) {
                self.shared.record_confirmation(at);
            }
            return;
        }
        if self.copy.version != self.decoded_version {
            match self.decode() {
                Ok(config) => {
                    self.config = Some(config);
                    self.decoded_version = self.copy.version;
                }
                Err(fault) => {
                    // Unexpected: coordinators validate configurations with the same codec.
                    slog::error!(self.shared.log, "configuration cannot be decoded";
                        "version" => self.copy.version, "error" => %fault);
                }
            }
        }
        if is_decoded(self) {
            // The document holds keys, and nothing else reads it.
            self.copy.document = document::Document::default();
        }
        let table = self.builder.build(now, &self.copy, self.config.as_ref());
        slog::info!(self.shared.log, "registry taken up"; "coordinator" => %source,
            "index" => table.registry_index, "version" => table.config_version,
            "servers" => table.servers_count(), "entries" => table.entries.len(),
            "zones_out" => ?self.copy.zones_out,
            "age_ms" => confirmation_age.map(|age| age.0));
        let confirmed_at = confirmed_at.filter(|_| is_decoded(self));
        self.shared.publish_confirmed(table, confirmed_at);
    }
}

/// Requests the changes from a coordinator, which may be of an older build.
async fn request_changes(
    client: &client::Client,
    target: net::SocketAddr,
    req: &follow::SyncRequest,
) -> error::Result<follow::SyncUpdate> {
    let timeout = HOLD_MS + RESPONSE_TIMEOUT_MS;
    let update = client.call_compact(target, follow::SYNC_CHANGES, req, timeout);
    match update.await {
        Err(err) if err.is_unknown_call() => {
            let (name, older) = (follow::SYNC_CONFIRMED, follow::SYNC);
            let reply = client.call_compact_or(target, name, older, req, timeout);
            reply.await.map(|reply: follow::SyncReply| reply.into())
        }
        update => update,
    }
}

/// Returns a sort key that spreads processes evenly over coordinators at the same distance.
fn spread_hash(name: &str, address: net::SocketAddr) -> u64 {
    digest::of(&(name, address))
}

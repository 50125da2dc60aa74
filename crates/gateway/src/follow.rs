//! Follows the registry at one coordinator at a time.

use crate::{metrics, state, table};
use nutmegdale_base::{clock, digest};
use nutmegdale_registry::{config, follow};
use std::net;
use std::sync;
use std::time;
use tokio::sync::watch;

/// Time for which a coordinator may hold a sync.
const HOLD_MS: clock::Millis = clock::Millis(500);
/// Time for an answer beyond the hold, after which another coordinator is asked.
const ANSWER_MS: clock::Millis = clock::Millis(400);
/// Pause after every coordinator failed once.
const PAUSE_MS: u64 = 100;
/// Time after which the nearest coordinator is tried again.
const NEAREST_AGAIN_MS: clock::Millis = clock::Millis(5_000);
/// Time without a current coordinator after which what another one knows is better than nothing.
const STALE_AFTER_MS: clock::Millis = clock::Millis(2_500);

/// Follower of the registry.
#[allow(missing_debug_implementations)] // Holds trait objects.
pub struct Follower {
    shared: sync::Arc<state::Shared>,
    seeds: watch::Receiver<Vec<net::SocketAddr>>,
    stop: watch::Receiver<bool>,
    builder: table::Builder,
    copy: follow::Copy,
    config: Option<config::Config>,
    decoded_version: u64,
    known: Vec<follow::Coordinator>,
    current_at: clock::Millis,
    away_since: Option<clock::Millis>,
    position: usize,
    /// Coordinator that answered last.
    followed: Option<net::SocketAddr>,
}

impl Follower {
    /// Creates a follower that starts from `seeds`.
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
            copy: follow::Copy::default(),
            config: None,
            decoded_version: 0,
            known: Vec::new(),
            current_at: now,
            away_since: None,
            position: 0,
            followed: None,
        }
    }

    /// Follows until the process ends.
    pub async fn run(mut self) {
        let mut failed_count = 0;
        loop {
            let targets = self.targets();
            let now = self.shared.clock.now();
            if self
                .away_since
                .is_some_and(|at| now.since(at) >= NEAREST_AGAIN_MS)
            {
                self.position = 0;
                self.away_since = None;
            }
            let position = self.position % targets.len().max(1);
            let is_done = match targets.get(position) {
                Some(target) => self.sync(*target).await,
                None => false,
            };
            if is_done {
                failed_count = 0;
                continue;
            }
            metrics::count(&self.shared.metrics.syncs_failed);
            self.position = position + 1;
            self.away_since.get_or_insert(now);
            failed_count += 1;
            if failed_count >= targets.len() {
                failed_count = 0;
                tokio::time::sleep(time::Duration::from_millis(PAUSE_MS)).await;
            }
        }
    }

    /// Returns the coordinators, the nearest first.
    fn targets(&self) -> Vec<net::SocketAddr> {
        let settings = &self.shared.settings;
        let region = |zone: &str| settings.regions.get(zone).map_or("", String::as_str);
        let own = &settings.entry;
        let mut known = self.known.clone();
        known.sort_by_key(|c| {
            let is_far = region(&c.zone) != own.region;
            (c.zone != own.zone, is_far, spread(&own.name, c.address))
        });
        let mut targets: Vec<_> = known.iter().map(|c| c.address).collect();
        // After a start nothing but the seeds is known, and many processes may start at once.
        let mut seeds = self.seeds.borrow().clone();
        seeds.sort_by_key(|seed| spread(&own.name, *seed));
        targets.extend(
            seeds
                .iter()
                .filter(|seed| !known.iter().any(|c| c.address == **seed)),
        );
        targets
    }

    /// Asks one coordinator; returns whether it is worth asking again.
    async fn sync(&mut self, target: net::SocketAddr) -> bool {
        let is_ready = !self.shared.is_stopping();
        let req = follow::SyncRequest {
            entry: self.shared.settings.entry.clone(),
            is_ready: is_ready && self.copy.version > 0,
            index: self.copy.index,
            entries_digest: follow::digest(&self.copy.entries),
            hold: HOLD_MS,
        };
        let call = self
            .shared
            .client
            .call_compact(target, follow::SYNC, &req, HOLD_MS + ANSWER_MS);
        let reply: nutmegdale_rpc::error::Result<follow::SyncReply> = tokio::select! {
            reply = call => reply,
            // Others have to learn at once that this process is about to leave.
            _ = self.stop.wait_for(|is_stopping| *is_stopping), if is_ready => return true,
        };
        let now = self.shared.clock.now();
        let reply = match reply {
            Ok(reply) => reply,
            Err(err) => {
                self.lost(target, &err);
                return false;
            }
        };
        let is_current = reply.is_current;
        let is_stale = now.since(self.current_at) >= STALE_AFTER_MS;
        if is_current {
            self.current_at = now;
            self.known.clone_from(&reply.coordinators);
            self.regained(target);
        } else {
            self.lost(target, &"it knows no leader");
            if !is_stale {
                return false;
            }
        }
        self.take(now, reply, target);
        is_current
    }

    fn decoded(&self) -> Result<config::Config, config::Fault> {
        let unreadable = |err: std::io::Error| config::Fault::Unreadable(err.to_string());
        let document = self.copy.document.unpack().map_err(unreadable)?;
        self.shared.codec.decode(&document)
    }

    fn lost(&mut self, target: net::SocketAddr, why: &dyn std::fmt::Display) {
        if self
            .followed
            .take_if(|followed| *followed == target)
            .is_some()
        {
            slog::info!(self.shared.log, "coordinator lost"; "coordinator" => %target,
                "index" => self.copy.index, "error" => %why);
        }
    }

    fn regained(&mut self, target: net::SocketAddr) {
        if self.followed != Some(target) {
            slog::info!(self.shared.log, "coordinator followed"; "coordinator" => %target,
                "index" => self.copy.index);
            self.followed = Some(target);
        }
    }

    fn take(&mut self, now: clock::Millis, reply: follow::SyncReply, from: net::SocketAddr) {
        if !self.copy.take(now, reply) {
            return;
        }
        if self.copy.version != self.decoded_version {
            match self.decoded() {
                Ok(config) => {
                    self.config = Some(config);
                    self.decoded_version = self.copy.version;
                }
                Err(fault) => {
                    // Coordinators accept only what they can decode, with the same codec.
                    slog::error!(self.shared.log, "configuration cannot be decoded";
                        "version" => self.copy.version, "error" => %fault);
                }
            }
        }
        let table = self.builder.build(now, &self.copy, self.config.as_ref());
        slog::info!(self.shared.log, "registry taken up"; "coordinator" => %from,
            "index" => table.index, "version" => table.version,
            "servers" => table.servers_count(), "entries" => table.entries.len(),
            "zones_out" => ?self.copy.zones_out);
        self.shared.publish(table);
    }
}

/// Returns a number that spreads processes over coordinators at the same distance.
fn spread(name: &str, address: net::SocketAddr) -> u64 {
    digest::of(&(name, address))
}

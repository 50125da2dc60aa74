//! Operations of a coordinator for operators, servers and entry processes.

use crate::{calls, confirmation, entries, gossip, machine, metrics, quota, rollouts};
use displaydoc::Display;
use nutmegdale_base::clock;
use nutmegdale_consensus::{status, types};
use nutmegdale_registry::{claim, config, document, entry_list, follow, server, state};
use nutmegdale_replica::handle;
use nutmegdale_rpc::client;
use nutmegdale_telemetry::limiter;
use serde::{Deserialize, Serialize};
use std::collections;
use std::net;
use std::sync;
use std::time;

/// Timeout of a command or a read. It is below one second, after which callers try another
/// process.
const CALL_TIMEOUT_MS: clock::Millis = clock::Millis(900);
/// Longest wait for a leader, below one second for the same reason.
const LEADER_WAIT_MS: u64 = 600;
/// Time without an announcement after which a server is removed. It is long, since a server that
/// cannot reach coordinators may still be reachable from entry processes.
const SERVER_EXPIRY_MS: clock::Millis = clock::Millis(60_000);

/// Maximum number of characters of the identifier of a rejected announcement in the log.
const LOGGED_ID_MAX_CHARS: usize = 64;

/// Maximum number of log lines on announcements per second.
pub(crate) const ANNOUNCEMENT_LINES_PER_SECOND: u64 = 30;

/// Why an operation failed.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Error {
    /// no leader is known or it cannot be reached: {0}
    Unavailable(String),
    /// it is not known whether the command was accepted
    Unknown,
    /// the configuration is invalid: {0}
    Invalid(config::Error),
    /// the announcement is implausible: {0}
    Implausible(server::Error),
}

impl std::error::Error for Error {}

/// Result of an operation.
pub type Result<T> = std::result::Result<T, Error>;

/// Current configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Current {
    /// Version of the document; 0 before the first configuration.
    pub version: u64,
    /// Document as the operator sent it.
    pub document: document::Document,
}

/// State of a coordinator that is neither replicated nor stored.
#[derive(Debug, Default)]
pub(crate) struct SoftState {
    pub(crate) entries: entries::Entries,
    /// Recent lists of ready entry processes, of which followers hold one.
    pub(crate) entry_lists: entry_list::History,
    pub(crate) peers: gossip::Peers,
    pub(crate) confirmation: confirmation::Confirmation,
    /// Statement of a leader which shows that this replica is no longer a member.
    pub(crate) removed_by: Option<(net::SocketAddr, gossip::Group)>,
    /// Entry processes of this coordinator, with their readiness, in the last list that each other
    /// coordinator has acknowledged.
    pub(crate) acked_entries: collections::HashMap<net::SocketAddr, Vec<(follow::Entry, bool)>>,
    /// Servers that announced themselves here since the last round of gossip.
    pub(crate) announced: collections::BTreeSet<String>,
    /// Time of the last announcement of each server to any coordinator.
    pub(crate) last_announced: collections::HashMap<String, clock::Millis>,
    /// Servers that the registry overrules, as this replica observes them while it leads.
    pub(crate) claims: claim::Claims,
}

/// Interface of a coordinator for front ends, independent of the encoding of messages.
#[allow(missing_debug_implementations)] // Holds trait objects.
pub struct Operations {
    pub(crate) shared: sync::Arc<machine::Shared>,
    pub(crate) handle: handle::Handle,
    pub(crate) client: sync::Arc<client::Client>,
    pub(crate) codec: sync::Arc<dyn config::Codec>,
    pub(crate) clock: sync::Arc<dyn clock::Clock>,
    pub(crate) soft_state: sync::Mutex<SoftState>,
    /// Limits of accounts, if the deployment has them.
    pub(crate) quota: Option<quota::Quota>,
    pub(crate) rollouts: rollouts::Rollouts,
    pub(crate) log: slog::Logger,
    /// Rate limit of log lines on announcements, which come in hundreds after a start.
    pub(crate) announcement_lines: limiter::Limiter,
    /// Metrics that front ends count calls in.
    pub metrics: metrics::Metrics,
}

impl Operations {
    pub(crate) fn soft_state(&self) -> sync::MutexGuard<'_, SoftState> {
        self.soft_state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Returns the metrics in the Prometheus text format.
    pub fn metrics_text(&self) -> Vec<u8> {
        let quota = self.quota.as_ref().map(quota::Quota::metrics_text);
        let quota = quota.unwrap_or_default();
        [self.metrics.text(), quota, self.client.traffic.text()].concat()
    }

    /// Replaces the configuration that has the version `base`.
    ///
    /// # Errors
    ///
    /// `Invalid` names the rule that the document breaks; nothing was changed. Otherwise as
    /// [`Operations::propose`].
    pub async fn configure(&self, base: u64, document: &[u8]) -> Result<state::Reply> {
        let config = self.codec.decode(document).map_err(Error::Invalid)?;
        config::check(&config).map_err(Error::Invalid)?;
        let (version, bytes) = (config.version, document.len());
        let cmd = state::Command::Configure {
            version,
            base,
            document: document::Document::pack(document),
        };
        let reply = self.propose(&cmd).await;
        slog::info!(self.log, "configuration submitted"; "version" => version, "base" => base,
            "bytes" => bytes, "outcome" => ?reply);
        reply
    }

    /// Returns the current configuration by a linearizable read: a quorum confirms the leader
    /// after the call has started.
    ///
    /// # Errors
    ///
    /// `Unavailable` if no quorum confirms the leader; a stale version is never returned.
    pub async fn current(&self) -> Result<Current> {
        match self.confirm_leadership().await {
            Err(handle::ProposeError::NotLeader {
                leader: Some(leader),
            }) => {
                let reply = self
                    .client
                    .call_compact(leader, calls::READ, &(), CALL_TIMEOUT_MS);
                reply
                    .await
                    .map_err(|err| Error::Unavailable(err.to_string()))
            }
            confirmed => {
                confirmed.map_err(|err| Error::Unavailable(err.to_string()))?;
                Ok(self.local_config())
            }
        }
    }

    pub(crate) async fn confirm_leadership(
        &self,
    ) -> std::result::Result<u64, handle::ProposeError> {
        let limit = time::Duration::from_millis(CALL_TIMEOUT_MS.0);
        self.wait_for_leader().await;
        let confirmed = tokio::time::timeout(limit, self.handle.confirm_leadership()).await;
        confirmed.unwrap_or(Err(handle::ProposeError::Unknown))
    }

    pub(crate) fn local_config(&self) -> Current {
        self.shared.read(|state| Current {
            version: state.version,
            document: state.document.clone(),
        })
    }

    /// Takes a zone out of service, or puts it back into service.
    ///
    /// # Errors
    ///
    /// As [`Operations::propose`].
    pub async fn set_zone(&self, zone: &str, is_out: bool) -> Result<()> {
        let cmd = match is_out {
            true => state::Command::ZoneOut(zone.to_owned()),
            false => state::Command::ZoneIn(zone.to_owned()),
        };
        let reply = self.propose(&cmd).await;
        slog::info!(self.log, "zone changed"; "zone" => zone, "out" => is_out,
            "outcome" => ?reply);
        reply.map(drop)
    }

    /// Handles the announcement of a server.
    ///
    /// Only an announcement that changes the registry goes through the replicated log; any other
    /// is a heartbeat.
    ///
    /// # Errors
    ///
    /// `Implausible` names the rule that the announcement breaks; nothing was changed. Otherwise as
    /// [`Operations::propose`].
    pub async fn announce(&self, announcement: server::Announcement) -> Result<()> {
        if let Err(err) = server::check(&announcement) {
            self.log_rejected(&announcement, &err);
            return Err(Error::Implausible(err));
        }
        // A replica that has just started has applied nothing until a leader sends its commit
        // index; until then every announcement would look like a change.
        self.wait_for_leader().await;
        // An announcement of another start is no sign that the recorded one is alive.
        if self
            .shared
            .read(|state| state.claim(&announcement))
            .is_some()
        {
            return self.submit_claim(announcement).await;
        }
        self.record_announcement(&announcement.id);
        if !self.shared.changes_record(&announcement) {
            return Ok(());
        }
        let (id, born) = (announcement.id.clone(), announcement.born);
        let (state, cold_left) = (announcement.state, announcement.cold_left);
        let (service, zone) = (announcement.service.clone(), announcement.zone.clone());
        let reply = self.propose(&state::Command::Announce(announcement)).await;
        if let Some(suppressed) = self.announcement_lines.admit(self.clock.now()) {
            slog::info!(self.log, "server announced"; "server" => id, "born" => born,
                "service" => service, "zone" => zone, "state" => ?state,
                "cold_left_ms" => cold_left.0, "outcome" => ?reply, "suppressed" => suppressed);
        }
        reply.map(drop)
    }

    fn log_rejected(&self, announcement: &server::Announcement, err: &server::Error) {
        if let Some(suppressed) = self.announcement_lines.admit(self.clock.now()) {
            let id: String = announcement.id.chars().take(LOGGED_ID_MAX_CHARS).collect();
            slog::warn!(self.log, "announcement rejected"; "server" => id, "error" => %err,
                "suppressed" => suppressed);
        }
    }

    fn record_announcement(&self, id: &str) {
        let now = self.clock.now();
        let mut soft = self.soft_state();
        soft.last_announced.insert(id.to_owned(), now);
        soft.announced.insert(id.to_owned());
    }

    /// Handles a server's notice that it leaves.
    ///
    /// # Errors
    ///
    /// As [`Operations::propose`].
    pub async fn leave(&self, id: &str) -> Result<()> {
        let reply = self.propose(&state::Command::Leave(id.to_owned())).await;
        slog::info!(self.log, "server left"; "server" => id, "outcome" => ?reply);
        reply.map(drop)
    }

    /// Returns the public address of a live coordinator in `zone`, if one is known.
    pub fn coordinator_in(&self, zone: &str) -> Option<net::SocketAddr> {
        let now = self.clock.now();
        let soft = self.soft_state();
        let mut live = soft.peers.live(now);
        live.find(|peer| peer.zone == zone).map(|peer| peer.public)
    }

    /// Commits a command through the leader and returns the reply of the state machine.
    ///
    /// # Errors
    ///
    /// `Unknown` if the command may still be committed, `Unavailable` if it was not accepted.
    pub async fn propose(&self, cmd: &state::Command) -> Result<state::Reply> {
        let body = rmp_serde::to_vec(cmd).expect("a command can be encoded");
        self.wait_for_leader().await;
        let reply = match self.propose_local(body.clone()).await {
            Err(handle::ProposeError::NotLeader {
                leader: Some(leader),
            }) => {
                let body = calls::Command { body };
                let reply =
                    self.client
                        .call_compact(leader, calls::COMMAND, &body, CALL_TIMEOUT_MS);
                reply
                    .await
                    .map_err(|err| Error::Unavailable(err.to_string()))?
            }
            reply => calls::Answer::from_result(reply),
        };
        reply.into_result()
    }

    /// Waits while no leader is known, as after a start, so that callers need not retry.
    async fn wait_for_leader(&self) {
        let mut status = self.handle.subscribe();
        let limit = time::Duration::from_millis(LEADER_WAIT_MS);
        let is_known = |status: &sync::Arc<status::Status>| {
            status.leader.is_some() && status.commit > types::Index(0)
        };
        let known = status.wait_for(is_known);
        // After a timeout the operation itself fails because no leader is known.
        drop(tokio::time::timeout(limit, known).await);
    }

    pub(crate) async fn propose_local(
        &self,
        body: Vec<u8>,
    ) -> std::result::Result<Vec<u8>, handle::ProposeError> {
        let limit = time::Duration::from_millis(CALL_TIMEOUT_MS.0);
        let proposed = tokio::time::timeout(limit, self.handle.propose(body)).await;
        proposed.unwrap_or(Err(handle::ProposeError::Unknown))
    }

    /// Returns the last status that the replica published. It says what the replica believed then;
    /// see [`confirmation`].
    pub fn status(&self) -> sync::Arc<status::Status> {
        self.handle.status()
    }

    /// Returns the version of the configuration in the registry of this replica.
    pub fn version(&self) -> u64 {
        self.shared.read(|state| state.version)
    }

    /// Removes servers whose last announcement has expired, if this replica has led for at least
    /// the expiry time.
    pub(crate) async fn expire_servers(&self, led_for: clock::Millis) {
        if led_for < SERVER_EXPIRY_MS {
            return;
        }
        let now = self.clock.now();
        let known = self.shared.read(|state| {
            let records = state.servers.values().map(|record| &record.announcement);
            let starts = records.map(|a| (a.id.clone(), a.born));
            starts.collect::<Vec<_>>()
        });
        let expired: Vec<_> = {
            let soft = self.soft_state();
            let is_expired = |id: &String| {
                let last = soft.last_announced.get(id).copied().unwrap_or_default();
                now.since(last) >= SERVER_EXPIRY_MS
            };
            known.into_iter().filter(|(id, _)| is_expired(id)).collect()
        };
        if expired.is_empty() {
            return;
        }
        let ids: Vec<_> = expired.iter().map(|(id, _)| id.as_str()).collect();
        slog::info!(self.log, "expired servers removed"; "servers" => ids.join(","));
        // The next round retries a command that was lost.
        drop(self.propose(&state::Command::Forget(expired.clone())).await);
    }
}

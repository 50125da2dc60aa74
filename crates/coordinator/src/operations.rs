//! What operators, servers and entry processes may ask of a coordinator.

use crate::{calls, entries, gossip, machine, metrics};
use displaydoc::Display;
use nutmegdale_base::clock;
use nutmegdale_consensus::{status, types};
use nutmegdale_registry::{config, document, follow, server, state};
use nutmegdale_replica::handle;
use nutmegdale_rpc::client;
use nutmegdale_telemetry::limiter;
use serde::{Deserialize, Serialize};
use std::collections;
use std::net;
use std::sync;
use std::time;

/// Longest time for a command or a read. Callers try another process after a second.
const CALL_MS: clock::Millis = clock::Millis(900);
/// Longest time to wait for a leader. Callers try another process after a second.
const LEADER_MS: u64 = 600;
/// Time between two looks at the list of entry processes while a sync is held.
const LOOK_MS: u64 = 250;
/// Time without an announcement after which a server is forgotten. It is long, since a server may
/// be cut off from coordinators and still be reached by entry processes.
const FORGET_MS: clock::Millis = clock::Millis(60_000);

/// Log lines on announcements per second.
pub(crate) const LINES_PER_SECOND: u64 = 30;

/// Why nothing was decided.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Error {
    /// no leader is known or it cannot be reached: {0}
    Unavailable(String),
    /// it is not known whether the command was accepted
    Unknown,
    /// the configuration is invalid: {0}
    Invalid(config::Error),
}

impl std::error::Error for Error {}

/// Result of an operation.
pub type Result<T> = std::result::Result<T, Error>;

/// Current configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Current {
    /// Version; 0 before the first configuration.
    pub version: u64,
    /// Document as its operator sent it.
    pub document: document::Document,
}

/// Soft state of a coordinator.
#[derive(Debug, Default)]
pub(crate) struct Table {
    pub(crate) entries: entries::Entries,
    pub(crate) peers: gossip::Peers,
    /// Entry processes of this coordinator that each other one has been told of.
    pub(crate) told: collections::HashMap<net::SocketAddr, Vec<(follow::Entry, bool)>>,
    /// Servers that announced themselves here since the last round of gossip.
    pub(crate) announced: collections::BTreeSet<String>,
    /// Time of the last announcement of each server, here or elsewhere.
    pub(crate) alive: collections::HashMap<String, clock::Millis>,
}

/// Coordinator as its callers see it.
#[allow(missing_debug_implementations)] // Holds trait objects.
pub struct Operations {
    pub(crate) shared: sync::Arc<machine::Shared>,
    pub(crate) handle: handle::Handle,
    pub(crate) client: sync::Arc<client::Client>,
    pub(crate) codec: sync::Arc<dyn config::Codec>,
    pub(crate) clock: sync::Arc<dyn clock::Clock>,
    pub(crate) table: sync::Mutex<Table>,
    pub(crate) log: slog::Logger,
    /// Bound of log lines on announcements, which come in hundreds after a start.
    pub(crate) lines: limiter::Limiter,
    /// Metrics.
    pub metrics: metrics::Metrics,
}

impl Operations {
    pub(crate) fn table(&self) -> sync::MutexGuard<'_, Table> {
        self.table
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Replaces the configuration that has the version `base`.
    ///
    /// # Errors
    ///
    /// `Invalid` names the rule that the document breaks; nothing was changed.
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

    /// Returns the newest configuration, confirmed by a quorum after the call.
    ///
    /// # Errors
    ///
    /// `Unavailable` if no quorum can be asked; an older version is never returned.
    pub async fn current(&self) -> Result<Current> {
        match self.confirm().await {
            Err(handle::ProposeError::NotLeader {
                leader: Some(leader),
            }) => {
                let reply = self.client.call_compact(leader, calls::READ, &(), CALL_MS);
                reply
                    .await
                    .map_err(|err| Error::Unavailable(err.to_string()))
            }
            confirmed => {
                confirmed.map_err(|err| Error::Unavailable(err.to_string()))?;
                Ok(self.local())
            }
        }
    }

    pub(crate) async fn confirm(&self) -> std::result::Result<u64, handle::ProposeError> {
        let limit = time::Duration::from_millis(CALL_MS.0);
        self.wait_for_leader().await;
        let confirmed = tokio::time::timeout(limit, self.handle.confirm_leadership()).await;
        confirmed.unwrap_or(Err(handle::ProposeError::Unknown))
    }

    pub(crate) fn local(&self) -> Current {
        self.shared.read(|state| Current {
            version: state.version,
            document: state.document.clone(),
        })
    }

    /// Takes a zone out of service, or back in.
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

    /// Takes the announcement of a server.
    ///
    /// Only news goes through the log; everything else is a sign of life.
    ///
    /// # Errors
    ///
    /// As [`Operations::propose`].
    pub async fn announce(&self, announcement: server::Announcement) -> Result<()> {
        self.note_alive(&announcement.id);
        // A replica that has just started knows no server until a leader tells what is committed;
        // by then every announcement would look like news.
        self.wait_for_leader().await;
        if !self.shared.is_news(&announcement) {
            return Ok(());
        }
        let (id, born) = (announcement.id.clone(), announcement.born);
        let (state, cold_left) = (announcement.state, announcement.cold_left);
        let reply = self.propose(&state::Command::Announce(announcement)).await;
        if let Some(suppressed) = self.lines.admit(self.clock.now()) {
            slog::info!(self.log, "server announced"; "server" => id, "born" => born,
                "state" => ?state, "cold_left_ms" => cold_left.0, "outcome" => ?reply,
                "suppressed" => suppressed);
        }
        reply.map(drop)
    }

    fn note_alive(&self, id: &str) {
        let now = self.clock.now();
        let mut table = self.table();
        table.alive.insert(id.to_owned(), now);
        table.announced.insert(id.to_owned());
    }

    /// Takes the statement of a server that it leaves.
    ///
    /// # Errors
    ///
    /// As [`Operations::propose`].
    pub async fn leave(&self, id: &str) -> Result<()> {
        let reply = self.propose(&state::Command::Leave(id.to_owned())).await;
        slog::info!(self.log, "server left"; "server" => id, "outcome" => ?reply);
        reply.map(drop)
    }

    /// Returns the public address of a coordinator in `zone`, if one was heard of lately.
    pub fn coordinator_in(&self, zone: &str) -> Option<net::SocketAddr> {
        let now = self.clock.now();
        let table = self.table();
        let mut live = table.peers.live(now);
        live.find(|sender| sender.zone == zone)
            .map(|sender| sender.public)
    }

    /// Has the leader commit a command and returns its answer.
    ///
    /// # Errors
    ///
    /// `Unknown` if the command may still be committed, `Unavailable` if it was not accepted.
    pub async fn propose(&self, cmd: &state::Command) -> Result<state::Reply> {
        let body = rmp_serde::to_vec(cmd).expect("a command can be encoded");
        self.wait_for_leader().await;
        let reply = match self.propose_here(body.clone()).await {
            Err(handle::ProposeError::NotLeader {
                leader: Some(leader),
            }) => {
                let body = calls::Command { body };
                let reply = self
                    .client
                    .call_compact(leader, calls::COMMAND, &body, CALL_MS);
                reply
                    .await
                    .map_err(|err| Error::Unavailable(err.to_string()))?
            }
            reply => calls::Answer::of(reply),
        };
        reply.into_result()
    }

    /// Waits while no leader is known, as after a start, so that callers need not come again.
    async fn wait_for_leader(&self) {
        let mut status = self.handle.subscribe();
        let limit = time::Duration::from_millis(LEADER_MS);
        let is_known = |status: &sync::Arc<status::Status>| {
            status.leader.is_some() && status.commit > types::Index(0)
        };
        let known = status.wait_for(is_known);
        // Without a leader the call fails on its own.
        drop(tokio::time::timeout(limit, known).await);
    }

    pub(crate) async fn propose_here(
        &self,
        body: Vec<u8>,
    ) -> std::result::Result<Vec<u8>, handle::ProposeError> {
        let limit = time::Duration::from_millis(CALL_MS.0);
        let proposed = tokio::time::timeout(limit, self.handle.propose(body)).await;
        proposed.unwrap_or(Err(handle::ProposeError::Unknown))
    }

    /// Returns whether this replica is in touch with a leader.
    pub fn is_current(&self) -> bool {
        let status = self.handle.status();
        match status.role {
            status::Role::Leader => true,
            status::Role::Follower | status::Role::Learner => status.leader.is_some(),
            _ => false,
        }
    }

    /// Answers the sync of an entry process, at the latest when its hold has passed.
    pub async fn sync(&self, req: follow::SyncRequest) -> follow::SyncReply {
        let started = self.clock.now();
        self.table()
            .entries
            .synced(started, &req.entry, req.is_ready);
        let mut index = self.shared.subscribe();
        loop {
            index.mark_unchanged();
            let reply = self.sync_reply(&req);
            let passed = self.clock.now().since(started);
            let has_news = !reply.changes.is_empty() || reply.is_whole || reply.entries.is_some();
            if has_news || !reply.is_current || passed >= req.hold {
                return reply;
            }
            let wait = req.hold.since(passed).0.min(LOOK_MS);
            // Either way the loop looks again.
            let woken = tokio::time::timeout(time::Duration::from_millis(wait), index.changed());
            drop(woken.await);
        }
    }

    fn sync_reply(&self, req: &follow::SyncRequest) -> follow::SyncReply {
        let now = self.clock.now();
        let since = self.shared.since(req.index);
        let table = self.table();
        let ready = table.entries.ready(now);
        let entries = (follow::entries_digest(&ready) != req.entries_digest).then_some(ready);
        let coordinators = table.peers.live(now).map(|sender| follow::Coordinator {
            address: sender.address,
            zone: sender.zone.clone(),
        });
        follow::SyncReply {
            is_current: self.is_current(),
            index: since.index,
            is_whole: since.is_whole,
            changes: since.changes,
            entries,
            coordinators: coordinators.collect(),
        }
    }

    /// Forgets servers that have been silent for long, if this replica has led for that time.
    pub(crate) async fn forget_silent(&self, led: clock::Millis) {
        if led < FORGET_MS {
            return;
        }
        let now = self.clock.now();
        let known = self.shared.read(|state| {
            let records = state.servers.values().map(|record| &record.announcement);
            let starts = records.map(|a| (a.id.clone(), a.born));
            starts.collect::<Vec<_>>()
        });
        let silent: Vec<_> = {
            let table = self.table();
            let is_silent = |id: &String| {
                let last = table.alive.get(id).copied().unwrap_or_default();
                now.since(last) >= FORGET_MS
            };
            known.into_iter().filter(|(id, _)| is_silent(id)).collect()
        };
        if silent.is_empty() {
            return;
        }
        let ids: Vec<_> = silent.iter().map(|(id, _)| id.as_str()).collect();
        slog::info!(self.log, "silent servers forgotten"; "servers" => ids.join(","));
        // A lost command is sent again at the next round.
        drop(self.propose(&state::Command::Forget(silent.clone())).await);
    }
}

//! Starts a coordinator and runs its rounds.

use crate::{calls, gossip, machine, metrics, operations, repair};
use nutmegdale_base::clock;
use nutmegdale_consensus::{config as timing, status};
use nutmegdale_control::groups;
use nutmegdale_registry::config;
use nutmegdale_rpc::{client, listen, message, server};
use nutmegdale_settings::model;
use nutmegdale_telemetry::limiter;
use std::collections;
use std::io;
use std::net;
use std::path;
use std::sync;
use std::time;
use tokio::sync::watch;

/// Name of the group that replicates the registry.
const GROUP: &str = "registry";
/// Time between two rounds of gossip.
const ROUND_MS: u64 = 500;
/// Longest time of one message of gossip.
const GOSSIP_MS: clock::Millis = clock::Millis(1_000);
/// Shortest time without a leader before an election. Followers that lost their leader say so
/// within twice this time, which has to leave room for their entry processes to ask elsewhere.
const ELECTION_MS: clock::Millis = clock::Millis(800);
/// Shortest time after a start before an election: a few times the way between regions, so that
/// one candidate wins before the next one asks.
const START_MS: clock::Millis = clock::Millis(150);
/// Time between two heartbeats of the leader.
const HEARTBEAT_MS: clock::Millis = clock::Millis(200);
/// Time that a stopping coordinator waits for calls to end.
const DRAIN_MS: clock::Millis = clock::Millis(1_000);

/// Settings of a coordinator.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Address for messages between processes.
    pub listen: net::SocketAddr,
    /// Address at which a front end listens to operators and servers.
    pub public: net::SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Folder of the durable state.
    pub data: path::PathBuf,
    /// Coordinators of the first group, in the same order in every process.
    pub first_members: Vec<net::SocketAddr>,
    /// Whether the system starts for the first time.
    pub is_first_start: bool,
    /// Voters that the group is meant to have.
    pub voters_wanted_count: usize,
    /// Secret that the system's processes show each other.
    pub cluster_token: String,
}

/// Coordinator that runs.
#[allow(missing_debug_implementations)] // Holds trait objects.
pub struct Coordinator {
    /// What callers may ask.
    pub operations: sync::Arc<operations::Operations>,
    host: sync::Arc<groups::Host>,
    settings: Settings,
    /// Other addresses to try, from the settings, which may change.
    seeds: watch::Receiver<Vec<net::SocketAddr>>,
}

impl Coordinator {
    /// Recovers this process's replica and starts its thread. Must run inside the runtime.
    ///
    /// # Errors
    ///
    /// Fails if the data folder is damaged or cannot be used.
    pub fn start(
        settings: Settings,
        seeds: watch::Receiver<Vec<net::SocketAddr>>,
        codec: sync::Arc<dyn config::Codec>,
        clock: sync::Arc<dyn clock::Clock>,
        log: slog::Logger,
    ) -> io::Result<Coordinator> {
        if settings.is_first_start && !groups::prepare_group(&settings.data, GROUP)? {
            slog::warn!(log, "data folder holds a replica already");
        }
        let (process, control) = models(&settings);
        let timing = timing::Config {
            election_ms: ELECTION_MS,
            start_ms: START_MS,
            heartbeat_ms: HEARTBEAT_MS,
            ..timing::Config::default()
        };
        let host = groups::Host::with_timing(
            &process,
            &control,
            timing,
            sync::Arc::clone(&clock),
            log.clone(),
        );
        let shared = machine::Shared::new(sync::Arc::clone(&clock));
        let replica = Box::new(machine::Machine::new(sync::Arc::clone(&shared)));
        let handle = groups::start(&host, GROUP, &control.members, replica)?;
        let operations = operations::Operations {
            shared,
            handle,
            client: sync::Arc::new(client::Client::new(&settings.cluster_token)),
            codec,
            clock,
            table: sync::Mutex::default(),
            log,
            lines: limiter::Limiter::new(operations::LINES_PER_SECOND),
            metrics: metrics::Metrics::new(),
        };
        Ok(Coordinator {
            operations: sync::Arc::new(operations),
            host,
            settings,
            seeds,
        })
    }

    /// Serves other processes until `stop` turns true.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if the address cannot be bound, and an error if
    /// the replica stopped or was removed, after which the process has to be started again.
    pub async fn run(self, stop: watch::Receiver<bool>) -> io::Result<()> {
        let listener = listen::bind(self.settings.listen).await?;
        let calls = calls::Calls {
            host: sync::Arc::clone(&self.host),
            operations: sync::Arc::clone(&self.operations),
        };
        let token = &self.settings.cluster_token;
        let service = sync::Arc::new(server::CallService::new(token, sync::Arc::new(calls)));
        let bounds = listen::Bounds::default();
        let serve = listen::serve(listener, service, bounds, stop.clone(), DRAIN_MS);
        let mut stopped = stop;
        let stop_group = async {
            // The sender lives as long as the process.
            drop(stopped.wait_for(|is_stopping| *is_stopping).await);
            self.host.stop().await;
        };
        tokio::select! {
            ended = self.rounds() => ended,
            _ = async { tokio::join!(serve, stop_group) } => Ok(()),
        }
    }

    async fn rounds(&self) -> io::Result<()> {
        let mut repair = repair::Repair::default();
        let mut leads_since = None;
        let mut round = tokio::time::interval(time::Duration::from_millis(ROUND_MS));
        round.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            round.tick().await;
            let now = self.operations.clock.now();
            let status = self.operations.handle.status();
            if status.role == status::Role::Stopped {
                return Err(io::Error::other("the replica of the registry stopped"));
            }
            if self.was_removed(&status, now) {
                self.erase()?;
                return Err(io::Error::other("the replica was removed from its group"));
            }
            self.gossip(&status, now);
            self.measure(&status, now);
            let is_leader = status.role == status::Role::Leader;
            leads_since = is_leader.then(|| leads_since.unwrap_or(now));
            if let Some(since) = leads_since {
                self.repair(&mut repair, &status, now).await;
                self.operations.forget_silent(now.since(since)).await;
            }
        }
    }

    fn measure(&self, status: &status::Status, now: clock::Millis) {
        let metrics = &self.operations.metrics;
        metrics
            .is_leader
            .set(i64::from(status.role == status::Role::Leader));
        metrics
            .applied
            .set(i64::try_from(status.applied.0).unwrap_or(i64::MAX));
        let mut table = self.operations.table();
        table.entries.sweep(now);
        let entries = table.entries.ready(now).len();
        metrics.entries.set(entries as i64);
    }

    fn sender(&self, status: &status::Status) -> gossip::Sender {
        let is_leader = status.role == status::Role::Leader;
        gossip::Sender {
            address: self.settings.listen,
            public: self.settings.public,
            zone: self.settings.zone.clone(),
            replica: status.id,
            is_blank: status.role == status::Role::Blank,
            leads: is_leader.then(|| gossip::Group {
                term: status.term,
                commit: status.commit,
                members: status.members.members.iter().map(|m| m.id).collect(),
            }),
        }
    }

    fn gossip(&self, status: &status::Status, now: clock::Millis) {
        let sender = self.sender(status);
        let members = status.members.members.iter().map(|m| m.address);
        let mut targets: collections::BTreeSet<_> = members.collect();
        targets.extend(self.seeds.borrow().iter());
        let message = {
            let mut table = self.operations.table();
            targets.extend(table.peers.live(now).map(|peer| peer.address));
            targets.extend(table.named.iter());
            table.peers.note(now, sender.clone());
            gossip::Message {
                sender,
                entries: table.entries.own(now),
                announced: std::mem::take(&mut table.announced).into_iter().collect(),
            }
        };
        targets.remove(&self.settings.listen);
        let message = sync::Arc::new(message);
        for target in targets {
            let operations = sync::Arc::clone(&self.operations);
            let message = sync::Arc::clone(&message);
            tokio::spawn(async move {
                let call = operations
                    .client
                    .call(target, calls::GOSSIP, &*message, GOSSIP_MS);
                let reply: nutmegdale_rpc::error::Result<gossip::Reply> = call.await;
                // A process that does not answer is asked again in the next round.
                if let Ok(reply) = reply {
                    operations.table().named.extend(reply.known);
                } else {
                    operations.table().named.remove(&target);
                }
            });
        }
    }

    async fn repair(
        &self,
        repair: &mut repair::Repair,
        status: &status::Status,
        now: clock::Millis,
    ) {
        let heard = self.operations.table().peers.heard(now);
        let wanted = self.settings.voters_wanted_count;
        let Some(change) = repair.next(now, status, &heard, wanted) else {
            return;
        };
        self.operations.metrics.repairs.inc();
        let reply = self.host.change_member(GROUP, change).await;
        let is_done = matches!(reply, message::MemberChangeReply::Done { .. });
        slog::info!(self.operations.log, "members of the group change"; "change" => ?change,
            "term" => status.term.0, "done" => is_done, "outcome" => ?reply);
    }

    fn was_removed(&self, status: &status::Status, now: clock::Millis) -> bool {
        if status.role == status::Role::Blank {
            return false;
        }
        let table = self.operations.table();
        let mut groups = table.peers.live(now).filter_map(|peer| peer.leads.as_ref());
        groups.any(|group| group.has_removed(status.id, status.term, status.last))
    }

    /// Removes the folder of a replica that was removed from its group, so that the next start is
    /// a new replica.
    fn erase(&self) -> io::Result<()> {
        let folder = self.settings.data.join(GROUP);
        slog::warn!(
            self.operations.log,
            "replica was removed from its group and starts anew"
        );
        std::fs::remove_dir_all(folder)
    }
}

impl operations::Operations {
    /// Takes a message of another coordinator.
    pub(crate) fn hear(&self, message: gossip::Message) -> gossip::Reply {
        let now = self.clock.now();
        let mut table = self.table();
        table.entries.merge(now, &message.entries);
        for id in message.announced {
            table.alive.insert(id, now);
        }
        table.peers.note(now, message.sender);
        let known = table.peers.live(now).map(|peer| peer.address);
        gossip::Reply {
            known: known.collect(),
        }
    }
}

/// Returns the settings in the form that the replicated groups take. Processes are named by their
/// addresses, since that is all that the first members know of each other.
fn models(settings: &Settings) -> (model::Process, model::Control) {
    let process = model::Process {
        name: settings.listen.to_string(),
        zone: settings.zone.clone(),
        region: String::new(),
        cluster_token: settings.cluster_token.clone(),
        threads: 1,
        log_level: String::new(),
    };
    let member = |address: &net::SocketAddr| model::Member {
        name: address.to_string(),
        region: String::new(),
        address: *address,
    };
    let control = model::Control {
        listen: settings.listen,
        admin: settings.public,
        data: settings.data.clone(),
        members: settings.first_members.iter().map(member).collect(),
        operators: Vec::new(),
    };
    (process, control)
}

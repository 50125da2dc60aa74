//! Startup and main loop of a coordinator.

use crate::{calls, machine, metrics, operations, quota, rollouts, rounds};
use nutmegdale_base::clock;
use nutmegdale_consensus::config as timing;
use nutmegdale_control::groups;
use nutmegdale_quota::gate;
use nutmegdale_registry::config;
use nutmegdale_rollout::bound;
use nutmegdale_rpc::{listen, server};
use nutmegdale_settings::model;
use nutmegdale_storage::disk;
use nutmegdale_telemetry::limiter;
use std::io;
use std::net;
use std::path;
use std::sync;
use tokio::sync::watch;

/// Name of the group that replicates the registry.
pub(crate) const GROUP: &str = "registry";
/// Minimum election timeout. A follower that lost its leader reports this to its entry processes
/// within twice this time, which has to leave them time to sync with another coordinator.
const ELECTION_MS: clock::Millis = clock::Millis(800);
/// Minimum election timeout while no leader is known, as after a start: a few times the latency
/// between regions, so that one candidate wins before the next one asks for votes.
const LEADERLESS_ELECTION_MS: clock::Millis = clock::Millis(150);
/// Interval of the leader's heartbeats.
const HEARTBEAT_MS: clock::Millis = clock::Millis(200);
/// Time that a stopping coordinator waits for calls in flight.
const DRAIN_MS: clock::Millis = clock::Millis(1_000);

/// Settings of a coordinator.
#[derive(Debug, Clone)]
pub struct Settings {
    /// Address for messages between processes.
    pub listen: net::SocketAddr,
    /// Address at which a front end listens to operators and servers.
    pub public: net::SocketAddr,
    /// Name of the availability zone that the process runs in.
    pub zone: String,
    /// Folder of the durable state.
    pub data: path::PathBuf,
    /// Members of the bootstrapped group, in the same order in every process.
    pub first_members: Vec<net::SocketAddr>,
    /// Whether to bootstrap the group, as at the first start of the system.
    pub is_first_start: bool,
    /// Number of voters that the group should have.
    pub target_voters_count: usize,
    /// Shared secret by which the system's processes authenticate to each other.
    pub cluster_token: String,
    /// Bound on the limits of accounts, if the deployment has them.
    pub quotas: Option<gate::Bound>,
    /// Bounds on rollouts; `None` if the deployment has none.
    pub rollouts: Option<bound::Bound>,
}

/// Dependencies of a coordinator that its caller provides.
#[allow(missing_debug_implementations)] // Holds trait objects.
pub struct Dependencies {
    /// Decoder of configuration documents.
    pub codec: sync::Arc<dyn config::Codec>,
    /// Folder of the durable state.
    pub data: Box<dyn disk::DataFolder>,
    /// Clock of the process.
    pub clock: sync::Arc<dyn clock::Clock>,
    /// Logger of the process.
    pub log: slog::Logger,
}

/// Running coordinator.
#[allow(missing_debug_implementations)] // Holds trait objects.
pub struct Coordinator {
    /// Operations for front ends to serve.
    pub operations: sync::Arc<operations::Operations>,
    host: sync::Arc<groups::Host>,
    settings: Settings,
    /// Addresses of coordinators to gossip with, from the settings, which may change.
    seeds: watch::Receiver<Vec<net::SocketAddr>>,
}

impl Coordinator {
    /// Recovers the replica of this process and starts its thread. Must be called within a tokio
    /// runtime.
    ///
    /// # Errors
    ///
    /// Fails if the data folder is corrupt or cannot be read or written.
    pub fn start(
        settings: Settings,
        seeds: watch::Receiver<Vec<net::SocketAddr>>,
        deps: Dependencies,
    ) -> io::Result<Coordinator> {
        let Dependencies {
            codec,
            data,
            clock,
            log,
        } = deps;
        if settings.is_first_start && !groups::prepare_group(data.as_ref(), GROUP)? {
            slog::warn!(log, "bootstrap skipped: the data folder holds a replica");
        }
        let (process, control) = group_settings(&settings);
        let timing = timing::Config {
            election_ms: ELECTION_MS,
            leaderless_election_ms: LEADERLESS_ELECTION_MS,
            heartbeat_ms: HEARTBEAT_MS,
            ..timing::Config::default()
        };
        let host = groups::Host::with_timing(
            &process,
            &control,
            timing,
            data,
            sync::Arc::clone(&clock),
            log.clone(),
        );
        let shared = machine::Shared::new(sync::Arc::clone(&clock));
        let replica = Box::new(machine::Machine::new(sync::Arc::clone(&shared)));
        let handle = groups::start(&host, GROUP, &control.members, replica)?;
        let operations = operations::Operations {
            shared,
            handle,
            client: sync::Arc::clone(host.client()),
            codec,
            clock,
            soft_state: sync::Mutex::default(),
            quota: settings
                .quotas
                .map(|bound| quota::Quota::new(settings.listen, &bound)),
            rollouts: rollouts::Rollouts::new(settings.rollouts),
            log,
            announcement_lines: limiter::Limiter::new(operations::ANNOUNCEMENT_LINES_PER_SECOND),
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
        let rounds = sync::Arc::new(rounds::Rounds {
            operations: sync::Arc::clone(&self.operations),
            host: sync::Arc::clone(&self.host),
            settings: self.settings.clone(),
            seeds: self.seeds.clone(),
        });
        let handler = calls::CallHandler {
            host: sync::Arc::clone(&self.host),
            operations: sync::Arc::clone(&self.operations),
            rounds: sync::Arc::clone(&rounds),
        };
        let token = &self.settings.cluster_token;
        let service = sync::Arc::new(server::CallService::new(token, sync::Arc::new(handler)));
        let bounds = listen::Bounds::default();
        let serve = listen::serve(listener, service, bounds, stop.clone(), DRAIN_MS);
        let mut stopped = stop;
        let stop_group = async {
            // An error would mean that the sender was dropped, but it lives as long as the process.
            drop(stopped.wait_for(|is_stopping| *is_stopping).await);
            self.host.stop().await;
        };
        let rollouts = async {
            match self.operations.has_rollouts() {
                true => self.operations.run_rollouts().await,
                false => std::future::pending().await,
            }
        };
        tokio::select! {
            ended = rounds.run() => ended,
            () = self.operations.run_quota() => Ok(()),
            () = rollouts => Ok(()),
            _ = async { tokio::join!(serve, stop_group) } => Ok(()),
        }
    }
}

/// Converts the settings to those of the replicated groups. Processes are named by their
/// addresses, since that is all that the members know of each other at bootstrap.
fn group_settings(settings: &Settings) -> (model::Process, model::Control) {
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

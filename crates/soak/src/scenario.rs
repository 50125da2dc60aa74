//! Runs the scenario of one seed: starts a cluster, injects the planned faults under load and
//! checks the guarantees.

use crate::{caller, check, ledger, operator, plan, process, server, wire};
use nutmegdale_testkit::{addresses, link};
use std::io;
use std::net;
use std::path;
use std::sync;
use std::time;
use tokio::sync::{mpsc, watch};
use tokio::task;

/// Time limit for the first configuration to be accepted and served after the programs start.
const BOOTSTRAP_MAX_MS: u64 = 20_000;
/// Time after the last fault within which the system has to serve again.
const RECOVERY_MAX_MS: u64 = 15_000;
/// Time after the recovery for which the share of served requests is measured.
const MEASURE_MS: u64 = 2_000;
/// Smallest share of requests that must be served after the recovery, in percent.
const SERVED_MIN_PERCENT: usize = 90;
/// Number of callers in each zone.
const CALLERS_PER_ZONE: usize = 4;
/// Name of the service that all servers provide.
const SERVICE: &str = "registry-reads";

/// Result of a scenario.
#[derive(Debug)]
pub struct Verdict {
    /// Descriptions of the violated guarantees; empty if all hold.
    pub violations: Vec<String>,
    /// Attempts of the callers by outcome.
    pub counts: check::Counts,
    /// Steps of the plan.
    pub steps: Vec<plan::Step>,
}

/// Backend server and the link through which it is reached.
pub(crate) struct Backend {
    pub(crate) server: server::Server,
    pub(crate) link: link::Link,
    pub(crate) listen: net::SocketAddr,
    pub(crate) announced: net::SocketAddr,
}

/// Running processes, servers and shared state of a scenario.
pub(crate) struct Scenario {
    pub(crate) wire: sync::Arc<dyn wire::Wire>,
    pub(crate) ledger: sync::Arc<ledger::Ledger>,
    pub(crate) control: Vec<process::SharedProcess>,
    pub(crate) entry: Vec<process::SharedProcess>,
    pub(crate) backends: tokio::sync::Mutex<Vec<Backend>>,
    pub(crate) operator: operator::Operator,
    pub(crate) addresses: sync::Mutex<addresses::Addresses>,
    pub(crate) servers_started_count: sync::atomic::AtomicUsize,
    pub(crate) zones: Vec<String>,
    seed: u64,
    crashed: mpsc::UnboundedSender<String>,
    /// Callers, which end when `stop` turns true.
    callers: tokio::sync::Mutex<task::JoinSet<()>>,
    stop: watch::Sender<bool>,
}

/// Runs the scenario of `seed` with the program `binary`; settings, data and logs are written to
/// `folder`.
///
/// # Errors
///
/// Returns the error of the operating system if a process or a server cannot be started.
pub async fn run(
    seed: u64,
    size: plan::Size,
    wire: sync::Arc<dyn wire::Wire>,
    binary: &path::Path,
    folder: &path::Path,
) -> io::Result<Verdict> {
    let steps = plan::draw(seed, size);
    let (crashed, crashes) = mpsc::unbounded_channel();
    let scenario = Scenario::start(seed, size, wire, binary, folder, crashed).await?;
    let scenario = sync::Arc::new(scenario);
    let replacing = sync::Arc::clone(&scenario);
    let replacing = tokio::spawn(replacing.replace_crashed(crashes));
    let bootstrapped = tokio::time::timeout(millis(BOOTSTRAP_MAX_MS), scenario.bootstrap()).await;
    if bootstrapped.is_err() {
        let text = format!("no configuration was accepted and served within {BOOTSTRAP_MAX_MS} ms");
        scenario.ledger.record_violation(text);
    }
    scenario.start_callers().await;
    scenario.clone().play_steps(&steps).await;
    tokio::time::sleep(millis(RECOVERY_MAX_MS)).await;
    let recovered_at = time::Instant::now();
    tokio::time::sleep(millis(MEASURE_MS)).await;
    scenario.stop.send_replace(true);
    while scenario.callers.lock().await.join_next().await.is_some() {}
    replacing.abort();
    if scenario.operator.read().await == 0 {
        scenario
            .ledger
            .record_violation("no control process answers a read of the configuration".to_owned());
    }
    let (mut violations, counts) = check::check(&scenario.ledger.observations());
    violations.extend(scenario.check_recovery(recovered_at));
    Ok(Verdict {
        violations,
        counts,
        steps,
    })
}

/// Returns a duration of `ms` milliseconds.
pub(crate) fn millis(ms: u64) -> time::Duration {
    time::Duration::from_millis(ms)
}

impl Scenario {
    async fn start(
        seed: u64,
        size: plan::Size,
        wire: sync::Arc<dyn wire::Wire>,
        binary: &path::Path,
        folder: &path::Path,
        crashed: mpsc::UnboundedSender<String>,
    ) -> io::Result<Scenario> {
        let mut addresses = addresses::Addresses::reserve();
        let zones: Vec<_> = (0..size.zones).map(|n| format!("zone-{n}")).collect();
        let ips: Vec<_> = (0..size.control).map(|_| addresses.next_ip()).collect();
        let program = |name: String, role, ip, n: usize| {
            let program = wire::Program {
                data: folder.join(&name),
                name,
                role,
                ip,
                zone: zones[n % zones.len()].clone(),
                is_first_start: true,
                seeds: ips.clone(),
                zones: zones.clone(),
            };
            let process = process::Process::new(program, binary, folder);
            sync::Arc::new(sync::Mutex::new(process))
        };
        let control: Vec<_> = (0..size.control)
            .map(|n| program(format!("control-{n}"), wire::Role::Control, ips[n], n))
            .collect();
        let entry: Vec<_> = (0..size.entry)
            .map(|n| {
                let ip = addresses.next_ip();
                program(format!("entry-{n}"), wire::Role::Entry, ip, n)
            })
            .collect();
        for process in control.iter().chain(&entry) {
            process::lock(process).start(&*wire)?;
        }
        let control_addresses: Vec<_> = ips.iter().map(|ip| wire.control_address(*ip)).collect();
        let ledger = sync::Arc::new(ledger::Ledger::default());
        let operator = operator::Operator::new(
            seed,
            control_addresses,
            sync::Arc::clone(&ledger),
            sync::Arc::clone(&wire),
        );
        let scenario = Scenario {
            wire,
            ledger,
            control,
            entry,
            backends: tokio::sync::Mutex::new(Vec::new()),
            operator,
            addresses: sync::Mutex::new(addresses),
            servers_started_count: sync::atomic::AtomicUsize::new(0),
            zones,
            seed,
            crashed,
            callers: tokio::sync::Mutex::default(),
            stop: watch::channel(false).0,
        };
        for n in 0..size.servers {
            let backend = scenario.start_backend(n).await?;
            scenario.backends.lock().await.push(backend);
        }
        Ok(scenario)
    }

    fn next_address(&self) -> net::SocketAddr {
        let mut addresses = self
            .addresses
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        addresses.next_address()
    }

    /// Starts a new server behind a new link for the backend at index `n`.
    pub(crate) async fn start_backend(&self, n: usize) -> io::Result<Backend> {
        let (listen, announced) = (self.next_address(), self.next_address());
        let order = sync::atomic::Ordering::Relaxed;
        let number = self.servers_started_count.fetch_add(1, order);
        let spec = server::Spec {
            id: format!("server-{n}-{number}"),
            listen,
            announced,
            zone: self.zones[n % self.zones.len()].clone(),
            service: SERVICE,
            control: self.control_addresses(),
            crashed: self.crashed.clone(),
            ledger: sync::Arc::clone(&self.ledger),
            wire: sync::Arc::clone(&self.wire),
        };
        Ok(Backend {
            server: server::Server::start(spec).await?,
            link: link::Link::start(announced, listen, link::State::default()).await?,
            listen,
            announced,
        })
    }

    pub(crate) fn control_addresses(&self) -> Vec<net::SocketAddr> {
        let ip = |process: &process::SharedProcess| process::lock(process).program.ip;
        let ips = self.control.iter().map(ip);
        ips.map(|ip| self.wire.control_address(ip)).collect()
    }

    /// Applies the first configuration and waits until the directory lists an entry process.
    async fn bootstrap(&self) {
        while !self.operator.configure().await {}
        let ip = process::lock(&self.entry[0]).program.ip;
        let message = self.wire.resolve(&self.zones[0]);
        let directory = self.wire.directory_address(ip);
        loop {
            let answer = server::send(directory, &message, 500).await;
            let addresses_count =
                answer.map_or(0, |answer| self.wire.parse_addresses(&answer.body).len());
            if addresses_count >= 1 {
                return;
            }
            tokio::time::sleep(millis(50)).await;
        }
    }

    async fn start_callers(&self) {
        let mut callers = self.callers.lock().await;
        for number in 0..self.callers_count() {
            callers.spawn(caller::run(self.caller(number), self.stop.subscribe()));
        }
    }

    /// Starts a caller whose request crashes the servers that run it.
    pub(crate) async fn start_crashing_caller(&self) {
        let spec = self.caller(self.callers_count());
        let sending = caller::run_crashing(spec, self.stop.subscribe());
        self.callers.lock().await.spawn(sending);
    }

    fn callers_count(&self) -> usize {
        CALLERS_PER_ZONE * self.zones.len()
    }

    /// Returns the parameters of the caller with a number.
    fn caller(&self, number: usize) -> caller::Spec {
        let processes = self.entry.iter();
        let ips: Vec<_> = processes.map(|p| process::lock(p).program.ip).collect();
        let addresses = ips.iter().map(|ip| self.wire.entry_address(*ip));
        let entries = addresses.enumerate().map(|(n, address)| (address, n));
        let zone = number % self.zones.len();
        let nearest = ips.iter().cycle().skip(zone).take(ips.len().min(3));
        caller::Spec {
            number,
            seed: self.seed,
            zone: self.zones[zone].clone(),
            directories: nearest.map(|ip| self.wire.directory_address(*ip)).collect(),
            entries: entries.collect(),
            ledger: sync::Arc::clone(&self.ledger),
            wire: sync::Arc::clone(&self.wire),
        }
    }

    /// Starts each step of the plan at its time and waits until all have ended; steps may overlap.
    async fn play_steps(self: sync::Arc<Scenario>, steps: &[plan::Step]) {
        let started_at = time::Instant::now();
        let mut running = task::JoinSet::new();
        for step in steps {
            tokio::time::sleep_until((started_at + millis(step.at_ms)).into()).await;
            let scenario = sync::Arc::clone(&self);
            let action = step.action;
            running.spawn(async move {
                if let Err(err) = scenario.apply(action).await {
                    scenario
                        .ledger
                        .record_violation(format!("{action:?} failed: {err}"));
                }
            });
        }
        while running.join_next().await.is_some() {}
    }

    /// Returns a violation if too few of the requests sent after `recovered_at` were served.
    fn check_recovery(&self, recovered_at: time::Instant) -> Option<String> {
        let observations = self.ledger.observations();
        let attempts = observations
            .attempts
            .values()
            .filter(|attempt| attempt.at >= recovered_at && !attempt.is_crashing);
        let attempts: Vec<_> = attempts.collect();
        let is_served = |attempt: &&&ledger::Attempt| {
            let outcome = attempt.outcome.as_ref().map(|(_, outcome)| outcome);
            matches!(outcome, Some(ledger::Outcome::Answered { status: 200, .. }))
        };
        let served = attempts.iter().filter(is_served).count();
        let is_enough = !attempts.is_empty() && served * 100 >= attempts.len() * SERVED_MIN_PERCENT;
        (!is_enough).then(|| {
            let total = attempts.len();
            format!("only {served} of {total} requests were served after the recovery time")
        })
    }
}

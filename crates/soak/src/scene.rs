//! One seed from start to verdict.

use crate::{caller, check, ledger, operator, plan, process, server, wire};
use nutmegdale_testkit::{addresses, link};
use std::collections;
use std::io;
use std::net;
use std::path;
use std::sync;
use std::time;
use tokio::sync::watch;
use tokio::task;

/// Time for the first configuration to be accepted after the programs are started.
const FORMED_MS: u64 = 20_000;
/// Time after the last fault by which the system has to serve again.
const RECOVERY_MS: u64 = 15_000;
/// Time for which service is measured after that.
const AFTER_MS: u64 = 2_000;
/// Share of requests that have to be served by then, in percent.
const SERVED_PERCENT: usize = 90;
/// Callers in each zone.
const CALLERS_PER_ZONE: usize = 4;
/// Service of the scene.
const SERVICE: &str = "registry-reads";

/// Verdict on a seed.
#[derive(Debug)]
pub struct Verdict {
    /// Broken promises, in words.
    pub broken: Vec<String>,
    /// Counts.
    pub counts: check::Counts,
    /// Steps that were played.
    pub steps: Vec<plan::Step>,
}

/// What a server is behind.
pub(crate) struct Place {
    pub(crate) server: server::Server,
    pub(crate) link: link::Link,
    pub(crate) listen: net::SocketAddr,
    pub(crate) announced: net::SocketAddr,
}

/// Running scene.
pub(crate) struct Scene {
    pub(crate) wire: sync::Arc<dyn wire::Wire>,
    pub(crate) ledger: sync::Arc<ledger::Ledger>,
    pub(crate) control: Vec<process::Shared>,
    pub(crate) entry: Vec<process::Shared>,
    pub(crate) places: tokio::sync::Mutex<Vec<Place>>,
    pub(crate) operator: operator::Operator,
    pub(crate) addresses: sync::Mutex<addresses::Addresses>,
    pub(crate) started_count: sync::atomic::AtomicUsize,
    pub(crate) zones: Vec<String>,
}

/// Plays a seed with the program `binary`; settings, data and logs go to `folder`.
///
/// # Errors
///
/// Returns the error of the operating system if something cannot be started.
pub async fn play(
    seed: u64,
    size: plan::Size,
    wire: sync::Arc<dyn wire::Wire>,
    binary: &path::Path,
    folder: &path::Path,
) -> io::Result<Verdict> {
    let steps = plan::draw(seed, size);
    let scene = sync::Arc::new(Scene::start(seed, size, wire, binary, folder).await?);
    let formed = tokio::time::timeout(span(FORMED_MS), scene.form()).await;
    if formed.is_err() {
        let text = format!("no configuration was accepted within {FORMED_MS} ms");
        scene.ledger.broken(text);
    }
    let (stop, stopped) = watch::channel(false);
    let mut callers = scene.callers(seed, &stopped);
    scene.clone().disturb(&steps).await;
    tokio::time::sleep(span(RECOVERY_MS)).await;
    let calm = time::Instant::now();
    tokio::time::sleep(span(AFTER_MS)).await;
    stop.send_replace(true);
    while callers.join_next().await.is_some() {}
    if scene.operator.read().await == 0 {
        scene
            .ledger
            .broken("no configuration can be read".to_owned());
    }
    let (mut broken, counts) = check::check(&scene.ledger.seen());
    broken.extend(scene.unserved(calm));
    Ok(Verdict {
        broken,
        counts,
        steps,
    })
}

/// Returns a span of milliseconds.
pub(crate) fn span(ms: u64) -> time::Duration {
    time::Duration::from_millis(ms)
}

impl Scene {
    async fn start(
        seed: u64,
        size: plan::Size,
        wire: sync::Arc<dyn wire::Wire>,
        binary: &path::Path,
        folder: &path::Path,
    ) -> io::Result<Scene> {
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
        let control_addresses: Vec<_> = ips.iter().map(|ip| wire.control(*ip)).collect();
        let ledger = sync::Arc::new(ledger::Ledger::default());
        let operator = operator::Operator::new(
            seed,
            control_addresses,
            sync::Arc::clone(&ledger),
            sync::Arc::clone(&wire),
        );
        let scene = Scene {
            wire,
            ledger,
            control,
            entry,
            places: tokio::sync::Mutex::new(Vec::new()),
            operator,
            addresses: sync::Mutex::new(addresses),
            started_count: sync::atomic::AtomicUsize::new(0),
            zones,
        };
        for n in 0..size.servers {
            let place = scene.server(n).await?;
            scene.places.lock().await.push(place);
        }
        Ok(scene)
    }

    fn next_address(&self) -> net::SocketAddr {
        let mut addresses = self
            .addresses
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        addresses.next_address()
    }

    /// Starts a new server behind a new link.
    pub(crate) async fn server(&self, n: usize) -> io::Result<Place> {
        let (listen, announced) = (self.next_address(), self.next_address());
        let order = sync::atomic::Ordering::Relaxed;
        let number = self.started_count.fetch_add(1, order);
        let spec = server::Spec {
            id: format!("server-{n}-{number}"),
            listen,
            announced,
            zone: self.zones[n % self.zones.len()].clone(),
            service: SERVICE,
            control: self.control_addresses(),
            ledger: sync::Arc::clone(&self.ledger),
            wire: sync::Arc::clone(&self.wire),
        };
        Ok(Place {
            server: server::Server::start(spec).await?,
            link: link::Link::start(announced, listen, link::State::default()).await?,
            listen,
            announced,
        })
    }

    pub(crate) fn control_addresses(&self) -> Vec<net::SocketAddr> {
        let ip = |process: &process::Shared| process::lock(process).program.ip;
        let ips = self.control.iter().map(ip);
        ips.map(|ip| self.wire.control(ip)).collect()
    }

    /// Puts the first configuration in force and waits until a caller can be served.
    async fn form(&self) {
        while !self.operator.configure().await {}
        let ip = process::lock(&self.entry[0]).program.ip;
        let message = self.wire.resolve(&self.zones[0]);
        let directory = self.wire.directory(ip);
        loop {
            let answer = server::send(directory, &message, 500).await;
            let known = answer.map_or(0, |answer| self.wire.addresses(&answer.body).len());
            if known >= 1 {
                return;
            }
            tokio::time::sleep(span(50)).await;
        }
    }

    fn callers(&self, seed: u64, stop: &watch::Receiver<bool>) -> task::JoinSet<()> {
        let ips: Vec<_> = self
            .entry
            .iter()
            .map(|process| process::lock(process).program.ip)
            .collect();
        let entries: collections::HashMap<_, _> = ips
            .iter()
            .enumerate()
            .map(|(n, ip)| (self.wire.front(*ip), n))
            .collect();
        let mut callers = task::JoinSet::new();
        for number in 0..CALLERS_PER_ZONE * self.zones.len() {
            let zone = number % self.zones.len();
            let nearest = ips.iter().cycle().skip(zone).take(ips.len().min(3));
            let spec = caller::Spec {
                number,
                seed,
                zone: self.zones[zone].clone(),
                directories: nearest.map(|ip| self.wire.directory(*ip)).collect(),
                entries: entries.clone(),
                ledger: sync::Arc::clone(&self.ledger),
                wire: sync::Arc::clone(&self.wire),
            };
            callers.spawn(caller::run(spec, stop.clone()));
        }
        callers
    }

    /// Plays all steps; they may overlap.
    async fn disturb(self: sync::Arc<Scene>, steps: &[plan::Step]) {
        let begin = time::Instant::now();
        let mut running = task::JoinSet::new();
        for step in steps {
            tokio::time::sleep_until((begin + span(step.at_ms)).into()).await;
            let scene = sync::Arc::clone(&self);
            let action = step.action;
            running.spawn(async move {
                if let Err(err) = scene.act(action).await {
                    scene.ledger.broken(format!("{action:?} failed: {err}"));
                }
            });
        }
        while running.join_next().await.is_some() {}
    }

    /// Returns a broken promise if too little was served after `calm`.
    fn unserved(&self, calm: time::Instant) -> Option<String> {
        let seen = self.ledger.seen();
        let after = seen.attempts.values().filter(|attempt| attempt.at >= calm);
        let after: Vec<_> = after.collect();
        let is_served = |attempt: &&&ledger::Attempt| {
            let end = attempt.end.as_ref().map(|(_, end)| end);
            matches!(end, Some(ledger::End::Answered { status: 200, .. }))
        };
        let served = after.iter().filter(is_served).count();
        let is_enough = !after.is_empty() && served * 100 >= after.len() * SERVED_PERCENT;
        (!is_enough).then(|| {
            let all = after.len();
            format!("{served} of {all} requests are served long after the last fault")
        })
    }
}

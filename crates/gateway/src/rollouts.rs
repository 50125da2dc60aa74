//! Division of the requests of a service between servers of both versions during a rollout.
//!
//! Invariants: while the stage is `canary`, a server of the target version gets only first attempts
//! that the share of this process allows, and only while the copy of the registry was confirmed a
//! short time ago; once it is `promoting`, other servers get nothing. Both are tested again right
//! before a request is written.

use crate::{backend, metrics, state};
use arc_swap::ArcSwapOption;
use nutmegdale_base::{clock, digest};
use nutmegdale_registry::{config, follow, rollout};
use nutmegdale_rollout::{bound, evidence, plan, share, test};
use nutmegdale_telemetry::metrics as telemetry;
use std::collections;
use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

/// Age of the confirmation of the registry from which on no canary request is sent: the rollout may
/// have been rolled back.
const CONFIRMED_MAX_MS: clock::Millis = clock::Millis(2_500);
/// Longest wait of a request for the registry after this process was frozen.
const STALE_WAIT_MS: clock::Millis = clock::Millis(300);
/// Interval of the checks during the wait.
const STALE_POLL_MS: u64 = 10;
/// Time without further waits after one in vain.
const STALE_PAUSE_MS: clock::Millis = clock::Millis(5_000);
/// Interval of reports while requests in flight at old servers are awaited, and of checks whether a
/// rollout runs.
const REPORT_MS: u64 = 250;
/// Number of these intervals from one report to the next before the promotion.
const CANARY_INTERVALS_COUNT: u64 = 2;
/// Timeout of a report; the next one repeats all it says.
const REPORT_TIMEOUT_MS: clock::Millis = clock::Millis(400);

/// Part of a server in the rollout of its service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum Role {
    /// Gets requests without regard to its version.
    Usual = 0,
    /// Gets canary requests only.
    Canary = 1,
    /// Has the target version and gets no requests yet.
    Reserve = 2,
    /// Gets no more requests, since the traffic has moved to the target version.
    Retired = 3,
}

impl Role {
    /// Returns the role that was stored as a number.
    pub(crate) fn from_number(number: u8) -> Role {
        match number {
            1 => Role::Canary,
            2 => Role::Reserve,
            3 => Role::Retired,
            _ => Role::Usual,
        }
    }
}

/// Servers that an attempt may go to.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum Selection {
    /// Servers without a part in a rollout.
    #[default]
    Usual,
    /// Servers for canary requests.
    Canary,
    /// Servers of the target version whose part is not known any more: the time of the rollout has
    /// passed, no coordinator says how it ended, and an old server could not be reached.
    LastResort,
}

impl Selection {
    /// Returns whether a server with this role may get the attempt.
    pub fn admits(self, role: Role) -> bool {
        match self {
            Selection::Usual => role == Role::Usual,
            Selection::Canary => role == Role::Canary,
            Selection::LastResort => matches!(role, Role::Canary | Role::Reserve),
        }
    }
}

/// Returns whether the copy of the registry was confirmed so recently that its stage is in force.
fn is_confirmed(shared: &state::Shared) -> bool {
    let bound = shared.settings.features.rollouts;
    let half = bound.map_or(clock::Millis::ZERO, |bound| {
        clock::Millis(bound.rollback.0 / 2)
    });
    shared.confirmation_age() < CONFIRMED_MAX_MS.min(half)
}

/// Returns whether an attempt may be written to its server now.
pub fn may_send(shared: &state::Shared, backend: &backend::Backend, selection: Selection) -> bool {
    let is_known = selection != Selection::Canary || is_confirmed(shared);
    selection.admits(backend.role()) && is_known
}

/// Waits a short time for the registry if the stage of a rollout of the service may have changed
/// without this process, as after it was frozen: by the stage that it knows, it would send to
/// servers that are gone. After a wait in vain, requests go on without one for some seconds.
pub async fn wait_if_stale(shared: &state::Shared, service: &str) {
    if shared.settings.features.rollouts.is_none() || !may_be_over(shared, service) {
        return;
    }
    let started = shared.clock.now();
    let next = &shared.rollouts.next_wait_ms;
    if started.0 < next.load(atomic::Ordering::Acquire) {
        return;
    }
    while may_be_over(shared, service) {
        if shared.clock.now().since(started) >= STALE_WAIT_MS {
            let pause = shared.clock.now() + STALE_PAUSE_MS;
            next.fetch_max(pause.0, atomic::Ordering::AcqRel);
            return;
        }
        tokio::time::sleep(time::Duration::from_millis(STALE_POLL_MS)).await;
    }
}

/// Returns whether the traffic of a service may have moved without this process.
fn may_be_over(shared: &state::Shared, service: &str) -> bool {
    if is_confirmed(shared) {
        return false;
    }
    let table = shared.table.load();
    let mut services = table.services.iter();
    let service = services.find(|known| known.spec.name == service);
    let division = service.and_then(|service| service.rollout.as_ref());
    division.is_some_and(|division| {
        let earliest = clock::Millis(division.rollout.duration.0 / 2);
        let known_for = shared.clock.now().since(division.known_since);
        division.rollout.stage == plan::Stage::Canary && known_for >= earliest
    })
}

/// Evidence of one route.
#[derive(Debug, Default)]
pub struct RouteCells {
    old: evidence::Cells,
    new: evidence::Cells,
}

/// State of one rollout in this process, kept from one table to the next; clones share it.
#[derive(Debug, Clone)]
struct Progress {
    order: u64,
    share: sync::Arc<share::Share>,
    routes: collections::HashMap<String, sync::Arc<RouteCells>>,
    is_stopped: sync::Arc<atomic::AtomicBool>,
    test: sync::Arc<sync::Mutex<test::Test>>,
}

impl Progress {
    fn new<'a>(
        bound: &bound::Bound,
        order: u64,
        own_name: &str,
        entries: impl Iterator<Item = &'a str>,
    ) -> Progress {
        Progress {
            order,
            share: sync::Arc::new(share::Share::new(bound, order, own_name, entries)),
            routes: collections::HashMap::new(),
            is_stopped: sync::Arc::default(),
            test: sync::Arc::default(),
        }
    }
}

/// Division of one service, as of one table.
#[derive(Debug)]
pub struct Division {
    service: String,
    known_since: clock::Millis,
    rollout: rollout::Rollout,
    progress: sync::Arc<Progress>,
    /// Servers of other versions than the target.
    old: Vec<sync::Arc<backend::Backend>>,
}

/// Records what an attempt says about the version of its server.
#[derive(Debug, Clone)]
pub struct Observer {
    cells: sync::Arc<RouteCells>,
    is_new: bool,
    is_timed: bool,
}

impl Observer {
    fn record(&self, outcome: evidence::Outcome) {
        match self.is_new {
            true => self.cells.new.record(outcome),
            false => self.cells.old.record(outcome),
        }
    }

    /// Records an error or a broken response.
    pub fn record_failure(&self) {
        self.record(evidence::Outcome::Failed);
    }

    /// Records a valid response of a server whose VM reported a slowdown.
    pub fn record_served(&self, elapsed: clock::Millis, slowdown_percent: u32) {
        let slowdown_percent = self.is_timed.then_some(slowdown_percent);
        self.record(evidence::Outcome::Served {
            elapsed,
            slowdown_percent,
        });
    }

    /// Records an attempt that was given up after its response was due.
    pub fn record_abandoned(&self, elapsed: clock::Millis, slowdown_percent: u32) {
        let slowdown_percent = self.is_timed.then_some(slowdown_percent);
        self.record(evidence::Outcome::Abandoned {
            elapsed,
            slowdown_percent,
        });
    }
}

impl Division {
    /// Counts a request at its first attempt and returns the servers that an attempt may go to.
    pub fn select(&self, shared: &state::Shared, is_first: bool) -> Selection {
        if self.rollout.stage != plan::Stage::Canary {
            return Selection::Usual;
        }
        let now = shared.clock.now();
        let is_confirmed = is_confirmed(shared);
        if !is_first {
            let is_over = now.since(self.known_since) >= self.rollout.duration;
            return match is_over && !is_confirmed {
                true => Selection::LastResort,
                false => Selection::Usual,
            };
        }
        let is_stopped = self.progress.is_stopped.load(atomic::Ordering::Acquire);
        match is_confirmed && !is_stopped && self.progress.share.claim() {
            true => Selection::Canary,
            false => Selection::Usual,
        }
    }

    /// Takes back the claim of a canary request for which there was no server.
    pub fn release(&self, shared: &state::Shared) {
        self.progress.share.release();
        metrics::increment(&shared.rollouts.canaries_unsent);
    }

    /// Returns the recorder of an attempt of the route at a server.
    pub fn observer(
        &self,
        route: &str,
        backend: &backend::Backend,
        now: clock::Millis,
    ) -> Option<Observer> {
        let cells = self.progress.routes.get(route)?;
        Some(Observer {
            cells: sync::Arc::clone(cells),
            is_new: backend.announcement.version == self.rollout.target,
            is_timed: !backend.is_cold(now),
        })
    }

    /// Returns this process's report on the service.
    pub fn report(&self) -> evidence::ServiceReport {
        let old_in_flight = self.old.iter().map(|backend| backend.signal.in_flight());
        let routes = self.progress.routes.iter().map(|(name, cells)| {
            let counts = evidence::Route {
                old: cells.old.counts(),
                new: cells.new.counts(),
            };
            (name.clone(), counts)
        });
        let is_busy = |(_, counts): &(String, evidence::Route)| {
            counts.old.total() > 0 || counts.new.total() > 0
        };
        evidence::ServiceReport {
            service: self.service.clone(),
            order: self.rollout.order,
            stage: self.rollout.stage,
            old_in_flight: old_in_flight.sum(),
            evidence: evidence::Evidence {
                routes: routes.filter(is_busy).collect(),
            },
        }
    }

    /// Stops canary requests if this process has seen enough on its own; returns the finding when
    /// it does.
    fn judge(&self, evidence: &evidence::Evidence) -> Option<test::Finding> {
        if self.rollout.stage != plan::Stage::Canary {
            return None;
        }
        let test = &self.progress.test;
        let mut test = test.lock().unwrap_or_else(sync::PoisonError::into_inner);
        test.step(evidence);
        let is_bad = test.verdict() == test::Verdict::Bad;
        let is_news = is_bad
            && !self
                .progress
                .is_stopped
                .swap(true, atomic::Ordering::AcqRel);
        is_news.then(|| test.finding()).flatten()
    }
}

/// State of the rollouts of a process that outlives tables.
#[derive(Debug, Default)]
pub struct State {
    /// Coordinator that the process follows.
    pub followed: ArcSwapOption<net::SocketAddr>,
    /// Canary requests that were sent.
    pub canaries: atomic::AtomicU64,
    /// Canary requests that were due and for which there was no server.
    pub canaries_unsent: atomic::AtomicU64,
    /// Rollouts in which this process stopped on its own evidence.
    pub own_stops: atomic::AtomicU64,
    reports: atomic::AtomicU64,
    /// Time before which no request waits for the registry, in milliseconds.
    next_wait_ms: atomic::AtomicU64,
}

impl State {
    /// Returns the metrics.
    pub fn samples(&self) -> [telemetry::Sample; 3] {
        let counter = |name, help, value: &atomic::AtomicU64| telemetry::Sample {
            name,
            help,
            kind: telemetry::Kind::Counter,
            value: value.load(atomic::Ordering::Relaxed),
        };
        [
            counter(
                "nutmegdale_rollout_canaries_total",
                "Canary requests that were sent.",
                &self.canaries,
            ),
            counter(
                "nutmegdale_rollout_canaries_unsent_total",
                "Canary requests that were due and for which there was no server.",
                &self.canaries_unsent,
            ),
            counter(
                "nutmegdale_rollout_own_stops_total",
                "Rollouts in which this process stopped canary requests on its own evidence.",
                &self.own_stops,
            ),
        ]
    }
}

/// Builds divisions and keeps the state of rollouts from one table to the next.
#[derive(Debug, Default)]
pub(crate) struct Divisions {
    progress: collections::HashMap<String, sync::Arc<Progress>>,
}

/// What divisions are built from.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Source<'a> {
    pub(crate) bound: Option<bound::Bound>,
    pub(crate) own_name: &'a str,
    pub(crate) copy: &'a follow::LocalCopy,
    pub(crate) config: Option<&'a config::Config>,
}

impl Divisions {
    /// Sets the roles of the servers of a service and returns its division while a rollout runs.
    /// `open` are those of `all` that accept requests.
    pub(crate) fn build(
        &mut self,
        source: Source<'_>,
        service: &str,
        open: &[sync::Arc<backend::Backend>],
        all: impl Iterator<Item = sync::Arc<backend::Backend>>,
    ) -> Option<sync::Arc<Division>> {
        let bound = source.bound?;
        let known = source.copy.rollouts.get(service);
        let known = known.filter(|(_, rollout)| rollout.stage.is_running());
        let Some((known_since, rollout)) = known else {
            self.progress.remove(service);
            for backend in open {
                backend.set_role(Role::Usual);
            }
            return None;
        };
        assign_roles(&bound, rollout, open);
        let progress = self.progress(source, &bound, service, rollout);
        let is_old = |backend: &sync::Arc<backend::Backend>| {
            let server = &backend.announcement;
            server.service == service && server.version != rollout.target
        };
        Some(sync::Arc::new(Division {
            service: service.to_owned(),
            known_since: *known_since,
            rollout: rollout.clone(),
            progress,
            old: all.filter(is_old).collect(),
        }))
    }

    /// Returns the state of a rollout with cells for all routes of the service.
    fn progress(
        &mut self,
        source: Source<'_>,
        bound: &bound::Bound,
        service: &str,
        rollout: &rollout::Rollout,
    ) -> sync::Arc<Progress> {
        let known = self.progress.remove(service);
        let known = known.filter(|known| known.order == rollout.order);
        let routes = source.config.map_or(&[][..], |config| &config.routes);
        let is_of_service = |route: &&config::Route| {
            let mut targets = route.targets.iter();
            targets.any(|target| target.service == service)
        };
        let names = routes.iter().filter(is_of_service).map(|route| &route.name);
        let progress = match known {
            Some(known) if names.clone().all(|name| known.routes.contains_key(name)) => known,
            known => {
                let mut progress = match known {
                    Some(known) => Progress::clone(&known),
                    None => {
                        let entries = source.copy.entries.iter();
                        let names = entries.map(|entry| entry.name.as_str());
                        Progress::new(bound, rollout.order, source.own_name, names)
                    }
                };
                for name in names {
                    progress.routes.entry(name.clone()).or_default();
                }
                sync::Arc::new(progress)
            }
        };
        self.progress
            .insert(service.to_owned(), sync::Arc::clone(&progress));
        progress
    }
}

/// Sets the roles of the servers that accept requests.
fn assign_roles(
    bound: &bound::Bound,
    rollout: &rollout::Rollout,
    open: &[sync::Arc<backend::Backend>],
) {
    let is_new =
        |backend: &sync::Arc<backend::Backend>| backend.announcement.version == rollout.target;
    let (new, old): (Vec<_>, Vec<_>) = open.iter().partition(|backend| is_new(backend));
    if new.is_empty() || old.is_empty() {
        // There is nothing to choose from.
        for backend in open {
            backend.set_role(Role::Usual);
        }
        return;
    }
    let (old_role, new_role) = match rollout.stage {
        plan::Stage::Promoting => (Role::Retired, Role::Usual),
        _ => (Role::Usual, Role::Reserve),
    };
    let canaries: collections::HashSet<&str> = match rollout.stage {
        plan::Stage::Canary => canary_ids(bound, rollout.order, &new),
        _ => collections::HashSet::new(),
    };
    for backend in old {
        backend.set_role(old_role);
    }
    for backend in new {
        backend.set_role(match canaries.contains(backend.id()) {
            true => Role::Canary,
            false => new_role,
        });
    }
}

/// Returns the servers for canary requests, the same in every process: as many as the share
/// warrants, spread over the zones, and one in each region, since routes may be bound to a region.
fn canary_ids<'a>(
    bound: &bound::Bound,
    order: u64,
    new: &[&'a sync::Arc<backend::Backend>],
) -> collections::HashSet<&'a str> {
    let mut by_zone = collections::BTreeMap::<&str, Vec<&sync::Arc<backend::Backend>>>::new();
    for backend in new {
        let zone = by_zone.entry(&backend.announcement.zone).or_default();
        zone.push(backend);
    }
    let hash = |backend: &backend::Backend| digest::of(&(backend.id(), order));
    let mut ranked = Vec::new();
    for zone in by_zone.values_mut() {
        zone.sort_by_key(|backend| hash(backend));
        let count = zone.len() as f64;
        let places = zone.iter().enumerate();
        ranked.extend(places.map(|(n, backend)| ((n as f64 + 0.5) / count, *backend)));
    }
    ranked.sort_by(|a, b| a.0.total_cmp(&b.0).then(hash(a.1).cmp(&hash(b.1))));
    let count = share::canary_servers_count(bound, new.len());
    let mut regions = collections::HashSet::new();
    let places = ranked.iter().enumerate();
    let chosen = places.filter(|(n, (_, backend))| {
        let is_first_of_region = regions.insert(backend.region.as_str());
        *n < count || is_first_of_region
    });
    chosen.map(|(_, (_, backend))| backend.id()).collect()
}

/// Reports the evidence of this process to its coordinator while rollouts run, until the task is
/// aborted.
pub(crate) async fn report(shared: sync::Arc<state::Shared>) {
    let mut interval_number = 0;
    let mut logged = collections::BTreeMap::new();
    loop {
        tokio::time::sleep(time::Duration::from_millis(REPORT_MS)).await;
        let table = shared.table.load_full();
        let services = table.services.iter();
        let divisions = services.filter_map(|service| service.rollout.as_ref());
        let divisions: Vec<_> = divisions.collect();
        interval_number += 1;
        log_stages(&shared, &mut logged, &divisions);
        let is_promoting =
            |division: &&sync::Arc<Division>| division.rollout.stage == plan::Stage::Promoting;
        let is_due =
            divisions.iter().any(is_promoting) || interval_number % CANARY_INTERVALS_COUNT == 0;
        if divisions.is_empty() || !is_due {
            continue;
        }
        let reports: Vec<_> = divisions.iter().map(|division| division.report()).collect();
        for (division, report) in divisions.iter().zip(&reports) {
            if let Some(finding) = division.judge(&report.evidence) {
                metrics::increment(&shared.rollouts.own_stops);
                log_own_stop(&shared, division, &finding);
            }
        }
        send(&shared, reports).await;
    }
}

/// Logs the stages that this process divides by, and the ends of rollouts.
fn log_stages(
    shared: &state::Shared,
    logged: &mut collections::BTreeMap<String, rollout::Rollout>,
    divisions: &[&sync::Arc<Division>],
) {
    let ended = |service: &String| !divisions.iter().any(|known| known.service == *service);
    for (service, rollout) in logged.iter().filter(|(service, _)| ended(service)) {
        slog::info!(shared.log, "rollout ended"; "service" => service,
            "target" => &rollout.target, "order" => rollout.order);
    }
    logged.retain(|service, _| !ended(service));
    for division in divisions {
        let rollout = &division.rollout;
        let known = logged.insert(division.service.clone(), rollout.clone());
        let is_same =
            |known: &rollout::Rollout| known.order == rollout.order && known.stage == rollout.stage;
        if !known.is_some_and(|known| is_same(&known)) {
            slog::info!(shared.log, "rollout stage taken up"; "service" => &division.service,
                "target" => &rollout.target, "order" => rollout.order,
                "stage" => ?rollout.stage,
                "confirmation_age_ms" => shared.confirmation_age().0);
        }
    }
}

fn log_own_stop(shared: &state::Shared, division: &Division, finding: &test::Finding) {
    slog::info!(shared.log, "canary requests stopped on own evidence";
        "service" => &division.service, "target" => &division.rollout.target,
        "order" => division.rollout.order, "symptom" => ?finding.symptom,
        "route" => &finding.route, "score" => finding.score);
}

async fn send(shared: &state::Shared, services: Vec<evidence::ServiceReport>) {
    let Some(coordinator) = shared.rollouts.followed.load_full() else {
        return;
    };
    let order = atomic::Ordering::Relaxed;
    let report = evidence::Report {
        process: shared.settings.entry.name.clone(),
        boot: shared.boot,
        sequence: shared.rollouts.reports.fetch_add(1, order) + 1,
        services,
    };
    let call = shared.client.call_compact::<_, ()>(
        *coordinator,
        evidence::EVIDENCE,
        &report,
        REPORT_TIMEOUT_MS,
    );
    // The next report repeats all that this one says.
    drop(call.await);
}

//! Simulated service with two versions, entry processes and a leader.

use nutmegdale_base::rng::{Rng, SplitMix64};
use nutmegdale_base::{clock, digest};
use nutmegdale_rollout::{bound, evidence, plan, reports, share, test};

const STEP_MS: u64 = 10;
const DURATION_MS: clock::Millis = clock::Millis(12_000);
const BOUND: bound::Bound = bound::Bound {
    share: 0.1,
    slack: 50.0,
    rollback: clock::Millis(5_000),
};
const SERVERS_COUNT: usize = 146;
const REQUESTS_PER_S: u64 = 400;
/// Routes with their share of the requests in percent and their work in milliseconds.
const ROUTES: [(u64, u64); 4] = [(50, 110), (16, 140), (20, 270), (14, 43)];
/// Delay of a commit and its way to the entry processes.
const FEED_MS: u64 = 300;

/// Fault of the new version.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Fault {
    kind: Option<Kind>,
    from: clock::Millis,
    route: Option<usize>,
    needs_load: bool,
}

#[derive(Debug, Clone, Copy, PartialEq)]
enum Kind {
    Errors,
    Slowness,
}

impl Fault {
    pub(crate) fn none() -> Fault {
        Fault {
            kind: None,
            from: clock::Millis::ZERO,
            route: None,
            needs_load: false,
        }
    }

    pub(crate) fn errors(from: clock::Millis) -> Fault {
        Fault {
            kind: Some(Kind::Errors),
            from,
            ..Fault::none()
        }
    }

    pub(crate) fn slowness(from: clock::Millis) -> Fault {
        Fault {
            kind: Some(Kind::Slowness),
            ..Fault::errors(from)
        }
    }

    pub(crate) fn on_route(self, route: usize) -> Fault {
        Fault {
            route: Some(route),
            ..self
        }
    }

    /// The fault shows only at a server with at least 1.5 requests in the last second.
    pub(crate) fn under_load(self) -> Fault {
        Fault {
            needs_load: true,
            ..self
        }
    }
}

/// What is simulated.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Scenario {
    pub(crate) fault: Fault,
    pub(crate) processes: usize,
    pub(crate) seed: u64,
    pub(crate) lost_percent: u64,
    pub(crate) repeated_percent: u64,
    /// Time at which a leader without evidence takes over; it cannot decide for 1.5 s.
    pub(crate) leader_change: Option<clock::Millis>,
}

impl Default for Scenario {
    fn default() -> Scenario {
        Scenario {
            fault: Fault::none(),
            processes: 16,
            seed: 0,
            lost_percent: 0,
            repeated_percent: 0,
            leader_change: None,
        }
    }
}

/// How a rollout ended.
#[derive(Debug)]
pub(crate) struct Outcome {
    pub(crate) stage: plan::Stage,
    pub(crate) ended: clock::Millis,
    pub(crate) promoted: clock::Millis,
    pub(crate) duration: clock::Millis,
    /// Requests of the service over the whole duration.
    pub(crate) requests: u64,
    /// Requests that the new version got.
    pub(crate) canaries: u64,
    pub(crate) fiftieth_bad: Option<clock::Millis>,
    pub(crate) last_new: Option<clock::Millis>,
    pub(crate) finding: Option<test::Finding>,
}

struct Process {
    share: share::Share,
    cells: [[evidence::Cells; 2]; ROUTES.len()],
    sequence: u64,
    known: plan::Stage,
}

struct Leader {
    reports: reports::Reports,
    test: test::Test,
    silent_until: u64,
}

pub(crate) struct Deployment {
    scenario: Scenario,
    rng: SplitMix64,
    processes: Vec<Process>,
    leader: Leader,
    /// Committed stage and time of its commit.
    stage: (plan::Stage, u64),
    /// Arrivals of canary requests at each canary server.
    arrivals: Vec<Vec<u64>>,
    bad_count: u64,
    outcome: Outcome,
}

impl Deployment {
    pub(crate) fn new(scenario: Scenario) -> Deployment {
        let names: Vec<_> = (0..scenario.processes).map(|n| format!("p{n}")).collect();
        let processes = names.iter().map(|name| Process {
            share: share::Share::new(&BOUND, 7, name, names.iter().map(String::as_str)),
            cells: Default::default(),
            sequence: 0,
            known: plan::Stage::Canary,
        });
        let servers_count = share::canary_servers_count(&BOUND, SERVERS_COUNT);
        Deployment {
            rng: SplitMix64::new(scenario.seed),
            processes: processes.collect(),
            leader: Leader {
                reports: reports::Reports::default(),
                test: test::Test::default(),
                silent_until: 0,
            },
            stage: (plan::Stage::Canary, 0),
            arrivals: vec![Vec::new(); servers_count],
            bad_count: 0,
            outcome: Outcome {
                stage: plan::Stage::Canary,
                ended: DURATION_MS,
                promoted: clock::Millis::ZERO,
                duration: DURATION_MS,
                requests: 0,
                canaries: 0,
                fiftieth_bad: None,
                last_new: None,
                finding: None,
            },
            scenario,
        }
    }

    pub(crate) fn run(mut self) -> Outcome {
        for now in (0..DURATION_MS.0).step_by(STEP_MS as usize) {
            for n in 0..REQUESTS_PER_S * STEP_MS / 1_000 {
                self.request(now + n);
            }
            if now % 250 == 0 {
                self.learn(now);
                self.report(now);
                self.decide(now);
            }
        }
        self.outcome
    }

    fn chance(&mut self, percent: u64) -> bool {
        self.rng.below(100) < percent
    }

    fn learn(&mut self, now: u64) {
        let (stage, at) = self.stage;
        if now >= at + FEED_MS {
            for process in &mut self.processes {
                process.known = stage;
            }
        }
    }

    fn request(&mut self, now: u64) {
        self.outcome.requests += 1;
        let n = self.rng.below(self.processes.len() as u64) as usize;
        let mut point = self.rng.below(100);
        let route = ROUTES.iter().position(|(percent, _)| {
            let is_here = point < *percent;
            point = point.saturating_sub(*percent);
            is_here
        });
        let route = route.expect("the shares add up to 100");
        let is_new = match self.processes[n].known {
            plan::Stage::Canary => self.processes[n].share.claim(),
            plan::Stage::Promoting | plan::Stage::Completed => true,
            plan::Stage::RolledBack => false,
        };
        // A quarter of the VMs is slowed. Some reports of the slowdown are too old to be true. The
        // old version has more servers to choose from.
        let is_slowed = match is_new {
            true => self.chance(25),
            false => self.chance(8),
        };
        let slowdown = if is_slowed {
            200 + self.rng.below(500)
        } else {
            100
        };
        let reported = if self.chance(50) { slowdown } else { 100 };
        let spread = 60 + self.rng.below(100);
        let factor = if self.chance(3) { 7 } else { 1 };
        let mut elapsed = ROUTES[route].1 * slowdown / 100 * spread / 100 * factor + 20;
        // Both versions fail at times, and in bursts.
        let is_burst = (now / 1_000) % 5 == self.scenario.seed % 5;
        let mut is_failed = self.chance(if is_burst { 25 } else { 1 });
        if is_new && self.shows_fault(now, route) {
            match self.scenario.fault.kind {
                Some(Kind::Errors) => is_failed |= self.chance(50),
                Some(Kind::Slowness) => elapsed *= 8,
                None => {}
            }
            if is_failed || self.scenario.fault.kind == Some(Kind::Slowness) {
                self.bad_count += 1;
            }
            if self.bad_count == 50 && self.outcome.fiftieth_bad.is_none() {
                self.outcome.fiftieth_bad = Some(clock::Millis(now + elapsed));
            }
        }
        if is_new {
            self.outcome.canaries += 1;
            self.outcome.last_new = Some(clock::Millis(now));
        }
        let outcome = match is_failed {
            true => evidence::Outcome::Failed,
            false => evidence::Outcome::Served {
                elapsed: clock::Millis(elapsed),
                slowdown_percent: Some(reported as u32),
            },
        };
        self.processes[n].cells[route][usize::from(is_new)].record(outcome);
    }

    fn shows_fault(&mut self, now: u64, route: usize) -> bool {
        let fault = self.scenario.fault;
        let server = self.rng.below(self.arrivals.len() as u64) as usize;
        let arrivals = &mut self.arrivals[server];
        arrivals.push(now);
        let recent = arrivals.iter().rev().take_while(|at| **at + 2_000 > now);
        let is_loaded = recent.count() >= 3;
        let is_here = fault.route.is_none_or(|faulty| faulty == route);
        fault.kind.is_some() && now >= fault.from.0 && is_here && (is_loaded || !fault.needs_load)
    }

    fn report(&mut self, now: u64) {
        for n in 0..self.processes.len() {
            // Processes report every half second, half of them at a time.
            let is_due = (now / 250 + n as u64).is_multiple_of(2);
            let report = report(n, &mut self.processes[n]);
            if is_due && !self.chance(self.scenario.lost_percent) {
                let at = clock::Millis(now);
                self.leader.reports.record(at, report.clone());
                if self.chance(self.scenario.repeated_percent) {
                    self.leader.reports.record(at, report);
                }
            }
        }
    }

    fn decide(&mut self, now: u64) {
        let at = clock::Millis(now);
        if self.scenario.leader_change == Some(at) {
            self.leader = Leader {
                reports: reports::Reports::default(),
                test: test::Test::default(),
                silent_until: now + 1_500,
            };
        }
        if now < self.leader.silent_until || !self.stage.0.is_running() {
            return;
        }
        let evidence = self.leader.reports.evidence("service", 7);
        self.leader.test.step(&evidence);
        let names: Vec<_> = (0..self.processes.len()).map(|n| format!("p{n}")).collect();
        let live = names.iter().map(String::as_str);
        let unreleased = self.leader.reports.unreleased(at, "service", 7, live);
        let view = plan::View {
            stage: self.stage.0,
            elapsed: at,
            duration: DURATION_MS,
            verdict: self.leader.test.verdict(),
            uncompared_verdict: self.leader.test.uncompared_verdict(),
            attempts: evidence.totals(),
            servers: (SERVERS_COUNT, SERVERS_COUNT),
            is_released: unreleased.is_empty(),
        };
        let Some(stage) = plan::next(&view).stage() else {
            return;
        };
        assert!(self.stage.0.allows(stage));
        self.stage = (stage, now);
        self.outcome.finding = self.leader.test.finding();
        self.outcome.stage = stage;
        match stage {
            plan::Stage::Promoting => self.outcome.promoted = at,
            _ => self.outcome.ended = at,
        }
    }
}

fn report(n: usize, process: &mut Process) -> evidence::Report {
    process.sequence += 1;
    let routes = process.cells.iter().enumerate().map(|(route, cells)| {
        let counts = evidence::Route {
            old: cells[0].counts(),
            new: cells[1].counts(),
        };
        (format!("r{route}"), counts)
    });
    evidence::Report {
        process: format!("p{n}"),
        boot: digest::of(&n),
        sequence: process.sequence,
        services: vec![evidence::ServiceReport {
            service: "service".to_owned(),
            order: 7,
            stage: process.known,
            old_in_flight: 0,
            evidence: evidence::Evidence {
                routes: routes.collect(),
            },
        }],
    }
}

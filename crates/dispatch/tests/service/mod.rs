//! Replay of one service in virtual time: callers that retry, processes that do not see each
//! other's requests, and servers with a few slots and a short queue on VMs of changing speed.

use nutmegdale_base::rng::Rng;
use nutmegdale_base::{clock, rng};
use nutmegdale_dispatch::{admission, budget, health, placement, precedence, pressure};
use nutmegdale_dispatch::{return_time, shedding, signal};
use std::collections;

pub(crate) const SLOTS_COUNT: usize = 3;
const QUEUE_LEN: usize = 12;
const SATURATION_FACTOR: f64 = 1.3;
const ATTEMPTS_MAX: u32 = 3;
/// Time from a decision to the arrival at the server, in which other processes decide too.
const SEND_MS: u64 = 3;

const LINKS: placement::Links = {
    let link = placement::Link {
        rtt_ms: 1.0,
        penalty_share: 0.0,
        penalty_share_per_kb: 0.0,
    };
    placement::Links {
        zone: link,
        region: link,
        cross_region: link,
    }
};

/// Kind of request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Kind {
    pub(crate) priority: u32,
    pub(crate) work_ms: f64,
    pub(crate) target_ms: u64,
    pub(crate) deadline_ms: u64,
    pub(crate) per_s: f64,
    /// Factor on the rate in the rush.
    pub(crate) rush: f64,
}

#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Policy {
    /// Priorities are ignored.
    Today,
    /// Requests that are not the most urgent are refused as soon as pressure rises.
    Strict,
    /// Slots are left free, but callers return after a time with jitter.
    Precedence,
    /// All decisions under test.
    Scheduled,
}

pub(crate) struct Load {
    pub(crate) seed: u64,
    pub(crate) kinds: Vec<Kind>,
    pub(crate) servers: usize,
    pub(crate) processes: usize,
    /// Servers that are five times slower.
    pub(crate) slow_servers: usize,
    /// Share of arrivals that each server rejects in the rush although it has free slots.
    pub(crate) shed_share: f64,
}

#[derive(Debug, Clone, Copy, Default)]
pub(crate) struct Count {
    pub(crate) callers: usize,
    pub(crate) served: usize,
    pub(crate) in_target: usize,
    pub(crate) refusals: usize,
}

impl Count {
    pub(crate) fn served_share(&self) -> f64 {
        self.served as f64 / self.callers.max(1) as f64
    }

    pub(crate) fn target_share(&self) -> f64 {
        self.in_target as f64 / self.callers.max(1) as f64
    }
}

/// Request of a caller, with its times in milliseconds.
#[derive(Debug, Clone, Copy)]
struct Request {
    kind: usize,
    started: u64,
    process: usize,
    attempts: u32,
    left_ms: f64,
}

#[derive(Default)]
struct Server {
    running: Vec<Request>,
    waiting: collections::VecDeque<Request>,
    slowdown: f64,
}

pub(crate) struct Replay<'a> {
    load: &'a Load,
    policy: Policy,
    rng: rng::SplitMix64,
    servers: Vec<Server>,
    signals: Vec<Vec<signal::Signal>>,
    levels: precedence::Levels,
    positions: Vec<u32>,
    /// Events by time: callers that arrive, and requests that reach a server.
    arriving: collections::BTreeMap<u64, Vec<Request>>,
    sent: collections::VecDeque<(u64, usize, Request)>,
    counts: Vec<Count>,
    schedules: Vec<return_time::Schedule>,
    budgets: Vec<budget::Budget>,
    shedding: Vec<shedding::Shedding>,
    health: Vec<Vec<health::Health>>,
    streaks: Vec<Vec<shedding::Streak>>,
}

const RETRIES: budget::Bound = budget::Bound {
    ratio: 0.2,
    slack: 168.0,
    window: clock::Millis(10_000),
};

const RUSH: std::ops::Range<u64> = 2_000..6_000;
const END_MS: u64 = 7_000;

impl<'a> Replay<'a> {
    pub(crate) fn run(load: &'a Load, policy: Policy) -> Vec<Count> {
        let mut replay = Replay {
            load,
            policy,
            rng: rng::SplitMix64::new(load.seed),
            servers: (0..load.servers).map(|_| Server::default()).collect(),
            signals: of_servers(load),
            levels: precedence::Levels::new(load.kinds.iter().map(|kind| kind.priority)),
            positions: (0..load.servers)
                .map(|n| precedence::position(&format!("server-{n}")))
                .collect(),
            arriving: collections::BTreeMap::new(),
            sent: collections::VecDeque::new(),
            counts: vec![Count::default(); load.kinds.len()],
            schedules: (0..load.processes).map(|_| Default::default()).collect(),
            budgets: (0..load.processes)
                .map(|_| budget::Budget::new(clock::Millis::ZERO, &RETRIES, load.processes))
                .collect(),
            shedding: (0..load.processes).map(|_| Default::default()).collect(),
            health: of_servers(load),
            streaks: of_servers(load),
        };
        for ms in 0..END_MS + 7_000 {
            replay.step(ms);
        }
        replay.counts
    }

    fn below(&mut self, share: f64) -> bool {
        (self.rng.below(1_000_000) as f64) < share * 1_000_000.0
    }

    fn step(&mut self, ms: u64) {
        if ms.is_multiple_of(500) {
            for n in 0..self.servers.len() {
                let vm = if self.below(0.25) { 5.0 } else { 1.0 };
                let base = if n < self.load.slow_servers { 5.0 } else { 1.0 };
                self.servers[n].slowdown = f64::min(vm * base, 7.0);
            }
        }
        for n in 0..self.servers.len() {
            self.advance(ms, n);
        }
        while self.sent.front().is_some_and(|(at, ..)| *at <= ms) {
            let (_, n, request) = self.sent.pop_front().expect("there is a first");
            self.receive(ms, n, request);
        }
        for kind in 0..self.load.kinds.len() {
            let Kind { per_s, rush, .. } = self.load.kinds[kind];
            let rate = per_s * if RUSH.contains(&ms) { rush } else { 1.0 };
            if ms < END_MS && self.below(rate / 1_000.0) {
                self.counts[kind].callers += 1;
                let request = Request {
                    kind,
                    started: ms,
                    process: 0,
                    attempts: 0,
                    left_ms: 0.0,
                };
                self.arriving.entry(ms).or_default().push(request);
            }
        }
        for mut request in self.arriving.remove(&ms).unwrap_or_default() {
            request.process = self.rng.below(self.load.processes as u64) as usize;
            request.attempts = 0;
            let now = clock::Millis(ms);
            self.budgets[request.process].deposit(now, &RETRIES, self.load.processes);
            self.decide(ms, request);
        }
    }

    fn advance(&mut self, ms: u64, n: usize) {
        let server = &mut self.servers[n];
        while server.running.len() < SLOTS_COUNT && !server.waiting.is_empty() {
            server.running.extend(server.waiting.pop_front());
        }
        let is_full = server.running.len() == SLOTS_COUNT;
        let factor = if is_full { SATURATION_FACTOR } else { 1.0 };
        let step = 1.0 / (server.slowdown * factor);
        for request in &mut server.running {
            request.left_ms -= step;
        }
        let (load, signals, counts) = (self.load, &self.signals, &mut self.counts);
        let (health, streaks) = (&self.health, &self.streaks);
        server.running.retain(|request| {
            let kind = &load.kinds[request.kind];
            let took = ms - request.started;
            let is_over = request.left_ms <= 0.0 || took >= kind.deadline_ms;
            if is_over {
                signals[request.process][n].end();
            }
            if request.left_ms <= 0.0 {
                health[request.process][n].record_success();
                streaks[request.process][n].end();
                counts[request.kind].served += 1;
                counts[request.kind].in_target += usize::from(took <= kind.target_ms);
            }
            !is_over
        });
    }

    fn receive(&mut self, ms: u64, n: usize, mut request: Request) {
        let is_shed = RUSH.contains(&ms) && self.below(self.load.shed_share);
        if !is_shed && self.servers[n].waiting.len() < QUEUE_LEN {
            let work_ms = self.load.kinds[request.kind].work_ms;
            request.left_ms = work_ms * (0.7 + self.rng.below(600) as f64 / 1_000.0);
            self.servers[n].waiting.push_back(request);
            return;
        }
        let signal = &self.signals[request.process][n];
        signal.end();
        signal.record_report(
            clock::Millis(ms),
            report(&self.servers[n]),
            signal.in_flight(),
        );
        self.reject(ms, n, request);
    }

    /// Processes a rejection of a server, which says that the request did not run.
    fn reject(&mut self, ms: u64, n: usize, mut request: Request) {
        let (now, process) = (clock::Millis(ms), request.process);
        let kind = self.load.kinds[request.kind];
        let is_new = self.policy == Policy::Scheduled;
        if self.servers[n].running.len() < SLOTS_COUNT {
            let streak = &self.streaks[process][n];
            let is_failure = self.shedding[process].record(now, n as u32, streak);
            if is_failure || !is_new {
                self.health[process][n].record_failure(now, health::Failure::Answer);
            }
        }
        request.attempts += 1;
        let standing = self.levels.standing(kind.priority);
        let can_meet_target = ms + kind.work_ms as u64 <= request.started + kind.target_ms;
        let kept = match standing {
            Some(standing) if is_new => precedence::kept_tokens(standing, can_meet_target),
            _ => 0.0,
        };
        let budget = &self.budgets[process];
        if request.attempts < ATTEMPTS_MAX
            && budget.withdraw_above(now, &RETRIES, self.load.processes, kept)
        {
            return self.decide(ms, request);
        }
        let is_shed = is_new && self.shedding[process].is_active(now);
        let retry_after = if is_shed {
            20
        } else {
            (kind.work_ms / 2.0) as u64
        };
        self.refuse(ms, request, retry_after);
    }

    fn refuse(&mut self, ms: u64, request: Request, retry_after: u64) {
        self.counts[request.kind].refusals += 1;
        let end = request.started + self.load.kinds[request.kind].deadline_ms;
        let at = ms + retry_after.max(1);
        if at < end {
            self.arriving.entry(at).or_default().push(request);
        }
    }

    fn decide(&mut self, ms: u64, request: Request) {
        let now = clock::Millis(ms);
        let kind = self.load.kinds[request.kind];
        let waited = ms - request.started;
        let profile = placement::RequestProfile {
            service_time_ms: kind.work_ms,
            transfer_kb: 1.5,
            saturation_factor: SATURATION_FACTOR,
            target_ms: kind.target_ms as f64,
        };
        // A process recognizes a caller that returns only by what is left of its time.
        let is_returning = waited * 100 > kind.deadline_ms * 18;
        let inferred = if is_returning { waited } else { 0 };
        let time = admission::TimeLeft {
            to_target: clock::Millis(kind.target_ms.saturating_sub(inferred)),
            to_deadline: clock::Millis(kind.deadline_ms.saturating_sub(waited)),
        };
        let standing = self.levels.standing(kind.priority);
        let mut allowance = Some(precedence::Allowance::ALL);
        let mut best = None;
        for count in [3, 5, 8] {
            let probe = placement::Purpose::Probe(count);
            let (ranked, sample) = self.rank(now, request.process, profile, probe, allowance);
            if let Some(standing) = standing {
                let pressure = sample.pressure();
                allowance = self.allowance(standing, pressure, is_returning);
            }
            for (n, prediction) in ranked {
                let is_fresh = prediction.age.is_some_and(|age| age <= placement::FRESH_MS);
                if !is_fresh && !self.below(0.1) {
                    let own = &self.signals[request.process][n];
                    own.record_report(now, report(&self.servers[n]), own.in_flight());
                }
            }
            let send = placement::Purpose::Send;
            let (ranked, _) = self.rank(now, request.process, profile, send, allowance);
            best = ranked.first().copied();
            if best.is_some_and(|(_, best)| best.has_room && best.slowdown_percent < 180.0) {
                break;
            }
        }
        let (n, best) = best.expect("there are servers");
        let decision = admission::decide(&best, profile, time, false, &mut self.rng);
        let is_barred = !allows(allowance, self.positions[n], &best);
        match decision {
            admission::Decision::Refuse { retry_after } if self.policy != Policy::Scheduled => {
                self.refuse(ms, request, retry_after.0);
            }
            admission::Decision::Refuse { .. } => self.schedule(ms, request, best.response_ms),
            _ if is_barred => self.schedule(ms, request, best.response_ms),
            _ => {
                self.signals[request.process][n].begin();
                self.sent.push_back((ms + SEND_MS, n, request));
            }
        }
    }

    /// Refuses a request with a time to return.
    fn schedule(&mut self, ms: u64, request: Request, response_ms: f64) {
        let kind = self.load.kinds[request.kind];
        let free_ms = response_ms - kind.work_ms;
        let left = clock::Millis(kind.deadline_ms.saturating_sub(ms - request.started));
        let standing = self.levels.standing(kind.priority);
        let retry_after = match standing {
            Some(standing) if self.policy == Policy::Scheduled => {
                let share = return_time::Share {
                    slots: (self.load.servers * SLOTS_COUNT) as u32,
                    processes: self.load.processes,
                    service_time_ms: kind.work_ms,
                };
                let schedule = &self.schedules[request.process];
                schedule.book(clock::Millis(ms), standing, share, free_ms, left)
            }
            _ => admission::retry_after(free_ms, left, &mut self.rng),
        };
        self.refuse(ms, request, retry_after.0);
    }

    fn allowance(
        &self,
        standing: precedence::Standing,
        pressure: f64,
        is_returning: bool,
    ) -> Option<precedence::Allowance> {
        Some(match self.policy {
            Policy::Today => precedence::Allowance::ALL,
            Policy::Precedence | Policy::Scheduled => {
                precedence::Allowance::new(standing, pressure, is_returning)
            }
            Policy::Strict if standing.rank > 0 && pressure > 0.45 => return None,
            Policy::Strict => precedence::Allowance::ALL,
        })
    }

    fn rank(
        &mut self,
        now: clock::Millis,
        process: usize,
        profile: placement::RequestProfile,
        purpose: placement::Purpose,
        allowance: Option<precedence::Allowance>,
    ) -> (Vec<(usize, placement::Prediction)>, pressure::Sample) {
        let own = &self.signals[process];
        let health = &self.health[process];
        let ejected = |n: &usize| !health[*n].is_eligible(now);
        let mut considered: Vec<_> = (0..own.len()).filter(|n| !ejected(n)).collect();
        if considered.is_empty() {
            considered = (0..own.len()).collect();
        }
        let candidates: Vec<_> = considered
            .iter()
            .map(|n| placement::Candidate {
                signal: &own[*n],
                health: &health[*n],
                slots: SLOTS_COUNT as u32,
                distance: placement::Distance::Zone,
                is_cold: false,
                is_preferred: (*n + process) % self.load.servers < placement::PREFERRED_COUNT,
            })
            .collect();
        let mut sample = pressure::Sample::default();
        let positions = &self.positions;
        let adjust: placement::Adjust<'_> = &mut |n, prediction| {
            sample.add(prediction);
            placement::Adjustment {
                is_barred: !allows(allowance, positions[considered[n]], prediction),
                extra_ms: 0.0,
            }
        };
        let rng = &mut self.rng;
        let terms = placement::Terms {
            profile,
            links: &LINKS,
            purpose,
        };
        let ranked = placement::rank_adjusted(now, &candidates, terms, adjust, rng);
        let ranked = ranked.into_iter().map(|(n, best)| (considered[n], best));
        (ranked.collect(), sample)
    }
}

fn of_servers<T: Default>(load: &Load) -> Vec<Vec<T>> {
    let servers = |_| (0..load.servers).map(|_| T::default()).collect();
    (0..load.processes).map(servers).collect()
}

fn report(server: &Server) -> signal::Report {
    signal::Report {
        running: server.running.len() as u32,
        waiting: server.waiting.len() as u32,
        slots: SLOTS_COUNT as u32,
        slowdown_percent: (server.slowdown * 100.0) as u32,
    }
}

/// Returns whether a request may be sent; `None` allows it nowhere.
fn allows(
    allowance: Option<precedence::Allowance>,
    position: u32,
    prediction: &placement::Prediction,
) -> bool {
    allowance.is_some_and(|a| a.allows(position, prediction.in_flight, prediction.slots))
}

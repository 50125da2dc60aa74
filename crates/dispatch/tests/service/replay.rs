//! Replay of one service in virtual time: callers that retry, processes that do not see each
//! other's requests, and servers with a few slots and a short queue on VMs of changing speed.

use nutmegdale_base::rng::Rng;
use nutmegdale_base::{clock, rng};
use nutmegdale_dispatch::{admission, budget, health, locality, placement, precedence, pressure};
use nutmegdale_dispatch::{return_time, shedding, signal};
use std::collections;

pub(crate) const SLOTS_COUNT: usize = 3;
const QUEUE_LEN: usize = 12;
const SATURATION_FACTOR: f64 = 1.3;
const ATTEMPTS_MAX: u32 = 3;
/// Time from a decision to the arrival at the server, in which other processes decide too.
const SEND_MS: u64 = 3;

/// Links of the gateway's settings.
const LINKS: placement::Links = placement::Links {
    zone: link(0.5, 0.0, 0.0),
    region: link(3.0, 0.05, 0.02),
    cross_region: link(17.0, 0.1, 0.03),
};

const fn link(rtt_ms: f64, penalty_share: f64, penalty_share_per_kb: f64) -> placement::Link {
    placement::Link {
        rtt_ms,
        penalty_share,
        penalty_share_per_kb,
    }
}

/// How requests choose between their zone and others.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(crate) enum Leaving {
    /// By the link penalties of today's placement alone.
    Today,
    /// Never.
    Never,
    /// To the least loaded server, without penalties.
    Everywhere,
    /// While the pressure of the zone is above a fixed threshold.
    Threshold,
    /// The decision under test.
    Balanced,
}

/// Kind of request.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Kind {
    pub(crate) priority: u32,
    pub(crate) work_ms: f64,
    pub(crate) target_ms: u64,
    pub(crate) deadline_ms: u64,
    pub(crate) per_s: f64,
    /// Kilobytes of a request and its response.
    pub(crate) kb: f64,
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
    /// Servers of each zone. Two zones each form a region.
    pub(crate) zones: Vec<usize>,
    /// Part by which the demand of a zone rises and falls with a period of 17 s.
    pub(crate) swing: f64,
    pub(crate) leaving: Leaving,
    /// Zone whose servers take no requests in the rush.
    pub(crate) zone_out: Option<usize>,
    pub(crate) processes: usize,
    /// Time after which no new callers come.
    pub(crate) end_ms: u64,
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
    /// Sum of the latencies of all that were served.
    pub(crate) latency_ms: u64,
    /// Requests sent to another zone of the region, and to another region.
    pub(crate) left: [usize; 2],
}

impl Load {
    fn servers(&self) -> usize {
        self.zones.iter().sum()
    }
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
    pub(crate) counts: Vec<Count>,
    schedules: Vec<return_time::Schedule>,
    budgets: Vec<budget::Budget>,
    shedding: Vec<shedding::Shedding>,
    health: Vec<Vec<health::Health>>,
    balances: Vec<locality::Balance>,
    /// Zone of each server.
    zone_of: Vec<usize>,
    /// Share of the requests of each process that should leave, over time, to find oscillations.
    pub(crate) shares: Vec<(u64, f64)>,
    /// Load of each process's zone and of the others in its last pass.
    views: Vec<locality::View>,
    streaks: Vec<Vec<shedding::Streak>>,
}

const RETRIES: budget::Bound = budget::Bound {
    ratio: 0.2,
    slack: 168.0,
    window: clock::Millis(10_000),
};

const RUSH: std::ops::Range<u64> = 2_000..6_000;

impl<'a> Replay<'a> {
    pub(crate) fn run(load: &'a Load, policy: Policy) -> Vec<Count> {
        Replay::run_whole(load, policy).counts
    }

    pub(crate) fn run_whole(load: &'a Load, policy: Policy) -> Replay<'a> {
        let mut replay = Replay {
            load,
            policy,
            rng: rng::SplitMix64::new(load.seed),
            servers: (0..load.servers()).map(|_| Server::default()).collect(),
            signals: of_servers(load),
            levels: precedence::Levels::new(load.kinds.iter().map(|kind| kind.priority)),
            positions: (0..load.servers())
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
            balances: (0..load.processes).map(|_| Default::default()).collect(),
            zone_of: load
                .zones
                .iter()
                .enumerate()
                .flat_map(|(zone, n)| std::iter::repeat_n(zone, *n))
                .collect(),
            shares: Vec::new(),
            views: vec![locality::View::default(); load.processes],
            streaks: of_servers(load),
        };
        for ms in 0..load.end_ms + 7_000 {
            replay.step(ms);
        }
        replay
    }

    fn below(&mut self, share: f64) -> bool {
        (self.rng.below(1_000_000) as f64) < share * 1_000_000.0
    }

    /// Returns the process that a caller reaches.
    fn entry(&mut self, ms: u64) -> usize {
        let zones = self.load.zones.len();
        loop {
            let process = self.rng.below(self.load.processes as u64) as usize;
            let phase = ms as f64 / 17_000.0 + (process % zones) as f64 / zones as f64;
            let swing = self.load.swing * (phase * std::f64::consts::TAU).sin();
            if self.below((1.0 + swing) / (1.0 + self.load.swing)) {
                return process;
            }
        }
    }

    fn distance(&self, process: usize, server: usize) -> placement::Distance {
        let (own, zone) = (process % self.load.zones.len(), self.zone_of[server]);
        match () {
            () if own == zone => placement::Distance::Zone,
            () if own / 2 == zone / 2 => placement::Distance::Region,
            () => placement::Distance::CrossRegion,
        }
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
            if ms < self.load.end_ms && self.below(rate / 1_000.0) {
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
            request.process = self.entry(ms);
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
        let (health, streaks, zone_of) = (&self.health, &self.streaks, &self.zone_of);
        server.running.retain(|request| {
            let kind = &load.kinds[request.kind];
            let took = ms - request.started + link_ms(load, zone_of[n], request.process);
            let is_over = request.left_ms <= 0.0 || took >= kind.deadline_ms;
            if is_over {
                signals[request.process][n].end();
            }
            if request.left_ms <= 0.0 {
                health[request.process][n].record_success();
                streaks[request.process][n].end();
                counts[request.kind].served += 1;
                counts[request.kind].latency_ms += took;
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
            transfer_kb: kind.kb,
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
        let view = self.views[request.process];
        let mut pass = Pass {
            allowance: Some(precedence::Allowance::ALL),
            side: locality::Side::Any,
            zone_pressure: view.zone.pressure(),
        };
        if self.load.leaving == Leaving::Balanced {
            let balance = &self.balances[request.process];
            balance.record(view);
            pass.side = balance.next(now, &locality::Bound::default());
            if request.process == 0 {
                self.shares.push((ms, balance.share()));
            }
        }
        let mut best = None;
        for count in [3, 5, 8] {
            let purpose = match count {
                3 => placement::Purpose::ProbeNear(count),
                _ => placement::Purpose::Probe(count),
            };
            let (ranked, sample) = self.rank(now, request.process, profile, purpose, pass);
            if let Some(standing) = standing {
                let pressure = sample.pressure();
                pass.allowance = self.allowance(standing, pressure, is_returning);
            }
            for (n, prediction) in ranked {
                let is_fresh = prediction.age.is_some_and(|age| age <= placement::FRESH_MS);
                if !is_fresh && !self.below(0.1) {
                    let own = &self.signals[request.process][n];
                    own.record_report(now, report(&self.servers[n]), own.in_flight());
                }
            }
            let send = placement::Purpose::Send;
            let (ranked, _) = self.rank(now, request.process, profile, send, pass);
            best = ranked.first().copied();
            if best.is_some_and(|(_, best)| best.has_room && best.slowdown_percent < 180.0) {
                break;
            }
        }
        let (n, best) = best.expect("there are servers");
        let decision = admission::decide(&best, profile, time, false, &mut self.rng);
        let is_barred = !allows(pass.allowance, self.positions[n], &best);
        match decision {
            admission::Decision::Refuse { retry_after } if self.policy != Policy::Scheduled => {
                self.refuse(ms, request, retry_after.0);
            }
            admission::Decision::Refuse { .. } => self.schedule(ms, request, best.response_ms),
            _ if is_barred => self.schedule(ms, request, best.response_ms),
            _ => {
                self.signals[request.process][n].begin();
                match self.distance(request.process, n) {
                    placement::Distance::Zone => {}
                    placement::Distance::Region => self.counts[request.kind].left[0] += 1,
                    placement::Distance::CrossRegion => self.counts[request.kind].left[1] += 1,
                }
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
                    slots: (self.load.servers() * SLOTS_COUNT) as u32,
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
        pass: Pass,
    ) -> (Vec<(usize, placement::Prediction)>, pressure::Sample) {
        let own = &self.signals[process];
        let health = &self.health[process];
        let usable: Vec<_> = (0..own.len()).filter(|n| !self.is_out(now, *n)).collect();
        let eligible = usable.iter().copied();
        let mut considered: Vec<_> = eligible.filter(|n| health[*n].is_eligible(now)).collect();
        if considered.is_empty() {
            considered = usable;
        }
        let candidates: Vec<_> = considered
            .iter()
            .map(|n| placement::Candidate {
                signal: &own[*n],
                health: &health[*n],
                slots: SLOTS_COUNT as u32,
                distance: self.distance(process, *n),
                is_cold: false,
                is_preferred: (*n + process) % self.load.servers() < placement::PREFERRED_COUNT,
            })
            .collect();
        let mut sample = pressure::Sample::default();
        let mut view = locality::View::default();
        let positions = &self.positions;
        let adjust: placement::Adjust<'_> = &mut |n, prediction| {
            sample.add(prediction);
            let is_in_zone = candidates[n].distance == placement::Distance::Zone;
            view.add(is_in_zone, prediction);
            let penalty_ms = LINKS.get(candidates[n].distance).penalty_ms(&profile);
            placement::Adjustment {
                is_barred: !allows(pass.allowance, positions[considered[n]], prediction),
                extra_ms: match self.load.leaving {
                    Leaving::Never if !is_in_zone => 1e6,
                    Leaving::Threshold if !is_in_zone && pass.zone_pressure < 0.8 => 1e6,
                    Leaving::Everywhere | Leaving::Threshold => -penalty_ms,
                    _ => pass.side.extra_ms(is_in_zone, profile.target_ms),
                },
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
        let ranked = ranked.collect();
        self.views[process] = view;
        (ranked, sample)
    }

    fn is_out(&self, now: clock::Millis, server: usize) -> bool {
        RUSH.contains(&now.0) && self.load.zone_out == Some(self.zone_of[server])
    }
}

/// What the passes over the candidates of one request have in common.
#[derive(Clone, Copy)]
struct Pass {
    /// `None` if the request may be sent nowhere.
    allowance: Option<precedence::Allowance>,
    side: locality::Side,
    zone_pressure: f64,
}

/// Returns the round-trip time between a process and a server of `zone`.
fn link_ms(load: &Load, zone: usize, process: usize) -> u64 {
    let own = process % load.zones.len();
    match () {
        () if own == zone => 0,
        () if own / 2 == zone / 2 => 3,
        () => 17,
    }
}

fn of_servers<T: Default>(load: &Load) -> Vec<Vec<T>> {
    let servers = |_| (0..load.servers()).map(|_| T::default()).collect();
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

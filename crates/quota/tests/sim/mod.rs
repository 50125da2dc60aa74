//! Simulation of entry processes, coordinators and a leader in virtual time, judged by the sliding
//! window itself.

#![allow(dead_code)] // Each test file uses only some of the helpers.

use nutmegdale_accounts::account;
use nutmegdale_base::{clock, rng, rng::Rng};
use nutmegdale_quota::{division, gate, holder, message, pool};
use std::collections;
use std::net;

/// Step of the simulation, which is also the time of a call in a region.
pub(crate) const STEP_MS: u64 = 10;
/// Time of a report to the leader, both ways.
const REPORT_MS: u64 = 40;
/// Time after which a lost call is given up.
const TIMEOUT_MS: u64 = 300;
/// Bound of the platform.
pub(crate) const BOUND: gate::Bound = gate::Bound {
    window: clock::Millis(5_000),
    overshoot: 0.1,
    slack: 20.0,
};
/// Time of the first request.
pub(crate) const START_MS: u64 = 500;
/// Spare part of each burst.
pub(crate) const SPARE: f64 = 12.0;
/// Time after which a changed limit is in force everywhere.
const APPLY_MS: u64 = 2_500;

pub(crate) type Limits = collections::BTreeMap<String, account::Limit>;

pub(crate) fn limits(rate_per_s: f64, burst: f64) -> Limits {
    let limit = account::Limit { rate_per_s, burst };
    Limits::from([("account".to_owned(), limit)])
}

/// Requests in order of time: time in milliseconds and process.
pub(crate) type Schedule = Vec<(u64, usize)>;

/// Creates random requests; `rate` returns the requests per second of a process at a time.
pub(crate) fn schedule(
    seed: u64,
    until_ms: u64,
    processes: usize,
    rate: impl Fn(u64, usize) -> f64,
) -> Schedule {
    let mut rng = rng::SplitMix64::new(seed);
    let mut schedule = Vec::new();
    // The first shares take some tenths of a second.
    for step in START_MS / STEP_MS..until_ms / STEP_MS {
        for process in 0..processes {
            let chance = rate(step * STEP_MS, process) * STEP_MS as f64 / 1_000.0;
            let mut draws = chance;
            while draws > 0.0 && (rng.below(1 << 32) as f64) < draws * f64::from(u32::MAX) {
                schedule.push((step * STEP_MS, process));
                draws -= 1.0;
            }
        }
    }
    schedule
}

/// What a way of admission did with a schedule.
#[derive(Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) admitted: u64,
    pub(crate) refused: u64,
    pub(crate) unavailable: u64,
    /// Requests refused although the window had room.
    pub(crate) refused_although_allowed: u64,
    /// Requests that exceeded the bound on a window.
    pub(crate) over_bound: u64,
    /// Largest number of requests in a window beyond `rate x window + burst`.
    pub(crate) excess: f64,
}

/// Judge: counts the requests in each window.
#[derive(Debug)]
pub(crate) struct Judge {
    window: collections::VecDeque<u64>,
    /// Limits with the time of their acknowledgement.
    pub(crate) limits: Vec<(u64, account::Limit)>,
    pub(crate) outcome: Outcome,
}

impl Judge {
    pub(crate) fn new(limits: &Limits) -> Judge {
        Judge {
            window: collections::VecDeque::new(),
            limits: vec![(0, limits["account"])],
            outcome: Outcome::default(),
        }
    }

    /// Returns the largest number of requests in a window that ends at `now`.
    fn allowed(&self, now: u64) -> f64 {
        let start = now.saturating_sub(BOUND.window.0);
        let ends = self.limits.iter().skip(1).map(|(at, _)| at + APPLY_MS);
        let ends = ends.chain([u64::MAX]);
        let valid = self.limits.iter().zip(ends);
        let valid = valid.filter(|((at, _), end)| *at <= now && *end > start);
        let whole = |l: &account::Limit| l.rate_per_s * BOUND.window.0 as f64 / 1e3 + l.burst;
        valid.map(|((_, l), _)| whole(l)).fold(0.0, f64::max)
    }

    pub(crate) fn record(&mut self, now: u64, verdict: gate::Verdict) {
        while self
            .window
            .front()
            .is_some_and(|at| at + BOUND.window.0 <= now)
        {
            self.window.pop_front();
        }
        let allowed = self.allowed(now);
        let outcome = &mut self.outcome;
        match verdict {
            gate::Verdict::Granted => {
                self.window.push_back(now);
                let count = self.window.len() as f64;
                let bound = allowed * (1.0 + BOUND.overshoot) + BOUND.slack;
                outcome.admitted += 1;
                outcome.over_bound += u64::from(count > bound);
                outcome.excess = outcome.excess.max(count - allowed);
            }
            _ => {
                let is_allowed = self.window.len() as f64 + 1.0 <= allowed;
                outcome.refused_although_allowed += u64::from(is_allowed);
                outcome.refused += 1;
                let is_unavailable = matches!(verdict, gate::Verdict::Unavailable { .. });
                outcome.unavailable += u64::from(is_unavailable);
            }
        }
    }
}

/// Baseline: a bucket in each process with a part of the limit.
pub(crate) fn run_local(
    schedule: &Schedule,
    limits: &Limits,
    processes: usize,
    part: f64,
) -> Outcome {
    let limit = limits["account"];
    let (rate, burst) = (limit.rate_per_s * part, (limit.burst * part).max(1.0));
    let mut buckets = vec![(burst, 0); processes];
    let mut judge = Judge::new(limits);
    for (now, process) in schedule {
        let (level, at) = &mut buckets[*process];
        *level = (*level + rate * (now - *at) as f64 / 1e3).min(burst);
        *at = *now;
        let is_granted = *level >= 1.0;
        *level -= f64::from(u8::from(is_granted));
        let refused = gate::Verdict::OverLimit {
            retry_after: clock::Millis::ZERO,
        };
        let verdict = match is_granted {
            true => gate::Verdict::Granted,
            false => refused,
        };
        judge.record(*now, verdict);
    }
    judge.outcome
}

/// Call that is under way.
#[derive(Debug)]
struct Call<Q, A> {
    tries: u32,
    end: u64,
    asked_at: u64,
    question: Q,
    answer: Option<A>,
}

#[derive(Debug)]
pub(crate) struct Node {
    pub(crate) pool: pool::Pool,
    /// Whether it reaches the leader, and whether entry processes reach it.
    pub(crate) is_cut: bool,
    pub(crate) is_down: bool,
    report: Option<Call<message::SharesRequest, message::SharesReply>>,
}

#[derive(Debug)]
pub(crate) struct Process {
    pub(crate) holder: holder::Holder,
    /// Coordinator that it asks.
    pub(crate) node: usize,
    /// Time until which it does nothing.
    pub(crate) frozen_until: u64,
    take: Option<Call<message::TakeRequest, message::TakeReply>>,
}

/// System under test.
#[derive(Debug)]
pub(crate) struct World {
    pub(crate) now: u64,
    pub(crate) nodes: Vec<Node>,
    pub(crate) processes: Vec<Process>,
    pub(crate) leader: Option<division::Division>,
    /// Former leader with the time until which it does not know that it was replaced.
    former: Option<(division::Division, u64)>,
    pub(crate) judge: Judge,
    pub(crate) loss: f64,
    limits: Limits,
    rng: rng::SplitMix64,
    next_id: u64,
    pub(crate) calls_count: u64,
}

impl World {
    /// Creates a system whose first configuration has `limits`.
    pub(crate) fn new(seed: u64, nodes: usize, processes: usize, limits: &Limits) -> World {
        let mut world = World {
            now: 0,
            nodes: Vec::new(),
            processes: Vec::new(),
            leader: None,
            former: None,
            judge: Judge::new(limits),
            loss: 0.0,
            limits: limits.clone(),
            rng: rng::SplitMix64::new(seed),
            next_id: 1,
            calls_count: 0,
        };
        world.elect(1, &Limits::new());
        for _ in 0..nodes {
            let node = world.new_node(world.nodes.len());
            world.nodes.push(node);
        }
        for n in 0..processes {
            let id = world.new_id();
            world.processes.push(Process {
                holder: holder::Holder::new(id),
                node: n % nodes,
                frozen_until: 0,
                take: None,
            });
        }
        world.set_limits(limits);
        world
    }

    fn new_id(&mut self) -> u64 {
        self.next_id += 1;
        self.next_id
    }

    fn millis(&self) -> clock::Millis {
        clock::Millis(self.now)
    }

    fn new_node(&mut self, n: usize) -> Node {
        let address = net::SocketAddr::from(([127, 0, 0, 1], n as u16));
        let mut pool = pool::Pool::new(self.new_id(), address);
        pool.set_limits(self.millis(), &self.limits, SPARE);
        Node {
            pool,
            is_cut: false,
            is_down: false,
            report: None,
        }
    }

    /// Starts the term of a new leader, which does not know what `divided` limits were used for.
    pub(crate) fn elect(&mut self, term: u64, divided: &Limits) {
        let mut leader = division::Division::new(self.millis(), term, SPARE, divided);
        leader.set_limits(self.millis(), &self.limits);
        leader.expect(self.nodes.len());
        let addresses = 0..self.nodes.len() as u16;
        leader.set_members(addresses.map(|n| net::SocketAddr::from(([127, 0, 0, 1], n))));
        let former = self.leader.replace(leader);
        let until = self.now + division::CONFIRMATION_MAX.0;
        self.former = former.map(|former| (former, until));
    }

    pub(crate) fn current_limits(&self) -> Limits {
        self.limits.clone()
    }

    /// Changes the limits at all coordinators that are not cut off.
    pub(crate) fn set_limits(&mut self, limits: &Limits) {
        let now = self.millis();
        self.limits = limits.clone();
        if let Some(leader) = &mut self.leader {
            leader.expect(self.nodes.len());
            leader.set_limits(now, limits);
        }
        for node in self.nodes.iter_mut().filter(|node| !node.is_cut) {
            node.pool.set_limits(now, limits, SPARE);
        }
        if self.now > 0 {
            self.judge.limits.push((self.now, limits["account"]));
        }
    }

    /// Kills a coordinator and starts it again without any state.
    pub(crate) fn restart(&mut self, node: usize) {
        let new = self.new_node(node);
        self.nodes[node] = new;
    }

    fn is_lost(&mut self) -> bool {
        (self.rng.below(1_000_000) as f64) < self.loss * 1e6
    }

    /// Runs `schedule` and calls `act` before each step.
    pub(crate) fn run(&mut self, schedule: &Schedule, until_ms: u64, act: impl Fn(&mut World)) {
        let mut next = schedule.iter().peekable();
        while self.now < until_ms {
            act(self);
            for n in 0..self.nodes.len() {
                self.step_node(n);
            }
            while let Some((_, process)) = next.next_if(|(at, _)| *at <= self.now) {
                self.arrive(*process);
            }
            for n in 0..self.processes.len() {
                self.step_process(n);
            }
            self.now += STEP_MS;
        }
    }

    fn step_node(&mut self, n: usize) {
        let now = self.millis();
        if let Some(call) = self.nodes[n].report.take_if(|call| call.end <= now.0) {
            let pool = &mut self.nodes[n].pool;
            match call.answer {
                Some(reply) => {
                    let asked_at = clock::Millis(call.asked_at);
                    pool.apply(now, asked_at, &call.question, reply);
                }
                None => pool.record_lost(),
            }
        }
        let node = &mut self.nodes[n];
        if node.is_down || node.report.is_some() || !node.pool.is_report_due(now) {
            return;
        }
        let question = node.pool.report(now);
        let is_cut = node.is_cut;
        // A lost reply has been given all the same.
        let (is_lost, is_reply_lost) = (is_cut || self.is_lost(), self.is_lost());
        let is_unaware = self.rng.below(2) == 0;
        let former = self.former.as_mut();
        let former = former.filter(|(_, until)| is_unaware && *until > now.0);
        let leader = former.map(|(leader, _)| leader).or(self.leader.as_mut());
        let answer = leader
            .filter(|_| !is_lost)
            .and_then(|leader| leader.answer(now, &question).ok());
        let answer = answer.filter(|_| !is_reply_lost);
        let duration = match answer.is_some() {
            true => REPORT_MS,
            false => TIMEOUT_MS,
        };
        self.nodes[n].report = Some(Call {
            tries: 0,
            end: self.now + duration,
            asked_at: self.now,
            question,
            answer,
        });
    }

    fn arrive(&mut self, process: usize) {
        let now = self.millis();
        if self.processes[process].frozen_until > self.now {
            return;
        }
        let holder = &mut self.processes[process].holder;
        if let holder::Admission::Decided(verdict) =
            holder.admit(now, "account", clock::Millis(1_000))
        {
            self.judge.record(self.now, verdict);
        }
    }

    fn step_process(&mut self, n: usize) {
        let now = self.millis();
        let process = &mut self.processes[n];
        if process.frozen_until > self.now {
            return;
        }
        if let Some(mut call) = process.take.take_if(|call| call.end <= now.0) {
            let asked_at = clock::Millis(call.asked_at);
            let holder = &mut process.holder;
            let answer = call.answer.as_ref();
            let mut verdicts = answer.map_or(Vec::new(), |answer| {
                holder.settle(now, asked_at, &mut call.question, answer)
            });
            if call.answer.is_none_or(|answer| !answer.is_available) {
                process.node = (process.node + 1) % self.nodes.len();
            }
            call.tries += 1;
            if !call.question.asks.is_empty() && call.tries < 3 {
                call.question.retain_unreceived();
                self.ask(n, call.question, call.tries);
            } else {
                verdicts.extend(process.holder.give_up(now, &call.question));
            }
            for (_, verdict) in verdicts {
                self.judge.record(self.now, verdict);
            }
        }
        let process = &mut self.processes[n];
        if process.take.is_some() {
            return;
        }
        let Some(question) = process.holder.question(now) else {
            return;
        };
        self.ask(n, question, 0);
    }

    fn ask(&mut self, n: usize, question: message::TakeRequest, tries: u32) {
        let now = self.millis();
        self.calls_count += 1;
        let (is_lost, is_reply_lost) = (self.is_lost(), self.is_lost());
        let mut target = self.processes[n].node;
        if question.asks.iter().any(|ask| ask.is_elsewhere) {
            let others = self.nodes.len().max(2) as u64 - 1;
            target = (target + 1 + self.rng.below(others) as usize) % self.nodes.len();
        }
        let node = &mut self.nodes[target];
        let answer = (!is_lost && !node.is_down).then(|| node.pool.take(now, &question));
        let answer = answer.filter(|_| !is_reply_lost);
        self.processes[n].take = Some(Call {
            tries,
            end: self.now + STEP_MS * if answer.is_some() { 1 } else { 8 },
            asked_at: self.now,
            question,
            answer,
        });
    }
}

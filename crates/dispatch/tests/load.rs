//! Replays of the worst loads: which request is admitted, refused and placed where.
//!
//! Servers are modelled as the contract with them describes: a few slots, a short queue, slower
//! when full, on VMs whose speed changes twice a second. Several processes place requests without
//! seeing each other's. Each test states what the policy must gain over a baseline.

use nutmegdale_base::rng::Rng;
use nutmegdale_base::{class, clock, rng};
use nutmegdale_dispatch::{admission, estimate, health, placement, signal};

const WORK_MS: f64 = 90.0;
const CROWDED_FACTOR: f64 = 1.7;
const AIM_MS: u64 = 250;
const DEADLINE_MS: u64 = 800;
const SLOTS: usize = 3;
const QUEUE: usize = 6;
const PROCESSES: usize = 4;
const SERVERS: usize = 17;

const WAYS: placement::Links = {
    let way = placement::Link {
        rtt_ms: 1.0,
        penalty_share: 0.0,
        penalty_share_per_kb: 0.0,
    };
    placement::Links {
        zone: way,
        region: way,
        cross_region: way,
    }
};

const NEED: placement::RequestProfile = placement::RequestProfile {
    work_ms: WORK_MS,
    transfer_kb: 1.5,
    saturation_factor: CROWDED_FACTOR,
    target_ms: AIM_MS as f64,
};

const TIME: admission::TimeLeft = admission::TimeLeft {
    to_target: clock::Millis(AIM_MS),
    to_deadline: clock::Millis(DEADLINE_MS),
};

#[derive(Clone, Copy, PartialEq)]
enum Policy {
    /// Servers in turn, everything admitted.
    InTurn,
    /// The best prediction, everything admitted.
    PlacedOnly,
    /// The best prediction, admitted by the decision under test.
    Admitted,
    /// The same, where a report counts the same whatever its age.
    AnyAge,
}

struct Running {
    process: usize,
    left_ms: f64,
    begun: u64,
}

struct Server {
    running: Vec<Running>,
    waiting: Vec<Running>,
    stretch: f64,
    base: f64,
}

impl Server {
    fn report(&self) -> signal::Report {
        signal::Report {
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            slots: SLOTS as u32,
            slowdown_percent: (self.stretch * self.base * 100.0) as u32,
        }
    }
}

#[derive(Default, Debug)]
struct Result {
    in_aim: usize,
    late: usize,
    refused: usize,
    failed: usize,
}

struct Load {
    seed: u64,
    per_s: f64,
    /// Servers that work five times as long.
    slow: usize,
    /// Share of VMs that are seven times slower for a while.
    noisy: f64,
    /// Share of health checks that are answered too late for the choice.
    unanswered: f64,
    /// Processes that place requests.
    processes: usize,
    /// Servers.
    servers: usize,
}

/// Servers of one service near a few processes.
const SMALL: Load = Load {
    seed: 0,
    per_s: 0.0,
    slow: 0,
    noisy: 0.0,
    unanswered: 0.0,
    processes: PROCESSES,
    servers: SERVERS,
};

fn play(load: &Load, policy: Policy) -> Result {
    let mut rng = rng::SplitMix64::new(load.seed);
    let mut servers: Vec<_> = (0..load.servers)
        .map(|n| Server {
            running: Vec::new(),
            waiting: Vec::new(),
            stretch: 1.0,
            base: if n < load.slow { 5.0 } else { 1.0 },
        })
        .collect();
    let signals: Vec<Vec<signal::Signal>> = (0..load.processes)
        .map(|_| {
            (0..load.servers)
                .map(|_| signal::Signal::default())
                .collect()
        })
        .collect();
    let mut result = Result::default();
    let mut turn = 0;
    for ms in 0..20_000_u64 {
        if ms % 500 == 0 {
            for server in &mut servers {
                let is_noisy = (rng.below(1_000) as f64) < load.noisy * 1_000.0;
                server.stretch = if is_noisy { 7.0 } else { 1.0 };
            }
        }
        advance(ms, &mut servers, &signals, &mut result);
        if (rng.below(1_000_000) as f64) >= load.per_s * 1_000.0 {
            continue;
        }
        let process = rng.below(load.processes as u64) as usize;
        let own = &signals[process];
        let now = clock::Millis(ms);
        turn += 1;
        let chosen = match policy {
            Policy::InTurn => Some(turn % load.servers),
            _ => choose(now, policy, load, &servers, own, &mut rng),
        };
        let Some(n) = chosen else {
            result.refused += 1;
            continue;
        };
        let server = &mut servers[n];
        if server.waiting.len() >= QUEUE {
            result.refused += 1;
            continue;
        }
        let spread = 0.7 + rng.below(600) as f64 / 1_000.0;
        own[n].begin();
        server.waiting.push(Running {
            process,
            left_ms: WORK_MS * spread,
            begun: ms,
        });
    }
    result
}

fn choose(
    now: clock::Millis,
    policy: Policy,
    load: &Load,
    servers: &[Server],
    own: &[signal::Signal],
    rng: &mut rng::SplitMix64,
) -> Option<usize> {
    let health = health::Health::default();
    let candidates: Vec<_> = own
        .iter()
        .map(|signal| candidate(signal, &health, placement::Distance::Zone))
        .collect();
    for _ in 0..2 {
        let ranked = placement::rank(
            now,
            &candidates,
            NEED,
            &WAYS,
            placement::Purpose::Probe(3),
            rng,
        );
        for (n, _) in ranked.iter().take(3) {
            if (rng.below(1_000) as f64) >= load.unanswered * 1_000.0 {
                own[*n].record_report(now, servers[*n].report(), own[*n].inflight());
            }
        }
    }
    let purpose = match policy {
        Policy::AnyAge => placement::Purpose::Probe(3),
        _ => placement::Purpose::Send,
    };
    let ranked = placement::rank(now, &candidates, NEED, &WAYS, purpose, rng);
    let (best, prediction) = ranked.first()?;
    let decision = admission::decide(prediction, NEED, TIME, false, rng);
    let is_admitted = policy == Policy::PlacedOnly || decision == admission::Decision::Admit;
    is_admitted.then_some(*best)
}

fn advance(ms: u64, servers: &mut [Server], signals: &[Vec<signal::Signal>], result: &mut Result) {
    for (n, server) in servers.iter_mut().enumerate() {
        while server.running.len() < SLOTS && !server.waiting.is_empty() {
            let next = server.waiting.remove(0);
            server.running.push(next);
        }
        let crowded = if server.running.len() == SLOTS {
            CROWDED_FACTOR
        } else {
            1.0
        };
        let step = 1.0 / (server.stretch * server.base * crowded);
        server.running.retain_mut(|request| {
            request.left_ms -= step;
            let took = ms - request.begun;
            let is_over = request.left_ms <= 0.0 || took >= DEADLINE_MS;
            if is_over {
                signals[request.process][n].end();
                match took {
                    _ if request.left_ms > 0.0 => result.failed += 1,
                    0..AIM_MS => result.in_aim += 1,
                    _ => result.late += 1,
                }
            }
            !is_over
        });
    }
}

fn share(result: &Result) -> f64 {
    let all = result.in_aim + result.late + result.refused + result.failed;
    result.in_aim as f64 / all as f64
}

/// Guards against a rush in which every request is admitted and nearly all are late.
#[test]
fn rush_keeps_most_of_what_servers_can_do_within_the_aim() {
    let load = Load {
        seed: 1,
        per_s: 300.0,
        slow: 4,
        noisy: 0.25,
        ..SMALL
    };
    let in_turn = share(&play(&load, Policy::InTurn));
    let placed = share(&play(&load, Policy::PlacedOnly));
    let admitted = share(&play(&load, Policy::Admitted));
    let most = in_turn.max(placed);
    assert!(
        admitted > most + 0.3,
        "admitted {admitted} placed {placed} in turn {in_turn}"
    );
}

/// Guards against requests that go to servers of which only old reports are known, since those look
/// free in a rush, while health checks of others were answered.
#[test]
fn rush_with_late_health_checks_goes_to_servers_that_are_known() {
    let load = Load {
        seed: 7,
        per_s: 1_000.0,
        slow: 6,
        noisy: 0.25,
        unanswered: 0.5,
        processes: 80,
        servers: 48,
    };
    let any_age = share(&play(&load, Policy::AnyAge));
    let known = share(&play(&load, Policy::Admitted));
    assert!(known > any_age + 0.005, "known {known} any age {any_age}");
}

/// Guards against noisy VMs that cost requests their aim while quiet ones have free slots.
#[test]
fn noise_is_avoided_at_usual_load() {
    let load = Load {
        seed: 2,
        per_s: 110.0,
        noisy: 0.35,
        ..SMALL
    };
    let in_turn = share(&play(&load, Policy::InTurn));
    let admitted = share(&play(&load, Policy::Admitted));
    assert!(admitted > 0.9, "admitted {admitted}");
    assert!(
        admitted > in_turn + 0.2,
        "admitted {admitted} in turn {in_turn}"
    );
}

/// Guards against requests that go on to servers that have turned slow.
#[test]
fn half_of_the_servers_slow_leaves_the_rest_to_serve() {
    let load = Load {
        seed: 3,
        per_s: 110.0,
        slow: SERVERS / 2,
        ..SMALL
    };
    let in_turn = share(&play(&load, Policy::InTurn));
    let admitted = share(&play(&load, Policy::Admitted));
    assert!(admitted > 0.95, "admitted {admitted}");
    assert!(
        admitted > in_turn + 0.3,
        "admitted {admitted} in turn {in_turn}"
    );
}

/// Guards against a refusal that asks a caller to return too late for its aim, or after most of its
/// time.
#[test]
fn refused_callers_return_while_they_can_still_be_served() {
    let mut rng = rng::SplitMix64::new(4);
    let best = placement::Prediction {
        response_ms: 400.0,
        uncorrected_ms: 400.0,
        cost_ms: 400.0,
        age: None,
        slowdown_percent: 100.0,
        in_flight: 6,
        has_room: false,
        slots: SLOTS as u32,
    };
    let need = placement::RequestProfile {
        transfer_kb: 1.0,
        ..NEED
    };
    for _ in 0..1_000 {
        let decision = admission::decide(&best, need, TIME, false, &mut rng);
        let admission::Decision::Refuse { retry_after } = decision else {
            panic!("a request that cannot keep its aim takes no slot in a rush");
        };
        assert!(
            retry_after.0 >= 50 && retry_after.0 + WORK_MS as u64 <= AIM_MS,
            "{retry_after}"
        );
    }
}

/// Guards against servers that go on getting requests although their answers take far longer than
/// their reports say, and against a server that is avoided for good.
#[test]
fn server_slower_than_it_reports_is_known_from_its_answers() {
    let signal = signal::Signal::default();
    let now = clock::Millis(10_000);
    signal.record_response_time(now, 95.0, 90.0);
    assert!((signal.unreported_slowdown(now) - 1.0).abs() < f64::EPSILON);
    for _ in 0..3 {
        signal.record_response_time(now, 450.0, 90.0);
    }
    assert!(signal.unreported_slowdown(now) > 3.0);
    let later = now + clock::Millis(5_000);
    assert!((signal.unreported_slowdown(later) - 1.0).abs() < f64::EPSILON);
    for _ in 0..6 {
        signal.record_response_time(now, 90.0, 90.0);
    }
    assert!((signal.unreported_slowdown(now) - 1.0).abs() < f64::EPSILON);
}

/// Guards against a time in which every answer was slow, without a report that said so, after which
/// all requests of a route are refused for good: refused requests bring no answers to learn from.
#[test]
fn requests_are_served_again_after_a_time_of_slow_answers() {
    let estimate = estimate::Estimate::new(class::Class::UrgentLookup, clock::Millis(AIM_MS));
    let signal = signal::Signal::default();
    let health = health::Health::default();
    for _ in 0..40 {
        estimate.record_response(clock::Millis(800), 100, 1_500, estimate::Room::Free);
    }
    let mut rng = rng::SplitMix64::new(5);
    // An idle server that reports no load, asked for ten seconds after that time.
    let admitted = (0..100_u64).filter(|n| {
        let now = clock::Millis(20_000 + n * 100);
        let need = placement::RequestProfile {
            work_ms: estimate.work_ms(),
            transfer_kb: 1.0,
            saturation_factor: estimate.saturation_factor(),
            target_ms: AIM_MS as f64,
        };
        let candidate = candidate(&signal, &health, placement::Distance::Zone);
        let best = placement::predict(now, &candidate, need, &WAYS);
        let is_in_doubt = estimate.may_be_stale(now);
        let decision = admission::decide(&best, need, TIME, is_in_doubt, &mut rng);
        match decision {
            admission::Decision::Admit => estimate.record_admission(),
            admission::Decision::Trial => estimate.reset_weight(),
            admission::Decision::Refuse { .. } => estimate.record_refusal(now),
        }
        let is_admitted = !matches!(decision, admission::Decision::Refuse { .. });
        if is_admitted {
            estimate.record_response(clock::Millis(90), 100, 1_500, estimate::Room::Free);
        }
        is_admitted
    });
    assert!(admitted.count() > 50);
}

/// Guards against requests that go on to a full server nearby while others are idle: a server that
/// reports no load says by its refusal alone that it is full.
#[test]
fn full_server_without_reports_is_passed_over_for_a_while() {
    const FAR_WAY: placement::Link = placement::Link {
        rtt_ms: 17.0,
        penalty_share: 0.1,
        penalty_share_per_kb: 0.03,
    };
    let ways = placement::Links {
        cross_region: FAR_WAY,
        ..WAYS
    };
    let signals = [signal::Signal::default(), signal::Signal::default()];
    let health = health::Health::default();
    let mut rng = rng::SplitMix64::new(6);
    let mut best = |now| {
        let distances = [placement::Distance::Zone, placement::Distance::CrossRegion];
        let candidates: Vec<_> = signals
            .iter()
            .zip(distances)
            .map(|(signal, distance)| candidate(signal, &health, distance))
            .collect();
        let purpose = placement::Purpose::Probe(1);
        placement::rank(now, &candidates, NEED, &ways, purpose, &mut rng)[0].0
    };
    let refused = clock::Millis(20_000);
    assert_eq!(best(refused), 0);
    signals[0].record_full(refused);
    assert_eq!(best(refused + clock::Millis(5)), 1);
    // What ran there then has ended, but others go on to fill it.
    assert_eq!(best(refused + clock::Millis(300)), 1);
    assert_eq!(best(refused + clock::Millis(1_000)), 0);
    signals[0].record_full(refused + clock::Millis(500));
    let idle = signal::Report {
        running: 0,
        waiting: 0,
        slots: SLOTS as u32,
        slowdown_percent: 100,
    };
    signals[0].record_report(refused + clock::Millis(501), idle, 0);
    assert_eq!(
        best(refused + clock::Millis(505)),
        0,
        "a later report counts"
    );
}

/// Guards against a request that goes to a server of which only an old report is known, because it
/// looks free, while one with a free slot is known.
#[test]
fn server_that_is_known_now_goes_before_one_that_looked_free_long_ago() {
    let signals = [signal::Signal::default(), signal::Signal::default()];
    let health = health::Health::default();
    let now = clock::Millis(20_000);
    let report = |running| signal::Report {
        running,
        waiting: 0,
        slots: SLOTS as u32,
        slowdown_percent: 100,
    };
    signals[0].record_report(now, report(2), 0);
    signals[1].record_report(clock::Millis(19_600), report(0), 0);
    let candidates: Vec<_> = signals
        .iter()
        .map(|signal| candidate(signal, &health, placement::Distance::Zone))
        .collect();
    let need = placement::RequestProfile {
        target_ms: 500.0,
        ..NEED
    };
    let mut rng = rng::SplitMix64::new(8);
    let mut first =
        |purpose| placement::rank(now, &candidates, need, &WAYS, purpose, &mut rng)[0].0;
    assert_eq!(first(placement::Purpose::Send), 0);
    assert_eq!(
        first(placement::Purpose::Probe(1)),
        1,
        "the other is worth asking"
    );
}

fn candidate<'a>(
    signal: &'a signal::Signal,
    health: &'a health::Health,
    distance: placement::Distance,
) -> placement::Candidate<'a> {
    placement::Candidate {
        signal,
        health,
        slots: SLOTS as u32,
        distance,
        is_cold: false,
        is_preferred: true,
    }
}

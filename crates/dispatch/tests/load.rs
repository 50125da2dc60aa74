//! Simulations of the worst load patterns: which requests are admitted, and which servers get them.
//!
//! The simulated servers have a few slots and a short queue, are slower when full, and run on VMs
//! whose speed changes twice a second. Several processes place requests without seeing each
//! other's. Each test states what the policy must gain over a baseline.

use nutmegdale_base::rng::Rng;
use nutmegdale_base::{class, clock, rng};
use nutmegdale_dispatch::{admission, estimate, health, placement, signal};

const SERVICE_TIME_MS: f64 = 90.0;
const SATURATION_FACTOR: f64 = 1.7;
const TARGET_MS: u64 = 250;
const DEADLINE_MS: u64 = 800;
const SLOTS_COUNT: usize = 3;
const QUEUE_LEN: usize = 6;
const PROCESSES_COUNT: usize = 4;
const SERVERS_COUNT: usize = 17;

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

const PROFILE: placement::RequestProfile = placement::RequestProfile {
    service_time_ms: SERVICE_TIME_MS,
    transfer_kb: 1.5,
    saturation_factor: SATURATION_FACTOR,
    target_ms: TARGET_MS as f64,
};

const TIME_LEFT: admission::TimeLeft = admission::TimeLeft {
    to_target: clock::Millis(TARGET_MS),
    to_deadline: clock::Millis(DEADLINE_MS),
};

#[derive(Clone, Copy, PartialEq)]
enum Policy {
    /// Round robin without admission control.
    RoundRobin,
    /// The best prediction without admission control.
    PlacementOnly,
    /// The best prediction with the admission control under test.
    WithAdmission,
    /// Like `WithAdmission`, but the age of load reports is ignored.
    IgnoringAge,
}

struct Running {
    process: usize,
    left_ms: f64,
    started: u64,
}

struct Server {
    running: Vec<Running>,
    waiting: Vec<Running>,
    vm_slowdown: f64,
    base_slowdown: f64,
}

impl Server {
    fn report(&self) -> signal::Report {
        signal::Report {
            running: self.running.len() as u32,
            waiting: self.waiting.len() as u32,
            slots: SLOTS_COUNT as u32,
            slowdown_percent: (self.vm_slowdown * self.base_slowdown * 100.0) as u32,
        }
    }
}

#[derive(Default, Debug)]
struct Counts {
    in_target: usize,
    late: usize,
    refused: usize,
    failed: usize,
}

struct Load {
    seed: u64,
    requests_per_s: f64,
    /// Servers that are five times slower.
    slow_servers: usize,
    /// Share of VMs that are seven times slower, drawn again every 500 ms.
    noisy_share: f64,
    /// Share of health checks whose response arrives too late for the choice.
    late_check_share: f64,
    /// Processes that place requests.
    processes_count: usize,
    /// Servers that take requests.
    servers: usize,
}

/// One service whose servers are all in the zone of a few processes.
const SMALL: Load = Load {
    seed: 0,
    requests_per_s: 0.0,
    slow_servers: 0,
    noisy_share: 0.0,
    late_check_share: 0.0,
    processes_count: PROCESSES_COUNT,
    servers: SERVERS_COUNT,
};

fn simulate(load: &Load, policy: Policy) -> Counts {
    let mut rng = rng::SplitMix64::new(load.seed);
    let mut servers: Vec<_> = (0..load.servers)
        .map(|n| Server {
            running: Vec::new(),
            waiting: Vec::new(),
            vm_slowdown: 1.0,
            base_slowdown: if n < load.slow_servers { 5.0 } else { 1.0 },
        })
        .collect();
    let signals: Vec<Vec<signal::Signal>> = (0..load.processes_count)
        .map(|_| {
            (0..load.servers)
                .map(|_| signal::Signal::default())
                .collect()
        })
        .collect();
    let mut counts = Counts::default();
    let mut next_server = 0;
    for ms in 0..20_000_u64 {
        if ms % 500 == 0 {
            for server in &mut servers {
                let is_noisy = (rng.below(1_000) as f64) < load.noisy_share * 1_000.0;
                server.vm_slowdown = if is_noisy { 7.0 } else { 1.0 };
            }
        }
        advance(ms, &mut servers, &signals, &mut counts);
        if (rng.below(1_000_000) as f64) >= load.requests_per_s * 1_000.0 {
            continue;
        }
        let process = rng.below(load.processes_count as u64) as usize;
        let own = &signals[process];
        let now = clock::Millis(ms);
        next_server += 1;
        let chosen = match policy {
            Policy::RoundRobin => Some(next_server % load.servers),
            _ => choose(now, policy, load, &servers, own, &mut rng),
        };
        let Some(n) = chosen else {
            counts.refused += 1;
            continue;
        };
        let server = &mut servers[n];
        if server.waiting.len() >= QUEUE_LEN {
            counts.refused += 1;
            continue;
        }
        let variation = 0.7 + rng.below(600) as f64 / 1_000.0;
        own[n].begin();
        server.waiting.push(Running {
            process,
            left_ms: SERVICE_TIME_MS * variation,
            started: ms,
        });
    }
    counts
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
            PROFILE,
            &LINKS,
            placement::Purpose::Probe(3),
            rng,
        );
        for (n, _) in ranked.iter().take(3) {
            if (rng.below(1_000) as f64) >= load.late_check_share * 1_000.0 {
                own[*n].record_report(now, servers[*n].report(), own[*n].in_flight());
            }
        }
    }
    let purpose = match policy {
        Policy::IgnoringAge => placement::Purpose::Probe(3),
        _ => placement::Purpose::Send,
    };
    let ranked = placement::rank(now, &candidates, PROFILE, &LINKS, purpose, rng);
    let (best, prediction) = ranked.first()?;
    let decision = admission::decide(prediction, PROFILE, TIME_LEFT, false, rng);
    let is_admitted = policy == Policy::PlacementOnly || decision == admission::Decision::Admit;
    is_admitted.then_some(*best)
}

fn advance(ms: u64, servers: &mut [Server], signals: &[Vec<signal::Signal>], counts: &mut Counts) {
    for (n, server) in servers.iter_mut().enumerate() {
        while server.running.len() < SLOTS_COUNT && !server.waiting.is_empty() {
            let next = server.waiting.remove(0);
            server.running.push(next);
        }
        let saturation = if server.running.len() == SLOTS_COUNT {
            SATURATION_FACTOR
        } else {
            1.0
        };
        let step = 1.0 / (server.vm_slowdown * server.base_slowdown * saturation);
        server.running.retain_mut(|request| {
            request.left_ms -= step;
            let took = ms - request.started;
            let is_over = request.left_ms <= 0.0 || took >= DEADLINE_MS;
            if is_over {
                signals[request.process][n].end();
                match took {
                    _ if request.left_ms > 0.0 => counts.failed += 1,
                    0..TARGET_MS => counts.in_target += 1,
                    _ => counts.late += 1,
                }
            }
            !is_over
        });
    }
}

fn share_in_target(counts: &Counts) -> f64 {
    let all = counts.in_target + counts.late + counts.refused + counts.failed;
    counts.in_target as f64 / all as f64
}

/// Guards against overload in which every request is admitted and nearly all are late.
#[test]
fn overload_keeps_most_of_the_throughput_within_the_target() {
    let load = Load {
        seed: 1,
        requests_per_s: 300.0,
        slow_servers: 4,
        noisy_share: 0.25,
        ..SMALL
    };
    let round_robin = share_in_target(&simulate(&load, Policy::RoundRobin));
    let placement_only = share_in_target(&simulate(&load, Policy::PlacementOnly));
    let with_admission = share_in_target(&simulate(&load, Policy::WithAdmission));
    let baseline = round_robin.max(placement_only);
    assert!(
        with_admission > baseline + 0.3,
        "admission {with_admission} placement {placement_only} round robin {round_robin}"
    );
}

/// Guards against requests that go to servers with outdated load reports, since those look free
/// under overload, while others have responded to a health check.
#[test]
fn overload_with_late_health_checks_prefers_servers_with_recent_reports() {
    let load = Load {
        seed: 7,
        requests_per_s: 1_000.0,
        slow_servers: 6,
        noisy_share: 0.25,
        late_check_share: 0.5,
        processes_count: 80,
        servers: 48,
    };
    let ignoring_age = share_in_target(&simulate(&load, Policy::IgnoringAge));
    let by_age = share_in_target(&simulate(&load, Policy::WithAdmission));
    assert!(
        by_age > ignoring_age + 0.005,
        "by age {by_age} ignoring age {ignoring_age}"
    );
}

/// Guards against noisy VMs that make requests late while quiet ones have free slots.
#[test]
fn noisy_vms_are_avoided_at_normal_load() {
    let load = Load {
        seed: 2,
        requests_per_s: 110.0,
        noisy_share: 0.35,
        ..SMALL
    };
    let round_robin = share_in_target(&simulate(&load, Policy::RoundRobin));
    let with_admission = share_in_target(&simulate(&load, Policy::WithAdmission));
    assert!(with_admission > 0.9, "admission {with_admission}");
    assert!(
        with_admission > round_robin + 0.2,
        "admission {with_admission} round robin {round_robin}"
    );
}

/// Guards against requests that still go to servers that have become slow.
#[test]
fn fast_half_serves_when_half_of_the_servers_are_slow() {
    let load = Load {
        seed: 3,
        requests_per_s: 110.0,
        slow_servers: SERVERS_COUNT / 2,
        ..SMALL
    };
    let round_robin = share_in_target(&simulate(&load, Policy::RoundRobin));
    let with_admission = share_in_target(&simulate(&load, Policy::WithAdmission));
    assert!(with_admission > 0.95, "admission {with_admission}");
    assert!(
        with_admission > round_robin + 0.3,
        "admission {with_admission} round robin {round_robin}"
    );
}

/// Guards against a retry delay that is too long for the target latency, or that takes most of the
/// remaining time.
#[test]
fn refused_callers_retry_while_they_can_still_be_served() {
    let mut rng = rng::SplitMix64::new(4);
    let best = placement::Prediction {
        response_ms: 400.0,
        uncorrected_ms: 400.0,
        cost_ms: 400.0,
        age: None,
        slowdown_percent: 100.0,
        in_flight: 6,
        has_room: false,
        slots: SLOTS_COUNT as u32,
    };
    let profile = placement::RequestProfile {
        transfer_kb: 1.0,
        ..PROFILE
    };
    for _ in 0..1_000 {
        let decision = admission::decide(&best, profile, TIME_LEFT, false, &mut rng);
        let admission::Decision::Refuse { retry_after } = decision else {
            panic!("a request that cannot meet its target must be refused under overload");
        };
        assert!(
            retry_after.0 >= 50 && retry_after.0 + SERVICE_TIME_MS as u64 <= TARGET_MS,
            "{retry_after}"
        );
    }
}

/// Guards against servers that keep getting requests although their responses take far longer than
/// their reports predict, and against a server that is avoided forever.
#[test]
fn unreported_slowdown_is_learned_from_response_times() {
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

/// Guards against a route whose requests are all refused forever after a period of slow responses
/// that no load report explained: refused requests bring no responses to learn from.
#[test]
fn requests_are_admitted_again_after_slow_responses() {
    let estimate = estimate::Estimate::new(class::Class::UrgentLookup, clock::Millis(TARGET_MS));
    let signal = signal::Signal::default();
    let health = health::Health::default();
    for _ in 0..40 {
        estimate.record_response(clock::Millis(800), 100, 1_500, estimate::Room::Free);
    }
    let mut rng = rng::SplitMix64::new(5);
    // An idle server without load reports gets requests for ten seconds after that period.
    let admitted = (0..100_u64).filter(|n| {
        let now = clock::Millis(20_000 + n * 100);
        let profile = placement::RequestProfile {
            service_time_ms: estimate.service_time_ms(),
            transfer_kb: 1.0,
            saturation_factor: estimate.saturation_factor(),
            target_ms: TARGET_MS as f64,
        };
        let candidate = candidate(&signal, &health, placement::Distance::Zone);
        let best = placement::predict(now, &candidate, profile, &LINKS);
        let may_be_stale = estimate.may_be_stale(now);
        let decision = admission::decide(&best, profile, TIME_LEFT, may_be_stale, &mut rng);
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

/// Guards against requests that keep going to a full server nearby while others are idle. For a
/// server without load reports, a rejection alone shows that it is full.
#[test]
fn full_server_without_reports_is_avoided_temporarily() {
    const CROSS_REGION: placement::Link = placement::Link {
        rtt_ms: 17.0,
        penalty_share: 0.1,
        penalty_share_per_kb: 0.03,
    };
    let links = placement::Links {
        cross_region: CROSS_REGION,
        ..LINKS
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
        placement::rank(now, &candidates, PROFILE, &links, purpose, &mut rng)[0].0
    };
    let rejected_at = clock::Millis(20_000);
    assert_eq!(best(rejected_at), 0);
    signals[0].record_full(rejected_at);
    assert_eq!(best(rejected_at + clock::Millis(5)), 1);
    // The requests that filled it have ended, but other processes may have sent more.
    assert_eq!(best(rejected_at + clock::Millis(300)), 1);
    assert_eq!(best(rejected_at + clock::Millis(1_000)), 0);
    signals[0].record_full(rejected_at + clock::Millis(500));
    let idle = signal::Report {
        running: 0,
        waiting: 0,
        slots: SLOTS_COUNT as u32,
        slowdown_percent: 100,
    };
    signals[0].record_report(rejected_at + clock::Millis(501), idle, 0);
    assert_eq!(
        best(rejected_at + clock::Millis(505)),
        0,
        "a newer load report overrides the rejection"
    );
}

/// Guards against a request that goes to a server because its outdated load report shows it free,
/// while another server with a recent report has a free slot.
#[test]
fn server_with_a_recent_report_is_preferred_to_one_with_an_outdated_report() {
    let signals = [signal::Signal::default(), signal::Signal::default()];
    let health = health::Health::default();
    let now = clock::Millis(20_000);
    let report = |running| signal::Report {
        running,
        waiting: 0,
        slots: SLOTS_COUNT as u32,
        slowdown_percent: 100,
    };
    signals[0].record_report(now, report(2), 0);
    signals[1].record_report(clock::Millis(19_600), report(0), 0);
    let candidates: Vec<_> = signals
        .iter()
        .map(|signal| candidate(signal, &health, placement::Distance::Zone))
        .collect();
    let profile = placement::RequestProfile {
        target_ms: 500.0,
        ..PROFILE
    };
    let mut rng = rng::SplitMix64::new(8);
    let mut first =
        |purpose| placement::rank(now, &candidates, profile, &LINKS, purpose, &mut rng)[0].0;
    assert_eq!(first(placement::Purpose::Send), 0);
    assert_eq!(
        first(placement::Purpose::Probe(1)),
        1,
        "the server with the outdated report is worth a probe"
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
        slots: SLOTS_COUNT as u32,
        distance,
        is_cold: false,
        is_preferred: true,
    }
}

/// Guards against a load report with counts whose sum exceeds the range of a number: it would end
/// the process, or make a server with endless work look idle.
#[test]
fn implausible_load_report_is_no_idle_server() {
    let signal = signal::Signal::default();
    let now = clock::Millis(1_000);
    let report = signal::Report {
        running: u32::MAX,
        waiting: u32::MAX,
        slots: 4,
        slowdown_percent: u32::MAX,
    };
    signal.record_report(now, report, 1);
    let health = health::Health::default();
    let candidate = placement::Candidate {
        signal: &signal,
        health: &health,
        slots: u32::MAX,
        distance: placement::Distance::Zone,
        is_cold: false,
        is_preferred: true,
    };
    let profile = placement::RequestProfile {
        service_time_ms: 90.0,
        transfer_kb: 1.0,
        saturation_factor: 1.2,
        target_ms: 250.0,
    };
    let busy = placement::predict(now, &candidate, profile, &LINKS);
    assert!(busy.in_flight > 1_000, "{busy:?}");
    assert!(busy.response_ms.is_finite(), "{busy:?}");
}

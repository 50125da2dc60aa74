//! Limits that hold over all processes together: requests to cold servers, and retries.

use nutmegdale_base::clock;
use nutmegdale_dispatch::{budget, health, server_rate};

const COLD: server_rate::ColdBound = server_rate::ColdBound {
    overshoot: 1.5,
    slack: 5.0,
};

/// Guards against a cold server that gets more requests in some second than its limit allows, when
/// any number of processes send as often as their pacers permit.
#[test]
fn cold_server_stays_within_its_limit_in_every_second() {
    for processes in [1_usize, 16, 20, 132, 300] {
        for rate in [4.1, 9.5, 13.0] {
            let names: Vec<_> = (0..processes).map(|n| format!("entry-{n}")).collect();
            let all: Vec<_> = names
                .iter()
                .map(|name| server_rate::Node::new(name, "a"))
                .collect();
            let server = server_rate::Node::new("server", "a");
            let ranks = all
                .iter()
                .map(|own| server_rate::Rank::new(own, &all, &server));
            let paces: Vec<_> = ranks
                .filter_map(|rank| COLD.share(rate, &rank))
                .map(|share| (server_rate::Pacer::default(), share))
                .collect();
            let mut sent = Vec::new();
            for ms in 0..5_000 {
                let now = clock::Millis(ms);
                let allowed = paces
                    .iter()
                    .filter(|(pacer, share)| pacer.take(now, share, 0));
                sent.extend(allowed.map(|_| ms));
            }
            let bound = (rate * COLD.overshoot + COLD.slack) as usize;
            for (n, start) in sent.iter().enumerate() {
                let within = sent[n..].iter().take_while(|at| **at < start + 1_000);
                assert!(
                    within.count() <= bound,
                    "{processes} processes, rate {rate}"
                );
            }
            assert!(!sent.is_empty(), "a cold server must get work to warm up");
        }
    }
}

const RETRIES: budget::Bound = budget::Bound {
    ratio: 0.2,
    slack: 64.0,
    window: clock::Millis(10_000),
};

/// Simulates one request every 5 ms over all processes; from `calm_ms` on, each request is followed
/// by a retry if the budget allows it. Returns the times of the requests and of the retries.
fn simulate_failures(processes: usize, calm_ms: u64) -> (Vec<u64>, Vec<u64>) {
    let budgets: Vec<_> = (0..processes)
        .map(|_| budget::Budget::new(clock::Millis::ZERO, &RETRIES, processes))
        .collect();
    let mut requests = Vec::new();
    let mut sent = Vec::new();
    for ms in (0..40_000).step_by(5) {
        let now = clock::Millis(ms);
        let budget = &budgets[(ms as usize / 5) % processes];
        budget.deposit(now, &RETRIES, processes);
        requests.push(ms);
        if ms >= calm_ms && budget.withdraw(now, &RETRIES, processes) {
            sent.push(ms);
        }
    }
    (requests, sent)
}

/// Guards against more retries in some window than the limit over all processes allows, when all
/// requests fail at every process, also after a calm period in which every process saved up.
#[test]
fn retries_stay_within_the_limit_in_every_window() {
    for (processes, calm_ms) in [
        (1, 0),
        (16, 0),
        (132, 0),
        (1, 15_000),
        (16, 15_000),
        (132, 15_000),
    ] {
        let (requests, sent) = simulate_failures(processes, calm_ms);
        let in_window = |times: &[u64], from: u64| {
            let times = times
                .iter()
                .filter(|at| (from..from + 10_000).contains(*at));
            times.count() as f64
        };
        for from in (0..30_000).step_by(500) {
            let max = RETRIES.ratio * in_window(&requests, from) + RETRIES.slack;
            let got = in_window(&sent, from);
            assert!(
                got <= max,
                "{processes} processes, calm for {calm_ms} ms, from {from}: {got} of {max}"
            );
        }
        assert!(sent.len() > 100, "the budget must allow retries");
    }
}

/// Guards against processes with few requests that cannot retry twice in quick succession, although
/// all of them together use a fraction of the limit.
#[test]
fn process_with_few_requests_saves_up_for_two_retries() {
    let bound = budget::Bound {
        slack: 214.0,
        ..RETRIES
    };
    let budget = budget::Budget::new(clock::Millis::ZERO, &bound, 132);
    for n in 0..80 {
        budget.deposit(clock::Millis(n * 240), &bound, 132);
    }
    let now = clock::Millis(80 * 240);
    let taken = (0..10)
        .filter(|_| budget.withdraw(now, &bound, 132))
        .count();
    assert_eq!(taken, 2);
}

/// Guards against a server that stays ejected forever, or that is readmitted with many requests at
/// once.
#[test]
fn ejected_server_is_readmitted_with_one_trial_at_a_time() {
    let health = health::Health::default();
    let now = clock::Millis(1_000);
    assert!(
        health
            .record_failure(now, health::Failure::Answer)
            .is_none()
    );
    let span = health.record_failure(now, health::Failure::Connect);
    let span = span.expect("a server that refuses connections is ejected");
    assert!(!health.is_eligible(now));
    let later = now + span;
    assert!(health.is_eligible(later));
    health.begin_trial(later);
    assert!(
        !health.is_eligible(later),
        "a second request must not join the trial"
    );
    health.record_success();
    assert!(health.is_eligible(later));
}

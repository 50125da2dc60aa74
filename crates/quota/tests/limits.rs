//! Tests of the three levels together against the sliding window, beside two baselines.

mod sim;

use nutmegdale_base::{clock, rng, rng::Rng};
use nutmegdale_quota::{gate, holder};

/// Returns the schedule as seen by one process that gets all requests.
fn merge(schedule: &sim::Schedule) -> sim::Schedule {
    schedule.iter().map(|(at, _)| (*at, 0)).collect()
}

/// Runs a schedule through the system without faults, through a bucket that knows all requests, and
/// through both baselines, and prints the outcomes.
fn compare(
    name: &str,
    limits: &sim::Limits,
    schedule: &sim::Schedule,
    (nodes, processes, until_ms): (usize, usize, u64),
) -> [sim::Outcome; 4] {
    let mut world = sim::World::new(7, nodes, processes, limits);
    world.run(schedule, until_ms, |_| {});
    let central = sim::run_local(&merge(schedule), limits, 1, 1.0);
    let fixed = sim::run_local(schedule, limits, processes, 1.0 / processes as f64);
    let local = sim::run_local(schedule, limits, processes, 1.0);
    let outcomes = [world.judge.outcome, central, fixed, local];
    println!(
        "{name}: {} requests, {} calls",
        schedule.len(),
        world.calls_count
    );
    for (way, outcome) in [
        "divided",
        "one bucket for all",
        "fixed share",
        "local limit",
    ]
    .iter()
    .zip(&outcomes)
    {
        println!("  {way}: {outcome:?}");
    }
    outcomes
}

fn is_spike(at: u64) -> bool {
    (10_000..17_000).contains(&at)
}

/// Guards against refusals below the limit, as fixed shares of each process cause, and against
/// admissions above it, as local limits cause: one account sends six times its usual rate.
#[test]
fn hot_account_is_held_to_its_limit_and_not_below() {
    for (nodes, processes) in [(1, 1), (3, 16), (6, 116)] {
        let limits = sim::limits(100.0, 100.0);
        let rate = |at, _| if is_spike(at) { 375.0 } else { 62.5 } / processes as f64;
        let schedule = sim::schedule(1, 25_000, processes, rate);
        let name = format!("hot account, {processes} processes");
        let [divided, central, fixed, local] =
            compare(&name, &limits, &schedule, (nodes, processes, 25_000));
        assert_eq!(divided.over_bound, 0, "{divided:?}");
        assert!(divided.excess <= sim::SPARE, "{divided:?}");
        assert_eq!(divided.unavailable, 0);
        assert!(
            divided.admitted * 100 >= central.admitted * 97,
            "{divided:?}"
        );
        if processes > 1 {
            assert!(local.over_bound > 0, "{local:?}");
            assert!(fixed.admitted < divided.admitted, "{fixed:?}");
        }
    }
}

/// Guards against shares below one token that no request can ever use.
#[test]
fn small_accounts_work_over_many_processes() {
    for rate_per_s in [1.0, 2.0, 5.0] {
        let limits = sim::limits(rate_per_s, rate_per_s);
        let schedule = sim::schedule(2, 60_000, 116, |_, _| rate_per_s / 1.6 / 116.0);
        let name = format!("account of {rate_per_s} a second");
        let [divided, central, ..] = compare(&name, &limits, &schedule, (6, 116, 60_000));
        assert_eq!(divided.over_bound, 0, "{divided:?}");
        let tolerated = central.refused + schedule.len() as u64 / 32;
        assert!(divided.refused <= tolerated, "{divided:?}");
    }
}

/// Guards against shares that follow the demand too late when callers move each second.
#[test]
fn moving_demand_is_served() {
    let limits = sim::limits(100.0, 100.0);
    let rate = |at: u64, process: usize| {
        let is_here = at / 1_000 % 6 == (process % 6) as u64;
        let own = if is_here { 0.7 } else { 0.06 };
        own * 62.5 * 6.0 / 114.0
    };
    let schedule = sim::schedule(3, 30_000, 114, rate);
    let [divided, _, fixed, _] = compare("moving demand", &limits, &schedule, (6, 114, 30_000));
    assert_eq!(divided.over_bound, 0, "{divided:?}");
    assert!(divided.refused * 20 < fixed.refused, "{divided:?}");
    assert!(divided.refused * 50 <= schedule.len() as u64, "{divided:?}");
}

/// Guards against a start without tokens: a new account is served within a second.
#[test]
fn new_account_is_served_within_a_second() {
    let limits = sim::limits(50.0, 50.0);
    let schedule = sim::schedule(4, 1_000, 16, |_, _| 2.0);
    let late: sim::Schedule = schedule.iter().map(|(at, p)| (at + 300, *p)).collect();
    let [divided, ..] = compare("new account", &limits, &late, (6, 16, 1_500));
    assert_eq!(divided.refused, 0, "{divided:?}");
}

/// Guards against a second burst or seconds of refusals from a leader change in a spike.
#[test]
fn leader_change_neither_exceeds_nor_stops() {
    let limits = sim::limits(100.0, 100.0);
    let rate = |at, _| if is_spike(at) { 375.0 } else { 62.5 } / 116.0;
    let schedule = sim::schedule(5, 25_000, 116, rate);
    let mut world = sim::World::new(5, 6, 116, &limits);
    world.run(&schedule, 25_000, |world| match world.now {
        11_000 => world.leader = None,
        13_000 => world.elect(2, &world.current_limits()),
        _ => {}
    });
    let outcome = world.judge.outcome;
    println!("leader change: {outcome:?}");
    assert_eq!(outcome.over_bound, 0, "{outcome:?}");
    assert!(outcome.excess <= sim::SPARE, "{outcome:?}");
    assert_eq!(outcome.unavailable, 0, "{outcome:?}");
    assert!(
        outcome.admitted as f64 >= 0.94 * (18.0 * 62.5 + 800.0),
        "{outcome:?}"
    );
}

/// Guards against a new leader that waits for leases of processes which have ended: after a power
/// loss of all coordinators no request of a limited account was served for 7.5 s. Nothing may exceed
/// the limit because of it.
#[test]
fn requests_are_served_soon_after_all_coordinators_restart() {
    let limits = sim::limits(100.0, 100.0);
    let schedule = sim::schedule(7, 20_000, 116, |_, _| 62.5 / 116.0);
    let mut world = sim::World::new(7, 6, 116, &limits);
    world.run(&schedule, 20_000, |world| match world.now {
        8_000 => {
            world.leader = None;
            world.nodes.iter_mut().for_each(|node| node.is_down = true);
        }
        10_000 => {
            (0..6).for_each(|node| world.restart(node));
            world.elect(2, &world.current_limits());
        }
        _ => {}
    });
    let outcome = world.judge.outcome;
    println!("restart of all: {outcome:?}");
    assert_eq!(outcome.over_bound, 0, "{outcome:?}");
    // 2 s without coordinators, and 2 s until all are known and have shares.
    assert!(outcome.admitted as f64 >= 0.95 * 16.0 * 62.5, "{outcome:?}");
}

/// Guards against a burst of each restarted coordinator, and against processes without tokens
/// because theirs is away.
#[test]
fn restarts_one_after_another_give_no_further_burst() {
    let limits = sim::limits(100.0, 100.0);
    let schedule = sim::schedule(6, 40_000, 116, |_, _| 300.0 / 116.0);
    let mut world = sim::World::new(6, 6, 116, &limits);
    world.run(&schedule, 40_000, |world| {
        let n = (world.now / 3_000) as usize;
        if world.now >= 9_000 && n < 9 {
            match world.now % 3_000 {
                0 => world.nodes[n - 3].is_down = true,
                1_500 => world.restart(n - 3),
                _ => {}
            }
        }
    });
    let outcome = world.judge.outcome;
    println!("restarts: {outcome:?}");
    assert_eq!(outcome.over_bound, 0, "{outcome:?}");
    assert!(outcome.excess <= sim::SPARE + 1.0, "{outcome:?}");
    assert!(outcome.admitted as f64 >= 0.85 * 4_000.0, "{outcome:?}");
}

/// Guards against a part that is cut off and grants beyond its lease, and against a limit that the
/// rest exceeds because it takes the part for lost too early.
#[test]
fn partition_keeps_the_limit() {
    let limits = sim::limits(100.0, 100.0);
    let schedule = sim::schedule(8, 40_000, 116, |_, _| 400.0 / 116.0);
    let mut world = sim::World::new(8, 6, 116, &limits);
    world.run(&schedule, 40_000, |world| match world.now {
        10_000 => world.nodes[..2]
            .iter_mut()
            .for_each(|node| node.is_cut = true),
        25_000 => world.nodes[..2]
            .iter_mut()
            .for_each(|node| node.is_cut = false),
        _ => {}
    });
    let outcome = world.judge.outcome;
    println!("partition: {outcome:?}");
    assert_eq!(outcome.over_bound, 0, "{outcome:?}");
    assert!(outcome.excess <= sim::SPARE + 1.0, "{outcome:?}");
}

/// Guards against a lowered limit that binds too late, and a raised one that binds not at all.
#[test]
fn limit_is_lowered_and_raised_in_quick_succession() {
    let limits = sim::limits(100.0, 100.0);
    let schedule = sim::schedule(9, 40_000, 116, |_, _| 400.0 / 116.0);
    let mut world = sim::World::new(9, 6, 116, &limits);
    world.run(&schedule, 40_000, |world| match world.now {
        10_000 | 16_000 | 16_050 => world.set_limits(&sim::limits(20.0, 20.0)),
        15_500 | 16_030 | 16_100 => world.set_limits(&sim::limits(100.0, 100.0)),
        25_000 => world.set_limits(&sim::limits(5.0, 5.0)),
        30_000 => world.set_limits(&sim::limits(200.0, 200.0)),
        _ => {}
    });
    let outcome = world.judge.outcome;
    println!("changed limits: {outcome:?}");
    assert_eq!(outcome.over_bound, 0, "{outcome:?}");
    let least = 10.0 * 100.0 + 5.5 * 20.0 + 9.0 * 100.0 + 5.0 * 5.0 + 10.0 * 200.0;
    assert!(outcome.admitted as f64 >= 0.93 * least, "{outcome:?}");
}

/// Guards against any other order of losses, restarts, cuts, freezes and leader changes that exceeds
/// a limit.
#[test]
fn random_schedules_never_exceed_the_limit() {
    // Seed 3376: a coordinator whose shares are taken over twice.
    for seed in (100..140).chain([3_376]) {
        let limits = sim::limits(60.0, 60.0);
        let schedule = sim::schedule(seed, 30_000, 24, |at, process| {
            let is_here = at / 1_500 % 4 == (process % 4) as u64;
            if is_here { 30.0 } else { 6.0 }
        });
        let mut world = sim::World::new(seed, 4, 24, &limits);
        world.loss = 0.03;
        let term = std::cell::Cell::new(1);
        let rng = std::cell::RefCell::new(rng::SplitMix64::new(seed));
        world.run(&schedule, 30_000, |world| {
            let mut rng = rng.borrow_mut();
            let node = rng.below(4) as usize;
            match rng.below(900) {
                0 => world.restart(node),
                1 | 2 => world.nodes[node].is_cut = true,
                3 | 4 => world.nodes[node].is_cut = false,
                5 => world.nodes[node].is_down = true,
                6 | 7 => world.nodes[node].is_down = false,
                8 | 12 => {
                    term.set(term.get() + 1);
                    world.elect(term.get(), &world.current_limits());
                }
                9..12 => {
                    let process = rng.below(24) as usize;
                    world.processes[process].frozen_until = world.now + 3_000;
                }
                _ => {}
            }
        });
        let outcome = world.judge.outcome;
        assert_eq!(outcome.over_bound, 0, "seed {seed}: {outcome:?}");
        assert!(
            outcome.excess <= sim::SPARE + 2.0,
            "seed {seed}: {outcome:?}"
        );
    }
}

/// Guards against retry times at which the callers of all processes return together: processes that
/// are refused one after another take turns.
#[test]
fn callers_of_many_processes_return_one_by_one() {
    let limits = sim::limits(20.0, 20.0);
    let mut world = sim::World::new(12, 1, 1, &limits);
    world.run(&Vec::new(), 2_000, |_| {});
    let now = clock::Millis(world.now);
    let pool = &mut world.nodes[0].pool;
    let mut first_refused = |id: u64| {
        let mut holder = holder::Holder::new(id);
        for _ in 0..40 {
            holder.admit(now, "account", clock::Millis(60_000));
        }
        let mut question = holder.question(now).expect("requests wait");
        let reply = pool.take(now, &question);
        holder.settle(now, now, &mut question, &reply);
        let verdicts = holder.give_up(now, &question);
        let retries = verdicts.iter().filter_map(|(_, verdict)| match verdict {
            gate::Verdict::OverLimit { retry_after } => Some(retry_after.0),
            _ => None,
        });
        retries.min().expect("some are refused")
    };
    let retries: Vec<_> = (1..=10).rev().map(&mut first_refused).collect();
    let in_order = |pair: &[u64]| pair[1] >= pair[0] + 50;
    assert!(retries.windows(2).all(in_order), "{retries:?}");
}

/// Guards against a token that is used after the process was frozen, and against retry times at
/// which all refused callers return together.
#[test]
fn frozen_tokens_are_void_and_refused_callers_return_in_order() {
    let limits = sim::limits(20.0, 20.0);
    let mut world = sim::World::new(11, 1, 1, &limits);
    world.run(&vec![(500, 0); 1], 600, |_| {});
    let schedule: sim::Schedule = (600..1_600).step_by(10).map(|at| (at, 0)).collect();
    world.run(&schedule, 1_600, |_| {});
    let now = clock::Millis(world.now);
    let process = &mut world.processes[0].holder;
    let retries = (0..5).map(|_| {
        let admission = process.admit(now, "account", clock::Millis(3_000));
        let holder::Admission::Decided(gate::Verdict::OverLimit { retry_after }) = admission else {
            panic!("not refused: {admission:?}");
        };
        retry_after.0
    });
    let retries: Vec<_> = retries.collect();
    assert!(
        retries.windows(2).all(|pair| pair[1] == pair[0] + 50),
        "{retries:?}"
    );
    let later = clock::Millis(world.now + 3_000);
    let admission = process.admit(later, "account", clock::Millis(2_000));
    let is_waiting = matches!(admission, holder::Admission::Waits(_));
    assert!(is_waiting, "{admission:?}");
}

/// Guards against tokens of rejected requests that are lost, that count twice, or that come back so
/// late that they add to the limit of a later window.
#[test]
fn tokens_of_rejected_requests_are_returned_once_and_soon() {
    let limits = sim::limits(20.0, 20.0);
    let mut world = sim::World::new(13, 1, 1, &limits);
    world.run(&Vec::new(), 2_000, |_| {});
    let now = clock::Millis(world.now);
    let pool = &mut world.nodes[0].pool;
    let mut holder = holder::Holder::new(1);
    let mut ask = |holder: &mut holder::Holder, now, count| {
        for _ in 0..count {
            holder.admit(now, "account", clock::Millis(1_000));
        }
        let mut question = holder.question(now).expect("requests wait");
        let returned = question.asks[0].returned;
        let reply = pool.take(now, &question);
        assert!(!pool.take(now, &question).is_available, "counted twice");
        let verdicts = holder.settle(now, now, &mut question, &reply);
        let is_granted = |(_, verdict): &&(u64, gate::Verdict)| *verdict == gate::Verdict::Granted;
        (returned, verdicts.iter().filter(is_granted).count())
    };
    let (_, granted) = ask(&mut holder, now, 3);
    assert_eq!(granted, 3);
    (0..5).for_each(|_| holder.refund(now, "account"));
    // Some of them use tokens that were granted ahead.
    let (returned, _) = ask(&mut holder, now, 4);
    assert_eq!(returned, 3, "more than were admitted");
    let late = clock::Millis(now.0 + 1_200);
    holder.refund(late, "account");
    let (returned, _) = ask(&mut holder, late, 1);
    assert_eq!(returned, 0, "admitted long ago");
}

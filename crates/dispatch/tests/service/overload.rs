//! Replays of rushes at a service with requests of several priorities, against two baselines:
//! priorities ignored, and strict priority.

use crate::replay::{Count, Kind, Leaving, Load, Policy, Replay};
use nutmegdale_base::clock;
use nutmegdale_dispatch::{precedence, return_time, shedding};

const URGENT: Kind = Kind {
    priority: 0,
    work_ms: 43.0,
    target_ms: 150,
    deadline_ms: 1_500,
    per_s: 21.0,
    kb: 1.5,
    rush: 1.0,
};
const MIDDLE: Kind = Kind {
    priority: 1,
    work_ms: 110.0,
    target_ms: 300,
    deadline_ms: 3_000,
    per_s: 20.0,
    kb: 1.5,
    rush: 1.0,
};
const PATIENT: Kind = Kind {
    priority: 2,
    work_ms: 270.0,
    target_ms: 1_200,
    deadline_ms: 6_000,
    per_s: 28.0,
    kb: 1.5,
    rush: 1.0,
};

fn load(seed: u64, rushes: [f64; 3]) -> Load {
    let kinds = [URGENT, MIDDLE, PATIENT];
    let with_rush = |(kind, rush)| Kind { rush, ..kind };
    Load {
        seed,
        kinds: kinds.into_iter().zip(rushes).map(with_rush).collect(),
        zones: vec![15],
        swing: 0.0,
        leaving: Leaving::Today,
        zone_out: None,
        end_ms: 7_000,
        processes: 20,
        slow_servers: 0,
        shed_share: 0.0,
    }
}

/// Runs the policy under test and checks what holds under every load: a more urgent kind is served
/// at least as often as a less urgent one, none earns so much less than a less urgent one that it
/// counts as an inversion, and none starves.
///
/// The target shares differ by a little without any shortage too, since the least urgent kind has
/// the longest target compared with its work, and VMs are slow for half a second at a time.
fn run_checked(load: &Load) -> Vec<Count> {
    let counts = Replay::run(load, Policy::Scheduled);
    let sum = |of: fn(&Count) -> usize| counts.iter().map(of).sum::<usize>() as f64;
    let all_served_share = sum(|count| count.served) / sum(|count| count.callers);
    for (n, count) in counts.iter().enumerate() {
        let served_share = count.served_share();
        assert!(served_share > all_served_share / 4.0, "{counts:?}");
        for other in &counts[n + 1..] {
            assert!(served_share >= other.served_share() - 0.01, "{counts:?}");
            let slack = if n == 0 { 0.05 } else { 0.15 };
            assert!(
                count.target_share() >= other.target_share() - slack,
                "{counts:?}"
            );
        }
    }
    counts
}

/// Returns the sum of a share over all kinds.
fn sum(counts: &[Count], share: fn(&Count) -> f64) -> f64 {
    counts.iter().map(share).sum()
}

/// Guards against patient requests that fill all servers in a rush, so that urgent ones miss their
/// target; and against a strict rule that turns away more than it must.
#[test]
fn rush_of_the_least_urgent_kind_leaves_room_for_urgent_ones() {
    let load = load(1, [1.0, 1.0, 6.0]);
    let today = Replay::run(&load, Policy::Today);
    let strict = Replay::run(&load, Policy::Strict);
    let counts = run_checked(&load);
    assert!(
        counts[0].target_share() > today[0].target_share() + 0.2,
        "{counts:?} {today:?}"
    );
    assert!(
        counts[1].target_share() > today[1].target_share() + 0.2,
        "{counts:?} {today:?}"
    );
    assert!(counts[2].served > strict[2].served, "{counts:?} {strict:?}");
    assert!(counts[1].served > strict[1].served, "{counts:?} {strict:?}");
}

/// Guards against a rush in which the kinds with the longest deadlines win, since only their
/// requests may queue.
#[test]
fn rush_of_all_kinds_serves_the_most_urgent_first() {
    let load = load(2, [5.0, 5.0, 5.0]);
    let today = Replay::run(&load, Policy::Today);
    let strict = Replay::run(&load, Policy::Strict);
    let counts = run_checked(&load);
    assert!(
        counts[0].target_share() > today[0].target_share() + 0.3,
        "{counts:?} {today:?}"
    );
    assert!(
        sum(&counts, Count::target_share) > sum(&today, Count::target_share) + 0.3,
        "{counts:?} {today:?}"
    );
    assert!(
        sum(&counts, Count::served_share) > sum(&strict, Count::served_share) + 0.2,
        "{counts:?} {strict:?}"
    );
}

/// Guards against rejections by servers with free slots that look like a shortage.
#[test]
fn rejections_by_servers_with_free_slots_are_no_shortage() {
    let load = Load {
        shed_share: 0.27,
        ..load(3, [2.0, 2.0, 2.0])
    };
    let strict = Replay::run(&load, Policy::Strict);
    let counts = run_checked(&load);
    assert!(sum(&counts, Count::served_share) > 2.99, "{counts:?}");
    assert!(
        sum(&counts, Count::target_share) > sum(&strict, Count::target_share) + 0.1,
        "{counts:?} {strict:?}"
    );
}

/// Guards against urgent requests that are late because half of the servers are slow.
#[test]
fn urgent_requests_get_the_fast_half_of_the_servers() {
    let load = Load {
        slow_servers: 7,
        ..load(4, [1.5, 1.5, 1.5])
    };
    let today = Replay::run(&load, Policy::Today);
    let counts = run_checked(&load);
    assert!(
        counts[0].target_share() > today[0].target_share() + 0.2,
        "{counts:?} {today:?}"
    );
}

/// Guards against limits at a service whose requests all have the same priority, or while it is not
/// short of capacity.
#[test]
fn one_priority_or_low_pressure_limits_nothing() {
    assert_eq!(precedence::Levels::new([2, 2]).standing(2), None);
    let levels = precedence::Levels::new([2, 0, 2, 1]);
    let last = levels.standing(2).expect("there are several priorities");
    assert_eq!(last, precedence::Standing { rank: 2, count: 3 });
    let calm = precedence::Allowance::new(last, 0.4, false);
    assert_eq!(calm, precedence::Allowance::ALL);
    let first = levels.standing(0).expect("there are several priorities");
    let full = precedence::Allowance::new(first, 2.0, false);
    assert_eq!(full, precedence::Allowance::ALL);
}

/// Guards against starvation: whatever the pressure, a server with several slots takes the least
/// urgent requests too.
#[test]
fn least_urgent_requests_keep_part_of_every_server() {
    let levels = precedence::Levels::new([0, 1]);
    let last = levels.standing(1).expect("there are several priorities");
    let allowance = precedence::Allowance::new(last, 9.0, false);
    for n in 0..100 {
        let position = precedence::position(&format!("server-{n}"));
        assert!(allowance.allows(position, 1, 3) && !allowance.allows(position, 2, 3));
        assert!(allowance.allows(position, 0, 1));
    }
}

/// Guards against callers that return at random times and are refused again and again.
#[test]
fn callers_return_when_places_become_free() {
    for (seed, rushes) in [(5, [1.0, 1.0, 6.0]), (6, [5.0, 5.0, 5.0])] {
        let load = load(seed, rushes);
        let at_random = Replay::run(&load, Policy::Precedence);
        let scheduled = run_checked(&load);
        let refusals = |counts: &[Count]| counts.iter().map(|count| count.refusals).sum::<usize>();
        assert!(
            refusals(&scheduled) * 2 < refusals(&at_random),
            "{scheduled:?} {at_random:?}"
        );
        let served = sum(&at_random, Count::served_share);
        assert!(
            sum(&scheduled, Count::served_share) > served - 0.05,
            "{scheduled:?}"
        );
    }
}

/// Guards against times that do not follow the order of refusal and urgency, or that take more than
/// a third of the caller's time.
#[test]
fn callers_return_in_the_order_of_refusal_and_urgency() {
    let share = return_time::Share {
        slots: 60,
        processes: 10,
        service_time_ms: 90.0,
    };
    let schedule = return_time::Schedule::default();
    let [urgent, patient] = [0, 1].map(|rank| precedence::Standing { rank, count: 2 });
    let mut last = clock::Millis::ZERO;
    for n in 0..100 {
        let now = clock::Millis(1_000 + n);
        let wait = schedule.book(now, patient, share, 80.0, clock::Millis(3_000));
        assert!(
            wait.0 <= 1_000 && now + wait > last,
            "{n}: {wait} after {last}"
        );
        last = now + wait;
    }
    let now = clock::Millis(1_100);
    let left = clock::Millis(1_500);
    let first = schedule.book(now, urgent, share, 80.0, left);
    let second = schedule.book(now, urgent, share, 80.0, left);
    assert_eq!(
        (first.0, second.0),
        (80, 110),
        "urgent callers wait for no others"
    );
    let brief = schedule.book(now, patient, share, 80.0, clock::Millis(90));
    assert_eq!(brief, clock::Millis(30));
}

/// Guards against healthy servers that are ejected because the whole service rejects some requests,
/// and against a failing server that is not, since it rejects all.
#[test]
fn rejections_of_a_whole_service_eject_no_server() {
    let shedding = shedding::Shedding::default();
    let streaks: Vec<_> = (0..20).map(|_| shedding::Streak::default()).collect();
    let now = clock::Millis(10_000);
    for n in 0..20_u32 {
        let is_failure = shedding.record(now, n, &streaks[n as usize]);
        assert_eq!(is_failure, n < 2, "{n}");
    }
    assert!(shedding.is_active(now));
    let later = now + clock::Millis(6_000);
    assert!(!shedding.is_active(later));
    assert!(
        shedding.record(later, 7, &streaks[7]),
        "no other server rejects any more"
    );
    streaks[8].end();
    let failing = (0..6).map(|n| {
        shedding.record(later, 8, &streaks[8]);
        shedding.record(later, 9 + n, &streaks[9 + n as usize])
    });
    let spared = failing.filter(|is_failure| !is_failure).count();
    assert_eq!(spared, 6, "servers 7 and 8 reject too");
    assert!(
        shedding.record(later, 8, &streaks[8]),
        "it has rejected many in a row"
    );
}

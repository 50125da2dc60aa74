//! Division of the limit that a server names among the processes.

use nutmegdale_base::rng::Rng;
use nutmegdale_base::{clock, rng};
use nutmegdale_dispatch::{server_limit, server_rate};

const ZONES: [&str; 6] = ["a", "b", "c", "d", "e", "f"];
const WINDOW_MS: u64 = 4_000;
const RUN_MS: u64 = 60_000;

fn rate(per_s: f64) -> server_limit::Rate {
    server_limit::Rate::from_per_s(per_s).expect("a rate")
}

/// Returns the most requests that a server with a limit may get in a window.
fn allowed(limit_per_s: f64) -> usize {
    (limit_per_s * 1.5 * WINDOW_MS as f64 / 1_000.0 + 5.0) as usize
}

fn busiest_window(sent_ms: &[u64]) -> usize {
    let counts = sent_ms.iter().enumerate().map(|(n, start)| {
        let within = sent_ms[n..]
            .iter()
            .take_while(|at| **at < start + WINDOW_MS);
        within.count()
    });
    counts.max().unwrap_or(0)
}

/// Simulates callers that arrive at random at every process, `demand_per_s` at each, for one server.
/// Each process ranks by a list of processes of its own; `lists` chooses the one in force.
fn simulate(
    names: &[String],
    limit_per_s: f64,
    demand_per_s: f64,
    is_listed: impl Fn(usize, usize, u64) -> bool,
) -> Vec<u64> {
    let nodes: Vec<_> = names
        .iter()
        .enumerate()
        .map(|(n, name)| server_rate::Node::new(name, ZONES[n % ZONES.len()]))
        .collect();
    let server = server_rate::Node::new("server", "a");
    let pacers: Vec<_> = nodes
        .iter()
        .map(|_| server_rate::Pacer::default())
        .collect();
    let mut rng = rng::SplitMix64::new(5);
    let mut sent = Vec::new();
    let mut were_senders = vec![false; nodes.len()];
    for ms in 0..RUN_MS {
        for (own, pacer) in pacers.iter().enumerate() {
            if rng.below(1_000_000) >= (demand_per_s * 1_000.0) as u64 {
                continue;
            }
            let listed = (0..nodes.len()).filter(|other| is_listed(own, *other, ms));
            let listed: Vec<_> = listed.map(|other| nodes[other]).collect();
            let rank = server_rate::Rank::new(&nodes[own], &listed, &server);
            let share = server_limit::share(rate(limit_per_s), &rank);
            let was_sender = std::mem::replace(&mut were_senders[own], share.is_some());
            if let Some(share) = share.filter(|_| !was_sender) {
                pacer.start(clock::Millis(ms), &share);
            }
            if share.is_some_and(|share| pacer.take(clock::Millis(ms), &share, 0)) {
                sent.push(ms);
            }
        }
    }
    sent
}

fn names(count: usize) -> Vec<String> {
    (0..count).map(|n| format!("entry-{n}")).collect()
}

/// Guards against a server that gets more than its limit allows in some window, and against one that
/// gets far less although callers want more, with any number of processes.
#[test]
fn limit_holds_and_is_used_over_all_processes() {
    for count in [1, 6, 16, 132] {
        for limit_per_s in [0.25, 1.3, 2.4, 3.7, 9.0, 30.0] {
            let sent = simulate(&names(count), limit_per_s, 4.0, |_, _, _| true);
            let busiest = busiest_window(&sent);
            let most = allowed(limit_per_s);
            assert!(
                busiest <= most,
                "{count}, {limit_per_s}: {busiest} > {most}"
            );
            // A process can only send what its callers want.
            let wanted = limit_per_s.min(4.0 * count as f64 / 2.0);
            let used = sent.len() as f64 / (wanted * RUN_MS as f64 / 1_000.0);
            assert!(used > 0.7, "{count}, {limit_per_s}: {used:.2} of it used");
        }
    }
}

/// Guards against limits that are exceeded when the processes know different lists of each other, as
/// after one has joined, left or lost the coordinators.
#[test]
fn limit_holds_while_lists_of_processes_differ() {
    for count in [16, 132] {
        for limit_per_s in [0.25, 1.3, 2.4, 9.0] {
            // Every second the next process leaves for two seconds, which the others learn at
            // different times.
            let is_listed = |own: usize, other: usize, ms: u64| {
                let delay_ms = (own as u64 * 131) % 2_000;
                let away = (ms.saturating_sub(delay_ms) / 1_000) as usize % count;
                other != away || own == other
            };
            let sent = simulate(&names(count), limit_per_s, 4.0, is_listed);
            let (busiest, most) = (busiest_window(&sent), allowed(limit_per_s));
            assert!(
                busiest <= most,
                "{count}, {limit_per_s}: {busiest} > {most}"
            );
        }
    }
}

/// Guards against a process that becomes a sender and begins with a request that the former sender may
/// have sent a moment before.
#[test]
fn new_sender_begins_after_its_interval() {
    let share = server_rate::Share {
        spacing: clock::Millis(1_000),
        saved_max_count: 1,
    };
    let pacer = server_rate::Pacer::default();
    let now = clock::Millis(50_000);
    pacer.start(now, &share);
    assert!(!pacer.take(now, &share, 0));
    assert!(!pacer.take(now + clock::Millis(999), &share, 0));
    assert!(pacer.take(now + clock::Millis(1_000), &share, 0));
    assert!(!pacer.take(now + clock::Millis(1_000), &share, 0));
}

/// Guards against limits of zero, or nearly so, that are never tried again, and against very high ones
/// that keep processes out.
#[test]
fn extreme_limits_are_divided() {
    let sent = simulate(&names(16), 0.0, 4.0, |_, _, _| true);
    assert!((3..=8).contains(&sent.len()), "{} in a minute", sent.len());
    let sent = simulate(&names(16), 1e9, 4.0, |_, _, _| true);
    assert!(sent.len() > 3_000, "{} of about 3,840", sent.len());
}

/// Guards against less urgent requests that use up what is saved for urgent ones.
#[test]
fn less_urgent_requests_leave_the_saved_permit() {
    let alone = server_rate::Rank::new(
        &server_rate::Node::new("own", "a"),
        &[],
        &server_rate::Node::new("server", "a"),
    );
    let share = server_limit::share(rate(1.0), &alone).expect("a share");
    let pacer = server_rate::Pacer::default();
    let now = clock::Millis(10_000);
    assert!(pacer.take(now, &share, 1));
    assert!(!pacer.take(now, &share, 1));
    assert_eq!(pacer.time_left(now, &share, 1), clock::Millis(1_000));
    assert!(pacer.take(now, &share, 0), "an urgent request");
    assert!(!pacer.take(now, &share, 0));
    let later = now + clock::Millis(1_000);
    assert!(!pacer.take(later, &share, 1));
    assert!(pacer.take(later, &share, 0));
}

fn observation(stated: server_limit::Stated, sent_ms: u64) -> server_limit::Observation {
    server_limit::Observation {
        stated,
        sent_at: clock::Millis(sent_ms),
        is_from_service: true,
    }
}

/// Guards against a limit that a single answer without it ends, one that was on its way when the
/// limit was named, or one that the server did not give.
#[test]
fn limit_ends_with_successful_responses_that_name_none() {
    let limit = server_limit::Stated::Limit(rate(2.0));
    let none = server_limit::Stated::Nothing;
    let current = server_limit::Current::default();
    assert_eq!(current.observe(&observation(none, 0)), None);
    assert_eq!(
        current.observe(&observation(limit, 0)),
        Some(Some(rate(2.0)))
    );
    current.set(clock::Millis(1_000), Some(rate(2.0)));
    for _ in 0..3 {
        assert_eq!(
            current.observe(&observation(none, 900)),
            None,
            "sent before"
        );
        let failure = server_limit::Observation {
            is_from_service: false,
            ..observation(none, 1_100)
        };
        assert_eq!(current.observe(&failure), None);
        let unreadable = server_limit::Stated::Unreadable;
        assert_eq!(current.observe(&observation(unreadable, 1_100)), None);
    }
    assert_eq!(current.observe(&observation(none, 1_100)), None);
    assert_eq!(
        current.observe(&observation(limit, 1_100)),
        Some(Some(rate(2.0)))
    );
    assert_eq!(current.observe(&observation(none, 1_100)), None);
    assert_eq!(current.observe(&observation(none, 1_100)), Some(None));
}

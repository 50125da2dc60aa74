//! Tests of the choice of a coordinator, in virtual time.

use nutmegdale_base::clock;
use nutmegdale_gateway::failover;
use std::net;

/// Time that a sync with a lost coordinator takes.
const TIMEOUT_MS: u64 = 900;
/// Time that a sync with a current coordinator takes.
const SYNC_MS: u64 = 500;

fn targets(count: u16) -> Vec<net::SocketAddr> {
    let targets = (1..=count).map(|port| net::SocketAddr::from(([10, 0, 0, 1], port)));
    targets.collect()
}

/// Runs syncs until `end`, of which those with coordinators in `lost` fail; returns the coordinators
/// in the order in which they were tried.
fn run(
    failover: &mut failover::Failover,
    targets: &[net::SocketAddr],
    lost: &[net::SocketAddr],
    start: u64,
    end: u64,
) -> Vec<net::SocketAddr> {
    let mut tried = Vec::new();
    let mut now = start;
    while now < end {
        let Some(target) = failover.next(clock::Millis(now), targets) else {
            now += 100;
            continue;
        };
        tried.push(target);
        if lost.contains(&target) {
            now += TIMEOUT_MS;
            failover.record_failure(clock::Millis(now), target);
        } else {
            now += SYNC_MS;
            failover.record_success(clock::Millis(now), target, targets);
        }
    }
    tried
}

/// Guards against an entry process that never reaches a live coordinator behind several lost ones of
/// its own zone: the delay until the nearest one is tried again began with the first failure and ended
/// before the list was through.
#[test]
fn each_coordinator_is_tried_once_before_any_is_tried_again() {
    for count in 1..12 {
        let all = targets(count + 1);
        let (live, lost) = all.split_last().expect("a target");
        let mut failover = failover::Failover::new();
        let end = u64::from(count) * TIMEOUT_MS + 1;
        let tried = run(&mut failover, &all, lost, 0, end);
        assert_eq!(tried, all, "{live} after {count} lost ones");
    }
}

/// Guards against an entry process that is left without a coordinator for more than one timeout
/// because it tries nearer ones again that are still lost.
#[test]
fn failed_failback_returns_to_the_followed_coordinator() {
    let all = targets(4);
    let (live, lost) = all.split_last().expect("a target");
    let mut failover = failover::Failover::new();
    let tried = run(&mut failover, &all, lost, 0, 60_000);
    let after_failover = &tried[lost.len()..];
    assert_eq!(after_failover.first(), Some(live));
    for pair in after_failover.windows(2) {
        assert!(pair.contains(live), "{pair:?}");
    }
    for nearer in lost {
        assert!(after_failover.contains(nearer), "{nearer}");
    }
}

/// Guards against an entry process that stays with a far coordinator for good although a nearer one
/// is back, behind one that is still lost.
#[test]
fn nearer_coordinator_is_followed_once_it_is_back() {
    let all = targets(4);
    let mut failover = failover::Failover::new();
    run(&mut failover, &all, &all[..3], 0, 10_000);
    let tried = run(&mut failover, &all, &all[..1], 10_000, 40_000);
    assert_eq!(tried.last(), Some(&all[1]));
}

/// Guards against an entry process that gives up after all coordinators have failed once.
#[test]
fn choice_starts_over_after_all_have_failed() {
    let all = targets(2);
    let mut failover = failover::Failover::new();
    let tried = run(&mut failover, &all, &all, 0, 2 * TIMEOUT_MS + 50);
    assert_eq!(tried, all);
    let tried = run(&mut failover, &all, &all[..1], 2_000, 3_000);
    assert_eq!(tried, all);
    assert_eq!(failover.next(clock::Millis(3_500), &[]), Some(all[1]));
}

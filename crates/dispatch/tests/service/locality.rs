//! Replays of demand that is spread unevenly over zones, against three baselines: never leave the
//! zone, the least loaded server everywhere, and a fixed threshold.

use crate::replay::{Kind, Leaving, Load, Policy, Replay};
use nutmegdale_base::clock;
use nutmegdale_dispatch::{locality, placement};

const SEARCH: Kind = Kind {
    priority: 1,
    work_ms: 190.0,
    target_ms: 600,
    deadline_ms: 6_000,
    per_s: 300.0,
    kb: 4.0,
    rush: 1.0,
};

const UPLOAD: Kind = Kind {
    work_ms: 220.0,
    target_ms: 1_500,
    deadline_ms: 10_000,
    kb: 61.0,
    ..SEARCH
};
const LOOKUP: Kind = Kind {
    work_ms: 75.0,
    target_ms: 250,
    deadline_ms: 4_000,
    kb: 1.5,
    ..SEARCH
};

fn load(seed: u64, leaving: Leaving, zones: Vec<usize>, per_s: f64) -> Load {
    Load {
        seed,
        kinds: vec![
            Kind {
                per_s: per_s * 0.65,
                ..SEARCH
            },
            Kind {
                per_s: per_s * 0.15,
                ..UPLOAD
            },
            Kind {
                per_s: per_s * 0.2,
                ..LOOKUP
            },
        ],
        zones,
        swing: 0.55,
        leaving,
        zone_out: None,
        processes: 42,
        slow_servers: 0,
        shed_share: 0.0,
        end_ms: 17_000,
    }
}

/// Zones with 3 and 25 servers beside each other, and two more pairs.
const UNEVEN: [usize; 6] = [3, 25, 8, 10, 5, 6];

/// What all callers of a replay experienced, over several seeds.
#[derive(Debug, Default, PartialEq)]
struct Sum {
    in_target: f64,
    refusals: usize,
    latency_ms: u64,
    /// Kilobytes between zones and between regions.
    crossed_kb: [f64; 2],
}

fn replay(leaving: Leaving, zones: &[usize], per_s: f64, zone_out: Option<usize>) -> Sum {
    let mut sum = Sum::default();
    let (mut callers, mut in_target) = (0, 0);
    for seed in 1..=2 {
        let load = Load {
            zone_out,
            ..load(seed, leaving, zones.to_vec(), per_s)
        };
        let counts = Replay::run(&load, Policy::Today);
        for (count, kind) in counts.iter().zip(&load.kinds) {
            callers += count.callers;
            in_target += count.in_target;
            sum.refusals += count.refusals;
            sum.latency_ms += count.latency_ms;
            for (kb, left) in sum.crossed_kb.iter_mut().zip(count.left) {
                *kb += left as f64 * kind.kb;
            }
        }
    }
    sum.in_target = in_target as f64 / callers as f64;
    sum
}

/// Guards against a rule that keeps requests in a zone without room, and against one that sends most
/// of the bytes to other zones.
#[test]
fn small_zones_send_away_what_they_cannot_serve_and_no_more() {
    let balanced = replay(Leaving::Balanced, &UNEVEN, 300.0, None);
    let today = replay(Leaving::Today, &UNEVEN, 300.0, None);
    let never = replay(Leaving::Never, &UNEVEN, 300.0, None);
    let everywhere = replay(Leaving::Everywhere, &UNEVEN, 300.0, None);
    let threshold = replay(Leaving::Threshold, &UNEVEN, 300.0, None);
    let all = format!("{balanced:?} {today:?} {never:?} {everywhere:?} {threshold:?}");
    assert!(balanced.in_target > never.in_target + 0.1, "{all}");
    assert!(balanced.in_target > threshold.in_target, "{all}");
    assert!(balanced.in_target > today.in_target - 0.005, "{all}");
    assert!(balanced.in_target > everywhere.in_target - 0.01, "{all}");
    assert!(balanced.refusals * 10 < never.refusals, "{all}");
    for n in 0..2 {
        assert!(
            balanced.crossed_kb[n] * 4.0 < everywhere.crossed_kb[n],
            "{all}"
        );
        assert!(balanced.crossed_kb[n] < threshold.crossed_kb[n], "{all}");
    }
}

/// Guards against any change where the zones have room enough for their demand.
#[test]
fn zones_with_room_keep_the_usual_placement() {
    let balanced = replay(Leaving::Balanced, &[10; 6], 250.0, None);
    assert_eq!(balanced, replay(Leaving::Today, &[10; 6], 250.0, None));
}

/// Guards against callers of an evacuated zone that are refused, and against requests that still
/// leave once it has returned.
#[test]
fn callers_of_an_evacuated_zone_are_served_elsewhere() {
    let balanced = replay(Leaving::Balanced, &[12; 6], 300.0, Some(0));
    let today = replay(Leaving::Today, &[12; 6], 300.0, Some(0));
    assert!(
        balanced.in_target > today.in_target - 0.01,
        "{balanced:?} {today:?}"
    );
    assert!(balanced.refusals < 10, "{balanced:?}");
    assert!(
        balanced.crossed_kb[0] < today.crossed_kb[0] * 1.2,
        "{balanced:?} {today:?}"
    );
}

/// Returns a view of a zone with 100 slots, of which `busy` are occupied, beside idle zones.
fn view(busy: f64) -> locality::View {
    let mut view = locality::View::default();
    for n in 0..200 {
        let in_flight = if n < 100 {
            (busy / 25.0 + f64::from(n % 4) / 4.0) as u32
        } else {
            0
        };
        let prediction = placement::Prediction {
            response_ms: 90.0,
            uncorrected_ms: 90.0,
            cost_ms: 90.0,
            age: Some(clock::Millis::ZERO),
            slowdown_percent: 100.0,
            in_flight,
            has_room: true,
            slots: 4,
        };
        view.add(n < 100, &prediction);
    }
    view.zone_slots = 100;
    view
}

/// Runs 40 processes of a zone whose load reports follow 300 ms behind, and returns the mean share
/// that leaves after each 100 ms.
fn shares(demand: impl Fn(u64) -> f64) -> Vec<f64> {
    let balances: Vec<_> = (0..40).map(|_| locality::Balance::default()).collect();
    let bound = locality::Bound::default();
    let mut shares: Vec<f64> = Vec::new();
    for step in 0..340_u64 {
        let now = clock::Millis(step * 100);
        let before = shares.get(step.saturating_sub(3) as usize).copied();
        let seen = view(demand(now.0) * (1.0 - before.unwrap_or(0.0)));
        for balance in &balances {
            balance.record(seen);
            balance.next(now, &bound);
        }
        let sum: f64 = balances.iter().map(locality::Balance::share).sum();
        shares.push(sum / 40.0);
    }
    shares
}

/// Guards against processes that leave together and return together: after a change the share
/// settles within 4 s and stays.
#[test]
fn share_settles_without_oscillation() {
    let shares = shares(|ms| if ms < 5_000 { 50.0 } else { 120.0 });
    assert!(shares[..50].iter().all(|share| *share == 0.0), "{shares:?}");
    let settled = &shares[90..];
    let (min, max) = settled.iter().fold((1.0, 0.0), |(min, max), share| {
        (f64::min(min, *share), f64::max(max, *share))
    });
    // The limit is 75 of 100 slots.
    assert!(
        min > 0.3 && max < 0.45 && max - min < 0.05,
        "{min} {max} {shares:?}"
    );
}

/// Guards against a share that lags behind demand that rises and falls within seconds, or that stays
/// when demand is low.
#[test]
fn share_follows_demand_that_swings() {
    let swing = |ms: u64| 0.55 * (ms as f64 / 17_000.0 * std::f64::consts::TAU).sin();
    let shares = shares(|ms| 80.0 * (1.0 + swing(ms)));
    // Demand peaks at 4.25 s and 21.25 s, and is lowest at 12.75 s and 29.75 s.
    for (peak, low) in [(50, 140), (220, 310)] {
        assert!(shares[peak] > 0.25, "{shares:?}");
        assert!(shares[low] == 0.0, "{shares:?}");
    }
}

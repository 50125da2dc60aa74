//! Hedges of requests whose server slows down while it runs them.

use nutmegdale_base::rng::Rng;
use nutmegdale_base::{clock, rng};
use nutmegdale_dispatch::{hedge, placement};

const SERVICE_TIME_MS: f64 = 210.0;
const TARGET_MS: u64 = 500;
/// Interval between two changes of a VM's speed.
const SPEED_PERIOD_MS: u64 = 500;
const NOISY_PERCENT: f64 = 700.0;
const NOISY_SHARE: f64 = 0.35;

/// VM whose speed changes twice a second, quiet at the start.
struct Vm {
    phase: u64,
    is_noisy: Vec<bool>,
}

impl Vm {
    fn new(rng: &mut rng::SplitMix64) -> Vm {
        let phase = rng.below(SPEED_PERIOD_MS);
        let mut is_noisy: Vec<_> = (0..10)
            .map(|_| (rng.below(1_000) as f64) < NOISY_SHARE * 1_000.0)
            .collect();
        is_noisy[0] = false;
        Vm { phase, is_noisy }
    }

    fn slowdown_percent(&self, ms: u64) -> f64 {
        let period = ((ms + self.phase) / SPEED_PERIOD_MS) as usize;
        match self.is_noisy.get(period) {
            Some(true) => NOISY_PERCENT,
            _ => 100.0,
        }
    }

    fn ends_at(&self, start: u64, service_time_ms: f64) -> u64 {
        let mut left = service_time_ms;
        let mut ms = start;
        while left > 0.0 && ms < 3_000 {
            left -= 100.0 / self.slowdown_percent(ms);
            ms += 1;
        }
        ms
    }
}

struct Counts {
    in_target: u32,
    hedged: u32,
}

fn simulate(uses_probes: bool) -> Counts {
    let mut rng = rng::SplitMix64::new(7);
    let mut counts = Counts {
        in_target: 0,
        hedged: 0,
    };
    for _ in 0..4_000 {
        let service_time = SERVICE_TIME_MS * (0.7 + rng.below(600) as f64 / 1_000.0);
        let (first, second) = (Vm::new(&mut rng), Vm::new(&mut rng));
        let ended = first.ends_at(0, service_time);
        let pending = hedge::Pending {
            sent: clock::Millis::ZERO,
            to_target: clock::Millis(TARGET_MS),
            service_time_ms: SERVICE_TIME_MS,
            predicted_ms: SERVICE_TIME_MS,
        };
        let mut now = clock::Millis::ZERO;
        let hedged = loop {
            let due = pending.due(now);
            now = due.at();
            if ended <= now.0 {
                break None;
            }
            match due {
                hedge::Due::Hedge(at) => break Some(at),
                hedge::Due::Probe(at)
                    if uses_probes && pending.should_hedge(at, first.slowdown_percent(at.0)) =>
                {
                    break Some(at);
                }
                hedge::Due::Probe(_) => {}
            }
        };
        let second = hedged.map_or(u64::MAX, |at| second.ends_at(at.0, service_time));
        counts.hedged += u32::from(hedged.is_some());
        counts.in_target += u32::from(ended.min(second) <= TARGET_MS);
    }
    counts
}

/// Guards against requests that miss their target latency on a VM that has slowed down, although
/// its load reports showed it in time, and against hedges of many requests that need none.
#[test]
fn probes_rescue_requests_on_a_vm_that_slows_down() {
    let unprobed = simulate(false);
    let probed = simulate(true);
    let late = |counts: &Counts| 4_000 - counts.in_target;
    assert!(
        late(&probed) * 10 < late(&unprobed) * 7,
        "late {} of 4000, without probes {}",
        late(&probed),
        late(&unprobed)
    );
    assert!(probed.hedged < 4_000 / 4, "{} hedges", probed.hedged);
}

/// Guards against health checks where no hedge could be in time.
#[test]
fn no_probe_without_time_for_a_hedge() {
    let pending = hedge::Pending {
        sent: clock::Millis(1_000),
        to_target: clock::Millis(120),
        service_time_ms: 90.0,
        predicted_ms: 95.0,
    };
    let due = pending.due(clock::Millis(1_000));
    assert!(matches!(due, hedge::Due::Hedge(at) if at >= clock::Millis(1_090)));
}

/// Guards against hedges of requests that meet their target latency anyway.
#[test]
fn no_hedge_while_a_slow_server_can_meet_the_target() {
    let pending = hedge::Pending {
        sent: clock::Millis::ZERO,
        to_target: clock::Millis(1_200),
        service_time_ms: 170.0,
        predicted_ms: 170.0,
    };
    assert!(!pending.should_hedge(clock::Millis(100), NOISY_PERCENT));
    assert!(pending.should_hedge(clock::Millis(1_000), NOISY_PERCENT));
}

/// Guards against hedges under overload, which take the last slots of quiet servers and slow down
/// the requests that run there.
#[test]
fn hedge_takes_no_last_slot() {
    let best = |in_flight: u32, slowdown_percent: f64| placement::Prediction {
        response_ms: SERVICE_TIME_MS,
        uncorrected_ms: SERVICE_TIME_MS,
        cost_ms: SERVICE_TIME_MS,
        age: Some(clock::Millis::ZERO),
        slowdown_percent,
        in_flight,
        has_room: in_flight < 2,
        slots: 3,
    };
    let left = clock::Millis(900);
    assert!(hedge::is_worthwhile(&best(1, 100.0), left));
    assert!(!hedge::is_worthwhile(&best(2, 100.0), left));
    assert!(!hedge::is_worthwhile(&best(0, NOISY_PERCENT), left));
    assert!(!hedge::is_worthwhile(&best(0, 100.0), clock::Millis(100)));
}

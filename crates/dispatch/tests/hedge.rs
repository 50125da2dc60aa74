//! Second sends of requests whose server turns slow while it works.

use nutmegdale_base::rng::Rng;
use nutmegdale_base::{clock, rng};
use nutmegdale_dispatch::{hedge, placement};

const WORK_MS: f64 = 210.0;
const AIM_MS: u64 = 500;
/// Time between two changes of a VM's speed.
const CHANGE_MS: u64 = 500;
const NOISY_PERCENT: f64 = 700.0;
const NOISY_SHARE: f64 = 0.35;

/// VM whose speed changes twice a second, quiet at the start.
struct Vm {
    phase: u64,
    is_noisy: Vec<bool>,
}

impl Vm {
    fn new(rng: &mut rng::SplitMix64) -> Vm {
        let phase = rng.below(CHANGE_MS);
        let mut is_noisy: Vec<_> = (0..10)
            .map(|_| (rng.below(1_000) as f64) < NOISY_SHARE * 1_000.0)
            .collect();
        is_noisy[0] = false;
        Vm { phase, is_noisy }
    }

    fn percent(&self, ms: u64) -> f64 {
        let period = ((ms + self.phase) / CHANGE_MS) as usize;
        match self.is_noisy.get(period) {
            Some(true) => NOISY_PERCENT,
            _ => 100.0,
        }
    }

    fn answers_after(&self, start: u64, work_ms: f64) -> u64 {
        let mut left = work_ms;
        let mut ms = start;
        while left > 0.0 && ms < 3_000 {
            left -= 100.0 / self.percent(ms);
            ms += 1;
        }
        ms
    }
}

struct Result {
    in_aim: u32,
    again: u32,
}

fn play(looks: bool) -> Result {
    let mut rng = rng::SplitMix64::new(7);
    let mut result = Result {
        in_aim: 0,
        again: 0,
    };
    for _ in 0..4_000 {
        let work = WORK_MS * (0.7 + rng.below(600) as f64 / 1_000.0);
        let (first, second) = (Vm::new(&mut rng), Vm::new(&mut rng));
        let answered = first.answers_after(0, work);
        let waiting = hedge::Pending {
            sent: clock::Millis::ZERO,
            to_target: clock::Millis(AIM_MS),
            work_ms: WORK_MS,
            predicted_ms: WORK_MS,
        };
        let mut now = clock::Millis::ZERO;
        let again = loop {
            let due = waiting.due(now);
            now = due.at();
            if answered <= now.0 {
                break None;
            }
            match due {
                hedge::Due::Hedge(at) => break Some(at),
                hedge::Due::Probe(at) if looks && waiting.should_hedge(at, first.percent(at.0)) => {
                    break Some(at);
                }
                hedge::Due::Probe(_) => {}
            }
        };
        let second = again.map_or(u64::MAX, |at| second.answers_after(at.0, work));
        result.again += u32::from(again.is_some());
        result.in_aim += u32::from(answered.min(second) <= AIM_MS);
    }
    result
}

/// Guards against requests that miss their aim on a VM that turned slow, although its reports said
/// so in time, and against second sends of many requests that need none.
#[test]
fn looking_at_the_server_saves_requests_on_a_vm_that_turns_slow() {
    let blind = play(false);
    let looking = play(true);
    let late = |result: &Result| 4_000 - result.in_aim;
    assert!(
        late(&looking) * 10 < late(&blind) * 7,
        "late {} of 4000, without looks {}",
        late(&looking),
        late(&blind)
    );
    assert!(looking.again < 4_000 / 4, "second sends {}", looking.again);
}

/// Guards against looks that cost health checks where no second send could be in time.
#[test]
fn no_look_without_time_for_a_second_send() {
    let waiting = hedge::Pending {
        sent: clock::Millis(1_000),
        to_target: clock::Millis(120),
        work_ms: 90.0,
        predicted_ms: 95.0,
    };
    let due = waiting.due(clock::Millis(1_000));
    assert!(matches!(due, hedge::Due::Hedge(at) if at >= clock::Millis(1_090)));
}

/// Guards against second sends to spare a request that keeps its aim anyway.
#[test]
fn slow_server_with_time_left_is_waited_for() {
    let waiting = hedge::Pending {
        sent: clock::Millis::ZERO,
        to_target: clock::Millis(1_200),
        work_ms: 170.0,
        predicted_ms: 170.0,
    };
    assert!(!waiting.should_hedge(clock::Millis(100), NOISY_PERCENT));
    assert!(waiting.should_hedge(clock::Millis(1_000), NOISY_PERCENT));
}

/// Guards against second sends in a rush, which take the last slots of quiet servers and slow down
/// the requests that run there.
#[test]
fn second_send_takes_no_last_slot() {
    let best = |in_flight: u32, slowdown_percent: f64| placement::Prediction {
        response_ms: WORK_MS,
        uncorrected_ms: WORK_MS,
        cost_ms: WORK_MS,
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

//! Rollouts of a hundred processes in virtual time: exposure, deadline and verdict.

mod deployment;

use deployment::{Deployment, Fault, Outcome, Scenario};
use nutmegdale_base::clock;
use nutmegdale_rollout::plan;

const SEEDS: std::ops::Range<u64> = 0..8;
const PROCESSES: [usize; 3] = [2, 16, 130];

fn run(fault: Fault, processes: usize, seed: u64) -> Outcome {
    Deployment::new(Scenario {
        fault,
        processes,
        seed,
        ..Scenario::default()
    })
    .run()
}

/// Checks that a bad version was rolled back before the deadline, within the exposure limit, and
/// early enough after its 50th bad response.
fn check_bad(outcome: &Outcome, what: &str) {
    assert_eq!(
        outcome.stage,
        plan::Stage::RolledBack,
        "{what}: {outcome:?}"
    );
    assert!(outcome.ended < outcome.duration, "{what}: {outcome:?}");
    let limit = outcome.requests as f64 * 0.1 + 50.0;
    assert!(outcome.canaries as f64 <= limit, "{what}: {outcome:?}");
    if let (Some(bad), Some(last)) = (outcome.fiftieth_bad, outcome.last_new) {
        assert!(last <= bad + clock::Millis(5_000), "{what}: {outcome:?}");
    }
}

/// Guards against a bad version that is completed, or that gets more requests than allowed.
#[test]
fn bad_versions_are_rolled_back_within_the_bounds() {
    let late = clock::Millis(5_000);
    let faults = [
        Fault::errors(clock::Millis::ZERO),
        Fault::slowness(clock::Millis::ZERO),
        Fault::errors(late),
        Fault::slowness(late),
        Fault::errors(clock::Millis::ZERO).on_route(0),
        Fault::slowness(clock::Millis::ZERO).on_route(1),
        Fault::errors(clock::Millis::ZERO).under_load(),
    ];
    for fault in faults {
        for processes in PROCESSES {
            for seed in SEEDS {
                let outcome = run(fault, processes, seed);
                check_bad(&outcome, &format!("{fault:?}, {processes}, seed {seed}"));
            }
        }
    }
}

/// Guards against a good version that is rolled back beside noisy VMs or bursts of errors of both
/// versions, and against one that is completed too late.
#[test]
fn good_versions_are_completed_in_time() {
    for processes in PROCESSES {
        for seed in 0..40 {
            let outcome = run(Fault::none(), processes, seed);
            let what = format!("{processes} processes, seed {seed}: {outcome:?}");
            assert_eq!(outcome.stage, plan::Stage::Completed, "{what}");
            let latest = clock::Millis(outcome.duration.since(clock::Millis(1_500)).0);
            assert!(outcome.ended <= latest, "{what}");
            assert!(outcome.promoted >= clock::Millis(outcome.duration.0 * 6 / 10));
        }
    }
}

/// Guards against reports that are lost, repeated or reordered and change the verdict.
#[test]
fn lost_and_repeated_reports_change_no_verdict() {
    for seed in SEEDS {
        let scenario = Scenario {
            lost_percent: 30,
            repeated_percent: 30,
            processes: 130,
            seed,
            ..Scenario::default()
        };
        let good = Deployment::new(scenario).run();
        assert_eq!(good.stage, plan::Stage::Completed, "seed {seed}: {good:?}");
        let bad = Deployment::new(Scenario {
            fault: Fault::errors(clock::Millis::ZERO),
            ..scenario
        });
        check_bad(&bad.run(), &format!("seed {seed}"));
    }
}

/// Guards against a new leader, at whatever time, that forgets the evidence or the time.
#[test]
fn leader_changes_at_any_time_change_no_verdict() {
    for change_ms in (250..11_000).step_by(750) {
        let scenario = Scenario {
            leader_change: Some(clock::Millis(change_ms)),
            processes: 130,
            seed: change_ms,
            ..Scenario::default()
        };
        let good = Deployment::new(scenario).run();
        assert_eq!(good.stage, plan::Stage::Completed, "{change_ms}: {good:?}");
        assert!(good.ended < good.duration, "{change_ms}: {good:?}");
        let bad = Deployment::new(Scenario {
            fault: Fault::errors(clock::Millis(3_000)),
            ..scenario
        });
        check_bad(&bad.run(), &format!("leader change at {change_ms}"));
    }
}

//! Next stage of a rollout, from the time and the evidence.
//!
//! Load pattern: a duration of 12 to 16 s in which a fault may show some seconds after the start.
//! The promotion is late, so that late faults show, and early enough for requests in flight at old
//! servers to end before the rollout is completed.

use crate::test;
use nutmegdale_base::clock;
use serde::{Deserialize, Serialize};

/// Stage of a rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Stage {
    /// The new version gets a small share of the requests.
    Canary,
    /// The new version gets all requests; those in flight at old servers end.
    Promoting,
    /// The old servers are gone.
    Completed,
    /// The servers of the new version are gone.
    RolledBack,
}

impl Stage {
    /// Returns whether the rollout has not ended.
    pub fn is_running(self) -> bool {
        matches!(self, Stage::Canary | Stage::Promoting)
    }

    /// Returns whether `next` may follow this stage.
    pub fn allows(self, next: Stage) -> bool {
        match self {
            Stage::Canary => matches!(next, Stage::Promoting | Stage::RolledBack),
            Stage::Promoting => matches!(next, Stage::Completed | Stage::RolledBack),
            Stage::Completed | Stage::RolledBack => false,
        }
    }
}

/// Part of the duration after which a version without an alarm is promoted, in percent.
const PROMOTE_PERCENT: u64 = 68;
/// Part of the duration before which a rollout is not completed for want of reports, in percent.
const COMPLETE_PERCENT: u64 = 84;
/// Time before the end by which a promotion is decided, whatever the evidence.
const DECIDE_LEFT_MS: clock::Millis = clock::Millis(3_200);
/// Time before the end at which a promoted version is completed at the latest: 1.5 s, and the times of
/// a step of the leader and of a commit.
const COMPLETE_LEFT_MS: clock::Millis = clock::Millis(2_000);
/// Time before the end from which a promotion could no longer be completed.
const PROMOTE_LEFT_MS: clock::Millis = clock::Millis(800);
/// Number of canary requests below which the evidence is scarce.
const SCARCE_COUNT: u64 = 20;
/// Number of requests of the old version above which a new version without any is unreachable.
const BUSY_COUNT: u64 = 50;

/// What is known of a running rollout.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct View {
    /// Current stage.
    pub stage: Stage,
    /// Time since the order.
    pub elapsed: clock::Millis,
    /// Time that the order allows.
    pub duration: clock::Millis,
    /// Result of the test.
    pub verdict: test::Verdict,
    /// Result of the test without a comparison with the old version.
    pub uncompared_verdict: test::Verdict,
    /// Attempts at servers of other versions, and at servers of the target version.
    pub attempts: (u64, u64),
    /// Servers of other versions that accept requests, and those of the target version.
    pub servers: (usize, usize),
    /// Whether every live process has reported that it uses the old servers no longer.
    pub is_released: bool,
}

/// Reason of a rollback.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reason {
    /// The test raised an alarm.
    Bad,
    /// The time was up and the evidence was against the version.
    Suspect,
    /// The new version has too few servers.
    TooFewServers,
    /// The new version got no request.
    Unreachable,
    /// There is no time left to promote the version.
    NoTime,
}

/// What to do next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Step {
    /// Keep the stage.
    Keep,
    /// Send all requests to the new version.
    Promote,
    /// End the rollout with the new version.
    Complete,
    /// End the rollout with the old version.
    RollBack(Reason),
}

impl Step {
    /// Returns the stage that the step leads to.
    pub fn stage(self) -> Option<Stage> {
        match self {
            Step::Keep => None,
            Step::Promote => Some(Stage::Promoting),
            Step::Complete => Some(Stage::Completed),
            Step::RollBack(_) => Some(Stage::RolledBack),
        }
    }
}

/// Returns what to do next.
pub fn next(view: &View) -> Step {
    match view.stage {
        Stage::Canary => next_of_canary(view),
        Stage::Promoting => next_of_promotion(view),
        Stage::Completed | Stage::RolledBack => Step::Keep,
    }
}

fn next_of_canary(view: &View) -> Step {
    let (old, new) = view.servers;
    if old == 0 && new > 0 {
        // The traffic has moved already, or there is nothing to compare with.
        return Step::Promote;
    }
    if view.verdict == test::Verdict::Bad {
        return Step::RollBack(Reason::Bad);
    }
    let left = view.duration.since(view.elapsed);
    if left < PROMOTE_LEFT_MS.min(clock::Millis(view.duration.0 / 10)) {
        return Step::RollBack(Reason::NoTime);
    }
    let promote_at = clock::Millis(view.duration.0 * PROMOTE_PERCENT / 100);
    if view.elapsed < promote_at {
        return Step::Keep;
    }
    let (old_attempts, new_attempts) = view.attempts;
    let is_scarce = new_attempts < SCARCE_COUNT && old_attempts > SCARCE_COUNT;
    let has_doubts = is_scarce || view.verdict == test::Verdict::Suspect || new * 2 < old;
    let decide_at = promote_at.max(clock::Millis(view.duration.since(DECIDE_LEFT_MS).0));
    if has_doubts && view.elapsed < decide_at {
        return Step::Keep;
    }
    if new == 0 || new * 4 < old {
        Step::RollBack(Reason::TooFewServers)
    } else if view.verdict == test::Verdict::Suspect {
        Step::RollBack(Reason::Suspect)
    } else if new_attempts == 0 && old_attempts >= BUSY_COUNT {
        Step::RollBack(Reason::Unreachable)
    } else {
        Step::Promote
    }
}

fn next_of_promotion(view: &View) -> Step {
    let (old, new) = view.servers;
    if old > 0 && view.uncompared_verdict == test::Verdict::Bad {
        return Step::RollBack(Reason::Bad);
    }
    if old > 0 && new == 0 {
        return Step::RollBack(Reason::TooFewServers);
    }
    let complete_at = clock::Millis(view.duration.0 * COMPLETE_PERCENT / 100);
    let complete_at = complete_at.max(clock::Millis(view.duration.since(COMPLETE_LEFT_MS).0));
    match view.is_released || view.elapsed >= complete_at {
        true => Step::Complete,
        false => Step::Keep,
    }
}

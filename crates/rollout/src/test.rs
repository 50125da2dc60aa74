//! Sequential test of a new version against the old one.
//!
//! Load pattern: VMs of which a quarter is slowed at any time, and a version whose fault may begin
//! late, or show on one route only. Each route, and all routes together, have a cumulative sum of
//! log-likelihood ratios that starts again at zero: evidence from before a fault does not hide it.
//! The expected rate is that of the old version over the same seconds, so that what hits both
//! versions says nothing about the new one.
//!
//! False alarms: at most one in [`FALSE_ALARMS`] sequences that start at zero, if both versions fail
//! at the floor rates below; a good version fails less often. Misses: a version that fails half of
//! the requests raises an alarm after 10 of them on average, one that is slow for half of them after
//! 35, and for all of them after 9.

use crate::evidence;
use std::collections;

/// Number of sequences in which there is one false alarm.
pub const FALSE_ALARMS: f64 = 1e5;
/// Number of steps of the old version that the expected rates are taken from: 2 s.
const WINDOW_STEPS_COUNT: usize = 8;
/// Lowest expected rate of failures, since a few requests show no lower one.
const FAILED_MIN: f64 = 0.03;
/// Lowest expected rate of slow responses. A canary has fewer servers to choose from, so it meets
/// slowed VMs more often, and a report of the slowdown may be older than the response.
const SLOW_MIN: f64 = 0.12;
/// Rate of failures of a bad version above the expected one; it fails about half of the requests.
const FAILED_EXCESS: f64 = 0.35;
/// Rate of slow responses of a bad version above the expected one.
const SLOW_EXCESS: f64 = 0.38;
/// Highest rate of a bad version; above it, the old version is as bad.
const BAD_MAX: f64 = 0.95;
/// Number of latency classes above that of the median at which a response is slow: 2.8 to 4 times the
/// median, depending on its place in its class.
const SLOW_CLASSES_COUNT: usize = 4;
/// Lowest expected rate of failures after the promotion, when the old version gets no requests: what
/// hits all servers for a while cannot be told from a fault of the new version.
const UNCOMPARED_MIN: f64 = 0.25;
/// Least number of attempts of a step for a rate of its own.
const STEP_MIN_COUNT: u32 = 10;
/// Least number of timed responses of the old version for a median.
const MEDIAN_MIN_COUNT: u32 = 10;

/// Result of the test so far.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Verdict {
    /// Nothing speaks against the version.
    #[default]
    Good,
    /// Some evidence speaks against the version, but less than an alarm needs.
    Suspect,
    /// The version is bad.
    Bad,
}

/// What a score is about.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Symptom {
    /// Errors and broken responses.
    Failures,
    /// Slow responses.
    Slowness,
}

/// Strongest evidence against the version.
#[derive(Debug, Clone, PartialEq)]
pub struct Finding {
    /// What it is about.
    pub symptom: Symptom,
    /// Name of the route; empty for all routes together.
    pub route: String,
    /// Log-likelihood ratio.
    pub score: f64,
}

#[derive(Debug, Default)]
struct RouteState {
    seen: evidence::Route,
    window: collections::VecDeque<evidence::Counts>,
    scores: Scores,
}

#[derive(Debug, Clone, Copy, Default)]
struct Scores {
    failures: f64,
    /// Failures without a comparison.
    uncompared: f64,
    slowness: f64,
}

impl Scores {
    fn add(&mut self, other: Scores) {
        self.failures = (self.failures + other.failures).max(0.0);
        self.uncompared = (self.uncompared + other.uncompared).max(0.0);
        self.slowness = (self.slowness + other.slowness).max(0.0);
    }
}

/// Test of one version over all routes of a service.
#[derive(Debug, Default)]
pub struct Test {
    routes: collections::BTreeMap<String, RouteState>,
    all: Scores,
}

impl Test {
    /// Takes in the cumulative evidence, about every quarter of a second. Steps without news change
    /// nothing, so that a leader which hears less often compares the same seconds.
    pub fn step(&mut self, evidence: &evidence::Evidence) {
        let mut sum = Scores::default();
        for (name, route) in &evidence.routes {
            if !self.routes.contains_key(name) {
                self.routes.insert(name.clone(), RouteState::default());
            }
            if let Some(state) = self.routes.get_mut(name) {
                let step = state.step(route);
                sum.failures += step.failures;
                sum.uncompared += step.uncompared;
                sum.slowness += step.slowness;
            }
        }
        self.all.add(sum);
    }

    /// Returns the result so far.
    pub fn verdict(&self) -> Verdict {
        let score = self.finding().map_or(0.0, |finding| finding.score);
        verdict_of(score)
    }

    /// Returns the result so far without a comparison and without regard to slowness, for a time at
    /// which the old version gets no requests.
    pub fn uncompared_verdict(&self) -> Verdict {
        let scores = self.routes.values().map(|state| state.scores.uncompared);
        verdict_of(scores.fold(self.all.uncompared, f64::max))
    }

    /// Returns the strongest evidence against the version, if there is any.
    pub fn finding(&self) -> Option<Finding> {
        let routes = self.routes.iter();
        let scores = routes.map(|(name, state)| (name.as_str(), state.scores));
        let findings = scores.chain([("", self.all)]).flat_map(|(route, scores)| {
            let failures = (Symptom::Failures, route, scores.failures);
            [failures, (Symptom::Slowness, route, scores.slowness)]
        });
        let strongest = findings.max_by(|a, b| a.2.total_cmp(&b.2))?;
        (strongest.2 > 0.0).then(|| Finding {
            symptom: strongest.0,
            route: strongest.1.to_owned(),
            score: strongest.2,
        })
    }
}

fn verdict_of(score: f64) -> Verdict {
    let alarm = FALSE_ALARMS.ln();
    if score >= alarm {
        Verdict::Bad
    } else if score >= alarm / 2.0 {
        Verdict::Suspect
    } else {
        Verdict::Good
    }
}

impl RouteState {
    /// Takes in the cumulative counts and returns by how much the scores change before their floor.
    fn step(&mut self, route: &evidence::Route) -> Scores {
        let old = route.old.since(&self.seen.old);
        let new = route.new.since(&self.seen.new);
        if old.total() == 0 && new.total() == 0 {
            return Scores::default();
        }
        self.seen = route.clone();
        if old.total() > 0 {
            self.window.push_back(old.clone());
        }
        if self.window.len() > WINDOW_STEPS_COUNT {
            self.window.pop_front();
        }
        let mut window = evidence::Counts::default();
        for counts in &self.window {
            window.add(counts);
        }
        // What hits both versions in this step is expected at its full rate.
        let expected_failed =
            rate(window.failures, window.total(), FAILED_MIN).max(step_rate(&old));
        let mut change = Scores {
            failures: ratio(new.failures, new.total(), expected_failed, FAILED_EXCESS),
            uncompared: ratio(
                new.failures,
                new.total(),
                expected_failed.max(UNCOMPARED_MIN),
                FAILED_EXCESS,
            ),
            slowness: 0.0,
        };
        let median = route.old.median_class();
        if let Some(median) = median.filter(|_| route.old.timed() >= MEDIAN_MIN_COUNT) {
            let first = (median + SLOW_CLASSES_COUNT).min(evidence::CLASSES_COUNT - 1);
            let expected = rate(window.slow(first), window.timed(), SLOW_MIN);
            change.slowness = ratio(new.slow(first), new.timed(), expected, SLOW_EXCESS);
        }
        self.scores.add(change);
        change
    }
}

/// Returns an upper estimate of the rate of failures of the old version in one step.
fn step_rate(old: &evidence::Counts) -> f64 {
    match old.total() {
        0..STEP_MIN_COUNT => 0.0,
        total => {
            let total = f64::from(total);
            let rate = f64::from(old.failures) / total;
            rate + (rate * (1.0 - rate) / total).sqrt()
        }
    }
}

/// Returns a careful estimate of a rate: one event more than was seen, in ten attempts more.
fn rate(events: u32, attempts: u32, min: f64) -> f64 {
    (f64::from(events + 1) / f64::from(attempts + 10)).max(min)
}

/// Returns the log-likelihood ratio of `events` in `attempts` at the rate of a bad version, against
/// the expected rate.
fn ratio(events: u32, attempts: u32, expected: f64, excess: f64) -> f64 {
    if attempts == 0 || expected >= BAD_MAX {
        return 0.0;
    }
    let bad = (expected + excess).min(BAD_MAX);
    let others = f64::from(attempts.saturating_sub(events));
    f64::from(events) * (bad / expected).ln() + others * ((1.0 - bad) / (1.0 - expected)).ln()
}

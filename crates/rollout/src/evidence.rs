//! Mergeable counts of what requests experience at servers of both versions.
//!
//! Load pattern: a hundred processes that send a few requests a second each, over links that lose
//! messages. Counts are cumulative since the order, so that a lost or repeated report does no harm.

use crate::plan;
use nutmegdale_base::clock;
use serde::{Deserialize, Serialize};
use std::collections;
use std::sync::atomic;

/// Name of the call by which an entry process reports to a coordinator.
pub const EVIDENCE: &str = "rollout-evidence";

/// Number of latency classes. Each is wider than the one before by the square root of 2.
pub const CLASSES_COUNT: usize = 16;
/// Upper bound of the first latency class in milliseconds; the last class begins at 1.4 s.
const FIRST_CLASS_MS: f64 = 11.3;

/// Returns the latency class of a response time.
pub fn latency_class(elapsed_ms: f64) -> usize {
    let half_octaves = (elapsed_ms.max(1.0) / FIRST_CLASS_MS).log2() * 2.0;
    ((half_octaves + 1.0).max(0.0) as usize).min(CLASSES_COUNT - 1)
}

/// Counts of the attempts at servers of one version.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counts {
    /// Attempts that got an error or a broken response.
    pub failures: u32,
    /// Other attempts whose speed counts, by latency class.
    pub classes: [u32; CLASSES_COUNT],
    /// Other attempts whose speed does not count, such as those at cold servers.
    pub untimed: u32,
}

impl Counts {
    /// Returns the number of attempts whose speed counts.
    pub fn timed(&self) -> u32 {
        self.classes.iter().sum()
    }

    /// Returns the number of attempts.
    pub fn total(&self) -> u32 {
        self.failures + self.untimed + self.timed()
    }

    /// Returns the number of attempts in the latency class `first` and above.
    pub fn slow(&self, first: usize) -> u32 {
        self.classes.iter().skip(first).sum()
    }

    /// Returns the latency class of the median, or `None` without a timed attempt.
    pub fn median_class(&self) -> Option<usize> {
        let half = self.timed().div_ceil(2);
        let mut sum = 0;
        let is_median = |count: &u32| {
            sum += count;
            half > 0 && sum >= half
        };
        self.classes.iter().position(is_median)
    }

    /// Adds the counts of another process.
    pub fn add(&mut self, other: &Counts) {
        self.failures += other.failures;
        self.untimed += other.untimed;
        for (own, other) in self.classes.iter_mut().zip(&other.classes) {
            *own += other;
        }
    }

    /// Returns the counts since `earlier`; what is missing there counts as zero.
    pub fn since(&self, earlier: &Counts) -> Counts {
        let mut delta = self.clone();
        delta.failures = delta.failures.saturating_sub(earlier.failures);
        delta.untimed = delta.untimed.saturating_sub(earlier.untimed);
        for (own, earlier) in delta.classes.iter_mut().zip(&earlier.classes) {
            *own = own.saturating_sub(*earlier);
        }
        delta
    }
}

/// Counts of one route at servers of both versions.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// Attempts at servers of other versions than the target.
    pub old: Counts,
    /// Attempts at servers of the target version.
    pub new: Counts,
}

/// Counts of a service by route.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Evidence {
    /// Counts by the name of the route.
    pub routes: collections::BTreeMap<String, Route>,
}

impl Evidence {
    /// Adds the counts of another process.
    pub fn add(&mut self, other: &Evidence) {
        for (name, counts) in &other.routes {
            if !self.routes.contains_key(name) {
                self.routes.insert(name.clone(), Route::default());
            }
            if let Some(own) = self.routes.get_mut(name) {
                own.old.add(&counts.old);
                own.new.add(&counts.new);
            }
        }
    }

    /// Returns the numbers of attempts at servers of other versions and of the target version.
    pub fn totals(&self) -> (u64, u64) {
        let routes = self.routes.values();
        routes.fold((0, 0), |(old, new), route| {
            let (more_old, more_new) = (route.old.total(), route.new.total());
            (old + u64::from(more_old), new + u64::from(more_new))
        })
    }
}

/// What one entry process reports on a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceReport {
    /// Name of the service.
    pub service: String,
    /// Index of the command that started the rollout.
    pub order: u64,
    /// Stage by which the process divides its requests.
    pub stage: plan::Stage,
    /// Its requests in flight at servers of other versions than the target.
    pub old_in_flight: u32,
    /// What its requests experienced since the order.
    pub evidence: Evidence,
}

/// Report of an entry process.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Name of the process.
    pub process: String,
    /// Number that identifies the start of the process.
    pub boot: u64,
    /// Number of the report, which increases from one to the next.
    pub sequence: u64,
    /// Services with a running rollout.
    pub services: Vec<ServiceReport>,
}

/// Result of an attempt, as far as it says something about the version of its server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Outcome {
    /// The response was an error or broken.
    Failed,
    /// The response was valid.
    Served {
        /// Time from the start of the attempt to the response.
        elapsed: clock::Millis,
        /// Slowdown of the server's VM, in percent of the usual work time; `None` if the speed
        /// says nothing about the version.
        slowdown_percent: Option<u32>,
    },
    /// The attempt was given up before there was a response, after the time that was predicted.
    Abandoned {
        /// Time from the start of the attempt to its end.
        elapsed: clock::Millis,
        /// Slowdown of the server's VM, in percent of the usual work time; `None` if the speed
        /// says nothing about the version.
        slowdown_percent: Option<u32>,
    },
}

/// Factor from the age of an attempt that was given up to the response time that it stands for. The
/// age is only a lower bound: hedges are sent, and win, long before a slow response.
const ABANDONED_FACTOR: f64 = 2.0;

/// [`Counts`] that several threads add to.
#[derive(Debug, Default)]
pub struct Cells {
    failures: atomic::AtomicU32,
    classes: [atomic::AtomicU32; CLASSES_COUNT],
    untimed: atomic::AtomicU32,
}

impl Cells {
    /// Counts an attempt.
    pub fn record(&self, outcome: Outcome) {
        let cell = match outcome {
            Outcome::Failed => &self.failures,
            Outcome::Served {
                elapsed,
                slowdown_percent,
            } => self.timed_cell(elapsed.0 as f64, slowdown_percent),
            Outcome::Abandoned {
                elapsed,
                slowdown_percent,
            } => self.timed_cell(elapsed.0 as f64 * ABANDONED_FACTOR, slowdown_percent),
        };
        cell.fetch_add(1, atomic::Ordering::Relaxed);
    }

    fn timed_cell(&self, elapsed_ms: f64, slowdown_percent: Option<u32>) -> &atomic::AtomicU32 {
        match slowdown_percent {
            Some(percent) => {
                let usual_ms = elapsed_ms * 100.0 / f64::from(percent.max(100));
                &self.classes[latency_class(usual_ms)]
            }
            None => &self.untimed,
        }
    }

    /// Returns the current counts.
    pub fn counts(&self) -> Counts {
        let load = |cell: &atomic::AtomicU32| cell.load(atomic::Ordering::Relaxed);
        Counts {
            failures: load(&self.failures),
            classes: std::array::from_fn(|n| load(&self.classes[n])),
            untimed: load(&self.untimed),
        }
    }
}

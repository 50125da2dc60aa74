//! What a stand-in counts, for tests to compare with the promises.

use std::collections;
use std::sync;
use std::sync::atomic;
use std::time;

/// Execution that a stand-in counted.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Execution {
    /// Request id of the entry VM.
    pub request_id: String,
    /// Idempotency key, or the empty string.
    pub key: String,
    /// Path.
    pub path: String,
}

/// Number that only grows.
#[derive(Debug, Default)]
pub struct Counter(atomic::AtomicU64);

impl Counter {
    /// Returns the number.
    pub fn get(&self) -> u64 {
        self.0.load(atomic::Ordering::SeqCst)
    }

    pub(super) fn add_one(&self) -> u64 {
        self.0.fetch_add(1, atomic::Ordering::SeqCst) + 1
    }
}

/// Number of things at once, with its highest value.
#[derive(Debug, Default)]
pub(super) struct Gauge {
    now: atomic::AtomicU32,
    most: atomic::AtomicU32,
}

impl Gauge {
    pub(super) fn now(&self) -> u32 {
        self.now.load(atomic::Ordering::SeqCst)
    }

    pub(super) fn most(&self) -> u32 {
        self.most.load(atomic::Ordering::SeqCst)
    }

    /// Counts one thing until the guard is dropped.
    pub(super) fn enter(&self) -> Guard<'_> {
        let now = self.now.fetch_add(1, atomic::Ordering::SeqCst) + 1;
        self.most.fetch_max(now, atomic::Ordering::SeqCst);
        Guard { gauge: self }
    }
}

#[derive(Debug)]
pub(super) struct Guard<'a> {
    gauge: &'a Gauge,
}

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        self.gauge.now.fetch_sub(1, atomic::Ordering::SeqCst);
    }
}

/// Everything that a stand-in counts.
#[derive(Debug, Default)]
pub struct Counts {
    executions: sync::Mutex<Vec<Execution>>,
    late: sync::Mutex<Vec<time::Duration>>,
    /// Requests that were executed.
    pub executed: Counter,
    /// Requests refused as not run.
    pub refused: Counter,
    /// Requests whose client went away before their answer.
    pub cancelled: Counter,
    /// Requests whose deadline passed while they ran.
    pub expired: Counter,
    /// Times that more than the cold slots arrived at the cold server.
    pub collapses: Counter,
    /// Connections that were accepted.
    pub connections: Counter,
    /// Connections refused because the limit was reached.
    pub connections_refused: Counter,
    pub(super) open: Gauge,
    pub(super) running: Gauge,
    pub(super) present: Gauge,
    pub(super) present_cold: Gauge,
}

impl Counts {
    /// Returns the executions so far.
    pub fn executions(&self) -> Vec<Execution> {
        self.executions
            .lock()
            .expect("no panic while counting")
            .clone()
    }

    /// Returns executions per idempotency key, leaving out requests without one.
    pub fn executions_by_key(&self) -> collections::BTreeMap<String, usize> {
        count_by(&self.executions(), |execution| &execution.key)
    }

    /// Returns executions per request id, leaving out requests without one.
    pub fn executions_by_request(&self) -> collections::BTreeMap<String, usize> {
        count_by(&self.executions(), |execution| &execution.request_id)
    }

    /// Returns the most requests that ran at once.
    pub fn running_max(&self) -> u32 {
        self.running.most()
    }

    /// Returns the most requests that ran or waited at once.
    pub fn present_max(&self) -> u32 {
        self.present.most()
    }

    /// Returns the most requests that ran or waited at once while the server was cold.
    pub fn cold_max(&self) -> u32 {
        self.present_cold.most()
    }

    /// Returns the most connections that were open at once.
    pub fn connections_max(&self) -> u32 {
        self.open.most()
    }

    /// Returns how long after the start of the drain each late request arrived.
    pub fn late_arrivals(&self) -> Vec<time::Duration> {
        self.late.lock().expect("no panic while counting").clone()
    }

    pub(super) fn add_execution(&self, execution: Execution) {
        let mut executions = self.executions.lock().expect("no panic while counting");
        executions.push(execution);
    }

    pub(super) fn add_late(&self, after: time::Duration) {
        let mut late = self.late.lock().expect("no panic while counting");
        late.push(after);
    }
}

fn count_by(
    executions: &[Execution],
    name: impl Fn(&Execution) -> &String,
) -> collections::BTreeMap<String, usize> {
    let mut counts = collections::BTreeMap::new();
    for execution in executions.iter().filter(|e| !name(e).is_empty()) {
        *counts.entry(name(execution).clone()).or_default() += 1;
    }
    counts
}

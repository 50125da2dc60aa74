//! Counters of a stand-in, which tests compare with the guarantees of the system.

use std::collections;
use std::sync;
use std::sync::atomic;
use std::time;

/// Execution of a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Execution {
    /// Request id that the entry VM assigned.
    pub request_id: String,
    /// Idempotency key, or the empty string.
    pub key: String,
    /// Path of the request.
    pub path: String,
}

/// Monotonic counter.
#[derive(Debug, Default)]
pub struct Counter(atomic::AtomicU64);

impl Counter {
    /// Returns the current value.
    pub fn get(&self) -> u64 {
        self.0.load(atomic::Ordering::SeqCst)
    }

    pub(super) fn add_one(&self) -> u64 {
        self.0.fetch_add(1, atomic::Ordering::SeqCst) + 1
    }
}

/// Current number of something, with its highest value so far.
#[derive(Debug, Default)]
pub(super) struct Gauge {
    current: atomic::AtomicU32,
    highest: atomic::AtomicU32,
}

impl Gauge {
    pub(super) fn current(&self) -> u32 {
        self.current.load(atomic::Ordering::SeqCst)
    }

    pub(super) fn highest(&self) -> u32 {
        self.highest.load(atomic::Ordering::SeqCst)
    }

    /// Increments the gauge until the guard is dropped.
    pub(super) fn enter(&self) -> Guard<'_> {
        let current = self.current.fetch_add(1, atomic::Ordering::SeqCst) + 1;
        self.highest.fetch_max(current, atomic::Ordering::SeqCst);
        Guard { gauge: self }
    }
}

#[derive(Debug)]
pub(super) struct Guard<'a> {
    gauge: &'a Gauge,
}

impl Drop for Guard<'_> {
    fn drop(&mut self) {
        self.gauge.current.fetch_sub(1, atomic::Ordering::SeqCst);
    }
}

/// All counters of a stand-in.
#[derive(Debug, Default)]
pub struct Counts {
    executions: sync::Mutex<Vec<Execution>>,
    late_arrivals: sync::Mutex<Vec<time::Duration>>,
    /// Requests that were executed.
    pub executed: Counter,
    /// Requests that were refused without being executed.
    pub refused: Counter,
    /// Requests whose client disconnected before the answer.
    pub cancelled: Counter,
    /// Requests whose deadline passed during execution.
    pub expired: Counter,
    /// How often a cold server got more concurrent requests than it has cold slots.
    pub collapses: Counter,
    /// Connections that were accepted.
    pub connections: Counter,
    /// Connections refused at the connection limit.
    pub connections_refused: Counter,
    pub(super) open: Gauge,
    pub(super) running: Gauge,
    /// Requests that run or wait.
    pub(super) in_system: Gauge,
    pub(super) in_system_cold: Gauge,
}

impl Counts {
    /// Returns the executions so far.
    pub fn executions(&self) -> Vec<Execution> {
        self.executions
            .lock()
            .expect("no panic while the lock is held")
            .clone()
    }

    /// Returns the number of executions per idempotency key; requests without one are left out.
    pub fn executions_by_key(&self) -> collections::BTreeMap<String, usize> {
        count_by(&self.executions(), |execution| &execution.key)
    }

    /// Returns the number of executions per request id; requests without one are left out.
    pub fn executions_by_request(&self) -> collections::BTreeMap<String, usize> {
        count_by(&self.executions(), |execution| &execution.request_id)
    }

    /// Returns the highest number of requests that ran concurrently.
    pub fn running_max(&self) -> u32 {
        self.running.highest()
    }

    /// Returns the highest number of requests that ran or waited concurrently.
    pub fn present_max(&self) -> u32 {
        self.in_system.highest()
    }

    /// Returns the highest number of requests that ran or waited concurrently at the cold server.
    pub fn cold_max(&self) -> u32 {
        self.in_system_cold.highest()
    }

    /// Returns the highest number of concurrent connections.
    pub fn connections_max(&self) -> u32 {
        self.open.highest()
    }

    /// Returns the time from the start of draining to each request that arrived after it.
    pub fn late_arrivals(&self) -> Vec<time::Duration> {
        self.late_arrivals
            .lock()
            .expect("no panic while the lock is held")
            .clone()
    }

    pub(super) fn add_execution(&self, execution: Execution) {
        let mut executions = self
            .executions
            .lock()
            .expect("no panic while the lock is held");
        executions.push(execution);
    }

    pub(super) fn add_late_arrival(&self, after: time::Duration) {
        let mut late = self
            .late_arrivals
            .lock()
            .expect("no panic while the lock is held");
        late.push(after);
    }
}

fn count_by(
    executions: &[Execution],
    key_of: impl Fn(&Execution) -> &String,
) -> collections::BTreeMap<String, usize> {
    let mut counts = collections::BTreeMap::new();
    for execution in executions.iter().filter(|e| !key_of(e).is_empty()) {
        *counts.entry(key_of(execution).clone()).or_default() += 1;
    }
    counts
}

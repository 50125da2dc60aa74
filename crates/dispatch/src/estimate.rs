//! Running estimates of what the requests of one route cost, learned from its responses.

use nutmegdale_base::{class, clock};
use std::cmp;
use std::sync::atomic;

/// Responses that an average spans: it is the plain mean of the first ones and an exponential
/// moving average after that.
const AVERAGE_WINDOW_COUNT: u64 = 20;
/// Smallest step of the running median of caller timeouts, in percent of the median.
const MEDIAN_STEP_MIN_PERCENT: u64 = 2;
/// Samples before the median is used. Each of these moves it by a larger step (100 / n percent for
/// the nth sample), so that it does not stay at an unusually long first timeout.
const MEDIAN_MIN_COUNT: u64 = 20;
/// Timeout, in percent of the median, below which a request counts as a retry; the timeouts of
/// first attempts differ by less.
const RETRY_MAX_PERCENT: u64 = 82;
/// Service time assumed before the first response, as a fraction of the target latency: route
/// owners choose targets that leave time for one retry.
const SERVICE_DEFAULT_SHARE: f64 = 0.4;
/// Service time assumed for bulk exports, as a fraction of the target latency; their targets also
/// cover the transfer.
const BULK_SERVICE_DEFAULT_SHARE: f64 = 0.2;

/// Responses of saturated servers needed before the measured saturation factor is used.
const SATURATED_MIN_COUNT: u64 = 5;
/// Saturation factor assumed until then.
const SATURATION_DEFAULT_FACTOR: f64 = 1.3;
/// Upper bound of the saturation factor.
const SATURATION_MAX_FACTOR: f64 = 2.5;

/// Responses that a reset estimate counts for: it weighs as much as the next response.
const RESET_COUNT: u64 = 1;
/// Duration of uninterrupted refusals, although servers had room, after which the service time is
/// considered stale. It allows one trial request per second, which is below the capacity of any
/// route.
const STALE_AFTER_MS: clock::Millis = clock::Millis(1_000);

/// Free slots of a server once a request was placed there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Room {
    /// Other slots stayed free.
    Free,
    /// The request took the last free slot.
    Last,
    /// All slots were taken, so the request had to queue.
    None,
}

/// Averages over the responses of one route.
#[derive(Debug)]
pub struct Estimate {
    service_time_us: atomic::AtomicU64,
    response_bytes: atomic::AtomicU64,
    responses_count: atomic::AtomicU64,
    saturated_us: atomic::AtomicU64,
    saturated_count: atomic::AtomicU64,
    median_timeout_ms: atomic::AtomicU64,
    timeouts_count: atomic::AtomicU64,
    /// Time of the first refusal since the last admitted request; 0 if there was none.
    first_refusal_ms: atomic::AtomicU64,
}

/// Response size assumed before the first response, in bytes.
const RESPONSE_DEFAULT_BYTES: u64 = 4_000;
/// Response size assumed for bulk exports, in bytes, so that nearby servers are preferred for the
/// first ones too.
const BULK_RESPONSE_DEFAULT_BYTES: u64 = 60_000;

impl Estimate {
    /// Creates the estimate of a route without responses from its class and target latency.
    pub fn new(class: class::Class, target: clock::Millis) -> Estimate {
        let (response_bytes, target_share) = match class {
            class::Class::BulkExport => (BULK_RESPONSE_DEFAULT_BYTES, BULK_SERVICE_DEFAULT_SHARE),
            _ => (RESPONSE_DEFAULT_BYTES, SERVICE_DEFAULT_SHARE),
        };
        let service_time_us = (target.0 as f64 * target_share * 1_000.0) as u64;
        Estimate {
            service_time_us: atomic::AtomicU64::new(service_time_us),
            response_bytes: atomic::AtomicU64::new(response_bytes),
            responses_count: atomic::AtomicU64::new(0),
            saturated_us: atomic::AtomicU64::new(0),
            saturated_count: atomic::AtomicU64::new(0),
            median_timeout_ms: atomic::AtomicU64::new(0),
            timeouts_count: atomic::AtomicU64::new(0),
            first_refusal_ms: atomic::AtomicU64::new(0),
        }
    }

    /// Records that a request was refused because of its service time alone: its server had room.
    pub fn record_refusal(&self, now: clock::Millis) {
        let order = atomic::Ordering::Relaxed;
        if self.first_refusal_ms.load(order) == 0 {
            self.first_refusal_ms.store(now.0.max(1), order);
        }
    }

    /// Records that a request was admitted.
    pub fn record_admission(&self) {
        let order = atomic::Ordering::Relaxed;
        // Usually nothing changes, and a store would invalidate the cache line of other threads.
        if self.first_refusal_ms.load(order) != 0 {
            self.first_refusal_ms.store(0, order);
        }
    }

    /// Returns whether the estimated service time may be too high. Refused requests bring no
    /// responses, so an estimate that causes every request to be refused would never change.
    pub fn may_be_stale(&self, now: clock::Millis) -> bool {
        match self.first_refusal_ms.load(atomic::Ordering::Relaxed) {
            0 => false,
            refused => now.since(clock::Millis(refused)) >= STALE_AFTER_MS,
        }
    }

    /// Resets the weight of past responses, so that the next ones dominate the averages.
    pub fn reset_weight(&self) {
        let order = atomic::Ordering::Relaxed;
        self.responses_count.store(RESET_COUNT, order);
        self.first_refusal_ms.store(0, order);
    }

    /// Records a response of `bytes` that took `took` at a server which ran at `slowdown_percent`
    /// of its usual service time. Responses of servers with a queue are ignored, since their time
    /// includes queueing.
    pub fn record_response(
        &self,
        took: clock::Millis,
        slowdown_percent: u32,
        bytes: u64,
        room: Room,
    ) {
        let order = atomic::Ordering::Relaxed;
        let service_time_us = took.0 * 1000 * 100 / u64::from(slowdown_percent.max(1));
        match room {
            Room::Free => {
                let count = 1 + self.responses_count.fetch_add(1, order);
                update_average(&self.service_time_us, service_time_us, count);
                update_average(&self.response_bytes, bytes, count);
            }
            Room::Last => {
                let count = 1 + self.saturated_count.fetch_add(1, order);
                update_average(&self.saturated_us, service_time_us, count);
            }
            Room::None => {}
        }
    }

    /// Returns the factor by which requests take longer when all slots of a server are taken.
    pub fn saturation_factor(&self) -> f64 {
        let order = atomic::Ordering::Relaxed;
        if self.saturated_count.load(order) < SATURATED_MIN_COUNT {
            return SATURATION_DEFAULT_FACTOR;
        }
        let saturated = self.saturated_us.load(order) as f64;
        let factor = saturated / self.service_time_us.load(order).max(1) as f64;
        factor.clamp(1.0, SATURATION_MAX_FACTOR)
    }

    /// Records the remaining timeout `left` of a request and returns how long its caller has
    /// probably waited before.
    ///
    /// Callers of a route start with similar timeouts and send what is left of theirs when they
    /// retry, so a value far below the median belongs to a retry. A median is robust against the
    /// few callers that wait much longer.
    pub fn infer_elapsed_wait(&self, left: clock::Millis) -> clock::Millis {
        let order = atomic::Ordering::Relaxed;
        let median = match self.median_timeout_ms.load(order) {
            0 => left.0,
            median => median,
        };
        let count = self.timeouts_count.fetch_add(1, order);
        let step = median * (100 / (count + 1)).max(MEDIAN_STEP_MIN_PERCENT) / 100;
        let next = match left.0.cmp(&median) {
            cmp::Ordering::Less => (median - step).max(1),
            cmp::Ordering::Equal => median,
            cmp::Ordering::Greater => median + step,
        };
        self.median_timeout_ms.store(next, order);
        let is_retry = count >= MEDIAN_MIN_COUNT && left.0 < median * RETRY_MAX_PERCENT / 100;
        clock::Millis(if is_retry { median - left.0 } else { 0 })
    }

    /// Returns the average service time of a request in milliseconds.
    pub fn service_time_ms(&self) -> f64 {
        self.service_time_us.load(atomic::Ordering::Relaxed) as f64 / 1000.0
    }

    /// Returns the average response size in kilobytes.
    pub fn response_kb(&self) -> f64 {
        self.response_bytes.load(atomic::Ordering::Relaxed) as f64 / 1000.0
    }
}

fn update_average(average: &atomic::AtomicU64, sample: u64, count: u64) {
    let order = atomic::Ordering::Relaxed;
    let window = count.min(AVERAGE_WINDOW_COUNT);
    let old = average.load(order);
    average.store((old * (window - 1) + sample) / window, order);
}

//! What the requests of one route need, learned from answers.

use nutmegdale_base::{class, clock};
use std::cmp;
use std::sync::atomic;

/// Answers over which an average forgets; the first ones weigh equally.
const MEMORY_COUNT: u64 = 20;
/// Smallest step of the running median of the times that callers wait, in percent.
const USUAL_STEP_PERCENT: u64 = 2;
/// Callers before whom no median is believed. Each of them moves it by its share, so that the
/// median does not stay at a first caller who waits unusually long.
const USUAL_MIN_COUNT: u64 = 20;
/// Part of the usual time below which a caller has come before, in percent; callers differ by
/// less.
const AGAIN_PERCENT: u64 = 82;
/// Work that is assumed before the first answer, in parts of the aim: owners of routes choose aims
/// that leave time for one more try.
const WORK_DEFAULT_AIMS: f64 = 0.4;
/// The same for bulk exports, whose aims also cover the transfer.
const BULK_DEFAULT_AIMS: f64 = 0.2;

/// Answers of crowded servers after which their slowness is taken as known.
const CROWDED_MIN_COUNT: u64 = 5;
/// Factor that is assumed before.
const CROWDED_DEFAULT_FACTOR: f64 = 1.3;
/// Largest factor that is believed.
const CROWDED_MAX_FACTOR: f64 = 2.5;

/// Answers that an estimate in doubt counts for: it weighs as much as the next answer.
const RESTART_COUNT: u64 = 1;
/// Time of refusals in a row, though servers had room, after which what is known of the work is in
/// doubt: one request a second on trial is less than any route bears.
const DOUBT_AFTER_MS: clock::Millis = clock::Millis(1_000);

/// Room that a server had when a request was placed there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Room {
    /// Slots stayed free.
    Free,
    /// It took the last slot.
    Last,
    /// It had to wait.
    None,
}

/// Averages over the answers of one route.
#[derive(Debug)]
pub struct Estimate {
    work_us: atomic::AtomicU64,
    answer_bytes: atomic::AtomicU64,
    answers_count: atomic::AtomicU64,
    crowded_us: atomic::AtomicU64,
    crowded_count: atomic::AtomicU64,
    usual_wait_ms: atomic::AtomicU64,
    waits_count: atomic::AtomicU64,
    /// Time of the first refusal since a request was admitted; 0 if there was none.
    refused_ms: atomic::AtomicU64,
}

/// Size of an answer that is assumed before the first one, in bytes.
const ANSWER_DEFAULT_BYTES: u64 = 4_000;
/// The same for bulk exports, whose first answers should not travel far either.
const BULK_DEFAULT_BYTES: u64 = 60_000;

impl Estimate {
    /// Creates the estimate of a route of which nothing is known but its class and its aim.
    pub fn new(class: class::Class, aim: clock::Millis) -> Estimate {
        let (answer_bytes, work_aims) = match class {
            class::Class::BulkExport => (BULK_DEFAULT_BYTES, BULK_DEFAULT_AIMS),
            _ => (ANSWER_DEFAULT_BYTES, WORK_DEFAULT_AIMS),
        };
        let work_us = (aim.0 as f64 * work_aims * 1_000.0) as u64;
        Estimate {
            work_us: atomic::AtomicU64::new(work_us),
            answer_bytes: atomic::AtomicU64::new(answer_bytes),
            answers_count: atomic::AtomicU64::new(0),
            crowded_us: atomic::AtomicU64::new(0),
            crowded_count: atomic::AtomicU64::new(0),
            usual_wait_ms: atomic::AtomicU64::new(0),
            waits_count: atomic::AtomicU64::new(0),
            refused_ms: atomic::AtomicU64::new(0),
        }
    }

    /// Notes that a request was refused for its work alone, since its server had room.
    pub fn record_refusal(&self, now: clock::Millis) {
        let order = atomic::Ordering::Relaxed;
        if self.refused_ms.load(order) == 0 {
            self.refused_ms.store(now.0.max(1), order);
        }
    }

    /// Notes that a request was admitted.
    pub fn record_admission(&self) {
        let order = atomic::Ordering::Relaxed;
        // Mostly there is nothing to change, and a write would take the line from other threads.
        if self.refused_ms.load(order) != 0 {
            self.refused_ms.store(0, order);
        }
    }

    /// Returns whether the work may be less than it seems: refused requests bring no answers, so
    /// an estimate that refuses all of them never changes.
    pub fn may_be_stale(&self, now: clock::Millis) -> bool {
        match self.refused_ms.load(atomic::Ordering::Relaxed) {
            0 => false,
            refused => now.since(clock::Millis(refused)) >= DOUBT_AFTER_MS,
        }
    }

    /// Lets the next answers weigh as the first ones do.
    pub fn reset_weight(&self) {
        let order = atomic::Ordering::Relaxed;
        self.answers_count.store(RESTART_COUNT, order);
        self.refused_ms.store(0, order);
    }

    /// Notes an answer that took `span` at a server whose work took `slowdown_percent` of its usual
    /// time. Answers of servers with a queue are left out, since they would count waiting as work.
    pub fn record_response(
        &self,
        span: clock::Millis,
        slowdown_percent: u32,
        bytes: u64,
        room: Room,
    ) {
        let order = atomic::Ordering::Relaxed;
        let work_us = span.0 * 1000 * 100 / u64::from(slowdown_percent.max(1));
        match room {
            Room::Free => {
                let count = 1 + self.answers_count.fetch_add(1, order);
                blend(&self.work_us, work_us, count);
                blend(&self.answer_bytes, bytes, count);
            }
            Room::Last => {
                let count = 1 + self.crowded_count.fetch_add(1, order);
                blend(&self.crowded_us, work_us, count);
            }
            Room::None => {}
        }
    }

    /// Returns the factor by which work takes longer when all slots of a server are taken.
    pub fn saturation_factor(&self) -> f64 {
        let order = atomic::Ordering::Relaxed;
        if self.crowded_count.load(order) < CROWDED_MIN_COUNT {
            return CROWDED_DEFAULT_FACTOR;
        }
        let crowded = self.crowded_us.load(order) as f64;
        let factor = crowded / self.work_us.load(order).max(1) as f64;
        factor.clamp(1.0, CROWDED_MAX_FACTOR)
    }

    /// Takes the time that a caller still waits and returns how long it has waited already.
    ///
    /// Callers of a route begin with similar times and state what is left when they come again, so
    /// a time far below the median is that of a caller that came before. A few callers wait much
    /// longer, which a median does not follow.
    pub fn infer_elapsed_wait(&self, left: clock::Millis) -> clock::Millis {
        let order = atomic::Ordering::Relaxed;
        let usual = match self.usual_wait_ms.load(order) {
            0 => left.0,
            usual => usual,
        };
        let count = self.waits_count.fetch_add(1, order);
        let step = usual * (100 / (count + 1)).max(USUAL_STEP_PERCENT) / 100;
        let next = match left.0.cmp(&usual) {
            cmp::Ordering::Less => (usual - step).max(1),
            cmp::Ordering::Equal => usual,
            cmp::Ordering::Greater => usual + step,
        };
        self.usual_wait_ms.store(next, order);
        let is_again = count >= USUAL_MIN_COUNT && left.0 < usual * AGAIN_PERCENT / 100;
        clock::Millis(if is_again { usual - left.0 } else { 0 })
    }

    /// Returns the usual work of a request in milliseconds.
    pub fn work_ms(&self) -> f64 {
        self.work_us.load(atomic::Ordering::Relaxed) as f64 / 1000.0
    }

    /// Returns the usual size of an answer in kilobytes.
    pub fn response_kb(&self) -> f64 {
        self.answer_bytes.load(atomic::Ordering::Relaxed) as f64 / 1000.0
    }
}

fn blend(average: &atomic::AtomicU64, newest: u64, count: u64) {
    let order = atomic::Ordering::Relaxed;
    let memory = count.min(MEMORY_COUNT);
    let old = average.load(order);
    average.store((old * (memory - 1) + newest) / memory, order);
}

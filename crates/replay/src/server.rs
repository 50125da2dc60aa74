//! Simulated backend server: slots, a queue, cold start, and load reports that are stale or false.

use crate::trace;
use nutmegdale_base::rng::{Rng, SplitMix64};
use nutmegdale_choice::report;
use std::collections;

/// Requests that may wait for a slot; further ones are refused without being executed.
const QUEUE_MAX_COUNT: usize = 16;
/// Requests after which a cold server is warm.
const WARM_AFTER_COUNT: u32 = 50;
/// Factor by which a cold server is slower.
const COLD_FACTOR: u64 = 3;
/// Time for which a cold server stalls after more concurrent requests than it has cold slots.
const COLLAPSE_US: u64 = 2_000_000;
/// Response time of a failing server.
const FAIL_US: u64 = 200;
/// Factor by which one in 33 requests is slower, as noisy neighbours on shared machines cause.
const NOISE_FACTOR: u64 = 5;
/// Factor by which a bulk request takes longer.
const BULK_FACTOR: u64 = 10;

/// Identifies one send of one request.
pub type SendId = usize;

/// Result of the server's admission control for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The request got a slot and ends after this time, in microseconds.
    Started(u64),
    /// The request waits for a slot.
    Queued,
    /// The request was refused without being executed.
    Refused,
    /// The request fails after this time, in microseconds, without taking a slot.
    Fails(u64),
}

/// Simulated server.
#[derive(Debug)]
pub struct Server {
    /// Number of its zone.
    pub zone: usize,
    limits: trace::Servers,
    rng: SplitMix64,
    running: Vec<SendId>,
    queue: collections::VecDeque<(SendId, bool)>,
    slow_factor: u64,
    is_failing: bool,
    /// Whether the server is cold, whatever its reports say.
    pub is_cold: bool,
    /// Whether the server refuses new requests.
    pub is_draining: bool,
    cold_served_count: u32,
    stalled_until_us: u64,
    reports_idle: bool,
    report_lag_us: u64,
    last_report: (u64, report::Report),
    /// Number of requests that found all slots busy.
    pub oversubscribed_count: u64,
    /// Number of requests that exceeded the cold slots.
    pub over_cold_count: u64,
}

impl Server {
    /// Creates a warm, idle server.
    pub fn new(zone: usize, limits: trace::Servers, seed: u64) -> Server {
        let idle = report::Report {
            running: 0,
            waiting: 0,
            state: Some(report::State::Warm),
        };
        Server {
            zone,
            limits,
            rng: SplitMix64::new(seed),
            running: Vec::new(),
            queue: collections::VecDeque::new(),
            slow_factor: 1,
            is_failing: false,
            is_cold: false,
            is_draining: false,
            cold_served_count: 0,
            stalled_until_us: 0,
            reports_idle: false,
            report_lag_us: 0,
            last_report: (0, idle),
            oversubscribed_count: 0,
            over_cold_count: 0,
        }
    }

    /// Applies an event of the trace.
    pub fn apply(&mut self, fault: trace::Fault) {
        match fault {
            trace::Fault::Slow(factor) => self.slow_factor = factor,
            trace::Fault::Fail => self.is_failing = true,
            trace::Fault::Ok => {
                self.slow_factor = 1;
                self.is_failing = false;
            }
            trace::Fault::Cold => self.turn_cold(),
            trace::Fault::Restart => {
                self.running.clear();
                self.queue.clear();
                self.is_draining = false;
                self.turn_cold();
            }
            trace::Fault::Drain => self.is_draining = true,
            trace::Fault::Lie => self.reports_idle = true,
            trace::Fault::Truth => (self.reports_idle, self.report_lag_us) = (false, 0),
            trace::Fault::Lag(ms) => self.report_lag_us = ms * 1_000,
        }
    }

    fn turn_cold(&mut self) {
        self.is_cold = true;
        self.cold_served_count = 0;
    }

    /// Admits, queues or refuses an arriving request.
    pub fn admit(&mut self, now_us: u64, send: SendId, is_bulk: bool) -> Admission {
        if self.is_failing {
            return Admission::Fails(FAIL_US);
        }
        if self.is_draining {
            return Admission::Refused;
        }
        let present = self.running.len() + self.queue.len() + 1;
        if self.is_cold && present > self.limits.cold_slots as usize {
            self.over_cold_count += 1;
            self.stalled_until_us = now_us + COLLAPSE_US;
        }
        if self.running.len() < self.limits.slots as usize {
            self.running.push(send);
            return Admission::Started(self.service_us(now_us, is_bulk));
        }
        self.oversubscribed_count += 1;
        if self.queue.len() >= QUEUE_MAX_COUNT {
            return Admission::Refused;
        }
        self.queue.push_back((send, is_bulk));
        Admission::Queued
    }

    fn service_us(&mut self, now_us: u64, is_bulk: bool) -> u64 {
        let base = self.limits.service_us;
        let mut duration_us = base / 2 + self.rng.below(base);
        if self.rng.below(33) == 0 {
            duration_us *= NOISE_FACTOR;
        }
        if is_bulk {
            duration_us *= BULK_FACTOR;
        }
        if self.is_cold {
            duration_us *= COLD_FACTOR;
        }
        duration_us * self.slow_factor + self.stalled_until_us.saturating_sub(now_us)
    }

    /// Removes a request that ended or was cancelled. Returns the queued request that takes its slot,
    /// with its duration in microseconds.
    pub fn remove(&mut self, now_us: u64, send: SendId, is_served: bool) -> Option<(SendId, u64)> {
        let Some(at) = self.running.iter().position(|other| *other == send) else {
            self.queue.retain(|(other, _)| *other != send);
            return None;
        };
        self.running.swap_remove(at);
        if is_served && self.is_cold {
            self.cold_served_count += 1;
            self.is_cold = self.cold_served_count < WARM_AFTER_COUNT;
        }
        let (next, is_bulk) = self.queue.pop_front()?;
        self.running.push(next);
        Some((next, self.service_us(now_us, is_bulk)))
    }

    /// Returns whether a send occupies a slot. A restart clears the slots, so the end of a send that
    /// was running before must be ignored.
    pub fn is_running(&self, send: SendId) -> bool {
        self.running.contains(&send)
    }

    /// Returns the load report that an answer carries.
    pub fn report(&mut self, now_us: u64) -> report::Report {
        let truth = report::Report {
            running: if self.reports_idle {
                0
            } else {
                self.running.len() as u32
            },
            waiting: if self.reports_idle {
                0
            } else {
                self.queue.len() as u32
            },
            state: Some(if self.is_cold {
                report::State::Cold
            } else {
                report::State::Warm
            }),
        };
        if now_us >= self.last_report.0 + self.report_lag_us {
            self.last_report = (now_us, truth);
        }
        self.last_report.1
    }
}

//! Fake of a server: slots, a queue, cold start, reports that lag or lie.

use crate::trace;
use nutmegdale_base::rng::{Rng, SplitMix64};
use nutmegdale_choice::report;
use std::collections;

/// Requests that may wait for a slot; further ones are refused as not run.
const QUEUE_MAX_COUNT: usize = 16;
/// Requests that a cold server serves until it is warm.
const WARM_AFTER_COUNT: u32 = 50;
/// Factor of the time of a request at a cold server.
const COLD_FACTOR: u64 = 3;
/// Time for which a cold server is stuck after too many requests at once.
const COLLAPSE_US: u64 = 2_000_000;
/// Time until a failing server answers.
const FAIL_US: u64 = 200;
/// Factor of the time of one in 33 requests, as neighbours on shared machines cause.
const NOISE_FACTOR: u64 = 5;
/// Factor of the time of a bulk request.
const BULK_FACTOR: u64 = 10;

/// Identity of one send of one request.
pub type SendId = usize;

/// What became of a request that reached the server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Arrived {
    /// It got a slot and ends after the span.
    Started(u64),
    /// It waits for a slot.
    Queued,
    /// It was refused and did not run.
    Refused,
    /// It fails after the span, without a slot.
    Fails(u64),
}

/// Server of a replay.
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
    /// True state.
    pub is_cold: bool,
    /// Whether it takes no new work.
    pub is_draining: bool,
    cold_served_count: u32,
    stuck_until_us: u64,
    lies: bool,
    lag_us: u64,
    shown: (u64, report::Report),
    /// Requests that found every slot taken.
    pub oversubscribed_count: u64,
    /// Requests beyond the cold slots at once.
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
            stuck_until_us: 0,
            lies: false,
            lag_us: 0,
            shown: (0, idle),
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
            trace::Fault::Lie => self.lies = true,
            trace::Fault::Truth => (self.lies, self.lag_us) = (false, 0),
            trace::Fault::Lag(ms) => self.lag_us = ms * 1_000,
        }
    }

    fn turn_cold(&mut self) {
        self.is_cold = true;
        self.cold_served_count = 0;
    }

    /// Takes a request that arrives.
    pub fn arrive(&mut self, now_us: u64, send: SendId, is_bulk: bool) -> Arrived {
        if self.is_failing {
            return Arrived::Fails(FAIL_US);
        }
        if self.is_draining {
            return Arrived::Refused;
        }
        let present = self.running.len() + self.queue.len() + 1;
        if self.is_cold && present > self.limits.cold_slots as usize {
            self.over_cold_count += 1;
            self.stuck_until_us = now_us + COLLAPSE_US;
        }
        if self.running.len() < self.limits.slots as usize {
            self.running.push(send);
            return Arrived::Started(self.service_us(now_us, is_bulk));
        }
        self.oversubscribed_count += 1;
        if self.queue.len() >= QUEUE_MAX_COUNT {
            return Arrived::Refused;
        }
        self.queue.push_back((send, is_bulk));
        Arrived::Queued
    }

    fn service_us(&mut self, now_us: u64, is_bulk: bool) -> u64 {
        let base = self.limits.service_us;
        let mut took = base / 2 + self.rng.below(base);
        if self.rng.below(33) == 0 {
            took *= NOISE_FACTOR;
        }
        if is_bulk {
            took *= BULK_FACTOR;
        }
        if self.is_cold {
            took *= COLD_FACTOR;
        }
        took * self.slow_factor + self.stuck_until_us.saturating_sub(now_us)
    }

    /// Ends or cancels a request; returns the one that takes its slot and its time.
    pub fn leave(&mut self, now_us: u64, send: SendId, is_served: bool) -> Option<(SendId, u64)> {
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

    /// Returns whether a send is in a slot, so that its end is not one of an earlier start.
    pub fn is_running(&self, send: SendId) -> bool {
        self.running.contains(&send)
    }

    /// Returns the report that an answer carries.
    pub fn report(&mut self, now_us: u64) -> report::Report {
        let truth = report::Report {
            running: if self.lies {
                0
            } else {
                self.running.len() as u32
            },
            waiting: if self.lies {
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
        if now_us >= self.shown.0 + self.lag_us {
            self.shown = (now_us, truth);
        }
        self.shown.1
    }
}

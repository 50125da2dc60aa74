//! Tells refused callers when to return: in the order of refusal and urgency, as places become free.
//!
//! Load pattern: a rush that lasts for seconds. Callers that return at random times are refused
//! again, and those who waited longest win no more often than new ones. Each process therefore hands
//! out the places that become free in its share of the service, one caller for each: to the more
//! urgent before the less urgent, and within a priority in the order of refusal.

use crate::precedence;
use nutmegdale_base::clock;
use std::sync;

/// Shortest time until a return, in milliseconds.
const WAIT_MIN_MS: f64 = 50.0;
/// Longest time for which places are booked ahead, in milliseconds. Callers that would have to wait
/// longer all get this time, which keeps their order.
const BOOKED_MAX_MS: f64 = 2_000.0;
/// Service time in percent of the usual one that is assumed while servers are full, since a part of
/// the VMs is slowed down.
const SLOWDOWN_PERCENT: f64 = 200.0;

/// Capacity that a process hands out.
#[derive(Debug, Clone, Copy)]
pub struct Share {
    /// Slots of all servers of the service.
    pub slots: u32,
    /// Entry processes that share them.
    pub processes: usize,
    /// Usual service time of the refused request in milliseconds.
    pub service_time_ms: f64,
}

impl Share {
    /// Returns the time between two places that become free for requests of this kind.
    fn spacing_ms(&self) -> f64 {
        let service_ms = self.service_time_ms * SLOWDOWN_PERCENT / 100.0;
        service_ms * self.processes.max(1) as f64 / f64::from(self.slots.max(1))
    }
}

/// Places that refused callers were told to return for, at one service.
#[derive(Debug, Default)]
pub struct Schedule {
    /// Time in milliseconds up to which places are booked, by rank of the priority.
    booked_ms: sync::Mutex<Vec<f64>>,
}

impl Schedule {
    /// Books a place for a refused caller, and returns the time until it should return: at least
    /// `free_ms`, the time until the best server is predicted to be free, and at most a third of
    /// the time `left` until its deadline.
    pub fn book(
        &self,
        now: clock::Millis,
        standing: precedence::Standing,
        share: Share,
        free_ms: f64,
        left: clock::Millis,
    ) -> clock::Millis {
        let now_ms = now.0 as f64;
        let max_ms = (left.0 as f64 / 3.0).max(1.0);
        let earliest_ms = now_ms + free_ms.clamp(WAIT_MIN_MS, BOOKED_MAX_MS);
        let mut booked = self
            .booked_ms
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        if booked.len() <= standing.rank {
            booked.resize(standing.rank + 1, 0.0);
        }
        // Places that more urgent callers were promised are taken.
        let taken_ms = booked[..=standing.rank].iter().copied().fold(0.0, f64::max);
        let at_ms = taken_ms.max(earliest_ms).min(now_ms + BOOKED_MAX_MS);
        booked[standing.rank] = at_ms + share.spacing_ms();
        clock::Millis((at_ms - now_ms).min(max_ms) as u64)
    }
}

//! Arrival times and the pacing of requests.

use super::lane;
use nutmegdale_base::rng;
use std::thread;
use std::time;

/// Poisson process of arrivals, as of independent callers: the gaps are exponentially distributed.
pub(super) struct Arrivals {
    rng: rng::SplitMix64,
    mean_ns: f64,
    next_ns: f64,
}

impl Arrivals {
    pub(super) fn new(rate: f64, seed: u64) -> Arrivals {
        Arrivals {
            rng: rng::SplitMix64::new(seed),
            mean_ns: 1e9 / rate,
            next_ns: 0.0,
        }
    }
}

impl Iterator for Arrivals {
    type Item = time::Duration;

    fn next(&mut self) -> Option<time::Duration> {
        use rng::Rng;
        // Uniform with 53 bits, above 0 and at most 1.
        let unit = ((self.rng.next_u64() >> 11) + 1) as f64 / (1_u64 << 53) as f64;
        self.next_ns -= unit.ln() * self.mean_ns;
        Some(time::Duration::from_nanos(self.next_ns as u64))
    }
}

/// Sends a request at each arrival time before `end`, on the calling thread.
pub(super) fn run(lane: &lane::Lane, arrivals: Arrivals, end: time::Duration) {
    for at in arrivals.take_while(|at| *at < end) {
        let now = lane.start.elapsed();
        if let Some(wait) = at.checked_sub(now) {
            thread::sleep(wait);
        }
        lane.arrive(at);
    }
}

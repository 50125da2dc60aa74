//! Open loop of requests with arrival times fixed in advance.
//!
//! A pacing thread of each lane sleeps until the next arrival and writes the request itself; tasks
//! of the lane's reading thread take the answers. The timers of the async runtime are not used for
//! pacing, since they tick in whole milliseconds and would send in bursts.

mod lane;
mod pace;
mod reply;

use hdrhistogram::Histogram;
use std::net;
use std::time;

/// Where requests go and what they are.
#[derive(Debug, Clone)]
pub struct Target {
    /// Peers; connections are spread over them evenly.
    pub peers: Vec<net::SocketAddr>,
    /// Encoded requests, sent in turn.
    pub requests: Vec<Vec<u8>>,
}

/// One run.
#[derive(Debug, Clone, Copy)]
pub struct Plan {
    /// Requests per second; zero sends the next request when an answer is whole.
    pub rate: f64,
    /// Connections over all lanes.
    pub connections_count: usize,
    /// Lanes, each with a pacing and a reading thread.
    pub lanes_count: usize,
    /// Length of the run.
    pub time: time::Duration,
    /// Seed of the arrival times.
    pub seed: u64,
}

/// What a run measured.
#[derive(Debug)]
pub struct Measured {
    /// Time from arrival to the end of the answer, in nanoseconds.
    pub latency_ns: Histogram<u64>,
    /// Time from the planned arrival to the sending, in nanoseconds.
    pub late_ns: Histogram<u64>,
    /// Requests without a whole answer of status 200.
    pub failed_count: u64,
    /// Bytes of bodies.
    pub body_bytes: u64,
    /// Time from the first arrival to the last answer.
    pub elapsed: time::Duration,
}

impl Measured {
    /// Creates an empty result.
    pub fn new() -> Measured {
        Measured {
            latency_ns: histogram(),
            late_ns: histogram(),
            failed_count: 0,
            body_bytes: 0,
            elapsed: time::Duration::ZERO,
        }
    }

    /// Adds a later run.
    pub fn add(&mut self, other: &Measured) {
        let same = "histograms have the same bounds";
        self.latency_ns.add(&other.latency_ns).expect(same);
        self.late_ns.add(&other.late_ns).expect(same);
        self.failed_count += other.failed_count;
        self.body_bytes += other.body_bytes;
        self.elapsed += other.elapsed;
    }

    /// Returns the requests with a whole answer.
    pub fn answered_count(&self) -> u64 {
        self.latency_ns.len()
    }
}

impl Default for Measured {
    fn default() -> Measured {
        Measured::new()
    }
}

fn histogram() -> Histogram<u64> {
    // One microsecond to two minutes; longer ones count as two minutes.
    Histogram::new_with_bounds(1_000, 120_000_000_000, 3).expect("valid bounds")
}

/// Runs a plan against a target.
pub fn run(target: &Target, plan: &Plan) -> Measured {
    let lanes: Vec<_> = (0..plan.lanes_count)
        .map(|number| {
            let (target, plan) = (target.clone(), *plan);
            std::thread::spawn(move || lane::run(&target, &plan, number))
        })
        .collect();
    let mut measured = Measured::new();
    let mut elapsed = time::Duration::ZERO;
    for lane in lanes {
        let part = lane.join().expect("lane does not panic");
        elapsed = elapsed.max(part.elapsed);
        measured.add(&part);
    }
    measured.elapsed = elapsed;
    measured
}

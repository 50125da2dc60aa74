//! Open-loop load generator, with arrival times drawn in advance.
//!
//! Each lane has a pacing thread, which sleeps until the next arrival and writes the request itself,
//! and a reading thread, whose tasks read the answers. Pacing does not use the timers of the async
//! runtime, since their resolution of a millisecond would cause bursts.

mod lane;
mod pace;
mod reply;

use hdrhistogram::Histogram;
use std::net;
use std::time;

/// Destination and content of the requests.
#[derive(Debug, Clone)]
pub struct Target {
    /// Peers; connections are distributed evenly over them.
    pub peers: Vec<net::SocketAddr>,
    /// Encoded requests, sent round robin.
    pub requests: Vec<Vec<u8>>,
}

/// Parameters of a run.
#[derive(Debug, Clone, Copy)]
pub struct Plan {
    /// Requests per second; zero for a closed loop, which sends the next request of a connection when
    /// the answer is complete.
    pub rate: f64,
    /// Connections over all lanes.
    pub connections_count: usize,
    /// Lanes, each with a pacing and a reading thread.
    pub lanes_count: usize,
    /// Duration of the run.
    pub time: time::Duration,
    /// Seed of the arrival times.
    pub seed: u64,
}

/// Measurements of a run.
#[derive(Debug)]
pub struct Measurements {
    /// Time from the arrival to the end of the answer, in nanoseconds.
    pub latency_ns: Histogram<u64>,
    /// Delay of the pacing thread after the planned arrival, in nanoseconds.
    pub late_ns: Histogram<u64>,
    /// Number of requests without a complete answer of status 200.
    pub failed_count: u64,
    /// Bytes received.
    pub body_bytes: u64,
    /// Time from the first arrival to the last answer.
    pub elapsed: time::Duration,
}

impl Measurements {
    /// Creates empty measurements.
    pub fn new() -> Measurements {
        Measurements {
            latency_ns: histogram(),
            late_ns: histogram(),
            failed_count: 0,
            body_bytes: 0,
            elapsed: time::Duration::ZERO,
        }
    }

    /// Adds the measurements of another run.
    pub fn add(&mut self, other: &Measurements) {
        let same = "histograms have the same bounds";
        self.latency_ns.add(&other.latency_ns).expect(same);
        self.late_ns.add(&other.late_ns).expect(same);
        self.failed_count += other.failed_count;
        self.body_bytes += other.body_bytes;
        self.elapsed += other.elapsed;
    }

    /// Returns the number of requests with a complete answer of status 200.
    pub fn answered_count(&self) -> u64 {
        self.latency_ns.len()
    }
}

impl Default for Measurements {
    fn default() -> Measurements {
        Measurements::new()
    }
}

fn histogram() -> Histogram<u64> {
    // One microsecond to two minutes; longer times count as two minutes.
    Histogram::new_with_bounds(1_000, 120_000_000_000, 3).expect("valid bounds")
}

/// Runs a plan against a target.
pub fn run(target: &Target, plan: &Plan) -> Measurements {
    let lanes: Vec<_> = (0..plan.lanes_count)
        .map(|number| {
            let (target, plan) = (target.clone(), *plan);
            std::thread::spawn(move || lane::run(&target, &plan, number))
        })
        .collect();
    let mut total = Measurements::new();
    let mut elapsed = time::Duration::ZERO;
    for lane in lanes {
        let part = lane.join().expect("lane does not panic");
        elapsed = elapsed.max(part.elapsed);
        total.add(&part);
    }
    total.elapsed = elapsed;
    total
}

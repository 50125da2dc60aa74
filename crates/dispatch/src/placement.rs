//! Predicts when each server would answer and picks the best.
//!
//! The load pattern: servers with three or four slots, shared by processes that do not see each
//! other's requests, on VMs whose speed changes several times a second. A queue in front of one
//! server or a slow VM costs a request its aim, so the prediction counts slots that are taken,
//! the speed of the VM, the way there, and what the bytes of the answer cost on that way.

use crate::estimate;
use crate::health;
use crate::signal;
use nutmegdale_base::{clock, rng};
use std::cmp;

/// Age at which a report of a VM's speed tells no more than the average.
const STRETCH_TRUST_MS: f64 = 600.0;
/// Speed that is assumed where nothing is known, in percent of the usual time: the average of VMs
/// of which a third is several times slower for a while.
const STRETCH_UNKNOWN_PERCENT: f64 = 200.0;
/// Share of taken slots from which servers slow down.
const CROWDED_SHARE: f64 = 0.75;
/// Part by which predictions are spread, so that processes that know the same do not all pick the
/// same server.
const SPREAD: f64 = 0.06;

/// Link from this process to a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Distance {
    /// The same zone.
    Zone,
    /// Another zone of the same region.
    Region,
    /// Another region.
    CrossRegion,
}

/// Cost of a way.
#[derive(Debug, Clone, Copy)]
pub struct Link {
    /// Time there and back in milliseconds.
    pub rtt_ms: f64,
    /// Delay that is accepted to spare this way a request, in parts of the request's aim.
    pub penalty_share: f64,
    /// Delay that is accepted to spare this way one kilobyte, in parts of the request's aim.
    pub penalty_share_per_kb: f64,
}

impl Link {
    /// Returns the delay that is accepted to spare this way a request. A request with a long aim
    /// can wait longer for a server nearby.
    pub fn penalty_ms(&self, need: &RequestProfile) -> f64 {
        (self.penalty_share + need.transfer_kb * self.penalty_share_per_kb) * need.target_ms
    }
}

/// Costs of ways by distance.
#[derive(Debug, Clone, Copy)]
pub struct Links {
    /// Within the zone.
    pub zone: Link,
    /// Between zones of a region.
    pub region: Link,
    /// Between regions.
    pub cross_region: Link,
}

impl Links {
    /// Returns the way for a distance.
    pub fn get(&self, distance: Distance) -> &Link {
        match distance {
            Distance::Zone => &self.zone,
            Distance::Region => &self.region,
            Distance::CrossRegion => &self.cross_region,
        }
    }
}

/// Server that may get the request.
#[derive(Debug, Clone, Copy)]
pub struct Candidate<'a> {
    /// Load.
    pub signal: &'a signal::Signal,
    /// Failures.
    pub health: &'a health::Health,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Link to it.
    pub distance: Distance,
    /// Whether it warms up.
    pub is_cold: bool,
    /// Whether it is among the servers that this process goes to first, or has connections to.
    pub is_preferred: bool,
}

/// What a request needs.
#[derive(Debug, Clone, Copy)]
pub struct RequestProfile {
    /// Usual work in milliseconds.
    pub work_ms: f64,
    /// Size of the request and usual size of its answer in kilobytes.
    pub transfer_kb: f64,
    /// Factor by which servers are slower when all their slots are taken.
    pub saturation_factor: f64,
    /// Time within which its answer is worth most, in milliseconds.
    pub target_ms: f64,
}

/// Prediction for one server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Prediction {
    /// Time until the answer, in milliseconds.
    pub response_ms: f64,
    /// The same for a server that is as quick as its reports say.
    pub uncorrected_ms: f64,
    /// Time by which servers are compared: the above, and what the way and failures cost.
    pub cost_ms: f64,
    /// Age of the report that it rests on; `None` without a report.
    pub age: Option<clock::Millis>,
    /// Speed that it rests on, in percent of the usual time.
    pub slowdown_percent: f64,
    /// Requests at the server that it rests on.
    pub in_flight: u32,
    /// Whether the server would still have room after this request.
    pub has_room: bool,
    /// Requests that the server works on at once.
    pub slots: u32,
}

impl Prediction {
    /// Returns whether the server was known lately.
    fn is_known(&self) -> bool {
        self.age.is_some_and(|age| age <= KNOWN_MS)
    }

    /// Returns the room that the server had.
    pub fn room(&self) -> estimate::Room {
        match (self.in_flight + 1).cmp(&self.slots) {
            cmp::Ordering::Less => estimate::Room::Free,
            cmp::Ordering::Equal => estimate::Room::Last,
            cmp::Ordering::Greater => estimate::Room::None,
        }
    }

    /// Returns whether one more request would slow the server down so much that it does less work
    /// than without it: with all `n` slots taken it does `n / factor`, with one free `n - 1`.
    pub fn would_reduce_throughput(&self, need: &RequestProfile) -> bool {
        let slots = f64::from(self.slots.max(1));
        let taken = f64::from(self.in_flight + 1);
        taken >= slots && slots > 1.0 && slots / need.saturation_factor < slots - 1.0
    }
}

/// Factor by which a cold server is slower.
const COLD_FACTOR: f64 = 2.0;

/// Delay that is accepted to stay with the servers that this process goes to first, in parts of the
/// request's aim: their load is known and their connections are open.
const DETOUR_AIMS: f64 = 0.08;
/// Age up to which a report tells the load without another health check. The speed of VMs changes
/// several times a second.
pub const FRESH_MS: clock::Millis = clock::Millis(30);
/// Age from which a report tells nothing: a request has begun or ended since.
const STALE_MS: clock::Millis = clock::Millis(200);
/// Age up to which a server may get a request at all without a health check, while others can.
const KNOWN_MS: clock::Millis = clock::Millis(1_500);
/// Time after which a refusal says nothing more, in milliseconds. A full server is tried about once
/// in that time by each process, which a budget of second sends bears.
const REFUSED_MEMORY_MS: f64 = 1_000.0;
/// Servers that a send may fall back on when the best one can no longer take it.
const SEND_COUNT: usize = 8;
/// Delay that is accepted to send to a server whose load is known, in parts of the request's aim:
/// in a rush half as many requests to others keep it.
const STALE_AIMS: f64 = 0.5;
/// Servers of one service and distance that a process goes to first.
pub const PREFERRED_COUNT: usize = 6;

/// Predicts when a server would answer.
pub fn predict(
    now: clock::Millis,
    candidate: &Candidate<'_>,
    need: RequestProfile,
    ways: &Links,
) -> Prediction {
    let own = candidate.signal.inflight();
    let last = candidate.signal.last_report(now);
    let (in_flight, stretch) = match last {
        Some(aged) => {
            let trust = signal::freshness(aged.age, STRETCH_TRUST_MS);
            let seen = f64::from(aged.slowdown_percent);
            let stretch = seen * trust + STRETCH_UNKNOWN_PERCENT * (1.0 - trust);
            // Others that were seen long ago may have ended; half of them are taken to be there.
            let others = f64::from(aged.others) * (0.5 + trust / 2.0);
            (own + others.round() as u32, stretch)
        }
        None => (own, STRETCH_UNKNOWN_PERCENT),
    };
    let slots = f64::from(candidate.slots.max(1));
    // What ran at a server when it refused has ended soon, but those who sent it may send more.
    let ends_ms = (need.work_ms * STRETCH_UNKNOWN_PERCENT / 100.0).max(1.0);
    let running = slots * candidate.signal.full_likelihood(now, ends_ms);
    let refused = candidate.signal.full_likelihood(now, REFUSED_MEMORY_MS);
    let in_flight = in_flight.max(running.ceil() as u32);
    let taken = f64::from(in_flight + 1);
    let has_room = taken / slots <= CROWDED_SHARE;
    let mut work = need.work_ms * stretch / 100.0;
    if !has_room {
        work *= need.saturation_factor;
    }
    if candidate.is_cold {
        work *= COLD_FACTOR;
    }
    let wait = (taken - slots).max(0.0) / slots * work;
    let way = ways.get(candidate.distance);
    let uncorrected_ms = way.rtt_ms + wait + work;
    let response_ms = way.rtt_ms + (wait + work) * candidate.signal.unreported_slowdown(now);
    let failed = candidate.health.failed_share();
    let detour = if candidate.is_preferred {
        0.0
    } else {
        DETOUR_AIMS * need.target_ms
    };
    // A failed or refused answer costs a request its aim.
    let failed_ms = (failed + refused) * need.target_ms;
    let mut prediction = Prediction {
        response_ms,
        uncorrected_ms,
        cost_ms: response_ms + way.penalty_ms(&need) + detour + failed_ms,
        age: last.map(|aged| aged.age),
        slowdown_percent: stretch,
        in_flight,
        has_room,
        slots: candidate.slots,
    };
    if prediction.would_reduce_throughput(&need) {
        // The requests that run there already become slower as well.
        let slowed = (slots - 1.0) * (need.saturation_factor - 1.0);
        prediction.cost_ms += need.work_ms * stretch / 100.0 * slowed;
    }
    prediction
}

/// What candidates are compared for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// To ask the most promising ones for their load, this many.
    Probe(usize),
    /// The same, but none that is further away than the best one: health checks are billed between
    /// zones, and mostly a near server is good enough.
    ProbeNear(usize),
    /// To send the request. Servers of which nothing was known lately come last, since they may
    /// have restarted cold.
    Send,
}

impl Purpose {
    fn count(self) -> usize {
        match self {
            Purpose::Probe(count) | Purpose::ProbeNear(count) => count,
            Purpose::Send => SEND_COUNT,
        }
    }
}

/// Returns the delay that is accepted to send to a server whose load is known now.
///
/// Load pattern: a rush, in which the servers that look free are those of which nobody knows that
/// they are full or slow. What was reported long ago says next to nothing then.
fn stale_ms(prediction: &Prediction, need: &RequestProfile) -> f64 {
    let share = match prediction.age {
        Some(age) => age.since(FRESH_MS).0 as f64 / STALE_MS.since(FRESH_MS).0 as f64,
        None => 1.0,
    };
    share.clamp(0.0, 1.0) * STALE_AIMS * need.target_ms
}

/// Position of a candidate, its prediction, and what it is compared by.
type Row = (usize, Prediction, (bool, f64));

/// Returns the predictions of the best of `candidates` with their positions, the best first.
///
/// A process may have hundreds of candidates and ranks them several times for each request, so only
/// those that are wanted are sorted.
pub fn rank(
    now: clock::Millis,
    candidates: &[Candidate<'_>],
    need: RequestProfile,
    ways: &Links,
    purpose: Purpose,
    rng: &mut dyn rng::Rng,
) -> Vec<(usize, Prediction)> {
    let mut ranked: Vec<_> = candidates
        .iter()
        .enumerate()
        .map(|(n, candidate)| {
            let prediction = predict(now, candidate, need, ways);
            let jitter = 1.0 + SPREAD * (rng.below(1_000) as f64 / 1_000.0);
            let (is_unknown, stale_ms) = match purpose {
                Purpose::Probe(_) | Purpose::ProbeNear(_) => (false, 0.0),
                Purpose::Send => (!prediction.is_known(), stale_ms(&prediction, &need)),
            };
            let cost_ms = (prediction.cost_ms + stale_ms) * jitter;
            (n, prediction, (is_unknown, cost_ms))
        })
        .collect();
    let by_cost = |a: &Row, b: &Row| (a.2.0.cmp(&b.2.0)).then(a.2.1.total_cmp(&b.2.1));
    if let (Purpose::ProbeNear(_), Some(best)) = (purpose, ranked.iter().copied().min_by(by_cost)) {
        let nearest = candidates[best.0].distance;
        ranked.retain(|(n, ..)| candidates[*n].distance <= nearest);
    }
    if ranked.len() > purpose.count() {
        ranked.select_nth_unstable_by(purpose.count(), by_cost);
        ranked.truncate(purpose.count());
    }
    ranked.sort_by(by_cost);
    ranked.into_iter().map(|(n, p, _)| (n, p)).collect()
}

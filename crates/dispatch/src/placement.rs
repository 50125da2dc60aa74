//! Predicts the response time of a request at each candidate server and ranks the servers by it.
//!
//! It is designed for servers with three or four slots, shared by processes that do not see each
//! other's requests, on VMs whose speed changes several times a second. A queue at one server or a
//! slow VM makes a request miss its target latency, so the prediction includes the occupied slots,
//! the speed of the VM, the round trip, and the cost of the response's bytes on the link.

use crate::estimate;
use crate::health;
use crate::signal;
use nutmegdale_base::{clock, rng};
use std::cmp;

/// Age of a load report in milliseconds from which its slowdown is ignored and the average assumed.
const SLOWDOWN_HORIZON_MS: f64 = 600.0;
/// Slowdown assumed without a recent report, in percent: the average while a third of the VMs is
/// several times slower than usual.
const SLOWDOWN_UNKNOWN_PERCENT: f64 = 200.0;
/// Share of occupied slots above which servers slow down.
const ROOM_MAX_SHARE: f64 = 0.75;
/// Largest random increase of a predicted cost, as a fraction of it, so that processes with the
/// same reports do not all pick the same server.
const JITTER_MAX_SHARE: f64 = 0.06;

/// Network distance from this process to a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Distance {
    /// The same zone.
    Zone,
    /// Another zone of the same region.
    Region,
    /// Another region.
    CrossRegion,
}

/// Latency of a network link and the penalty for using it.
#[derive(Debug, Clone, Copy)]
pub struct Link {
    /// Round-trip time in milliseconds.
    pub rtt_ms: f64,
    /// Extra latency accepted to avoid this link for one request, as a fraction of the request's
    /// target latency.
    pub penalty_share: f64,
    /// Extra latency accepted to avoid this link for one kilobyte, as a fraction of the request's
    /// target latency.
    pub penalty_share_per_kb: f64,
}

impl Link {
    /// Returns the extra latency in milliseconds that is accepted to avoid this link. A request
    /// with a long target latency can wait longer for a server nearby.
    pub fn penalty_ms(&self, profile: &RequestProfile) -> f64 {
        (self.penalty_share + profile.transfer_kb * self.penalty_share_per_kb) * profile.target_ms
    }
}

/// Links by distance.
#[derive(Debug, Clone, Copy)]
pub struct Links {
    /// Link within the zone.
    pub zone: Link,
    /// Link between zones of a region.
    pub region: Link,
    /// Link between regions.
    pub cross_region: Link,
}

impl Links {
    /// Returns the link to servers at `distance`.
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
    /// Load signal of the server.
    pub signal: &'a signal::Signal,
    /// Recent failures of the server.
    pub health: &'a health::Health,
    /// Requests that the server can run concurrently.
    pub slots: u32,
    /// Network distance to the server.
    pub distance: Distance,
    /// Whether the server is warming up.
    pub is_cold: bool,
    /// Whether the server belongs to this process's preferred subset, or has open connections.
    pub is_preferred: bool,
}

/// Expected cost of a request and its target latency.
#[derive(Debug, Clone, Copy)]
pub struct RequestProfile {
    /// Expected service time in milliseconds.
    pub service_time_ms: f64,
    /// Size of the request plus the expected size of its response, in kilobytes.
    pub transfer_kb: f64,
    /// Factor by which a server is slower when all its slots are occupied.
    pub saturation_factor: f64,
    /// Target latency in milliseconds.
    pub target_ms: f64,
}

/// Prediction for one server.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Prediction {
    /// Response time in milliseconds.
    pub response_ms: f64,
    /// Response time in milliseconds predicted from load reports alone, without the correction for
    /// unreported slowdown.
    pub uncorrected_ms: f64,
    /// Response time plus penalties for the link, for failures and for slowing down other requests,
    /// in milliseconds; candidates are ranked by it.
    pub cost_ms: f64,
    /// Age of the load report used; `None` without a report.
    pub age: Option<clock::Millis>,
    /// Service time used, in percent of the usual one.
    pub slowdown_percent: f64,
    /// Estimated requests at the server, those of other processes included.
    pub in_flight: u32,
    /// Whether the server can run this request without slowing down.
    pub has_room: bool,
    /// Requests that the server can run concurrently.
    pub slots: u32,
}

impl Prediction {
    /// Returns whether the load report is at most [`RECENT_MS`] old.
    fn is_recent(&self) -> bool {
        self.age.is_some_and(|age| age <= RECENT_MS)
    }

    /// Returns the free slots that the server is predicted to have with this request added.
    pub fn room(&self) -> estimate::Room {
        match self.in_flight.saturating_add(1).cmp(&self.slots) {
            cmp::Ordering::Less => estimate::Room::Free,
            cmp::Ordering::Equal => estimate::Room::Last,
            cmp::Ordering::Greater => estimate::Room::None,
        }
    }

    /// Returns whether one more request would lower the server's throughput: it is proportional to
    /// `n / factor` with all `n` slots occupied, and to `n - 1` with one slot free.
    pub fn would_reduce_throughput(&self, profile: &RequestProfile) -> bool {
        let slots = f64::from(self.slots.max(1));
        let occupied = f64::from(self.in_flight) + 1.0;
        occupied >= slots && slots > 1.0 && slots / profile.saturation_factor < slots - 1.0
    }
}

/// Factor by which a cold server is slower than a warm one.
const COLD_FACTOR: f64 = 2.0;

/// Penalty for servers outside the preferred subset, as a fraction of the request's target latency:
/// the load of preferred servers is known and their connections are open.
const UNPREFERRED_PENALTY_SHARE: f64 = 0.08;
/// Largest age of a load report that needs no new health check. The speed of VMs changes several
/// times a second.
pub const FRESH_MS: clock::Millis = clock::Millis(30);
/// Age from which a load report gets the full staleness penalty: by then, a request has
/// begun or ended.
const FULLY_STALE_MS: clock::Millis = clock::Millis(200);
/// Largest age of a recent load report. For a send, servers with an older one or none rank last.
const RECENT_MS: clock::Millis = clock::Millis(1_500);
/// Time in milliseconds after which a rejection by a full server no longer counts. Each process
/// tries a full server about once in that time, which the retry budget covers.
const REJECTION_HORIZON_MS: f64 = 1_000.0;
/// Servers ranked for a send, so that it can fall back when the best one no longer accepts it.
const SEND_CANDIDATES_COUNT: usize = 8;
/// Penalty for servers with stale load reports, as a fraction of the request's target latency:
/// under overload, half as many requests to such servers meet their target.
const STALE_PENALTY_SHARE: f64 = 0.5;
/// Size of the preferred subset of a service's servers at one distance.
pub const PREFERRED_COUNT: usize = 6;

/// Predicts the response time and the cost of a request at `candidate`.
pub fn predict(
    now: clock::Millis,
    candidate: &Candidate<'_>,
    profile: RequestProfile,
    links: &Links,
) -> Prediction {
    let own_count = candidate.signal.in_flight();
    let last_report = candidate.signal.last_report(now);
    let (in_flight, slowdown) = match last_report {
        Some(report) => {
            let freshness = signal::freshness(report.age, SLOWDOWN_HORIZON_MS);
            let reported = f64::from(report.slowdown_percent);
            let slowdown = reported * freshness + SLOWDOWN_UNKNOWN_PERCENT * (1.0 - freshness);
            // Other processes' requests may have ended since; an outdated report counts half.
            let others = f64::from(report.others) * (0.5 + freshness / 2.0);
            (own_count.saturating_add(others.round() as u32), slowdown)
        }
        None => (own_count, SLOWDOWN_UNKNOWN_PERCENT),
    };
    let slots = f64::from(candidate.slots.max(1));
    // The requests that filled a server end soon, but their senders may send more.
    let drain_ms = (profile.service_time_ms * SLOWDOWN_UNKNOWN_PERCENT / 100.0).max(1.0);
    let still_running = slots * candidate.signal.full_likelihood(now, drain_ms);
    let full_likelihood = candidate.signal.full_likelihood(now, REJECTION_HORIZON_MS);
    let in_flight = in_flight.max(still_running.ceil() as u32);
    let occupied = f64::from(in_flight) + 1.0;
    let has_room = occupied / slots <= ROOM_MAX_SHARE;
    let mut service_ms = profile.service_time_ms * slowdown / 100.0;
    if !has_room {
        service_ms *= profile.saturation_factor;
    }
    if candidate.is_cold {
        service_ms *= COLD_FACTOR;
    }
    let queue_ms = (occupied - slots).max(0.0) / slots * service_ms;
    let link = links.get(candidate.distance);
    let uncorrected_ms = link.rtt_ms + queue_ms + service_ms;
    let response_ms =
        link.rtt_ms + (queue_ms + service_ms) * candidate.signal.unreported_slowdown(now);
    let failed_share = candidate.health.failed_share();
    let unpreferred_ms = if candidate.is_preferred {
        0.0
    } else {
        UNPREFERRED_PENALTY_SHARE * profile.target_ms
    };
    // A request that fails or is rejected misses its target latency.
    let failed_ms = (failed_share + full_likelihood) * profile.target_ms;
    let mut prediction = Prediction {
        response_ms,
        uncorrected_ms,
        cost_ms: response_ms + link.penalty_ms(&profile) + unpreferred_ms + failed_ms,
        age: last_report.map(|report| report.age),
        slowdown_percent: slowdown,
        in_flight,
        has_room,
        slots: candidate.slots,
    };
    if prediction.would_reduce_throughput(&profile) {
        // The requests that already run there slow down as well.
        let others_slowdown = (slots - 1.0) * (profile.saturation_factor - 1.0);
        prediction.cost_ms += profile.service_time_ms * slowdown / 100.0 * others_slowdown;
    }
    prediction
}

/// What candidates are ranked for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Purpose {
    /// Probing the load of this many of the most promising servers.
    Probe(usize),
    /// Like `Probe`, but without servers further away than the best one: traffic of health checks
    /// between zones is billed, and a nearby server is usually good enough.
    ProbeNear(usize),
    /// Sending the request. Servers without a recent load report are ranked last, since they may
    /// have restarted cold.
    Send,
}

impl Purpose {
    fn count(self) -> usize {
        match self {
            Purpose::Probe(count) | Purpose::ProbeNear(count) => count,
            Purpose::Send => SEND_CANDIDATES_COUNT,
        }
    }
}

/// Returns the penalty in milliseconds for the age of a server's load report.
///
/// Under overload, the servers that look free are those whose last report was sent before they
/// became full or slow, so an old report carries little information.
fn stale_penalty_ms(prediction: &Prediction, profile: &RequestProfile) -> f64 {
    let share = match prediction.age {
        Some(age) => age.since(FRESH_MS).0 as f64 / FULLY_STALE_MS.since(FRESH_MS).0 as f64,
        None => 1.0,
    };
    share.clamp(0.0, 1.0) * STALE_PENALTY_SHARE * profile.target_ms
}

/// What candidates are compared by.
#[derive(Debug, Clone, Copy)]
pub struct Terms<'a> {
    /// Cost profile of the request.
    pub profile: RequestProfile,
    /// Costs of the links to servers.
    pub links: &'a Links,
    /// What they are ranked for.
    pub purpose: Purpose,
}

/// Change of a candidate's rank by what its prediction does not include.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Adjustment {
    /// Whether the request may not be sent there, so that the candidate ranks behind all others.
    pub is_barred: bool,
    /// Milliseconds added to its cost.
    pub extra_ms: f64,
}

/// Function that returns the adjustment of the candidate at a position.
pub type Adjust<'a> = &'a mut dyn FnMut(usize, &Prediction) -> Adjustment;

/// Position of a candidate, its prediction and its sort key: whether it is barred, whether its
/// report is outdated, and its cost.
type Scored = (usize, Prediction, ((bool, bool), f64));

/// Returns the positions and predictions of the best of `candidates`, best first.
///
/// A process may have hundreds of candidates and ranks them several times per request, so only
/// those that `purpose` needs are sorted.
pub fn rank(
    now: clock::Millis,
    candidates: &[Candidate<'_>],
    profile: RequestProfile,
    links: &Links,
    purpose: Purpose,
    rng: &mut dyn rng::Rng,
) -> Vec<(usize, Prediction)> {
    let terms = Terms {
        profile,
        links,
        purpose,
    };
    rank_adjusted(
        now,
        candidates,
        terms,
        &mut |_, _| Adjustment::default(),
        rng,
    )
}

/// Like [`rank`], with an adjustment of each candidate.
pub fn rank_adjusted(
    now: clock::Millis,
    candidates: &[Candidate<'_>],
    terms: Terms<'_>,
    adjust: Adjust<'_>,
    rng: &mut dyn rng::Rng,
) -> Vec<(usize, Prediction)> {
    let Terms {
        profile,
        links,
        purpose,
    } = terms;
    let mut ranked: Vec<_> = candidates
        .iter()
        .enumerate()
        .map(|(n, candidate)| {
            let prediction = predict(now, candidate, profile, links);
            let jitter = 1.0 + JITTER_MAX_SHARE * (rng.below(1_000) as f64 / 1_000.0);
            let (is_outdated, stale_penalty_ms) = match purpose {
                Purpose::Probe(_) | Purpose::ProbeNear(_) => (false, 0.0),
                Purpose::Send => (
                    !prediction.is_recent(),
                    stale_penalty_ms(&prediction, &profile),
                ),
            };
            let adjustment = adjust(n, &prediction);
            let cost_ms = (prediction.cost_ms + stale_penalty_ms + adjustment.extra_ms) * jitter;
            let key = ((adjustment.is_barred, is_outdated), cost_ms);
            (n, prediction, key)
        })
        .collect();
    let by_cost = |a: &Scored, b: &Scored| (a.2.0.cmp(&b.2.0)).then(a.2.1.total_cmp(&b.2.1));
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

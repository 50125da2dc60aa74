//! Best of a few random choices by the predicted cost of a request at each candidate.
//!
//! The cost is the estimated latency, increased by the requests expected at the server and by its
//! recent errors. Candidates in other regions are compared only if the best one of the own region
//! is full or failing, since links between regions are slow, shared and billed by volume.

use crate::policy;
use crate::signal;
use nutmegdale_base::{class, clock, entity};

/// Duration of the slow start after a server becomes warm, until it gets its full share.
///
/// Without it, all entry processes would send to the idle server at the same time.
pub const RAMP_MS: u64 = 3_000;
/// Part of its share that a server gets at the beginning of the slow start, in thousandths.
const RAMP_START_MILLI: u64 = 100;
/// Latency assumed for a server without samples.
const DEFAULT_LATENCY_US: u64 = 1_000;
/// Cost of another zone of the region: a round trip of 2 × 1.5 ms.
const ZONE_COST_US: u64 = 3_000;
/// Cost of another region: a round trip of 2 × 8 ms, doubled because traffic on the link is billed.
const REGION_COST_US: u64 = 32_000;
/// Increase of the cost, as a multiple, for a server whose every response is an error.
const ERROR_FACTOR: u64 = 200;
/// Error rate above which a server counts as failing; one recent failure exceeds it.
const FAILING_RATE: u32 = signal::ERROR_ONE / 5;

/// Least-cost policy. Benchmarks disable single inputs to measure what each contributes.
#[derive(Debug, Clone, Copy)]
pub struct LeastCost {
    /// Whether load reports are used.
    pub uses_reports: bool,
    /// Whether the latency estimate is used.
    pub uses_latency: bool,
    /// Whether the error rate is used.
    pub uses_errors: bool,
    /// Whether candidates of the own region are preferred.
    pub prefers_near: bool,
    /// Random candidates that are compared.
    pub compared_count: u32,
}

impl Default for LeastCost {
    fn default() -> LeastCost {
        LeastCost {
            uses_reports: true,
            uses_latency: true,
            uses_errors: true,
            prefers_near: true,
            compared_count: 3,
        }
    }
}

impl policy::Policy for LeastCost {
    fn choose(
        &self,
        cx: &mut policy::Context,
        candidates: &[policy::Candidate],
        req: policy::RequestView<'_>,
    ) -> Option<entity::Server> {
        if !self.prefers_near {
            return self.best(cx, candidates, req).map(|c| c.server);
        }
        let near_count = candidates.partition_point(|c| c.distance < policy::DISTANCE_OTHER_REGION);
        let (near, far) = candidates.split_at(near_count);
        let near = self.best(cx, near, req);
        let Some(near) = near else {
            return self.best(cx, far, req).map(|c| c.server);
        };
        // Bulk requests queue at a near server rather than use the link between regions.
        if req.class == class::Class::BulkExport || !self.is_full(near, req.now) {
            return Some(near.server);
        }
        let far = self.best(cx, far, req).filter(|far| {
            !self.is_full(far, req.now) && self.cost(far, req.now) < self.cost(near, req.now)
        });
        Some(far.unwrap_or(near).server)
    }
}

impl LeastCost {
    fn best<'a>(
        &self,
        cx: &mut policy::Context,
        candidates: &'a [policy::Candidate],
        req: policy::RequestView<'_>,
    ) -> Option<&'a policy::Candidate> {
        let mut best = cx.pick(candidates, req, None)?;
        let mut best_cost = self.ramped_cost(cx, best, req.now);
        for _ in 1..self.compared_count {
            let Some(other) = cx.pick(candidates, req, Some(best.server)) else {
                break;
            };
            let cost = self.ramped_cost(cx, other, req.now);
            if cost < best_cost {
                (best, best_cost) = (other, cost);
            }
        }
        Some(best)
    }

    /// Returns the cost, or the maximum for the share of requests that the slow start holds back.
    fn ramped_cost(
        &self,
        cx: &mut policy::Context,
        candidate: &policy::Candidate,
        now: clock::Millis,
    ) -> u64 {
        let since = candidate.signal.warm_since();
        let age_ms = now.since(since).0;
        if since != clock::Millis::ZERO && age_ms < RAMP_MS {
            let share = RAMP_START_MILLI + (1_000 - RAMP_START_MILLI) * age_ms / RAMP_MS;
            if cx.rng.below(1_000) >= share {
                return u64::MAX;
            }
        }
        self.cost(candidate, now)
    }

    /// Returns the estimated requests at the server, in thousandths.
    fn in_flight_milli(&self, candidate: &policy::Candidate, now: clock::Millis) -> u64 {
        let own = u64::from(candidate.signal.in_flight()) * 1_000;
        if self.uses_reports {
            own + candidate.signal.others_milli(now)
        } else {
            own
        }
    }

    fn is_full(&self, candidate: &policy::Candidate, now: clock::Millis) -> bool {
        let is_failing = self.uses_errors && candidate.signal.error_rate(now) > FAILING_RATE;
        let slots_milli = u64::from(candidate.slots) * 1_000;
        is_failing || self.in_flight_milli(candidate, now) >= slots_milli
    }

    /// Returns the predicted cost of a request in microseconds.
    fn cost(&self, candidate: &policy::Candidate, now: clock::Millis) -> u64 {
        let signal = &candidate.signal;
        let latency = match signal.latency_us(now) {
            _ if !self.uses_latency => DEFAULT_LATENCY_US,
            0 => DEFAULT_LATENCY_US,
            estimate => u64::from(estimate),
        };
        let slots_milli = u64::from(candidate.slots) * 1_000;
        let in_flight = self.in_flight_milli(candidate, now);
        // The latency of the request itself, plus its share of the latency of the requests ahead.
        let mut cost = latency + latency * in_flight / slots_milli;
        cost += match candidate.distance {
            0 => 0,
            1 => ZONE_COST_US,
            _ => REGION_COST_US,
        };
        if self.uses_errors {
            let errors = u64::from(signal.error_rate(now));
            cost += cost * ERROR_FACTOR * errors / u64::from(signal::ERROR_ONE);
        }
        cost
    }
}

//! Baseline policies for measurements; the entry service uses none of them.

use crate::policy;
use nutmegdale_base::entity;
use std::sync::atomic;

/// Selects candidates in round-robin order.
#[derive(Debug, Default)]
pub struct RoundRobin {
    next: atomic::AtomicUsize,
}

impl policy::Policy for RoundRobin {
    fn choose(
        &self,
        _cx: &mut policy::Context,
        candidates: &[policy::Candidate],
        req: policy::RequestView<'_>,
    ) -> Option<entity::Server> {
        if candidates.is_empty() {
            return None;
        }
        let start = self.next.fetch_add(1, atomic::Ordering::Relaxed) % candidates.len();
        let (before, after) = candidates.split_at(start);
        let found = after.iter().chain(before).find(|c| req.may_use(c));
        found.map(|c| c.server)
    }
}

/// Selects a random candidate.
#[derive(Debug, Clone, Copy, Default)]
pub struct Random;

impl policy::Policy for Random {
    fn choose(
        &self,
        cx: &mut policy::Context,
        candidates: &[policy::Candidate],
        req: policy::RequestView<'_>,
    ) -> Option<entity::Server> {
        cx.pick(candidates, req, None).map(|c| c.server)
    }
}

/// Selects the candidate with the fewest in-flight requests of this entry process per slot, by a
/// scan of all candidates.
#[derive(Debug, Clone, Copy, Default)]
pub struct LeastInFlight;

impl policy::Policy for LeastInFlight {
    fn choose(
        &self,
        cx: &mut policy::Context,
        candidates: &[policy::Candidate],
        req: policy::RequestView<'_>,
    ) -> Option<entity::Server> {
        // Without a random start, every process would send its first requests to the same server.
        let start = cx.rng.below(candidates.len().max(1) as u64) as usize;
        let (before, after) = candidates.split_at(start);
        let usable = after.iter().chain(before).filter(|c| req.may_use(c));
        let load =
            |c: &&policy::Candidate| u64::from(c.signal.in_flight()) * 1_000 / u64::from(c.slots);
        usable.min_by_key(load).map(|c| c.server)
    }
}

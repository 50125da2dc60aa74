//! Power of two choices on the requests in flight of this entry process.

use crate::policy;
use nutmegdale_base::entity;

/// Compares two random candidates and takes the one with fewer requests per slot.
#[derive(Debug, Clone, Copy, Default)]
pub struct PowerOfTwo;

impl policy::Policy for PowerOfTwo {
    fn choose(
        &self,
        cx: &mut policy::Context,
        candidates: &[policy::Candidate],
        req: policy::RequestView<'_>,
    ) -> Option<entity::Server> {
        let first = pick(cx, candidates, req)?;
        let second = pick(cx, candidates, req)?;
        let load =
            |c: &policy::Candidate| u64::from(c.signal.in_flight()) * 1_000 / u64::from(c.slots);
        let best = if load(second) < load(first) {
            second
        } else {
            first
        };
        Some(best.server)
    }
}

fn pick<'a>(
    cx: &mut policy::Context,
    candidates: &'a [policy::Candidate],
    req: policy::RequestView<'_>,
) -> Option<&'a policy::Candidate> {
    if candidates.is_empty() {
        return None;
    }
    let start = cx.rng.below(candidates.len() as u64) as usize;
    let (before, after) = candidates.split_at(start);
    after
        .iter()
        .chain(before)
        .find(|c| !req.tried.contains(&c.server))
}

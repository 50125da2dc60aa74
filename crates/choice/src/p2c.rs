//! Power of two choices on the in-flight requests of this entry process.

use crate::policy;
use nutmegdale_base::entity;

/// Compares two random candidates and selects the one with fewer in-flight requests per slot.
#[derive(Debug, Clone, Copy, Default)]
pub struct PowerOfTwo;

impl policy::Policy for PowerOfTwo {
    fn choose(
        &self,
        cx: &mut policy::Context,
        candidates: &[policy::Candidate],
        req: policy::RequestView<'_>,
    ) -> Option<entity::Server> {
        let first = cx.pick(candidates, req, None)?;
        let Some(second) = cx.pick(candidates, req, Some(first.server)) else {
            return Some(first.server);
        };
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

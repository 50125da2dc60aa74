//! Checks how often a request that crashes servers reaches them.

use super::{CONTACT, was_disturbed};
use crate::ledger;

/// Crashed servers after which the request may reach few others.
const CRASHES_COUNT: usize = 3;
/// Number of times that the request may reach servers after that.
const LATE_MAX_COUNT: usize = 3;

/// Returns a description if the request reached too many servers after it had crashed some.
pub(super) fn check(observations: &ledger::Observations) -> Option<String> {
    let attempts = observations.attempts.values().filter(|a| a.is_crashing);
    let mut sends: Vec<_> = attempts
        .flat_map(|attempt| {
            let runs = observations.runs.get(&attempt.id).into_iter().flatten();
            runs.map(|run| (run.at, attempt.entry))
        })
        .collect();
    sends.sort_unstable();
    let known_at = sends.get(CRASHES_COUNT - 1)?.0 + CONTACT;
    let late = sends
        .iter()
        .filter(|(at, entry)| *at > known_at && !was_disturbed(observations, *entry, *at));
    let late_count = late.count();
    (late_count > LATE_MAX_COUNT).then(|| {
        let total = sends.len();
        format!("a request that crashes servers reached {total}, {late_count} of them late")
    })
}

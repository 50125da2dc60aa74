//! Checks the rate of requests at servers that named a limit.

use super::{CONTACT, was_disturbed};
use crate::ledger;
use std::time;

/// Span in which the requests at a server are counted.
const WINDOW: time::Duration = time::Duration::from_millis(4_000);
/// Excess over the limit that is allowed.
const EXCESS: f64 = 1.5;
/// Requests that are allowed in a window beyond the limit and its excess.
const SLACK_COUNT: f64 = 5.0;

/// Returns a description for each limit that all entry processes together exceeded.
pub(super) fn check(observations: &ledger::Observations) -> Vec<String> {
    let limits = observations.limits.iter();
    limits
        .filter_map(|limit| check_limit(observations, limit))
        .collect()
}

fn check_limit(observations: &ledger::Observations, limit: &ledger::NamedLimit) -> Option<String> {
    let known_at = limit.first_named_at + CONTACT;
    let is_counted = |arrival: &&ledger::LimitedArrival| {
        let attempt = observations.attempts.get(&arrival.id);
        arrival.server == limit.server
            && arrival.at >= known_at
            && limit.ended_at.is_none_or(|ended_at| arrival.at < ended_at)
            && attempt.is_some_and(|a| !was_disturbed(observations, a.entry, arrival.at))
    };
    let arrivals = observations.limited_arrivals.iter().filter(is_counted);
    let mut times: Vec<_> = arrivals.map(|arrival| arrival.at).collect();
    times.sort_unstable();
    let per_s = f64::from(limit.milli_per_s) / 1_000.0;
    let allowed = (per_s * WINDOW.as_secs_f64() * EXCESS + SLACK_COUNT) as usize;
    let windows = (0..times.len()).map(|first| {
        let end = times[first] + WINDOW;
        times[first..].iter().take_while(|at| **at < end).count()
    });
    let most = windows.max()?;
    (most > allowed).then(|| {
        let server = &limit.server;
        format!("{server} named {per_s} a second and got {most} requests in 4 s, allowed {allowed}")
    })
}

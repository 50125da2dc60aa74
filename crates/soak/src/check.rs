//! Holds what was seen against the promises.

use crate::ledger::{self, End};
use crate::server;
use std::time;

/// Time after a disturbance within which promises with a bound in time do not hold.
const CONTACT: time::Duration = time::Duration::from_millis(3_000);

/// Counts of a scene.
#[derive(Debug, Clone, Copy, Default)]
pub struct Counts {
    /// Attempts of callers.
    pub attempts: usize,
    /// Attempts that were answered well.
    pub served: usize,
    /// Attempts that were refused as not run.
    pub refused: usize,
    /// All others.
    pub unknown: usize,
}

/// Returns the broken promises, in words, and counts.
pub fn check(seen: &ledger::Seen) -> (Vec<String>, Counts) {
    let mut broken = seen.broken.clone();
    let mut counts = Counts::default();
    for attempt in seen.attempts.values() {
        counts.attempts += 1;
        let runs = seen.runs.get(&attempt.id).map_or(&[][..], Vec::as_slice);
        broken.extend(runs_broken(attempt, runs));
        broken.extend(late_runs(seen, attempt, runs));
        match &attempt.end {
            Some((_, End::Answered { status, .. })) => match *status {
                200 => counts.served += 1,
                408 | 421 | 429 | 503 => counts.refused += 1,
                _ => counts.unknown += 1,
            },
            _ => counts.unknown += 1,
        }
        broken.extend(end_broken(seen, attempt, runs));
    }
    (broken, counts)
}

fn runs_broken(attempt: &ledger::Attempt, runs: &[ledger::Run]) -> Option<String> {
    let most = if attempt.is_one_time { 1 } else { 2 };
    (runs.len() > most).then(|| {
        let servers: Vec<_> = runs.iter().map(|run| run.server.as_str()).collect();
        format!("{} ran at {servers:?}", attempt.id)
    })
}

fn end_broken(
    seen: &ledger::Seen,
    attempt: &ledger::Attempt,
    runs: &[ledger::Run],
) -> Option<String> {
    let id = &attempt.id;
    match &attempt.end {
        Some((_, End::Answered { status, .. })) if matches!(status, 408 | 421 | 429 | 503) => {
            let is_broken = attempt.is_one_time && !runs.is_empty();
            is_broken.then(|| format!("{id} was refused with {status} and ran"))
        }
        Some((
            _,
            End::Answered {
                status: 200,
                is_signed,
                body,
            },
        )) => {
            let is_right = *is_signed && *body == server::body_of(id).into_bytes();
            (!is_right || runs.is_empty())
                .then(|| format!("{id} got an answer that is not its own"))
        }
        Some((_, End::Answered { status, .. })) if matches!(status, 400..500) => {
            Some(format!("{id} was denied with {status}"))
        }
        Some((at, End::Broken)) if is_calm_stop(seen, attempt, *at) && !runs.is_empty() => {
            Some(format!("{id} was cut off by a graceful stop"))
        }
        _ => None,
    }
}

/// Returns whether the entry process of an attempt was told to stop around its end and was not
/// disturbed otherwise, nor any server that ran it.
fn is_calm_stop(seen: &ledger::Seen, attempt: &ledger::Attempt, at: time::Instant) -> bool {
    let is_in = |span: &ledger::Span| attempt.at <= span.to && at >= span.from;
    let stops = seen.stops.iter();
    let is_stopped = stops
        .filter(|(entry, _)| *entry == attempt.entry)
        .any(|(_, span)| is_in(span));
    let runs = seen.runs.get(&attempt.id).into_iter().flatten();
    let mut servers = runs.map(|run| &run.server);
    let is_server_sound = servers.all(|server| {
        let mut faults = seen.server_faults.iter();
        !faults.any(|(id, span)| id == server && is_in(span))
    });
    is_stopped && is_server_sound && !is_disturbed(seen, attempt.entry, at)
}

/// Returns whether an entry process, or control, was disturbed shortly before `at`.
fn is_disturbed(seen: &ledger::Seen, entry: usize, at: time::Instant) -> bool {
    let is_near = |span: &ledger::Span| at >= span.from && at <= span.to + CONTACT;
    let entries = seen.entry_faults.iter();
    let mut own = entries.filter(|(position, _)| *position == entry);
    own.any(|(_, span)| is_near(span)) || seen.control_faults.iter().any(is_near)
}

/// Returns a request that reached a server after it was closed to requests.
fn late_runs(
    seen: &ledger::Seen,
    attempt: &ledger::Attempt,
    runs: &[ledger::Run],
) -> Option<String> {
    let late = runs.iter().find(|run| {
        let closed_from = run.closed_from;
        closed_from.is_some_and(|from| run.at > from)
    })?;
    let is_excused = is_disturbed(seen, attempt.entry, late.at);
    (!is_excused).then(|| format!("{} reached {}, which was closed", attempt.id, late.server))
}

//! Checks the observations of a scenario against the guarantees of the system.

use crate::ledger::{self, Outcome};
use crate::server;
use std::time;

mod crashes;
mod limits;

/// Time after a fault within which guarantees with a time bound do not hold.
const FAULT_MARGIN: time::Duration = time::Duration::from_millis(3_000);

/// Time within which all entry processes know what one of them has learned.
const CONTACT: time::Duration = time::Duration::from_millis(3_000);

/// Attempts of a scenario by outcome.
#[derive(Debug, Clone, Copy, Default)]
pub struct Counts {
    /// All attempts.
    pub attempts: usize,
    /// Attempts that were served with status 200.
    pub served: usize,
    /// Attempts that were refused without execution.
    pub refused: usize,
    /// Attempts with any other outcome.
    pub unknown: usize,
    /// Requests at servers that named a limit.
    pub limited: usize,
    /// Runs of the request that crashes servers.
    pub crashes: usize,
}

/// Returns descriptions of the violated guarantees, and the counts.
pub fn check(observations: &ledger::Observations) -> (Vec<String>, Counts) {
    let mut violations = observations.violations.clone();
    let mut counts = Counts {
        limited: observations.limited_arrivals.len(),
        ..Counts::default()
    };
    for attempt in observations.attempts.values() {
        counts.attempts += 1;
        let runs = observations
            .runs
            .get(&attempt.id)
            .map_or(&[][..], Vec::as_slice);
        if attempt.is_crashing {
            counts.crashes += runs.len();
        }
        violations.extend(check_run_count(attempt, runs));
        violations.extend(check_run_times(observations, attempt, runs));
        match &attempt.outcome {
            Some((_, Outcome::Answered { status, .. })) => match *status {
                200 => counts.served += 1,
                408 | 421 | 429 | 503 => counts.refused += 1,
                _ => counts.unknown += 1,
            },
            _ => counts.unknown += 1,
        }
        violations.extend(check_outcome(observations, attempt, runs));
    }
    violations.extend(limits::check(observations));
    violations.extend(crashes::check(observations));
    (violations, counts)
}

fn check_run_count(attempt: &ledger::Attempt, runs: &[ledger::Run]) -> Option<String> {
    let runs_max = if attempt.is_one_time { 1 } else { 2 };
    (runs.len() > runs_max).then(|| {
        let servers: Vec<_> = runs.iter().map(|run| run.server.as_str()).collect();
        format!("{} was executed at {servers:?}", attempt.id)
    })
}

fn check_outcome(
    observations: &ledger::Observations,
    attempt: &ledger::Attempt,
    runs: &[ledger::Run],
) -> Option<String> {
    let id = &attempt.id;
    match &attempt.outcome {
        Some((_, Outcome::Answered { status, .. })) if matches!(status, 408 | 421 | 429 | 503) => {
            let is_violated = attempt.is_one_time && !runs.is_empty();
            is_violated
                .then(|| format!("{id} was refused with status {status} although it was executed"))
        }
        Some((
            _,
            Outcome::Answered {
                status: 200,
                is_signed,
                body,
            },
        )) => {
            let is_own = *is_signed && *body == server::response_body(id).into_bytes();
            (!is_own || runs.is_empty()).then(|| format!("{id} got a response that is not its own"))
        }
        Some((_, Outcome::Answered { status, .. }))
            if matches!(status, 400..500) && !attempt.is_crashing =>
        {
            Some(format!("{id} was rejected with status {status}"))
        }
        Some((at, Outcome::ConnectionLost))
            if is_undisturbed_stop(observations, attempt, *at) && !runs.is_empty() =>
        {
            Some(format!("{id} lost its connection in a graceful stop"))
        }
        _ => None,
    }
}

/// Returns whether the entry process of an attempt was stopped gracefully while the attempt was in
/// flight, without a fault of that process, of control or of a server that executed the attempt.
fn is_undisturbed_stop(
    observations: &ledger::Observations,
    attempt: &ledger::Attempt,
    at: time::Instant,
) -> bool {
    let overlaps = |span: &ledger::Span| attempt.at <= span.to && at >= span.from;
    let stops = observations.stops.iter();
    let is_stopped = stops
        .filter(|(entry, _)| *entry == attempt.entry)
        .any(|(_, span)| overlaps(span));
    let runs = observations.runs.get(&attempt.id).into_iter().flatten();
    let mut servers = runs.map(|run| &run.server);
    let are_servers_healthy = servers.all(|server| {
        let mut faults = observations.server_faults.iter();
        !faults.any(|(id, span)| id == server && overlaps(span))
    });
    is_stopped && are_servers_healthy && !had_recent_fault(observations, attempt.entry, at)
}

/// Returns whether a fault of the entry process or of control was in effect at `at`.
fn had_recent_fault(observations: &ledger::Observations, entry: usize, at: time::Instant) -> bool {
    let is_in_effect = |span: &ledger::Span| at >= span.from && at <= span.to + FAULT_MARGIN;
    let entry_faults = observations.entry_faults.iter();
    let mut faults = entry_faults.filter(|(index, _)| *index == entry);
    faults.any(|(_, span)| is_in_effect(span))
        || observations.control_faults.iter().any(is_in_effect)
}

/// Returns whether the entry process has returned from a fault or a stop so late before `at` that it
/// need not know what the others have learned.
fn was_disturbed(observations: &ledger::Observations, entry: usize, at: time::Instant) -> bool {
    let faults = observations.entry_faults.iter();
    let mut disturbances = faults.chain(&observations.stops);
    disturbances.any(|(n, span)| *n == entry && at >= span.from && at <= span.to + CONTACT)
}

/// Returns a violation if a request reached a server after it was closed to requests.
fn check_run_times(
    observations: &ledger::Observations,
    attempt: &ledger::Attempt,
    runs: &[ledger::Run],
) -> Option<String> {
    let late = runs.iter().find(|run| {
        let closed_from = run.closed_from;
        closed_from.is_some_and(|from| run.at > from)
    })?;
    let is_excused = had_recent_fault(observations, attempt.entry, late.at);
    (!is_excused).then(|| {
        format!(
            "{} reached {} after it was closed to requests",
            attempt.id, late.server
        )
    })
}

//! Picks the server of an attempt, after health checks of the best candidates.

use crate::{backend, metrics, precedence, probe, rollouts, state, table};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use nutmegdale_base::{clock, outcome};
use nutmegdale_dispatch::{admission, estimate, hedge, placement};
use std::pin;
use std::sync;
use std::time;
use tokio::task;

/// Number of candidates that are probed concurrently in each round. A round costs a round trip, so
/// each round without a good server widens the search.
const PROBE_COUNTS: [usize; 3] = [3, 5, 8];
/// Maximum wait for the health checks of a round, as a fraction of the request's latency target. A
/// process on a tenth of a core completes most health checks within 10 to 20 ms.
const PROBE_WAIT_SHARE: f64 = 0.03;

/// Requirements of an attempt on its server.
#[derive(Debug, Clone, Copy)]
pub struct Query<'a> {
    /// Index of the service in [`table::Table::services`].
    pub service_index: usize,
    /// Cost profile of the request.
    pub profile: placement::RequestProfile,
    /// Estimate of its route, which is updated with the decision.
    pub estimate: &'a estimate::Estimate,
    /// Regions to which it is restricted; empty if it is not.
    pub home_regions: &'a [String],
    /// Priority of the request; 0 is the most urgent.
    pub priority: u32,
    /// Whether its caller was refused before.
    pub is_returning: bool,
    /// Servers to which the request was sent before; they are excluded.
    pub tried: &'a [sync::Arc<backend::Backend>],
    /// Time until its latency target and its deadline.
    pub time_left: admission::TimeLeft,
    /// Whether an earlier attempt of the request was admitted as a trial. Its retries are trials
    /// too, since an attempt that reached no server has refreshed no estimate.
    pub is_trial: bool,
    /// Servers that it may go to during a rollout.
    pub selection: rollouts::Selection,
}

/// Server that was picked.
#[derive(Debug)]
pub struct Picked {
    /// Server that granted the permit for one request.
    pub backend: sync::Arc<backend::Backend>,
    /// Permit of its rate limits.
    pub permit: backend::Permit,
    /// Prediction on which the choice is based.
    pub prediction: placement::Prediction,
    /// Whether the request was admitted only to refresh an estimate that may be stale.
    pub is_trial: bool,
    /// Selection by which it was picked.
    pub selection: rollouts::Selection,
    /// Why the request leaves the zone, if it does and that is decided.
    pub leaving: Option<precedence::Leaving>,
}

/// Reason why no server was picked.
#[derive(Debug, Clone, Copy)]
pub struct Rejection {
    /// Reason for metrics, logs and the response.
    pub reason: outcome::Reason,
    /// Time after which the caller should retry.
    pub retry_after: clock::Millis,
    /// Prediction for the best candidate, if there was one.
    pub best: Option<placement::Prediction>,
    /// Number of candidates.
    pub considered_count: usize,
    /// Grounds if slots were left free for more urgent requests.
    pub reserved: Option<precedence::Reserved>,
}

impl Rejection {
    /// Creates a rejection without candidates.
    pub fn new(reason: outcome::Reason, retry_after: clock::Millis) -> Rejection {
        Rejection {
            reason,
            retry_after,
            best: None,
            considered_count: 0,
            reserved: None,
        }
    }
}

/// Candidates in ascending order of predicted cost.
#[derive(Default)]
struct Ranking {
    best: Vec<(sync::Arc<backend::Backend>, placement::Prediction)>,
    /// Number of servers that were compared.
    considered_count: usize,
}

/// Running health checks.
type Probes = FuturesUnordered<task::JoinHandle<()>>;

/// Picks a server and acquires the permit to send one request to it.
///
/// # Errors
///
/// Fails if admission control rejects the request, or no server can take it.
pub async fn pick(
    shared: &sync::Arc<state::Shared>,
    table: &table::Table,
    query: &Query<'_>,
) -> Result<Picked, Rejection> {
    let service = &table.services[query.service_index];
    let mut ranking = Ranking::default();
    let mut limits = precedence::Limits::new(shared, service, query);
    for (round, probe_count) in PROBE_COUNTS.into_iter().enumerate() {
        let purpose = match round {
            0 => placement::Purpose::ProbeNear(probe_count),
            _ => placement::Purpose::Probe(probe_count),
        };
        let candidates = rank(shared, service, query, purpose, &mut limits);
        let probes = start_probes(shared, service, &candidates.best);
        let has_probes = !probes.is_empty();
        let is_good;
        (ranking, is_good) = await_probes(shared, service, query, probes, &mut limits).await;
        if is_good || (round > 0 && !has_probes) {
            break;
        }
    }
    admit(shared, table, ranking, query, &limits)
}

/// Waits for health checks until a server is good enough, all have completed, or the time is up.
/// Returns the resulting ranking, and whether its best server is good enough to probe no others.
async fn await_probes(
    shared: &state::Shared,
    service: &table::Service,
    query: &Query<'_>,
    mut probes: Probes,
    limits: &mut precedence::Limits,
) -> (Ranking, bool) {
    let wait_max =
        time::Duration::from_micros((query.profile.target_ms * PROBE_WAIT_SHARE * 1000.0) as u64);
    let mut timeout = pin::pin!(tokio::time::sleep(wait_max));
    loop {
        let ranking = rank(shared, service, query, placement::Purpose::Send, limits);
        let best = ranking.best.first().map(|(_, prediction)| prediction);
        let best = best.filter(|best| is_quiet(best));
        if best.is_some_and(|best| best.in_flight == 0) {
            return (ranking, true);
        }
        let has_room = best.is_some_and(|best| best.has_room);
        tokio::select! {
            biased;
            completed = probes.next() => if completed.is_none() {
                return (ranking, has_room);
            },
            // A server whose health check takes longer is ranked by its last report.
            () = &mut timeout => {
                let ranking = rank(shared, service, query, placement::Purpose::Send, limits);
                return (ranking, false);
            }
        }
    }
}

/// Returns whether a fresh report shows that the server's VM is not slowed down.
fn is_quiet(prediction: &placement::Prediction) -> bool {
    let is_fresh = prediction.age.is_some_and(|age| age <= placement::FRESH_MS);
    is_fresh && prediction.slowdown_percent < hedge::QUIET_PERCENT
}

/// Applies admission control to the best server, then acquires a permit of the best server that
/// grants one.
fn admit(
    shared: &state::Shared,
    table: &table::Table,
    ranking: Ranking,
    query: &Query<'_>,
    limits: &precedence::Limits,
) -> Result<Picked, Rejection> {
    let service = &table.services[query.service_index];
    let now = shared.clock.now();
    let mut rng = shared.rng();
    let estimate = query.estimate;
    let mut is_trial = false;
    let is_allowed = |(backend, prediction): &&(sync::Arc<backend::Backend>, _)| {
        limits.allows(backend, prediction)
    };
    let allowed = ranking.best.iter().find(is_allowed);
    if let (None, Some((_, best))) = (allowed, ranking.best.first()) {
        metrics::increment(&shared.metrics.refused_for_urgent);
        let retry_after = limits.return_time(now, table, query, best.response_ms);
        let retry_after = retry_after.unwrap_or_default();
        return Err(Rejection {
            best: Some(*best),
            considered_count: ranking.considered_count,
            reserved: Some(limits.reserved(service)),
            ..Rejection::new(outcome::Reason::Overload, retry_after)
        });
    }
    if let Some((_, best)) = allowed {
        let may_be_stale = query.is_trial || estimate.may_be_stale(now);
        match admission::decide(best, query.profile, query.time_left, may_be_stale, &mut rng) {
            admission::Decision::Admit => estimate.record_admission(),
            admission::Decision::Trial => {
                estimate.reset_weight();
                is_trial = true;
            }
            admission::Decision::Refuse { retry_after } => {
                if best.has_room {
                    estimate.record_refusal(now);
                }
                let scheduled = limits.return_time(now, table, query, best.response_ms);
                return Err(Rejection {
                    reason: outcome::Reason::Overload,
                    retry_after: scheduled.unwrap_or(retry_after),
                    best: Some(*best),
                    considered_count: ranking.considered_count,
                    reserved: None,
                });
            }
        }
    }
    for (backend, prediction) in ranking.best {
        let is_allowed = limits.allows(&backend, &prediction);
        if !is_allowed || !backend.accepts(now) {
            continue;
        }
        if let Some(permit) = backend.try_acquire(now, limits.kept_permits()) {
            backend.health.begin_trial(now);
            return Ok(Picked {
                leaving: limits.leaving(&backend),
                permit,
                backend,
                prediction,
                is_trial,
                selection: query.selection,
            });
        }
    }
    let left = query.time_left.to_deadline;
    let rejection = match hold_left(service, query.home_regions, now) {
        Some(hold) => Rejection::new(
            hold.reason,
            admission::retry_after_backoff(hold.left, left, &mut rng),
        ),
        None => Rejection::new(
            outcome::Reason::NoServer,
            admission::retry_after(0.0, left, &mut rng),
        ),
    };
    Err(Rejection {
        considered_count: ranking.considered_count,
        ..rejection
    })
}

/// Hold that all servers have asked for.
#[derive(Debug, Clone, Copy)]
pub struct Hold {
    /// Time until the first server takes requests again.
    pub left: clock::Millis,
    /// Why none does now.
    pub reason: outcome::Reason,
}

/// Returns the hold of a service, if all servers that a request may reach have asked for one.
pub fn hold_left(
    service: &table::Service,
    home_regions: &[String],
    now: clock::Millis,
) -> Option<Hold> {
    let open = service.backends.iter().filter(|backend| {
        backend.is_open() && (home_regions.is_empty() || home_regions.contains(&backend.region))
    });
    let first = open.min_by_key(|backend| backend.hold_left(now))?;
    let left = first.hold_left(now);
    let is_backoff = first.availability.backoff_left(now) == left;
    (left > clock::Millis::ZERO).then_some(Hold {
        left,
        reason: match is_backoff {
            true => outcome::Reason::Backoff,
            false => outcome::Reason::ServerLimit,
        },
    })
}

/// Ranks the servers that may receive the request. Ejected servers are considered only if no other
/// is usable.
fn rank(
    shared: &state::Shared,
    service: &table::Service,
    query: &Query<'_>,
    purpose: placement::Purpose,
    limits: &mut precedence::Limits,
) -> Ranking {
    let now = shared.clock.now();
    let kept_permits = limits.kept_permits();
    let is_usable = |backend: &&sync::Arc<backend::Backend>| {
        backend.accepts(now)
            && query.selection.admits(backend.role())
            && backend.can_acquire(now, kept_permits)
            && (query.home_regions.is_empty() || query.home_regions.contains(&backend.region))
            && !query
                .tried
                .iter()
                .any(|tried| sync::Arc::ptr_eq(tried, backend))
    };
    let usable: Vec<_> = service.backends.iter().filter(is_usable).collect();
    let eligible: Vec<_> = usable
        .iter()
        .copied()
        .filter(|backend| backend.health.is_eligible(now))
        .collect();
    let considered = if eligible.is_empty() {
        usable
    } else {
        eligible
    };
    let considered = reachable(shared, considered, purpose, now);
    let candidates: Vec<_> = considered.iter().map(|b| b.candidate(now)).collect();
    limits.begin_pass();
    let terms = placement::Terms {
        profile: query.profile,
        links: &crate::settings::LINKS,
        purpose,
    };
    let adjust: placement::Adjust<'_> = &mut |n, best| limits.adjust(considered[n], best);
    let mut rng = shared.rng();
    let ranked = placement::rank_adjusted(now, &candidates, terms, adjust, &mut rng);
    limits.end_pass(service);
    let best = ranked.into_iter();
    let best = best.map(|(n, prediction)| (sync::Arc::clone(considered[n]), prediction));
    Ranking {
        best: best.collect(),
        considered_count: considered.len(),
    }
}

/// Leaves out the servers to which no connection may be opened now, where the deployment limits
/// connections. For a send, they are left out only while there are others.
fn reachable<'a>(
    shared: &state::Shared,
    considered: Vec<&'a sync::Arc<backend::Backend>>,
    purpose: placement::Purpose,
    now: clock::Millis,
) -> Vec<&'a sync::Arc<backend::Backend>> {
    if !shared.settings.features.limits_connections {
        return considered;
    }
    let is_reachable = |backend: &backend::Backend| match purpose {
        placement::Purpose::Send => backend.pool.has_kept(now) || backend.connect_hold.allows(now),
        _ => probe::is_within_budget(shared, backend, now),
    };
    let reachable: Vec<_> = considered
        .iter()
        .copied()
        .filter(|backend| is_reachable(backend))
        .collect();
    match purpose {
        placement::Purpose::Send if reachable.is_empty() => considered,
        _ => reachable,
    }
}

/// Starts health checks of those servers that have no fresh report.
fn start_probes(
    shared: &sync::Arc<state::Shared>,
    service: &table::Service,
    candidates: &[(sync::Arc<backend::Backend>, placement::Prediction)],
) -> Probes {
    let path = &service.spec.health_path;
    let probes = candidates
        .iter()
        .filter_map(|(backend, _)| probe::refresh_within_budget(shared, backend, path));
    probes.collect()
}

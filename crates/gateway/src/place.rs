//! Picks the server of a send: asks the best candidates for their load first.

use crate::{backend, probe, state, table};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use nutmegdale_base::{clock, outcome};
use nutmegdale_dispatch::{admission, estimate, hedge, placement};
use std::pin;
use std::sync;
use std::time;
use tokio::task;

/// Candidates that are asked at once, by round. Rounds take the way there and back, so a choice
/// that found no good server looks wider each time.
const ASKED_COUNTS: [usize; 3] = [3, 5, 8];
/// Longest wait for the health checks of a round, in parts of the request's aim. A process on a
/// tenth of a core has most of them answered within 10 to 20 ms.
const WAIT_AIMS: f64 = 0.03;

/// What is placed.
#[derive(Debug, Clone, Copy)]
pub struct Wanted<'a> {
    /// Position of the service.
    pub service: usize,
    /// What the request needs.
    pub need: placement::RequestProfile,
    /// What its route has learned of that.
    pub estimate: &'a estimate::Estimate,
    /// Regions that it is bound to; empty if it is not.
    pub homes: &'a [String],
    /// Servers that had it already.
    pub tried: &'a [sync::Arc<backend::Backend>],
    /// Time that it has.
    pub time: admission::TimeLeft,
}

/// Server that was picked.
#[derive(Debug)]
pub struct Placed {
    /// Server.
    pub backend: sync::Arc<backend::Backend>,
    /// Prediction that the choice rests on.
    pub prediction: placement::Prediction,
    /// Whether the request seems to need too long and only tries out what is known of its work.
    pub is_trial: bool,
}

/// Why no server was picked.
#[derive(Debug, Clone, Copy)]
pub struct Refused {
    /// Reason.
    pub reason: outcome::Reason,
    /// Time after which the caller should return.
    pub after: clock::Millis,
    /// Prediction for the best server, if there was one.
    pub best: Option<placement::Prediction>,
    /// Servers that were considered.
    pub considered_count: usize,
}

impl Refused {
    /// Creates a refusal without a server to consider.
    pub fn new(reason: outcome::Reason, after: clock::Millis) -> Refused {
        Refused {
            reason,
            after,
            best: None,
            considered_count: 0,
        }
    }
}

/// Servers of a service, the best first.
#[derive(Default)]
struct Ranked {
    best: Vec<(sync::Arc<backend::Backend>, placement::Prediction)>,
    /// Servers that were compared.
    considered_count: usize,
}

/// Health checks under way.
type Asked = FuturesUnordered<task::JoinHandle<()>>;

/// Picks a server for a send and takes the right to send to it.
pub async fn place(
    shared: &sync::Arc<state::Shared>,
    table: &table::Table,
    wanted: &Wanted<'_>,
) -> Result<Placed, Refused> {
    let service = &table.services[wanted.service];
    let mut ranked = Ranked::default();
    for (round, asked_count) in ASKED_COUNTS.into_iter().enumerate() {
        let purpose = match round {
            0 => placement::Purpose::ProbeNear(asked_count),
            _ => placement::Purpose::Probe(asked_count),
        };
        let promising = rank(shared, service, wanted, purpose);
        let asked = ask(shared, service, &promising.best);
        let is_news = !asked.is_empty();
        let is_good;
        (ranked, is_good) = learn(shared, service, wanted, asked).await;
        if is_good || (round > 0 && !is_news) {
            break;
        }
    }
    pick(shared, ranked, wanted)
}

/// Waits for answers to health checks, as long as they may show a better server; returns the servers
/// as they are known then, and whether one is good enough to ask no others.
async fn learn(
    shared: &state::Shared,
    service: &table::Service,
    wanted: &Wanted<'_>,
    mut asked: Asked,
) -> (Ranked, bool) {
    let wait_max = time::Duration::from_micros((wanted.need.target_ms * WAIT_AIMS * 1000.0) as u64);
    let mut limit = pin::pin!(tokio::time::sleep(wait_max));
    loop {
        let ranked = rank(shared, service, wanted, placement::Purpose::Send);
        let best = ranked.best.first().map(|(_, prediction)| prediction);
        let best = best.filter(|best| is_quiet(best));
        if best.is_some_and(|best| best.in_flight == 0) {
            return (ranked, true);
        }
        let has_room = best.is_some_and(|best| best.has_room);
        tokio::select! {
            biased;
            answered = asked.next() => if answered.is_none() {
                return (ranked, has_room);
            },
            // A server that does not answer in this time is judged by what is known of it.
            () = &mut limit => {
                let ranked = rank(shared, service, wanted, placement::Purpose::Send);
                return (ranked, false);
            }
        }
    }
}

/// Returns whether a server is known to be quiet.
fn is_quiet(prediction: &placement::Prediction) -> bool {
    let is_fresh = prediction.age.is_some_and(|age| age <= placement::FRESH_MS);
    is_fresh && prediction.slowdown_percent < hedge::QUIET_PERCENT
}

fn pick(shared: &state::Shared, ranked: Ranked, wanted: &Wanted<'_>) -> Result<Placed, Refused> {
    let now = shared.clock.now();
    let mut rng = shared.rng();
    let estimate = wanted.estimate;
    let mut is_trial = false;
    if let Some((_, best)) = ranked.best.first() {
        let is_in_doubt = estimate.may_be_stale(now);
        match admission::decide(best, wanted.need, wanted.time, is_in_doubt, &mut rng) {
            admission::Decision::Admit => estimate.record_admission(),
            admission::Decision::Trial => {
                estimate.reset_weight();
                is_trial = true;
            }
            admission::Decision::Refuse { retry_after: after } => {
                if best.has_room {
                    estimate.record_refusal(now);
                }
                return Err(Refused {
                    reason: outcome::Reason::Overload,
                    after,
                    best: Some(*best),
                    considered_count: ranked.considered_count,
                });
            }
        }
    }
    for (backend, prediction) in ranked.best {
        if backend.is_open() && backend.take(now) {
            backend.health.begin_trial(now);
            return Ok(Placed {
                backend,
                prediction,
                is_trial,
            });
        }
    }
    let after = admission::retry_after(0.0, wanted.time.to_deadline, &mut rng);
    Err(Refused {
        considered_count: ranked.considered_count,
        ..Refused::new(outcome::Reason::NoServer, after)
    })
}

/// Compares the servers that may get the request. Those that fail are used only if there is nothing
/// else.
fn rank(
    shared: &state::Shared,
    service: &table::Service,
    wanted: &Wanted<'_>,
    purpose: placement::Purpose,
) -> Ranked {
    let now = shared.clock.now();
    let is_usable = |backend: &&sync::Arc<backend::Backend>| {
        backend.is_open()
            && backend.may_take(now)
            && (wanted.homes.is_empty() || wanted.homes.contains(&backend.region))
            && !wanted
                .tried
                .iter()
                .any(|tried| sync::Arc::ptr_eq(tried, backend))
    };
    let usable: Vec<_> = service.backends.iter().filter(is_usable).collect();
    let sound: Vec<_> = usable
        .iter()
        .copied()
        .filter(|backend| backend.health.is_eligible(now))
        .collect();
    let chosen = if sound.is_empty() { usable } else { sound };
    let candidates: Vec<_> = chosen.iter().map(|b| b.candidate(now)).collect();
    let ways = &crate::settings::WAYS;
    let ranked = placement::rank(
        now,
        &candidates,
        wanted.need,
        ways,
        purpose,
        &mut shared.rng(),
    );
    let best = ranked.into_iter();
    let best = best.map(|(n, prediction)| (sync::Arc::clone(chosen[n]), prediction));
    Ranked {
        best: best.collect(),
        considered_count: chosen.len(),
    }
}

/// Asks those of the best servers whose reports are old.
fn ask(
    shared: &sync::Arc<state::Shared>,
    service: &table::Service,
    ranked: &[(sync::Arc<backend::Backend>, placement::Prediction)],
) -> Asked {
    let path = &service.spec.health_path;
    let asked = ranked
        .iter()
        .filter_map(|(backend, _)| probe::refresh(shared, backend, path));
    asked.collect()
}

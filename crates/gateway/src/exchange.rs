//! The sends of one request: retries and hedges.
//!
//! Invariants: a request is written to no more servers than its route allows, a one-time request
//! to another one only if the last stated that it has not run, and second sends stay within the
//! budget of their service.

use crate::{backend, call, lookout, metrics, payload, place, send, state, table};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use nutmegdale_base::{class, clock, outcome};
use nutmegdale_dispatch::{admission, hedge, placement};
use nutmegdale_entry::head;
use std::pin;
use std::sync;
use std::time;

/// Tries of one hedge.
const HEDGE_TRIES_MAX_COUNT: u32 = 3;
/// Time between two tries of a hedge: others have answered by then, or VMs have changed.
const HEDGE_AGAIN_MS: clock::Millis = clock::Millis(60);

/// Request to send.
pub(crate) struct Request<'a> {
    /// Its route.
    pub(crate) route: &'a table::Route,
    /// Name of the service that serves it.
    pub(crate) service: String,
    /// Its head.
    pub(crate) head: send::Head,
    /// Its body.
    pub(crate) payload: payload::Payload,
    /// Time that the caller waited before this attempt.
    pub(crate) waited: clock::Millis,
}

type Sending = pin::Pin<Box<dyn Future<Output = send::Sent> + Send>>;

/// Sends of one request.
pub(crate) struct Exchange<'a> {
    route: &'a table::Route,
    /// Service that serves it; second sends stay there.
    name: String,
    head: sync::Arc<send::Head>,
    /// Whether it may be sent again after it may have run.
    is_repeatable: bool,
    payload: Option<payload::Payload>,
    tried: Vec<sync::Arc<backend::Backend>>,
    writes_count: u32,
    /// Failure that a server answered, in case that no other answer comes.
    fallback: Option<send::Answer>,
    /// Why it is not known whether a send ran.
    lost: Option<outcome::Reason>,
    refused: Option<place::Refused>,
    hedged: bool,
    hedge_tries_count: u32,
    /// Time that the caller waited before this attempt.
    waited: clock::Millis,
}

/// Service of one more send, in the table in force.
struct Target {
    table: sync::Arc<table::Table>,
    service: usize,
}

type Found = Result<place::Placed, place::Refused>;

/// How a request goes on.
enum Step {
    /// With the sends under way.
    Wait,
    /// With one more send.
    Again,
    /// It is decided.
    Done(call::Final),
}

/// What happened while answers were awaited.
enum Event {
    /// A send ended.
    Sent(send::Sent),
    /// A second send is due.
    Hedge(lookout::Sign),
    /// The time of the request is over.
    Deadline,
}

async fn next(
    call: &call::Call<'_>,
    sendings: &mut FuturesUnordered<Sending>,
    lookout: &mut Option<lookout::Lookout>,
) -> Event {
    let hedge = async {
        match lookout {
            Some(lookout) => lookout.wait(call.shared).await,
            None => std::future::pending().await,
        }
    };
    let limit = time::Duration::from_millis(call.left().0);
    tokio::select! {
        biased;
        Some(sent) = sendings.next() => Event::Sent(sent),
        sign = hedge => Event::Hedge(sign),
        () = tokio::time::sleep(limit) => Event::Deadline,
    }
}

impl<'a> Exchange<'a> {
    /// Creates the exchange of a request that was sent to no server yet.
    pub(crate) fn new(request: Request<'a>) -> Exchange<'a> {
        let is_idempotent = request.route.spec.class.is_idempotent();
        Exchange {
            route: request.route,
            name: request.service,
            head: sync::Arc::new(request.head),
            is_repeatable: is_idempotent && request.payload.rest.is_none(),
            payload: Some(request.payload),
            tried: Vec::new(),
            writes_count: 0,
            fallback: None,
            lost: None,
            refused: None,
            hedged: false,
            hedge_tries_count: 0,
            waited: request.waited,
        }
    }

    /// Sends the request, again where that is allowed, and returns its final answer.
    pub(crate) async fn run(mut self, call: &mut call::Call<'_>) -> call::Final {
        let mut sendings: FuturesUnordered<Sending> = FuturesUnordered::new();
        let mut lookout = self.start(call, &mut sendings).await;
        loop {
            if sendings.is_empty() {
                return self.settle(call);
            }
            let step = match next(call, &mut sendings, &mut lookout).await {
                Event::Sent(sent) => self.take(call, sent, sendings.is_empty()),
                Event::Deadline => {
                    call.trail.ended(call.passed(), "deadline");
                    self.lost = Some(outcome::Reason::Deadline);
                    return self.settle(call);
                }
                Event::Hedge(sign) => {
                    call.trail.hedged(call.passed(), sign);
                    match self.hedge(call, &mut sendings, &mut lookout).await {
                        Some(sent) => self.take(call, sent, sendings.is_empty()),
                        None => Step::Wait,
                    }
                }
            };
            match step {
                Step::Wait => {}
                Step::Done(decided) => return decided,
                Step::Again => lookout = self.start(call, &mut sendings).await,
            }
        }
    }

    /// Decides the request once no send is under way.
    fn settle(self, call: &call::Call<'_>) -> call::Final {
        if let Some(answer) = self.fallback {
            return answered(answer);
        }
        if let Some(reason) = self.lost {
            return call.unknown(reason);
        }
        let (reason, after) = match self.refused {
            Some(refused) => (refused.reason, Some(refused.after)),
            None => (outcome::Reason::NoServer, None),
        };
        call.not_run(reason, after)
    }

    /// Starts a hedge; where that cannot be done now, it is tried again a few times. Returns a send
    /// that ended while a server was looked for.
    async fn hedge(
        &mut self,
        call: &mut call::Call<'_>,
        sendings: &mut FuturesUnordered<Sending>,
        lookout: &mut Option<lookout::Lookout>,
    ) -> Option<send::Sent> {
        let before = self.writes_count;
        if let Some(target) = self.target(call) {
            let found = tokio::select! {
                biased;
                Some(sent) = sendings.next() => return Some(sent),
                found = self.find(call, &target) => found,
            };
            self.launch(call, sendings, &target, found, true);
        }
        self.hedge_tries_count += 1;
        self.hedged = self.writes_count > before || self.hedge_tries_count >= HEDGE_TRIES_MAX_COUNT;
        match lookout {
            Some(lookout) if !self.hedged => {
                lookout.pause(call.shared.clock.now() + HEDGE_AGAIN_MS);
            }
            _ => *lookout = None,
        }
        None
    }

    /// Starts one more send, if a server and the budget allow; returns the lookout for a hedge.
    async fn start(
        &mut self,
        call: &mut call::Call<'_>,
        sendings: &mut FuturesUnordered<Sending>,
    ) -> Option<lookout::Lookout> {
        let target = self.target(call)?;
        let found = self.find(call, &target).await;
        self.launch(call, sendings, &target, found, false)
    }

    /// Returns where one more send may go, as far as the bound of sends allows.
    fn target(&self, call: &call::Call<'_>) -> Option<Target> {
        if self.writes_count >= self.route.spec.sends_max {
            return None;
        }
        // What is in force may have changed since the request came.
        let table = call.shared.table.load_full();
        let position = table.services.iter().position(|s| s.spec.name == self.name);
        position.map(|service| Target { table, service })
    }

    /// Finds the server of one more send.
    async fn find(&mut self, call: &call::Call<'_>, target: &Target) -> Found {
        let need = placement::RequestProfile {
            work_ms: self.route.estimate.work_ms(),
            transfer_kb: self.sent_kb() + self.route.estimate.response_kb(),
            saturation_factor: self.route.estimate.saturation_factor(),
            target_ms: self.route.spec.aim.0 as f64,
        };
        let wanted = place::Wanted {
            service: target.service,
            need,
            estimate: &self.route.estimate,
            homes: &self.route.spec.home_regions,
            tried: &self.tried,
            time: self.time(call),
        };
        place::place(call.shared, &target.table, &wanted).await
    }

    /// Sends to the server that was found, if the budget allows.
    fn launch(
        &mut self,
        call: &mut call::Call<'_>,
        sendings: &mut FuturesUnordered<Sending>,
        target: &Target,
        found: Found,
        is_hedge: bool,
    ) -> Option<lookout::Lookout> {
        let shared = call.shared;
        let placed = match found {
            Ok(placed) => placed,
            Err(refused) => {
                call.trail.refused(call.passed(), &refused);
                if !is_hedge {
                    self.refused = Some(refused);
                }
                return None;
            }
        };
        if is_hedge && !self.is_worth_hedging(&placed, call) {
            call.trail.ended(call.passed(), "no-quiet-server");
            return None;
        }
        if self.writes_count > 0 && !self.spend(shared, &target.table, target.service) {
            call.trail.ended(call.passed(), "over-budget");
            return None;
        }
        if self.writes_count > 0 {
            metrics::count(match is_hedge {
                true => &shared.metrics.hedges,
                false => &shared.metrics.retries,
            });
        }
        let path = &target.table.services[target.service].spec.health_path;
        let lookout = self.lookout(call, &placed, path);
        self.send(call, sendings, placed);
        lookout
    }

    /// Returns the size of the body in kilobytes, as far as it was read.
    fn sent_kb(&self) -> f64 {
        let held = self
            .payload
            .as_ref()
            .map_or(0, |payload| payload.held.len());
        held as f64 / 1_000.0
    }

    fn time(&self, call: &call::Call<'_>) -> admission::TimeLeft {
        let passed = self.waited + call.passed();
        admission::TimeLeft {
            to_target: self.route.spec.aim.since(passed),
            to_deadline: call.left(),
        }
    }

    fn is_worth_hedging(&self, placed: &place::Placed, call: &call::Call<'_>) -> bool {
        hedge::is_worthwhile(&placed.prediction, call.left())
            && !placed.backend.is_cold(call.shared.clock.now())
    }

    fn spend(&self, shared: &state::Shared, table: &table::Table, service: usize) -> bool {
        let bound = &shared.settings.bounds.retry_budget;
        let budget = &table.services[service].budget;
        let may = budget.withdraw(shared.clock.now(), bound, table.processes_count());
        if !may {
            metrics::count(&shared.metrics.over_budget);
        }
        may
    }

    /// Returns the lookout for a second send, if the request may have one.
    fn lookout(
        &self,
        call: &call::Call<'_>,
        placed: &place::Placed,
        health_path: &str,
    ) -> Option<lookout::Lookout> {
        let may = self.is_repeatable
            && !self.hedged
            && self.writes_count + 1 < self.route.spec.sends_max
            && self.route.spec.class != class::Class::OneTimeFiling;
        let waiting = hedge::Pending {
            sent: call.shared.clock.now(),
            to_target: self.time(call).to_target,
            work_ms: self.route.estimate.work_ms(),
            predicted_ms: placed.prediction.response_ms,
        };
        let backend = sync::Arc::clone(&placed.backend);
        may.then(|| lookout::Lookout::new(backend, health_path, waiting))
    }

    fn send(
        &mut self,
        call: &mut call::Call<'_>,
        sendings: &mut FuturesUnordered<Sending>,
        placed: place::Placed,
    ) {
        let Some(payload) = self.next_payload() else {
            return;
        };
        if placed.is_trial {
            call.trail.ended(call.passed(), "trial");
        }
        call.trail
            .sent(call.passed(), placed.backend.id(), &placed.prediction);
        self.tried.push(sync::Arc::clone(&placed.backend));
        self.writes_count += 1;
        let send = send::Send {
            backend: placed.backend,
            head: sync::Arc::clone(&self.head),
            id: sync::Arc::clone(&call.id),
            payload,
            is_one_time: !self.route.spec.class.is_idempotent(),
            deadline: call.deadline,
            prediction: placed.prediction,
        };
        let shared = sync::Arc::clone(call.shared);
        sendings.push(Box::pin(async move { send::send(&shared, send).await }));
    }

    /// Returns the body for one more send; a body that streams can be sent once.
    fn next_payload(&mut self) -> Option<payload::Payload> {
        let payload = self.payload.as_ref()?;
        if payload.rest.is_some() {
            return self.payload.take();
        }
        Some(payload::Payload::whole(payload.held.clone()))
    }

    /// Takes the result of a send; `is_last` if no other one is under way.
    fn take(&mut self, call: &mut call::Call<'_>, sent: send::Sent, is_last: bool) -> Step {
        match sent {
            send::Sent::Answered(answer) => {
                call.trail.ended(call.passed(), answer.status.as_str());
                self.take_answer(answer, is_last)
            }
            send::Sent::NotRun(reason, was_written) => {
                call.trail.ended(call.passed(), reason.name());
                if !was_written {
                    self.writes_count -= 1;
                }
                // By then about half of the requests that run there have ended.
                let half = clock::Millis((self.route.estimate.work_ms() / 2.0) as u64);
                self.refused = Some(place::Refused::new(reason, half));
                self.again(is_last)
            }
            send::Sent::Unknown(reason) => {
                call.trail.ended(call.passed(), reason.name());
                self.lost = Some(reason);
                match self.is_repeatable {
                    true => self.again(is_last),
                    false => Step::Wait,
                }
            }
        }
    }

    fn again(&self, is_last: bool) -> Step {
        let is_allowed = self.writes_count < self.route.spec.sends_max && self.payload.is_some();
        match is_last && is_allowed {
            true => Step::Again,
            false => Step::Wait,
        }
    }

    fn take_answer(&mut self, answer: send::Answer, is_last: bool) -> Step {
        if answer.status.is_server_error() && self.is_repeatable {
            self.fallback = Some(answer);
            return self.again(is_last);
        }
        if answer.status.is_success() {
            let (took, stretch) = (answer.took, answer.stretch_percent);
            let estimate = &self.route.estimate;
            estimate.record_response(took, stretch, answer.held_bytes, answer.room);
        }
        Step::Done(answered(answer))
    }
}

fn answered(answer: send::Answer) -> call::Final {
    let mut response = hyper::Response::new(answer.body);
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer.headers;
    head::strip_hop_headers(response.headers_mut());
    call::Final {
        response,
        outcome: outcome::Outcome::Answered,
    }
}

//! Attempts of one request, including retries and hedges.
//!
//! Invariants: a request is written to no more servers than its route allows; a one-time request is
//! written to another server only if the last one stated that it did not run it; retries and hedges
//! stay within the retry budget of their service.

use crate::{
    attempt, backend, call, caller, crashes, fingerprint, hedge_timer, metrics, payload, picker,
    precedence, rollouts, table,
};
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use nutmegdale_accounts::identify;
use nutmegdale_base::{clock, outcome};
use nutmegdale_dispatch::{admission, budget};
use nutmegdale_entry::head;
use std::borrow;
use std::pin;
use std::sync;
use std::time;

mod launch;

/// Maximum number of tries to start a hedge.
const HEDGE_TRIES_MAX_COUNT: u32 = 3;
/// Time between two tries to start a hedge. By then servers have finished other requests, or VMs
/// have changed speed.
const HEDGE_RETRY_MS: clock::Millis = clock::Millis(60);

/// Request to forward.
pub(crate) struct Request<'a> {
    /// Route that the request matched.
    pub(crate) route: &'a table::Route,
    /// Name of the service that the route chose.
    pub(crate) service_name: String,
    /// Priority of the request; 0 is the most urgent.
    pub(crate) priority: u32,
    /// Regions to which route and account restrict it; empty if they do not.
    pub(crate) home_regions: borrow::Cow<'a, [String]>,
    /// Key of the caller, which is checked again before each send; `None` if it needs none.
    pub(crate) identity: Option<caller::Identity>,
    /// Head, without hop-by-hop headers.
    pub(crate) head: attempt::Head,
    /// Body, which is buffered up to a limit.
    pub(crate) payload: payload::Payload,
    /// Estimated time that the caller spent on earlier tries before it sent this request.
    pub(crate) waited_before: clock::Millis,
}

/// Attempt that has ended, and its server.
struct Ended {
    backend: sync::Arc<backend::Backend>,
    result: attempt::AttemptResult,
}

type AttemptFuture = pin::Pin<Box<dyn Future<Output = Ended> + Send>>;

/// Attempts of one request and their results so far.
pub(crate) struct Exchange<'a> {
    route: &'a table::Route,
    /// Service of all attempts.
    service_name: String,
    priority: u32,
    home_regions: borrow::Cow<'a, [String]>,
    identity: Option<caller::Identity>,
    head: sync::Arc<attempt::Head>,
    /// Whether the request may be sent again although an earlier attempt may have run.
    is_retryable: bool,
    payload: Option<payload::Payload>,
    /// Fingerprint of the request, once it was needed.
    fingerprint: Option<fingerprint::Fingerprint>,
    /// Servers of all attempts.
    tried: Vec<sync::Arc<backend::Backend>>,
    /// Number of attempts, except those that ended before the request was written.
    attempts_count: u32,
    /// Server error that is forwarded if no attempt succeeds.
    fallback: Option<attempt::Response>,
    /// Reason why it is unknown whether an attempt ran.
    unknown_reason: Option<outcome::Reason>,
    rejection: Option<picker::Rejection>,
    /// Why the last attempt was not sent for its caller.
    refusal: Option<identify::Refusal>,
    is_hedged: bool,
    hedge_tries_count: u32,
    /// Estimated time that the caller spent on earlier tries before it sent this request.
    waited_before: clock::Millis,
    /// Whether an attempt was admitted as a trial.
    is_trial: bool,
    /// Retry budget of each token that was withdrawn: one for each written attempt but the first.
    withdrawn: Vec<sync::Arc<budget::Budget>>,
    /// Whether the division of a rollout has counted the request.
    is_divided: bool,
}

/// Service of the next attempt, in the current table.
struct Target {
    table: sync::Arc<table::Table>,
    service_index: usize,
}

impl Target {
    fn service(&self) -> &table::Service {
        &self.table.services[self.service_index]
    }
}

type PickResult = Result<picker::Picked, picker::Rejection>;

/// Next step of a request.
enum Step {
    /// Wait for the attempts in flight.
    Wait,
    /// Start another attempt.
    Retry,
    /// Return the final response.
    Done(call::FinalResponse),
}

/// Event that ends a wait.
enum Event {
    /// An attempt ended.
    AttemptEnded(Ended),
    /// A hedge is due.
    HedgeDue(hedge_timer::Trigger),
    /// The deadline of the request has passed.
    Deadline,
    /// The process ends before the attempts do.
    ProcessEnds,
}

async fn next_event(
    call: &call::Call<'_>,
    attempts: &mut FuturesUnordered<AttemptFuture>,
    hedge_timer: &mut Option<hedge_timer::HedgeTimer>,
) -> Event {
    let hedge_due = async {
        match hedge_timer {
            Some(timer) => timer.wait(call.shared).await,
            None => std::future::pending().await,
        }
    };
    let time_left = time::Duration::from_millis(call.time_left().0);
    tokio::select! {
        biased;
        Some(ended) = attempts.next() => Event::AttemptEnded(ended),
        trigger = hedge_due => Event::HedgeDue(trigger),
        () = tokio::time::sleep(time_left) => Event::Deadline,
        () = call.shared.wait_ending() => Event::ProcessEnds,
    }
}

impl<'a> Exchange<'a> {
    /// Creates the state of a request without attempts.
    pub(crate) fn new(request: Request<'a>) -> Exchange<'a> {
        let is_idempotent = request.route.spec.class.is_idempotent();
        Exchange {
            route: request.route,
            service_name: request.service_name,
            priority: request.priority,
            home_regions: request.home_regions,
            identity: request.identity,
            head: sync::Arc::new(request.head),
            is_retryable: is_idempotent && request.payload.rest.is_none(),
            payload: Some(request.payload),
            fingerprint: None,
            tried: Vec::new(),
            attempts_count: 0,
            fallback: None,
            unknown_reason: None,
            rejection: None,
            refusal: None,
            is_hedged: false,
            hedge_tries_count: 0,
            waited_before: request.waited_before,
            is_trial: false,
            withdrawn: Vec::new(),
            is_divided: false,
        }
    }

    /// Sends the request, retries and hedges it where allowed, and returns the final response.
    pub(crate) async fn run(mut self, call: &mut call::Call<'_>) -> call::FinalResponse {
        let mut attempts: FuturesUnordered<AttemptFuture> = FuturesUnordered::new();
        let mut hedge_timer = self.start_attempt(call, &mut attempts).await;
        loop {
            if attempts.is_empty() {
                return self.finish(call);
            }
            let step = match next_event(call, &mut attempts, &mut hedge_timer).await {
                Event::AttemptEnded(ended) => {
                    self.on_attempt_ended(call, ended, attempts.is_empty())
                }
                Event::Deadline => {
                    call.trace.push_event(call.elapsed(), "deadline");
                    self.unknown_reason = Some(outcome::Reason::Deadline);
                    return self.finish(call);
                }
                Event::ProcessEnds => {
                    call.trace.push_event(call.elapsed(), "process-ends");
                    self.unknown_reason = Some(outcome::Reason::ShuttingDown);
                    return self.finish(call);
                }
                Event::HedgeDue(trigger) => {
                    call.trace.push_hedge(call.elapsed(), trigger);
                    match self.hedge(call, &mut attempts, &mut hedge_timer).await {
                        Some(ended) => self.on_attempt_ended(call, ended, attempts.is_empty()),
                        None => Step::Wait,
                    }
                }
            };
            match step {
                Step::Wait => {}
                Step::Done(response) => return response,
                Step::Retry => hedge_timer = self.start_attempt(call, &mut attempts).await,
            }
        }
    }

    /// Returns the final response once no attempt is in flight.
    fn finish(self, call: &mut call::Call<'_>) -> call::FinalResponse {
        if let Some(response) = self.fallback {
            return forward(response);
        }
        if let Some(reason) = self.unknown_reason {
            return call.unknown(reason);
        }
        if let Some(refusal) = self.refusal {
            return caller::refuse(call, refusal);
        }
        let (reason, retry_after) = match self.rejection {
            Some(rejection) if rejection.reason == outcome::Reason::CrashesServers => {
                return call.banned();
            }
            Some(rejection) => (rejection.reason, Some(rejection.retry_after)),
            None => (outcome::Reason::NoServer, None),
        };
        call.not_run(reason, retry_after)
    }

    /// Starts a hedge, or defers it a few times if that is not possible now. Returns the result of
    /// an attempt that ended while a server was picked.
    async fn hedge(
        &mut self,
        call: &mut call::Call<'_>,
        attempts: &mut FuturesUnordered<AttemptFuture>,
        hedge_timer: &mut Option<hedge_timer::HedgeTimer>,
    ) -> Option<Ended> {
        let before = self.attempts_count;
        if let Some(target) = self.target(call) {
            let result = tokio::select! {
                biased;
                Some(ended) = attempts.next() => return Some(ended),
                result = self.pick_server(call, &target) => result,
            };
            self.launch(call, attempts, &target, result, true);
        }
        self.hedge_tries_count += 1;
        self.is_hedged =
            self.attempts_count > before || self.hedge_tries_count >= HEDGE_TRIES_MAX_COUNT;
        match hedge_timer {
            Some(timer) if !self.is_hedged => {
                timer.pause(call.shared.clock.now() + HEDGE_RETRY_MS);
            }
            _ => *hedge_timer = None,
        }
        None
    }

    /// Picks a server and starts an attempt, if the limits allow. Returns the timer for a hedge.
    async fn start_attempt(
        &mut self,
        call: &mut call::Call<'_>,
        attempts: &mut FuturesUnordered<AttemptFuture>,
    ) -> Option<hedge_timer::HedgeTimer> {
        if self.is_banned(call) {
            self.reject_banned(call);
            return None;
        }
        if !self.can_end_before_stop(call) {
            let reason = outcome::Reason::ShuttingDown;
            call.trace.push_event(call.elapsed(), reason.name());
            // Other processes serve the caller at once.
            self.rejection = Some(picker::Rejection::new(reason, clock::Millis::ZERO));
            return None;
        }
        rollouts::wait_if_stale(call.shared, &self.service_name).await;
        let target = self.target(call)?;
        let result = self.pick_server(call, &target).await;
        self.launch(call, attempts, &target, result, false)
    }

    fn reject_banned(&mut self, call: &mut call::Call<'_>) {
        let reason = outcome::Reason::CrashesServers;
        call.trace.push_event(call.elapsed(), reason.name());
        metrics::increment(&call.shared.metrics.refused_banned);
        self.rejection = Some(picker::Rejection::new(reason, clock::Millis::ZERO));
    }

    /// Returns whether another attempt is likely to end before a stopping process cuts it off.
    fn can_end_before_stop(&self, call: &call::Call<'_>) -> bool {
        let service_time_ms = self.route.estimate.service_time_ms();
        admission::can_end_before_stop(call.shared.stop_time_left(), service_time_ms)
    }

    /// Returns the target of another attempt, unless the limit of attempts is reached.
    fn target(&self, call: &call::Call<'_>) -> Option<Target> {
        if self.attempts_count >= self.route.spec.attempts_max {
            return None;
        }
        // The table may have changed since the request arrived.
        let table = call.shared.table.load_full();
        let index = table
            .services
            .iter()
            .position(|s| s.spec.name == self.service_name);
        index.map(|service_index| Target {
            table,
            service_index,
        })
    }

    /// Processes the result of an attempt; `is_last` is true if no other one is in flight.
    fn on_attempt_ended(&mut self, call: &mut call::Call<'_>, ended: Ended, is_last: bool) -> Step {
        match ended.result {
            attempt::AttemptResult::Answered(response) => {
                call.trace
                    .push_event(call.elapsed(), response.status.as_str());
                if response.status.is_success() {
                    self.on_served(call);
                }
                self.on_response(response, is_last)
            }
            attempt::AttemptResult::NotRun(reason, was_written) => {
                call.trace.push_event(call.elapsed(), reason.name());
                if !was_written {
                    self.on_unwritten();
                }
                self.rejection = Some(picker::Rejection::new(reason, self.retry_after(call)));
                self.retry_or_wait(is_last)
            }
            attempt::AttemptResult::Refused(refusal) => {
                self.on_unwritten();
                self.refusal = Some(refusal);
                Step::Wait
            }
            attempt::AttemptResult::Unknown(reason) => {
                call.trace.push_event(call.elapsed(), reason.name());
                self.on_unknown(reason, is_last)
            }
            attempt::AttemptResult::Disconnected => {
                let reason = outcome::Reason::BrokenAnswer;
                call.trace.push_event(call.elapsed(), reason.name());
                if let Some(fingerprint) = self.fingerprint(call) {
                    call.trace.push_fingerprint(fingerprint);
                    crashes::suspect(call.shared, &ended.backend, fingerprint);
                    // A retry of a request that has crashed servers would crash the next one.
                    if call.shared.gossip.crashes_count(fingerprint) > 0 {
                        self.is_retryable = false;
                    }
                }
                self.on_unknown(reason, is_last)
            }
        }
    }

    fn on_unknown(&mut self, reason: outcome::Reason, is_last: bool) -> Step {
        self.unknown_reason = Some(reason);
        match self.is_retryable {
            true => self.retry_or_wait(is_last),
            false => Step::Wait,
        }
    }

    /// Returns whether the request is banned, since servers crashed under it.
    fn is_banned(&mut self, call: &call::Call<'_>) -> bool {
        let gossip = &call.shared.gossip;
        gossip.has_suspected()
            && self
                .fingerprint(call)
                .is_some_and(|fingerprint| gossip.is_banned(fingerprint))
    }

    /// Notes that the request was served, so that no crash is attributed to it.
    fn on_served(&mut self, call: &call::Call<'_>) {
        let gossip = &call.shared.gossip;
        if !gossip.has_suspected() {
            return;
        }
        if let Some(fingerprint) = self.fingerprint(call)
            && gossip.clear(call.shared.clock.now(), fingerprint)
        {
            metrics::increment(&call.shared.metrics.requests_cleared);
        }
    }

    /// Returns the time after which the caller of a request that a server refused should retry.
    fn retry_after(&self, call: &call::Call<'_>) -> clock::Millis {
        let table = call.shared.table.load();
        let mut services = table.services.iter();
        let service = services.find(|service| service.spec.name == self.service_name);
        let home_regions = &self.home_regions;
        let now = call.shared.clock.now();
        let hold = service.and_then(|service| picker::hold_left(service, home_regions, now));
        match hold {
            Some(hold) => {
                admission::retry_after_backoff(hold.left, call.time_left(), &mut call.shared.rng())
            }
            None if service.is_some_and(|service| service.history.shedding.is_active(now)) => {
                precedence::SHED_RETRY_MS.min(clock::Millis(call.time_left().0 / 3))
            }
            // About half of the requests that run on the server will have ended by then.
            None => clock::Millis((self.route.estimate.service_time_ms() / 2.0) as u64),
        }
    }

    /// Takes back an attempt that reached no server, and the token that it cost.
    fn on_unwritten(&mut self) {
        self.attempts_count -= 1;
        if let Some(budget) = self.withdrawn.pop() {
            budget.refund();
        }
    }

    fn retry_or_wait(&self, is_last: bool) -> Step {
        let is_allowed =
            self.attempts_count < self.route.spec.attempts_max && self.payload.is_some();
        match is_last && is_allowed {
            true => Step::Retry,
            false => Step::Wait,
        }
    }

    fn on_response(&mut self, response: attempt::Response, is_last: bool) -> Step {
        if response.status.is_server_error() && self.is_retryable {
            self.fallback = Some(response);
            return self.retry_or_wait(is_last);
        }
        // A few canary responses must not change what is expected of the old version.
        if response.status.is_success() && response.selection != rollouts::Selection::Canary {
            let (elapsed, slowdown) = (response.elapsed, response.slowdown_percent);
            let estimate = &self.route.estimate;
            estimate.record_response(elapsed, slowdown, response.buffered_bytes, response.room);
        }
        Step::Done(forward(response))
    }
}

fn forward(received: attempt::Response) -> call::FinalResponse {
    let mut response = hyper::Response::new(received.body);
    *response.status_mut() = received.status;
    *response.headers_mut() = received.headers;
    head::strip_hop_headers(response.headers_mut());
    call::FinalResponse {
        response,
        outcome: outcome::Outcome::Answered,
    }
}

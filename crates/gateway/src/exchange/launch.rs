//! Starts the attempts of a request: picks their servers, and applies the limits of attempts, of the
//! retry budget and of requests that crash servers.

use super::{AttemptFuture, Ended, Exchange, PickResult, Target};
use crate::{
    attempt, call, fingerprint, hedge_timer, metrics, payload, picker, precedence, rollouts, table,
};
use futures_util::stream::FuturesUnordered;
use nutmegdale_base::{class, clock};
use nutmegdale_dispatch::{admission, hedge, placement};
use std::sync;

impl Exchange<'_> {
    /// Picks the server of another attempt, by its selection during a rollout. If there is no such
    /// server, the attempt goes to the usual ones.
    pub(super) async fn pick_server(
        &mut self,
        call: &call::Call<'_>,
        target: &Target,
    ) -> PickResult {
        let usual = rollouts::Selection::Usual;
        if let Some(division) = &target.service().rollout {
            let is_first = !std::mem::replace(&mut self.is_divided, true);
            let selection = division.select(call.shared, is_first);
            if selection != usual {
                let result = self.pick_selected(call, target, selection).await;
                if result.is_ok() {
                    return result;
                }
                if selection == rollouts::Selection::Canary {
                    division.release(call.shared);
                }
            }
        }
        self.pick_selected(call, target, usual).await
    }

    pub(super) async fn pick_selected(
        &mut self,
        call: &call::Call<'_>,
        target: &Target,
        selection: rollouts::Selection,
    ) -> PickResult {
        let profile = placement::RequestProfile {
            service_time_ms: self.route.estimate.service_time_ms(),
            transfer_kb: self.body_kb() + self.route.estimate.response_kb(),
            saturation_factor: self.route.estimate.saturation_factor(),
            target_ms: self.route.spec.target_latency.0 as f64,
        };
        let query = picker::Query {
            service_index: target.service_index,
            profile,
            estimate: &self.route.estimate,
            home_regions: &self.home_regions,
            priority: self.priority,
            is_returning: self.waited_before > clock::Millis::ZERO,
            tried: &self.tried,
            time_left: self.time_left(call),
            is_trial: self.is_trial,
            selection,
        };
        picker::pick(call.shared, &target.table, &query).await
    }

    /// Starts an attempt at the picked server, if the retry budget allows. Returns the timer for a
    /// hedge.
    pub(super) fn launch(
        &mut self,
        call: &mut call::Call<'_>,
        attempts: &mut FuturesUnordered<AttemptFuture>,
        target: &Target,
        result: PickResult,
        is_hedge: bool,
    ) -> Option<hedge_timer::HedgeTimer> {
        let shared = call.shared;
        let picked = match result {
            Ok(picked) => picked,
            Err(rejection) => {
                call.trace.push_rejection(call.elapsed(), &rejection);
                if !is_hedge {
                    self.rejection = Some(rejection);
                }
                return None;
            }
        };
        // Other processes may have banned the request while a server was picked.
        if self.is_banned(call) {
            self.reject_banned(call);
            return None;
        }
        if is_hedge && !self.is_worth_hedging(&picked, call) {
            call.trace.push_event(call.elapsed(), "no-quiet-server");
            return None;
        }
        if self.attempts_count > 0
            && !self.withdraw_budget(call, &target.table, target.service_index)
        {
            call.trace.push_event(call.elapsed(), "over-budget");
            return None;
        }
        if self.attempts_count > 0 {
            metrics::increment(match is_hedge {
                true => &shared.metrics.hedges,
                false => &shared.metrics.retries,
            });
        }
        let path = &target.service().spec.health_path;
        let hedge_timer = self.new_hedge_timer(call, &picked, path);
        let division = target.service().rollout.as_ref();
        let now = shared.clock.now();
        let observer = division
            .and_then(|division| division.observer(&self.route.spec.name, &picked.backend, now));
        self.push_attempt(call, attempts, picked, observer);
        hedge_timer
    }

    /// Returns the size of the body in kilobytes, also of the part that is not buffered.
    pub(super) fn body_kb(&self) -> f64 {
        let bytes = self.payload.as_ref().map_or(0, payload::Payload::len_hint);
        bytes as f64 / 1_000.0
    }

    pub(super) fn time_left(&self, call: &call::Call<'_>) -> admission::TimeLeft {
        let elapsed = self.waited_before + call.elapsed();
        admission::TimeLeft {
            to_target: self.route.spec.target_latency.since(elapsed),
            to_deadline: call.time_left(),
        }
    }

    pub(super) fn is_worth_hedging(&self, picked: &picker::Picked, call: &call::Call<'_>) -> bool {
        hedge::is_worthwhile(&picked.prediction, call.time_left())
            && !picked.backend.is_cold(call.shared.clock.now())
    }

    /// Withdraws one retry or hedge from the budget; returns whether that was possible.
    pub(super) fn withdraw_budget(
        &mut self,
        call: &call::Call<'_>,
        table: &table::Table,
        service_index: usize,
    ) -> bool {
        let shared = call.shared;
        let to_target = self.time_left(call).to_target;
        let service_time_ms = self.route.estimate.service_time_ms();
        let service = &table.services[service_index];
        let kept = precedence::kept_tokens(service, self.priority, to_target, service_time_ms);
        let bound = &shared.settings.bounds.retry_budget;
        let (budget, now) = (&service.budget, shared.clock.now());
        let is_allowed = budget.withdraw_above(now, bound, table.processes_count(), kept);
        match is_allowed {
            true => self.withdrawn.push(sync::Arc::clone(budget)),
            false => metrics::increment(&shared.metrics.over_budget),
        }
        is_allowed
    }

    /// Returns the timer for a hedge of this attempt, if the request may be hedged.
    pub(super) fn new_hedge_timer(
        &self,
        call: &call::Call<'_>,
        picked: &picker::Picked,
        health_path: &str,
    ) -> Option<hedge_timer::HedgeTimer> {
        let may_hedge = self.is_retryable
            && !self.is_hedged
            && self.attempts_count + 1 < self.route.spec.attempts_max
            && self.route.spec.class != class::Class::OneTimeFiling;
        let pending = hedge::Pending {
            sent: call.shared.clock.now(),
            to_target: self.time_left(call).to_target,
            service_time_ms: self.route.estimate.service_time_ms(),
            predicted_ms: picked.prediction.response_ms,
        };
        let backend = sync::Arc::clone(&picked.backend);
        may_hedge.then(|| hedge_timer::HedgeTimer::new(backend, health_path, pending))
    }

    pub(super) fn push_attempt(
        &mut self,
        call: &mut call::Call<'_>,
        attempts: &mut FuturesUnordered<AttemptFuture>,
        picked: picker::Picked,
        observer: Option<rollouts::Observer>,
    ) {
        let Some(payload) = self.next_payload(call) else {
            return;
        };
        if picked.is_trial {
            self.is_trial = true;
            call.trace.push_event(call.elapsed(), "trial");
        }
        if picked.selection == rollouts::Selection::Canary {
            call.trace.push_event(call.elapsed(), "canary");
        }
        call.trace
            .push_attempt(call.elapsed(), picked.backend.id(), &picked.prediction);
        if let Some(leaving) = &picked.leaving {
            call.shared.metrics.count_leaving(leaving);
            call.trace.push_leaving(leaving);
        }
        self.tried.push(sync::Arc::clone(&picked.backend));
        self.attempts_count += 1;
        let attempt = attempt::Attempt {
            backend: picked.backend,
            head: sync::Arc::clone(&self.head),
            request_id: sync::Arc::clone(&call.request_id),
            payload,
            identity: self.identity.clone(),
            is_one_time: !self.route.spec.class.is_idempotent(),
            deadline: call.deadline,
            prediction: picked.prediction,
            permit: picked.permit,
            selection: picked.selection,
            observer,
        };
        let shared = sync::Arc::clone(call.shared);
        let backend = sync::Arc::clone(&attempt.backend);
        attempts.push(Box::pin(async move {
            let result = attempt::run(&shared, attempt).await;
            Ended { backend, result }
        }));
    }

    /// Returns the fingerprint of the request; `None` if its body is gone.
    pub(super) fn fingerprint(
        &mut self,
        call: &call::Call<'_>,
    ) -> Option<fingerprint::Fingerprint> {
        let token = &call.shared.settings.cluster_token;
        if let (None, Some(payload)) = (self.fingerprint, &self.payload) {
            let account = call.account.as_ref().map(|account| account.name.as_str());
            let fingerprint = fingerprint::Fingerprint::of(token, account, &self.head, payload);
            self.fingerprint = Some(fingerprint);
        }
        self.fingerprint
    }

    /// Returns the body for the next attempt. A streamed body can be sent only once.
    pub(super) fn next_payload(&mut self, call: &call::Call<'_>) -> Option<payload::Payload> {
        let payload = self.payload.as_ref()?;
        if payload.rest.is_some() {
            self.fingerprint(call);
            return self.payload.take();
        }
        Some(payload::Payload::from_bytes(payload.buffered.clone()))
    }
}

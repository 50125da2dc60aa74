//! Server selection, retries and hedging of one request.
//!
//! Invariants: a request that is not idempotent, or has a body, is written to at most one server,
//! and only once; retries and hedges of others stay within the service's budget and the caller's
//! deadline; and the outcome is unknown if any send may have run and none was answered.

use crate::check;
use crate::forward;
use crate::in_flight;
use crate::proxy;
use crate::recheck;
use crate::snapshot;
use hyper::body::Body;
use nutmegdale_base::{class, clock, entity, outcome, rng};
use nutmegdale_choice::policy;
use nutmegdale_grants::lease;
use nutmegdale_routing::permit;
use nutmegdale_rpc::listen;
use std::cell;
use std::pin;
use std::sync;
use std::sync::atomic;
use std::time;

/// Most servers that one request is tried at.
const ATTEMPTS_MAX_COUNT: usize = 3;

thread_local! {
    static POLICY_CONTEXT: cell::RefCell<policy::Context> =
        cell::RefCell::new(policy::Context { rng: Box::new(rng::SplitMix64::new(thread_seed())) });
}

fn thread_seed() -> u64 {
    static NEXT: atomic::AtomicU64 = atomic::AtomicU64::new(0);
    nutmegdale_telemetry::clock::boot_id() ^ NEXT.fetch_add(1, atomic::Ordering::Relaxed)
}

/// Server that was selected for one send.
#[derive(Debug)]
pub struct SelectedServer {
    /// Key of the server in the snapshot's view.
    pub server: entity::Server,
    /// Permit for its region.
    pub permit: permit::Permit,
    /// Lease that the request counts against, if the server is cold.
    pub lease: Option<sync::Arc<lease::Lease>>,
}

/// Options of one send.
#[derive(Clone, Copy)]
pub struct SendOptions<'a> {
    /// Time after the deadline during which a late response head is still accepted.
    pub late_ms: clock::Millis,
    /// Last check before the first byte is written; `false` cancels the send.
    pub may_send: &'a (dyn Fn() -> bool + Sync),
}

impl std::fmt::Debug for SendOptions<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("SendOptions")
            .field("late_ms", &self.late_ms)
            .finish_non_exhaustive()
    }
}

/// Response, with the region of the server that sent it.
type RegionalResponse = (hyper::Response<listen::Body>, entity::Region);
type PendingAttempt<'a> = pin::Pin<Box<dyn Future<Output = forward::AttemptResult> + Send + 'a>>;

impl proxy::Shared {
    /// Selects a server for a request, except those in `tried`.
    ///
    /// A cold server whose lease this process holds is preferred for the first attempt of an
    /// idempotent request while it has free slots, since it warms up under load. If no warm server
    /// is available, it gets any request.
    pub fn select_server(
        &self,
        snapshot: &snapshot::Snapshot,
        checked: &check::CheckedRequest,
        tried: &[entity::Server],
    ) -> Option<SelectedServer> {
        if checked.class.is_idempotent()
            && tried.is_empty()
            && let Some(selected) = self.select_cold_server(snapshot, checked, tried)
        {
            return Some(selected);
        }
        let view = policy::RequestView {
            class: checked.priority,
            now: self.clock.now(),
            tried,
            regions_mask: checked.regions.mask(),
        };
        let candidates = &snapshot.candidates[checked.service];
        let server = POLICY_CONTEXT.with_borrow_mut(|cx| self.policy.choose(cx, candidates, view));
        let Some(server) = server else {
            return self.select_cold_server(snapshot, checked, tried);
        };
        let permit = checked
            .regions
            .permit(snapshot.view.servers[server].region)?;
        Some(SelectedServer {
            server,
            permit,
            lease: None,
        })
    }

    fn select_cold_server(
        &self,
        snapshot: &snapshot::Snapshot,
        checked: &check::CheckedRequest,
        tried: &[entity::Server],
    ) -> Option<SelectedServer> {
        let cold = &snapshot.cold_servers[checked.service];
        let mut usable = cold.iter().filter(|server| !tried.contains(server));
        usable.find_map(|server| {
            let view = &snapshot.view.servers[*server];
            let permit = checked.regions.permit(view.region)?;
            let state = &snapshot.servers[*server];
            // Requests sent while the server was warm count too.
            let has_room = state.signal.in_flight() < view.cold_slots
                && state.lease.begin(self.clock.now(), view.cold_slots);
            has_room.then(|| SelectedServer {
                server: *server,
                permit,
                lease: Some(sync::Arc::clone(&state.lease)),
            })
        })
    }

    /// Sends a request to a selected server.
    ///
    /// The configuration lease and the newest snapshot are checked again right before the first byte,
    /// since the process may have been suspended or the catalogue changed in the meantime.
    pub async fn send(
        &self,
        snapshot: &snapshot::Snapshot,
        checked: &check::CheckedRequest,
        selected: SelectedServer,
        req: hyper::Request<listen::Body>,
    ) -> forward::AttemptResult {
        let options = SendOptions {
            late_ms: clock::Millis::ZERO,
            may_send: &|| true,
        };
        self.send_with(snapshot, checked, selected, req, options)
            .await
    }

    /// Like [`proxy::Shared::send`], with explicit options.
    pub async fn send_with(
        &self,
        snapshot: &snapshot::Snapshot,
        checked: &check::CheckedRequest,
        selected: SelectedServer,
        req: hyper::Request<listen::Body>,
        options: SendOptions<'_>,
    ) -> forward::AttemptResult {
        let server = selected.server;
        let state = &snapshot.servers[server];
        let is_cold = selected.lease.is_some();
        let flight =
            in_flight::InFlight::begin(state, &self.clock, selected.lease, &self.state_reported);
        if snapshot.view.servers[selected.server].region != selected.permit.region() {
            return forward::AttemptResult::NotRun(outcome::Reason::HomeRegion, Some(req));
        }
        let mut deadline = checked.deadline;
        let mut response_by = deadline.extended(options.late_ms);
        if is_cold {
            let now = self.clock.now();
            deadline = deadline.within(now, in_flight::COLD_REQUEST_TIMEOUT_MS);
            response_by = response_by.within(now, in_flight::COLD_REQUEST_TIMEOUT_MS);
        }
        let may_send = || {
            if !self.published.has_lease(self.clock.now()) {
                return Err(outcome::Reason::ConfigLease);
            }
            let newer = self.published.load_if_newer(snapshot);
            if newer.is_some_and(|newer| !recheck::still_permits(&newer, snapshot, checked, server))
            {
                return Err(outcome::Reason::NoServer);
            }
            if is_cold && !state.lease.is_valid(self.clock.now()) {
                return Err(outcome::Reason::Overload);
            }
            let may_send = (options.may_send)();
            may_send.then_some(()).ok_or(outcome::Reason::Deadline)
        };
        let counters = &snapshot.counters;
        let guard = counters.begin(&snapshot.view, checked.route, selected.server);
        let result = forward::send(flight, req, deadline, response_by, may_send).await;
        guard.end(&result);
        result
    }

    /// Sends a request, with retries and hedges as its class permits.
    ///
    /// # Errors
    ///
    /// Returns the outcome if there is no response.
    pub async fn forward(
        &self,
        snapshot: &snapshot::Snapshot,
        checked: &check::CheckedRequest,
        req: hyper::Request<listen::Body>,
    ) -> Result<RegionalResponse, outcome::Outcome> {
        snapshot.services[checked.service].retries.deposit();
        let may_retry = checked.class.is_idempotent()
            && (req.method() == hyper::Method::GET || req.method() == hyper::Method::HEAD)
            && req.body().is_end_stream();
        if !may_retry {
            return self.send_once(snapshot, checked, req).await;
        }
        let (head, _) = req.into_parts();
        let mut read = HedgedRead {
            shared: self,
            snapshot,
            checked,
            head,
            tried: Vec::with_capacity(ATTEMPTS_MAX_COUNT),
            outcome: None,
            fallback: None,
        };
        read.run().await
    }

    /// Tries servers until one of them has received the first byte of the request.
    async fn send_once(
        &self,
        snapshot: &snapshot::Snapshot,
        checked: &check::CheckedRequest,
        mut req: hyper::Request<listen::Body>,
    ) -> Result<RegionalResponse, outcome::Outcome> {
        use outcome::Outcome;
        let mut tried = Vec::with_capacity(ATTEMPTS_MAX_COUNT);
        let mut reason = outcome::Reason::NoServer;
        while tried.len() < ATTEMPTS_MAX_COUNT {
            let Some(selected) = self.select_server(snapshot, checked, &tried) else {
                break;
            };
            tried.push(selected.server);
            let region = selected.permit.region();
            match self.send(snapshot, checked, selected, req).await {
                forward::AttemptResult::Answered(response) => return Ok((response, region)),
                forward::AttemptResult::Unknown(reason) => return Err(Outcome::Unknown(reason)),
                forward::AttemptResult::NotRun(cause, None) => {
                    return Err(Outcome::NotRun(cause));
                }
                forward::AttemptResult::NotRun(cause, Some(unsent)) => {
                    reason = cause;
                    req = unsent;
                }
            }
        }
        Err(Outcome::NotRun(reason))
    }
}

/// Idempotent request that may be retried and hedged.
struct HedgedRead<'a> {
    shared: &'a proxy::Shared,
    snapshot: &'a snapshot::Snapshot,
    checked: &'a check::CheckedRequest,
    head: hyper::http::request::Parts,
    tried: Vec<entity::Server>,
    /// Outcome of attempts without a response; unknown takes precedence over not run.
    outcome: Option<outcome::Outcome>,
    /// Server error response, returned if no attempt gets a better one.
    fallback: Option<RegionalResponse>,
}

impl<'a> HedgedRead<'a> {
    async fn run(&mut self) -> Result<RegionalResponse, outcome::Outcome> {
        let started = time::Instant::now();
        let service = &self.snapshot.services[self.checked.service];
        let Some(mut first) = self.start_attempt() else {
            return Err(outcome::Outcome::NotRun(outcome::Reason::NoServer));
        };
        let mut first_region = self.last_region();
        let mut second: Option<(PendingAttempt<'a>, entity::Region)> = None;
        let hedge_delay = time::Duration::from_micros(service.hedge.delay_us());
        let hedge = tokio::time::sleep(hedge_delay);
        tokio::pin!(hedge);
        let mut may_hedge = self.checked.priority == class::Class::UrgentLookup;
        loop {
            let (result, region) = tokio::select! {
                biased;
                result = &mut first => (result, first_region),
                (result, region) = await_second_send(&mut second) => {
                    second = None;
                    match self.process_result(result, region) {
                        Some(response) => return Ok(self.record_latency(started, response)),
                        None => continue,
                    }
                }
                () = &mut hedge, if may_hedge => {
                    may_hedge = false;
                    second = self.start_second_send();
                    continue;
                }
            };
            let is_unsent = matches!(result, forward::AttemptResult::NotRun(_, Some(_)));
            if let Some(response) = self.process_result(result, region) {
                return Ok(self.record_latency(started, response));
            }
            if let Some((pending, region)) = second.take() {
                (first, first_region) = (pending, region);
                continue;
            }
            // If nothing was sent, the next attempt still is the first send and needs no budget.
            let next = if is_unsent {
                self.start_attempt()
                    .map(|pending| (pending, self.last_region()))
            } else {
                self.start_second_send()
            };
            match next {
                Some((pending, region)) => (first, first_region) = (pending, region),
                None => return self.final_result(),
            }
        }
    }

    fn record_latency(
        &self,
        started: time::Instant,
        response: RegionalResponse,
    ) -> RegionalResponse {
        let latency_us = u64::try_from(started.elapsed().as_micros()).unwrap_or(u64::MAX);
        let service = &self.snapshot.services[self.checked.service];
        service.hedge.observe(latency_us);
        response
    }

    /// Returns the region of the server of the latest attempt.
    fn last_region(&self) -> entity::Region {
        let last = self.tried.last().expect("an attempt was started");
        self.snapshot.view.servers[*last].region
    }

    /// Starts an attempt at a server that was not tried yet.
    fn start_attempt(&mut self) -> Option<PendingAttempt<'a>> {
        if self.tried.len() >= ATTEMPTS_MAX_COUNT {
            return None;
        }
        let (shared, snapshot, checked) = (self.shared, self.snapshot, self.checked);
        let selected = shared.select_server(snapshot, checked, &self.tried)?;
        self.tried.push(selected.server);
        let req = hyper::Request::from_parts(self.head.clone(), listen::full(""));
        Some(Box::pin(shared.send(snapshot, checked, selected, req)))
    }

    /// Starts a retry or hedge if the retry budget and the deadline allow it.
    fn start_second_send(&mut self) -> Option<(PendingAttempt<'a>, entity::Region)> {
        let service = &self.snapshot.services[self.checked.service];
        let now = self.shared.clock.now();
        let is_expired = self.checked.deadline.left(now).is_none();
        if is_expired || self.tried.len() >= ATTEMPTS_MAX_COUNT || !service.retries.withdraw() {
            return None;
        }
        let pending = self.start_attempt()?;
        service
            .second_sends_count
            .fetch_add(1, atomic::Ordering::Relaxed);
        Some((pending, self.last_region()))
    }

    /// Records the result of an attempt and returns the response unless it is a server error.
    fn process_result(
        &mut self,
        result: forward::AttemptResult,
        region: entity::Region,
    ) -> Option<RegionalResponse> {
        let outcome = match result {
            forward::AttemptResult::Answered(response) if response.status().is_server_error() => {
                self.fallback = Some((response, region));
                return None;
            }
            forward::AttemptResult::Answered(response) => return Some((response, region)),
            forward::AttemptResult::NotRun(reason, _) => outcome::Outcome::NotRun(reason),
            forward::AttemptResult::Unknown(reason) => outcome::Outcome::Unknown(reason),
        };
        if !matches!(self.outcome, Some(outcome::Outcome::Unknown(_))) {
            self.outcome = Some(outcome);
        }
        None
    }

    fn final_result(&mut self) -> Result<RegionalResponse, outcome::Outcome> {
        if let Some(response) = self.fallback.take() {
            return Ok(response);
        }
        let no_attempt = outcome::Outcome::NotRun(outcome::Reason::NoServer);
        Err(self.outcome.unwrap_or(no_attempt))
    }
}

/// Waits for the second send, or forever if there is none.
async fn await_second_send(
    second: &mut Option<(PendingAttempt<'_>, entity::Region)>,
) -> (forward::AttemptResult, entity::Region) {
    match second {
        Some((pending, region)) => (pending.await, *region),
        None => std::future::pending().await,
    }
}

//! Sends of one request: the choice of servers, retries and hedges.
//!
//! Invariants: a request that is not idempotent, or has a body, is written to one server at most
//! once; second sends of others stay within the service's budget and the caller's deadline; and an
//! outcome is unknown if any send may have run and none was answered.

use crate::check;
use crate::flight;
use crate::forward;
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

/// Servers that one request is offered to at most.
const ATTEMPTS_MAX_COUNT: usize = 3;

thread_local! {
    static CONTEXT: cell::RefCell<policy::Context> =
        cell::RefCell::new(policy::Context { rng: Box::new(rng::SplitMix64::new(thread_seed())) });
}

fn thread_seed() -> u64 {
    static NEXT: atomic::AtomicU64 = atomic::AtomicU64::new(0);
    nutmegdale_telemetry::clock::boot_id() ^ NEXT.fetch_add(1, atomic::Ordering::Relaxed)
}

/// Server that was chosen for one send.
#[derive(Debug)]
pub struct Chosen {
    /// The server.
    pub server: entity::Server,
    /// Permit for its region.
    pub permit: permit::Permit,
    /// Grant under which the send is counted, if the server is cold.
    pub lease: Option<sync::Arc<lease::Lease>>,
}

/// Rules of one send beyond those of its request.
#[derive(Clone, Copy)]
pub struct Rules<'a> {
    /// Time after the deadline in which the head of a late answer is still taken.
    pub late_ms: clock::Millis,
    /// Asked last, right before the first byte.
    pub may_send: &'a (dyn Fn() -> bool + Sync),
}

impl std::fmt::Debug for Rules<'_> {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Rules")
            .field("late_ms", &self.late_ms)
            .finish_non_exhaustive()
    }
}

/// Answer with the region of the server that gave it.
type Answered = (hyper::Response<listen::Body>, entity::Region);
type Sending<'a> = pin::Pin<Box<dyn Future<Output = forward::Attempt> + Send + 'a>>;

impl proxy::Shared {
    /// Chooses a server for a request that `tried` servers already got.
    ///
    /// A cold server that this process holds the grant of gets a first read whenever it has room,
    /// since it warms up by work; without a warm server it gets any request.
    pub fn choose(
        &self,
        snapshot: &snapshot::Snapshot,
        checked: &check::CheckedRequest,
        tried: &[entity::Server],
    ) -> Option<Chosen> {
        if checked.class.is_idempotent()
            && tried.is_empty()
            && let Some(chosen) = self.choose_cold(snapshot, checked, tried)
        {
            return Some(chosen);
        }
        let view = policy::RequestView {
            class: checked.priority,
            now: self.clock.now(),
            tried,
            regions_mask: checked.regions.mask(),
        };
        let candidates = &snapshot.candidates[checked.service];
        let server = CONTEXT.with_borrow_mut(|cx| self.policy.choose(cx, candidates, view));
        let Some(server) = server else {
            return self.choose_cold(snapshot, checked, tried);
        };
        let permit = checked
            .regions
            .permit(snapshot.view.servers[server].region)?;
        Some(Chosen {
            server,
            permit,
            lease: None,
        })
    }

    fn choose_cold(
        &self,
        snapshot: &snapshot::Snapshot,
        checked: &check::CheckedRequest,
        tried: &[entity::Server],
    ) -> Option<Chosen> {
        let cold = &snapshot.cold[checked.service];
        let mut usable = cold.iter().filter(|server| !tried.contains(server));
        usable.find_map(|server| {
            let view = &snapshot.view.servers[*server];
            let permit = checked.regions.permit(view.region)?;
            let live = &snapshot.live[*server];
            // Requests from when the server was warm count too.
            let has_room = live.signal.in_flight() < view.cold_slots
                && live.lease.begin(self.clock.now(), view.cold_slots);
            has_room.then(|| Chosen {
                server: *server,
                permit,
                lease: Some(sync::Arc::clone(&live.lease)),
            })
        })
    }

    /// Sends a request to a chosen server.
    ///
    /// The configuration lease and the newest snapshot are read again right before the first byte,
    /// since the process may have been stopped or the catalogue changed since the check.
    pub async fn send(
        &self,
        snapshot: &snapshot::Snapshot,
        checked: &check::CheckedRequest,
        chosen: Chosen,
        req: hyper::Request<listen::Body>,
    ) -> forward::Attempt {
        let rules = Rules {
            late_ms: clock::Millis::ZERO,
            may_send: &|| true,
        };
        self.send_by(snapshot, checked, chosen, req, rules).await
    }

    /// As [`proxy::Shared::send`], under rules of the caller's own.
    pub async fn send_by(
        &self,
        snapshot: &snapshot::Snapshot,
        checked: &check::CheckedRequest,
        chosen: Chosen,
        req: hyper::Request<listen::Body>,
        rules: Rules<'_>,
    ) -> forward::Attempt {
        let server = chosen.server;
        let live = &snapshot.live[server];
        let is_cold = chosen.lease.is_some();
        let flight = flight::Flight::begin(live, &self.clock, chosen.lease, &self.heard);
        if snapshot.view.servers[chosen.server].region != chosen.permit.region() {
            return forward::Attempt::NotRun(outcome::Reason::HomeRegion, Some(req));
        }
        let mut deadline = checked.deadline;
        let mut answer_by = deadline.extended(rules.late_ms);
        if is_cold {
            let now = self.clock.now();
            deadline = deadline.within(now, flight::COLD_WORK_MS);
            answer_by = answer_by.within(now, flight::COLD_WORK_MS);
        }
        let may_send = || {
            if !self.published.has_lease(self.clock.now()) {
                return Err(outcome::Reason::ConfigLease);
            }
            let newer = self.published.newer_than(snapshot);
            if newer.is_some_and(|newer| !recheck::still_permits(&newer, snapshot, checked, server))
            {
                return Err(outcome::Reason::NoServer);
            }
            if is_cold && !live.lease.is_valid(self.clock.now()) {
                return Err(outcome::Reason::Overload);
            }
            let may_send = (rules.may_send)();
            may_send.then_some(()).ok_or(outcome::Reason::Deadline)
        };
        let counts = &snapshot.counts;
        let sent = counts.begin(&snapshot.view, checked.route, chosen.server);
        let attempt = forward::send(flight, req, deadline, answer_by, may_send).await;
        sent.end(&attempt);
        attempt
    }

    /// Sends a request until it has an outcome.
    ///
    /// # Errors
    ///
    /// Returns the outcome of a request without an answer.
    pub async fn forward(
        &self,
        snapshot: &snapshot::Snapshot,
        checked: &check::CheckedRequest,
        req: hyper::Request<listen::Body>,
    ) -> Result<Answered, outcome::Outcome> {
        snapshot.services[checked.service].retries.call();
        let may_repeat = checked.class.is_idempotent()
            && (req.method() == hyper::Method::GET || req.method() == hyper::Method::HEAD)
            && req.body().is_end_stream();
        if !may_repeat {
            return self.send_once(snapshot, checked, req).await;
        }
        let (head, _) = req.into_parts();
        let mut reading = Reading {
            shared: self,
            snapshot,
            checked,
            head,
            tried: Vec::with_capacity(ATTEMPTS_MAX_COUNT),
            outcome: None,
            fallback: None,
        };
        reading.run().await
    }

    /// Offers a request to servers until one of them gets its first byte.
    async fn send_once(
        &self,
        snapshot: &snapshot::Snapshot,
        checked: &check::CheckedRequest,
        mut req: hyper::Request<listen::Body>,
    ) -> Result<Answered, outcome::Outcome> {
        use outcome::Outcome;
        let mut tried = Vec::with_capacity(ATTEMPTS_MAX_COUNT);
        let mut reason = outcome::Reason::NoServer;
        while tried.len() < ATTEMPTS_MAX_COUNT {
            let Some(chosen) = self.choose(snapshot, checked, &tried) else {
                break;
            };
            tried.push(chosen.server);
            let region = chosen.permit.region();
            match self.send(snapshot, checked, chosen, req).await {
                forward::Attempt::Answered(answer) => return Ok((answer, region)),
                forward::Attempt::Unknown(reason) => return Err(Outcome::Unknown(reason)),
                forward::Attempt::NotRun(why, None) => return Err(Outcome::NotRun(why)),
                forward::Attempt::NotRun(why, Some(unsent)) => {
                    reason = why;
                    req = unsent;
                }
            }
        }
        Err(Outcome::NotRun(reason))
    }
}

/// Read that may be sent to several servers.
struct Reading<'a> {
    shared: &'a proxy::Shared,
    snapshot: &'a snapshot::Snapshot,
    checked: &'a check::CheckedRequest,
    head: hyper::http::request::Parts,
    tried: Vec<entity::Server>,
    /// Worst outcome of sends that were not answered.
    outcome: Option<outcome::Outcome>,
    /// Answer of a failing server, for want of a better one.
    fallback: Option<Answered>,
}

impl<'a> Reading<'a> {
    async fn run(&mut self) -> Result<Answered, outcome::Outcome> {
        let started = time::Instant::now();
        let service = &self.snapshot.services[self.checked.service];
        let Some(mut first) = self.launch() else {
            return Err(outcome::Outcome::NotRun(outcome::Reason::NoServer));
        };
        let mut first_region = self.region();
        let mut second: Option<(Sending<'a>, entity::Region)> = None;
        let delay = time::Duration::from_micros(service.hedge.delay_us());
        let hedge = tokio::time::sleep(delay);
        tokio::pin!(hedge);
        let mut may_hedge = self.checked.priority == class::Class::UrgentLookup;
        loop {
            let (attempt, region) = tokio::select! {
                biased;
                attempt = &mut first => (attempt, first_region),
                (attempt, region) = wait_for(&mut second) => {
                    second = None;
                    match self.take(attempt, region) {
                        Some(answer) => return Ok(self.observe(started, answer)),
                        None => continue,
                    }
                }
                () = &mut hedge, if may_hedge => {
                    may_hedge = false;
                    second = self.second();
                    continue;
                }
            };
            let is_unsent = matches!(attempt, forward::Attempt::NotRun(_, Some(_)));
            if let Some(answer) = self.take(attempt, region) {
                return Ok(self.observe(started, answer));
            }
            if let Some((sending, region)) = second.take() {
                (first, first_region) = (sending, region);
                continue;
            }
            // A send that never left needs no budget: the next server is offered the first one.
            let next = if is_unsent {
                self.launch().map(|sending| (sending, self.region()))
            } else {
                self.second()
            };
            match next {
                Some((sending, region)) => (first, first_region) = (sending, region),
                None => return self.give_up(),
            }
        }
    }

    fn observe(&self, started: time::Instant, answer: Answered) -> Answered {
        let took = u64::try_from(started.elapsed().as_micros()).unwrap_or(u64::MAX);
        let service = &self.snapshot.services[self.checked.service];
        service.hedge.observe(took);
        answer
    }

    /// Returns the region of the server that was launched last.
    fn region(&self) -> entity::Region {
        let last = self.tried.last().expect("a send was launched");
        self.snapshot.view.servers[*last].region
    }

    /// Starts a send to a server that was not tried.
    fn launch(&mut self) -> Option<Sending<'a>> {
        if self.tried.len() >= ATTEMPTS_MAX_COUNT {
            return None;
        }
        let (shared, snapshot, checked) = (self.shared, self.snapshot, self.checked);
        let chosen = shared.choose(snapshot, checked, &self.tried)?;
        self.tried.push(chosen.server);
        let req = hyper::Request::from_parts(self.head.clone(), listen::full(""));
        Some(Box::pin(shared.send(snapshot, checked, chosen, req)))
    }

    /// Starts a second send if the budget and the deadline allow it.
    fn second(&mut self) -> Option<(Sending<'a>, entity::Region)> {
        let service = &self.snapshot.services[self.checked.service];
        let now = self.shared.clock.now();
        let is_late = self.checked.deadline.left(now).is_none();
        if is_late || self.tried.len() >= ATTEMPTS_MAX_COUNT || !service.retries.take() {
            return None;
        }
        let sending = self.launch()?;
        service
            .second_sends_count
            .fetch_add(1, atomic::Ordering::Relaxed);
        Some((sending, self.region()))
    }

    /// Takes the result of a send and returns the answer if it is good.
    fn take(&mut self, attempt: forward::Attempt, region: entity::Region) -> Option<Answered> {
        let outcome = match attempt {
            forward::Attempt::Answered(answer) if answer.status().is_server_error() => {
                self.fallback = Some((answer, region));
                return None;
            }
            forward::Attempt::Answered(answer) => return Some((answer, region)),
            forward::Attempt::NotRun(reason, _) => outcome::Outcome::NotRun(reason),
            forward::Attempt::Unknown(reason) => outcome::Outcome::Unknown(reason),
        };
        if !matches!(self.outcome, Some(outcome::Outcome::Unknown(_))) {
            self.outcome = Some(outcome);
        }
        None
    }

    fn give_up(&mut self) -> Result<Answered, outcome::Outcome> {
        if let Some(answer) = self.fallback.take() {
            return Ok(answer);
        }
        let nothing = outcome::Outcome::NotRun(outcome::Reason::NoServer);
        Err(self.outcome.unwrap_or(nothing))
    }
}

/// Waits for a second send; without one, forever.
async fn wait_for(
    second: &mut Option<(Sending<'_>, entity::Region)>,
) -> (forward::Attempt, entity::Region) {
    match second {
        Some((sending, region)) => (sending.await, *region),
        None => std::future::pending().await,
    }
}

//! The path of a request, from its head to its outcome.

use crate::forward;
use crate::head;
use crate::reserved;
use crate::response;
use crate::snapshot;
use http_body_util::BodyExt;
use hyper::body;
use nutmegdale_base::{class, clock, entity, header, outcome, rng};
use nutmegdale_choice::policy;
use nutmegdale_routing::permit;
use nutmegdale_rpc::listen;
use std::cell;
use std::net;
use std::sync;
use std::sync::atomic;

/// Servers that one idempotent request is sent to at most.
const ATTEMPTS_MAX_COUNT: usize = 3;

thread_local! {
    static CONTEXT: cell::RefCell<policy::Context> =
        cell::RefCell::new(policy::Context { rng: Box::new(rng::SplitMix64::new(thread_seed())) });
}

fn thread_seed() -> u64 {
    static NEXT: atomic::AtomicU64 = atomic::AtomicU64::new(0);
    nutmegdale_telemetry::clock::boot_id() ^ NEXT.fetch_add(1, atomic::Ordering::Relaxed)
}

/// What every request of an entry process shares.
#[allow(missing_debug_implementations)] // Holds trait objects.
pub struct Shared {
    /// Clock of the process.
    pub clock: sync::Arc<dyn clock::Clock>,
    /// Published snapshot.
    pub published: snapshot::Published,
    /// Server choice.
    pub policy: Box<dyn policy::Policy>,
    /// Requests that the entry VM answers itself.
    pub reserved: reserved::Reserved,
    /// Whether the process is shutting down.
    pub is_stopping: atomic::AtomicBool,
    /// Longest time of a request whose caller states no deadline.
    pub deadline_ms: clock::Millis,
    /// Number of the next request, for request ids.
    pub next_request: atomic::AtomicU64,
    /// Random number of this start of the process.
    pub boot: u64,
}

/// Service for callers and backend servers.
#[allow(missing_debug_implementations)] // Holds trait objects.
pub struct Proxy {
    shared: sync::Arc<Shared>,
}

impl Proxy {
    /// Creates the service.
    pub fn new(shared: sync::Arc<Shared>) -> Proxy {
        Proxy { shared }
    }
}

impl listen::Service for Proxy {
    fn call(
        &self,
        req: hyper::Request<body::Incoming>,
        _client: net::SocketAddr,
    ) -> listen::Answer {
        let shared = sync::Arc::clone(&self.shared);
        Box::pin(async move {
            if req.uri().path().starts_with(header::RESERVED_PATH) {
                return shared.reserved.answer(&shared, req).await;
            }
            shared.answer(req).await
        })
    }
}

/// Request that passed the checks of its head.
struct Checked {
    route: entity::Route,
    account: entity::Account,
    service: entity::Service,
    class: class::Class,
}

struct Refused(outcome::Reason, &'static str);

impl Shared {
    async fn answer(&self, req: hyper::Request<body::Incoming>) -> hyper::Response<listen::Body> {
        let snapshot = self.published.load();
        let version = snapshot.view.version;
        let checked = match self.check(&snapshot, &req) {
            Ok(checked) => checked,
            Err(Refused(reason, detail)) => {
                return response::refusal(outcome::Outcome::NotRun(reason), version, detail);
            }
        };
        let mut req = req.map(|incoming| incoming.map_err(Into::into).boxed_unsync());
        self.prepare(&mut req);
        match self.forward(&snapshot, &checked, req).await {
            Ok(mut answer) => {
                head::strip_hop_headers(answer.headers_mut());
                let outcome = outcome::Outcome::Answered;
                response::set_outcome(answer.headers_mut(), outcome, version);
                answer
            }
            Err(outcome) => response::refusal(outcome, version, ""),
        }
    }

    fn check(
        &self,
        snapshot: &snapshot::Snapshot,
        req: &hyper::Request<body::Incoming>,
    ) -> Result<Checked, Refused> {
        use outcome::Reason;
        let view = &snapshot.view;
        if self.is_stopping.load(atomic::Ordering::Relaxed) {
            return Err(Refused(Reason::ShuttingDown, "use another address"));
        }
        if !self.published.has_lease(self.clock.now()) {
            return Err(Refused(
                Reason::ConfigLease,
                "the catalogue is not confirmed",
            ));
        }
        if view.is_here_out {
            return Err(Refused(Reason::ZoneOut, "use another address"));
        }
        let path = req.uri().path();
        if !head::is_plain_path(path) {
            return Err(Refused(
                Reason::BadRequest,
                "the path has dot or encoded segments",
            ));
        }
        let route = view
            .match_route(path)
            .ok_or(Refused(Reason::NoRoute, "no route matches"))?;
        let account = req
            .headers()
            .get(&head::ACCOUNT)
            .and_then(|value| value.to_str().ok());
        let account = account.and_then(|name| view.find_account(name));
        let account = account.ok_or(Refused(Reason::Account, "the account is not known"))?;
        let route_view = &view.routes[route];
        let is_allowed = route_view
            .accounts
            .as_ref()
            .is_none_or(|list| list.contains(&account));
        if !is_allowed {
            return Err(Refused(
                Reason::Account,
                "the account may not use the route",
            ));
        }
        let here = view
            .here
            .ok_or(Refused(Reason::HomeRegion, "the zone is not known"))?;
        if !view.home_regions(route, account).contains(here) {
            return Err(Refused(
                Reason::HomeRegion,
                "use an address in a home region",
            ));
        }
        let service = route_view
            .service
            .ok_or(Refused(Reason::NoServer, "no server"))?;
        Ok(Checked {
            route,
            account,
            service,
            class: route_view.class,
        })
    }

    fn prepare(&self, req: &mut hyper::Request<listen::Body>) {
        head::strip_hop_headers(req.headers_mut());
        let number = self.next_request.fetch_add(1, atomic::Ordering::Relaxed);
        let id = head::request_id(self.boot, number);
        req.headers_mut().insert(&head::REQUEST_ID, id);
        head::use_origin_form(req);
        *req.version_mut() = hyper::Version::HTTP_11;
    }

    async fn forward(
        &self,
        snapshot: &snapshot::Snapshot,
        checked: &Checked,
        mut req: hyper::Request<listen::Body>,
    ) -> Result<hyper::Response<listen::Body>, outcome::Outcome> {
        use outcome::{Outcome, Reason};
        let regions = snapshot.view.home_regions(checked.route, checked.account);
        let mut tried = Vec::new();
        let mut reason = Reason::NoServer;
        for _ in 0..ATTEMPTS_MAX_COUNT {
            let Some(server) = self.choose(snapshot, checked, regions, &tried) else {
                return Err(Outcome::NotRun(reason));
            };
            let region = snapshot.view.servers[server].region;
            let Some(permit) = regions.permit(region) else {
                tried.push(server);
                reason = Reason::HomeRegion;
                continue;
            };
            // The lease is read again, since the process may have been stopped since the check.
            if !self.published.has_lease(self.clock.now()) {
                return Err(Outcome::NotRun(Reason::ConfigLease));
            }
            let sent = snapshot.counts.begin(&snapshot.view, checked.route, server);
            let attempt = forward::send(snapshot, server, permit, req).await;
            sent.end(&attempt);
            match attempt {
                forward::Attempt::Answered(answer) => return Ok(answer),
                forward::Attempt::Unknown(reason) => return Err(Outcome::Unknown(reason)),
                forward::Attempt::NotRun(why, Some(unsent)) => {
                    tried.push(server);
                    reason = why;
                    req = unsent;
                }
                forward::Attempt::NotRun(why, None) => return Err(Outcome::NotRun(why)),
            }
        }
        Err(Outcome::NotRun(reason))
    }

    fn choose(
        &self,
        snapshot: &snapshot::Snapshot,
        checked: &Checked,
        regions: permit::RegionSet,
        tried: &[entity::Server],
    ) -> Option<entity::Server> {
        let view = policy::RequestView {
            class: checked.class,
            now: self.clock.now(),
            tried,
            regions_mask: regions.mask(),
        };
        let candidates = &snapshot.candidates[checked.service];
        CONTEXT.with_borrow_mut(|cx| self.policy.choose(cx, candidates, view))
    }
}

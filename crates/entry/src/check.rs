//! Validates the head of a request and admits the request under its limits and budgets.

use crate::head;
use crate::proxy;
use crate::response;
use crate::snapshot;
use hyper::header as http;
use nutmegdale_admission::{deadline, limit};
use nutmegdale_base::{class, clock, entity, outcome};
use nutmegdale_routing::permit;
use std::sync;
use std::sync::atomic;

/// Request whose head passed validation.
#[derive(Debug, Clone, Copy)]
pub struct CheckedRequest {
    /// Route that the path matched.
    pub route: entity::Route,
    /// Authenticated client account.
    pub account: entity::Account,
    /// Service that the route forwards to.
    pub service: entity::Service,
    /// Class of the route, which decides whether the request may be retried.
    pub class: class::Class,
    /// Scheduling class: requests of a bulk account are bulk on every route.
    pub priority: class::Class,
    /// Home regions, which the request must not leave.
    pub regions: permit::RegionSet,
    /// Time at which the caller stops waiting.
    pub deadline: deadline::Deadline,
}

/// Rejection of a request before anything was sent to a server.
#[derive(Debug, Clone, Copy)]
pub struct Rejection {
    /// Machine-readable reason, sent in a header.
    pub reason: outcome::Reason,
    /// Human-readable explanation.
    pub detail: &'static str,
    /// Delay for the `Retry-After` header, if known.
    pub retry_after: Option<clock::Millis>,
}

fn reject(reason: outcome::Reason, detail: &'static str) -> Rejection {
    Rejection {
        reason,
        detail,
        retry_after: None,
    }
}

impl Rejection {
    /// Returns the response for the caller.
    pub fn into_response(
        self,
        snapshot: &snapshot::Snapshot,
    ) -> hyper::Response<nutmegdale_rpc::listen::Body> {
        let outcome = outcome::Outcome::NotRun(self.reason);
        let mut response = response::error(outcome, snapshot.view.version, self.detail);
        if let Some(wait) = self.retry_after {
            let secs = http::HeaderValue::from(wait.0.div_ceil(1_000));
            response.headers_mut().insert(http::RETRY_AFTER, secs);
        }
        response
    }
}

impl proxy::Shared {
    /// Validates the head of a request against the state of the process and the catalogue.
    ///
    /// # Errors
    ///
    /// Returns the first rule that the request violates.
    pub fn check<B>(
        &self,
        snapshot: &snapshot::Snapshot,
        req: &hyper::Request<B>,
    ) -> Result<CheckedRequest, Rejection> {
        use outcome::Reason;
        let view = &snapshot.view;
        let now = self.clock.now();
        if self.is_stopping.load(atomic::Ordering::Relaxed) {
            return Err(reject(Reason::ShuttingDown, "use another address"));
        }
        if !self.published.has_lease(now) {
            let detail = "the catalogue is not confirmed";
            return Err(reject(Reason::ConfigLease, detail));
        }
        if view.is_local_zone_out {
            return Err(reject(Reason::ZoneOut, "use another address"));
        }
        let path = req.uri().path();
        if !head::is_plain_path(path) {
            let detail = "the path has dot or encoded segments";
            return Err(reject(Reason::BadRequest, detail));
        }
        let route = view.match_route(path);
        let route = route.ok_or(reject(Reason::NoRoute, "no route matches"))?;
        let account = authenticate(snapshot, route, req.headers())
            .map_err(|detail| reject(Reason::Account, detail))?;
        let here = view.local_region;
        let here = here.ok_or(reject(Reason::HomeRegion, "the zone is not known"))?;
        let regions = view.home_regions(route, account);
        if !regions.contains(here) {
            let detail = "use an address in a home region";
            return Err(reject(Reason::HomeRegion, detail));
        }
        let route_view = &view.routes[route];
        let service = route_view.service;
        let service = service.ok_or(reject(Reason::NoServer, "no server"))?;
        let requested = req.headers().get(&head::DEADLINE_MS);
        let requested = requested.map(http::HeaderValue::as_bytes);
        let deadline = deadline::Deadline::parse(now, requested, self.deadline_ms);
        let deadline = deadline.map_err(|deadline::Malformed| {
            reject(Reason::BadRequest, "nutmegdale-deadline-ms is no number")
        })?;
        let is_bulk_account = view.accounts[account].class == class::Class::BulkExport;
        let priority = if is_bulk_account {
            class::Class::BulkExport
        } else {
            route_view.class
        };
        Ok(CheckedRequest {
            route,
            account,
            service,
            class: route_view.class,
            priority,
            regions,
            deadline,
        })
    }

    /// Admits a checked request and counts it as in flight until the guard is dropped.
    ///
    /// # Errors
    ///
    /// Returns the limit that the request exceeds.
    pub fn admit(
        &self,
        snapshot: &sync::Arc<snapshot::Snapshot>,
        checked: &CheckedRequest,
        body_bytes: Option<u64>,
    ) -> Result<AdmissionGuard, Rejection> {
        let mut admitted = AdmissionGuard {
            snapshot: sync::Arc::clone(snapshot),
            checked: *checked,
            stage: Stage::Nothing,
        };
        let now = self.clock.now();
        if checked.deadline.left(now).is_none() {
            let detail = "the deadline had passed on arrival";
            return Err(reject(outcome::Reason::Deadline, detail));
        }
        let reject_limit = |refusal: limit::Refusal| Rejection {
            reason: outcome::Reason::Limit,
            detail: refusal.limit,
            retry_after: refusal.retry_after,
        };
        let view = &snapshot.view;
        let limits = &view.accounts[checked.account].limits;
        let limiter = &snapshot.account_limits[checked.account];
        limiter
            .begin(now, limits, body_bytes)
            .map_err(reject_limit)?;
        admitted.stage = Stage::Account;
        let limits = &view.routes[checked.route].limits;
        let limiter = &snapshot.route_limits[checked.route];
        limiter
            .begin(now, limits, body_bytes)
            .map_err(reject_limit)?;
        admitted.stage = Stage::Route;
        let service = &snapshot.services[checked.service];
        if !service.begin() {
            let detail = "too many requests wait for the service";
            return Err(reject(outcome::Reason::Overload, detail));
        }
        admitted.stage = Stage::Service;
        if checked.priority == class::Class::BulkExport {
            if !service.bulk.begin() {
                let detail = "the share of bulk work is used up";
                return Err(reject(outcome::Reason::Overload, detail));
            }
            admitted.stage = Stage::Bulk;
        }
        Ok(admitted)
    }
}

/// Returns the account of a request if its token matches and the account may use the route.
///
/// # Errors
///
/// Returns a human-readable explanation.
pub fn authenticate(
    snapshot: &snapshot::Snapshot,
    route: entity::Route,
    headers: &http::HeaderMap,
) -> Result<entity::Account, &'static str> {
    let view = &snapshot.view;
    let name = headers.get(&head::ACCOUNT).and_then(|v| v.to_str().ok());
    let account = name.and_then(|name| view.find_account(name));
    let account = account.ok_or("the account is not known")?;
    if let Some(digest) = &view.accounts[account].token_sha256 {
        let token = headers.get(&head::TOKEN).map_or(&b""[..], |v| v.as_bytes());
        if !digest.is_of(token) {
            return Err("the account's token is missing or wrong");
        }
    }
    let allowed = view.routes[route].accounts.as_ref();
    if allowed.is_none_or(|list| list.contains(&account)) {
        Ok(account)
    } else {
        Err("the account may not use the route")
    }
}

/// Returns the lower of the route's and the account's request body limits, in bytes.
pub fn body_limit(snapshot: &snapshot::Snapshot, checked: &CheckedRequest) -> Option<u64> {
    let view = &snapshot.view;
    let route = view.routes[checked.route].limits.body_bytes;
    let account = view.accounts[checked.account].limits.body_bytes;
    route.into_iter().chain(account).min()
}

/// Last counter that an admission incremented; dropping the guard decrements it and all earlier
/// ones.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Stage {
    Nothing,
    Account,
    Route,
    Service,
    Bulk,
}

/// Counts an admitted request as in flight; dropped at the end of the response body.
#[derive(Debug)]
pub struct AdmissionGuard {
    snapshot: sync::Arc<snapshot::Snapshot>,
    checked: CheckedRequest,
    stage: Stage,
}

impl AdmissionGuard {
    /// Returns the scheduling class of the request.
    pub fn priority(&self) -> class::Class {
        self.checked.priority
    }

    /// Returns whether a byte rate limit applies to the response.
    pub fn counts_bytes(&self) -> bool {
        let view = &self.snapshot.view;
        let route = &view.routes[self.checked.route].limits;
        let account = &view.accounts[self.checked.account].limits;
        route.bytes_per_second.is_some() || account.bytes_per_second.is_some()
    }

    /// Charges response bytes to the byte rate limits of the route and the account.
    pub fn count_response_bytes(&self, now: clock::Millis, bytes: u64) {
        let view = &self.snapshot.view;
        let limits = &view.routes[self.checked.route].limits;
        self.snapshot.route_limits[self.checked.route].charge_response(now, limits, bytes);
        let limits = &view.accounts[self.checked.account].limits;
        self.snapshot.account_limits[self.checked.account].charge_response(now, limits, bytes);
    }
}

impl Drop for AdmissionGuard {
    fn drop(&mut self) {
        let service = &self.snapshot.services[self.checked.service];
        if self.stage >= Stage::Bulk {
            service.bulk.end();
        }
        if self.stage >= Stage::Service {
            service.end();
        }
        if self.stage >= Stage::Route {
            self.snapshot.route_limits[self.checked.route].end();
        }
        if self.stage >= Stage::Account {
            self.snapshot.account_limits[self.checked.account].end();
        }
    }
}

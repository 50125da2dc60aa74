//! Checks of a request's head, and its admission by limits and budgets.

use crate::head;
use crate::proxy;
use crate::response;
use crate::snapshot;
use hyper::header as http;
use nutmegdale_admission::{deadline, limit};
use nutmegdale_base::{class, clock, entity, outcome};
use nutmegdale_routing::permit;
use sha2::Digest;
use std::sync;
use std::sync::atomic;
use subtle::ConstantTimeEq;

/// Request that passed the checks of its head.
#[derive(Debug, Clone, Copy)]
pub struct Checked {
    /// Route.
    pub route: entity::Route,
    /// Account.
    pub account: entity::Account,
    /// Service of the route.
    pub service: entity::Service,
    /// Class of the route, which decides whether the request may be repeated.
    pub class: class::Class,
    /// Class that the request is served as: a bulk account is served as bulk everywhere.
    pub priority: class::Class,
    /// Regions that the request may be in.
    pub regions: permit::RegionSet,
    /// When its caller stops waiting.
    pub deadline: deadline::Deadline,
}

/// Request that is not sent anywhere.
#[derive(Debug, Clone, Copy)]
pub struct Refused {
    /// Why.
    pub reason: outcome::Reason,
    /// Explanation for people.
    pub detail: &'static str,
    /// Time after which a new try makes sense, if that is known.
    pub retry_after: Option<clock::Millis>,
}

fn refused(reason: outcome::Reason, detail: &'static str) -> Refused {
    Refused {
        reason,
        detail,
        retry_after: None,
    }
}

impl Refused {
    /// Returns the answer.
    pub fn answer(
        self,
        snapshot: &snapshot::Snapshot,
    ) -> hyper::Response<nutmegdale_rpc::listen::Body> {
        let outcome = outcome::Outcome::NotRun(self.reason);
        let mut answer = response::refusal(outcome, snapshot.view.version, self.detail);
        if let Some(wait) = self.retry_after {
            let secs = http::HeaderValue::from(wait.0.div_ceil(1_000));
            answer.headers_mut().insert(http::RETRY_AFTER, secs);
        }
        answer
    }
}

impl proxy::Shared {
    /// Checks the head of a request against the state of the process and the catalogue.
    ///
    /// # Errors
    ///
    /// Names the rule that refuses the request.
    pub fn check<B>(
        &self,
        snapshot: &snapshot::Snapshot,
        req: &hyper::Request<B>,
    ) -> Result<Checked, Refused> {
        use outcome::Reason;
        let view = &snapshot.view;
        let now = self.clock.now();
        if self.is_stopping.load(atomic::Ordering::Relaxed) {
            return Err(refused(Reason::ShuttingDown, "use another address"));
        }
        if !self.published.has_lease(now) {
            let detail = "the catalogue is not confirmed";
            return Err(refused(Reason::ConfigLease, detail));
        }
        if view.is_local_zone_out {
            return Err(refused(Reason::ZoneOut, "use another address"));
        }
        let path = req.uri().path();
        if !head::is_plain_path(path) {
            let detail = "the path has dot or encoded segments";
            return Err(refused(Reason::BadRequest, detail));
        }
        let route = view.match_route(path);
        let route = route.ok_or(refused(Reason::NoRoute, "no route matches"))?;
        let account = account(snapshot, route, req.headers())
            .map_err(|detail| refused(Reason::Account, detail))?;
        let here = view.local_region;
        let here = here.ok_or(refused(Reason::HomeRegion, "the zone is not known"))?;
        let regions = view.home_regions(route, account);
        if !regions.contains(here) {
            let detail = "use an address in a home region";
            return Err(refused(Reason::HomeRegion, detail));
        }
        let route_view = &view.routes[route];
        let service = route_view.service;
        let service = service.ok_or(refused(Reason::NoServer, "no server"))?;
        let asked = req.headers().get(&head::DEADLINE_MS);
        let asked = asked.map(http::HeaderValue::as_bytes);
        let deadline = deadline::Deadline::parse(now, asked, self.deadline_ms);
        let deadline = deadline.map_err(|deadline::Malformed| {
            refused(Reason::BadRequest, "nutmegdale-deadline-ms is no number")
        })?;
        let is_bulk_account = view.accounts[account].class == class::Class::BulkExport;
        let priority = if is_bulk_account {
            class::Class::BulkExport
        } else {
            route_view.class
        };
        Ok(Checked {
            route,
            account,
            service,
            class: route_view.class,
            priority,
            regions,
            deadline,
        })
    }

    /// Admits a checked request, counting it until the result is dropped.
    ///
    /// # Errors
    ///
    /// Names the limit that refuses the request.
    pub fn admit(
        &self,
        snapshot: &sync::Arc<snapshot::Snapshot>,
        checked: &Checked,
        body_bytes: Option<u64>,
    ) -> Result<Admitted, Refused> {
        let mut admitted = Admitted {
            snapshot: sync::Arc::clone(snapshot),
            checked: *checked,
            stage: Stage::Nothing,
        };
        let now = self.clock.now();
        if checked.deadline.left(now).is_none() {
            let detail = "the deadline had passed on arrival";
            return Err(refused(outcome::Reason::Deadline, detail));
        }
        let limited = |refusal: limit::Refusal| Refused {
            reason: outcome::Reason::Limit,
            detail: refusal.limit,
            retry_after: refusal.retry_after,
        };
        let view = &snapshot.view;
        let limits = &view.accounts[checked.account].limits;
        let limiter = &snapshot.account_limits[checked.account];
        limiter.begin(now, limits, body_bytes).map_err(limited)?;
        admitted.stage = Stage::Account;
        let limits = &view.routes[checked.route].limits;
        let limiter = &snapshot.route_limits[checked.route];
        limiter.begin(now, limits, body_bytes).map_err(limited)?;
        admitted.stage = Stage::Route;
        let service = &snapshot.services[checked.service];
        if !service.begin() {
            let detail = "too many requests wait for the service";
            return Err(refused(outcome::Reason::Overload, detail));
        }
        admitted.stage = Stage::Service;
        if checked.priority == class::Class::BulkExport {
            if !service.bulk.begin() {
                let detail = "the share of bulk work is used up";
                return Err(refused(outcome::Reason::Overload, detail));
            }
            admitted.stage = Stage::Bulk;
        }
        Ok(admitted)
    }
}

/// Returns the account of a request if it shows the account's token and may use the route.
///
/// # Errors
///
/// Returns an explanation.
pub fn account(
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
        let shown = sha2::Sha256::digest(token);
        if !bool::from(shown.as_slice().ct_eq(digest)) {
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

/// Returns the smaller limit of a request body, in bytes.
pub fn body_limit(snapshot: &snapshot::Snapshot, checked: &Checked) -> Option<u64> {
    let view = &snapshot.view;
    let route = view.routes[checked.route].limits.body_bytes;
    let account = view.accounts[checked.account].limits.body_bytes;
    route.into_iter().chain(account).min()
}

/// What of an admission was counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Stage {
    Nothing,
    Account,
    Route,
    Service,
    Bulk,
}

/// Admitted request, counted until it is dropped: with the end of its answer.
#[derive(Debug)]
pub struct Admitted {
    snapshot: sync::Arc<snapshot::Snapshot>,
    checked: Checked,
    stage: Stage,
}

impl Admitted {
    /// Returns the class that the request is served as.
    pub fn priority(&self) -> class::Class {
        self.checked.priority
    }

    /// Returns whether bytes of the answer count against a limit.
    pub fn counts_bytes(&self) -> bool {
        let view = &self.snapshot.view;
        let route = &view.routes[self.checked.route].limits;
        let account = &view.accounts[self.checked.account].limits;
        route.bytes_per_second.is_some() || account.bytes_per_second.is_some()
    }

    /// Counts bytes of the answer.
    pub fn answered(&self, now: clock::Millis, bytes: u64) {
        let view = &self.snapshot.view;
        let limits = &view.routes[self.checked.route].limits;
        self.snapshot.route_limits[self.checked.route].answered(now, limits, bytes);
        let limits = &view.accounts[self.checked.account].limits;
        self.snapshot.account_limits[self.checked.account].answered(now, limits, bytes);
    }
}

impl Drop for Admitted {
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

//! Identifies the caller of a request, when it arrives and again right before each send.
//!
//! `nutmegdale-accounts` decides; this module gives it the key that the [`dialect`] finds in the
//! head and the age of the routing table, and turns a refusal into a response. A configuration
//! without accounts restricts requests by their routes only. Keys are never logged: neither this
//! module nor the types of the decision can print one.
//!
//! [`dialect`]: crate::dialect

use crate::{call, metrics, state, table};
use hyper::header;
use nutmegdale_accounts::{account, identify, key, lease};
use nutmegdale_base::{clock, outcome};
use nutmegdale_dispatch::precedence;
use nutmegdale_quota::gate;
use nutmegdale_registry::config;
use nutmegdale_telemetry::metrics as telemetry;
use std::borrow;
use std::sync;
use std::sync::atomic;

/// Time after which a caller should retry if the copy of the configuration is too old, further
/// limited to a third of its time. Another process serves it then, or this one has asked the next
/// coordinator.
const STALE_RETRY_MS: clock::Millis = clock::Millis(200);

/// Account of a caller, and the key by which it was identified.
#[derive(Debug, Clone)]
pub struct Identity {
    account: sync::Arc<account::Account>,
    digest: key::Digest,
}

impl Identity {
    /// Checks with the current table that the account still has the key.
    ///
    /// # Errors
    ///
    /// Fails if the key was withdrawn, or the table is too old to tell.
    pub fn confirm(&self, shared: &state::Shared) -> Result<(), identify::Refusal> {
        // Read first: the table may only be newer than its evidence.
        let confirmed_at = shared.confirmed_at();
        let table = shared.table.load();
        match copy_of(shared, &table, confirmed_at) {
            Some(copy) => copy.confirm(&self.account, &self.digest),
            None if is_expired(shared, confirmed_at) => Err(identify::Refusal::StaleCopy),
            // The configuration no longer asks for keys, so none was withdrawn.
            None => Ok(()),
        }
    }
}

/// Request that has arrived.
pub(crate) struct Arrival<'a, 'h> {
    pub(crate) table: &'a table::Table,
    pub(crate) route: &'a config::Route,
    pub(crate) headers: &'h header::HeaderMap,
    /// Time before which every accepted change is in the table.
    pub(crate) confirmed_at: clock::Millis,
}

/// Caller whose request may be sent.
pub(crate) struct Caller<'a> {
    /// Priority by which requests are ordered.
    pub(crate) priority: u32,
    /// Regions to which route and account restrict the request; empty if they do not.
    pub(crate) home_regions: borrow::Cow<'a, [String]>,
    /// Account and key; `None` if the request needs none.
    pub(crate) identity: Option<Identity>,
    has_accounts: bool,
}

impl Caller<'_> {
    /// Removes the key from the headers for servers, and states the account.
    pub(crate) fn prepare(&self, shared: &state::Shared, headers: &mut header::HeaderMap) {
        if self.has_accounts {
            let name = self.identity.as_ref().map(|id| id.account.name.as_str());
            shared.dialect.replace_account(headers, name);
        }
    }

    /// Returns the token for the account's limit if the request did not run.
    pub(crate) fn settle(&self, shared: &state::Shared, outcome: outcome::Outcome) {
        if let Some(identity) = &self.identity
            && identity.account.limit.is_some()
            && matches!(outcome, outcome::Outcome::NotRun(_))
        {
            shared.quota_gate.refund(&identity.account);
        }
    }
}

/// Returns the copy of the accounts on which a decision may be based; `None` if the configuration
/// does not identify callers.
fn copy_of<'a>(
    shared: &state::Shared,
    table: &'a table::Table,
    confirmed_at: clock::Millis,
) -> Option<identify::Copy<'a>> {
    Some(identify::Copy {
        index: table.accounts.as_ref()?,
        lease: lease_of(shared),
        age: shared.clock.now().since(confirmed_at),
    })
}

fn lease_of(shared: &state::Shared) -> lease::Lease {
    let bound = shared.settings.features.accounts;
    lease::Lease::new(bound.and_then(|bound| bound.revocation))
}

/// Returns whether no key may be accepted. A copy without accounts may be so old that a newer one has
/// withdrawn a key.
fn is_expired(shared: &state::Shared, confirmed_at: clock::Millis) -> bool {
    let age = shared.clock.now().since(confirmed_at);
    lease_of(shared).permits(age) == lease::Use::Nothing
}

/// Identifies the caller of a request and admits it under the limit of its account.
///
/// # Errors
///
/// Returns the response for a caller that is refused.
pub(crate) async fn admit<'a>(
    call: &mut call::Call<'_>,
    arrival: Arrival<'a, '_>,
) -> Result<Caller<'a>, call::FinalResponse> {
    let route = arrival.route;
    let copy = copy_of(call.shared, arrival.table, arrival.confirmed_at);
    let mut caller = Caller {
        priority: precedence::order(None, route.priority),
        home_regions: borrow::Cow::Borrowed(&route.home_regions),
        identity: None,
        has_accounts: copy.is_some(),
    };
    let shared = call.shared;
    let parse_key = || shared.dialect.parse_key(arrival.headers);
    let Some(copy) = copy else {
        let may_be_withdrawn = !route.is_public
            && is_expired(shared, arrival.confirmed_at)
            && parse_key() != key::Presented::Missing;
        return match may_be_withdrawn {
            true => Err(refuse(call, identify::Refusal::StaleCopy)),
            false => Ok(caller),
        };
    };
    let presented = parse_key();
    let identified = copy.identify(route.is_public, presented);
    shared.callers.log_lease(shared, &copy);
    let (account, digest) = match identified {
        Ok(identify::Caller::Public) => return Ok(caller),
        Ok(identify::Caller::Account(account, digest)) => (account, digest),
        Err(refusal) => return Err(refuse(call, refusal)),
    };
    call.account = Some(sync::Arc::clone(account));
    let regions = identify::common_regions(&route.home_regions, &account.home_regions);
    caller.home_regions = match regions {
        Some(regions) => regions,
        None => return Err(refuse_everywhere(call)),
    };
    caller.priority = precedence::order(account.priority, route.priority);
    if account.limit.is_some() {
        let time_left = call.time_left();
        let verdict = shared.quota_gate.acquire(account, time_left).await;
        if let Some(refused) = refuse_over_limit(call, verdict) {
            return Err(refused);
        }
    }
    caller.identity = Some(Identity {
        account: sync::Arc::clone(account),
        digest,
    });
    Ok(caller)
}

/// Returns the response to a caller that is not identified.
pub(crate) fn refuse(call: &mut call::Call<'_>, refusal: identify::Refusal) -> call::FinalResponse {
    let monitor = &call.shared.callers;
    let age = call.shared.confirmation_age();
    let (name, counter) = match refusal {
        identify::Refusal::UnknownKey => ("unknown-key", &monitor.unknown_key),
        identify::Refusal::StaleCopy => ("stale-copy", &monitor.stale_copy),
        identify::Refusal::Reassigned => ("reassigned-key", &monitor.reassigned_key),
    };
    metrics::increment(counter);
    call.trace
        .push_event(call.elapsed(), &format!("{name} age={}", age.0));
    match refusal {
        identify::Refusal::UnknownKey => {
            let outcome = outcome::Outcome::NotRun(outcome::Reason::Account);
            call.local_response(hyper::StatusCode::UNAUTHORIZED, outcome, None)
        }
        identify::Refusal::StaleCopy => {
            let retry_after = STALE_RETRY_MS.min(clock::Millis(call.time_left().0 / 3));
            call.not_run(outcome::Reason::ConfigLease, Some(retry_after))
        }
        identify::Refusal::Reassigned => {
            call.not_run(outcome::Reason::Account, Some(clock::Millis::ZERO))
        }
    }
}

/// Returns the response to a request that may be served in no region.
///
/// The request has not run and its key is valid, so the response says so. No retry can succeed before
/// an operator changes the configuration, so the caller is told to wait as long as it can.
fn refuse_everywhere(call: &mut call::Call<'_>) -> call::FinalResponse {
    metrics::increment(&call.shared.callers.no_common_region);
    let retry_after = clock::Millis(call.time_left().0 / 3);
    call.not_run(outcome::Reason::HomeRegion, Some(retry_after))
}

/// Returns the response to a request that its account's limit does not admit.
fn refuse_over_limit(
    call: &mut call::Call<'_>,
    verdict: gate::Verdict,
) -> Option<call::FinalResponse> {
    let monitor = &call.shared.callers;
    let reason = outcome::Reason::Limit;
    match verdict {
        gate::Verdict::Granted => None,
        gate::Verdict::OverLimit { retry_after } => {
            metrics::increment(&monitor.over_limit);
            let (status, outcome) = (
                hyper::StatusCode::TOO_MANY_REQUESTS,
                outcome::Outcome::NotRun(reason),
            );
            Some(call.local_response(status, outcome, Some(retry_after)))
        }
        gate::Verdict::Unavailable { retry_after } => {
            metrics::increment(&monitor.limit_unavailable);
            call.trace.push_event(call.elapsed(), "limit-unavailable");
            Some(call.not_run(reason, Some(retry_after)))
        }
    }
}

/// Counters of refused callers. There are none for single accounts, since operators may configure
/// any number of them; the log line of a request names its account.
#[derive(Debug, Default)]
pub struct Monitor {
    unknown_key: atomic::AtomicU64,
    stale_copy: atomic::AtomicU64,
    reassigned_key: atomic::AtomicU64,
    no_common_region: atomic::AtomicU64,
    over_limit: atomic::AtomicU64,
    limit_unavailable: atomic::AtomicU64,
    is_expired: atomic::AtomicBool,
}

impl Monitor {
    /// Logs when the copy becomes too old to accept keys, and when it no longer is.
    fn log_lease(&self, shared: &state::Shared, copy: &identify::Copy<'_>) {
        let is_expired = copy.lease.permits(copy.age) == lease::Use::Nothing;
        if self.is_expired.load(atomic::Ordering::Relaxed) == is_expired
            || self.is_expired.swap(is_expired, atomic::Ordering::Relaxed) == is_expired
        {
            return;
        }
        if is_expired {
            slog::info!(shared.log, "account keys suspended"; "age_ms" => copy.age.0);
        } else {
            slog::info!(shared.log, "account keys accepted"; "age_ms" => copy.age.0);
        }
    }

    /// Returns the counters as metrics.
    pub fn samples(&self) -> [telemetry::Sample; 6] {
        let counter = |name, help, value: &atomic::AtomicU64| telemetry::Sample {
            name,
            help,
            kind: telemetry::Kind::Counter,
            value: value.load(atomic::Ordering::Relaxed),
        };
        [
            counter(
                "nutmegdale_callers_unknown_key_total",
                "Requests refused for a key that is missing, repeated or unknown.",
                &self.unknown_key,
            ),
            counter(
                "nutmegdale_callers_stale_copy_total",
                "Requests refused because the configuration may be too old to judge their key.",
                &self.stale_copy,
            ),
            counter(
                "nutmegdale_callers_reassigned_key_total",
                "Requests refused because their key went to another account while they waited.",
                &self.reassigned_key,
            ),
            counter(
                "nutmegdale_callers_no_common_region_total",
                "Requests refused because route and account have no home region in common.",
                &self.no_common_region,
            ),
            counter(
                "nutmegdale_callers_over_limit_total",
                "Requests refused because their account has used up its limit.",
                &self.over_limit,
            ),
            counter(
                "nutmegdale_callers_limit_unavailable_total",
                "Requests refused because the use of their account's limit is not known.",
                &self.limit_unavailable,
            ),
        ]
    }
}

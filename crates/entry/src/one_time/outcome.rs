//! `GET /.nutmegdale/outcome`: returns the recorded outcome of a one-time request.

use crate::check;
use crate::ledger_client;
use crate::proxy;
use crate::response;
use nutmegdale_base::outcome::{Outcome, Reason};
use nutmegdale_base::{clock, header};
use nutmegdale_ledger::{command, key};
use nutmegdale_rpc::listen;
use serde::Serialize;

/// Timeout of the lookup in the ledger.
const LOOKUP_TIMEOUT_MS: clock::Millis = clock::Millis(3_000);

/// Response body with the outcome of a request.
#[derive(Debug, Serialize)]
struct OutcomeBody<'a> {
    outcome: &'static str,
    state: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    status: Option<u16>,
    #[serde(skip_serializing_if = "Option::is_none")]
    body: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    body_sha256: Option<String>,
    detail: &'static str,
}

/// Handles a request for an outcome.
pub(crate) async fn handle(
    shared: &proxy::Shared,
    head: &hyper::http::request::Parts,
) -> hyper::Response<listen::Body> {
    let version = shared.published.load().view.version;
    let (region, key) = match resolve(shared, head) {
        Ok(resolved) => resolved,
        Err((reason, detail)) => {
            return response::error(Outcome::Unknown(reason), version, detail);
        }
    };
    match shared
        .one_time
        .store
        .lookup(&region, key, LOOKUP_TIMEOUT_MS)
        .await
    {
        Ok(status) => {
            let body = outcome_body(&status);
            let mut response = response::json(hyper::StatusCode::OK, &body);
            let outcome = hyper::header::HeaderValue::from_static(body.outcome);
            response.headers_mut().insert(header::OUTCOME, outcome);
            response
        }
        Err(_) => {
            let detail = "the record of one-time requests could not be reached";
            response::error(Outcome::Unknown(Reason::Ledger), version, detail)
        }
    }
}

fn resolve(
    shared: &proxy::Shared,
    head: &hyper::http::request::Parts,
) -> Result<(ledger_client::LedgerRegion, key::KeyId), (Reason, &'static str)> {
    if !shared.published.has_lease(shared.clock.now()) {
        return Err((Reason::ConfigLease, "the catalogue is not confirmed"));
    }
    let query = head.uri.query().unwrap_or("");
    let parameter = |name: &str| {
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs
            .find(|(n, _)| *n == name)
            .and_then(|(_, value)| percent_decode(value))
    };
    let (Some(route_name), Some(key)) = (parameter("route"), parameter("key")) else {
        return Err((Reason::BadRequest, "route and key are required"));
    };
    let snapshot = shared.published.load();
    let view = &snapshot.view;
    let route = view.find_route(&route_name);
    let route = route.ok_or((Reason::NoRoute, "the route does not exist"))?;
    let account = check::authenticate(&snapshot, route, &head.headers)
        .map_err(|detail| (Reason::Account, detail))?;
    let home_regions = view.home_regions(route, account);
    if !view
        .local_region
        .is_some_and(|here| home_regions.contains(here))
    {
        return Err((Reason::HomeRegion, "use an address in a home region"));
    }
    let ledger_region = view.routes[route].ledger_region;
    let ledger_region = ledger_region.ok_or((Reason::BadRequest, "the route keeps no record"))?;
    let permit = home_regions.permit(ledger_region);
    let permit = permit.ok_or((Reason::HomeRegion, "the ledger region is no home region"))?;
    let region = ledger_client::LedgerRegion::new(view, permit);
    let account = &view.accounts[account].name;
    Ok((region, key::KeyId::new(account, &route_name, &key)))
}

fn outcome_body(status: &command::Status) -> OutcomeBody<'_> {
    let unanswered = |state, detail| OutcomeBody {
        outcome: Outcome::Unknown(Reason::Pending).name(),
        state,
        status: None,
        body: None,
        body_sha256: None,
        detail,
    };
    match status {
        // A send that is still in flight may claim the key, so the outcome is not `not-run`: a caller
        // that then retried with another key could file twice.
        command::Status::Unclaimed => unanswered(
            "unclaimed",
            "no send has claimed the key, or its record has expired; a send that is still under \
             way may claim it; to be certain, send again under the same key",
        ),
        command::Status::Released => unanswered(
            "released",
            "no send so far has run; to be certain, send again under the same key",
        ),
        command::Status::Pending(_) => unanswered("pending", "a send has not ended"),
        command::Status::Unknown => unanswered("unknown", "a send broke off and may have run"),
        command::Status::Answered(answer) => answered(answer),
    }
}

fn answered(answer: &command::Answer) -> OutcomeBody<'_> {
    let (body, sha256) = match &answer.body {
        command::Body::Kept(body) => (str::from_utf8(body).ok(), key::Digest::of_body(body)),
        command::Body::Digest { sha256, .. } => (None, *sha256),
    };
    OutcomeBody {
        outcome: Outcome::Answered.name(),
        state: "answered",
        status: Some(answer.status),
        body,
        body_sha256: Some(sha256.to_string()),
        detail: "",
    }
}

/// Decodes percent-encoded text; returns `None` if it is malformed or not UTF-8.
fn percent_decode(text: &str) -> Option<String> {
    let mut bytes = Vec::with_capacity(text.len());
    let mut parts = text.split('%');
    bytes.extend_from_slice(parts.next()?.as_bytes());
    for part in parts {
        let (digits, rest) = part.split_at_checked(2)?;
        let is_hex = digits.bytes().all(|b| b.is_ascii_hexdigit());
        bytes.push(is_hex.then(|| u8::from_str_radix(digits, 16).ok())??);
        bytes.extend_from_slice(rest.as_bytes());
    }
    String::from_utf8(bytes).ok()
}

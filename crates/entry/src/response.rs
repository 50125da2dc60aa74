//! Responses that an entry process generates itself, and the outcome headers of all responses.

use crate::head;
use hyper::header;
use nutmegdale_base::outcome;
use nutmegdale_catalogue::config;
use nutmegdale_rpc::listen;
use serde::Serialize;

#[derive(Debug, Serialize)]
struct ErrorBody<'a> {
    outcome: &'a str,
    reason: &'a str,
    detail: &'a str,
}

/// Sets the headers with the outcome, its reason, and the catalogue version that applied.
pub fn set_outcome(
    headers: &mut header::HeaderMap,
    outcome: outcome::Outcome,
    version: config::Version,
) {
    headers.insert(
        &head::OUTCOME,
        header::HeaderValue::from_static(outcome.name()),
    );
    headers.insert(&head::VERSION, header::HeaderValue::from(version.0));
    if let Some(reason) = outcome.reason() {
        headers.insert(
            &head::REASON,
            header::HeaderValue::from_static(reason.name()),
        );
    }
}

/// Returns the error response for a request without a server's response.
pub fn error(
    outcome: outcome::Outcome,
    version: config::Version,
    detail: &str,
) -> hyper::Response<listen::Body> {
    let reason = outcome.reason().map_or("", outcome::Reason::name);
    let body = ErrorBody {
        outcome: outcome.name(),
        reason,
        detail,
    };
    let mut response = json(status_of(outcome), &body);
    set_outcome(response.headers_mut(), outcome, version);
    if let Some(secs) = retry_after_secs(outcome) {
        response
            .headers_mut()
            .insert(header::RETRY_AFTER, header::HeaderValue::from(secs));
    }
    response
}

/// Returns a response with a JSON body.
pub fn json<T: Serialize>(status: hyper::StatusCode, value: &T) -> hyper::Response<listen::Body> {
    let body = serde_json::to_vec(value).expect("response body can be encoded");
    let mut response = hyper::Response::new(listen::full(body));
    *response.status_mut() = status;
    let content_type = header::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, content_type);
    response
}

fn status_of(outcome: outcome::Outcome) -> hyper::StatusCode {
    use outcome::Reason;
    let Some(reason) = outcome.reason() else {
        return hyper::StatusCode::OK;
    };
    match reason {
        Reason::NoRoute => hyper::StatusCode::NOT_FOUND,
        Reason::Account => hyper::StatusCode::FORBIDDEN,
        Reason::BadRequest | Reason::CrashesServers => hyper::StatusCode::BAD_REQUEST,
        Reason::HomeRegion => hyper::StatusCode::MISDIRECTED_REQUEST,
        Reason::Limit => hyper::StatusCode::TOO_MANY_REQUESTS,
        Reason::Deadline => hyper::StatusCode::GATEWAY_TIMEOUT,
        Reason::BrokenAnswer => hyper::StatusCode::BAD_GATEWAY,
        Reason::Key | Reason::Pending | Reason::EarlierSend => hyper::StatusCode::CONFLICT,
        Reason::ConfigLease
        | Reason::ZoneOut
        | Reason::ShuttingDown
        | Reason::Overload
        | Reason::Backoff
        | Reason::ServerLimit
        | Reason::NoServer
        | Reason::Connect
        | Reason::ServerRefused
        | Reason::Ledger => hyper::StatusCode::SERVICE_UNAVAILABLE,
    }
}

fn retry_after_secs(outcome: outcome::Outcome) -> Option<u32> {
    let is_temporary = status_of(outcome) == hyper::StatusCode::SERVICE_UNAVAILABLE
        || status_of(outcome) == hyper::StatusCode::TOO_MANY_REQUESTS;
    is_temporary.then_some(1)
}

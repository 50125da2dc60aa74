//! The path of a request, from its head to its outcome.

use crate::{call, decisions, exchange, payload, send, state, table};
use hyper::{body, header};
use nutmegdale_base::{clock, outcome};
use nutmegdale_entry::head;
use nutmegdale_registry::config;
use nutmegdale_rpc::listen;
use std::net;
use std::sync;
use std::time;

/// Time for a request whose caller states none.
const DEADLINE_DEFAULT_MS: clock::Millis = clock::Millis(30_000);
/// Longest time to wait for a configuration after a start, but never more than a third of the time
/// that the caller has: a group whose members all start has a leader by then.
const CONFIGURED_MS: clock::Millis = clock::Millis(1_000);
/// Time after which a caller should return that came before the configuration.
const RETURN_MS: clock::Millis = clock::Millis(400);

/// Service for callers.
#[allow(missing_debug_implementations)] // Holds trait objects.
pub struct Front {
    shared: sync::Arc<state::Shared>,
}

impl Front {
    /// Creates the service.
    pub fn new(shared: sync::Arc<state::Shared>) -> Front {
        Front { shared }
    }
}

impl listen::Service for Front {
    fn call(
        &self,
        req: hyper::Request<body::Incoming>,
        _client: net::SocketAddr,
    ) -> listen::Answer {
        let shared = sync::Arc::clone(&self.shared);
        Box::pin(async move { answer(&shared, req).await })
    }
}

async fn answer(
    shared: &sync::Arc<state::Shared>,
    req: hyper::Request<body::Incoming>,
) -> hyper::Response<listen::Body> {
    let started = shared.clock.now();
    let said = shared.dialect.parse_request(req.headers());
    let given = said.timeout.unwrap_or(DEADLINE_DEFAULT_MS);
    if shared.table.load().version == 0 {
        shared
            .configured(CONFIGURED_MS.min(clock::Millis(given.0 / 3)))
            .await;
    }
    let table = shared.table.load_full();
    let host = req.headers().get(header::HOST);
    let host = host.and_then(|host| host.to_str().ok()).unwrap_or("");
    let route = table.route(host_name(host), req.uri().path());
    let wait = route.map_or(given, |route| given.min(route.spec.timeout));
    let mut call = call::Call {
        shared,
        started,
        deadline: started + clock::Millis(wait.since(call::MARGIN_MS).0),
        id: said.request_id.unwrap_or("").into(),
        trail: decisions::Trail::default(),
    };
    let decided = match route {
        _ if table.version == 0 => {
            let after = Some(RETURN_MS.min(clock::Millis(given.0 / 3)));
            call.not_run(outcome::Reason::ConfigLease, after)
        }
        None => {
            let outcome = outcome::Outcome::NotRun(outcome::Reason::NoRoute);
            call.refuse(hyper::StatusCode::NOT_FOUND, outcome, None)
        }
        Some(route) => serve(&mut call, &table, route, req, given).await,
    };
    finish(
        &call,
        &table,
        route.map(|route| &route.spec),
        given,
        decided,
    )
}

/// Returns the name of a `Host` header without its port.
pub fn host_name(host: &str) -> &str {
    host.rsplit_once(':').map_or(host, |(name, _)| name)
}

fn finish(
    call: &call::Call<'_>,
    table: &table::Table,
    route: Option<&config::Route>,
    given: clock::Millis,
    decided: call::Final,
) -> hyper::Response<listen::Body> {
    let took = call.passed();
    let class = route.map(|route| route.class);
    let span = time::Duration::from_millis(took.0);
    let shared = call.shared;
    shared.metrics.requests.count(class, decided.outcome, span);
    let line = decisions::Decided {
        id: &call.id,
        route: route.map_or("", |route| &route.name),
        class,
        version: table.version,
        index: table.index,
        outcome: decided.outcome,
        status: decided.response.status().as_u16(),
        deadline: given,
        took,
        is_in_aim: route.is_some_and(|route| took <= route.aim),
        trail: &call.trail,
    };
    shared.decisions.write(shared.clock.now(), &line);
    let mut response = decided.response;
    if shared.is_stopping() {
        let close = header::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

/// Reads the body and serves the request.
async fn serve(
    call: &mut call::Call<'_>,
    table: &table::Table,
    route: &table::Route,
    req: hyper::Request<body::Incoming>,
    given: clock::Millis,
) -> call::Final {
    let (parts, incoming) = req.into_parts();
    let most = table
        .listeners
        .map_or(u64::MAX, |bounds| bounds.body_max_bytes);
    let size = body::Body::size_hint(&incoming).lower();
    if size > most {
        let outcome = outcome::Outcome::NotRun(outcome::Reason::Limit);
        return call.refuse(hyper::StatusCode::PAYLOAD_TOO_LARGE, outcome, None);
    }
    let limit = time::Duration::from_millis(call.left().0);
    let payload = match tokio::time::timeout(limit, payload::Payload::read(incoming)).await {
        Ok(Ok(payload)) => payload,
        Ok(Err(_)) => {
            let outcome = outcome::Outcome::NotRun(outcome::Reason::BadRequest);
            return call.refuse(hyper::StatusCode::BAD_REQUEST, outcome, None);
        }
        Err(_) => return call.not_run(outcome::Reason::Deadline, None),
    };
    let mut headers = parts.headers;
    head::strip_hop_headers(&mut headers);
    headers.remove(header::EXPECT);
    let head = send::Head {
        method: parts.method,
        uri: parts.uri,
        headers,
    };
    let service = &table.services[route.next_service()];
    let retries = &call.shared.settings.bounds.retry_budget;
    let now = call.shared.clock.now();
    service
        .budget
        .deposit(now, retries, table.processes_count());
    let request = exchange::Request {
        route,
        service: service.spec.name.clone(),
        head,
        payload,
        waited: route.estimate.infer_elapsed_wait(given),
    };
    exchange::Exchange::new(request).run(call).await
}

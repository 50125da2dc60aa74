//! Request path: handles a caller's request from its head to its outcome.

use crate::{attempt, call, caller, decisions, exchange, payload, pipelined, state, table};
use bytes::Bytes;
use hyper::{body, header};
use nutmegdale_base::{clock, outcome};
use nutmegdale_entry::head;
use nutmegdale_registry::config;
use nutmegdale_rpc::listen;
use std::net;
use std::sync;
use std::time;

/// Timeout of a request whose caller states none.
const TIMEOUT_DEFAULT_MS: clock::Millis = clock::Millis(30_000);
/// Maximum wait for a configuration after startup, further limited to a third of the caller's
/// timeout. A replication group whose members all start at once has a leader by then.
const CONFIG_WAIT_MAX_MS: clock::Millis = clock::Millis(1_000);
/// Time after which a caller should retry if there was no configuration yet, further limited to a
/// third of its timeout.
const UNCONFIGURED_RETRY_MS: clock::Millis = clock::Millis(400);

/// HTTP service that forwards callers' requests to servers.
#[allow(missing_debug_implementations)] // Holds trait objects.
pub struct Proxy {
    shared: sync::Arc<state::Shared>,
}

impl Proxy {
    /// Creates the service.
    pub fn new(shared: sync::Arc<state::Shared>) -> Proxy {
        Proxy { shared }
    }
}

impl listen::Service for Proxy {
    fn call(
        &self,
        req: hyper::Request<body::Incoming>,
        _client: net::SocketAddr,
    ) -> listen::ResponseFuture {
        let shared = sync::Arc::clone(&self.shared);
        Box::pin(async move {
            let started = shared.clock.now();
            handle(&shared, req.map(Some), started).await
        })
    }

    fn call_ahead(
        &self,
        req: &hyper::Request<()>,
        _client: net::SocketAddr,
    ) -> Option<listen::ResponseFuture> {
        let shared = sync::Arc::clone(&self.shared);
        let mut early = pipelined::Early::try_start(&shared, req)?;
        let req = req.clone().map(|()| None);
        Some(Box::pin(async move {
            let response = handle(&shared, req, early.started).await;
            early.complete();
            response
        }))
    }
}

/// Body of a request as it arrives; `None` if the request has none.
type RequestBody = Option<body::Incoming>;

async fn handle(
    shared: &sync::Arc<state::Shared>,
    req: hyper::Request<RequestBody>,
    started: clock::Millis,
) -> hyper::Response<listen::Body> {
    let metadata = shared.dialect.parse_request(req.headers());
    let timeout = metadata.timeout.unwrap_or(TIMEOUT_DEFAULT_MS);
    if shared.table.load().config_version == 0 {
        shared
            .wait_configured(CONFIG_WAIT_MAX_MS.min(clock::Millis(timeout.0 / 3)))
            .await;
    }
    // Read first: the table may only be newer than its evidence.
    let confirmed_at = shared.confirmed_at();
    let table = shared.table.load_full();
    let route = table.route(host_of(req.headers()), req.uri().path());
    let limit = route.map_or(timeout, |route| timeout.min(route.spec.timeout));
    let mut call = call::Call {
        shared,
        started,
        deadline: started + clock::Millis(limit.since(call::DEADLINE_MARGIN_MS).0),
        request_id: metadata.request_id.unwrap_or("").into(),
        account: None,
        trace: decisions::Trace::default(),
    };
    if req.body().is_none() {
        call.trace.push_event(call.elapsed(), "pipelined");
    }
    let final_response = match route {
        _ if table.config_version == 0 => {
            let retry_after = Some(UNCONFIGURED_RETRY_MS.min(clock::Millis(timeout.0 / 3)));
            call.not_run(outcome::Reason::ConfigLease, retry_after)
        }
        None => {
            let outcome = outcome::Outcome::NotRun(outcome::Reason::NoRoute);
            call.local_response(hyper::StatusCode::NOT_FOUND, outcome, None)
        }
        Some(route) => {
            let arrival = caller::Arrival {
                table: &table,
                route: &route.spec,
                headers: req.headers(),
                confirmed_at,
            };
            match caller::admit(&mut call, arrival).await {
                Ok(caller) => {
                    let response = forward(&mut call, &table, route, req, timeout, &caller).await;
                    caller.settle(shared, response.outcome);
                    response
                }
                Err(refused) => refused,
            }
        }
    };
    finish(
        &call,
        &table,
        route.map(|route| &route.spec),
        timeout,
        final_response,
    )
}

/// Returns the host that a request names, without the port; empty if it names none.
pub(crate) fn host_of(headers: &header::HeaderMap) -> &str {
    let host = headers.get(header::HOST);
    host_name(host.and_then(|host| host.to_str().ok()).unwrap_or(""))
}

/// Returns the host of a `Host` header without the port.
pub fn host_name(host: &str) -> &str {
    host.rsplit_once(':').map_or(host, |(name, _)| name)
}

/// Records the metrics and the log line of a request, and returns its response.
fn finish(
    call: &call::Call<'_>,
    table: &table::Table,
    route: Option<&config::Route>,
    timeout: clock::Millis,
    final_response: call::FinalResponse,
) -> hyper::Response<listen::Body> {
    let elapsed = call.elapsed();
    let class = route.map(|route| route.class);
    let duration = time::Duration::from_millis(elapsed.0);
    let shared = call.shared;
    shared
        .metrics
        .requests
        .count(class, final_response.outcome, duration);
    let record = decisions::Record {
        request_id: &call.request_id,
        route: route.map_or("", |route| &route.name),
        account: call.account.as_ref().map(|account| account.name.as_str()),
        class,
        config_version: table.config_version,
        registry_index: table.registry_index,
        outcome: final_response.outcome,
        status: final_response.response.status().as_u16(),
        timeout,
        elapsed,
        is_within_target: route.is_some_and(|route| elapsed <= route.target_latency),
        trace: &call.trace,
    };
    shared
        .decision_log
        .write_request(shared.clock.now(), &record);
    let mut response = final_response.response;
    if shared.is_stopping() {
        let close = header::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

/// Reads the body of a request and forwards it to a server.
async fn forward(
    call: &mut call::Call<'_>,
    table: &table::Table,
    route: &table::Route,
    req: hyper::Request<RequestBody>,
    timeout: clock::Millis,
    caller: &caller::Caller<'_>,
) -> call::FinalResponse {
    let (parts, incoming) = req.into_parts();
    let body_max_bytes = table
        .listeners
        .map_or(u64::MAX, |listeners| listeners.body_max_bytes);
    let size = incoming
        .as_ref()
        .map_or(0, |body| body::Body::size_hint(body).lower());
    if size > body_max_bytes {
        let outcome = outcome::Outcome::NotRun(outcome::Reason::Limit);
        return call.local_response(hyper::StatusCode::PAYLOAD_TOO_LARGE, outcome, None);
    }
    let time_left = time::Duration::from_millis(call.time_left().0);
    let read = async {
        match incoming {
            Some(incoming) => payload::Payload::read(incoming, &call.shared.buffer_budget).await,
            None => Ok(payload::Payload::from_bytes(Bytes::new())),
        }
    };
    let payload = match tokio::time::timeout(time_left, read).await {
        Ok(Ok(payload)) => payload,
        Ok(Err(_)) => {
            let outcome = outcome::Outcome::NotRun(outcome::Reason::BadRequest);
            return call.local_response(hyper::StatusCode::BAD_REQUEST, outcome, None);
        }
        Err(_) => return call.not_run(outcome::Reason::Deadline, None),
    };
    let mut headers = parts.headers;
    head::strip_hop_headers(&mut headers);
    headers.remove(header::EXPECT);
    caller.prepare(call.shared, &mut headers);
    let head = attempt::Head {
        method: parts.method,
        uri: parts.uri,
        headers,
    };
    let service = &table.services[route.next_service()];
    let retry_budget = &call.shared.settings.bounds.retry_budget;
    let now = call.shared.clock.now();
    call.shared.connect_budget.deposit(now);
    service
        .budget
        .deposit(now, retry_budget, table.processes_count());
    let request = exchange::Request {
        route,
        service_name: service.spec.name.clone(),
        priority: caller.priority,
        home_regions: caller.home_regions.clone(),
        identity: caller.identity.clone(),
        head,
        payload,
        waited_before: route.estimate.infer_elapsed_wait(timeout),
    };
    exchange::Exchange::new(request).run(call).await
}

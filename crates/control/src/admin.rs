//! Administration API: HTTP and JSON for operators.

use crate::catalogue;
use http_body_util::BodyExt;
use hyper::body;
use nutmegdale_catalogue::{change, config};
use nutmegdale_replica::handle;
use nutmegdale_rpc::listen;
use nutmegdale_settings::model;
use nutmegdale_telemetry::clock;
use serde::{Deserialize, Serialize};
use std::net;
use std::sync;
use subtle::ConstantTimeEq;

/// Largest body of a request of an operator, in bytes.
const BODY_MAX_BYTES: usize = 4 * 1024 * 1024;

/// Change as an operator sends it; the author is the operator.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct ChangeBody {
    id: String,
    base: Option<config::Version>,
    ops: Vec<change::Op>,
}

/// Error as operators read it.
#[derive(Debug, Serialize)]
struct ErrorBody<'a> {
    error: &'a str,
}

/// Service for operators.
#[allow(missing_debug_implementations)] // Holds tokens.
pub struct Admin {
    shared: sync::Arc<Shared>,
}

struct Shared {
    operators: Vec<model::Operator>,
    group: handle::Handle,
    published: sync::Arc<catalogue::Published>,
}

impl Admin {
    /// Creates the service.
    pub fn new(
        operators: &[model::Operator],
        group: handle::Handle,
        published: sync::Arc<catalogue::Published>,
    ) -> Admin {
        let shared = Shared {
            operators: operators.to_vec(),
            group,
            published,
        };
        Admin {
            shared: sync::Arc::new(shared),
        }
    }
}

impl listen::Service for Admin {
    fn call(
        &self,
        req: hyper::Request<body::Incoming>,
        _client: net::SocketAddr,
    ) -> listen::Answer {
        let shared = sync::Arc::clone(&self.shared);
        Box::pin(async move { shared.answer(req).await })
    }
}

impl Shared {
    async fn answer(&self, req: hyper::Request<body::Incoming>) -> hyper::Response<listen::Body> {
        let Some(operator) = self.authenticate(&req) else {
            return error(
                hyper::StatusCode::UNAUTHORIZED,
                "a valid operator token is required",
            );
        };
        let operator = operator.to_owned();
        match (req.method().as_str(), req.uri().path()) {
            ("GET", "/admin/v1/config") => self.show().await,
            ("POST", "/admin/v1/changes") => self.change(operator, req.into_body()).await,
            _ => error(hyper::StatusCode::NOT_FOUND, "no such resource"),
        }
    }

    fn authenticate(&self, req: &hyper::Request<body::Incoming>) -> Option<&str> {
        let value = req.headers().get(hyper::header::AUTHORIZATION)?.as_bytes();
        let token = value.strip_prefix(b"Bearer ")?;
        // Every token is compared, so that the time does not tell which one was close.
        let mut found = None;
        for operator in &self.operators {
            if bool::from(operator.token.as_bytes().ct_eq(token)) {
                found = Some(operator.name.as_str());
            }
        }
        found
    }

    async fn show(&self) -> hyper::Response<listen::Body> {
        match self.group.confirm().await {
            Ok(_) => json(hyper::StatusCode::OK, self.published.load().config.as_ref()),
            Err(err) => group_error(&err),
        }
    }

    async fn change(
        &self,
        author: String,
        incoming: body::Incoming,
    ) -> hyper::Response<listen::Body> {
        let limited = http_body_util::Limited::new(incoming, BODY_MAX_BYTES);
        let Ok(collected) = limited.collect().await else {
            return error(
                hyper::StatusCode::PAYLOAD_TOO_LARGE,
                "body is larger than 4 MiB",
            );
        };
        let body: ChangeBody = match serde_json::from_slice(&collected.to_bytes()) {
            Ok(body) => body,
            Err(err) => return error(hyper::StatusCode::BAD_REQUEST, &err.to_string()),
        };
        let change = change::Change {
            id: body.id,
            base: body.base,
            author,
            ops: body.ops,
        };
        let cmd = catalogue::Command {
            change,
            wall_ms: clock::wall_ms(),
        };
        let cmd = rmp_serde::to_vec_named(&cmd).expect("command can be encoded");
        match self.group.propose(cmd).await {
            Ok(reply) => {
                let answer: change::Answer =
                    rmp_serde::from_slice(&reply).expect("answer of the state machine");
                json(status_of(&answer), &answer)
            }
            Err(err) => group_error(&err),
        }
    }
}

fn status_of(answer: &change::Answer) -> hyper::StatusCode {
    match answer {
        change::Answer::Accepted { .. } => hyper::StatusCode::OK,
        change::Answer::Conflict { .. } => hyper::StatusCode::CONFLICT,
        change::Answer::Rejected { .. } => hyper::StatusCode::UNPROCESSABLE_ENTITY,
    }
}

fn group_error(err: &handle::ProposeError) -> hyper::Response<listen::Body> {
    error(hyper::StatusCode::SERVICE_UNAVAILABLE, &err.to_string())
}

fn error(status: hyper::StatusCode, text: &str) -> hyper::Response<listen::Body> {
    json(status, &ErrorBody { error: text })
}

fn json<T: Serialize>(status: hyper::StatusCode, value: &T) -> hyper::Response<listen::Body> {
    let body = serde_json::to_vec(value).expect("answer can be encoded");
    let mut response = hyper::Response::new(listen::full(body));
    *response.status_mut() = status;
    let kind = hyper::header::HeaderValue::from_static("application/json");
    response
        .headers_mut()
        .insert(hyper::header::CONTENT_TYPE, kind);
    response
}

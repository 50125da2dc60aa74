//! Server side of calls between processes.

use crate::listen;
use crate::message;
use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body;
use std::net;
use std::pin;
use std::sync;
use subtle::ConstantTimeEq;

/// Encoded response to a call, or the status and text of a refusal.
pub type Reply = Result<Vec<u8>, (hyper::StatusCode, String)>;
/// Future of the reply to a call.
pub type ReplyFuture = pin::Pin<Box<dyn Future<Output = Reply> + Send>>;

/// Dispatches calls by name.
pub trait Handler: Send + Sync + 'static {
    /// Handles the call `name`, or returns `None` for an unknown name.
    fn call(&self, name: &str, body: Bytes) -> Option<ReplyFuture>;
}

/// HTTP service that verifies the cluster token and protocol version before it dispatches a call.
#[allow(missing_debug_implementations)] // Holds a trait object and a secret.
pub struct CallService {
    token: String,
    handler: sync::Arc<dyn Handler>,
}

impl CallService {
    /// Creates a service that accepts calls with the cluster token `token`.
    pub fn new(token: &str, handler: sync::Arc<dyn Handler>) -> CallService {
        CallService {
            token: token.to_owned(),
            handler,
        }
    }

    fn check(&self, req: &hyper::Request<body::Incoming>) -> Result<(), hyper::StatusCode> {
        let header = |name| {
            req.headers()
                .get(name)
                .map_or(&b""[..], |value| value.as_bytes())
        };
        if !bool::from(header(message::TOKEN_HEADER).ct_eq(self.token.as_bytes())) {
            return Err(hyper::StatusCode::UNAUTHORIZED);
        }
        if header(message::PROTOCOL_HEADER) != message::PROTOCOL.as_bytes() {
            return Err(hyper::StatusCode::UPGRADE_REQUIRED);
        }
        if req.method() != hyper::Method::POST {
            return Err(hyper::StatusCode::METHOD_NOT_ALLOWED);
        }
        Ok(())
    }
}

impl listen::Service for CallService {
    fn call(
        &self,
        req: hyper::Request<body::Incoming>,
        _client: net::SocketAddr,
    ) -> listen::ResponseFuture {
        if let Err(status) = self.check(&req) {
            return listen::ready(response(status, Vec::new()));
        }
        let handler = sync::Arc::clone(&self.handler);
        Box::pin(async move { handle(handler.as_ref(), req).await })
    }
}

async fn handle(
    handler: &dyn Handler,
    req: hyper::Request<body::Incoming>,
) -> hyper::Response<listen::Body> {
    let (head, incoming) = req.into_parts();
    let Some(name) = head.uri.path().strip_prefix(message::CALL_PATH) else {
        return response(hyper::StatusCode::NOT_FOUND, Vec::new());
    };
    let limited = http_body_util::Limited::new(incoming, message::BODY_MAX_BYTES);
    let Ok(collected) = limited.collect().await else {
        return response(hyper::StatusCode::PAYLOAD_TOO_LARGE, Vec::new());
    };
    let Some(reply) = handler.call(name, collected.to_bytes()) else {
        return response(hyper::StatusCode::NOT_FOUND, Vec::new());
    };
    match reply.await {
        Ok(body) => response(hyper::StatusCode::OK, body),
        Err((status, text)) => response(status, text.into_bytes()),
    }
}

fn response(status: hyper::StatusCode, body: Vec<u8>) -> hyper::Response<listen::Body> {
    let mut response = hyper::Response::new(listen::full(body));
    *response.status_mut() = status;
    response
}

/// Decodes the body of a call.
///
/// # Errors
///
/// Returns status 400 if the body does not decode as `T`.
pub fn decode<T: serde::de::DeserializeOwned>(
    body: &[u8],
) -> Result<T, (hyper::StatusCode, String)> {
    rmp_serde::from_slice(body).map_err(|err| (hyper::StatusCode::BAD_REQUEST, err.to_string()))
}

/// Encodes the response to a call.
///
/// # Errors
///
/// Returns status 500 if the value cannot be encoded.
pub fn encode<T: serde::Serialize>(value: &T) -> Reply {
    rmp_serde::to_vec_named(value).map_err(|err| encode_error(&err))
}

/// Encodes the response to a call without field names; see
/// [`crate::client::Client::call_compact`].
///
/// # Errors
///
/// Returns status 500 if the value cannot be encoded.
pub fn encode_compact<T: serde::Serialize>(value: &T) -> Reply {
    rmp_serde::to_vec(value).map_err(|err| encode_error(&err))
}

fn encode_error(err: &rmp_serde::encode::Error) -> (hyper::StatusCode, String) {
    (hyper::StatusCode::INTERNAL_SERVER_ERROR, err.to_string())
}

//! Stub backend server with a fixed behaviour.

use bytes::Bytes;
use hyper::{body, header};
use hyper_util::rt;
use nutmegdale_rpc::listen;
use std::collections;
use std::fmt;
use std::net;
use std::sync;
use std::time;
use tokio::net::TcpListener;

/// Behaviour of a server towards requests.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Behaviour {
    /// Sends a complete response.
    Answer,
    /// Sends a complete response after a delay.
    Slow,
    /// Sends a server error after a delay.
    SlowFailure,
    /// Runs the request, then closes the connection without a response.
    Abort,
    /// Rejects the request and states that it did not run it.
    Refuse,
    /// Sends a response with the identifier of another request.
    WrongId,
    /// Sends a response without the signature.
    Unsigned,
    /// Closes the connection in the middle of the response body.
    Truncate,
    /// Sends a response with a content encoding that was not requested.
    Encoded,
    /// Sends a complete response after a delay, from another region, and hangs on health checks.
    Late,
    /// Sends a complete response, but closes the connections of health checks, as a full server
    /// does.
    Full,
    /// Never responds.
    Hang,
}

/// What all servers recorded about one request.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct RequestStats {
    pub(crate) arrivals: usize,
    pub(crate) runs: usize,
    pub(crate) is_cancelled: bool,
}

/// Records of all servers by request identifier.
pub(crate) type RequestLog = sync::Arc<sync::Mutex<collections::HashMap<String, RequestStats>>>;

/// Identifier under which health checks are recorded.
pub(crate) const HEALTH_ID: &str = "health";

/// Starts a server and returns its address.
pub(crate) async fn start(behaviour: Behaviour, log: RequestLog) -> net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let log = sync::Arc::clone(&log);
            let respond = move |req| respond(behaviour, sync::Arc::clone(&log), req);
            let service = hyper::service::service_fn(respond);
            let io = rt::TokioIo::new(stream);
            tokio::spawn(hyper::server::conn::http1::Builder::new().serve_connection(io, service));
        }
    });
    address
}

/// Returns an address at which nothing listens.
pub(crate) async fn crashed_server() -> net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    listener.local_addr().expect("an address")
}

/// Records on drop that the request was cancelled.
struct CancelGuard {
    id: String,
    log: RequestLog,
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        let mut log = self.log.lock().expect("no test panicked");
        log.entry(self.id.clone()).or_default().is_cancelled = true;
    }
}

async fn respond(
    behaviour: Behaviour,
    log: RequestLog,
    req: hyper::Request<body::Incoming>,
) -> Result<hyper::Response<listen::Body>, ConnectionAbort> {
    if req.uri().path() == "/health" {
        record(&log, HEALTH_ID, false);
        if matches!(behaviour, Behaviour::Late) {
            std::future::pending::<()>().await;
        }
        if matches!(behaviour, Behaviour::Full) {
            return Err(ConnectionAbort);
        }
        return Ok(hyper::Response::new(listen::full("")));
    }
    let id = req.headers()["id"]
        .to_str()
        .expect("a valid request id")
        .to_owned();
    record(&log, &id, !matches!(behaviour, Behaviour::Refuse));
    let unsigned = hyper::Response::builder();
    let signed = hyper::Response::builder().header("signed", "1");
    let body = || listen::full("whole answer");
    let response = match behaviour {
        Behaviour::Abort => return Err(ConnectionAbort),
        Behaviour::Answer | Behaviour::Full => signed.header("id", &id).body(body()),
        Behaviour::Late => {
            tokio::time::sleep(time::Duration::from_millis(240)).await;
            signed.header("id", &id).body(body())
        }
        Behaviour::Slow => {
            tokio::time::sleep(time::Duration::from_millis(150)).await;
            signed.header("id", &id).body(body())
        }
        Behaviour::SlowFailure => {
            tokio::time::sleep(time::Duration::from_millis(120)).await;
            signed.header("id", &id).status(500).body(body())
        }
        Behaviour::Refuse => {
            let refusal = unsigned.header("not-run", "1").header("id", &id);
            refusal.status(503).body(body())
        }
        Behaviour::WrongId => signed.header("id", "another").body(body()),
        Behaviour::Unsigned => unsigned.header("id", &id).body(body()),
        Behaviour::Truncate => signed.header("id", &id).body(truncated()),
        Behaviour::Encoded => signed.header(header::CONTENT_ENCODING, "gzip").body(body()),
        Behaviour::Hang => {
            let _guard = CancelGuard { id, log };
            std::future::pending().await
        }
    };
    Ok(response.expect("a valid response"))
}

fn record(log: &RequestLog, id: &str, is_run: bool) {
    let mut log = log.lock().expect("no test panicked");
    let stats = log.entry(id.to_owned()).or_default();
    stats.arrivals += 1;
    stats.runs += usize::from(is_run);
}

fn truncated() -> listen::Body {
    let frames = futures_util::stream::iter([
        Ok(body::Frame::data(Bytes::from_static(b"half an"))),
        Err(listen::BodyError::from("cut")),
    ]);
    listen::Body::new(http_body_util::StreamBody::new(frames))
}

/// Error that makes hyper close the connection without a response.
#[derive(Debug)]
pub(crate) struct ConnectionAbort;

impl fmt::Display for ConnectionAbort {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("connection closed by the stub server")
    }
}

impl std::error::Error for ConnectionAbort {}

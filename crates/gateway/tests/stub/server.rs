//! Backend server that behaves as told.

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

/// How a server answers requests.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Behaviour {
    /// With a whole answer.
    Answer,
    /// With a whole answer, after a while.
    Slow,
    /// With a failure, after a while.
    SlowFailure,
    /// By closing the connection after it has run the request.
    BreakOff,
    /// With a refusal that states that it has not run the request.
    Refuse,
    /// With the identifier of another request.
    OtherId,
    /// Without the mark of a server's answer.
    Unsigned,
    /// With fewer bytes than announced.
    CutShort,
    /// With an encoding that was not asked for.
    Encoded,
    /// With a whole answer after a while, from a far region, and to no health check.
    Late,
    /// With a whole answer, and resets the connections of health checks, as a full server does.
    Full,
    /// Not at all.
    Hang,
}

/// What servers saw of one request.
#[derive(Debug, Default, Clone, Copy)]
pub(crate) struct Seen {
    pub(crate) arrivals: usize,
    pub(crate) runs: usize,
    pub(crate) is_cancelled: bool,
}

/// What servers saw, by the identifier of the request.
pub(crate) type Log = sync::Arc<sync::Mutex<collections::HashMap<String, Seen>>>;

/// Identifier under which health checks are logged.
pub(crate) const HEALTH_ID: &str = "health";

/// Starts a server and returns its address.
pub(crate) async fn start(behaviour: Behaviour, log: Log) -> net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let log = sync::Arc::clone(&log);
            let answer = move |req| answer(behaviour, sync::Arc::clone(&log), req);
            let service = hyper::service::service_fn(answer);
            let io = rt::TokioIo::new(stream);
            tokio::spawn(hyper::server::conn::http1::Builder::new().serve_connection(io, service));
        }
    });
    address
}

/// Notes that the future of an answer was dropped before its end.
struct Cancelled {
    id: String,
    log: Log,
}

impl Drop for Cancelled {
    fn drop(&mut self) {
        let mut log = self.log.lock().expect("no test panicked");
        log.entry(self.id.clone()).or_default().is_cancelled = true;
    }
}

async fn answer(
    behaviour: Behaviour,
    log: Log,
    req: hyper::Request<body::Incoming>,
) -> Result<hyper::Response<listen::Body>, Broken> {
    if req.uri().path() == "/health" {
        note(&log, HEALTH_ID, false);
        if matches!(behaviour, Behaviour::Late) {
            std::future::pending::<()>().await;
        }
        if matches!(behaviour, Behaviour::Full) {
            return Err(Broken);
        }
        return Ok(hyper::Response::new(listen::full("")));
    }
    let id = req.headers()["id"].to_str().expect("a plain id").to_owned();
    note(&log, &id, !matches!(behaviour, Behaviour::Refuse));
    let bare = hyper::Response::builder();
    let signed = hyper::Response::builder().header("signed", "1");
    let body = || listen::full("whole answer");
    let answer = match behaviour {
        Behaviour::BreakOff => return Err(Broken),
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
        Behaviour::Refuse => bare.header("not-run", "1").status(503).body(body()),
        Behaviour::OtherId => signed.header("id", "another").body(body()),
        Behaviour::Unsigned => bare.header("id", &id).body(body()),
        Behaviour::CutShort => signed.header("id", &id).body(cut_short()),
        Behaviour::Encoded => signed.header(header::CONTENT_ENCODING, "gzip").body(body()),
        Behaviour::Hang => {
            let _cancelled = Cancelled { id, log };
            std::future::pending().await
        }
    };
    Ok(answer.expect("a valid answer"))
}

fn note(log: &Log, id: &str, is_run: bool) {
    let mut log = log.lock().expect("no test panicked");
    let seen = log.entry(id.to_owned()).or_default();
    seen.arrivals += 1;
    seen.runs += usize::from(is_run);
}

fn cut_short() -> listen::Body {
    let frames = futures_util::stream::iter([
        Ok(body::Frame::data(Bytes::from_static(b"half an"))),
        Err(listen::BodyError::from("cut")),
    ]);
    listen::Body::new(http_body_util::StreamBody::new(frames))
}

/// Makes the connection close without an answer.
#[derive(Debug)]
pub(crate) struct Broken;

impl fmt::Display for Broken {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("broken off")
    }
}

impl std::error::Error for Broken {}

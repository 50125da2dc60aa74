//! HTTP listener with bounds against slow or hostile clients and a graceful end.

mod activity;
mod connection;
mod watched;

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body;
use hyper_util::rt;
use hyper_util::server::conn;
use nutmegdale_base::clock;
use std::convert;
use std::future;
use std::net;
use std::pin;
use std::sync;
use std::time;
use tokio::sync::watch;

/// Body of an answer.
pub type Body = http_body_util::combinators::UnsyncBoxBody<Bytes, BodyError>;
/// Error of a body that ends early.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;
/// Future of an answer.
pub type Answer = pin::Pin<Box<dyn Future<Output = hyper::Response<Body>> + Send>>;

/// Answers the requests of one listener.
pub trait Service: Send + Sync + 'static {
    /// Answers one request of `client`.
    fn call(&self, req: hyper::Request<body::Incoming>, client: net::SocketAddr) -> Answer;
}

/// Bounds of a listener.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Time for a client to send all headers of a request. The number of headers is bounded by the
    /// HTTP library's default of 100; any other number makes it allocate for each request.
    pub header_read_ms: clock::Millis,
    /// Time for a client to take some bytes of an answer.
    pub write_stall_ms: clock::Millis,
    /// Time that a connection may be open between two requests.
    pub idle_ms: clock::Millis,
    /// Bytes of the head of one request.
    pub head_max_bytes: usize,
    /// Connections at once.
    pub connections_max_count: usize,
    /// HTTP/2 streams of one connection at once.
    pub streams_max_count: u32,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds {
            header_read_ms: clock::Millis(10_000),
            write_stall_ms: clock::Millis(30_000),
            idle_ms: clock::Millis(60_000),
            head_max_bytes: 16 * 1024,
            connections_max_count: 10_000,
            streams_max_count: 64,
        }
    }
}

/// Returns a body that holds `bytes`.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    let never = |err: convert::Infallible| match err {};
    http_body_util::Full::new(bytes.into())
        .map_err(never)
        .boxed_unsync()
}

/// Binds a listener.
///
/// # Errors
///
/// Returns the error of the operating system.
pub async fn bind(address: net::SocketAddr) -> std::io::Result<tokio::net::TcpListener> {
    let bound = tokio::net::TcpListener::bind(address).await;
    bound.map_err(|err| std::io::Error::new(err.kind(), format!("listen at {address}: {err}")))
}

/// Connections accepted after the end was asked for, so that a hostile client cannot delay it.
const LATE_MAX_COUNT: u32 = 1_024;

/// Serves a listener until `stop` turns true, then lets every request end within `drain`.
///
/// Returns whether every request ended in time. Connections over the bound wait in the backlog.
pub async fn serve(
    listener: tokio::net::TcpListener,
    service: sync::Arc<dyn Service>,
    bounds: Bounds,
    stop: watch::Receiver<bool>,
    drain: clock::Millis,
) -> bool {
    serve_with(listener, service, &|| bounds, stop, drain).await
}

/// As [`serve`], with bounds that are read anew for each connection, since they may change while
/// the process runs. The number of connections is bounded by the first bounds.
pub async fn serve_with(
    listener: tokio::net::TcpListener,
    service: sync::Arc<dyn Service>,
    current: &(dyn Fn() -> Bounds + Send + Sync),
    mut stop: watch::Receiver<bool>,
    drain: clock::Millis,
) -> bool {
    let connections_max_count = current().connections_max_count;
    let permits = sync::Arc::new(tokio::sync::Semaphore::new(connections_max_count));
    let mut late_count = 0;
    while late_count < LATE_MAX_COUNT {
        late_count += u32::from(*stop.borrow());
        // Accepting comes first: connections that wait when the listener ends would be broken off.
        let accepted = tokio::select! {
            biased;
            accepted = accept(&listener, &permits) => accepted,
            _ = stop.wait_for(|is_stopping| *is_stopping) => break,
        };
        let Some((stream, client, permit)) = accepted else {
            continue;
        };
        let service = sync::Arc::clone(&service);
        let bounds = current();
        let conn = connection::serve(
            builder(&bounds),
            stream,
            client,
            service,
            bounds,
            stop.clone(),
        );
        tokio::spawn(async move {
            conn.await;
            drop(permit);
        });
    }
    drop(listener);
    let drain = time::Duration::from_millis(drain.0);
    // Every permit is back once every connection has ended.
    let count = u32::try_from(connections_max_count).unwrap_or(u32::MAX);
    tokio::time::timeout(drain, permits.acquire_many(count))
        .await
        .is_ok()
}

type Accepted = (
    tokio::net::TcpStream,
    net::SocketAddr,
    tokio::sync::OwnedSemaphorePermit,
);

async fn accept(
    listener: &tokio::net::TcpListener,
    permits: &sync::Arc<tokio::sync::Semaphore>,
) -> Option<Accepted> {
    let permit = sync::Arc::clone(permits).acquire_owned().await.ok()?;
    match listener.accept().await {
        Ok((stream, client)) => {
            // Without it, small answers wait for the client's delayed acknowledgement.
            stream.set_nodelay(true).ok()?;
            Some((stream, client, permit))
        }
        Err(_) => {
            // Out of file descriptors: a pause keeps the loop from spinning on the same error.
            tokio::time::sleep(time::Duration::from_millis(50)).await;
            None
        }
    }
}

fn builder(bounds: &Bounds) -> conn::auto::Builder<rt::TokioExecutor> {
    let mut builder = conn::auto::Builder::new(rt::TokioExecutor::new());
    builder
        .http1()
        .header_read_timeout(None)
        .max_buf_size(bounds.head_max_bytes);
    builder
        .http2()
        .timer(rt::TokioTimer::new())
        .max_concurrent_streams(bounds.streams_max_count)
        .max_header_list_size(u32::try_from(bounds.head_max_bytes).unwrap_or(u32::MAX))
        .keep_alive_interval(time::Duration::from_secs(20))
        .keep_alive_timeout(time::Duration::from_secs(10));
    builder
}

/// Returns a future that is ready at once, for services that answer without waiting.
pub fn ready(response: hyper::Response<Body>) -> Answer {
    Box::pin(future::ready(response))
}

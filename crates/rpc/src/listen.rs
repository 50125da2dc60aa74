//! HTTP listener with graceful shutdown and limits that protect it from slow or hostile clients.

mod activity;
mod ahead;
mod connection;
mod head;
mod stream;
mod tracked;

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

/// Body of a response.
pub type Body = http_body_util::combinators::UnsyncBoxBody<Bytes, BodyError>;
/// Error of a body that ends prematurely.
pub type BodyError = Box<dyn std::error::Error + Send + Sync>;
/// Future of a response.
pub type ResponseFuture = pin::Pin<Box<dyn Future<Output = hyper::Response<Body>> + Send>>;

/// Handles the requests of one listener.
pub trait Service: Send + Sync + 'static {
    /// Handles one request from `client`.
    fn call(&self, req: hyper::Request<body::Incoming>, client: net::SocketAddr) -> ResponseFuture;

    /// Returns the handling of a pipelined request without a body, which then starts while earlier
    /// requests of its connection are unfinished; `None` to handle it in its turn by
    /// [`Service::call`]. The future is dropped if the connection ends first, so this suits only
    /// requests that may run again.
    fn call_ahead(
        &self,
        _req: &hyper::Request<()>,
        _client: net::SocketAddr,
    ) -> Option<ResponseFuture> {
        None
    }
}

/// Timeouts and resource limits of a listener.
#[derive(Debug, Clone, Copy)]
pub struct Bounds {
    /// Time limit for a client to send all headers of a request. The number of headers is limited
    /// by the HTTP library's default of 100; with any other limit it allocates for each request.
    pub header_read_ms: clock::Millis,
    /// Maximum time that a write may stall because the client reads no bytes of a response.
    pub write_stall_ms: clock::Millis,
    /// Idle timeout of a connection between two requests.
    pub idle_ms: clock::Millis,
    /// Maximum size of a request head, in bytes.
    pub head_max_bytes: usize,
    /// Maximum number of concurrent connections.
    pub connections_max_count: usize,
    /// Maximum number of concurrent HTTP/2 streams per connection.
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
    let infallible = |err: convert::Infallible| match err {};
    http_body_util::Full::new(bytes.into())
        .map_err(infallible)
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

/// Maximum number of connections accepted after `stop` turned true, so that a client that keeps
/// connecting cannot delay the shutdown.
const LATE_ACCEPTS_MAX_COUNT: u32 = 1_024;

/// Serves a listener until `stop` turns true, then waits up to `drain` for the requests in flight.
///
/// Returns whether all of them finished in time. Connections over the limit wait in the backlog.
pub async fn serve(
    listener: tokio::net::TcpListener,
    service: sync::Arc<dyn Service>,
    bounds: Bounds,
    stop: watch::Receiver<bool>,
    drain: clock::Millis,
) -> bool {
    serve_with(listener, service, &|| bounds, stop, drain).await
}

/// Like [`serve`], but calls `current_bounds` for each connection, since the bounds may change at
/// run time. The maximum number of connections is read only once, at the start.
pub async fn serve_with(
    listener: tokio::net::TcpListener,
    service: sync::Arc<dyn Service>,
    current_bounds: &(dyn Fn() -> Bounds + Send + Sync),
    mut stop: watch::Receiver<bool>,
    drain: clock::Millis,
) -> bool {
    let connections_max_count = current_bounds().connections_max_count;
    let permits = sync::Arc::new(tokio::sync::Semaphore::new(connections_max_count));
    let mut late_accepts_count = 0;
    while late_accepts_count < LATE_ACCEPTS_MAX_COUNT {
        late_accepts_count += u32::from(*stop.borrow());
        // Accept first: connections left in the backlog are reset when the listener closes.
        let accepted = tokio::select! {
            biased;
            accepted = accept(&listener, &permits) => accepted,
            _ = stop.wait_for(|is_stopping| *is_stopping) => break,
        };
        let Some((stream, client, permit)) = accepted else {
            continue;
        };
        let service = sync::Arc::clone(&service);
        let bounds = current_bounds();
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
    // All permits are available again once every connection has closed.
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
            // With Nagle's algorithm, small responses would wait for the client's delayed ACK.
            stream.set_nodelay(true).ok()?;
            Some((stream, client, permit))
        }
        Err(_) => {
            // Usually out of file descriptors: pause so that the loop does not spin on the same
            // error.
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

/// Returns an immediately ready future, for services that respond without waiting.
pub fn ready(response: hyper::Response<Body>) -> ResponseFuture {
    Box::pin(future::ready(response))
}

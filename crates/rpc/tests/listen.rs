//! Tests the listener against slow, hostile and disconnecting clients. Each may hold a connection
//! only for a bounded time, none may abort the request of another client, and a truncated response
//! must not look complete.

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body;
use nutmegdale_base::clock;
use nutmegdale_rpc::listen;
use std::net;
use std::sync;
use std::time;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;

/// Responds to `/slow` after 600 ms, to `/large` with 64 MiB, otherwise with the size of the body.
struct Echo;

impl listen::Service for Echo {
    fn call(
        &self,
        req: hyper::Request<body::Incoming>,
        _: net::SocketAddr,
    ) -> listen::ResponseFuture {
        Box::pin(async move {
            let path = req.uri().path().to_owned();
            let Ok(body) = req.into_body().collect().await else {
                return hyper::Response::new(listen::full("broken"));
            };
            if path == "/slow" {
                tokio::time::sleep(time::Duration::from_millis(600)).await;
            }
            if path == "/large" {
                return hyper::Response::new(listen::full(vec![b'x'; 64 << 20]));
            }
            hyper::Response::new(listen::full(body.to_bytes().len().to_string()))
        })
    }
}

struct Listener {
    address: net::SocketAddr,
    stop: watch::Sender<bool>,
    serving: tokio::task::JoinHandle<bool>,
}

async fn start() -> Listener {
    let any_port = (net::Ipv4Addr::LOCALHOST, 0).into();
    let listener = listen::bind(any_port).await.expect("address is free");
    let address = listener.local_addr().expect("address is known");
    let (stop, stop_rx) = watch::channel(false);
    let bounds = listen::Bounds {
        header_read_ms: clock::Millis(200),
        write_stall_ms: clock::Millis(400),
        idle_ms: clock::Millis(400),
        ..listen::Bounds::default()
    };
    let drain = clock::Millis(3_000);
    let service = sync::Arc::new(Echo);
    let serving = tokio::spawn(listen::serve(listener, service, bounds, stop_rx, drain));
    Listener {
        address,
        stop,
        serving,
    }
}

async fn connect(listener: &Listener) -> TcpStream {
    TcpStream::connect(listener.address)
        .await
        .expect("listener accepts")
}

/// Sends `text`; returns everything received until the connection closes, and the elapsed time.
async fn exchange(listener: &Listener, text: &[u8]) -> (String, time::Duration) {
    let mut stream = connect(listener).await;
    let begin = time::Instant::now();
    stream.write_all(text).await.expect("bytes can be sent");
    let mut response = Vec::new();
    let read = stream.read_to_end(&mut response);
    // A read error also means that the connection is closed.
    let closed = tokio::time::timeout(time::Duration::from_secs(10), read).await;
    assert!(closed.is_ok(), "connection was not closed");
    (
        String::from_utf8_lossy(&response).into_owned(),
        begin.elapsed(),
    )
}

fn assert_refused(response: &str, case: &str) {
    let is_refused = response.is_empty() || response.starts_with("HTTP/1.1 4");
    assert!(is_refused, "{case}: {response:?}");
}

#[tokio::test]
async fn slow_head_and_silent_connection_time_out() {
    let listener = start().await;
    for text in [&b"GET / HTTP/1.1\r\nhost: r\r\nx-slow: "[..], b"", b"P"] {
        let (response, took) = exchange(&listener, text).await;
        assert_refused(&response, "slow head");
        assert!(took < time::Duration::from_secs(2), "took {took:?}");
    }
}

#[tokio::test]
async fn idle_connection_times_out_but_slow_response_does_not() {
    let listener = start().await;
    let text = b"GET /slow HTTP/1.1\r\nhost: r\r\n\r\n";
    let (response, took) = exchange(&listener, text).await;
    assert!(response.starts_with("HTTP/1.1 200"), "{response:?}");
    assert!(took >= time::Duration::from_millis(900), "took {took:?}");
}

#[tokio::test]
async fn stalled_client_is_disconnected_with_a_truncated_response() {
    let listener = start().await;
    let mut stream = connect(&listener).await;
    let text = b"GET /large HTTP/1.1\r\nhost: r\r\n\r\n";
    stream.write_all(text).await.expect("bytes can be sent");
    tokio::time::sleep(time::Duration::from_millis(1_500)).await;
    let mut response = Vec::new();
    let read = stream.read_to_end(&mut response);
    let read = tokio::time::timeout(time::Duration::from_secs(10), read).await;
    let read = read.expect("connection was closed");
    assert!(read.is_err() || response.len() < 64 << 20);
}

#[tokio::test]
async fn too_many_or_too_large_headers_are_refused() {
    let listener = start().await;
    let many: String = (0..101).map(|n| format!("x-{n}: 1\r\n")).collect();
    let large = format!("x-large: {}\r\n", "x".repeat(17 * 1024));
    for headers in [many, large] {
        let text = format!("GET / HTTP/1.1\r\nhost: r\r\n{headers}\r\n");
        let (response, _) = exchange(&listener, text.as_bytes()).await;
        assert_refused(&response, "headers");
    }
}

#[tokio::test]
async fn requests_with_ambiguous_framing_are_refused() {
    let listener = start().await;
    let heads = [
        "content-length: 3\r\ncontent-length: 4",
        "content-length: 3, 4",
        "content-length: +3",
        "content-length: 3\r\ntransfer-encoding: identity",
        "transfer-encoding: chunked, identity",
        "transfer-encoding: xchunked",
        "transfer-encoding : chunked",
        "x: 1\r\n folded: 2",
    ];
    for head in heads {
        let text =
            format!("POST / HTTP/1.1\r\nhost: r\r\n{head}\r\n\r\nabcGET /x HTTP/1.1\r\n\r\n");
        let (response, _) = exchange(&listener, text.as_bytes()).await;
        assert_refused(&response, head);
    }
}

#[tokio::test]
async fn content_length_with_chunked_encoding_does_not_make_two_requests() {
    let listener = start().await;
    // Chunked framing takes precedence; framed by length, the rest would be a second request.
    let text = "POST / HTTP/1.1\r\nhost: r\r\ncontent-length: 5\r\ntransfer-encoding: chunked\r\n\r\n\
                1c\r\nGET /x HTTP/1.1\r\nhost: r\r\n\r\n\r\n0\r\n\r\n";
    let (response, _) = exchange(&listener, text.as_bytes()).await;
    let responses = response.matches("HTTP/1.1 ").count();
    assert!(responses <= 1, "{response:?}");
}

#[tokio::test]
async fn graceful_shutdown_finishes_requests_and_closes_idle_connections() {
    let listener = start().await;
    let mut idle = connect(&listener).await;
    let text = b"GET / HTTP/1.1\r\nhost: r\r\n\r\n";
    idle.write_all(text).await.expect("bytes can be sent");
    let mut buf = [0; 512];
    assert!(idle.read(&mut buf).await.expect("response") > 0);
    let busy = exchange(&listener, b"GET /slow HTTP/1.1\r\nhost: r\r\n\r\n");
    let stopping = async {
        tokio::time::sleep(time::Duration::from_millis(100)).await;
        listener.stop.send_replace(true);
        idle.read(&mut buf).await
    };
    let ((response, _), idle_read) = tokio::join!(busy, stopping);
    assert!(response.starts_with("HTTP/1.1 200"), "{response:?}");
    assert!(response.ends_with("\r\n\r\n0"), "{response:?}");
    assert_eq!(idle_read.expect("clean close"), 0);
    assert!(listener.serving.await.expect("no panic"));
}

type Http2 = hyper::client::conn::http2::SendRequest<http_body_util::Full<Bytes>>;

async fn http2(listener: &Listener) -> Http2 {
    let io = hyper_util::rt::TokioIo::new(connect(listener).await);
    let executor = hyper_util::rt::TokioExecutor::new();
    let (sender, conn) = hyper::client::conn::http2::handshake(executor, io)
        .await
        .expect("handshake");
    tokio::spawn(async move { drop(conn.await) });
    sender
}

fn get(path: &str) -> hyper::Request<http_body_util::Full<Bytes>> {
    hyper::Request::get(format!("http://registry{path}"))
        .body(http_body_util::Full::default())
        .expect("valid request")
}

#[tokio::test]
async fn graceful_shutdown_finishes_http2_streams() {
    let listener = start().await;
    let mut sender = http2(&listener).await;
    let sent: Vec<_> = (0..8).map(|_| sender.send_request(get("/slow"))).collect();
    tokio::time::sleep(time::Duration::from_millis(100)).await;
    listener.stop.send_replace(true);
    for response in sent {
        let response = response.await.expect("stream is finished");
        let body = response.into_body().collect().await.expect("whole body");
        assert_eq!(body.to_bytes(), "0");
    }
    assert!(listener.serving.await.expect("no panic"));
}

#[tokio::test]
async fn rapid_stream_resets_close_only_their_connection() {
    let listener = start().await;
    let mut sender = http2(&listener).await;
    for _ in 0..5_000 {
        if sender.ready().await.is_err() {
            break;
        }
        // Dropping the future resets the stream. Yield first, so that the connection's task opens
        // the stream; a request that is dropped earlier is never sent.
        let sent = sender.send_request(get("/slow"));
        tokio::task::yield_now().await;
        drop(sent);
    }
    let (response, _) = exchange(
        &listener,
        b"GET / HTTP/1.1\r\nhost: r\r\nconnection: close\r\n\r\n",
    )
    .await;
    assert!(response.starts_with("HTTP/1.1 200"), "{response:?}");
}

//! Guards the listener against clients that are slow, hostile or leaving: each of them must cost a
//! bounded time, and none may cut off a request of another or get a short answer that looks whole.

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

/// Answers `/slow` after 600 ms, `/large` with 64 MiB and anything else with the size of the body.
struct Echo;

impl listen::Service for Echo {
    fn call(&self, req: hyper::Request<body::Incoming>, _: net::SocketAddr) -> listen::Answer {
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
    let any = (net::Ipv4Addr::LOCALHOST, 0).into();
    let listener = listen::bind(any).await.expect("address is free");
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

/// Sends text and returns all that comes until the end of the connection, and how long it took.
async fn exchange(listener: &Listener, text: &[u8]) -> (String, time::Duration) {
    let mut stream = connect(listener).await;
    let begin = time::Instant::now();
    stream.write_all(text).await.expect("bytes can be sent");
    let mut answer = Vec::new();
    let read = stream.read_to_end(&mut answer);
    // An error is a broken connection, which is an end as well.
    let ended = tokio::time::timeout(time::Duration::from_secs(10), read).await;
    assert!(ended.is_ok(), "connection was not ended");
    (
        String::from_utf8_lossy(&answer).into_owned(),
        begin.elapsed(),
    )
}

fn assert_refused(answer: &str, what: &str) {
    let is_refused = answer.is_empty() || answer.starts_with("HTTP/1.1 4");
    assert!(is_refused, "{what}: {answer:?}");
}

#[tokio::test]
async fn slow_head_and_silent_connection_are_ended() {
    let listener = start().await;
    for text in [&b"GET / HTTP/1.1\r\nhost: r\r\nx-slow: "[..], b"", b"P"] {
        let (answer, took) = exchange(&listener, text).await;
        assert_refused(&answer, "slow head");
        assert!(took < time::Duration::from_secs(2), "took {took:?}");
    }
}

#[tokio::test]
async fn idle_connection_is_ended_and_a_slow_answer_is_not() {
    let listener = start().await;
    let text = b"GET /slow HTTP/1.1\r\nhost: r\r\n\r\n";
    let (answer, took) = exchange(&listener, text).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer:?}");
    assert!(took >= time::Duration::from_millis(900), "took {took:?}");
}

#[tokio::test]
async fn client_that_takes_no_bytes_is_ended_and_sees_a_broken_answer() {
    let listener = start().await;
    let mut stream = connect(&listener).await;
    let text = b"GET /large HTTP/1.1\r\nhost: r\r\n\r\n";
    stream.write_all(text).await.expect("bytes can be sent");
    tokio::time::sleep(time::Duration::from_millis(1_500)).await;
    let mut answer = Vec::new();
    let read = stream.read_to_end(&mut answer);
    let read = tokio::time::timeout(time::Duration::from_secs(10), read).await;
    let read = read.expect("connection was ended");
    assert!(read.is_err() || answer.len() < 64 << 20);
}

#[tokio::test]
async fn too_many_or_too_large_headers_are_refused() {
    let listener = start().await;
    let many: String = (0..101).map(|n| format!("x-{n}: 1\r\n")).collect();
    let large = format!("x-large: {}\r\n", "x".repeat(17 * 1024));
    for headers in [many, large] {
        let text = format!("GET / HTTP/1.1\r\nhost: r\r\n{headers}\r\n");
        let (answer, _) = exchange(&listener, text.as_bytes()).await;
        assert_refused(&answer, "headers");
    }
}

#[tokio::test]
async fn requests_with_two_readings_are_refused() {
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
        let (answer, _) = exchange(&listener, text.as_bytes()).await;
        assert_refused(&answer, head);
    }
}

#[tokio::test]
async fn length_beside_chunks_does_not_make_two_requests() {
    let listener = start().await;
    // Chunked framing rules; read by length, the rest would be a second request.
    let text = "POST / HTTP/1.1\r\nhost: r\r\ncontent-length: 5\r\ntransfer-encoding: chunked\r\n\r\n\
                1c\r\nGET /x HTTP/1.1\r\nhost: r\r\n\r\n\r\n0\r\n\r\n";
    let (answer, _) = exchange(&listener, text.as_bytes()).await;
    let answers = answer.matches("HTTP/1.1 ").count();
    assert!(answers <= 1, "{answer:?}");
}

#[tokio::test]
async fn graceful_end_cuts_off_no_request_and_closes_kept_connections() {
    let listener = start().await;
    let mut kept = connect(&listener).await;
    let text = b"GET / HTTP/1.1\r\nhost: r\r\n\r\n";
    kept.write_all(text).await.expect("bytes can be sent");
    let mut buf = [0; 512];
    assert!(kept.read(&mut buf).await.expect("answer") > 0);
    let busy = exchange(&listener, b"GET /slow HTTP/1.1\r\nhost: r\r\n\r\n");
    let stopping = async {
        tokio::time::sleep(time::Duration::from_millis(100)).await;
        listener.stop.send_replace(true);
        kept.read(&mut buf).await
    };
    let ((answer, _), end_of_kept) = tokio::join!(busy, stopping);
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer:?}");
    assert!(answer.ends_with("\r\n\r\n0"), "{answer:?}");
    assert_eq!(end_of_kept.expect("orderly end"), 0);
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
async fn graceful_end_finishes_http2_streams() {
    let listener = start().await;
    let mut sender = http2(&listener).await;
    let sent: Vec<_> = (0..8).map(|_| sender.send_request(get("/slow"))).collect();
    tokio::time::sleep(time::Duration::from_millis(100)).await;
    listener.stop.send_replace(true);
    for answer in sent {
        let answer = answer.await.expect("stream is finished");
        let body = answer.into_body().collect().await.expect("whole body");
        assert_eq!(body.to_bytes(), "0");
    }
    assert!(listener.serving.await.expect("no panic"));
}

#[tokio::test]
async fn streams_opened_and_reset_in_a_loop_end_the_connection_only() {
    let listener = start().await;
    let mut sender = http2(&listener).await;
    for _ in 0..5_000 {
        if sender.ready().await.is_err() {
            break;
        }
        // Dropping the future resets the stream. The yield lets the connection's task open it
        // first; a request that is given up before is never sent.
        let sent = sender.send_request(get("/slow"));
        tokio::task::yield_now().await;
        drop(sent);
    }
    let (answer, _) = exchange(
        &listener,
        b"GET / HTTP/1.1\r\nhost: r\r\nconnection: close\r\n\r\n",
    )
    .await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer:?}");
}

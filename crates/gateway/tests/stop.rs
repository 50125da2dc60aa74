//! Tests of requests that arrive or are in flight while the process stops.

mod stub;

use nutmegdale_base::{class, clock};
use std::time;
use stub::Behaviour;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Time that is enough for a request even at a slowed-down server; the stub's routes expect 120 ms.
const ENOUGH: time::Duration = time::Duration::from_millis(1_500);
/// Time that is enough at a server of usual speed only.
const TOO_SHORT: time::Duration = time::Duration::from_millis(400);

/// Guards against requests that may not be repeated and that are passed on late in the grace, and
/// then cut off without an answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn late_request_is_refused_before_it_is_sent() {
    let harness = stub::Harness::start(class::Class::OneTimeFiling, &[Behaviour::Answer]).await;
    harness.begin_stop(ENOUGH);
    assert_eq!(harness.send("early").await.status, 200);
    harness.expect_service_time(clock::Millis(120));
    harness.begin_stop(TOO_SHORT);
    let response = harness.send("late").await;
    assert_eq!(response.status, 503);
    assert!(response.retry_after.is_some());
    assert_eq!(harness.arrivals("late"), 0);
}

/// Guards against a request that arrives early in the grace with a slow body, and is passed on when
/// its last byte has arrived.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_whose_body_ends_late_is_refused() {
    let harness = stub::Harness::start(class::Class::OneTimeFiling, &[Behaviour::Answer]).await;
    let mut stream = TcpStream::connect(harness.address())
        .await
        .expect("a gateway");
    let head = "POST /path/x HTTP/1.1\r\nhost: host\r\nid: slow\r\ncontent-length: 4\r\n\r\nbo";
    stream
        .write_all(head.as_bytes())
        .await
        .expect("a connection");
    tokio::time::sleep(time::Duration::from_millis(100)).await;
    harness.begin_stop(TOO_SHORT);
    stream.write_all(b"dy").await.expect("a connection");
    let mut buf = vec![0; 12];
    stream.read_exact(&mut buf).await.expect("a response");
    assert_eq!(buf, b"HTTP/1.1 503");
    assert_eq!(harness.arrivals("slow"), 0);
}

/// Guards against a connection that closes without an answer at the end of the grace: the caller
/// learns that the outcome is unknown.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_in_flight_at_the_end_gets_an_answer() {
    let harness = stub::Harness::start(class::Class::OneTimeFiling, &[Behaviour::Hang]).await;
    let end = async {
        tokio::time::sleep(time::Duration::from_millis(150)).await;
        harness.end_requests();
    };
    let start = time::Instant::now();
    let (response, ()) = tokio::join!(harness.send("hangs"), end);
    assert_eq!(response.status, 502);
    assert_eq!(harness.arrivals("hangs"), 1);
    assert!(start.elapsed() < time::Duration::from_millis(700));
}

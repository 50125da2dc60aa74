//! Tests of pipelined requests between a caller and servers, over loopback connections.

mod stub;

use nutmegdale_base::class;
use std::time;
use stub::Behaviour;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// Work of a server with [`Behaviour::Slow`].
const SLOW: time::Duration = time::Duration::from_millis(150);
const WAIT: time::Duration = time::Duration::from_millis(500);

/// Sends a GET request for each identifier at once.
async fn send(harness: &stub::Harness, ids: &[&str]) -> TcpStream {
    let text: String = ids
        .iter()
        .map(|id| format!("GET /path/x HTTP/1.1\r\nhost: host:80\r\nid: {id}\r\n\r\n"))
        .collect();
    let stream = TcpStream::connect(harness.address()).await;
    let mut stream = stream.expect("a gateway");
    let sent = stream.write_all(text.as_bytes()).await;
    sent.expect("the gateway reads requests");
    stream
}

/// Reads until `count` responses have arrived; returns their identifiers.
async fn read_ids(stream: &mut TcpStream, count: usize) -> Vec<String> {
    let mut text = String::new();
    let mut buf = [0; 4096];
    while text.matches("whole answer").count() < count {
        match stream.read(&mut buf).await.expect("a response") {
            0 => break,
            n => text.push_str(&String::from_utf8_lossy(&buf[..n])),
        }
    }
    let ids = text.lines().filter_map(|line| line.strip_prefix("id: "));
    ids.map(str::to_owned).collect()
}

/// Guards against pipelined lookups that miss their target since each waits for those before it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lookups_run_beside_each_other_and_once() {
    let behaviours = [Behaviour::Slow; 3];
    let harness = stub::Harness::start(class::Class::UrgentLookup, &behaviours).await;
    let ids = ["a", "b", "c"];
    let mut stream = send(&harness, &ids).await;
    let begin = time::Instant::now();
    assert_eq!(read_ids(&mut stream, 3).await, ids);
    assert!(begin.elapsed() < 2 * SLOW, "{:?}", begin.elapsed());
    assert!(ids.iter().all(|id| harness.runs(id) == 1));
    assert_eq!(harness.metric("nutmegdale_pipelined_total"), 2);
    assert_eq!(harness.metric("nutmegdale_pipelined_cancelled_total"), 0);
}

/// Guards against requests that may not run twice and are started before the connection has brought
/// the responses before them, and against work that a stopping process starts early.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn one_time_requests_and_those_of_a_stopping_process_wait_for_their_turn() {
    for class in [class::Class::OneTimeFiling, class::Class::UrgentLookup] {
        let harness = stub::Harness::start(class, &[Behaviour::Slow]).await;
        if class.is_idempotent() {
            harness.begin_stop(10 * SLOW);
        }
        let mut stream = send(&harness, &["a", "b"]).await;
        tokio::time::sleep(SLOW / 2).await;
        assert_eq!((harness.arrivals("a"), harness.arrivals("b")), (1, 0));
        let ids = read_ids(&mut stream, 2).await;
        // The response of a stopping process closes the connection; the other request is unread.
        let expected: &[&str] = if class.is_idempotent() {
            &["a"]
        } else {
            &["a", "b"]
        };
        assert_eq!(ids, expected);
        assert_eq!(harness.runs("b"), expected.len() - 1);
        assert_eq!(harness.metric("nutmegdale_pipelined_total"), 0);
    }
}

/// Guards against servers that keep working for a caller that has left, or whose connection broke.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn all_requests_are_cancelled_when_the_caller_leaves() {
    let harness = stub::Harness::start(class::Class::BulkExport, &[Behaviour::Hang; 3]).await;
    let ids = ["a", "b", "c"];
    let stream = send(&harness, &ids).await;
    let have_arrived = async {
        while ids.iter().any(|id| harness.arrivals(id) == 0) {
            tokio::time::sleep(SLOW / 10).await;
        }
    };
    let arrived = tokio::time::timeout(WAIT, have_arrived).await;
    assert!(arrived.is_ok(), "not all requests run beside each other");
    drop(stream);
    for id in ids {
        assert!(harness.is_cancelled(id, WAIT).await, "request {id}");
    }
    assert_eq!(harness.metric("nutmegdale_pipelined_cancelled_total"), 2);
    let sent_count = harness.metric("nutmegdale_sends_total");
    tokio::time::sleep(WAIT).await;
    assert_eq!(harness.metric("nutmegdale_sends_total"), sent_count);
}

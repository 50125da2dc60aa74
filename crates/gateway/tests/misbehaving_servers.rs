//! Tests of servers whose bytes break the rules of HTTP/1.1: responses that are sent twice, and
//! bytes without end.

use nutmegdale_base::class;
use std::sync;
use std::sync::atomic;
use std::time;

mod stub;

use stub::raw::{Output, RawServer, id_of, is_health_check};

/// Timeout of the requests; see the dialect of the stub.
const TIMEOUT: time::Duration = time::Duration::from_millis(900);
/// Time after the timeout within which the caller must have its final response and the server must
/// have seen its connection closed.
const SLACK: time::Duration = time::Duration::from_millis(600);

fn ok(headers: &str) -> String {
    format!("HTTP/1.1 200 OK\r\n{headers}content-length: 2\r\n\r\nok")
}

const REFUSAL: &str = "HTTP/1.1 503 Unavailable\r\nnot-run: 1\r\ncontent-length: 0\r\n\r\n";

/// Guards against a one-time request that is reported as not run, and run by a second server, since
/// its server sent an earlier refusal of a health check once more on the same connection.
#[tokio::test]
async fn refusal_that_is_sent_again_does_not_count_for_the_next_request() {
    let written = sync::Arc::default();
    let respond = |n: usize, head: &str| {
        let own = match is_health_check(head) {
            true => REFUSAL.to_owned(),
            false => ok(&format!("signed: 1\r\nid: {}\r\n", id_of(head))),
        };
        // The second request on a connection gets the refusal of the first one before its own.
        Output::Bytes(match n {
            0 => own,
            _ => format!("{REFUSAL}{own}"),
        })
    };
    let servers = [
        RawServer::start(&written, respond).await,
        RawServer::start(&written, respond).await,
    ];
    let addresses = servers.each_ref().map(|server| server.address);
    let harness = stub::Harness::start_with(class::Class::OneTimeFiling, &addresses).await;
    for n in 0..20 {
        let id = format!("filing-{n}");
        let response = harness.send(&id).await;
        let arrivals: usize = servers.iter().map(|server| server.arrivals(&id)).sum();
        assert!(arrivals <= 1, "{id} reached {arrivals} servers");
        assert!(
            arrivals == 0 || response.status != 503,
            "{id} ran and was reported as not run"
        );
    }
}

/// Runs one lookup against a server that writes without end, and checks that the caller has its
/// final response in time, that the server sees its connection closed, and that little was read.
async fn check_endless(respond: impl Fn(usize, &str) -> Output + Send + Sync + 'static) {
    const READ_MAX_BYTES: usize = 32 * 1024 * 1024;
    let written = sync::Arc::new(atomic::AtomicUsize::new(0));
    let server = RawServer::start(&written, respond).await;
    let harness = stub::Harness::start_with(class::Class::UrgentLookup, &[server.address]).await;
    let response = tokio::time::timeout(TIMEOUT + SLACK, harness.try_send("lookup")).await;
    assert!(response.is_ok(), "no final response in time");
    tokio::time::sleep(SLACK).await;
    let before = written.load(atomic::Ordering::Relaxed);
    tokio::time::sleep(SLACK).await;
    let after = written.load(atomic::Ordering::Relaxed);
    assert_eq!(before, after, "the server can still write");
    assert!(after < READ_MAX_BYTES, "{after} bytes were read");
}

fn health_or(head: &str, output: Output) -> Output {
    match is_health_check(head) {
        true => Output::Bytes(ok("")),
        false => output,
    }
}

fn endless(first: &str, repeated: &str) -> Output {
    Output::Endless(first.to_owned(), repeated.to_owned())
}

/// Guards against a response head that is read without a limit.
#[tokio::test]
async fn endless_head_is_cut_off() {
    let head = "HTTP/1.1 200 OK\r\n";
    check_endless(move |_, req| health_or(req, endless(head, "x"))).await;
    check_endless(move |_, req| health_or(req, endless(head, "x: y\r\n"))).await;
}

/// Guards against interim responses that are read until the timeout, which keeps the processor busy
/// and delays everything else that the process does.
#[tokio::test]
async fn endless_interim_responses_are_cut_off_at_once() {
    let interim = "HTTP/1.1 103 Early Hints\r\n\r\n";
    let start = time::Instant::now();
    check_endless(move |_, req| health_or(req, endless("", interim))).await;
    let elapsed = start.elapsed() - 2 * SLACK;
    assert!(elapsed < TIMEOUT / 2, "{elapsed:?}");
    let respond = move |_: usize, req: &str| match is_health_check(req) {
        true => endless("", interim),
        false => Output::Bytes(ok(&format!("signed: 1\r\nid: {}\r\n", id_of(req)))),
    };
    check_endless(respond).await;
}

/// Guards against an invalid response whose body is read without a limit.
#[tokio::test]
async fn endless_body_of_an_invalid_response_is_cut_off() {
    let head = "HTTP/1.1 200 OK\r\n\r\n";
    check_endless(move |_, req| health_or(req, endless(head, "x"))).await;
}

/// Guards against a response that is forwarded beyond the timeout of its request because its body
/// does not end.
#[tokio::test]
async fn endless_body_of_a_valid_response_ends_at_the_timeout() {
    let respond = |_: usize, req: &str| {
        let head = format!(
            "HTTP/1.1 200 OK\r\nsigned: 1\r\nid: {}\r\ntransfer-encoding: chunked\r\n\r\n",
            id_of(req)
        );
        let chunk = format!("1000\r\n{}\r\n", "x".repeat(0x1000));
        health_or(req, endless(&head, &chunk))
    };
    let written = sync::Arc::new(atomic::AtomicUsize::new(0));
    let server = RawServer::start(&written, respond).await;
    let harness = stub::Harness::start_with(class::Class::UrgentLookup, &[server.address]).await;
    let sent = harness.try_send("lookup");
    let response = tokio::time::timeout(TIMEOUT + SLACK, sent).await;
    let response = response.expect("the response ends at the timeout");
    assert!(response.is_err(), "the response does not look complete");
}

/// Guards against health checks that read without a limit: several of them would use up the memory
/// of the process before they time out.
#[tokio::test]
async fn endless_body_of_a_health_check_is_cut_off() {
    let head = "HTTP/1.1 200 OK\r\n\r\n";
    check_endless(move |_, req| match is_health_check(req) {
        true => endless(head, "x"),
        false => Output::Bytes(ok(&format!("signed: 1\r\nid: {}\r\n", id_of(req)))),
    })
    .await;
}

/// Guards against a caller that waits until its timeout for the rest of a refusal, whose head
/// already says that the request did not run.
#[tokio::test]
async fn refusal_is_reported_before_its_body_ends() {
    let written = sync::Arc::default();
    let respond = |_: usize, req: &str| {
        let headers = format!("not-run: 1\r\nid: {}\r\ncontent-length: 10\r\n", id_of(req));
        let refusal = format!("HTTP/1.1 503 Unavailable\r\n{headers}\r\n");
        health_or(req, Output::Bytes(refusal))
    };
    let server = RawServer::start(&written, respond).await;
    let harness = stub::Harness::start_with(class::Class::OneTimeFiling, &[server.address]).await;
    let start = time::Instant::now();
    let response = harness.send("filing").await;
    assert_eq!(response.status, 503);
    assert!(start.elapsed() < TIMEOUT / 2, "{:?}", start.elapsed());
}

/// Guards against a response that a server broke off, in its head or its body, and that leaves as a
/// whole 200: after every number of bytes, with a length, in chunks and without either.
#[tokio::test]
async fn response_that_breaks_off_anywhere_is_not_forwarded() {
    let whole = |n: usize, id: &str| {
        let head = format!("HTTP/1.1 200 OK\r\nsigned: 1\r\nid: {id}\r\n");
        match n {
            0 => format!("{head}content-length: 12\r\n\r\nwhole answer"),
            1 => format!("{head}transfer-encoding: chunked\r\n\r\nc\r\nwhole answer\r\n0\r\n\r\n"),
            // The body would end with the connection, so only the head can break off visibly.
            _ => format!("{head}\r\n"),
        }
    };
    for n in 0..3 {
        let respond = move |_: usize, head: &str| {
            let id = id_of(head);
            let count = id.strip_prefix("cut-").and_then(|count| count.parse().ok());
            match count {
                Some(count) if !is_health_check(head) => {
                    Output::Close(whole(n, id).chars().take(count).collect())
                }
                _ => Output::Bytes(ok("")),
            }
        };
        let server = RawServer::start(&sync::Arc::default(), respond).await;
        let class = class::Class::OneTimeFiling;
        let harness = stub::Harness::start_with(class, &[server.address]).await;
        for count in 0..whole(n, "cut-100").len() {
            let id = format!("cut-{count}");
            if count >= whole(n, &id).len() {
                break;
            }
            let response = harness.send(&id).await;
            assert_ne!(response.status, 200, "{count} bytes of {:?}", whole(n, &id));
        }
    }
}

/// Guards against a status that is none in the protocol and that a caller gets as an answer: it ends
/// the attempt like bytes that are no response.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn invalid_status_is_no_answer() {
    let lines = [
        "HTTP/1.1 000 Trouble",
        "HTTP/1.1 000",
        "HTTP/1.1 0 Trouble",
        "HTTP/1.1 099 Trouble",
        "HTTP/1.1 600 Trouble",
        "HTTP/1.1 999 Trouble",
        "HTTP/1.1 101 Switching Protocols",
        "HTTP/1.1 2000 OK",
        "HTTP/1.1 two OK",
        "HTTP/1.1 -20 OK",
        "HTTP/1.1  OK",
    ];
    for class in [class::Class::UrgentLookup, class::Class::OneTimeFiling] {
        for line in lines {
            let respond = move |_: usize, head: &str| match is_health_check(head) {
                true => Output::Bytes(OK_HEALTH.to_owned()),
                false => {
                    let headers = format!("signed: 1\r\nid: {}\r\n", id_of(head));
                    let rest = "content-length: 2\r\n\r\nok";
                    Output::Bytes(format!("{line}\r\n{headers}{rest}"))
                }
            };
            check_no_answer(class, line, respond).await;
        }
        for cut in [
            "HTTP/1.1 ",
            "HTTP/1.1 2",
            "HTTP/1.1 200",
            "HTTP/1.1 200 OK\r\n",
        ] {
            let respond = move |_: usize, head: &str| match is_health_check(head) {
                true => Output::Bytes(OK_HEALTH.to_owned()),
                false => Output::Close(cut.to_owned()),
            };
            check_no_answer(class, cut, respond).await;
        }
    }
}

const OK_HEALTH: &str = "HTTP/1.1 200 OK\r\nload: 0 0 4 100\r\ncontent-length: 0\r\n\r\n";

/// Sends a request to a server that answers with `text`, and checks that its caller is told that the
/// outcome is unknown.
async fn check_no_answer(
    class: class::Class,
    text: &str,
    respond: impl Fn(usize, &str) -> Output + Send + Sync + 'static,
) {
    let server = RawServer::start(&Default::default(), respond).await;
    let harness = stub::Harness::start_with(class, &[server.address]).await;
    let response = harness.send("first").await;
    assert_eq!(response.status, 502, "{text:?}, {class:?}");
    assert_eq!(response.body, "", "{text:?}");
    assert_eq!(server.arrivals("first"), 1, "{text:?}");
}

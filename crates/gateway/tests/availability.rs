//! Tests of servers that state in their responses that they are leaving, or that they want no
//! requests for a while.

mod stub;

use nutmegdale_base::class;
use std::time;
use stub::raw;

const BACKOFF: time::Duration = time::Duration::from_millis(700);

/// Returns a response of a server to the request with `head`, with `headers` added.
fn response(head: &str, status: &str, headers: &str) -> raw::Output {
    let id = match raw::is_health_check(head) {
        true => String::new(),
        false => format!("id: {}\r\n", raw::id_of(head)),
    };
    let headers = format!("signed: 1\r\n{id}{headers}content-length: 2\r\n");
    raw::Output::Bytes(format!("HTTP/1.1 {status}\r\n{headers}\r\nok"))
}

/// Sends requests to a server that states that it is leaving in one kind of its responses, and
/// checks that only requests before the first such response reach it.
async fn check_leaving(
    class: class::Class,
    respond: impl Fn(usize, &str) -> raw::Output + Send + Sync + 'static,
) {
    let server = raw::RawServer::start(&Default::default(), respond).await;
    let harness = stub::Harness::start_with(class, &[server.address]).await;
    harness.send("first").await;
    for id in ["second", "third"] {
        assert_eq!(harness.send(id).await.status, 503);
        assert_eq!(server.arrivals(id), 0, "{id} reached the leaving server");
    }
    // Its announcement expires and comes back.
    harness.forget_and_announce(1);
    harness.send("fourth").await;
    assert_eq!(server.arrivals("fourth"), 0, "the server is still leaving");
    harness.forget_and_announce(2);
    harness.send("fifth").await;
    assert_eq!(server.arrivals("fifth"), 1, "a newer start serves");
}

const LEAVING: &str = "leaving: 1\r\n";

/// Guards against requests that are sent to a server after it stated in a response that it is
/// leaving, although the registry still lists it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn leaving_server_gets_no_request() {
    let class = class::Class::UrgentLookup;
    check_leaving(class, |_, head| match raw::is_health_check(head) {
        true => response(head, "200 OK", ""),
        false => response(head, "200 OK", LEAVING),
    })
    .await;
    check_leaving(class, |_, head| match raw::is_health_check(head) {
        true => response(head, "200 OK", ""),
        false => response(head, "500 Failed", LEAVING),
    })
    .await;
    check_leaving(class, |_, head| match raw::is_health_check(head) {
        true => response(head, "200 OK", ""),
        false => response(head, "503 Full", &format!("not-run: 1\r\n{LEAVING}")),
    })
    .await;
}

/// Guards against requests that are sent to a server after its health check stated that it is
/// leaving. Its first health check starts before the first request is sent.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn health_check_states_that_a_server_is_leaving() {
    let respond = |_: usize, head: &str| match raw::is_health_check(head) {
        true => response(head, "503 Leaving", LEAVING),
        false => response(head, "200 OK", ""),
    };
    check_leaving_after_probe(respond).await;
}

async fn check_leaving_after_probe(
    respond: impl Fn(usize, &str) -> raw::Output + Send + Sync + 'static,
) {
    let server = raw::RawServer::start(&Default::default(), respond).await;
    let class = class::Class::UrgentLookup;
    let harness = stub::Harness::start_with(class, &[server.address]).await;
    harness.send("first").await;
    tokio::time::sleep(time::Duration::from_millis(100)).await;
    assert_eq!(harness.send("second").await.status, 503);
    assert_eq!(server.arrivals("second"), 0);
}

/// Guards against a server that is shut out since another server at its former address is leaving.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn statement_of_another_server_is_ignored() {
    let respond = |_: usize, head: &str| match raw::id_of(head) {
        "first" => response(
            head,
            "421 Misdirected",
            &format!("misdirected: 1\r\n{LEAVING}"),
        ),
        _ => response(head, "200 OK", ""),
    };
    let server = raw::RawServer::start(&Default::default(), respond).await;
    let class = class::Class::UrgentLookup;
    let harness = stub::Harness::start_with(class, &[server.address]).await;
    assert_eq!(harness.send("first").await.status, 503);
    assert_eq!(harness.send("second").await.status, 200);
}

/// Guards against requests and health checks that reach a server in the time for which it wanted
/// none, and against callers that wait although every server asked for a backoff.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn server_gets_nothing_during_its_backoff() {
    let headers = format!("not-run: 1\r\nbackoff-ms: {}\r\n", BACKOFF.as_millis());
    let respond = move |_: usize, head: &str| match raw::id_of(head) {
        "first" => response(head, "503 Full", &headers),
        _ => response(head, "200 OK", ""),
    };
    let server = raw::RawServer::start(&Default::default(), respond).await;
    let class = class::Class::OneTimeFiling;
    let harness = stub::Harness::start_with(class, &[server.address]).await;
    let begin = time::Instant::now();
    let refused = harness.send("first").await;
    assert_eq!(refused.status, 503);
    // The backoff is longer than a third of the caller's time, which is the longest delay.
    assert!(
        refused.retry_after.is_some_and(|secs| secs > 0.25),
        "{refused:?}"
    );
    let before = server.requests_count();
    while begin.elapsed() < BACKOFF * 8 / 10 {
        let sent = time::Instant::now();
        let refused = harness.send("held back").await;
        assert_eq!(refused.status, 503);
        assert!(refused.retry_after.is_some(), "{refused:?}");
        assert!(sent.elapsed() < BACKOFF / 3, "{:?}", sent.elapsed());
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
    assert_eq!(
        server.requests_count(),
        before,
        "requests reached the server"
    );
    tokio::time::sleep(BACKOFF.saturating_sub(begin.elapsed()) + BACKOFF / 10).await;
    assert_eq!(harness.send("later").await.status, 200);
}

/// Guards against callers that are refused although only one of two servers asked for a backoff.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_goes_to_a_server_without_a_backoff() {
    let respond = |_: usize, head: &str| match raw::is_health_check(head) {
        true => response(head, "200 OK", ""),
        false => response(head, "503 Full", "not-run: 1\r\nbackoff-ms: 60000\r\n"),
    };
    let held_back = raw::RawServer::start(&Default::default(), respond).await;
    let respond = |_: usize, head: &str| response(head, "200 OK", "");
    let working = raw::RawServer::start(&Default::default(), respond).await;
    let servers = [held_back.address, working.address];
    let harness = stub::Harness::start_with(class::Class::OneTimeFiling, &servers).await;
    for n in 0..20 {
        assert_eq!(harness.send(&format!("filing-{n}")).await.status, 200);
    }
    let refused = (0..20).filter(|n| held_back.arrivals(&format!("filing-{n}")) > 0);
    assert!(refused.count() <= 1);
}

/// Guards against work that is started again or given up because its server was silent for so long
/// that the registry forgot it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_in_flight_outlives_the_announcement_of_its_server() {
    for class in [class::Class::OneTimeFiling, class::Class::UrgentLookup] {
        let behaviours = [stub::Behaviour::Slow; 2];
        let harness = stub::Harness::start(class, &behaviours).await;
        let expiry = async {
            tokio::time::sleep(time::Duration::from_millis(70)).await;
            harness.forget_and_announce(1);
        };
        let (response, ()) = tokio::join!(harness.send("in flight"), expiry);
        assert_eq!(response.status, 200, "{class:?}");
        assert_eq!(harness.runs("in flight"), 1, "{class:?}");
    }
}

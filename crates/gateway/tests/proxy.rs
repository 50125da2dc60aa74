//! Tests of the request path with misbehaving servers, over loopback connections.

mod stub;

use nutmegdale_base::class;
use std::time;
use stub::Behaviour;

/// Guards against a retry and a hedge that together exceed the attempt limit of the route.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn retry_and_hedge_together_stay_within_the_attempt_limit() {
    let harness = stub::Harness::start(
        class::Class::UrgentLookup,
        &[
            Behaviour::SlowFailure,
            Behaviour::SlowFailure,
            Behaviour::SlowFailure,
        ],
    )
    .await;
    for n in 0..20 {
        let id = format!("r{n}");
        harness.send(&id).await;
        assert!(
            harness.arrivals(&id) <= 2,
            "request {id} reached {} servers",
            harness.arrivals(&id)
        );
    }
}

/// Guards against a response that is held back while a server for a hedge is picked, which takes up
/// to three rounds of health checks between regions.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn response_does_not_wait_for_a_hedge() {
    let behaviours = [Behaviour::Late; 4];
    let mut shortest = time::Duration::MAX;
    for _ in 0..4 {
        // A new harness, since later requests would know the response time of these servers.
        let harness = stub::Harness::start(class::Class::UrgentLookup, &behaviours).await;
        let begin = time::Instant::now();
        let response = harness.send("r").await;
        assert_eq!(response.status, 200);
        shortest = shortest.min(begin.elapsed());
    }
    // Three rounds of failed health checks before the attempt, and the server's 240 ms.
    assert!(shortest < time::Duration::from_millis(410), "{shortest:?}");
}

/// Guards against a one-time request that is retried after its response was lost.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn one_time_request_is_not_retried_after_a_lost_response() {
    let behaviours = [Behaviour::Abort, Behaviour::Abort];
    let harness = stub::Harness::start(class::Class::OneTimeFiling, &behaviours).await;
    for n in 0..10 {
        let id = format!("f{n}");
        let response = harness.send(&id).await;
        assert_eq!(response.status, 502, "the outcome is unknown");
        assert_eq!(harness.arrivals(&id), 1);
    }
}

/// Guards against a lookup that fails after a lost response although another server is available.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn lookup_is_retried_after_a_lost_response() {
    let behaviours = [Behaviour::Abort, Behaviour::Answer];
    let harness = stub::Harness::start(class::Class::UrgentLookup, &behaviours).await;
    for n in 0..10 {
        let response = harness.send(&format!("r{n}")).await;
        assert_eq!(
            (response.status, response.body.as_str()),
            (200, "whole answer")
        );
    }
}

/// Guards against a response that states that the request did not run although it may have run, and
/// against a rejection without a `retry-after` header.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn rejection_by_every_server_is_reported_as_not_run() {
    let behaviours = [Behaviour::Refuse, Behaviour::Refuse];
    let harness = stub::Harness::start(class::Class::OneTimeFiling, &behaviours).await;
    let response = harness.send("f").await;
    assert_eq!(response.status, 503);
    assert!(
        response
            .retry_after
            .is_some_and(|secs| secs > 0.0 && secs < 1.0)
    );
    assert_eq!(harness.runs("f"), 0);
}

/// Guards against forwarding a response that belongs to another request, lacks the signature, is
/// truncated or has an unrequested content encoding.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn invalid_responses_are_not_forwarded() {
    for behaviour in [
        Behaviour::WrongId,
        Behaviour::Unsigned,
        Behaviour::Truncate,
        Behaviour::Encoded,
    ] {
        let harness = stub::Harness::start(class::Class::OneTimeFiling, &[behaviour]).await;
        let response = harness.send("f").await;
        assert_eq!(response.status, 502, "{behaviour:?}");
    }
}

/// Guards against a server that keeps working for a caller that has disconnected.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_is_cancelled_when_the_caller_disconnects() {
    let harness = stub::Harness::start(class::Class::BulkExport, &[Behaviour::Hang]).await;
    harness
        .send_and_disconnect("r", time::Duration::from_millis(200))
        .await;
    let is_cancelled = harness
        .is_cancelled("r", time::Duration::from_millis(500))
        .await;
    assert!(is_cancelled, "the connection to the server is closed");
}

/// Guards against rejecting requests that arrive between startup and the first registry sync.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn early_request_waits_for_the_configuration() {
    let harness =
        stub::Harness::start_unconfigured(class::Class::UrgentLookup, &[Behaviour::Answer]).await;
    let (response, ()) = tokio::join!(harness.send("r"), async {
        tokio::time::sleep(time::Duration::from_millis(100)).await;
        harness.configure();
    });
    assert_eq!(response.status, 200);
}

/// Guards against a request that is sent to a server although its zone was taken out of service
/// while the connection was established.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn server_of_a_zone_out_of_service_gets_no_request() {
    let harness = stub::Harness::start(class::Class::UrgentLookup, &[Behaviour::Answer]).await;
    assert_eq!(harness.send("before").await.status, 200);
    harness.set_zone_out();
    let response = harness.send("after").await;
    assert_eq!(response.status, 503);
    assert_eq!(harness.arrivals("after"), 0);
}

/// Guards against ejecting full servers for several seconds because they reset the new connections
/// of health checks or make them wait.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn full_server_is_not_ejected_for_unserved_health_checks() {
    let behaviours = [Behaviour::Full, Behaviour::Late];
    let harness = stub::Harness::start(class::Class::UrgentLookup, &behaviours).await;
    for n in 0..12 {
        let response = harness.send(&format!("r{n}")).await;
        assert_eq!(response.status, 200);
    }
    assert_eq!(harness.ejections_count(), 0);
}

/// Guards against one health check per request while a health check of the server is running.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn concurrent_requests_share_a_health_check() {
    let harness = stub::Harness::start(class::Class::UrgentLookup, &[Behaviour::Late]).await;
    let ids: Vec<_> = (0..6).map(|n| format!("r{n}")).collect();
    let responses = ids.iter().map(|id| harness.send(id));
    let responses = futures_util::future::join_all(responses).await;
    assert!(responses.iter().any(|response| response.status == 200));
    // Another one may start after the first has timed out.
    let checks_count = harness.arrivals(stub::HEALTH_ID);
    assert!(checks_count <= 2, "{checks_count} health checks");
}

/// Guards against ejecting a server as unreachable because this process has used up its share of
/// the server's connections.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn server_is_not_ejected_when_its_connection_limit_is_reached() {
    let mut harness = stub::Harness::start(class::Class::UrgentLookup, &[Behaviour::Slow]).await;
    harness.limit_connections();
    let later = async {
        tokio::time::sleep(time::Duration::from_millis(60)).await;
        harness.send("r1").await
    };
    let (first, second) = tokio::join!(harness.send("r0"), later);
    assert_eq!((first.status, second.status), (200, 503));
    assert_eq!(harness.ejections_count(), 0);
}

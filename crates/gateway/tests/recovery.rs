//! Tests of a gateway that must serve again although some of its servers are unusable.

mod stub;

use nutmegdale_base::{class, clock};
use nutmegdale_dispatch::budget;
use std::sync;
use std::time;
use stub::Behaviour;

/// Number of servers that have crashed.
const CRASHED_COUNT: usize = 4;

/// Guards against a route that goes on refusing after a time of slow responses, since each of its
/// trial requests is used up by a crashed server.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn trial_request_reaches_a_working_server() {
    let log = stub::RequestLog::default();
    let working = stub::start_server(Behaviour::Answer, sync::Arc::clone(&log)).await;
    // Servers in the zone of the gateway rank first.
    let mut servers = vec![(working, "far")];
    for _ in 0..CRASHED_COUNT {
        servers.push((stub::crashed_server().await, "zone"));
    }
    let class = class::Class::UrgentLookup;
    let harness = stub::Harness::start_in_zones(class, &servers, stub::RETRY_BUDGET).await;
    harness.eject_all();
    harness.expect_service_time(clock::Millis(500));
    let start = time::Instant::now();
    assert_eq!(harness.send("first").await.status, 503);
    // The first trial is due after a second of refusals.
    while start.elapsed() < time::Duration::from_millis(1_600) {
        if harness.send("later").await.status == 200 {
            return;
        }
        tokio::time::sleep(time::Duration::from_millis(50)).await;
    }
    panic!("the trial request was not served");
}

/// Guards against callers that are refused with a working server idle, because attempts that were
/// never written to a server have used up the retry budget.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unwritten_attempt_takes_nothing_from_the_retry_budget() {
    // Allows one retry of one request.
    let one_retry = budget::Bound {
        ratio: 1.5,
        slack: 0.0,
        window: clock::Millis(1_000),
    };
    let log = stub::RequestLog::default();
    let start = |behaviour| stub::start_server(behaviour, sync::Arc::clone(&log));
    let servers = [
        (start(Behaviour::Refuse).await, "zone"),
        (start(Behaviour::Answer).await, "next"),
        (start(Behaviour::Answer).await, "far"),
    ];
    let class = class::Class::OneTimeFiling;
    let harness = stub::Harness::start_in_zones(class, &servers, one_retry).await;
    let _connection = harness.take_only_connection("s1").await;
    let response = harness.send("filing").await;
    assert_eq!(response.status, 200);
}

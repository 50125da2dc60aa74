//! Guards P5: a caller gets the whole answer to its own request, or an error.

use nutmegdale_testkit::{cluster, http};
use serde_json::json;
use std::time;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const PLACE: cluster::Locality = cluster::Locality {
    zone: "zone-a",
    region: "north",
};
const LIMIT: time::Duration = time::Duration::from_secs(15);
const HEADERS: [(&str, &str); 1] = [("nutmegdale-account", "inspector")];
/// Number of concurrent requests; servers differ in service time, so answers are out of order.
const REQUESTS_COUNT: usize = 200;

async fn start() -> cluster::Cluster {
    let plan = cluster::Plan {
        program: env!("CARGO_BIN_EXE_nutmegdale").into(),
        control: vec![PLACE],
        entry: vec![PLACE],
    };
    let cluster = cluster::Cluster::start(&plan);
    let ops = json!([
        { "op": "put-zone", "zone": { "name": "zone-a", "region": "north" } },
        { "op": "put-account",
          "account": { "name": "inspector", "owner": "Ann", "class": "urgent-lookup" } },
        { "op": "put-route",
          "route": { "name": "reads", "owner": "Ann", "class": "urgent-lookup",
                     "path_prefix": "/logs", "service": "reads" } },
    ]);
    cluster.apply("first", &ops).await;
    cluster
}

/// Answers that come late and out of order must not be swapped between requests.
#[tokio::test]
async fn answers_match_their_requests_whatever_their_order() {
    let mut cluster = start().await;
    let mut servers = Vec::new();
    for n in 0..8 {
        let announced = cluster.announcement(&format!("reads-{n}"), "reads", "zone-a");
        let server = cluster.standin(announced).await;
        let slow = time::Duration::from_millis(1 + 7 * n);
        server.shared.set(|b| b.service_time = slow);
        servers.push(server);
    }
    let entry = cluster.entry[0].entry();
    cluster::eventually(LIMIT, "an answer", || async {
        let answer = http::send(entry, &http::Request::get("/logs/x", &HEADERS)).await;
        answer.ok().filter(|a| a.status == 200).map(drop)
    })
    .await;
    let requests = (0..REQUESTS_COUNT).map(|n| {
        tokio::spawn(async move {
            // If all were sent at once, they would be refused as overload, and there would be no
            // answer to check.
            tokio::time::sleep(time::Duration::from_millis(n as u64)).await;
            let path = format!("/logs/{n}");
            let answer = http::send(entry, &http::Request::get(&path, &HEADERS)).await;
            let answer = answer.expect("answer");
            let is_own = answer.text().contains(&format!("{path} "));
            (answer.header("nutmegdale-outcome") == "answered", is_own)
        })
    });
    let mut answered_count = 0;
    for task in requests.collect::<Vec<_>>() {
        let (is_answered, is_own) = task.await.expect("task");
        assert!(!is_answered || is_own, "got the answer to another request");
        answered_count += usize::from(is_answered);
    }
    assert!(answered_count > REQUESTS_COUNT / 2, "{answered_count}");
}

/// An answer that the server truncates must not reach the caller as a whole one.
#[tokio::test]
async fn truncated_answer_reaches_no_caller_as_a_whole_one() {
    let mut cluster = start().await;
    let entry = cluster.entry[0].entry();
    let announced = cluster.announcement("cutter", "reads", "zone-a");
    let listener = TcpListener::bind(announced.address).await;
    let listener = listener.expect("address is free");
    tokio::spawn(async move {
        let parts = [
            "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\nhalf",
            "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n",
        ];
        for part in parts.iter().cycle() {
            let Ok((mut stream, _)) = listener.accept().await else {
                return;
            };
            let mut buf = [0; 4096];
            drop(stream.read(&mut buf).await);
            drop(stream.write_all(part.as_bytes()).await);
        }
    });
    let body = serde_json::to_string(&announced).expect("JSON");
    let req = http::Request::post("/.nutmegdale/announce", &[], body);
    let leased = http::send(entry, &req).await.expect("answer");
    assert_eq!(leased.status, 200, "{}", leased.text());
    let mut truncated_count = 0;
    let start = time::Instant::now();
    while truncated_count < 10 {
        assert!(
            start.elapsed() < LIMIT,
            "{truncated_count} truncated answers"
        );
        match http::send(entry, &http::Request::get("/logs/x", &HEADERS)).await {
            Ok(answer) => assert_ne!(answer.status, 200, "{}", answer.text()),
            Err(_) => truncated_count += 1,
        }
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
}

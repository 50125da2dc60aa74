//! Guards docs/interfaces.md: a caller and a server written with plain sockets from that page alone
//! must work, and an operator must find the state of an entry process where the page says.

use nutmegdale_testkit::cluster;
use std::net;
use std::time;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

const PLACE: cluster::Locality = cluster::Locality {
    zone: "zone-a",
    region: "north",
};
const LIMIT: time::Duration = time::Duration::from_secs(15);

/// Sends one request as text and returns the whole response as text, or `None` if the connection
/// failed.
async fn exchange(peer: net::SocketAddr, text: &str) -> Option<String> {
    let mut stream = TcpStream::connect(peer).await.ok()?;
    stream.write_all(text.as_bytes()).await.ok()?;
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.ok()?;
    Some(answer)
}

async fn get(peer: net::SocketAddr, path: &str, headers: &str) -> Option<String> {
    let text = format!("GET {path} HTTP/1.1\r\nhost: r\r\nconnection: close\r\n{headers}\r\n");
    exchange(peer, &text).await
}

fn has_line(answer: &str, line: &str) -> bool {
    answer.lines().any(|l| l.eq_ignore_ascii_case(line))
}

/// Answers one request on each connection; the body says whether the request carried a request id.
async fn serve(listener: TcpListener) {
    while let Ok((mut stream, _)) = listener.accept().await {
        let mut head = String::new();
        while !head.contains("\r\n\r\n") {
            let mut buf = [0; 1024];
            match stream.read(&mut buf).await {
                Ok(count @ 1..) => head.push_str(&String::from_utf8_lossy(&buf[..count])),
                _ => break,
            }
        }
        let body = if head.contains("nutmegdale-request-id: ") {
            "with id"
        } else {
            "without id"
        };
        let text = format!(
            "HTTP/1.1 200 OK\r\nconnection: close\r\ncontent-length: {}\r\n\
             nutmegdale-load: running=1, waiting=0, slots=4, state=warm\r\n\r\n{body}",
            body.len()
        );
        // The peer detects a broken connection itself.
        drop(stream.write_all(text.as_bytes()).await);
    }
}

async fn announce(entry: net::SocketAddr, server: net::SocketAddr, sequence: u64) -> String {
    let body = format!(
        "{{\"server\": \"reads-1\", \"service\": \"reads\", \"address\": \"{server}\", \
         \"zone\": \"zone-a\", \"slots\": 4, \"connections\": 300, \"state\": \"warm\", \
         \"incarnation\": 1, \"sequence\": {sequence}}}"
    );
    let text = format!(
        "POST /.nutmegdale/announce HTTP/1.1\r\nhost: r\r\nconnection: close\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    exchange(entry, &text).await.expect("answer")
}

#[tokio::test]
async fn caller_and_server_written_from_the_page_work() {
    let plan = cluster::Plan {
        program: env!("CARGO_BIN_EXE_nutmegdale").into(),
        control: vec![PLACE],
        entry: vec![PLACE],
    };
    let mut cluster = cluster::Cluster::start(&plan);
    let ops = serde_json::json!([
        { "op": "put-zone", "zone": { "name": "zone-a", "region": "north" } },
        { "op": "put-account",
          "account": { "name": "inspector", "owner": "Ann", "class": "urgent-lookup" } },
        { "op": "put-route",
          "route": { "name": "reads", "owner": "Ann", "class": "urgent-lookup",
                     "path_prefix": "/logs", "service": "reads" } },
    ]);
    cluster.apply("first", &ops).await;
    let entry = cluster.entry[0].entry();
    let observe = cluster.entry[0].observe();
    let server = cluster.standin_address();
    let listener = TcpListener::bind(server).await.expect("address is free");
    tokio::spawn(serve(listener));
    let addresses = cluster::eventually(LIMIT, "an address list", || async {
        let answer = get(entry, "/.nutmegdale/addresses?route=reads", "").await?;
        answer.starts_with("HTTP/1.1 200").then_some(answer)
    })
    .await;
    assert!(
        addresses.contains(&format!("\"addresses\":[\"{entry}\"]")),
        "{addresses}"
    );

    let leased = announce(entry, server, 1).await;
    assert!(
        leased.ends_with("{\"lease_ms\":6000,\"renew_ms\":2000}"),
        "{leased}"
    );
    let stale = announce(entry, server, 1).await;
    assert!(stale.starts_with("HTTP/1.1 409"), "{stale}");

    let account = "nutmegdale-account: inspector\r\n";
    let answer = cluster::eventually(LIMIT, "an answer", || async {
        let answer = get(entry, "/logs/hall-7", account).await?;
        answer.starts_with("HTTP/1.1 200").then_some(answer)
    })
    .await;
    assert!(
        has_line(&answer, "nutmegdale-outcome: answered"),
        "{answer}"
    );
    assert!(has_line(&answer, "nutmegdale-version: 1"), "{answer}");
    assert!(answer.ends_with("\r\n\r\nwith id"), "{answer}");

    for (path, headers, status, reason) in [
        ("/logs/hall-7", "", 403, "account"),
        ("/other", account, 404, "no-route"),
        ("/logs/../other", account, 400, "bad-request"),
    ] {
        let answer = get(entry, path, headers).await.expect("answer");
        assert!(
            answer.starts_with(&format!("HTTP/1.1 {status}")),
            "{answer}"
        );
        assert!(has_line(&answer, "nutmegdale-outcome: not-run"), "{answer}");
        assert!(
            has_line(&answer, &format!("nutmegdale-reason: {reason}")),
            "{answer}"
        );
    }

    let health = get(observe, "/healthz", "").await.expect("answer");
    assert!(health.ends_with("{\"ready\":true}"), "{health}");
    let metrics = get(observe, "/metrics", "").await.expect("answer");
    let counter =
        "nutmegdale_requests_total{class=\"none\",outcome=\"not-run\",reason=\"account\"} 1";
    assert!(has_line(&metrics, counter), "{metrics}");
    let dump = get(observe, "/dump", "").await.expect("answer");
    assert!(dump.contains("\"name\":\"reads-1\""), "{dump}");
}

//! Tests of requests whose connections to servers end without a response.

mod stub;

use nutmegdale_base::class;
use std::net;
use std::sync;
use std::time;
use stub::raw;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Longer than the check whether a server has crashed.
const CHECKED: time::Duration = time::Duration::from_millis(250);
const SUSPECTED: &str = "nutmegdale_suspected_requests";
const BANNED: &str = "nutmegdale_banned_requests";

const IDLE: &str = "HTTP/1.1 200 OK\r\nload: 0 0 4 100\r\ncontent-length: 0\r\n\r\n";

/// Starts a server that answers health checks, and crashes at the first request: it closes its
/// listener and all connections.
async fn start_crashing() -> net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let (crash, crashed) = watch::channel(false);
    let crash = sync::Arc::new(crash);
    tokio::spawn(async move {
        let mut ended = crashed.clone();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                _ = ended.wait_for(|is_crashed| *is_crashed) => return,
            };
            let (mut stream, _) = accepted.expect("a connection");
            let (crash, mut ended) = (sync::Arc::clone(&crash), crashed.clone());
            tokio::spawn(async move {
                tokio::select! {
                    () = answer_checks(&mut stream) => drop(crash.send_replace(true)),
                    _ = ended.wait_for(|is_crashed| *is_crashed) => {}
                }
            });
        }
    });
    address
}

/// Answers health checks until a request arrives.
async fn answer_checks(stream: &mut TcpStream) {
    let mut buf = [0; 4_096];
    loop {
        let len = stream.read(&mut buf).await.unwrap_or(0);
        if len == 0 {
            return std::future::pending().await;
        }
        let head = String::from_utf8_lossy(&buf[..len]).to_lowercase();
        if !raw::is_health_check(&head) {
            return;
        }
        // A caller that has left is noticed by the next read.
        drop(stream.write_all(IDLE.as_bytes()).await);
    }
}

async fn start_crashing_servers(count: usize) -> Vec<net::SocketAddr> {
    let mut servers = Vec::new();
    for _ in 0..count {
        servers.push(start_crashing().await);
    }
    servers
}

/// Guards against a request that crashes a fourth server, and against one whose refusal says that it
/// may come again or may have run. A one-time request is sent once for each time that it comes.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_is_refused_after_three_crashes() {
    for class in [class::Class::UrgentLookup, class::Class::OneTimeFiling] {
        let servers = start_crashing_servers(5).await;
        let harness = stub::Harness::start_with(class, &servers).await;
        let mut statuses = Vec::new();
        for n in 0..8 {
            let response = harness.send(&format!("id-{n}")).await;
            statuses.push(response.status);
            assert!(response.status == 502 || response.retry_after.is_none());
            tokio::time::sleep(CHECKED).await;
        }
        assert_eq!(harness.metric(BANNED), 1, "{statuses:?}");
        assert_eq!(statuses.last(), Some(&400));
        let crashed = harness.metric("nutmegdale_servers_crashed_total");
        assert!((3..=4).contains(&crashed), "{crashed} servers crashed");
        // Another path is another request; the servers that are left take it.
        let other = harness.try_send_to("/path/y", "other").await;
        assert_ne!(other.expect("an answer").status, 400);
    }
}

/// Guards against a request that is suspected since a working server broke off or sent no response.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn broken_connections_to_working_servers_attribute_no_crash() {
    let respond = |_: usize, head: &str| match raw::is_health_check(head) {
        true => raw::Output::Bytes("HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n".to_owned()),
        false => raw::Output::Close(String::new()),
    };
    let mut servers = Vec::new();
    for _ in 0..4 {
        servers.push(raw::RawServer::start(&sync::Arc::default(), respond).await);
    }
    let addresses: Vec<_> = servers.iter().map(|server| server.address).collect();
    let harness = stub::Harness::start_with(class::Class::UrgentLookup, &addresses).await;
    for n in 0..6 {
        assert_eq!(harness.send(&format!("id-{n}")).await.status, 502);
        tokio::time::sleep(CHECKED).await;
    }
    assert_eq!(harness.metric(SUSPECTED), 0);
}

/// Guards against a request that stays suspected although a server has served it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn request_that_is_served_is_cleared() {
    let respond = |_: usize, head: &str| {
        let id = match raw::is_health_check(head) {
            true => String::new(),
            false => format!("id: {}\r\n", raw::id_of(head)),
        };
        let headers = format!("signed: 1\r\n{id}load: 3 0 4 100\r\ncontent-length: 2\r\n");
        raw::Output::Bytes(format!("HTTP/1.1 200 OK\r\n{headers}\r\nok"))
    };
    let working = raw::RawServer::start(&sync::Arc::default(), respond).await;
    let mut servers = start_crashing_servers(2).await;
    servers.push(working.address);
    let harness = stub::Harness::start_with(class::Class::OneTimeFiling, &servers).await;
    for n in 0..10 {
        harness.send(&format!("id-{n}")).await;
        tokio::time::sleep(CHECKED).await;
    }
    assert_eq!(harness.metric("nutmegdale_servers_crashed_total"), 2);
    assert_eq!(harness.metric(SUSPECTED), 0);
    assert!(harness.metric("nutmegdale_requests_cleared_total") >= 1);
}

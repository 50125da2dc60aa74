//! Tests that the operator services survive a flood of requests and handlers that never respond.

use hyper::body;
use nutmegdale_base::clock;
use nutmegdale_rpc::{layered, listen};
use std::net;
use std::sync;
use std::time;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;

/// Service that never responds.
struct NeverResponds;

impl listen::Service for NeverResponds {
    fn call(
        &self,
        _: hyper::Request<body::Incoming>,
        _: net::SocketAddr,
    ) -> listen::ResponseFuture {
        Box::pin(std::future::pending())
    }
}

fn refuse(refusal: layered::Refusal) -> hyper::Response<listen::Body> {
    hyper::Response::new(listen::full(format!("{refusal:?}")))
}

async fn get(address: net::SocketAddr) -> String {
    let mut stream = TcpStream::connect(address).await.expect("connection");
    let head = b"GET / HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n";
    stream.write_all(head).await.expect("request");
    let mut response = String::new();
    stream
        .read_to_string(&mut response)
        .await
        .expect("response");
    response
}

#[tokio::test]
async fn excess_requests_are_shed_and_slow_responses_time_out() {
    let listener = listen::bind((net::Ipv4Addr::LOCALHOST, 0).into()).await;
    let listener = listener.expect("address is free");
    let address = listener.local_addr().expect("address is known");
    let limits = layered::Limits {
        requests_max_count: 1,
        answer_ms: clock::Millis(1_000),
    };
    let service = layered::Layered::new(sync::Arc::new(NeverResponds), limits, refuse);
    let (_stop, stop) = watch::channel(false);
    let bounds = listen::Bounds::default();
    let service = sync::Arc::new(service);
    tokio::spawn(listen::serve(
        listener,
        service,
        bounds,
        stop,
        clock::Millis(0),
    ));
    // Whichever request arrives first times out; the other one is refused.
    let both = async { tokio::join!(get(address), get(address)) };
    let limit = time::Duration::from_secs(20);
    let (one, other) = tokio::time::timeout(limit, both)
        .await
        .expect("both requests end");
    let has = |text| one.ends_with(text) || other.ends_with(text);
    assert!(has("Busy"), "{one} {other}");
    assert!(has("Slow"), "{one} {other}");
}

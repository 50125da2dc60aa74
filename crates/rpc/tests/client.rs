//! Tests of calls to processes of other builds.

use bytes::Bytes;
use nutmegdale_base::clock;
use nutmegdale_rpc::{client, error, listen, server};
use std::net;
use std::sync;
use tokio::net::TcpListener;
use tokio::sync::watch;

/// Handler that knows one call and answers it with a number.
struct OneCall(&'static str, u32);

impl server::Handler for OneCall {
    fn call(&self, name: &str, _body: Bytes) -> Option<server::ReplyFuture> {
        let reply = server::encode_compact(&self.1);
        (name == self.0).then(|| Box::pin(std::future::ready(reply)) as server::ReplyFuture)
    }
}

async fn start(handler: OneCall) -> (net::SocketAddr, watch::Sender<bool>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let service = sync::Arc::new(server::CallService::new("token", sync::Arc::new(handler)));
    let (stop, stopped) = watch::channel(false);
    let bounds = listen::Bounds::default();
    let drain = clock::Millis(100);
    tokio::spawn(listen::serve(listener, service, bounds, stopped, drain));
    (address, stop)
}

async fn call(peer: net::SocketAddr) -> error::Result<u32> {
    let client = client::Client::new("token");
    let timeout = clock::Millis(2_000);
    client
        .call_compact_or(peer, "newer", "older", &(), timeout)
        .await
}

/// Guards against a process that cannot talk to one of an older build while a deployment is
/// upgraded process by process.
#[tokio::test]
async fn peer_without_the_newer_call_gets_the_older_one() {
    let (newer, _stop_newer) = start(OneCall("newer", 2)).await;
    let (older, _stop_older) = start(OneCall("older", 1)).await;
    assert_eq!(call(newer).await, Ok(2));
    assert_eq!(call(older).await, Ok(1));
}

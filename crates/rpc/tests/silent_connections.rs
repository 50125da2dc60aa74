//! Tests of connections between processes that go silent without a reset.

use nutmegdale_base::clock;
use nutmegdale_rpc::{client, error};
use std::net;
use std::sync;
use std::time;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

const TIMEOUT: clock::Millis = clock::Millis(200);

/// Peer whose connections go silent when `cut` changes; later connections work.
struct Peer {
    address: net::SocketAddr,
    cut: watch::Sender<()>,
}

impl Peer {
    async fn start() -> Peer {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let (cut, is_cut) = watch::channel(());
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let mut is_cut = is_cut.clone();
                is_cut.mark_unchanged();
                tokio::spawn(serve(stream, is_cut));
            }
        });
        Peer { address, cut }
    }
}

/// Answers calls with an empty message until the connection goes silent.
async fn serve(mut stream: TcpStream, is_cut: watch::Receiver<()>) {
    const RESPONSE: &[u8] = b"HTTP/1.1 200 OK\r\ncontent-length: 1\r\n\r\n\xc0";
    let mut buf = [0; 4_096];
    while stream.read(&mut buf).await.is_ok_and(|count| count > 0) {
        // Concurrent calls overlap, so each needs a connection.
        tokio::time::sleep(time::Duration::from_millis(20)).await;
        if is_cut.has_changed().unwrap_or(true) {
            std::future::pending::<()>().await;
        }
        if stream.write_all(RESPONSE).await.is_err() {
            return;
        }
    }
}

async fn call(client: &client::Client, peer: &Peer) -> error::Result<()> {
    client.call(peer.address, "any", &(), TIMEOUT).await
}

/// Opens three connections to each peer, and then makes all of them go silent.
async fn silent_peers(client: &client::Client) -> [Peer; 2] {
    let peers = [Peer::start().await, Peer::start().await];
    for peer in &peers {
        let calls = [call(client, peer), call(client, peer), call(client, peer)];
        for result in futures_util::future::join_all(calls).await {
            assert_eq!(result, Ok(()));
        }
    }
    for peer in &peers {
        peer.cut.send_replace(());
    }
    peers
}

/// Guards against an entry process that stays without a coordinator for seconds, since each
/// coordinator that it tries next costs the timeout of a call over another silent connection. It
/// then goes on with an old configuration after the time in which a change must be in force.
#[tokio::test]
async fn one_timeout_closes_all_silent_connections() {
    let client = client::Client::new("token");
    let peers = silent_peers(&client).await;
    assert!(call(&client, &peers[0]).await.is_err());
    assert_eq!(call(&client, &peers[1]).await, Ok(()));
    assert_eq!(call(&client, &peers[0]).await, Ok(()));
}

/// Guards against a call that is lost to a connection which went silent while nothing used it, such
/// as that of a change which another coordinator forwards to the leader.
#[tokio::test]
async fn connection_that_was_idle_for_long_is_not_used() {
    let client = sync::Arc::new(client::Client::new("token"));
    let peers = silent_peers(&client).await;
    tokio::time::sleep(time::Duration::from_millis(2_100)).await;
    assert_eq!(call(&client, &peers[0]).await, Ok(()));
}

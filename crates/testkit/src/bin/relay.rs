//! Minimal HTTP/1.1 proxy with hyper on both sides and round-robin forwarding, as a baseline for
//! measurements.

use bytes::Bytes;
use hyper::body;
use hyper::client::conn::http1 as client;
use hyper::server::conn::http1 as server;
use hyper_util::rt::TokioIo;
use std::io;
use std::net;
use std::pin;
use std::sync;
use std::sync::atomic;
use std::task;
use tokio::net::{TcpListener, TcpStream};

/// Minimal HTTP/1.1 proxy.
#[derive(Debug, argh::FromArgs)]
struct Args {
    /// address to listen at
    #[argh(option)]
    listen: net::SocketAddr,

    /// comma-separated addresses to forward to, round robin
    #[argh(option)]
    to: String,

    /// worker threads
    #[argh(option, default = "2")]
    threads: usize,
}

type Sender = client::SendRequest<body::Incoming>;
type Error = Box<dyn std::error::Error + Send + Sync>;

struct Peer {
    address: net::SocketAddr,
    idle: sync::Mutex<Vec<Sender>>,
}

impl Peer {
    fn idle(&self) -> sync::MutexGuard<'_, Vec<Sender>> {
        self.idle.lock().expect("no panic while the lock is held")
    }

    async fn checkout(&self) -> Result<Sender, Error> {
        loop {
            let Some(mut sender) = self.idle().pop() else {
                break;
            };
            if sender.ready().await.is_ok() {
                return Ok(sender);
            }
        }
        let stream = TcpStream::connect(self.address).await?;
        stream.set_nodelay(true)?;
        let (sender, conn) = client::handshake(TokioIo::new(stream)).await?;
        tokio::spawn(async move { drop(conn.await) });
        Ok(sender)
    }
}

/// Response body that returns its connection to the idle pool at its end.
struct PooledBody {
    incoming: body::Incoming,
    pooled: Option<(sync::Arc<Peer>, Sender)>,
}

impl body::Body for PooledBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<body::Frame<Bytes>, hyper::Error>>> {
        let polled = task::ready!(pin::Pin::new(&mut self.incoming).poll_frame(cx));
        if (polled.is_none() || body::Body::is_end_stream(&self.incoming))
            && let Some((peer, sender)) = self.pooled.take()
        {
            peer.idle().push(sender);
        }
        task::Poll::Ready(polled)
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> body::SizeHint {
        body::Body::size_hint(&self.incoming)
    }
}

async fn forward(
    peer: sync::Arc<Peer>,
    req: hyper::Request<body::Incoming>,
) -> Result<hyper::Response<PooledBody>, Error> {
    let mut sender = peer.checkout().await?;
    let response = sender.send_request(req).await?;
    Ok(response.map(|incoming| PooledBody {
        incoming,
        pooled: Some((peer, sender)),
    }))
}

async fn serve(listen: net::SocketAddr, peers: Vec<sync::Arc<Peer>>) -> io::Result<()> {
    let listener = TcpListener::bind(listen).await?;
    let peers = sync::Arc::new(peers);
    let next = sync::Arc::new(atomic::AtomicUsize::new(0));
    loop {
        let (stream, _) = listener.accept().await?;
        stream.set_nodelay(true)?;
        let (peers, next) = (sync::Arc::clone(&peers), sync::Arc::clone(&next));
        let service = hyper::service::service_fn(move |req| {
            let index = next.fetch_add(1, atomic::Ordering::Relaxed) % peers.len();
            forward(sync::Arc::clone(&peers[index]), req)
        });
        let conn = server::Builder::new().serve_connection(TokioIo::new(stream), service);
        tokio::spawn(async move { drop(conn.await) });
    }
}

fn main() -> io::Result<()> {
    let args: Args = argh::from_env();
    let addresses = args.to.split(',').map(|a| a.parse().expect("address"));
    let peers = addresses.map(|address| {
        let idle = sync::Mutex::default();
        sync::Arc::new(Peer { address, idle })
    });
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(args.threads)
        .enable_all()
        .build()?;
    runtime.block_on(serve(args.listen, peers.collect()))
}

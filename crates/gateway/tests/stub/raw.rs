//! Stub backend server that writes raw bytes.

use std::net;
use std::sync;
use std::sync::atomic;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Raw server: answers each request head with what `respond` returns.
pub(crate) struct RawServer {
    pub(crate) address: net::SocketAddr,
    requests: sync::Arc<sync::Mutex<Vec<String>>>,
}

/// What a raw server writes after it has read a request.
pub(crate) enum Output {
    /// Bytes, after which the connection is kept.
    Bytes(String),
    /// Bytes, after which the connection is closed.
    Close(String),
    /// Bytes, and then the second string again and again until the connection is closed.
    Endless(String, String),
}

impl RawServer {
    /// Starts a server; `respond` gets the number of the request on its connection, from 0, and its
    /// head.
    pub(crate) async fn start(
        written: &sync::Arc<atomic::AtomicUsize>,
        respond: impl Fn(usize, &str) -> Output + Send + Sync + 'static,
    ) -> RawServer {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let requests = sync::Arc::new(sync::Mutex::new(Vec::new()));
        let (log, respond) = (sync::Arc::clone(&requests), sync::Arc::new(respond));
        let written = sync::Arc::clone(written);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let (log, respond) = (sync::Arc::clone(&log), sync::Arc::clone(&respond));
                let written = sync::Arc::clone(&written);
                tokio::spawn(async move { serve(stream, &log, respond.as_ref(), &written).await });
            }
        });
        RawServer { address, requests }
    }

    /// Returns how many requests arrived, health checks included.
    pub(crate) fn requests_count(&self) -> usize {
        self.requests.lock().expect("no server panicked").len()
    }

    /// Returns how many requests with the identifier `id` arrived.
    pub(crate) fn arrivals(&self, id: &str) -> usize {
        let requests = self.requests.lock().expect("no server panicked");
        let line = format!("id: {id}\r\n");
        requests.iter().filter(|head| head.contains(&line)).count()
    }
}

async fn serve(
    mut stream: TcpStream,
    log: &sync::Mutex<Vec<String>>,
    respond: &(impl Fn(usize, &str) -> Output + ?Sized),
    written: &atomic::AtomicUsize,
) {
    for n in 0.. {
        let Some(head) = read_request(&mut stream).await else {
            return;
        };
        log.lock().expect("no test panicked").push(head.clone());
        match respond(n, &head) {
            Output::Bytes(bytes) => {
                if stream.write_all(bytes.as_bytes()).await.is_err() {
                    return;
                }
            }
            Output::Close(bytes) => {
                // The caller of the gateway sees a failure either way.
                drop(stream.write_all(bytes.as_bytes()).await);
                return;
            }
            Output::Endless(first, repeated) => {
                let chunk = repeated.repeat(16 * 1024 / repeated.len().max(1));
                let mut bytes = first.into_bytes();
                while stream.write_all(&bytes).await.is_ok() {
                    written.fetch_add(bytes.len(), atomic::Ordering::Relaxed);
                    bytes = chunk.clone().into_bytes();
                }
                return;
            }
        }
    }
}

/// Reads the head of a request and its body of 4 bytes, if it has one.
async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut buf = Vec::new();
    while !buf.ends_with(b"\r\n\r\n") {
        buf.push(stream.read_u8().await.ok()?);
    }
    let head = String::from_utf8_lossy(&buf).to_lowercase();
    if head.contains("content-length: 4") {
        stream.read_exact(&mut [0; 4]).await.ok()?;
    }
    Some(head)
}

pub(crate) fn is_health_check(head: &str) -> bool {
    head.starts_with("get /health")
}

pub(crate) fn id_of(head: &str) -> &str {
    let id = head.lines().find_map(|line| line.strip_prefix("id: "));
    id.unwrap_or("")
}

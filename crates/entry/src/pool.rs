//! Connection pool of one backend server.

use crossbeam_queue::ArrayQueue;
use hyper::client::conn::http1;
use nutmegdale_admission::bucket;
use nutmegdale_base::clock;
use nutmegdale_rpc::listen;
use std::net;
use std::sync;
use std::sync::atomic;
use std::time;
use tokio::net::TcpStream;

/// Handle that sends requests on one connection.
pub type Sender = http1::SendRequest<listen::Body>;

/// Most idle connections kept per server.
const IDLE_MAX_COUNT: usize = 64;
/// Maximum size of the read buffer of a connection, and so of the head of a response, in bytes.
const READ_BUFFER_MAX_BYTES: usize = 32 * 1024;
/// Part of a server's connection limit that all entry processes use together, in percent; the rest
/// is a reserve for entry processes that have started but are not in the directory yet.
const POOLED_PERCENT: u32 = 90;

/// Rate at which all entry processes together open connections to one server, per second: half of
/// what a server accepts at about 1 ms per connection.
const OPEN_PER_SEC: u64 = 500;
/// Burst of connections that one entry process opens to a server.
const OPEN_BURST_COUNT: u64 = 4;

/// Error of [`Pool::checkout`].
#[derive(Debug)]
pub enum Error {
    /// This entry process has its full share of the server's connections open.
    Full,
    /// Connecting to the server failed.
    Connect,
}

/// Connections of this process to one server.
#[derive(Debug)]
pub struct Pool {
    address: net::SocketAddr,
    idle: ArrayQueue<Sender>,
    open: sync::Arc<atomic::AtomicU32>,
    max_open: atomic::AtomicU32,
    entries_count: atomic::AtomicU32,
    open_rate: bucket::Bucket,
    returned: tokio::sync::Notify,
}

/// Counts an open connection until it is dropped.
#[derive(Debug)]
struct OpenGuard {
    open: sync::Arc<atomic::AtomicU32>,
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.open.fetch_sub(1, atomic::Ordering::AcqRel);
    }
}

impl Pool {
    /// Creates an empty pool.
    pub fn new(address: net::SocketAddr) -> Pool {
        Pool {
            address,
            idle: ArrayQueue::new(IDLE_MAX_COUNT),
            open: sync::Arc::default(),
            max_open: atomic::AtomicU32::new(1),
            entries_count: atomic::AtomicU32::new(1),
            open_rate: bucket::Bucket::new(),
            returned: tokio::sync::Notify::new(),
        }
    }

    /// Sets the limit of open connections to this process's share of what the server accepts.
    pub fn set_share(&self, connections: u32, entries_count: usize) {
        let entries = u32::try_from(entries_count.max(1)).unwrap_or(u32::MAX);
        let max_open = (connections / 100 * POOLED_PERCENT
            + connections % 100 * POOLED_PERCENT / 100)
            / entries;
        self.max_open
            .store(max_open.max(1), atomic::Ordering::Relaxed);
        self.entries_count.store(entries, atomic::Ordering::Relaxed);
    }

    /// Returns an idle connection or opens one, subject to the rate limit.
    ///
    /// # Errors
    ///
    /// Fails if no more connections may be opened or the server cannot be connected to. No request
    /// was sent in either case.
    pub async fn checkout(&self, clock: &dyn clock::Clock) -> Result<Sender, Error> {
        loop {
            while let Some(mut sender) = self.idle.pop() {
                if sender.ready().await.is_ok() {
                    return Ok(sender);
                }
            }
            let guard = self.reserve_open()?;
            let Err(wait) = self.open_rate.take(clock.now(), 1, self.open_rate_limit()) else {
                return self.open(guard).await;
            };
            drop(guard);
            tokio::select! {
                () = self.returned.notified() => {}
                () = tokio::time::sleep(time::Duration::from_millis(wait.0)) => {}
            }
        }
    }

    fn open_rate_limit(&self) -> bucket::Rate {
        let entries = self.entries_count.load(atomic::Ordering::Relaxed);
        bucket::Rate {
            per_sec: (OPEN_PER_SEC / u64::from(entries.max(1))).max(1),
            burst: OPEN_BURST_COUNT,
        }
    }

    async fn open(&self, guard: OpenGuard) -> Result<Sender, Error> {
        let connect = async {
            let stream = TcpStream::connect(self.address).await.ok()?;
            stream.set_nodelay(true).ok()?;
            let io = hyper_util::rt::TokioIo::new(stream);
            let mut builder = http1::Builder::new();
            builder.max_buf_size(READ_BUFFER_MAX_BYTES);
            builder.handshake::<_, listen::Body>(io).await.ok()
        };
        let (sender, conn) = connect.await.ok_or(Error::Connect)?;
        tokio::spawn(async move {
            // A connection error reaches the request through its sender.
            drop(conn.await);
            drop(guard);
        });
        Ok(sender)
    }

    fn reserve_open(&self) -> Result<OpenGuard, Error> {
        let max_open = self.max_open.load(atomic::Ordering::Relaxed);
        let add = |open| (open < max_open).then_some(open + 1);
        let (set, fetch) = (atomic::Ordering::AcqRel, atomic::Ordering::Acquire);
        match self.open.fetch_update(set, fetch, add) {
            Ok(_) => Ok(OpenGuard {
                open: sync::Arc::clone(&self.open),
            }),
            Err(_) => Err(Error::Full),
        }
    }

    /// Returns a connection to the pool; its last response must have been read to the end.
    pub fn checkin(&self, sender: Sender) {
        // If the queue is full, the connection is dropped, which closes it.
        drop(self.idle.push(sender));
        self.returned.notify_one();
    }

    /// Returns the number of open connections.
    pub fn open_count(&self) -> u32 {
        self.open.load(atomic::Ordering::Relaxed)
    }
}

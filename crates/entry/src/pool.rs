//! Connections to one backend server.

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

/// Sender of requests on one connection.
pub type Sender = http1::SendRequest<listen::Body>;

/// Idle connections kept per server.
const IDLE_MAX_COUNT: usize = 64;
/// Part of a server's connections that all entry processes use together, in percent; the rest
/// covers entry processes that have started but are not listed yet.
const USABLE_PERCENT: u32 = 90;

/// Connections per second that all entry processes together open to one server: half of what it
/// accepts at about 1 ms for each.
const OPENED_PER_SEC: u64 = 500;
/// Connections that one entry process opens to a server at once.
const OPENED_BURST_COUNT: u64 = 4;

/// Why no connection could be had.
#[derive(Debug)]
pub enum Error {
    /// This entry process already holds its share of the server's connections.
    Full,
    /// The server could not be connected to.
    Connect,
}

/// Pool of connections to one server.
#[derive(Debug)]
pub struct Pool {
    address: net::SocketAddr,
    idle: ArrayQueue<Sender>,
    open: sync::Arc<atomic::AtomicU32>,
    share: atomic::AtomicU32,
    entries_count: atomic::AtomicU32,
    pace: bucket::Bucket,
    returned: tokio::sync::Notify,
}

/// Open connection, counted until it is dropped.
#[derive(Debug)]
struct OpenCount {
    open: sync::Arc<atomic::AtomicU32>,
}

impl Drop for OpenCount {
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
            share: atomic::AtomicU32::new(1),
            entries_count: atomic::AtomicU32::new(1),
            pace: bucket::Bucket::new(),
            returned: tokio::sync::Notify::new(),
        }
    }

    /// Sets this process's share of the connections that the server accepts.
    pub fn set_share(&self, connections: u32, entries_count: usize) {
        let entries = u32::try_from(entries_count.max(1)).unwrap_or(u32::MAX);
        let share = (connections / 100 * USABLE_PERCENT + connections % 100 * USABLE_PERCENT / 100)
            / entries;
        self.share.store(share.max(1), atomic::Ordering::Relaxed);
        self.entries_count.store(entries, atomic::Ordering::Relaxed);
    }

    /// Returns an idle connection or opens one, at a bounded pace.
    ///
    /// # Errors
    ///
    /// In both cases nothing was sent to the server.
    pub async fn checkout(&self, clock: &dyn clock::Clock) -> Result<Sender, Error> {
        loop {
            while let Some(mut sender) = self.idle.pop() {
                if sender.ready().await.is_ok() {
                    return Ok(sender);
                }
            }
            let count = self.count_open()?;
            let Err(wait) = self.pace.take(clock.now(), 1, self.pace_rate()) else {
                return self.open(count).await;
            };
            drop(count);
            tokio::select! {
                () = self.returned.notified() => {}
                () = tokio::time::sleep(time::Duration::from_millis(wait.0)) => {}
            }
        }
    }

    fn pace_rate(&self) -> bucket::Rate {
        let entries = self.entries_count.load(atomic::Ordering::Relaxed);
        bucket::Rate {
            per_sec: (OPENED_PER_SEC / u64::from(entries.max(1))).max(1),
            burst: OPENED_BURST_COUNT,
        }
    }

    async fn open(&self, count: OpenCount) -> Result<Sender, Error> {
        let connect = async {
            let stream = TcpStream::connect(self.address).await.ok()?;
            stream.set_nodelay(true).ok()?;
            let io = hyper_util::rt::TokioIo::new(stream);
            http1::handshake::<_, listen::Body>(io).await.ok()
        };
        let (sender, conn) = connect.await.ok_or(Error::Connect)?;
        tokio::spawn(async move {
            // Errors reach the request through its sender.
            drop(conn.await);
            drop(count);
        });
        Ok(sender)
    }

    fn count_open(&self) -> Result<OpenCount, Error> {
        let share = self.share.load(atomic::Ordering::Relaxed);
        let add = |open| (open < share).then_some(open + 1);
        let (set, fetch) = (atomic::Ordering::AcqRel, atomic::Ordering::Acquire);
        match self.open.fetch_update(set, fetch, add) {
            Ok(_) => Ok(OpenCount {
                open: sync::Arc::clone(&self.open),
            }),
            Err(_) => Err(Error::Full),
        }
    }

    /// Returns a connection whose answer was read to its end.
    pub fn checkin(&self, sender: Sender) {
        // A full queue drops the connection, which closes it.
        drop(self.idle.push(sender));
        self.returned.notify_one();
    }

    /// Returns the number of open connections.
    pub fn open_count(&self) -> u32 {
        self.open.load(atomic::Ordering::Relaxed)
    }
}

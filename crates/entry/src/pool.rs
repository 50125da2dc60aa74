//! Connections to one backend server.

use crossbeam_queue::ArrayQueue;
use hyper::client::conn::http1;
use nutmegdale_rpc::listen;
use std::net;
use std::sync;
use std::sync::atomic;
use tokio::net::TcpStream;

/// Sender of requests on one connection.
pub type Sender = http1::SendRequest<listen::Body>;

/// Idle connections kept per server.
const IDLE_MAX_COUNT: usize = 64;
/// Part of a server's connections that all entry processes use together, in percent; the rest
/// covers entry processes that have started but are not listed yet.
const USABLE_PERCENT: u32 = 90;

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
        }
    }

    /// Sets this process's share of the connections that the server accepts.
    pub fn set_share(&self, connections: u32, entries_count: usize) {
        let entries = u32::try_from(entries_count.max(1)).unwrap_or(u32::MAX);
        let share = (connections / 100 * USABLE_PERCENT + connections % 100 * USABLE_PERCENT / 100)
            / entries;
        self.share.store(share.max(1), atomic::Ordering::Relaxed);
    }

    /// Returns an idle connection or opens one.
    ///
    /// # Errors
    ///
    /// In both cases nothing was sent to the server.
    pub async fn checkout(&self) -> Result<Sender, Error> {
        while let Some(mut sender) = self.idle.pop() {
            if sender.ready().await.is_ok() {
                return Ok(sender);
            }
        }
        let count = self.count_open()?;
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
    }

    /// Returns the number of open connections.
    pub fn open_count(&self) -> u32 {
        self.open.load(atomic::Ordering::Relaxed)
    }
}

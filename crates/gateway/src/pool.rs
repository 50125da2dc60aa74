//! Connections to one backend server.
//!
//! A new connection costs the server a moment of a slot, so connections are kept; but a server may
//! close or silently drop an idle one, so each is used only while it is surely younger than the
//! server's idle limit.

use hyper::client::conn::http1;
use hyper_util::rt;
use nutmegdale_base::clock;
use nutmegdale_rpc::listen;
use std::net;
use std::sync;
use std::sync::atomic;
use std::time;
use tokio::net::TcpStream;

/// Way to send one request at a time.
pub type Sender = http1::SendRequest<listen::Body>;

/// Time that a connection may be idle where the server does not state its limit.
const IDLE_DEFAULT_MS: clock::Millis = clock::Millis(4_000);
/// Part of a stated idle limit that is used, in percent, since the limit is in whole seconds and
/// the last bytes were on their way for a while.
const IDLE_USED_PERCENT: u64 = 80;
/// Longest time to establish a connection.
const CONNECT_MS: clock::Millis = clock::Millis(500);
/// Time after which bytes that the server's host does not acknowledge end the connection.
const UNACKNOWLEDGED_MS: u64 = 2_000;
/// Idle connections that are kept.
const IDLE_MAX_COUNT: usize = 8;

/// Why no connection is there.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Error {
    /// No connection could be made.
    Connect,
    /// This process has its share of the server's connections open.
    Full,
}

/// Connection that is in use.
#[derive(Debug)]
pub struct Connection {
    /// Way to send.
    pub sender: Sender,
    /// Whether it carried a request before.
    pub is_reused: bool,
    generation: u64,
    _count: Count,
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    since: clock::Millis,
}

#[derive(Debug)]
struct Count {
    open: sync::Arc<atomic::AtomicU32>,
}

impl Drop for Count {
    fn drop(&mut self) {
        self.open.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}

/// Connections to one server.
#[derive(Debug)]
pub struct Pool {
    address: net::SocketAddr,
    idle: sync::Mutex<Vec<Idle>>,
    idle_limit_ms: atomic::AtomicU64,
    /// Connections of an earlier generation are not used again.
    generation: atomic::AtomicU64,
    open: sync::Arc<atomic::AtomicU32>,
    share: atomic::AtomicU32,
}

impl Pool {
    /// Creates a pool without connections.
    pub fn new(address: net::SocketAddr) -> Pool {
        Pool {
            address,
            idle: sync::Mutex::default(),
            idle_limit_ms: atomic::AtomicU64::new(IDLE_DEFAULT_MS.0),
            generation: atomic::AtomicU64::new(0),
            open: sync::Arc::default(),
            share: atomic::AtomicU32::new(1),
        }
    }

    /// Sets how many connections this process may have open.
    pub fn set_share(&self, share: u32) {
        self.share.store(share.max(1), atomic::Ordering::Relaxed);
    }

    /// Returns whether a connection is open.
    pub fn is_connected(&self) -> bool {
        self.open.load(atomic::Ordering::Relaxed) > 0
    }

    fn idle(&self) -> sync::MutexGuard<'_, Vec<Idle>> {
        self.idle
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Returns a connection that was idle for less than `idle_max` and than the server's limit,
    /// or a new one.
    ///
    /// # Errors
    ///
    /// Nothing was sent to the server.
    pub async fn checkout(
        &self,
        now: clock::Millis,
        idle_max: clock::Millis,
    ) -> Result<Connection, Error> {
        while let Some(mut connection) = self.pop(now, idle_max) {
            if connection.sender.ready().await.is_ok() {
                return Ok(connection);
            }
        }
        self.open().await
    }

    fn pop(&self, now: clock::Millis, idle_max: clock::Millis) -> Option<Connection> {
        let limit = clock::Millis(self.idle_limit_ms.load(atomic::Ordering::Relaxed));
        let most = limit.min(idle_max);
        let mut idle = self.idle();
        // The newest is the last one, so the others are too old as well; the sweep closes them.
        if now.since(idle.last()?.since) >= most {
            return None;
        }
        let mut connection = idle.pop()?.connection;
        connection.is_reused = true;
        Some(connection)
    }

    async fn open(&self) -> Result<Connection, Error> {
        let count = self.count()?;
        let limit = time::Duration::from_millis(CONNECT_MS.0);
        let connected = tokio::time::timeout(limit, TcpStream::connect(self.address)).await;
        let stream = connected.map_err(|_| Error::Connect)?;
        let stream = stream.map_err(|_| Error::Connect)?;
        stream.set_nodelay(true).map_err(|_| Error::Connect)?;
        let unacknowledged = time::Duration::from_millis(UNACKNOWLEDGED_MS);
        let socket = socket2::SockRef::from(&stream);
        // Without it the connection still works; requests have deadlines of their own.
        drop(socket.set_tcp_user_timeout(Some(unacknowledged)));
        let io = rt::TokioIo::new(stream);
        let handshake = http1::handshake::<_, listen::Body>(io).await;
        let (sender, conn) = handshake.map_err(|_| Error::Connect)?;
        // Errors reach the request through its sender.
        tokio::spawn(async move { drop(conn.await) });
        Ok(Connection {
            sender,
            is_reused: false,
            generation: self.generation.load(atomic::Ordering::Relaxed),
            _count: count,
        })
    }

    fn count(&self) -> Result<Count, Error> {
        let share = self.share.load(atomic::Ordering::Relaxed);
        let add = |open| (open < share).then_some(open + 1);
        let (set, fetch) = (atomic::Ordering::AcqRel, atomic::Ordering::Acquire);
        let counted = self.open.fetch_update(set, fetch, add);
        if counted.is_err() && !self.drop_oldest() {
            return Err(Error::Full);
        }
        if counted.is_err() {
            self.open.fetch_add(1, set);
        }
        Ok(Count {
            open: sync::Arc::clone(&self.open),
        })
    }

    /// Closes the connection that was idle longest; returns whether there was one.
    fn drop_oldest(&self) -> bool {
        let mut idle = self.idle();
        if idle.is_empty() {
            return false;
        }
        drop(idle.remove(0));
        true
    }

    /// Returns a connection whose answer was read to its end; `limit` is the idle limit that the
    /// server stated.
    pub fn checkin(
        &self,
        now: clock::Millis,
        connection: Connection,
        limit: Option<clock::Millis>,
    ) {
        if let Some(limit) = limit {
            let used = limit.0 * IDLE_USED_PERCENT / 100;
            self.idle_limit_ms.store(used, atomic::Ordering::Relaxed);
        }
        if connection.generation != self.generation.load(atomic::Ordering::Relaxed)
            || connection.sender.is_closed()
        {
            return;
        }
        let mut idle = self.idle();
        if idle.len() < IDLE_MAX_COUNT {
            idle.push(Idle {
                connection,
                since: now,
            });
        }
    }

    /// Closes connections that were idle for too long.
    pub fn sweep(&self, now: clock::Millis) {
        let limit = clock::Millis(self.idle_limit_ms.load(atomic::Ordering::Relaxed));
        self.idle()
            .retain(|idle| now.since(idle.since) < limit && !idle.connection.sender.is_closed());
    }

    /// Stops using all connections that are open, after one of them fell silent.
    pub fn renew(&self) {
        self.generation.fetch_add(1, atomic::Ordering::Relaxed);
        self.idle().clear();
    }
}

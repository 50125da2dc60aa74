//! Connection pool for one backend server.
//!
//! Accepting a connection occupies a slot of the server for a moment, so connections are reused. A
//! server may close or silently drop an idle connection, so a connection is reused only while its
//! idle time is well below the server's idle timeout.

use crate::opened;
use hyper::client::conn::http1;
use hyper_util::rt;
use nutmegdale_base::clock;
use nutmegdale_rpc::listen;
use std::io;
use std::net;
use std::sync;
use std::sync::atomic;
use std::time;
use tokio::net::TcpStream;
use tokio::task;

/// Handle that sends one request at a time over an HTTP/1.1 connection.
pub type Sender = http1::SendRequest<listen::Body>;

/// Idle timeout of a server that states none in its `keep-alive` header.
const IDLE_TIMEOUT_DEFAULT_MS: clock::Millis = clock::Millis(4_000);
/// Percentage of a stated idle timeout for which connections are reused: the timeout is given in
/// whole seconds, and it started before the last bytes of the response arrived here.
const IDLE_USED_PERCENT: u64 = 80;
/// Timeout for establishing a connection.
const CONNECT_TIMEOUT_MS: clock::Millis = clock::Millis(500);
/// Time after which a connection with unacknowledged data is closed (`TCP_USER_TIMEOUT`).
const UNACKNOWLEDGED_MS: u64 = 2_000;
/// Maximum number of bytes that the system holds before it sends them (`TCP_NOTSENT_LOWAT`). More of a
/// body would be sent although its request was refused or its caller has left.
const UNSENT_MAX_BYTES: u32 = 32 * 1024;
/// Maximum size of the read buffer of a connection, and so of the head of a response, in bytes.
const READ_BUFFER_MAX_BYTES: usize = 32 * 1024;
/// Maximum wait until a kept connection takes a request. One that still sends the last bytes of an
/// earlier body takes longer; waiting for it costs more than a new connection.
const READY_WAIT: time::Duration = time::Duration::from_millis(20);
/// Maximum number of idle connections in a pool.
const IDLE_MAX_COUNT: usize = 8;

/// Reason why no connection is available.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Error {
    /// No connection could be established.
    Connect,
    /// Nothing listens at the address.
    Refused,
    /// This process has used up its share of the server's connections.
    Full,
}

/// Connection that was taken from the pool or newly opened.
#[derive(Debug)]
pub struct Connection {
    /// Handle that sends requests over the connection.
    pub sender: Sender,
    /// Whether the connection has carried a request before.
    pub is_reused: bool,
    /// Why it was opened.
    pub cause: opened::Cause,
    generation: u64,
    /// Task that reads and writes.
    task: task::AbortHandle,
    _permit: OpenPermit,
}

impl Connection {
    /// Closes the connection without sending what is left of a request.
    pub fn abort(self) {
        self.task.abort();
    }
}

#[derive(Debug)]
struct Idle {
    connection: Connection,
    idle_since: clock::Millis,
}

/// Counts one open connection until it is dropped.
#[derive(Debug)]
struct OpenPermit {
    open_count: sync::Arc<atomic::AtomicU32>,
}

impl Drop for OpenPermit {
    fn drop(&mut self) {
        self.open_count.fetch_sub(1, atomic::Ordering::Relaxed);
    }
}

/// Connection pool for one server.
#[derive(Debug)]
pub struct Pool {
    address: net::SocketAddr,
    idle: sync::Mutex<Vec<Idle>>,
    idle_timeout_ms: atomic::AtomicU64,
    /// Time until which a kept connection can be reused, in milliseconds; 0 without one.
    kept_until_ms: atomic::AtomicU64,
    /// Generation of new connections; those of earlier generations are not reused.
    generation: atomic::AtomicU64,
    open_count: sync::Arc<atomic::AtomicU32>,
    open_max: atomic::AtomicU32,
}

impl Pool {
    /// Creates a pool without connections.
    pub fn new(address: net::SocketAddr) -> Pool {
        Pool {
            address,
            idle: sync::Mutex::default(),
            idle_timeout_ms: atomic::AtomicU64::new(IDLE_TIMEOUT_DEFAULT_MS.0),
            kept_until_ms: atomic::AtomicU64::new(0),
            generation: atomic::AtomicU64::new(0),
            open_count: sync::Arc::default(),
            open_max: atomic::AtomicU32::new(1),
        }
    }

    /// Sets the maximum number of open connections; values below 1 count as 1.
    pub fn set_open_max(&self, open_max: u32) {
        self.open_max
            .store(open_max.max(1), atomic::Ordering::Relaxed);
    }

    /// Returns whether at least one connection is open.
    pub fn is_connected(&self) -> bool {
        self.open_count.load(atomic::Ordering::Relaxed) > 0
    }

    /// Returns whether a request or health check could use a kept connection.
    pub fn has_kept(&self, now: clock::Millis) -> bool {
        now.0 < self.kept_until_ms.load(atomic::Ordering::Relaxed)
    }

    /// Updates what [`Pool::has_kept`] returns, which must not lock for each candidate.
    fn update_kept(&self, idle: &[Idle]) {
        let timeout_ms = self.idle_timeout_ms.load(atomic::Ordering::Relaxed);
        let until_ms = idle.last().map_or(0, |last| last.idle_since.0 + timeout_ms);
        self.kept_until_ms
            .store(until_ms, atomic::Ordering::Relaxed);
    }

    fn idle(&self) -> sync::MutexGuard<'_, Vec<Idle>> {
        self.idle
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Returns a connection that has been idle for less than both `idle_max` and the server's idle
    /// timeout, or opens a new one.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Full`] if the limit of open connections is reached, and [`Error::Refused`] or
    /// [`Error::Connect`] if a new connection cannot be established. No request was sent then.
    pub async fn checkout(
        &self,
        now: clock::Millis,
        idle_max: clock::Millis,
    ) -> Result<Connection, Error> {
        while let Some(mut connection) = self.pop_idle(now, idle_max) {
            let ready = connection.sender.ready();
            let ready = tokio::time::timeout(READY_WAIT, ready).await;
            if matches!(ready, Ok(Ok(()))) {
                return Ok(connection);
            }
        }
        let cause = self.cause();
        self.connect(cause).await
    }

    /// Returns why none of the open connections can be used now.
    fn cause(&self) -> opened::Cause {
        if !self.idle().is_empty() {
            opened::Cause::Idle
        } else if self.is_connected() {
            opened::Cause::AllBusy
        } else {
            opened::Cause::NoneOpen
        }
    }

    fn pop_idle(&self, now: clock::Millis, idle_max: clock::Millis) -> Option<Connection> {
        let timeout = clock::Millis(self.idle_timeout_ms.load(atomic::Ordering::Relaxed));
        let idle_max = timeout.min(idle_max);
        let mut idle = self.idle();
        // Connections are ordered by idle time, so if the last one has been idle for too long, all
        // have. The sweep closes them.
        if now.since(idle.last()?.idle_since) >= idle_max {
            return None;
        }
        let mut connection = idle.pop()?.connection;
        self.update_kept(&idle);
        connection.is_reused = true;
        Some(connection)
    }

    async fn connect(&self, cause: opened::Cause) -> Result<Connection, Error> {
        let permit = self.acquire_permit()?;
        let timeout = time::Duration::from_millis(CONNECT_TIMEOUT_MS.0);
        let connected = tokio::time::timeout(timeout, TcpStream::connect(self.address)).await;
        let stream = connected.map_err(|_| Error::Connect)?;
        let stream = stream.map_err(|err| match err.kind() {
            io::ErrorKind::ConnectionRefused => Error::Refused,
            _ => Error::Connect,
        })?;
        stream.set_nodelay(true).map_err(|_| Error::Connect)?;
        let unacknowledged = time::Duration::from_millis(UNACKNOWLEDGED_MS);
        let socket = socket2::SockRef::from(&stream);
        // The connection works without these options; requests have their own deadlines.
        drop(socket.set_tcp_user_timeout(Some(unacknowledged)));
        drop(socket.set_tcp_notsent_lowat(UNSENT_MAX_BYTES));
        let io = rt::TokioIo::new(stream);
        let mut builder = http1::Builder::new();
        builder.max_buf_size(READ_BUFFER_MAX_BYTES);
        let handshake = builder.handshake::<_, listen::Body>(io).await;
        let (sender, conn) = handshake.map_err(|_| Error::Connect)?;
        // Connection errors are reported to the request through its `SendRequest`.
        let task = tokio::spawn(async move { drop(conn.await) }).abort_handle();
        Ok(Connection {
            sender,
            is_reused: false,
            cause,
            generation: self.generation.load(atomic::Ordering::Relaxed),
            task,
            _permit: permit,
        })
    }

    /// Counts one more open connection. At the limit, an idle connection is closed to make room.
    fn acquire_permit(&self) -> Result<OpenPermit, Error> {
        let open_max = self.open_max.load(atomic::Ordering::Relaxed);
        let increment = |open| (open < open_max).then_some(open + 1);
        let (set, fetch) = (atomic::Ordering::AcqRel, atomic::Ordering::Acquire);
        let counted = self.open_count.fetch_update(set, fetch, increment);
        if counted.is_err() && !self.close_oldest_idle() {
            return Err(Error::Full);
        }
        if counted.is_err() {
            self.open_count.fetch_add(1, set);
        }
        Ok(OpenPermit {
            open_count: sync::Arc::clone(&self.open_count),
        })
    }

    /// Closes the connection that has been idle longest; returns whether there was one.
    fn close_oldest_idle(&self) -> bool {
        let mut idle = self.idle();
        if idle.is_empty() {
            return false;
        }
        drop(idle.remove(0));
        self.update_kept(&idle);
        true
    }

    /// Returns a connection to the pool after its response was read to the end. `idle_timeout` is
    /// the timeout that the server stated.
    pub fn checkin(
        &self,
        now: clock::Millis,
        connection: Connection,
        idle_timeout: Option<clock::Millis>,
    ) {
        if let Some(timeout) = idle_timeout {
            let used = timeout.0 / 100 * IDLE_USED_PERCENT;
            self.idle_timeout_ms.store(used, atomic::Ordering::Relaxed);
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
                idle_since: now,
            });
            self.update_kept(&idle);
        }
    }

    /// Closes connections that have been idle for too long or that the server has closed.
    pub fn sweep(&self, now: clock::Millis) {
        let timeout = clock::Millis(self.idle_timeout_ms.load(atomic::Ordering::Relaxed));
        let mut idle = self.idle();
        idle.retain(|idle| {
            now.since(idle.idle_since) < timeout && !idle.connection.sender.is_closed()
        });
        self.update_kept(&idle);
    }

    /// Closes all idle connections and prevents the reuse of those in use, for example after one
    /// of them timed out.
    pub fn invalidate(&self) {
        self.generation.fetch_add(1, atomic::Ordering::Relaxed);
        let mut idle = self.idle();
        idle.clear();
        self.update_kept(&idle);
    }
}

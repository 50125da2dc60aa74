//! TCP proxy that simulates a network link with delay and with partitions of either direction.
//!
//! Bytes are held back during a partition and arrive after it, since TCP retransmits lost packets. A
//! connection can be opened during a partition, but no data arrives over it.

use std::net;
use std::sync;
use std::time;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, tcp};
use tokio::sync::{mpsc, watch};
use tokio::task;

/// Chunks that are in transit in one direction.
const CHUNKS_MAX_COUNT: usize = 64;
/// Largest chunk read at once.
const CHUNK_BYTES: usize = 64 * 1024;

/// Simulated condition of a link.
#[derive(Debug, Clone, Copy, Default)]
pub struct State {
    /// Delay in each direction.
    pub delay: time::Duration,
    /// Whether data from the connecting side is held back.
    pub is_forth_cut: bool,
    /// Whether data to the connecting side is held back.
    pub is_back_cut: bool,
}

/// Running link; dropping it closes its connections.
#[derive(Debug)]
pub struct Link {
    state: watch::Sender<State>,
    tasks: task::JoinSet<()>,
}

impl Link {
    /// Starts a link that accepts at `listen` and connects to `to`.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if the address cannot be bound.
    pub async fn start(
        listen: net::SocketAddr,
        to: net::SocketAddr,
        state: State,
    ) -> std::io::Result<Link> {
        let listener = TcpListener::bind(listen).await?;
        let state = watch::Sender::new(state);
        let mut tasks = task::JoinSet::new();
        tasks.spawn(accept(listener, to, state.clone()));
        Ok(Link { state, tasks })
    }

    /// Closes all connections and the listener.
    pub async fn end(&mut self) {
        self.tasks.shutdown().await;
    }

    /// Changes the state; also affects open connections.
    pub fn set(&self, change: impl FnOnce(&mut State)) {
        self.state.send_modify(change);
    }
}

async fn accept(listener: TcpListener, to: net::SocketAddr, state: watch::Sender<State>) {
    let mut connections = task::JoinSet::new();
    while let Ok((near, _)) = listener.accept().await {
        while connections.try_join_next().is_some() {}
        connections.spawn(proxy(near, to, sync::Arc::new(state.subscribe())));
    }
}

async fn proxy(near: TcpStream, to: net::SocketAddr, state: sync::Arc<watch::Receiver<State>>) {
    let Ok(far) = TcpStream::connect(to).await else {
        return;
    };
    // Without the option, the link is only slower.
    drop(near.set_nodelay(true));
    drop(far.set_nodelay(true));
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let is_forth_cut: fn(&State) -> bool = |state| state.is_forth_cut;
    let is_back_cut: fn(&State) -> bool = |state| state.is_back_cut;
    tokio::join!(
        forward(near_read, far_write, state.as_ref().clone(), is_forth_cut),
        forward(far_read, near_write, state.as_ref().clone(), is_back_cut),
    );
}

async fn forward(
    read: tcp::OwnedReadHalf,
    mut write: tcp::OwnedWriteHalf,
    mut state: watch::Receiver<State>,
    is_cut: fn(&State) -> bool,
) {
    let (tx, mut rx) = mpsc::channel(CHUNKS_MAX_COUNT);
    let reading = read_chunks(read, tx);
    let writing = async {
        while let Some((at, chunk)) = rx.recv().await {
            let delay = state.borrow().delay;
            tokio::time::sleep_until((at + delay).into()).await;
            // Fails if the link was dropped.
            if state.wait_for(|state| !is_cut(state)).await.is_err() {
                return;
            }
            if write.write_all(&chunk).await.is_err() {
                return;
            }
        }
        drop(write.shutdown().await);
    };
    tokio::join!(reading, writing);
}

async fn read_chunks(mut read: tcp::OwnedReadHalf, tx: mpsc::Sender<(time::Instant, Vec<u8>)>) {
    let mut buf = vec![0; CHUNK_BYTES];
    loop {
        let count = match read.read(&mut buf).await {
            Ok(0) | Err(_) => return,
            Ok(count) => count,
        };
        let chunk = (time::Instant::now(), buf[..count].to_vec());
        if tx.send(chunk).await.is_err() {
            return;
        }
    }
}

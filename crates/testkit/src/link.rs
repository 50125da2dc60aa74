//! Link between two processes that delays bytes and can be cut in one direction.
//!
//! Bytes are held during a cut and arrive after it, as TCP repeats lost packets. A connection can
//! be opened during a cut, but nothing arrives over it.

use std::net;
use std::sync;
use std::time;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, tcp};
use tokio::sync::{mpsc, watch};
use tokio::task;

/// Pieces of one direction that are on their way at once.
const PIECES_MAX_COUNT: usize = 64;
/// Bytes of one piece.
const PIECE_BYTES: usize = 64 * 1024;

/// State of a link.
#[derive(Debug, Clone, Copy, Default)]
pub struct State {
    /// Delay of each direction.
    pub delay: time::Duration,
    /// Whether nothing passes from the connecting side.
    pub is_forth_cut: bool,
    /// Whether nothing passes to the connecting side.
    pub is_back_cut: bool,
}

/// Running link; it breaks its connections when dropped.
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

    /// Breaks all connections and frees the address.
    pub async fn end(&mut self) {
        self.tasks.shutdown().await;
    }

    /// Changes the state, also for open connections.
    pub fn set(&self, change: impl FnOnce(&mut State)) {
        self.state.send_modify(change);
    }
}

async fn accept(listener: TcpListener, to: net::SocketAddr, state: watch::Sender<State>) {
    let mut connections = task::JoinSet::new();
    while let Ok((near, _)) = listener.accept().await {
        while connections.try_join_next().is_some() {}
        connections.spawn(join(near, to, sync::Arc::new(state.subscribe())));
    }
}

async fn join(near: TcpStream, to: net::SocketAddr, state: sync::Arc<watch::Receiver<State>>) {
    let Ok(far) = TcpStream::connect(to).await else {
        return;
    };
    // Failures only slow the link down.
    drop(near.set_nodelay(true));
    drop(far.set_nodelay(true));
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let is_forth_cut: fn(&State) -> bool = |state| state.is_forth_cut;
    let is_back_cut: fn(&State) -> bool = |state| state.is_back_cut;
    tokio::join!(
        pass(near_read, far_write, state.as_ref().clone(), is_forth_cut),
        pass(far_read, near_write, state.as_ref().clone(), is_back_cut),
    );
}

async fn pass(
    read: tcp::OwnedReadHalf,
    mut write: tcp::OwnedWriteHalf,
    mut state: watch::Receiver<State>,
    is_cut: fn(&State) -> bool,
) {
    let (tx, mut rx) = mpsc::channel(PIECES_MAX_COUNT);
    let reading = take(read, tx);
    let writing = async {
        while let Some((at, piece)) = rx.recv().await {
            let delay = state.borrow().delay;
            tokio::time::sleep_until((at + delay).into()).await;
            // An error means that the link has ended.
            if state.wait_for(|state| !is_cut(state)).await.is_err() {
                return;
            }
            if write.write_all(&piece).await.is_err() {
                return;
            }
        }
        drop(write.shutdown().await);
    };
    tokio::join!(reading, writing);
}

async fn take(mut read: tcp::OwnedReadHalf, tx: mpsc::Sender<(time::Instant, Vec<u8>)>) {
    let mut buf = vec![0; PIECE_BYTES];
    loop {
        let count = match read.read(&mut buf).await {
            Ok(0) | Err(_) => return,
            Ok(count) => count,
        };
        let piece = (time::Instant::now(), buf[..count].to_vec());
        if tx.send(piece).await.is_err() {
            return;
        }
    }
}

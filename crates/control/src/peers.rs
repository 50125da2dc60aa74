//! Transport of Raft messages between the replicas of control processes.

use nutmegdale_base::clock;
use nutmegdale_consensus::types;
use nutmegdale_replica::transport;
use nutmegdale_rpc::{client, message};
use std::collections;
use std::net;
use std::sync;
use tokio::sync::mpsc;

/// Messages queued for one peer. Further ones are dropped, and their group retransmits them.
const QUEUE_MAX_COUNT: usize = 1_024;
/// Bytes of messages queued for one peer.
const QUEUE_MAX_BYTES: usize = 32 * 1024 * 1024;
/// Bytes after which no further message is added to a batch.
const BATCH_MAX_BYTES: usize = 4 * 1024 * 1024;
/// Concurrent calls to one peer. More than one, so that a large snapshot chunk does not delay the
/// next heartbeat.
const CALLS_MAX_COUNT: usize = 2;
/// Size up to which a batch holds heartbeats, votes and small entries only.
const SMALL_BATCH_MAX_BYTES: usize = 16 * 1024;
/// Timeout of a call with a small batch. A connection that went silent delays a replica's messages
/// by this long; a leader must reach its followers again before they elect another one.
const SMALL_CALL_TIMEOUT_MS: clock::Millis = clock::Millis(500);
/// Timeout of any other call, which may carry megabytes over a slow link.
const CALL_TIMEOUT_MS: clock::Millis = clock::Millis(2_000);

/// Sends the messages of all groups of a process, one queue per peer.
#[derive(Debug)]
pub struct Peers {
    own_address: net::SocketAddr,
    client: sync::Arc<client::Client>,
    runtime: tokio::runtime::Handle,
    state: sync::Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    addresses: collections::HashMap<types::ReplicaId, net::SocketAddr>,
    queues: collections::HashMap<net::SocketAddr, Queue>,
}

#[derive(Debug, Clone)]
struct Queue {
    tx: mpsc::Sender<Vec<u8>>,
    queued_bytes: sync::Arc<sync::atomic::AtomicUsize>,
}

impl Peers {
    /// Creates the transport of a process that accepts calls at `own_address`. Must be called inside
    /// the Tokio runtime.
    pub fn new(own_address: net::SocketAddr, client: sync::Arc<client::Client>) -> Peers {
        Peers {
            own_address,
            client,
            runtime: tokio::runtime::Handle::current(),
            state: sync::Mutex::default(),
        }
    }

    fn state(&self) -> sync::MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Sets the address of a replica from a message that it sent. This is the only way for a learner
    /// without a log to learn the address of the leader.
    pub fn set_address(&self, from: types::ReplicaId, address: net::SocketAddr) {
        self.state().addresses.insert(from, address);
    }

    fn queue_to(&self, to: types::ReplicaId) -> Option<Queue> {
        let mut state = self.state();
        let address = *state.addresses.get(&to)?;
        if address == self.own_address {
            return None;
        }
        let queue = state.queues.entry(address);
        Some(queue.or_insert_with(|| self.open_queue(address)).clone())
    }

    fn open_queue(&self, address: net::SocketAddr) -> Queue {
        let (tx, rx) = mpsc::channel(QUEUE_MAX_COUNT);
        let queued_bytes = sync::Arc::new(sync::atomic::AtomicUsize::new(0));
        let worker = Worker {
            own_address: self.own_address,
            address,
            client: sync::Arc::clone(&self.client),
            queued_bytes: sync::Arc::clone(&queued_bytes),
            calls: sync::Arc::new(tokio::sync::Semaphore::new(CALLS_MAX_COUNT)),
        };
        self.runtime.spawn(worker.run(rx));
        Queue { tx, queued_bytes }
    }
}

impl transport::Transport for Peers {
    fn send(&self, to: types::ReplicaId, msg: &types::Envelope) {
        let Some(queue) = self.queue_to(to) else {
            return;
        };
        let body = rmp_serde::to_vec(msg).expect("envelope can be encoded");
        let size_bytes = body.len();
        let order = sync::atomic::Ordering::Relaxed;
        let before = queue.queued_bytes.fetch_add(size_bytes, order);
        let fits = before == 0 || before + size_bytes <= QUEUE_MAX_BYTES;
        if !fits || queue.tx.try_send(body).is_err() {
            queue.queued_bytes.fetch_sub(size_bytes, order);
        }
    }

    fn set_members(&self, members: &types::MemberSet) {
        let mut state = self.state();
        for member in &members.members {
            state.addresses.insert(member.id, member.address);
        }
    }
}

struct Worker {
    own_address: net::SocketAddr,
    address: net::SocketAddr,
    client: sync::Arc<client::Client>,
    queued_bytes: sync::Arc<sync::atomic::AtomicUsize>,
    calls: sync::Arc<tokio::sync::Semaphore>,
}

impl Worker {
    async fn run(self, mut rx: mpsc::Receiver<Vec<u8>>) {
        while let Some(first) = rx.recv().await {
            let Ok(permit) = sync::Arc::clone(&self.calls).acquire_owned().await else {
                return;
            };
            let (envelopes, timeout) = self.collect_batch(first, &mut rx);
            let batch = message::RaftBatch {
                sender: self.own_address,
                envelopes,
            };
            let (client, address) = (sync::Arc::clone(&self.client), self.address);
            tokio::spawn(async move {
                // An error equals the loss of the messages, which their group retransmits.
                let sent: nutmegdale_rpc::error::Result<()> =
                    client.call(address, "raft", &batch, timeout).await;
                drop(sent);
                drop(permit);
            });
        }
    }

    /// Collects the queued messages up to a size; returns them with the timeout of their call.
    fn collect_batch(
        &self,
        first: Vec<u8>,
        rx: &mut mpsc::Receiver<Vec<u8>>,
    ) -> (Vec<Vec<u8>>, clock::Millis) {
        let mut size_bytes = first.len();
        let mut envelopes = vec![first];
        while size_bytes < BATCH_MAX_BYTES
            && let Ok(next) = rx.try_recv()
        {
            size_bytes += next.len();
            envelopes.push(next);
        }
        let order = sync::atomic::Ordering::Relaxed;
        self.queued_bytes.fetch_sub(size_bytes, order);
        let timeout = match size_bytes <= SMALL_BATCH_MAX_BYTES {
            true => SMALL_CALL_TIMEOUT_MS,
            false => CALL_TIMEOUT_MS,
        };
        (envelopes, timeout)
    }
}

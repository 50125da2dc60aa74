//! Messages between the replicas of control processes.

use nutmegdale_base::clock;
use nutmegdale_consensus::types;
use nutmegdale_replica::transport;
use nutmegdale_rpc::{client, message};
use std::collections;
use std::net;
use std::sync;
use tokio::sync::mpsc;

/// Messages that may wait for one peer; later ones are dropped and sent again by their group.
const QUEUE_MAX_COUNT: usize = 1_024;
/// Bytes of messages that may wait for one peer.
const QUEUE_MAX_BYTES: usize = 32 * 1024 * 1024;
/// Bytes after which a call takes up no further message.
const BATCH_MAX_BYTES: usize = 4 * 1024 * 1024;
/// Calls to one peer at once: more than one, so that a large part of a snapshot does not hold up
/// the next heartbeat.
const CALLS_MAX_COUNT: usize = 2;
/// Longest time of one call.
const CALL_MS: clock::Millis = clock::Millis(2_000);

/// Sends the messages of all groups of a process, one queue per peer.
#[derive(Debug)]
pub struct Peers {
    own: net::SocketAddr,
    client: sync::Arc<client::Client>,
    runtime: tokio::runtime::Handle,
    known: sync::Mutex<Known>,
}

#[derive(Debug, Default)]
struct Known {
    addresses: collections::HashMap<types::ReplicaId, net::SocketAddr>,
    queues: collections::HashMap<net::SocketAddr, Queue>,
}

#[derive(Debug, Clone)]
struct Queue {
    tx: mpsc::Sender<Vec<u8>>,
    waiting_bytes: sync::Arc<sync::atomic::AtomicUsize>,
}

impl Peers {
    /// Creates the sender of a process that takes calls at `own`. Must run inside the runtime.
    pub fn new(own: net::SocketAddr, client: sync::Arc<client::Client>) -> Peers {
        Peers {
            own,
            client,
            runtime: tokio::runtime::Handle::current(),
            known: sync::Mutex::default(),
        }
    }

    fn known(&self) -> sync::MutexGuard<'_, Known> {
        self.known
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Notes where a replica was heard from. A learner that holds no log yet knows the leader's
    /// address only from this.
    pub fn heard(&self, from: types::ReplicaId, address: net::SocketAddr) {
        self.known().addresses.insert(from, address);
    }

    fn queue_to(&self, to: types::ReplicaId) -> Option<Queue> {
        let mut known = self.known();
        let address = *known.addresses.get(&to)?;
        if address == self.own {
            return None;
        }
        let queue = known.queues.entry(address);
        Some(queue.or_insert_with(|| self.open(address)).clone())
    }

    fn open(&self, address: net::SocketAddr) -> Queue {
        let (tx, rx) = mpsc::channel(QUEUE_MAX_COUNT);
        let waiting_bytes = sync::Arc::new(sync::atomic::AtomicUsize::new(0));
        let worker = Worker {
            own: self.own,
            address,
            client: sync::Arc::clone(&self.client),
            waiting_bytes: sync::Arc::clone(&waiting_bytes),
            calls: sync::Arc::new(tokio::sync::Semaphore::new(CALLS_MAX_COUNT)),
        };
        self.runtime.spawn(worker.run(rx));
        Queue { tx, waiting_bytes }
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
        let before = queue.waiting_bytes.fetch_add(size_bytes, order);
        let fits = before == 0 || before + size_bytes <= QUEUE_MAX_BYTES;
        if !fits || queue.tx.try_send(body).is_err() {
            queue.waiting_bytes.fetch_sub(size_bytes, order);
        }
    }

    fn set_members(&self, members: &types::MemberSet) {
        let mut known = self.known();
        for member in &members.members {
            known.addresses.insert(member.id, member.address);
        }
    }
}

struct Worker {
    own: net::SocketAddr,
    address: net::SocketAddr,
    client: sync::Arc<client::Client>,
    waiting_bytes: sync::Arc<sync::atomic::AtomicUsize>,
    calls: sync::Arc<tokio::sync::Semaphore>,
}

impl Worker {
    async fn run(self, mut rx: mpsc::Receiver<Vec<u8>>) {
        while let Some(first) = rx.recv().await {
            let Ok(permit) = sync::Arc::clone(&self.calls).acquire_owned().await else {
                return;
            };
            let envelopes = self.collect(first, &mut rx);
            let batch = message::RaftBatch {
                sender: self.own,
                envelopes,
            };
            let (client, address) = (sync::Arc::clone(&self.client), self.address);
            tokio::spawn(async move {
                // A lost batch is as good as lost messages, which their group sends again.
                let sent: nutmegdale_rpc::error::Result<()> =
                    client.call(address, "raft", &batch, CALL_MS).await;
                drop(sent);
                drop(permit);
            });
        }
    }

    fn collect(&self, first: Vec<u8>, rx: &mut mpsc::Receiver<Vec<u8>>) -> Vec<Vec<u8>> {
        let mut size_bytes = first.len();
        let mut envelopes = vec![first];
        while size_bytes < BATCH_MAX_BYTES
            && let Ok(next) = rx.try_recv()
        {
            size_bytes += next.len();
            envelopes.push(next);
        }
        let order = sync::atomic::Ordering::Relaxed;
        self.waiting_bytes.fetch_sub(size_bytes, order);
        envelopes
    }
}

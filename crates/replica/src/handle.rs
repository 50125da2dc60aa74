//! Handle to a replica's thread for other threads.

use crate::queue_limit;
use displaydoc::Display;
use nutmegdale_consensus::{input, status, types};
use std::net;
use std::sync;
use std::sync::mpsc;
use tokio::sync::{oneshot, watch};

/// Maximum number of commands, reads and membership changes queued for the replica's thread.
const REQUESTS_MAX_COUNT: usize = 4_096;
/// Maximum size of the commands queued for the replica's thread, in bytes.
const REQUESTS_MAX_BYTES: usize = 32 * 1024 * 1024;
/// Maximum number of message batches from other replicas queued for the replica's thread.
const BATCHES_MAX_COUNT: usize = 256;
/// Maximum size of the messages from other replicas queued for the replica's thread, in bytes.
const BATCHES_MAX_BYTES: usize = 64 * 1024 * 1024;

/// Why a proposal or a read failed.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum ProposeError {
    /// this replica does not lead
    NotLeader {
        /// Address of the leader, if known.
        leader: Option<net::SocketAddr>,
    },
    /// the command may or may not have been accepted
    Unknown,
    /// the group has stopped
    Stopped,
    /// too many commands are waiting
    Busy,
}

impl std::error::Error for ProposeError {}

/// Why a membership change failed.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum ChangeError {
    /// {0}
    Propose(ProposeError),
    /// {0}
    Refused(input::Refusal),
}

impl std::error::Error for ChangeError {}

/// Sender of the reply to a command.
pub(crate) type ReplySender = oneshot::Sender<Result<Vec<u8>, ProposeError>>;
/// Sender of the reply to a read: the leader's term.
pub(crate) type ReadSender = oneshot::Sender<Result<u64, ProposeError>>;
/// Sender of the reply to a membership change.
pub(crate) type ChangeSender = oneshot::Sender<Result<(), ChangeError>>;

/// Request to the replica's thread.
#[derive(Debug)]
pub(crate) enum Request {
    Propose {
        cmd: Vec<u8>,
        reply_tx: ReplySender,
    },
    ConfirmLeadership {
        reply_tx: ReadSender,
    },
    Change {
        change: input::MemberChange,
        reply_tx: ChangeSender,
    },
    Bootstrap {
        set: types::MemberSet,
        is_last: bool,
        reply_tx: ChangeSender,
    },
    Deliver {
        envelopes: Vec<types::Envelope>,
        size_bytes: usize,
    },
    Stop {
        reply_tx: oneshot::Sender<()>,
    },
}

/// Queue limits shared by the handles and the replica's thread.
#[derive(Debug)]
pub(crate) struct QueueLimits {
    requests: queue_limit::QueueLimit,
    batches: queue_limit::QueueLimit,
}

impl QueueLimits {
    pub(crate) fn new() -> sync::Arc<QueueLimits> {
        sync::Arc::new(QueueLimits {
            requests: queue_limit::QueueLimit::new(REQUESTS_MAX_COUNT, REQUESTS_MAX_BYTES),
            batches: queue_limit::QueueLimit::new(BATCHES_MAX_COUNT, BATCHES_MAX_BYTES),
        })
    }

    fn limit_for<'a>(&'a self, req: &Request) -> (&'a queue_limit::QueueLimit, usize) {
        match req {
            Request::Deliver { size_bytes, .. } => (&self.batches, *size_bytes),
            Request::Propose { cmd, .. } => (&self.requests, cmd.len()),
            _ => (&self.requests, 0),
        }
    }

    /// Releases the capacity of a request that left the queue; returns the size of the request in
    /// bytes.
    pub(crate) fn release(&self, req: &Request) -> usize {
        let (limit, bytes) = self.limit_for(req);
        limit.release(bytes);
        bytes
    }
}

/// Handle to a replica's thread; clones refer to the same replica.
#[derive(Debug, Clone)]
pub struct Handle {
    tx: mpsc::Sender<Request>,
    limits: sync::Arc<QueueLimits>,
    status: watch::Receiver<sync::Arc<status::Status>>,
}

impl Handle {
    pub(crate) fn new(
        tx: mpsc::Sender<Request>,
        limits: sync::Arc<QueueLimits>,
        status: watch::Receiver<sync::Arc<status::Status>>,
    ) -> Handle {
        Handle { tx, limits, status }
    }

    /// Proposes a command; returns the reply of the state machine once the command is committed and
    /// applied here.
    ///
    /// # Errors
    ///
    /// Returns [`ProposeError::Unknown`] if leadership was lost meanwhile: the command may still be
    /// committed. After any other error the command was not accepted.
    pub async fn propose(&self, cmd: Vec<u8>) -> Result<Vec<u8>, ProposeError> {
        let (reply_tx, reply_rx) = oneshot::channel();
        self.send(Request::Propose { cmd, reply_tx })?;
        reply_rx.await.unwrap_or(Err(ProposeError::Unknown))
    }

    /// Waits until a quorum has confirmed that this replica still led after the call, and until
    /// every entry committed before the call is applied here; returns the leader's term. A read of
    /// the state machine after that is linearizable.
    ///
    /// # Errors
    ///
    /// Fails if this replica does not lead, loses leadership or stops, or if too many requests are
    /// queued.
    pub async fn confirm_leadership(&self) -> Result<u64, ProposeError> {
        let (reply_tx, reply_rx) = oneshot::channel();
        self.send(Request::ConfirmLeadership { reply_tx })?;
        reply_rx.await.unwrap_or(Err(ProposeError::Stopped))
    }

    /// Changes one member; returns once the change is committed.
    ///
    /// # Errors
    ///
    /// Fails like [`Handle::propose`], or returns why the change was refused.
    pub async fn change(&self, change: input::MemberChange) -> Result<(), ChangeError> {
        self.request_change(|reply_tx| Request::Change { change, reply_tx })
            .await
    }

    /// Makes this replica, which must not have any state yet, an initial member of a new group.
    /// `is_last` says that all other members are bootstrapped already.
    ///
    /// # Errors
    ///
    /// Refused if the replica already belongs to a group or is not listed as a voter.
    pub async fn bootstrap(&self, set: types::MemberSet, is_last: bool) -> Result<(), ChangeError> {
        self.request_change(|reply_tx| Request::Bootstrap {
            set,
            is_last,
            reply_tx,
        })
        .await
    }

    async fn request_change(
        &self,
        build: impl FnOnce(ChangeSender) -> Request,
    ) -> Result<(), ChangeError> {
        let (reply_tx, reply_rx) = oneshot::channel();
        self.send(build(reply_tx)).map_err(ChangeError::Propose)?;
        let unknown = Err(ChangeError::Propose(ProposeError::Unknown));
        reply_rx.await.unwrap_or(unknown)
    }

    /// Queues messages from other replicas, which took `size_bytes` on the wire; drops them if the
    /// queue is full.
    pub fn deliver(&self, envelopes: Vec<types::Envelope>, size_bytes: usize) {
        // The sender retries messages that are dropped here.
        drop(self.send(Request::Deliver {
            envelopes,
            size_bytes,
        }));
    }

    /// Returns the status after the last step.
    pub fn status(&self) -> sync::Arc<status::Status> {
        sync::Arc::clone(&self.status.borrow())
    }

    /// Returns a receiver of status changes, whose channel closes when the replica stops.
    pub fn subscribe(&self) -> watch::Receiver<sync::Arc<status::Status>> {
        self.status.clone()
    }

    /// Transfers leadership if this replica leads, and stops the replica's thread.
    pub async fn stop(&self) {
        let (reply_tx, reply_rx) = oneshot::channel();
        if self.send(Request::Stop { reply_tx }).is_ok() {
            // The thread never replies; the channel closes when the thread ends.
            drop(reply_rx.await);
        }
    }

    fn send(&self, req: Request) -> Result<(), ProposeError> {
        let (limit, bytes) = self.limits.limit_for(&req);
        if !limit.try_acquire(bytes) {
            return Err(ProposeError::Busy);
        }
        self.tx.send(req).map_err(|mpsc::SendError(req)| {
            self.limits.release(&req);
            ProposeError::Stopped
        })
    }
}

//! Access to a group from other threads.

use crate::gate;
use displaydoc::Display;
use nutmegdale_consensus::{input, status, types};
use std::net;
use std::sync;
use std::sync::mpsc;
use tokio::sync::{oneshot, watch};

/// Commands, reads and changes of members that may wait for the group's thread.
const REQUESTS_MAX_COUNT: usize = 4_096;
/// Bytes of commands that may wait for the group's thread.
const REQUESTS_MAX_BYTES: usize = 32 * 1024 * 1024;
/// Batches of messages of other replicas that may wait for the group's thread.
const BATCHES_MAX_COUNT: usize = 256;
/// Bytes of messages of other replicas that may wait for the group's thread.
const BATCHES_MAX_BYTES: usize = 64 * 1024 * 1024;

/// Why a command has no answer.
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

/// Why a change of members was not made.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum ChangeError {
    /// {0}
    Propose(ProposeError),
    /// {0}
    Refused(input::Refusal),
}

impl std::error::Error for ChangeError {}

/// Where the answer to a command goes.
pub(crate) type Reply = oneshot::Sender<Result<Vec<u8>, ProposeError>>;
/// Where the answer to a read goes.
pub(crate) type ReadReply = oneshot::Sender<Result<u64, ProposeError>>;
/// Where the answer to a change of members goes.
pub(crate) type ChangeReply = oneshot::Sender<Result<(), ChangeError>>;

/// Request to the group's thread.
#[derive(Debug)]
pub(crate) enum Request {
    Propose {
        cmd: Vec<u8>,
        reply: Reply,
    },
    Confirm {
        reply: ReadReply,
    },
    Change {
        change: input::MemberChange,
        reply: ChangeReply,
    },
    Bootstrap {
        set: types::MemberSet,
        is_last: bool,
        reply: ChangeReply,
    },
    Deliver {
        envelopes: Vec<types::Envelope>,
        size_bytes: usize,
    },
    Stop {
        reply: oneshot::Sender<()>,
    },
}

/// Bounds shared by the handles and the group's thread.
#[derive(Debug)]
pub(crate) struct Gates {
    requests: gate::Gate,
    batches: gate::Gate,
}

impl Gates {
    pub(crate) fn new() -> sync::Arc<Gates> {
        sync::Arc::new(Gates {
            requests: gate::Gate::new(REQUESTS_MAX_COUNT, REQUESTS_MAX_BYTES),
            batches: gate::Gate::new(BATCHES_MAX_COUNT, BATCHES_MAX_BYTES),
        })
    }

    fn of<'a>(&'a self, req: &Request) -> (&'a gate::Gate, usize) {
        match req {
            Request::Deliver { size_bytes, .. } => (&self.batches, *size_bytes),
            Request::Propose { cmd, .. } => (&self.requests, cmd.len()),
            _ => (&self.requests, 0),
        }
    }

    /// Counts a request that the group's thread took; returns its size.
    pub(crate) fn leave(&self, req: &Request) -> usize {
        let (gate, bytes) = self.of(req);
        gate.leave(bytes);
        bytes
    }
}

/// Access to a group; clones share it.
#[derive(Debug, Clone)]
pub struct Handle {
    tx: mpsc::Sender<Request>,
    gates: sync::Arc<Gates>,
    status: watch::Receiver<sync::Arc<status::Status>>,
}

impl Handle {
    pub(crate) fn new(
        tx: mpsc::Sender<Request>,
        gates: sync::Arc<Gates>,
        status: watch::Receiver<sync::Arc<status::Status>>,
    ) -> Handle {
        Handle { tx, gates, status }
    }

    /// Proposes a command and returns its answer once it is committed and applied here.
    ///
    /// # Errors
    ///
    /// `Unknown` if leadership was lost meanwhile: the command may still be committed. All other
    /// errors say that it was not accepted.
    pub async fn propose(&self, cmd: Vec<u8>) -> Result<Vec<u8>, ProposeError> {
        let (reply, answer) = oneshot::channel();
        self.send(Request::Propose { cmd, reply })?;
        answer.await.unwrap_or(Err(ProposeError::Unknown))
    }

    /// Waits until a quorum has confirmed that this replica led after the call, and until every
    /// entry committed before the call is applied here; returns the leader's term.
    ///
    /// # Errors
    ///
    /// Fails if this replica does not lead or loses the lead.
    pub async fn confirm_leadership(&self) -> Result<u64, ProposeError> {
        let (reply, answer) = oneshot::channel();
        self.send(Request::Confirm { reply })?;
        answer.await.unwrap_or(Err(ProposeError::Stopped))
    }

    /// Changes one member and returns once the change is committed.
    ///
    /// # Errors
    ///
    /// As [`Handle::propose`], or the rule that the change breaks.
    pub async fn change(&self, change: input::MemberChange) -> Result<(), ChangeError> {
        self.change_by(|reply| Request::Change { change, reply })
            .await
    }

    /// Makes this replica, which must hold nothing yet, one of the first members of a new group;
    /// `is_last` says that all others know the members already.
    ///
    /// # Errors
    ///
    /// Refused if the replica belongs to a group already or is not listed as a voter.
    pub async fn bootstrap(&self, set: types::MemberSet, is_last: bool) -> Result<(), ChangeError> {
        self.change_by(|reply| Request::Bootstrap {
            set,
            is_last,
            reply,
        })
        .await
    }

    async fn change_by(&self, req: impl FnOnce(ChangeReply) -> Request) -> Result<(), ChangeError> {
        let (reply, answer) = oneshot::channel();
        self.send(req(reply)).map_err(ChangeError::Propose)?;
        let lost = Err(ChangeError::Propose(ProposeError::Unknown));
        answer.await.unwrap_or(lost)
    }

    /// Hands over messages of other replicas, which took `size_bytes` on the wire; drops them if
    /// too many are waiting.
    pub fn deliver(&self, envelopes: Vec<types::Envelope>, size_bytes: usize) {
        // A dropped message is sent again by its sender.
        drop(self.send(Request::Deliver {
            envelopes,
            size_bytes,
        }));
    }

    /// Returns the status after the last step.
    pub fn status(&self) -> sync::Arc<status::Status> {
        sync::Arc::clone(&self.status.borrow())
    }

    /// Returns a receiver that is told of each new status and closed when the group stops.
    pub fn subscribe(&self) -> watch::Receiver<sync::Arc<status::Status>> {
        self.status.clone()
    }

    /// Transfers leadership if this replica leads, and stops the group's thread.
    pub async fn stop(&self) {
        let (reply, answer) = oneshot::channel();
        if self.send(Request::Stop { reply }).is_ok() {
            // The channel closes with the thread, which is what the caller waits for.
            drop(answer.await);
        }
    }

    fn send(&self, req: Request) -> Result<(), ProposeError> {
        let (gate, bytes) = self.gates.of(&req);
        if !gate.enter(bytes) {
            return Err(ProposeError::Busy);
        }
        self.tx.send(req).map_err(|mpsc::SendError(req)| {
            self.gates.leave(&req);
            ProposeError::Stopped
        })
    }
}

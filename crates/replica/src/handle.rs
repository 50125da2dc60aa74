//! Access to a group from other threads.

use displaydoc::Display;
use std::net;
use tokio::sync::{mpsc, oneshot};

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

/// Request to the group's thread.
#[derive(Debug)]
pub(crate) enum Request {
    Propose {
        cmd: Vec<u8>,
        reply: oneshot::Sender<Result<Vec<u8>, ProposeError>>,
    },
    Confirm {
        reply: oneshot::Sender<Result<u64, ProposeError>>,
    },
}

/// Access to a group; clones share it.
#[derive(Debug, Clone)]
pub struct Handle {
    tx: mpsc::Sender<Request>,
}

impl Handle {
    pub(crate) fn new(tx: mpsc::Sender<Request>) -> Handle {
        Handle { tx }
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
    pub async fn confirm(&self) -> Result<u64, ProposeError> {
        let (reply, answer) = oneshot::channel();
        self.send(Request::Confirm { reply })?;
        answer.await.unwrap_or(Err(ProposeError::Stopped))
    }

    fn send(&self, req: Request) -> Result<(), ProposeError> {
        self.tx.try_send(req).map_err(|err| match err {
            mpsc::error::TrySendError::Full(_) => ProposeError::Busy,
            mpsc::error::TrySendError::Closed(_) => ProposeError::Stopped,
        })
    }
}

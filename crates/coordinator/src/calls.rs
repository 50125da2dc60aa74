//! Calls that a coordinator serves to other coordinators and to entry processes.

use crate::{gossip, operations, rollouts, rounds};
use bytes::Bytes;
use nutmegdale_control::groups;
use nutmegdale_quota::message;
use nutmegdale_registry::{follow, rollout, server as registry_server, state};
use nutmegdale_replica::handle;
use nutmegdale_rollout::{evidence, reports};
use nutmegdale_rpc::server;
use serde::{Deserialize, Serialize};
use std::sync;

/// Name of the call that forwards a command to the leader.
pub(crate) const COMMAND: &str = "registry-command";
/// Name of the call that reads the current configuration from the leader.
pub(crate) const READ: &str = "registry-read";
/// Name of the call that carries gossip between coordinators.
pub(crate) const GOSSIP: &str = "gossip";
/// Name of the same call with the evidence of the leader in the reply, which older builds cannot
/// decode.
pub(crate) const GOSSIP_CONFIRMED: &str = "gossip-confirmed";

/// Name of the call that passes an announcement which the registry overrules to the leader.
pub(crate) const CLAIM: &str = "registry-claim";

/// Encoded [`state::Command`], forwarded to the leader.
#[serde_with::serde_as]
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) struct Command {
    #[serde_as(as = "serde_with::Bytes")]
    pub(crate) body: Vec<u8>,
}

/// Answer of the leader to a forwarded command.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum Answer {
    Committed(state::Reply),
    Unknown,
    Unavailable(String),
}

impl Answer {
    pub(crate) fn from_result(reply: Result<Vec<u8>, handle::ProposeError>) -> Answer {
        match reply {
            Ok(body) => match rmp_serde::from_slice(&body) {
                Ok(reply) => Answer::Committed(reply),
                Err(err) => Answer::Unavailable(err.to_string()),
            },
            Err(handle::ProposeError::Unknown) => Answer::Unknown,
            Err(err) => Answer::Unavailable(err.to_string()),
        }
    }

    pub(crate) fn into_result(self) -> operations::Result<state::Reply> {
        match self {
            Answer::Committed(reply) => Ok(reply),
            Answer::Unknown => Err(operations::Error::Unknown),
            Answer::Unavailable(text) => Err(operations::Error::Unavailable(text)),
        }
    }
}

/// Answer of the leader to a forwarded order of a rollout.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub(crate) enum StartAnswer {
    Started(rollouts::Started),
    Unknown,
    Unavailable(String),
}

impl StartAnswer {
    fn from_result(result: operations::Result<rollouts::Started>) -> StartAnswer {
        match result {
            Ok(started) => StartAnswer::Started(started),
            Err(operations::Error::Unknown) => StartAnswer::Unknown,
            Err(err) => StartAnswer::Unavailable(err.to_string()),
        }
    }

    pub(crate) fn into_result(self) -> operations::Result<rollouts::Started> {
        match self {
            StartAnswer::Started(started) => Ok(started),
            StartAnswer::Unknown => Err(operations::Error::Unknown),
            StartAnswer::Unavailable(text) => Err(operations::Error::Unavailable(text)),
        }
    }
}

/// Returns the reply to a call about rollouts, or `None` for another call.
fn rollout_call(
    operations: &sync::Arc<operations::Operations>,
    name: &str,
    body: &Bytes,
) -> Option<server::ReplyFuture> {
    if !operations.has_rollouts() {
        return None;
    }
    let unavailable =
        |err: handle::ProposeError| (hyper::StatusCode::SERVICE_UNAVAILABLE, err.to_string());
    let (operations, body) = (sync::Arc::clone(operations), body.clone());
    let reply: server::ReplyFuture = match name {
        evidence::EVIDENCE => Box::pin(async move {
            let report: evidence::Report = server::decode(&body)?;
            let now = operations.clock.now();
            operations.rollouts.record(now, report);
            server::encode_compact(&())
        }),
        reports::BATCH => Box::pin(async move {
            let batch: reports::Batch = server::decode(&body)?;
            let now = operations.clock.now();
            operations.rollouts.record_batch(now, batch);
            server::encode_compact(&())
        }),
        rollouts::START => Box::pin(async move {
            let order: rollout::Order = server::decode(&body)?;
            operations.confirm_leadership().await.map_err(unavailable)?;
            let started = operations.start_rollout_as_leader(&order).await;
            server::encode_compact(&StartAnswer::from_result(started))
        }),
        rollouts::READ => Box::pin(async move {
            let service: String = server::decode(&body)?;
            operations.confirm_leadership().await.map_err(unavailable)?;
            server::encode_compact(&operations.local_rollout(&service))
        }),
        _ => return None,
    };
    Some(reply)
}

/// Handler of the calls of other processes; those it does not know go to the replicated groups.
pub(crate) struct CallHandler {
    pub(crate) host: sync::Arc<groups::Host>,
    pub(crate) operations: sync::Arc<operations::Operations>,
    pub(crate) rounds: sync::Arc<rounds::Rounds>,
}

impl server::Handler for CallHandler {
    fn call(&self, name: &str, body: Bytes) -> Option<server::ReplyFuture> {
        let operations = sync::Arc::clone(&self.operations);
        let rounds = sync::Arc::clone(&self.rounds);
        match name {
            follow::SYNC | follow::SYNC_CONFIRMED => {
                let has_evidence = name == follow::SYNC_CONFIRMED;
                Some(Box::pin(async move {
                    let req: follow::SyncRequest = server::decode(&body)?;
                    let mut reply = operations.sync(req).await;
                    reply.confirmation_age = reply.confirmation_age.filter(|_| has_evidence);
                    server::encode_compact(&reply)
                }))
            }
            follow::SYNC_CHANGES => Some(Box::pin(async move {
                let req: follow::SyncRequest = server::decode(&body)?;
                server::encode_compact(&operations.sync_changes(&req).await)
            })),
            GOSSIP | GOSSIP_CONFIRMED => {
                let has_evidence = name == GOSSIP_CONFIRMED;
                Some(Box::pin(async move {
                    let message: gossip::Message = server::decode(&body)?;
                    let mut reply = rounds.receive_gossip(message);
                    reply.committed = reply.committed.filter(|_| has_evidence);
                    server::encode_compact(&reply)
                }))
            }
            COMMAND => Some(Box::pin(async move {
                let cmd: Command = server::decode(&body)?;
                server::encode_compact(&Answer::from_result(
                    operations.propose_local(cmd.body).await,
                ))
            })),
            CLAIM => Some(Box::pin(async move {
                let announcement: registry_server::Announcement = server::decode(&body)?;
                let answer = operations.weigh_claim(&announcement).await;
                server::encode_compact(&Answer::from_result(answer))
            })),
            READ => Some(Box::pin(async move {
                let unavailable = |err: handle::ProposeError| {
                    (hyper::StatusCode::SERVICE_UNAVAILABLE, err.to_string())
                };
                operations.confirm_leadership().await.map_err(unavailable)?;
                server::encode_compact(&operations.local_config())
            })),
            message::TAKE => Some(Box::pin(async move {
                let req: message::TakeRequest = server::decode(&body)?;
                let reply = operations.quota_take(&req);
                let unknown = || (hyper::StatusCode::NOT_FOUND, "no limits".to_owned());
                server::encode_compact(&reply.ok_or_else(unknown)?)
            })),
            message::SHARES => Some(Box::pin(async move {
                let report: message::SharesRequest = server::decode(&body)?;
                let reply = operations.answer_report(&report);
                let reply = reply.map_err(|err| (hyper::StatusCode::SERVICE_UNAVAILABLE, err))?;
                server::encode_compact(&reply)
            })),
            _ => rollout_call(&operations, name, &body).or_else(|| self.host.call(name, body)),
        }
    }
}

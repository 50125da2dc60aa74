//! Client of the ledger, which stores the records of one-time requests.
//!
//! [`ClaimStore`] is the interface; [`RemoteStore`] finds the leader of a region's ledger group among
//! the control processes of that region. Every command is idempotent, so a call retries until it has
//! a definite reply or times out.

use arc_swap::ArcSwap;
use displaydoc::Display;
use nutmegdale_base::clock;
use nutmegdale_ledger::{command, key};
use nutmegdale_routing::{permit, view};
use nutmegdale_rpc::{client, ledger, message};
use serde::{Serialize, de};
use std::collections;
use std::net;
use std::pin;
use std::sync;
use std::time;

/// Timeout of one attempt at one control process; a stopped leader delays a call once by this time.
const ATTEMPT_TIMEOUT_MS: clock::Millis = clock::Millis(1_000);
/// Delay before the next attempt, in milliseconds, so that calls do not flood the group during an
/// election.
const RETRY_DELAY_MS: u64 = 20;

/// Future of a reply.
pub type Reply<'a, T> = pin::Pin<Box<dyn Future<Output = Result<T, Error>> + Send + 'a>>;

/// Failure of a call without a definite reply.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Error {
    /// the record could not be reached, and the call had no effect
    NotDone,
    /// no reply came in time, and the call may still take effect
    Uncertain,
}

impl std::error::Error for Error {}

/// Region whose ledger group may store the record of a request.
///
/// It is created from a permit only, so no record leaves the home regions of its route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LedgerRegion {
    name: String,
}

impl LedgerRegion {
    /// Returns the ledger region that a permit covers.
    pub fn new(view: &view::View, permit: permit::Permit) -> LedgerRegion {
        LedgerRegion {
            name: view.regions[permit.region()].clone(),
        }
    }

    /// Returns the name of the region.
    pub fn name(&self) -> &str {
        &self.name
    }
}

/// Reply to a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClaimResponse {
    /// Reply of the ledger.
    pub reply: command::ClaimReply,
    /// Whether a copy of the claim from an earlier attempt may still be applied. A claimant that was
    /// not granted the claim must then release it.
    pub may_arrive_late: bool,
}

/// Store of the records of one-time requests. Each call takes at most `timeout`.
pub trait ClaimStore: Send + Sync {
    /// Claims the right to send a request.
    fn claim<'a>(
        &'a self,
        region: &'a LedgerRegion,
        claim: &'a command::Claim,
        timeout: clock::Millis,
    ) -> Reply<'a, ClaimResponse>;

    /// Records the response to a request.
    fn record<'a>(
        &'a self,
        region: &'a LedgerRegion,
        record: &'a command::Record,
        timeout: clock::Millis,
    ) -> Reply<'a, command::RecordReply>;

    /// Releases the claim of an attempt that was not run.
    fn release<'a>(
        &'a self,
        region: &'a LedgerRegion,
        release: &'a command::Release,
        timeout: clock::Millis,
    ) -> Reply<'a, command::ReleaseReply>;

    /// Marks the outcome of an interrupted attempt as unknown.
    fn mark_unknown<'a>(
        &'a self,
        region: &'a LedgerRegion,
        mark: &'a command::MarkUnknown,
        timeout: clock::Millis,
    ) -> Reply<'a, command::Status>;

    /// Returns the status of a key, confirmed by a quorum.
    fn lookup<'a>(
        &'a self,
        region: &'a LedgerRegion,
        key: key::KeyId,
        timeout: clock::Millis,
    ) -> Reply<'a, command::Status>;
}

/// Store in the ledger groups, which the control processes of each region run.
#[derive(Debug)]
pub struct RemoteStore {
    client: client::Client,
    control: ArcSwap<message::ControlList>,
    leaders: sync::Mutex<collections::HashMap<String, net::SocketAddr>>,
}

impl RemoteStore {
    /// Creates a store without any control processes.
    pub fn new(cluster_token: &str) -> RemoteStore {
        RemoteStore {
            client: client::Client::new(cluster_token),
            control: ArcSwap::default(),
            leaders: sync::Mutex::default(),
        }
    }

    /// Replaces the list of control processes.
    pub fn set_control(&self, control: message::ControlList) {
        self.control.store(sync::Arc::new(control));
    }

    /// Returns the revision of the list of control processes.
    pub fn control_revision(&self) -> u32 {
        self.control.load().revision
    }

    fn members(&self, region: &str) -> Vec<net::SocketAddr> {
        let control = self.control.load();
        let in_region = control.members.iter().filter(|m| m.region == region);
        in_region.map(|m| m.address).collect()
    }

    fn leaders(&self) -> sync::MutexGuard<'_, collections::HashMap<String, net::SocketAddr>> {
        self.leaders
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    fn set_leader(&self, region: &str, leader: Option<net::SocketAddr>) {
        match leader {
            Some(leader) => self.leaders().insert(region.to_owned(), leader),
            None => self.leaders().remove(region),
        };
    }

    /// Calls the leader of a region's group and returns its reply, and whether an earlier attempt may
    /// still be applied.
    async fn call<Q: Serialize + Sync, A: de::DeserializeOwned>(
        &self,
        name: &str,
        region: &LedgerRegion,
        body: Q,
        timeout: clock::Millis,
    ) -> Result<(A, bool), Error> {
        let req = ledger::Request {
            region: region.name.clone(),
            body,
        };
        let deadline = time::Instant::now() + time::Duration::from_millis(timeout.0);
        let mut is_uncertain = false;
        let mut peer_index = 0;
        loop {
            let left = deadline.saturating_duration_since(time::Instant::now());
            let left_ms = clock::Millis(u64::try_from(left.as_millis()).unwrap_or(u64::MAX));
            if left_ms == clock::Millis::ZERO {
                return Err(if is_uncertain {
                    Error::Uncertain
                } else {
                    Error::NotDone
                });
            }
            let members = self.members(&region.name);
            let leader = self.leaders().get(&region.name).copied();
            let next_member = || members.get(peer_index % members.len().max(1)).copied();
            if let Some(peer) = leader.filter(|a| members.contains(a)).or_else(next_member) {
                let attempt_timeout = left_ms.min(ATTEMPT_TIMEOUT_MS);
                let reply = self.client.call(peer, name, &req, attempt_timeout).await;
                match self.classify_reply(&region.name, peer, reply) {
                    AttemptResult::Done(reply) => return Ok((reply, is_uncertain)),
                    AttemptResult::Uncertain => is_uncertain = true,
                    AttemptResult::NotDone => {}
                    AttemptResult::Redirected => continue,
                }
            }
            peer_index += 1;
            tokio::time::sleep(time::Duration::from_millis(RETRY_DELAY_MS).min(left)).await;
        }
    }

    fn classify_reply<A>(
        &self,
        region: &str,
        peer: net::SocketAddr,
        reply: Result<ledger::Reply<A>, nutmegdale_rpc::error::Error>,
    ) -> AttemptResult<A> {
        use nutmegdale_rpc::error::Error as CallError;
        let (leader, result) = match reply {
            Ok(ledger::Reply::Done(reply)) => (Some(peer), AttemptResult::Done(reply)),
            // A process that names itself is changing its role and must not be retried at once.
            Ok(ledger::Reply::NotLeader { leader }) if leader.is_some_and(|a| a != peer) => {
                let is_new_leader = self.leaders().get(region).copied() != leader;
                let result = if is_new_leader {
                    AttemptResult::Redirected
                } else {
                    AttemptResult::NotDone
                };
                (leader, result)
            }
            Ok(ledger::Reply::NotLeader { .. } | ledger::Reply::Refused(_))
            | Err(CallError::NotSent(_) | CallError::Refused(..)) => (None, AttemptResult::NotDone),
            Ok(ledger::Reply::Uncertain) | Err(CallError::NoAnswer(_) | CallError::Decode(_)) => {
                (None, AttemptResult::Uncertain)
            }
        };
        self.set_leader(region, leader);
        result
    }
}

/// Result of one attempt.
enum AttemptResult<A> {
    Done(A),
    NotDone,
    Uncertain,
    Redirected,
}

impl ClaimStore for RemoteStore {
    fn claim<'a>(
        &'a self,
        region: &'a LedgerRegion,
        claim: &'a command::Claim,
        timeout: clock::Millis,
    ) -> Reply<'a, ClaimResponse> {
        Box::pin(async move {
            let (reply, may_arrive_late) = self.call(ledger::CLAIM, region, claim, timeout).await?;
            Ok(ClaimResponse {
                reply,
                may_arrive_late,
            })
        })
    }

    fn record<'a>(
        &'a self,
        region: &'a LedgerRegion,
        record: &'a command::Record,
        timeout: clock::Millis,
    ) -> Reply<'a, command::RecordReply> {
        Box::pin(async move {
            let reply = self.call(ledger::RECORD, region, record, timeout);
            reply.await.map(|(reply, _)| reply)
        })
    }

    fn release<'a>(
        &'a self,
        region: &'a LedgerRegion,
        release: &'a command::Release,
        timeout: clock::Millis,
    ) -> Reply<'a, command::ReleaseReply> {
        Box::pin(async move {
            let reply = self.call(ledger::RELEASE, region, release, timeout);
            reply.await.map(|(reply, _)| reply)
        })
    }

    fn mark_unknown<'a>(
        &'a self,
        region: &'a LedgerRegion,
        mark: &'a command::MarkUnknown,
        timeout: clock::Millis,
    ) -> Reply<'a, command::Status> {
        Box::pin(async move {
            let reply = self.call(ledger::MARK_UNKNOWN, region, mark, timeout);
            reply.await.map(|(reply, _)| reply)
        })
    }

    fn lookup<'a>(
        &'a self,
        region: &'a LedgerRegion,
        key: key::KeyId,
        timeout: clock::Millis,
    ) -> Reply<'a, command::Status> {
        Box::pin(async move {
            let reply = self.call(ledger::LOOKUP, region, ledger::Lookup { key }, timeout);
            reply.await.map(|(reply, _)| reply)
        })
    }
}

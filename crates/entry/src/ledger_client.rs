//! Access of an entry process to the records of one-time requests.
//!
//! [`ClaimStore`] is the interface; [`Remote`] finds the leader of a region's ledger group among
//! the control processes of that region. Every command may be repeated, so a call goes on until it
//! has a definite reply or its time is over.

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

/// Time for one control process to reply; a stopped leader costs a call this long once.
const TRY_MS: clock::Millis = clock::Millis(1_000);
/// Pause before the next control process is asked, so that an election is not met with a storm.
const PAUSE_MS: u64 = 20;

/// Future of a reply.
pub type Reply<'a, T> = pin::Pin<Box<dyn Future<Output = Result<T, Error>> + Send + 'a>>;

/// Why a call has no reply.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Error {
    /// the record could not be reached, and the call had no effect
    NotDone,
    /// no reply came in time, and the call may still take effect
    Uncertain,
}

impl std::error::Error for Error {}

/// Region whose ledger group may store a request.
///
/// It is made from a permit only, so no record leaves the home regions of its route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Home {
    region: String,
}

impl Home {
    /// Returns the ledger region that a permit covers.
    pub fn new(view: &view::View, permit: permit::Permit) -> Home {
        Home {
            region: view.regions[permit.region()].clone(),
        }
    }

    /// Returns the name of the region.
    pub fn region(&self) -> &str {
        &self.region
    }
}

/// Reply to a claim.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Claimed {
    /// Reply of the record.
    pub reply: command::ClaimReply,
    /// Whether a copy of the claim may still be delivered, so that a claimant that does not hold
    /// the claim must release it.
    pub may_linger: bool,
}

/// Records of one-time requests. Each call takes at most the time `patience`.
pub trait ClaimStore: Send + Sync {
    /// Claims a request.
    fn claim<'a>(
        &'a self,
        home: &'a Home,
        claim: &'a command::Claim,
        patience: clock::Millis,
    ) -> Reply<'a, Claimed>;

    /// Stores the answer of a request.
    fn record<'a>(
        &'a self,
        home: &'a Home,
        record: &'a command::Record,
        patience: clock::Millis,
    ) -> Reply<'a, command::RecordReply>;

    /// Gives up an attempt that sent nothing.
    fn release<'a>(
        &'a self,
        home: &'a Home,
        release: &'a command::Release,
        patience: clock::Millis,
    ) -> Reply<'a, command::ReleaseReply>;

    /// Declares that an attempt broke off.
    fn mark_unknown<'a>(
        &'a self,
        home: &'a Home,
        mark: &'a command::MarkUnknown,
        patience: clock::Millis,
    ) -> Reply<'a, command::Status>;

    /// Returns what a quorum knows of a key.
    fn lookup<'a>(
        &'a self,
        home: &'a Home,
        key: key::KeyId,
        patience: clock::Millis,
    ) -> Reply<'a, command::Status>;
}

/// Records that the control processes of each region keep.
#[derive(Debug)]
pub struct Remote {
    client: client::Client,
    control: ArcSwap<message::ControlList>,
    leaders: sync::Mutex<collections::HashMap<String, net::SocketAddr>>,
}

impl Remote {
    /// Creates a store that knows no control process yet.
    pub fn new(cluster_token: &str) -> Remote {
        Remote {
            client: client::Client::new(cluster_token),
            control: ArcSwap::default(),
            leaders: sync::Mutex::default(),
        }
    }

    /// Takes over a list of control processes.
    pub fn set_control(&self, control: message::ControlList) {
        self.control.store(sync::Arc::new(control));
    }

    /// Returns the revision of the list of control processes.
    pub fn control_revision(&self) -> u32 {
        self.control.load().revision
    }

    fn members(&self, region: &str) -> Vec<net::SocketAddr> {
        let control = self.control.load();
        let inside = control.members.iter().filter(|m| m.region == region);
        inside.map(|m| m.address).collect()
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

    /// Calls the leader of a region's group and returns its reply and whether an earlier try may
    /// still take effect.
    async fn call<Q: Serialize + Sync, A: de::DeserializeOwned>(
        &self,
        name: &str,
        home: &Home,
        body: Q,
        patience: clock::Millis,
    ) -> Result<(A, bool), Error> {
        let req = ledger::Request {
            region: home.region.clone(),
            body,
        };
        let ends = time::Instant::now() + time::Duration::from_millis(patience.0);
        let mut is_uncertain = false;
        let mut turn = 0;
        loop {
            let left = ends.saturating_duration_since(time::Instant::now());
            let left_ms = clock::Millis(u64::try_from(left.as_millis()).unwrap_or(u64::MAX));
            if left_ms == clock::Millis::ZERO {
                return Err(if is_uncertain {
                    Error::Uncertain
                } else {
                    Error::NotDone
                });
            }
            let members = self.members(&home.region);
            let leader = self.leaders().get(&home.region).copied();
            let next = || members.get(turn % members.len().max(1)).copied();
            if let Some(peer) = leader.filter(|a| members.contains(a)).or_else(next) {
                let timeout = left_ms.min(TRY_MS);
                let reply = self.client.call(peer, name, &req, timeout).await;
                match self.judge(&home.region, peer, reply) {
                    Tried::Done(reply) => return Ok((reply, is_uncertain)),
                    Tried::Uncertain => is_uncertain = true,
                    Tried::NotDone => {}
                    Tried::Redirected => continue,
                }
            }
            turn += 1;
            tokio::time::sleep(time::Duration::from_millis(PAUSE_MS).min(left)).await;
        }
    }

    fn judge<A>(
        &self,
        region: &str,
        peer: net::SocketAddr,
        reply: Result<ledger::Reply<A>, nutmegdale_rpc::error::Error>,
    ) -> Tried<A> {
        use nutmegdale_rpc::error::Error as CallError;
        let (leader, tried) = match reply {
            Ok(ledger::Reply::Done(reply)) => (Some(peer), Tried::Done(reply)),
            // A process that names itself is between two states and must not be asked at once.
            Ok(ledger::Reply::NotLeader { leader }) if leader.is_some_and(|a| a != peer) => {
                let is_new = self.leaders().get(region).copied() != leader;
                let tried = if is_new {
                    Tried::Redirected
                } else {
                    Tried::NotDone
                };
                (leader, tried)
            }
            Ok(ledger::Reply::NotLeader { .. } | ledger::Reply::Refused(_))
            | Err(CallError::NotSent(_) | CallError::Refused(..)) => (None, Tried::NotDone),
            Ok(ledger::Reply::Uncertain) | Err(CallError::NoAnswer(_) | CallError::Decode(_)) => {
                (None, Tried::Uncertain)
            }
        };
        self.set_leader(region, leader);
        tried
    }
}

/// Result of one try.
enum Tried<A> {
    Done(A),
    NotDone,
    Uncertain,
    Redirected,
}

impl ClaimStore for Remote {
    fn claim<'a>(
        &'a self,
        home: &'a Home,
        claim: &'a command::Claim,
        patience: clock::Millis,
    ) -> Reply<'a, Claimed> {
        Box::pin(async move {
            let (reply, may_linger) = self.call(ledger::CLAIM, home, claim, patience).await?;
            Ok(Claimed { reply, may_linger })
        })
    }

    fn record<'a>(
        &'a self,
        home: &'a Home,
        record: &'a command::Record,
        patience: clock::Millis,
    ) -> Reply<'a, command::RecordReply> {
        Box::pin(async move {
            let called = self.call(ledger::RECORD, home, record, patience);
            called.await.map(|(reply, _)| reply)
        })
    }

    fn release<'a>(
        &'a self,
        home: &'a Home,
        release: &'a command::Release,
        patience: clock::Millis,
    ) -> Reply<'a, command::ReleaseReply> {
        Box::pin(async move {
            let called = self.call(ledger::RELEASE, home, release, patience);
            called.await.map(|(reply, _)| reply)
        })
    }

    fn mark_unknown<'a>(
        &'a self,
        home: &'a Home,
        mark: &'a command::MarkUnknown,
        patience: clock::Millis,
    ) -> Reply<'a, command::Status> {
        Box::pin(async move {
            let called = self.call(ledger::MARK_UNKNOWN, home, mark, patience);
            called.await.map(|(reply, _)| reply)
        })
    }

    fn lookup<'a>(
        &'a self,
        home: &'a Home,
        key: key::KeyId,
        patience: clock::Millis,
    ) -> Reply<'a, command::Status> {
        Box::pin(async move {
            let called = self.call(ledger::LOOKUP, home, ledger::Lookup { key }, patience);
            called.await.map(|(reply, _)| reply)
        })
    }
}

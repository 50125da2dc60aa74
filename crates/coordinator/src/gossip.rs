//! What coordinators tell each other besides the replicated log.

use crate::{entries, repair};
use nutmegdale_base::clock;
use nutmegdale_consensus::types;
use serde::{Deserialize, Serialize};
use std::collections;
use std::net;

/// Message of one coordinator to another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Sender.
    pub sender: Sender,
    /// Entry processes that sync with the sender.
    pub entries: Vec<entries::Seen>,
    /// Servers that announced themselves to the sender since its last message, by id.
    pub announced: Vec<String>,
}

/// Coordinator that sends a message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sender {
    /// Address for messages between processes.
    pub address: net::SocketAddr,
    /// Address for operators and servers.
    pub public: net::SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Identity of its replica.
    pub replica: types::ReplicaId,
    /// Whether its replica belongs to no group yet.
    pub is_blank: bool,
    /// The group, if the sender leads it.
    pub leads: Option<Group>,
}

/// Group as its leader knows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Group {
    /// Term of the leader.
    pub term: types::Term,
    /// Last index that is committed.
    pub commit: types::Index,
    /// Identities of the members.
    pub members: Vec<types::ReplicaId>,
}

impl Group {
    /// Returns whether a replica has been removed that knows `term` and holds the log up to
    /// `last`. A leader that has committed less may not know of its admission yet.
    pub fn has_removed(
        &self,
        replica: types::ReplicaId,
        term: types::Term,
        last: types::Index,
    ) -> bool {
        self.term >= term && self.commit > last && !self.members.contains(&replica)
    }
}

/// Answer to a message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// Addresses of coordinators that the receiver knows.
    pub known: Vec<net::SocketAddr>,
}

/// Time without a message after which a coordinator is no longer named to others.
const KEPT_MS: clock::Millis = clock::Millis(30_000);

/// Coordinators that were heard of.
#[derive(Debug, Default)]
pub struct Peers {
    heard: collections::BTreeMap<net::SocketAddr, (Sender, clock::Millis)>,
}

impl Peers {
    /// Notes a message.
    pub fn note(&mut self, now: clock::Millis, sender: Sender) {
        self.heard.insert(sender.address, (sender, now));
    }

    /// Returns the coordinators that were heard of, for repairs.
    pub fn heard(&self, now: clock::Millis) -> Vec<repair::Heard> {
        let heard = self.heard.values();
        let heard = heard.map(|(sender, at)| repair::Heard {
            address: sender.address,
            replica: sender.replica,
            is_blank: sender.is_blank,
            age: now.since(*at),
        });
        heard.collect()
    }

    /// Returns the coordinators heard of lately.
    pub fn live(&self, now: clock::Millis) -> impl Iterator<Item = &Sender> {
        let heard = self.heard.values();
        let live = heard.filter(move |(_, at)| now.since(*at) < KEPT_MS);
        live.map(|(sender, _)| sender)
    }
}

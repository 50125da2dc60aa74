//! What coordinators tell each other besides the replicated log.

use crate::{entries, repair};
use nutmegdale_base::{clock, digest};
use nutmegdale_consensus::types;
use serde::{Deserialize, Serialize};
use std::collections;

use std::net;

/// Message of one coordinator to another.
///
/// While a leader is known, the others send to it alone and take what they lack from its answers,
/// since traffic between zones is billed; without one, all send to all.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Sender.
    pub sender: Sender,
    /// Entry processes that sync with the sender; `None` if they are the same as in its last
    /// message that was answered.
    pub entries: Option<Vec<entries::Seen>>,
    /// Servers that announced themselves to the sender since its last message, by id.
    pub announced: Vec<String>,
    /// Digest of the ready entry processes that the sender knows.
    pub ready_digest: u64,
    /// Digest of the coordinators that the sender knows.
    pub peers_digest: u64,
}

/// Answer to a message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// Receiver.
    pub sender: Sender,
    /// Coordinators that the receiver knows, if the sender knows others.
    pub peers: Option<Vec<Sender>>,
    /// Ready entry processes that the receiver knows, if the sender knows others.
    pub ready: Option<Vec<entries::Seen>>,
    /// Whether the next message has to list the entry processes of the sender.
    pub wants_entries: bool,
}

/// Coordinator that sends a message.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
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
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
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

/// Time without a message after which a coordinator is no longer named to others.
const KEPT_MS: clock::Millis = clock::Millis(30_000);

/// Entry processes that sync with a coordinator.
#[derive(Debug)]
pub struct Listed<'a> {
    /// The processes.
    pub entries: &'a [entries::Seen],
    /// Processes that no longer sync with it, nor with any other coordinator.
    pub gone: Vec<String>,
    /// Whether they are known; otherwise the sender has to list them.
    pub is_known: bool,
}

/// Time after which what another coordinator says of a third one is taken up.
const NAMED_AGAIN_MS: clock::Millis = clock::Millis(1_000);

/// Coordinators that were heard of.
#[derive(Debug, Default)]
pub struct Peers {
    heard: collections::BTreeMap<net::SocketAddr, (Sender, clock::Millis)>,
    /// Entry processes that each coordinator listed last.
    listed: collections::BTreeMap<net::SocketAddr, Vec<entries::Seen>>,
}

impl Peers {
    /// Notes a message.
    pub fn note(&mut self, now: clock::Millis, sender: Sender) {
        self.heard.insert(sender.address, (sender, now));
    }

    /// Notes a coordinator that another one has heard of, unless more is known of it here.
    pub fn note_named(&mut self, now: clock::Millis, sender: Sender) {
        let known = self.heard.get(&sender.address);
        let is_known = known.is_some_and(|(_, at)| now.since(*at) < NAMED_AGAIN_MS);
        if !is_known {
            self.note(now, sender);
        }
    }

    /// Takes the entry processes of a message.
    pub fn take_entries(&mut self, message: &mut Message) -> Listed<'_> {
        let address = message.sender.address;
        let mut gone = Vec::new();
        if let Some(entries) = message.entries.take() {
            let names: Vec<_> = entries.iter().map(|seen| seen.entry.name.clone()).collect();
            let before = self.listed.insert(address, entries).unwrap_or_default();
            let before = before.into_iter().map(|seen| seen.entry.name);
            gone.extend(before.filter(|name| !names.contains(name) && !self.is_listed(name)));
        }
        let listed = self.listed.get_mut(&address);
        let is_known = listed.is_some();
        let entries = listed.map_or(&mut [][..], Vec::as_mut_slice);
        // What did not change is as fresh as the message.
        entries
            .iter_mut()
            .for_each(|seen| seen.age = clock::Millis::ZERO);
        Listed {
            entries,
            gone,
            is_known,
        }
    }

    fn is_listed(&self, name: &str) -> bool {
        let mut listed = self.listed.values().flatten();
        listed.any(|seen| seen.entry.name == name)
    }

    /// Returns a number that two tables of coordinators share only if they name the same ones.
    pub fn digest(&self, now: clock::Millis) -> u64 {
        let live = self.live(now);
        let named: Vec<_> = live.map(|sender| (sender.address, &sender.zone)).collect();
        digest::of(&named)
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

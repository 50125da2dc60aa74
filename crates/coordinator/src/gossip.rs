//! Gossip between coordinators: liveness, which the replicated log does not hold.

use crate::{entries, repair};
use nutmegdale_base::{clock, digest};
use nutmegdale_consensus::{status, types};
use serde::{Deserialize, Serialize};
use std::collections;
use std::net;

/// Gossip message of one coordinator to another.
///
/// While a leader is known, the others send to it alone and learn of each other from its replies,
/// since traffic between zones is billed; without a leader, all send to all.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// State of the coordinator that sends the message.
    pub sender: PeerInfo,
    /// Entry processes that sync with the sender; `None` if they are the same as in its last
    /// message to which the receiver replied.
    pub entries: Option<Vec<entries::EntryStatus>>,
    /// Ids of the servers that announced themselves to the sender since its last message.
    pub announced: Vec<String>,
    /// Digest of the ready entry processes in the sender's table.
    pub ready_digest: u64,
    /// Digest of the live coordinators in the sender's table.
    pub peers_digest: u64,
}

/// Reply to a gossip message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// State of the coordinator that sends the reply.
    pub sender: PeerInfo,
    /// Live coordinators in its table; `None` if the digests agree.
    pub peers: Option<Vec<PeerInfo>>,
    /// Ready entry processes in its table; `None` if the digests agree.
    pub ready: Option<Vec<entries::EntryStatus>>,
    /// Whether the next message has to list the entry processes of its sender.
    pub wants_entries: bool,
    /// What the sender has committed, if it leads and a quorum has confirmed it in its term.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub committed: Option<Committed>,
}

/// State of a coordinator, as it reports it to the others.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct PeerInfo {
    /// Address for messages between processes, which identifies the coordinator.
    pub address: net::SocketAddr,
    /// Address for operators and servers.
    pub public: net::SocketAddr,
    /// Name of the availability zone that it runs in.
    pub zone: String,
    /// Identity of its replica of the registry.
    pub replica: types::ReplicaId,
    /// Whether its replica belongs to no group yet.
    pub is_blank: bool,
    /// State of the replicated group, if its replica leads the group.
    pub leads: Option<Group>,
}

/// State of the replicated group, as its leader reports it.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Group {
    /// Term of the leader.
    pub term: types::Term,
    /// Last committed index.
    pub commit: types::Index,
    /// Identities of the voters and learners, of the set in effect and of the last committed one.
    pub members: Vec<types::ReplicaId>,
}

/// Statement of a leader about the committed log, as of its reply.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Committed {
    /// Last committed index.
    pub index: types::Index,
    /// Time since the leader started the newest round that a quorum answered.
    pub quorum_age: clock::Millis,
}

impl Group {
    /// Creates the statement of a leader from the status of its replica.
    pub fn of_leader(status: &status::Status) -> Group {
        let committed = status.committed_members.iter();
        let sets = committed.chain([&status.members]);
        let ids = sets.flat_map(|set| set.members.iter().map(|m| m.id));
        let members: collections::BTreeSet<_> = ids.collect();
        Group {
            term: status.term,
            commit: status.commit,
            members: members.into_iter().collect(),
        }
    }

    /// Returns whether this statement shows that the replica with the status `asked` is no longer a
    /// member, after which it deletes its data.
    ///
    /// The statement must be the leader's reply to a question that this process sent after the
    /// replica had published `asked`. A replica that receives a log for the first time is listed by
    /// the leader that sends it, but the first entries, and older statements, are from before its
    /// admission.
    pub fn has_removed(&self, asked: &status::Status) -> bool {
        let has_log = !matches!(asked.role, status::Role::Blank | status::Role::Stopped);
        has_log && self.term >= asked.term && !self.members.contains(&asked.id)
    }
}

/// Time without news of a coordinator after which it is no longer passed on to others.
const PEER_EXPIRY_MS: clock::Millis = clock::Millis(30_000);

/// Entry processes that sync with one coordinator.
#[derive(Debug)]
pub struct PeerEntries<'a> {
    /// Its entry processes, with their ages reset to zero.
    pub entries: &'a [entries::EntryStatus],
    /// Names of the processes that no longer sync with it, nor with any other coordinator.
    pub gone: Vec<String>,
    /// Whether that coordinator has sent a list; otherwise it is asked for one.
    pub is_known: bool,
}

/// Age from which the record of a coordinator may be replaced by a third coordinator's report.
const INDIRECT_UPDATE_MS: clock::Millis = clock::Millis(1_000);

/// Table of the coordinators, by their addresses for messages between processes.
#[derive(Debug, Default)]
pub struct Peers {
    /// State of each coordinator and the time of its last update.
    peers: collections::BTreeMap<net::SocketAddr, (PeerInfo, clock::Millis)>,
    /// Entry processes in the last list that each coordinator sent.
    entries: collections::BTreeMap<net::SocketAddr, Vec<entries::EntryStatus>>,
}

impl Peers {
    /// Records the state that a coordinator reports of itself.
    pub fn update(&mut self, now: clock::Millis, peer: PeerInfo) {
        self.peers.insert(peer.address, (peer, now));
    }

    /// Records the state of a coordinator that another one reports, unless a recent one is known.
    pub fn update_indirect(&mut self, now: clock::Millis, peer: PeerInfo) {
        let known = self.peers.get(&peer.address);
        let is_recent = known.is_some_and(|(_, updated)| now.since(*updated) < INDIRECT_UPDATE_MS);
        if !is_recent {
            self.update(now, peer);
        }
    }

    /// Updates the entry processes of the sender of `message` and returns them.
    pub fn update_entries(&mut self, message: &mut Message) -> PeerEntries<'_> {
        let address = message.sender.address;
        let mut gone = Vec::new();
        if let Some(entries) = message.entries.take() {
            let names: Vec<_> = entries.iter().map(|s| s.entry.name.clone()).collect();
            let before = self.entries.insert(address, entries).unwrap_or_default();
            let before = before.into_iter().map(|status| status.entry.name);
            gone.extend(before.filter(|name| !names.contains(name) && !self.has_entry(name)));
        }
        let known = self.entries.get_mut(&address);
        let is_known = known.is_some();
        let entries = known.map_or(&mut [][..], Vec::as_mut_slice);
        // A message without a list confirms the previous list.
        entries
            .iter_mut()
            .for_each(|status| status.age = clock::Millis::ZERO);
        PeerEntries {
            entries,
            gone,
            is_known,
        }
    }

    fn has_entry(&self, name: &str) -> bool {
        let mut entries = self.entries.values().flatten();
        entries.any(|status| status.entry.name == name)
    }

    /// Returns a digest of the addresses and zones of the live coordinators.
    pub fn digest(&self, now: clock::Millis) -> u64 {
        let live = self.live(now);
        let locations: Vec<_> = live.map(|peer| (peer.address, &peer.zone)).collect();
        digest::of(&locations)
    }

    /// Returns every known coordinator, also those that have expired, for repairs of the group.
    pub fn statuses(&self, now: clock::Millis) -> Vec<repair::PeerStatus> {
        let peers = self.peers.values();
        let statuses = peers.map(|(peer, updated)| repair::PeerStatus {
            address: peer.address,
            replica: peer.replica,
            is_blank: peer.is_blank,
            age: now.since(*updated),
        });
        statuses.collect()
    }

    /// Returns the coordinators that have not expired.
    pub fn live(&self, now: clock::Millis) -> impl Iterator<Item = &PeerInfo> {
        let peers = self.peers.values();
        let live = peers.filter(move |(_, updated)| now.since(*updated) < PEER_EXPIRY_MS);
        live.map(|(peer, _)| peer)
    }
}

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
    /// Digest of the live coordinators in the sender's table, see [`Peers::digest`].
    pub peers_digest: u64,
}

/// Reply to a gossip message.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// State of the coordinator that sends the reply.
    pub sender: PeerInfo,
    /// Coordinators that the sender of the reply has heard of directly; `None` if they are the live
    /// ones in the other table.
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

/// Time without news of a coordinator after which it no longer counts as live: entry processes are
/// not told of it, and neither are other coordinators. It exceeds the interval of the rounds, of which
/// some may be lost, and the timeout of a gossip message.
const LIVE_MS: clock::Millis = clock::Millis(3_000);
/// Time without news of a coordinator after which gossip is no longer sent to it. Two parts of the
/// group that were separated for some seconds find each other again.
const CONTACT_MS: clock::Millis = clock::Millis(30_000);

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

/// What is known of a coordinator.
#[derive(Debug)]
struct Record {
    info: PeerInfo,
    /// Time of its last own message.
    heard_at: Option<clock::Millis>,
    /// Time of the last report of a coordinator that had heard of it directly.
    reported_at: Option<clock::Millis>,
}

impl Record {
    fn is_heard(&self, now: clock::Millis) -> bool {
        self.heard_at.is_some_and(|at| now.since(at) < LIVE_MS)
    }

    /// Returns whether there was news of the coordinator within the last `limit`.
    fn has_news(&self, now: clock::Millis, limit: clock::Millis) -> bool {
        let newest = self.heard_at.max(self.reported_at);
        newest.is_some_and(|at| now.since(at) < limit)
    }
}

/// Table of the coordinators, by their addresses for messages between processes.
///
/// Coordinators report to each other only those that they have heard of directly. A report that
/// passed on what was learned from another report would renew itself between two coordinators after
/// the end of the third one.
#[derive(Debug, Default)]
pub struct Peers {
    peers: collections::BTreeMap<net::SocketAddr, Record>,
    /// Entry processes in the last list that each coordinator sent.
    entries: collections::BTreeMap<net::SocketAddr, Vec<entries::EntryStatus>>,
}

impl Peers {
    /// Records the state that a coordinator reports of itself.
    pub fn update(&mut self, now: clock::Millis, peer: PeerInfo) {
        let known = self.peers.get(&peer.address);
        let record = Record {
            heard_at: Some(now),
            reported_at: known.and_then(|record| record.reported_at),
            info: peer,
        };
        self.peers.insert(record.info.address, record);
    }

    /// Records the state of a coordinator that another one has heard of directly.
    pub fn update_indirect(&mut self, now: clock::Millis, peer: PeerInfo) {
        let record = self.peers.entry(peer.address).or_insert_with(|| Record {
            info: peer.clone(),
            heard_at: None,
            reported_at: None,
        });
        record.reported_at = Some(now);
        if !record.is_heard(now) {
            record.info = peer;
        }
    }

    /// Records that the leader has heard directly of all coordinators that are live here.
    pub fn confirm_live(&mut self, now: clock::Millis) {
        let records = self.peers.values_mut();
        for record in records.filter(|record| record.has_news(now, LIVE_MS)) {
            record.reported_at = Some(now);
        }
    }

    /// Removes coordinators to which no gossip is sent any more, and their lists of entry processes.
    pub fn expire(&mut self, now: clock::Millis) {
        self.peers
            .retain(|_, record| record.has_news(now, CONTACT_MS));
        self.entries
            .retain(|address, _| self.peers.contains_key(address));
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

    /// Returns a digest of the live coordinators, by which the receiver of a message finds out
    /// whether they are those that it would report.
    pub fn digest(&self, now: clock::Millis) -> u64 {
        locations_digest(self.live(now))
    }

    /// Returns the coordinators to report to one whose digest of the live ones is `digest`; `None`
    /// if it knows them.
    pub fn report(&self, now: clock::Millis, digest: u64) -> Option<Vec<PeerInfo>> {
        let heard = || self.select(move |record| record.is_heard(now));
        (locations_digest(heard()) != digest).then(|| heard().cloned().collect())
    }

    /// Returns every coordinator that has sent a message of its own, with the age of the last one,
    /// for repairs of the group. Reports of others are no evidence for a repair.
    pub fn statuses(&self, now: clock::Millis) -> Vec<repair::PeerStatus> {
        let heard = self.peers.values().filter_map(|record| {
            Some(repair::PeerStatus {
                address: record.info.address,
                replica: record.info.replica,
                is_blank: record.info.is_blank,
                age: now.since(record.heard_at?),
            })
        });
        heard.collect()
    }

    /// Returns the live coordinators.
    pub fn live(&self, now: clock::Millis) -> impl Iterator<Item = &PeerInfo> {
        self.select(move |record| record.has_news(now, LIVE_MS))
    }

    /// Returns the coordinators to send gossip to, also some that may no longer be live.
    pub fn contacts(&self, now: clock::Millis) -> impl Iterator<Item = &PeerInfo> {
        self.select(move |record| record.has_news(now, CONTACT_MS))
    }

    fn select(&self, is_selected: impl Fn(&Record) -> bool) -> impl Iterator<Item = &PeerInfo> {
        let records = self.peers.values();
        let selected = records.filter(move |record| is_selected(record));
        selected.map(|record| &record.info)
    }
}

fn locations_digest<'a>(peers: impl Iterator<Item = &'a PeerInfo>) -> u64 {
    let locations: Vec<_> = peers.map(|peer| (peer.address, &peer.zone)).collect();
    digest::of(&locations)
}

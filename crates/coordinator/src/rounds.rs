//! What a coordinator does twice a second: tells others what it knows, and repairs the group.

use crate::{calls, gossip, operations, repair, service};
use nutmegdale_base::clock;
use nutmegdale_consensus::status;
use nutmegdale_control::groups;
use nutmegdale_registry::follow;
use nutmegdale_rpc::{error, message};
use std::collections;
use std::io;
use std::net;
use std::sync;
use std::time;
use tokio::sync::watch;

/// Time between two rounds.
const ROUND_MS: u64 = 500;
/// Longest time of one message of gossip.
const GOSSIP_MS: clock::Millis = clock::Millis(1_000);
/// Rounds between two in which everybody is told, so that processes that are not known to the
/// leader, or that were removed, hear of it.
const ROUNDS_PER_BROADCAST: u64 = 10;

/// Rounds of one coordinator.
pub(crate) struct Rounds {
    pub(crate) operations: sync::Arc<operations::Operations>,
    pub(crate) host: sync::Arc<groups::Host>,
    pub(crate) settings: service::Settings,
    pub(crate) seeds: watch::Receiver<Vec<net::SocketAddr>>,
}

impl Rounds {
    /// Runs rounds until the replica stops.
    pub(crate) async fn run(self: sync::Arc<Rounds>) -> io::Result<()> {
        let mut repair = repair::Repair::default();
        let mut leads_since = None;
        let mut number = 0;
        let mut round = tokio::time::interval(time::Duration::from_millis(ROUND_MS));
        round.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            round.tick().await;
            let now = self.operations.clock.now();
            let status = self.operations.handle.status();
            if status.role == status::Role::Stopped {
                return Err(io::Error::other("the replica of the registry stopped"));
            }
            if self.was_removed(&status, now) {
                self.erase()?;
                return Err(io::Error::other("the replica was removed from its group"));
            }
            self.tell(&status, now, number % ROUNDS_PER_BROADCAST == 0);
            number += 1;
            self.measure(&status, now);
            let is_leader = status.role == status::Role::Leader;
            leads_since = is_leader.then(|| leads_since.unwrap_or(now));
            if let Some(since) = leads_since {
                self.repair(&mut repair, &status, now).await;
                self.operations.forget_silent(now.since(since)).await;
            }
        }
    }

    fn measure(&self, status: &status::Status, now: clock::Millis) {
        let metrics = &self.operations.metrics;
        metrics
            .is_leader
            .set(i64::from(status.role == status::Role::Leader));
        metrics
            .applied
            .set(i64::try_from(status.applied.0).unwrap_or(i64::MAX));
        let mut table = self.operations.table();
        table.entries.sweep(now);
        let entries = table.entries.ready(now).len();
        metrics.entries.set(entries as i64);
    }

    fn sender(&self, status: &status::Status) -> gossip::Sender {
        let is_leader = status.role == status::Role::Leader;
        gossip::Sender {
            address: self.settings.listen,
            public: self.settings.public,
            zone: self.settings.zone.clone(),
            replica: status.id,
            is_blank: status.role == status::Role::Blank,
            leads: is_leader.then(|| gossip::Group {
                term: status.term,
                commit: status.commit,
                members: status.members.members.iter().map(|m| m.id).collect(),
            }),
        }
    }

    /// Returns whom to tell: the leader, or everybody if there is none or it is time to.
    fn targets(
        &self,
        status: &status::Status,
        now: clock::Millis,
        is_broadcast: bool,
    ) -> collections::BTreeSet<net::SocketAddr> {
        let own = self.settings.listen;
        let leader = status.leader_member().map(|leader| leader.address);
        let mut targets = collections::BTreeSet::new();
        match leader {
            Some(leader) if !is_broadcast => drop(targets.insert(leader)),
            _ => {
                targets.extend(status.members.members.iter().map(|m| m.address));
                targets.extend(self.seeds.borrow().iter());
                let table = self.operations.table();
                targets.extend(table.peers.live(now).map(|peer| peer.address));
            }
        }
        targets.remove(&own);
        targets
    }

    fn tell(
        self: &sync::Arc<Rounds>,
        status: &status::Status,
        now: clock::Millis,
        is_broadcast: bool,
    ) {
        let targets = self.targets(status, now, is_broadcast);
        let sender = self.sender(status);
        let mut table = self.operations.table();
        table.peers.note(now, sender.clone());
        let announced: Vec<_> = std::mem::take(&mut table.announced).into_iter().collect();
        let own = table.entries.own(now);
        let digests = (
            follow::entries_digest(&table.entries.ready(now)),
            table.peers.digest(now),
        );
        let listed: Vec<_> = own.iter().map(|s| (s.entry.clone(), s.is_ready)).collect();
        for target in targets {
            let listed = listed.clone();
            let is_told = table.told.get(&target) == Some(&listed);
            let message = gossip::Message {
                sender: sender.clone(),
                entries: (!is_told).then(|| own.clone()),
                announced: announced.clone(),
                ready_digest: digests.0,
                peers_digest: digests.1,
            };
            let rounds = sync::Arc::clone(self);
            tokio::spawn(async move { rounds.exchange(target, message, listed).await });
        }
    }

    async fn exchange(
        &self,
        target: net::SocketAddr,
        message: gossip::Message,
        listed: Vec<(follow::Entry, bool)>,
    ) {
        let client = &self.operations.client;
        let call = client.call_compact(target, calls::GOSSIP, &message, GOSSIP_MS);
        let reply: error::Result<gossip::Reply> = call.await;
        let now = self.operations.clock.now();
        let mut table = self.operations.table();
        // A process that does not answer is told everything in the next round.
        let Ok(reply) = reply else {
            table.told.remove(&target);
            return;
        };
        match reply.wants_entries {
            true => drop(table.told.remove(&target)),
            false => drop(table.told.insert(target, listed)),
        }
        for peer in reply.peers.into_iter().flatten() {
            table.peers.note_named(now, peer);
        }
        if reply.sender.leads.is_some() {
            match &reply.ready {
                Some(ready) => table.entries.take_ready(now, ready),
                None => table.entries.confirm_others(now),
            }
        }
        table.peers.note(now, reply.sender);
    }

    /// Takes a message of another coordinator.
    pub(crate) fn hear(&self, mut message: gossip::Message) -> gossip::Reply {
        let operations = &self.operations;
        let now = operations.clock.now();
        let sender = self.sender(&operations.handle.status());
        let mut guard = operations.table();
        let table = &mut *guard;
        let listed = table.peers.take_entries(&mut message);
        let wants_entries = !listed.is_known;
        table.entries.merge(now, listed.entries);
        table.entries.remove_others(&listed.gone);
        for id in message.announced {
            table.alive.insert(id, now);
        }
        table.peers.note(now, message.sender);
        table.peers.note(now, sender.clone());
        let is_same = table.peers.digest(now) == message.peers_digest;
        let peers = (!is_same).then(|| table.peers.live(now).cloned().collect());
        let ready = follow::entries_digest(&table.entries.ready(now)) != message.ready_digest;
        gossip::Reply {
            sender,
            peers,
            ready: ready.then(|| table.entries.ready_seen(now)),
            wants_entries,
        }
    }

    async fn repair(
        &self,
        repair: &mut repair::Repair,
        status: &status::Status,
        now: clock::Millis,
    ) {
        let heard = self.operations.table().peers.heard(now);
        let wanted = self.settings.voters_wanted_count;
        let Some(change) = repair.next(now, status, &heard, wanted) else {
            return;
        };
        self.operations.metrics.repairs.inc();
        let reply = self.host.change_member(service::GROUP, change).await;
        let is_done = matches!(reply, message::MemberChangeReply::Done { .. });
        slog::info!(self.operations.log, "members of the group change"; "change" => ?change,
            "term" => status.term.0, "done" => is_done, "outcome" => ?reply);
    }

    fn was_removed(&self, status: &status::Status, now: clock::Millis) -> bool {
        if status.role == status::Role::Blank {
            return false;
        }
        let table = self.operations.table();
        let mut groups = table.peers.live(now).filter_map(|peer| peer.leads.as_ref());
        groups.any(|group| group.has_removed(status.id, status.term, status.last))
    }

    /// Removes the folder of a replica that was removed from its group, so that the next start is
    /// a new replica.
    fn erase(&self) -> io::Result<()> {
        let folder = self.settings.data.join(service::GROUP);
        slog::warn!(
            self.operations.log,
            "replica was removed from its group and starts anew"
        );
        std::fs::remove_dir_all(folder)
    }
}

//! Exchange of gossip with the other coordinators.

use crate::{calls, confirmation, gossip, rounds};
use nutmegdale_base::clock;
use nutmegdale_consensus::status;
use nutmegdale_registry::follow;
use nutmegdale_rpc::error;
use std::collections;
use std::net;
use std::sync;

/// Timeout of a gossip message.
const GOSSIP_TIMEOUT_MS: clock::Millis = clock::Millis(1_000);

impl rounds::Rounds {
    /// Returns the state that this coordinator reports of itself.
    pub(crate) fn own_info(&self, status: &status::Status) -> gossip::PeerInfo {
        let now = self.operations.clock.now();
        let quorum_age = status.quorum_contact_at.map(|at| now.since(at));
        // A leader whose quorum has not answered for long may have been replaced.
        let is_leader = status.role == status::Role::Leader && confirmation::is_recent(quorum_age);
        gossip::PeerInfo {
            address: self.settings.listen,
            public: self.settings.public,
            zone: self.settings.zone.clone(),
            replica: status.id,
            is_blank: status.role == status::Role::Blank,
            leads: is_leader.then(|| gossip::Group::of_leader(status)),
        }
    }

    /// Returns the receivers of this round's gossip: the leader, or all known coordinators in a
    /// broadcast or while no leader is known.
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
                let soft = self.operations.soft_state();
                targets.extend(soft.peers.contacts(now).map(|peer| peer.address));
            }
        }
        targets.remove(&own);
        targets
    }

    /// Sends gossip to the receivers of this round.
    pub(crate) fn send_gossip(
        self: &sync::Arc<rounds::Rounds>,
        status: &sync::Arc<status::Status>,
        now: clock::Millis,
        is_broadcast: bool,
    ) {
        let targets = self.targets(status, now, is_broadcast);
        let sender = self.own_info(status);
        let mut soft = self.operations.soft_state();
        soft.peers.update(now, sender.clone());
        let announced: Vec<_> = std::mem::take(&mut soft.announced).into_iter().collect();
        let direct = soft.entries.direct(now);
        let digests = (
            follow::entries_digest(&soft.entries.ready(now)),
            soft.peers.digest(now),
        );
        let entries: Vec<_> = direct
            .iter()
            .map(|s| (s.entry.clone(), s.is_ready))
            .collect();
        for target in targets {
            let entries = entries.clone();
            let is_acked = soft.acked_entries.get(&target) == Some(&entries);
            let message = gossip::Message {
                sender: sender.clone(),
                entries: (!is_acked).then(|| direct.clone()),
                announced: announced.clone(),
                ready_digest: digests.0,
                peers_digest: digests.1,
            };
            let (rounds, asked) = (sync::Arc::clone(self), sync::Arc::clone(status));
            tokio::spawn(async move { rounds.exchange(target, message, entries, &asked).await });
        }
    }

    /// Sends a gossip message and merges the reply. `entries` are the entry processes whose last
    /// sync went to this coordinator when the message was built, and `asked` is the status that the
    /// replica had published then.
    async fn exchange(
        &self,
        target: net::SocketAddr,
        message: gossip::Message,
        entries: Vec<(follow::Entry, bool)>,
        asked: &status::Status,
    ) {
        let client = &self.operations.client;
        let sent_at = self.operations.clock.now();
        let call = client.call_compact_or(
            target,
            calls::GOSSIP_CONFIRMED,
            calls::GOSSIP,
            &message,
            GOSSIP_TIMEOUT_MS,
        );
        let reply: error::Result<gossip::Reply> = call.await;
        let now = self.operations.clock.now();
        let mut soft = self.operations.soft_state();
        // The next message to a process that did not reply lists the entry processes again.
        let Ok(reply) = reply else {
            soft.acked_entries.remove(&target);
            return;
        };
        match reply.wants_entries {
            true => drop(soft.acked_entries.remove(&target)),
            false => drop(soft.acked_entries.insert(target, entries)),
        }
        match reply.peers {
            Some(peers) => {
                for peer in peers {
                    soft.peers.update_indirect(now, peer);
                }
            }
            None if reply.sender.leads.is_some() => soft.peers.confirm_live(now),
            None => {}
        }
        if let Some(committed) = &reply.committed {
            let proof = confirmation::Proof::of_reply(sent_at, committed);
            soft.confirmation.record(proof);
        }
        if let Some(group) = &reply.sender.leads {
            if group.has_removed(asked) {
                soft.removed_by = Some((target, group.clone()));
            }
            match &reply.ready {
                Some(ready) => soft.entries.replace_indirect(now, ready),
                None => soft.entries.refresh_indirect(now),
            }
        }
        soft.peers.update(now, reply.sender);
    }

    /// Merges a gossip message of another coordinator and returns the reply.
    pub(crate) fn receive_gossip(&self, mut message: gossip::Message) -> gossip::Reply {
        let operations = &self.operations;
        let now = operations.clock.now();
        let sender = self.own_info(&operations.handle.status());
        let mut guard = operations.soft_state();
        let soft = &mut *guard;
        let reported = soft.peers.update_entries(&mut message);
        let wants_entries = !reported.is_known;
        soft.entries.merge(now, reported.entries);
        soft.entries.remove_indirect(&reported.gone);
        for id in message.announced {
            soft.last_announced.insert(id, now);
        }
        soft.peers.update(now, message.sender);
        soft.peers.update(now, sender.clone());
        let peers = soft.peers.report(now, message.peers_digest);
        let ready_differs =
            follow::entries_digest(&soft.entries.ready(now)) != message.ready_digest;
        gossip::Reply {
            sender,
            peers,
            ready: ready_differs.then(|| soft.entries.ready_statuses(now)),
            wants_entries,
            committed: self.committed(),
        }
    }

    /// Returns what this replica has committed, if it leads and a quorum has confirmed it in its
    /// term.
    fn committed(&self) -> Option<gossip::Committed> {
        let status = self.operations.handle.status();
        let confirmed_at = status.quorum_contact_at?;
        Some(gossip::Committed {
            index: status.commit,
            quorum_age: self.operations.clock.now().since(confirmed_at),
        })
    }
}

//! Periodic work of a coordinator: gossip with the others and repair of the replicated group.

use crate::{confirmation, gossip, operations, repair, service};
use nutmegdale_base::clock;
use nutmegdale_consensus::{status, types};
use nutmegdale_control::groups;
use nutmegdale_rpc::message;
use std::io;
use std::net;
use std::sync;
use std::time;
use tokio::sync::watch;

/// Interval of the rounds.
const ROUND_MS: u64 = 500;
/// Interval of the rounds while a leader is known and the registry is not confirmed. Entry processes
/// find no current coordinator but the leader in this time, as after a start or an election.
const UNCONFIRMED_ROUND_MS: u64 = 50;
/// Interval at which a leader looks whether a replica can be admitted or promoted.
const REPAIR_STEP_MS: u64 = 100;
/// Every this many rounds, gossip goes to all coordinators instead of the leader alone, so that it
/// also reaches processes that the leader does not know and those that were removed.
const ROUNDS_PER_BROADCAST: u64 = 10;

/// Maximum number of membership changes in one round. A replacement takes three: the old member is
/// removed, the new one is admitted and, once it has caught up, promoted.
const REPAIRS_PER_ROUND_MAX_COUNT: usize = 4;

/// Periodic work of one coordinator.
pub(crate) struct Rounds {
    pub(crate) operations: sync::Arc<operations::Operations>,
    pub(crate) host: sync::Arc<groups::Host>,
    pub(crate) settings: service::Settings,
    pub(crate) seeds: watch::Receiver<Vec<net::SocketAddr>>,
}

impl Rounds {
    /// Runs rounds until the replica stops or was removed from its group.
    pub(crate) async fn run(self: sync::Arc<Rounds>) -> io::Result<()> {
        let mut repair = repair::Repair::default();
        let mut leads_since = None;
        let mut round_number = 0;
        let mut is_confirmed = false;
        loop {
            let now = self.operations.clock.now();
            let status = self.operations.handle.status();
            if status.role == status::Role::Stopped {
                return Err(io::Error::other("the replica of the registry stopped"));
            }
            let removed_by = self.operations.soft_state().removed_by.take();
            if let Some((leader, group)) = removed_by {
                self.delete_replica(&status, leader, &group)?;
                return Err(io::Error::other("the replica was removed from its group"));
            }
            self.send_gossip(&status, now, round_number % ROUNDS_PER_BROADCAST == 0);
            round_number += 1;
            self.update_metrics(&status, now);
            is_confirmed = self.log_confirmation(is_confirmed, &status);
            // A leader whose thread is stuck may have been replaced, and would not answer.
            let is_leader = is_confirmed && status.role == status::Role::Leader;
            leads_since = is_leader.then(|| leads_since.unwrap_or(now));
            if let Some(since) = leads_since {
                self.repair(&mut repair, &status, now).await;
                self.operations.expire_servers(now.since(since)).await;
            }
            self.wait_for_next(is_confirmed).await;
        }
    }

    /// Waits until the next round is due.
    async fn wait_for_next(&self, is_confirmed: bool) {
        let round = time::Duration::from_millis(ROUND_MS);
        let is_leader = self.operations.handle.status().role == status::Role::Leader;
        if is_confirmed && !is_leader {
            return tokio::time::sleep(round).await;
        }
        if is_confirmed {
            // After the end of the time, the next round is due anyway.
            drop(tokio::time::timeout(round, self.replacement_due()).await);
            return;
        }
        let mut status = self.operations.handle.subscribe();
        let leader_known = status.wait_for(|status| status.leader.is_some());
        if tokio::time::timeout(round, leader_known).await.is_ok() {
            tokio::time::sleep(time::Duration::from_millis(UNCONFIRMED_ROUND_MS)).await;
        }
    }

    /// Waits until a replacement can go on, for one step of repairs at least, so that a change that
    /// is refused is not requested without a pause.
    async fn replacement_due(&self) {
        loop {
            tokio::time::sleep(time::Duration::from_millis(REPAIR_STEP_MS)).await;
            let now = self.operations.clock.now();
            let peers = self.operations.soft_state().peers.statuses(now);
            if repair::is_replacement_due(&self.operations.handle.status(), &peers) {
                return;
            }
        }
    }

    /// Expires entry processes and coordinators, and updates the gauges.
    fn update_metrics(&self, status: &status::Status, now: clock::Millis) {
        let metrics = &self.operations.metrics;
        metrics
            .is_leader
            .set(i64::from(self.own_info(status).leads.is_some()));
        let gauge = |value: u64| i64::try_from(value).unwrap_or(i64::MAX);
        metrics.applied.set(gauge(status.applied.0));
        metrics.commit.set(gauge(self.known_commit(status).0));
        let age = self.operations.confirmation_age();
        metrics
            .confirmation_age_ms
            .set(age.map_or(-1, |age| gauge(age.0)));
        let mut soft = self.operations.soft_state();
        soft.entries.expire(now);
        soft.peers.expire(now);
        let entries = soft.entries.ready(now).len();
        metrics.entries.set(entries as i64);
    }

    /// Returns the newest index that is known to be committed, from this replica or from a leader.
    fn known_commit(&self, status: &status::Status) -> types::Index {
        let soft = self.operations.soft_state();
        soft.confirmation.known_commit().max(status.commit)
    }

    /// Logs when the evidence that the registry is complete becomes too old, and when it is recent
    /// again; returns whether it is recent.
    fn log_confirmation(&self, was_confirmed: bool, status: &status::Status) -> bool {
        let age = self.operations.confirmation_age();
        let is_confirmed = confirmation::is_recent(age);
        if is_confirmed == was_confirmed {
            return is_confirmed;
        }
        let evidence = slog::o!("age_ms" => age.map(|age| age.0), "applied" => status.applied.0,
            "commit" => self.known_commit(status).0, "role" => format!("{:?}", status.role),
            "term" => status.term.0);
        let log = self.operations.log.new(evidence);
        if is_confirmed {
            slog::info!(log, "registry confirmed");
        } else {
            slog::info!(log, "registry not confirmed");
        }
        is_confirmed
    }

    async fn repair(
        &self,
        repair: &mut repair::Repair,
        status: &sync::Arc<status::Status>,
        now: clock::Millis,
    ) {
        let target_count = self.settings.target_voters_count;
        let mut status = sync::Arc::clone(status);
        for _ in 0..REPAIRS_PER_ROUND_MAX_COUNT {
            let peers = self.operations.soft_state().peers.statuses(now);
            let Some(change) = repair.next_change(now, &status, &peers, target_count) else {
                return;
            };
            let replaced_by = repair::replaced_by(&change, &status, &peers);
            if let Some(new) = replaced_by
                && !self.is_still_blank(new).await
            {
                return;
            }
            if !self.change_member(change, &status).await {
                return;
            }
            status = self.operations.handle.status();
        }
    }

    /// Asks a replica that said that it belongs to no group whether this still holds.
    async fn is_still_blank(&self, peer: &repair::PeerStatus) -> bool {
        let (address, id) = (peer.address, peer.replica);
        let is_blank = self.host.is_unassigned(service::GROUP, address, id);
        let is_blank = is_blank.await;
        if !is_blank {
            slog::info!(self.operations.log, "blank replica not found"; "coordinator" => %address,
                "replica" => %id, "age_ms" => peer.age.0);
        }
        is_blank
    }

    /// Requests a membership change; returns whether it is committed.
    async fn change_member(&self, change: message::MemberChange, status: &status::Status) -> bool {
        self.operations.metrics.repairs.inc();
        let reply = self.host.change_member(service::GROUP, change).await;
        let is_done = matches!(reply, message::MemberChangeReply::Done { .. });
        slog::info!(self.operations.log, "membership change requested"; "change" => ?change,
            "term" => status.term.0, "done" => is_done, "outcome" => ?reply);
        is_done
    }

    /// Deletes the data of a replica that was removed from its group, so that the process comes
    /// back as a new replica.
    fn delete_replica(
        &self,
        status: &status::Status,
        leader: net::SocketAddr,
        group: &gossip::Group,
    ) -> io::Result<()> {
        let folder = self.settings.data.join(service::GROUP);
        slog::warn!(self.operations.log, "replica was removed from its group; deleting its data";
            "replica" => %status.id, "role" => ?status.role, "term" => status.term.0,
            "last" => status.last.0, "leader" => %leader, "leader_term" => group.term.0,
            "leader_commit" => group.commit.0, "members" => ?group.members);
        std::fs::remove_dir_all(folder)
    }
}

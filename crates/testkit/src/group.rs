//! Status and membership of a cluster's replicated groups, over the protocol between control
//! processes.

use crate::cluster;
use nutmegdale_base::clock;
use nutmegdale_consensus::{status, types};
use nutmegdale_rpc::{client, error, message};
use std::net;
use std::time;

/// Name of the group that replicates the catalogue.
pub const CATALOGUE: &str = "catalogue";
/// Timeout of one call.
const CALL_MS: clock::Millis = clock::Millis(3_000);
/// Timeout for a group to reach an expected state.
const WAIT: time::Duration = time::Duration::from_secs(20);

/// Queries the status of a control process's replica of the catalogue group.
///
/// # Errors
///
/// Fails if the process cannot be reached or has no such group.
pub async fn status(peer: net::SocketAddr) -> error::Result<status::Status> {
    let query = message::GroupQuery {
        group: CATALOGUE.to_owned(),
    };
    let client = client::Client::new(cluster::CLUSTER_TOKEN);
    client.call(peer, "group-status", &query, CALL_MS).await
}

async fn change(
    peer: net::SocketAddr,
    change: message::MemberChange,
) -> error::Result<message::MemberChangeReply> {
    let req = message::MemberChangeRequest {
        group: CATALOGUE.to_owned(),
        change,
    };
    let client = client::Client::new(cluster::CLUSTER_TOKEN);
    client.call(peer, "group-change", &req, CALL_MS).await
}

impl cluster::Cluster {
    /// Waits until there is a leader, and returns its index in `control`. Of several processes that
    /// claim to lead, the one with the highest term counts; processes that do not answer are skipped.
    pub async fn leader(&self) -> usize {
        cluster::eventually(WAIT, "a leader", || async {
            let mut best: Option<(types::Term, usize)> = None;
            for (number, daemon) in self.control.iter().enumerate() {
                let Some(status) = self.status_of(daemon).await else {
                    continue;
                };
                if status.role == status::Role::Leader {
                    best = best.max(Some((status.term, number)));
                }
            }
            best.map(|(_, number)| number)
        })
        .await
    }

    async fn status_of(&self, daemon: &cluster::Daemon) -> Option<status::Status> {
        daemon.pid()?;
        let limit = time::Duration::from_millis(300);
        let reply = tokio::time::timeout(limit, status(daemon.control())).await;
        reply.ok()?.ok()
    }

    /// Waits until the status of the leader meets a condition, and returns the status.
    pub async fn group_until(
        &self,
        what: &str,
        is_met: impl Fn(&status::Status) -> bool,
    ) -> status::Status {
        cluster::eventually(WAIT, what, || async {
            let leader = self.leader().await;
            let status = self.status_of(&self.control[leader]).await?;
            is_met(&status).then_some(status)
        })
        .await
    }

    /// Requests a membership change from the leader, with retries until it succeeds; returns the
    /// identifier of the member.
    pub async fn change_member(&self, requested: message::MemberChange) -> types::ReplicaId {
        cluster::eventually(WAIT, &format!("{requested:?}"), || async {
            let leader = self.leader().await;
            match change(self.control[leader].control(), requested).await {
                Ok(message::MemberChangeReply::Done { id }) => Some(id),
                _ => None,
            }
        })
        .await
    }
}

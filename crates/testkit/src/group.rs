//! Groups of a cluster, as the control processes show them to each other.

use crate::cluster;
use nutmegdale_base::clock;
use nutmegdale_consensus::{status, types};
use nutmegdale_rpc::{client, error, message};
use std::net;
use std::time;

/// Name of the group of the catalogue.
pub const CATALOGUE: &str = "catalogue";
/// Longest time of one call.
const CALL_MS: clock::Millis = clock::Millis(3_000);
/// Longest time for a group to reach an expected state.
const WAIT: time::Duration = time::Duration::from_secs(20);

/// Asks a control process for the status of its replica of the catalogue's group.
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
    /// Waits until a control process leads whose term none of the others exceeds, and returns its
    /// number. Processes that do not answer are passed over.
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
        let asked = tokio::time::timeout(limit, status(daemon.control())).await;
        asked.ok()?.ok()
    }

    /// Waits until the status of the leader fulfils a condition.
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

    /// Changes a member through the leader, again until it succeeds; returns the member.
    pub async fn change_member(&self, wanted: message::MemberChange) -> types::ReplicaId {
        cluster::eventually(WAIT, &format!("{wanted:?}"), || async {
            let leader = self.leader().await;
            match change(self.control[leader].control(), wanted).await {
                Ok(message::MemberChangeReply::Done { id }) => Some(id),
                _ => None,
            }
        })
        .await
    }
}

//! Status and membership changes of all groups of the system, for operators.
//!
//! A control process runs replicas of the catalogue group and of the ledger group of its own region.
//! For the ledger groups of other regions it queries the configured processes of those regions.

use crate::groups;
use nutmegdale_base::clock;
use nutmegdale_consensus::{status, types};
use nutmegdale_rpc::{client, error, message};
use nutmegdale_settings::model;
use serde::Serialize;
use std::collections;
use std::net;
use std::sync;

/// Timeout of a query to another control process.
const QUERY_TIMEOUT_MS: clock::Millis = clock::Millis(1_000);
/// Timeout for the leader of a group to commit a membership change.
const CHANGE_TIMEOUT_MS: clock::Millis = clock::Millis(5_000);

/// Replica in the status of its group.
#[derive(Debug, Clone, Serialize)]
pub struct Replica {
    /// Identity as 16 hexadecimal digits.
    pub replica: String,
    /// Name of the control process that runs the replica.
    pub name: String,
    /// Region of the control process.
    pub region: String,
    /// Address at which other control processes reach it.
    pub address: net::SocketAddr,
    /// Whether it votes; a learner only receives the log.
    pub is_voter: bool,
    /// Last log index that the leader knows to be durable on it; `None` without a leader.
    pub matched: Option<u64>,
    /// Whether it answered within the last election timeout.
    pub is_reached: Option<bool>,
    /// Whether it holds all committed entries.
    pub is_caught_up: Option<bool>,
    /// Whether it lost state and does not count towards a quorum until it is promoted again.
    pub is_suspect: Option<bool>,
}

/// Status of a group.
#[derive(Debug, Clone, Serialize)]
pub struct Group {
    /// Name of the group.
    pub group: String,
    /// Name of the control process that leads, if known.
    pub leader: Option<String>,
    /// Current Raft term.
    pub term: u64,
    /// Last committed index.
    pub commit: u64,
    /// Whether every voter holds all entries committed up to the last membership change; `None`
    /// without a leader.
    pub is_repaired: Option<bool>,
    /// Voters and learners.
    pub replicas: Vec<Replica>,
}

impl Group {
    /// Builds the status of a group from the status of one of its replicas.
    pub fn build(status: &status::Status) -> Group {
        let leader = status.leader_member();
        let replicas = status.members.members.iter();
        Group {
            group: status.group.clone(),
            leader: leader.map(|member| member.name.clone()),
            term: status.term.0,
            commit: status.commit.0,
            is_repaired: status.is_repaired,
            replicas: replicas.map(|member| replica(member, status)).collect(),
        }
    }
}

fn replica(member: &types::Member, status: &status::Status) -> Replica {
    let progress = status.progress.iter().find(|p| p.id == member.id);
    Replica {
        replica: member.id.to_string(),
        name: member.name.clone(),
        region: member.region.clone(),
        address: member.address,
        is_voter: member.is_voter,
        matched: progress.map(|p| p.matched.0),
        is_reached: progress.map(|p| p.is_reached),
        is_caught_up: progress.map(|p| p.is_caught_up),
        is_suspect: progress.map(|p| p.is_suspect),
    }
}

/// Gives operators access to the replicas of all groups.
#[allow(missing_debug_implementations)] // Holds a trait object.
pub struct Replicas {
    host: sync::Arc<groups::Host>,
    client: client::Client,
    members: Vec<model::Member>,
}

impl Replicas {
    /// Creates access to the groups of the configured control processes.
    pub fn new(
        host: sync::Arc<groups::Host>,
        process: &model::Process,
        control: &model::Control,
    ) -> Replicas {
        Replicas {
            host,
            client: client::Client::new(&process.cluster_token),
            members: control.members.clone(),
        }
    }

    /// Returns the status of every group for which a process answers.
    pub async fn statuses(&self) -> Vec<Group> {
        let regions: collections::BTreeSet<&str> =
            self.members.iter().map(|m| m.region.as_str()).collect();
        let ledgers = regions.into_iter().map(groups::ledger_group);
        let mut groups = Vec::new();
        for name in [groups::CATALOGUE.to_owned()].into_iter().chain(ledgers) {
            if let Some(status) = self.status(&name).await {
                groups.push(Group::build(&status));
            }
        }
        groups
    }

    /// Returns the status of a group, from its leader if it can be reached.
    async fn status(&self, group: &str) -> Option<status::Status> {
        let mut status = self.host.status(group).map(|s| s.as_ref().clone());
        for address in self.configured_addresses(group) {
            if status.is_some() {
                break;
            }
            status = self.query(group, address).await.ok();
        }
        let status = status?;
        if status.role == status::Role::Leader {
            return Some(status);
        }
        let leader = status.leader_member().map(|member| member.address);
        match leader {
            Some(leader) => Some(self.query(group, leader).await.unwrap_or(status)),
            None => Some(status),
        }
    }

    fn configured_addresses(&self, group: &str) -> impl Iterator<Item = net::SocketAddr> + '_ {
        let group = group.to_owned();
        let has_replica = move |member: &&model::Member| {
            group == groups::CATALOGUE || group == groups::ledger_group(&member.region)
        };
        self.members
            .iter()
            .filter(has_replica)
            .map(|member| member.address)
    }

    async fn query(&self, group: &str, address: net::SocketAddr) -> error::Result<status::Status> {
        let query = message::GroupQuery {
            group: group.to_owned(),
        };
        let reply = self
            .client
            .call(address, "group-status", &query, QUERY_TIMEOUT_MS);
        reply.await
    }

    /// Changes one member of a group through its leader.
    pub async fn change(
        &self,
        group: &str,
        change: message::MemberChange,
    ) -> message::MemberChangeReply {
        if self.host.handle(group).is_some() {
            return self.host.change_member(group, change).await;
        }
        let Some(status) = self.status(group).await else {
            let text = format!("no control process answered for group {group}");
            return message::MemberChangeReply::Failed { text };
        };
        let Some(leader) = status.leader_member() else {
            return message::MemberChangeReply::NotLeader { leader: None };
        };
        let req = message::MemberChangeRequest {
            group: group.to_owned(),
            change,
        };
        let reply = self
            .client
            .call(leader.address, "group-change", &req, CHANGE_TIMEOUT_MS);
        reply
            .await
            .unwrap_or_else(|err| message::MemberChangeReply::Failed {
                text: err.to_string(),
            })
    }
}

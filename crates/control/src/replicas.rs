//! Replicas of all groups of the system, for operators.
//!
//! A control process runs the group of the catalogue and the ledger group of its own region. The
//! other ledger groups are asked for at the processes that the settings list for their regions.

use crate::groups;
use nutmegdale_base::clock;
use nutmegdale_consensus::{status, types};
use nutmegdale_rpc::{client, error, message};
use nutmegdale_settings::model;
use serde::Serialize;
use std::collections;
use std::net;
use std::sync;

/// Longest time of a question to another control process.
const QUERY_MS: clock::Millis = clock::Millis(1_000);
/// Longest time for the leader of a group to commit a change of members.
const CHANGE_MS: clock::Millis = clock::Millis(5_000);

/// Replica as operators see it.
#[derive(Debug, Clone, Serialize)]
pub struct Replica {
    /// Identity in hexadecimal.
    pub replica: String,
    /// Control process.
    pub name: String,
    /// Region.
    pub region: String,
    /// Address of the process.
    pub address: net::SocketAddr,
    /// Whether it votes; a learner only receives the log.
    pub is_voter: bool,
    /// Last index that it holds durably, as the leader knows.
    pub matched: Option<u64>,
    /// Whether it answered within the last election timeout.
    pub is_reached: Option<bool>,
    /// Whether it holds everything committed.
    pub is_caught_up: Option<bool>,
    /// Whether it lost state and is not counted until it is promoted again.
    pub is_suspect: Option<bool>,
}

/// Group as operators see it.
#[derive(Debug, Clone, Serialize)]
pub struct Group {
    /// Name.
    pub group: String,
    /// Control process that leads, if any is known to.
    pub leader: Option<String>,
    /// Term.
    pub term: u64,
    /// Last committed index.
    pub commit: u64,
    /// Whether every voter holds everything committed up to the last change of members.
    pub is_repaired: Option<bool>,
    /// Replicas.
    pub replicas: Vec<Replica>,
}

impl Group {
    /// Joins a status with the progress of the members.
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

/// Access to all groups.
#[allow(missing_debug_implementations)] // Holds a trait object.
pub struct Replicas {
    host: sync::Arc<groups::Host>,
    client: client::Client,
    members: Vec<model::Member>,
}

impl Replicas {
    /// Creates access to the groups of the processes that the settings list.
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

    /// Returns every group that a process answers for.
    pub async fn all(&self) -> Vec<Group> {
        let regions: collections::BTreeSet<&str> =
            self.members.iter().map(|m| m.region.as_str()).collect();
        let ledgers = regions.into_iter().map(groups::ledger_group);
        let mut found = Vec::new();
        for name in [groups::CATALOGUE.to_owned()].into_iter().chain(ledgers) {
            if let Some(status) = self.status(&name).await {
                found.push(Group::build(&status));
            }
        }
        found
    }

    /// Returns the status of a group, from its leader if one can be reached.
    async fn status(&self, group: &str) -> Option<status::Status> {
        let mut known = self
            .host
            .status(group)
            .map(|status| status.as_ref().clone());
        for address in self.listed(group) {
            if known.is_some() {
                break;
            }
            known = self.ask(group, address).await.ok();
        }
        let known = known?;
        if known.role == status::Role::Leader {
            return Some(known);
        }
        let leader = known.leader_member().map(|member| member.address);
        match leader {
            Some(leader) => Some(self.ask(group, leader).await.unwrap_or(known)),
            None => Some(known),
        }
    }

    fn listed(&self, group: &str) -> impl Iterator<Item = net::SocketAddr> + '_ {
        let group = group.to_owned();
        let is_of = move |member: &&model::Member| {
            group == groups::CATALOGUE || group == groups::ledger_group(&member.region)
        };
        self.members
            .iter()
            .filter(is_of)
            .map(|member| member.address)
    }

    async fn ask(&self, group: &str, address: net::SocketAddr) -> error::Result<status::Status> {
        let query = message::GroupQuery {
            group: group.to_owned(),
        };
        let asked = self.client.call(address, "group-status", &query, QUERY_MS);
        asked.await
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
            let text = format!("no control process answers for the group {group}");
            return message::MemberChangeReply::Failed { text };
        };
        let Some(leader) = status.leader_member() else {
            return message::MemberChangeReply::NotLeader { leader: None };
        };
        let req = message::MemberChangeRequest {
            group: group.to_owned(),
            change,
        };
        let called = self
            .client
            .call(leader.address, "group-change", &req, CHANGE_MS);
        called
            .await
            .unwrap_or_else(|err| message::MemberChangeReply::Failed {
                text: err.to_string(),
            })
    }
}

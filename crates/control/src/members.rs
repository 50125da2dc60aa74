//! Membership changes of a group, requested by operators.

use crate::groups;
use nutmegdale_base::clock;
use nutmegdale_consensus::{input, types};
use nutmegdale_replica::handle;
use nutmegdale_rpc::message;
use std::net;

/// Timeout for the leader to commit a membership change.
const CHANGE_TIMEOUT_MS: clock::Millis = clock::Millis(5_000);

impl groups::Host {
    /// Changes one member of a group and returns once the change is committed. If another process
    /// leads, the change is forwarded to it once.
    pub async fn change_member(
        &self,
        group: &str,
        change: message::MemberChange,
    ) -> message::MemberChangeReply {
        let leader = match self.change(group, change).await {
            message::MemberChangeReply::NotLeader {
                leader: Some(leader),
            } => leader,
            reply => return reply,
        };
        let req = message::MemberChangeRequest {
            group: group.to_owned(),
            change,
        };
        let reply = self
            .client
            .call(leader, "group-change", &req, CHANGE_TIMEOUT_MS);
        reply.await.unwrap_or_else(|err| failed(&err))
    }

    /// Changes one member of a group that this process leads.
    pub(crate) async fn change(
        &self,
        group: &str,
        change: message::MemberChange,
    ) -> message::MemberChangeReply {
        let Some(handle) = self.handle(group) else {
            let text = format!("this process has no replica of group {group}");
            return message::MemberChangeReply::Failed { text };
        };
        let (id, change) = match change {
            message::MemberChange::Admit(address) => {
                match self.fetch_unassigned(group, address).await {
                    Ok(member) => (member.id, input::MemberChange::Admit(member)),
                    Err(text) => return message::MemberChangeReply::Failed { text },
                }
            }
            message::MemberChange::Promote(id) => (id, input::MemberChange::Promote(id)),
            message::MemberChange::Demote(id) => (id, input::MemberChange::Demote(id)),
            message::MemberChange::Remove(id) => (id, input::MemberChange::Remove(id)),
        };
        match handle.change(change).await {
            Ok(()) => message::MemberChangeReply::Done { id },
            Err(handle::ChangeError::Propose(handle::ProposeError::NotLeader { leader })) => {
                message::MemberChangeReply::NotLeader { leader }
            }
            Err(err) => failed(&err),
        }
    }

    /// Asks the control process at `address` whether its replica is `id` and belongs to no group yet.
    pub async fn is_unassigned(
        &self,
        group: &str,
        address: net::SocketAddr,
        id: types::ReplicaId,
    ) -> bool {
        let member = self.fetch_unassigned(group, address).await;
        member.is_ok_and(|member| member.id == id)
    }

    /// Queries the control process at `address` for its replica, which must not belong to a group
    /// yet, and returns it as a learner.
    async fn fetch_unassigned(
        &self,
        group: &str,
        address: net::SocketAddr,
    ) -> Result<types::Member, String> {
        let answer = self.query(group, address).await;
        let answer = answer.map_err(|err| format!("process at {address}: {err}"))?;
        let member = answer.member;
        if !answer.members.members.is_empty() {
            return Err(format!("replica {} already belongs to a group", member.id));
        }
        Ok(types::Member {
            is_voter: false,
            ..member
        })
    }
}

fn failed(err: &dyn std::error::Error) -> message::MemberChangeReply {
    let text = err.to_string();
    message::MemberChangeReply::Failed { text }
}

//! Announcements that the registry overrules although the server may be alive: they are passed to
//! the leader, which learns of the announcements to all coordinators and decides by
//! [`claim::Claims`].

use crate::{calls, operations};
use nutmegdale_base::clock;
use nutmegdale_registry::{claim, server, state};
use nutmegdale_replica::handle;

/// Timeout of the call to the leader, below one second, after which servers try another
/// coordinator.
const CLAIM_TIMEOUT_MS: clock::Millis = clock::Millis(900);

impl operations::Operations {
    /// Passes an announcement that the registry overrules to the leader.
    ///
    /// # Errors
    ///
    /// As [`operations::Operations::propose`].
    pub(crate) async fn submit_claim(
        &self,
        announcement: server::Announcement,
    ) -> operations::Result<()> {
        let answer = match self.weigh_claim(&announcement).await {
            Err(handle::ProposeError::NotLeader {
                leader: Some(leader),
            }) => {
                let client = &self.client;
                let answer =
                    client.call_compact(leader, calls::CLAIM, &announcement, CLAIM_TIMEOUT_MS);
                answer
                    .await
                    .map_err(|err| operations::Error::Unavailable(err.to_string()))?
            }
            answer => calls::Answer::from_result(answer),
        };
        answer.into_result().map(drop)
    }

    /// Weighs an announcement as the leader, and commits it once it is proven.
    ///
    /// # Errors
    ///
    /// `Unknown` also for the notice of a server that it leaves, while it is not proven.
    pub(crate) async fn weigh_claim(
        &self,
        announcement: &server::Announcement,
    ) -> Result<Vec<u8>, handle::ProposeError> {
        let status = self.handle.status();
        if status.leader != Some(status.id) {
            let leader = status.leader.and_then(|id| status.members.get(id));
            let leader = leader.map(|member| member.address);
            return Err(handle::ProposeError::NotLeader { leader });
        }
        let claim = self.shared.read(|state| state.claim(announcement));
        let proven = claim.filter(|claim| self.is_proven(status.term.0, claim));
        let Some(claim) = proven else {
            // A server that was told that its notice was accepted would not send it again.
            if announcement.state == server::State::Draining {
                return Err(handle::ProposeError::Unknown);
            }
            let reply = rmp_serde::to_vec(&state::Reply::Done);
            return Ok(reply.expect("a reply can be encoded"));
        };
        let rivals: Vec<_> = claim.rivals.iter().map(|(id, _)| id.as_str()).collect();
        let rivals = rivals.join(",");
        let cmd = state::Command::Readmit(claim);
        let body = rmp_serde::to_vec(&cmd).expect("a command can be encoded");
        let reply = self.propose_local(body).await;
        if let Some(suppressed) = self.announcement_lines.admit(self.clock.now()) {
            slog::warn!(self.log, "overruled server recorded"; "server" => &announcement.id,
                "born" => announcement.born, "state" => ?announcement.state, "silent" => rivals,
                "is_accepted" => reply.is_ok(), "suppressed" => suppressed);
        }
        reply
    }

    fn is_proven(&self, term: u64, claim: &claim::Claim) -> bool {
        let now = self.clock.now();
        let mut soft = self.soft_state();
        let heard = claim.rivals.iter();
        let heard = heard.filter_map(|(id, _)| soft.last_announced.get(id).copied());
        let heard_at = heard.max();
        soft.claims.observe(now, term, claim, heard_at)
    }
}

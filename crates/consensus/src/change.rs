//! Membership changes, one member at a time.

use crate::actions;
use crate::input;
use crate::node;
use crate::types;

impl node::Node {
    /// Appends a member set that differs by one member from the current one.
    ///
    /// Any quorum of the old set overlaps any quorum of the new one, provided that the old set is
    /// committed and that this leader has committed an entry of its own term.
    pub(crate) fn change_members(
        &mut self,
        change: input::MemberChange,
        actions: &mut actions::Actions,
    ) -> input::Response {
        match self.next_member_set(change) {
            Ok(set) => self.append_payload(types::Payload::Members(set), actions),
            Err(refusal) => input::Response::Refused(refusal),
        }
    }

    fn check_change_allowed(&self) -> Result<(), input::Refusal> {
        let Some(state) = &self.leader_state else {
            return Err(input::Refusal::NotLeader);
        };
        if state.transfer.is_some() || self.commit < state.term_start {
            return Err(input::Refusal::NotReady);
        }
        if self.commit < self.members.current_index() {
            return Err(input::Refusal::ChangePending);
        }
        Ok(())
    }

    fn next_member_set(
        &mut self,
        change: input::MemberChange,
    ) -> Result<types::MemberSet, input::Refusal> {
        self.check_change_allowed()?;
        let mut set = self.members().clone();
        match change {
            input::MemberChange::Admit(member) => {
                if set.get(member.id).is_some() {
                    return Err(input::Refusal::AlreadyMember);
                }
                set.put(types::Member {
                    is_voter: false,
                    ..member
                });
            }
            input::MemberChange::Promote(id) => {
                let mut member = set.get(id).ok_or(input::Refusal::NotMember)?.clone();
                if member.is_voter {
                    return Err(input::Refusal::AlreadyMember);
                }
                self.clear_suspect(id)?;
                member.is_voter = true;
                set.put(member);
            }
            input::MemberChange::Demote(id) => {
                set.get(id).ok_or(input::Refusal::NotMember)?;
                if !set.is_voter(id) {
                    return Err(input::Refusal::NotVoter);
                }
                set.demote(id);
            }
            input::MemberChange::Remove(id) => {
                set.get(id).ok_or(input::Refusal::NotMember)?;
                set.remove(id);
            }
        }
        if set.voters().next().is_none() {
            return Err(input::Refusal::LastVoter);
        }
        Ok(set)
    }

    fn clear_suspect(&mut self, id: types::ReplicaId) -> Result<(), input::Refusal> {
        let commit = self.commit;
        let state = self
            .leader_state
            .as_mut()
            .ok_or(input::Refusal::NotLeader)?;
        let progress = state.progress.get_mut(&id);
        match progress.filter(|p| p.matched >= commit) {
            Some(progress) => {
                progress.is_suspect = false;
                Ok(())
            }
            None => Err(input::Refusal::NotCaughtUp),
        }
    }

    /// Demotes a suspect voter to a learner in the log, so that later leaders do not count it
    /// towards a quorum either.
    pub(crate) fn demote_suspect(&mut self, actions: &mut actions::Actions) {
        if self.check_change_allowed().is_err() {
            return;
        }
        let Some(state) = &self.leader_state else {
            return;
        };
        let is_suspect =
            |id: &types::ReplicaId| state.progress.get(id).is_some_and(|p| p.is_suspect);
        let Some(id) = self.members().voters().find(is_suspect) else {
            return;
        };
        let mut set = self.members().clone();
        set.demote(id);
        self.append_payload(types::Payload::Members(set), actions);
    }
}

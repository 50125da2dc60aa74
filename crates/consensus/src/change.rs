//! Changes of members, one at a time.

use crate::actions;
use crate::input;
use crate::node;
use crate::types;

impl node::Node {
    /// Appends a set that differs by one member from the one in force.
    ///
    /// Any quorum of the old set meets any quorum of the new one, provided that the old set is
    /// committed and that this leader has committed an entry of its own term.
    pub(crate) fn change(
        &mut self,
        change: input::MemberChange,
        actions: &mut actions::Actions,
    ) -> input::Answer {
        match self.changed(change) {
            Ok(set) => self.append_payload(types::Payload::Members(set), actions),
            Err(refusal) => input::Answer::Refused(refusal),
        }
    }

    fn may_change(&self) -> Result<(), input::Refusal> {
        let Some(lead) = &self.lead else {
            return Err(input::Refusal::NotLeader);
        };
        if lead.transfer.is_some() || self.commit < lead.start {
            return Err(input::Refusal::NotReady);
        }
        if self.commit < self.members.since() {
            return Err(input::Refusal::ChangePending);
        }
        Ok(())
    }

    fn changed(&mut self, change: input::MemberChange) -> Result<types::MemberSet, input::Refusal> {
        self.may_change()?;
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
                self.readmit(id)?;
                member.is_voter = true;
                set.put(member);
            }
            input::MemberChange::Remove(id) => {
                set.get(id).ok_or(input::Refusal::NotMember)?;
                set.remove(id);
                if set.voters().next().is_none() {
                    return Err(input::Refusal::LastVoter);
                }
            }
        }
        Ok(set)
    }

    fn readmit(&mut self, id: types::ReplicaId) -> Result<(), input::Refusal> {
        let commit = self.commit;
        let lead = self.lead.as_mut().ok_or(input::Refusal::NotLeader)?;
        let progress = lead.progress.get_mut(&id);
        match progress.filter(|p| p.matched >= commit) {
            Some(progress) => {
                progress.is_suspect = false;
                Ok(())
            }
            None => Err(input::Refusal::NotCaughtUp),
        }
    }

    /// Makes a voter that acknowledged less than before a learner, so that later leaders do not
    /// count it either.
    pub(crate) fn demote_suspect(&mut self, actions: &mut actions::Actions) {
        if self.may_change().is_err() {
            return;
        }
        let Some(lead) = &self.lead else {
            return;
        };
        let is_suspect =
            |id: &types::ReplicaId| lead.progress.get(id).is_some_and(|p| p.is_suspect);
        let Some(id) = self.members().voters().find(is_suspect) else {
            return;
        };
        let mut set = self.members().clone();
        for member in set.members.iter_mut().filter(|m| m.id == id) {
            member.is_voter = false;
        }
        self.append_payload(types::Payload::Members(set), actions);
    }
}

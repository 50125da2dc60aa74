//! Elections: pre-vote, vote and the change of term.

use crate::actions;
use crate::node;
use crate::status;
use crate::types;
use nutmegdale_base::clock;

impl node::Node {
    /// Sets the point of the next election after the start; a sole voter need not wait for others.
    pub(crate) fn settle(&mut self) {
        self.set_deadline(self.cfg.leaderless_election_ms);
        if self.members().voters().eq([self.id]) {
            self.deadline = self.now;
        }
    }

    pub(crate) fn reset_deadline(&mut self) {
        self.set_deadline(self.cfg.election_ms);
    }

    fn set_deadline(&mut self, shortest: clock::Millis) {
        let wait_ms = shortest.0 + self.rng.below(shortest.0.max(1));
        self.deadline = self.now + clock::Millis(wait_ms);
    }

    /// Returns whether a leader was heard so recently that an election would only disturb it.
    pub(crate) fn hears_leader(&self) -> bool {
        if let Some(lead) = &self.lead {
            return self.now.since(lead.contact_at) < self.cfg.election_ms;
        }
        let is_recent = |at| self.now.since(at) < self.cfg.election_ms;
        self.leader.is_some() && self.heard_at.is_some_and(is_recent)
    }

    pub(crate) fn tick_election(&mut self, actions: &mut actions::Actions) {
        self.set_deadline(self.cfg.leaderless_election_ms);
        if !self.members().is_voter(self.id) {
            return;
        }
        self.leader = None;
        self.role = status::Role::PreCandidate;
        self.ask_for_votes(actions);
    }

    pub(crate) fn campaign(&mut self, is_transfer: bool, actions: &mut actions::Actions) {
        self.hard.term.0 += 1;
        self.hard.voted_for = Some(self.id);
        actions.hard_state = Some(self.hard);
        self.leader = None;
        self.is_transfer = is_transfer;
        self.role = status::Role::Candidate;
        self.set_deadline(self.cfg.leaderless_election_ms);
        self.ask_for_votes(actions);
    }

    fn ask_for_votes(&mut self, actions: &mut actions::Actions) {
        let is_pre_vote = self.role == status::Role::PreCandidate;
        self.votes.clear();
        let term = types::Term(self.hard.term.0 + u64::from(is_pre_vote));
        for to in self.members().voters().filter(|id| *id != self.id) {
            let message = types::Message::RequestVote {
                is_pre_vote,
                last_index: self.log.last(),
                last_term: self.log.last_term(),
                is_transfer: self.is_transfer && !is_pre_vote,
            };
            self.send_in_term(to, term, message, actions);
        }
        self.count_vote(self.id, true, actions);
    }

    fn count_vote(
        &mut self,
        from: types::ReplicaId,
        is_granted: bool,
        actions: &mut actions::Actions,
    ) {
        self.votes.insert(from, is_granted);
        let granted = |id: &types::ReplicaId| self.votes.get(id) == Some(&true);
        let count = self.members().voters().filter(granted).count();
        if count < self.members().quorum_count() {
            return;
        }
        match self.role {
            status::Role::PreCandidate => self.campaign(false, actions),
            status::Role::Candidate => self.become_leader(actions),
            _ => {}
        }
    }

    pub(crate) fn become_follower(
        &mut self,
        term: types::Term,
        leader: Option<types::ReplicaId>,
        actions: &mut actions::Actions,
    ) {
        if self.lead.take().is_some() {
            actions.is_lead_lost = true;
            actions.confirmed_reads.clear();
            self.reset_deadline();
        }
        if term > self.hard.term {
            self.hard = types::HardState {
                term,
                voted_for: None,
            };
            actions.hard_state = Some(self.hard);
        }
        self.role = status::Role::Follower;
        self.leader = leader;
        self.is_transfer = false;
        self.votes.clear();
    }

    pub(crate) fn on_message(&mut self, env: &types::Envelope, actions: &mut actions::Actions) {
        if env.to != self.id || env.group != self.group {
            return;
        }
        let is_election = matches!(
            env.message,
            types::Message::RequestVote { .. }
                | types::Message::Vote { .. }
                | types::Message::TimeoutNow
        );
        if is_election && self.is_blank() {
            return;
        }
        if env.term < self.hard.term {
            return self.answer_stale(env, actions);
        }
        if env.term > self.hard.term && !self.follow_term(env, actions) {
            return;
        }
        self.dispatch(env, actions);
    }

    fn answer_stale(&mut self, env: &types::Envelope, actions: &mut actions::Actions) {
        match &env.message {
            types::Message::Append { .. } | types::Message::InstallSnapshot { .. } => {
                let message = types::Message::Appended {
                    is_accepted: false,
                    index: self.commit,
                    last_index: self.log.last(),
                    // The round belongs to an earlier term, so the answer counts for none.
                    round: 0,
                };
                self.send(env.from, message, actions);
            }
            types::Message::RequestVote { is_pre_vote, .. } => {
                let message = types::Message::Vote {
                    is_pre_vote: *is_pre_vote,
                    is_granted: false,
                };
                self.send(env.from, message, actions);
            }
            _ => {}
        }
    }

    /// Takes up a newer term; returns whether the message is to be dispatched.
    fn follow_term(&mut self, env: &types::Envelope, actions: &mut actions::Actions) -> bool {
        match &env.message {
            types::Message::RequestVote {
                is_pre_vote: true, ..
            }
            | types::Message::Vote {
                is_pre_vote: true,
                is_granted: true,
            } => {}
            types::Message::RequestVote {
                is_transfer: false, ..
            } if self.hears_leader() => return false,
            types::Message::Append { .. } | types::Message::InstallSnapshot { .. } => {
                self.become_follower(env.term, Some(env.from), actions);
            }
            _ => self.become_follower(env.term, None, actions),
        }
        true
    }

    fn dispatch(&mut self, env: &types::Envelope, actions: &mut actions::Actions) {
        match &env.message {
            types::Message::RequestVote {
                is_pre_vote,
                last_index,
                last_term,
                ..
            } => {
                let is_newer = (*last_term, *last_index) >= (self.log.last_term(), self.log.last());
                self.on_request_vote(env, *is_pre_vote, is_newer, actions);
            }
            types::Message::Vote {
                is_pre_vote,
                is_granted,
            } => self.on_vote(env, *is_pre_vote, *is_granted, actions),
            types::Message::Append { .. } => self.on_append(env, actions),
            types::Message::InstallSnapshot { .. } => self.on_snapshot(env, actions),
            types::Message::Appended { .. } | types::Message::SnapshotReceived { .. } => {
                self.on_acknowledged(env, actions);
            }
            types::Message::TimeoutNow => {
                if self.lead.is_none() && self.members().is_voter(self.id) {
                    self.campaign(true, actions);
                }
            }
        }
    }

    fn on_request_vote(
        &mut self,
        env: &types::Envelope,
        is_pre_vote: bool,
        is_newer: bool,
        actions: &mut actions::Actions,
    ) {
        let is_granted = if is_pre_vote {
            is_newer && env.term > self.hard.term && !self.hears_leader()
        } else {
            let voted_for = self.hard.voted_for;
            let is_free = voted_for.is_none_or(|id| id == env.from) && self.lead.is_none();
            is_newer && is_free && (voted_for.is_some() || self.leader.is_none())
        };
        if is_granted && !is_pre_vote {
            self.hard.voted_for = Some(env.from);
            actions.hard_state = Some(self.hard);
            self.reset_deadline();
        }
        let message = types::Message::Vote {
            is_pre_vote,
            is_granted,
        };
        // A granted pre-vote names the term asked about, since the voter has not entered it.
        let term = if is_granted { env.term } else { self.hard.term };
        self.send_in_term(env.from, term, message, actions);
    }

    fn on_vote(
        &mut self,
        env: &types::Envelope,
        is_pre_vote: bool,
        is_granted: bool,
        actions: &mut actions::Actions,
    ) {
        let is_expected = match self.role {
            status::Role::PreCandidate => {
                is_pre_vote && (!is_granted || env.term.0 == self.hard.term.0 + 1)
            }
            status::Role::Candidate => !is_pre_vote && env.term == self.hard.term,
            _ => false,
        };
        if is_expected {
            self.count_vote(env.from, is_granted, actions);
        }
    }
}

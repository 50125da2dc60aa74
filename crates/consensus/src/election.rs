//! Elections: pre-votes, votes and term changes.

use crate::actions;
use crate::node;
use crate::status;
use crate::types;
use nutmegdale_base::clock;

impl node::Node {
    /// Schedules the first election after a start; a sole voter starts it at once.
    pub(crate) fn init_election_deadline(&mut self) {
        self.set_election_deadline(self.cfg.leaderless_election_ms);
        if self.members().voters().eq([self.id]) {
            self.election_deadline = self.now;
        }
    }

    pub(crate) fn reset_election_deadline(&mut self) {
        self.set_election_deadline(self.cfg.election_ms);
    }

    fn set_election_deadline(&mut self, min_wait: clock::Millis) {
        let wait_ms = min_wait.0 + self.rng.below(min_wait.0.max(1));
        self.election_deadline = self.now + clock::Millis(wait_ms);
    }

    /// Returns whether a leader was in contact within the election timeout, so that an election
    /// would only disrupt it.
    pub(crate) fn has_recent_leader(&self) -> bool {
        if let Some(state) = &self.leader_state {
            return self.now.since(state.quorum_contact_at) < self.cfg.election_ms;
        }
        let is_recent = |at| self.now.since(at) < self.cfg.election_ms;
        self.leader_id.is_some() && self.leader_contact_at.is_some_and(is_recent)
    }

    pub(crate) fn tick_election(&mut self, actions: &mut actions::Actions) {
        self.set_election_deadline(self.cfg.leaderless_election_ms);
        if !self.members().is_voter(self.id) {
            return;
        }
        self.leader_id = None;
        self.role = status::Role::PreCandidate;
        self.request_votes(actions);
    }

    pub(crate) fn campaign(&mut self, is_transfer: bool, actions: &mut actions::Actions) {
        self.hard_state.term.0 += 1;
        self.hard_state.voted_for = Some(self.id);
        actions.hard_state = Some(self.hard_state);
        self.leader_id = None;
        self.is_transfer_campaign = is_transfer;
        self.role = status::Role::Candidate;
        self.set_election_deadline(self.cfg.leaderless_election_ms);
        self.request_votes(actions);
    }

    fn request_votes(&mut self, actions: &mut actions::Actions) {
        let is_pre_vote = self.role == status::Role::PreCandidate;
        self.votes.clear();
        let term = types::Term(self.hard_state.term.0 + u64::from(is_pre_vote));
        for to in self.members().voters().filter(|id| *id != self.id) {
            let message = types::Message::RequestVote {
                is_pre_vote,
                last_index: self.log.last(),
                last_term: self.log.last_term(),
                is_transfer: self.is_transfer_campaign && !is_pre_vote,
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
        leader_id: Option<types::ReplicaId>,
        actions: &mut actions::Actions,
    ) {
        if self.leader_state.take().is_some() {
            actions.is_leadership_lost = true;
            actions.confirmed_reads.clear();
            self.reset_election_deadline();
        }
        if term > self.hard_state.term {
            self.hard_state = types::HardState {
                term,
                voted_for: None,
            };
            actions.hard_state = Some(self.hard_state);
        }
        self.role = status::Role::Follower;
        self.leader_id = leader_id;
        self.is_transfer_campaign = false;
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
        if env.term < self.hard_state.term {
            return self.reject_stale(env, actions);
        }
        if env.term > self.hard_state.term && !self.handle_newer_term(env, actions) {
            return;
        }
        self.dispatch(env, actions);
    }

    fn reject_stale(&mut self, env: &types::Envelope, actions: &mut actions::Actions) {
        match &env.message {
            types::Message::Append { .. } | types::Message::InstallSnapshot { .. } => {
                let message = types::Message::Appended {
                    is_accepted: false,
                    index: self.commit,
                    last_index: self.log.last(),
                    // Rounds are numbered per term. 0 keeps the sender from taking this response
                    // for one to a round of its current term.
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

    /// Processes the newer term of a message; returns whether to dispatch the message.
    fn handle_newer_term(&mut self, env: &types::Envelope, actions: &mut actions::Actions) -> bool {
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
            } if self.has_recent_leader() => return false,
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
                let is_up_to_date =
                    (*last_term, *last_index) >= (self.log.last_term(), self.log.last());
                self.on_request_vote(env, *is_pre_vote, is_up_to_date, actions);
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
                if self.leader_state.is_none() && self.members().is_voter(self.id) {
                    self.campaign(true, actions);
                }
            }
        }
    }

    fn on_request_vote(
        &mut self,
        env: &types::Envelope,
        is_pre_vote: bool,
        is_up_to_date: bool,
        actions: &mut actions::Actions,
    ) {
        let is_granted = if is_pre_vote {
            is_up_to_date && env.term > self.hard_state.term && !self.has_recent_leader()
        } else {
            let voted_for = self.hard_state.voted_for;
            let can_vote = voted_for.is_none_or(|id| id == env.from) && self.leader_state.is_none();
            is_up_to_date && can_vote && (voted_for.is_some() || self.leader_id.is_none())
        };
        if is_granted && !is_pre_vote {
            self.hard_state.voted_for = Some(env.from);
            actions.hard_state = Some(self.hard_state);
            self.reset_election_deadline();
        }
        let message = types::Message::Vote {
            is_pre_vote,
            is_granted,
        };
        // A granted pre-vote carries the requested term, which the voter has not entered.
        let term = if is_granted {
            env.term
        } else {
            self.hard_state.term
        };
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
                is_pre_vote && (!is_granted || env.term.0 == self.hard_state.term.0 + 1)
            }
            status::Role::Candidate => !is_pre_vote && env.term == self.hard_state.term,
            _ => false,
        };
        if is_expected {
            self.count_vote(env.from, is_granted, actions);
        }
    }
}

//! State machine of one replica: its state, the step function and the status.

use crate::actions;
use crate::config;
use crate::input;
use crate::leader;
use crate::log;
use crate::members;
use crate::progress;
use crate::status;
use crate::types;
use nutmegdale_base::{clock, rng};
use std::collections;

/// Replica of a group.
///
/// Invariants: `applied <= commit <= last`; the term never decreases; the replica votes at most
/// once in a term; entries up to `commit` never change.
#[allow(missing_debug_implementations)] // Holds a trait object.
pub struct Node {
    pub(crate) cfg: config::Config,
    pub(crate) group: String,
    pub(crate) id: types::ReplicaId,
    pub(crate) rng: Box<dyn rng::Rng>,
    pub(crate) now: clock::Millis,
    pub(crate) hard_state: types::HardState,
    pub(crate) role: status::Role,
    pub(crate) leader_id: Option<types::ReplicaId>,
    pub(crate) log: log::Log,
    pub(crate) snapshot: Option<types::Snapshot>,
    pub(crate) members: members::MemberHistory,
    pub(crate) commit: types::Index,
    pub(crate) applied: types::Index,
    /// Time at which a follower starts an election.
    pub(crate) election_deadline: clock::Millis,
    pub(crate) leader_contact_at: Option<clock::Millis>,
    /// Votes received in the current election or pre-vote.
    pub(crate) votes: collections::BTreeMap<types::ReplicaId, bool>,
    /// Whether the current election was requested by the previous leader.
    pub(crate) is_transfer_campaign: bool,
    pub(crate) leader_state: Option<leader::LeaderState>,
    /// Snapshot of which some parts have been received.
    pub(crate) incoming_snapshot: Option<types::Snapshot>,
}

impl Node {
    /// Creates a replica from its recovered state.
    pub fn new(
        cfg: config::Config,
        group: &str,
        id: types::ReplicaId,
        recovered: types::Recovered,
        rng: Box<dyn rng::Rng>,
        now: clock::Millis,
    ) -> Node {
        let (base, base_term) = match &recovered.snapshot {
            Some(snapshot) => (snapshot.index, snapshot.term),
            None => (types::Index(0), types::Term(0)),
        };
        let mut node = Node {
            cfg,
            group: group.to_owned(),
            id,
            rng,
            now,
            hard_state: recovered.hard_state,
            role: status::Role::Follower,
            leader_id: None,
            log: log::Log::new(base, base_term),
            snapshot: None,
            members: members::MemberHistory::default(),
            commit: base,
            applied: base,
            election_deadline: now,
            leader_contact_at: None,
            votes: collections::BTreeMap::new(),
            is_transfer_campaign: false,
            leader_state: None,
            incoming_snapshot: None,
        };
        if let Some(snapshot) = recovered.snapshot {
            node.members.reset(snapshot.index, snapshot.members.clone());
            node.snapshot = Some(snapshot);
        }
        for entry in recovered.entries {
            node.push_entry(entry);
        }
        node.init_election_deadline();
        node
    }

    /// Processes one input and adds to `actions` what the driver must do.
    ///
    /// Actions accumulate, so a driver may step several inputs before it carries them out; it ends
    /// the batch with [`input::Input::Tick`].
    pub fn step(
        &mut self,
        now: clock::Millis,
        input: input::Input<'_>,
        actions: &mut actions::Actions,
    ) -> input::Response {
        self.now = self.now.max(now);
        // A leader whose process was paused must step down before it processes queued inputs.
        self.check_quorum(actions);
        let response = match input {
            input::Input::Tick => {
                self.tick(actions);
                input::Response::Done
            }
            input::Input::Message(env) => {
                self.on_message(env, actions);
                input::Response::Done
            }
            input::Input::Propose(cmd) => self.propose(cmd, actions),
            input::Input::Read(read_id) => self.read(read_id),
            input::Input::Change(change) => self.change_members(change, actions),
            input::Input::Bootstrap { set, is_last } => self.bootstrap(set, is_last, actions),
            input::Input::Compact(snapshot) => {
                self.compact(snapshot);
                input::Response::Done
            }
            input::Input::Transfer => self.transfer(),
        };
        self.emit_committed(actions);
        response
    }

    fn tick(&mut self, actions: &mut actions::Actions) {
        if self.leader_state.is_some() {
            self.tick_leader(actions);
        } else if self.now >= self.election_deadline {
            self.tick_election(actions);
        }
    }

    /// Returns the time at which the next [`input::Input::Tick`] is due.
    pub fn next_tick(&self) -> clock::Millis {
        match &self.leader_state {
            Some(state) => state.next_tick(&self.cfg),
            None => self.election_deadline,
        }
    }

    fn bootstrap(
        &mut self,
        set: &types::MemberSet,
        is_last: bool,
        actions: &mut actions::Actions,
    ) -> input::Response {
        let is_blank = self.is_blank() && self.log.last() == types::Index(0);
        if !is_blank || self.hard_state != types::HardState::default() {
            return input::Response::Refused(input::Refusal::NotBlank);
        }
        if !set.is_voter(self.id) {
            return input::Response::Refused(input::Refusal::NotListed);
        }
        self.hard_state.term = types::Term(1);
        actions.hard_state = Some(self.hard_state);
        let entry = types::LogEntry {
            term: types::Term(1),
            index: types::Index(1),
            payload: types::Payload::Members(set.clone()),
        };
        self.append(entry, actions);
        self.init_election_deadline();
        if is_last {
            self.election_deadline = self.now;
        }
        input::Response::Done
    }

    fn compact(&mut self, snapshot: types::Snapshot) {
        assert!(
            snapshot.index <= self.applied,
            "snapshot at {:?} is ahead of the last applied index {:?}",
            snapshot.index,
            self.applied
        );
        let retained_count = self.cfg.tail_max_count;
        let last_dropped = types::Index(snapshot.index.0.saturating_sub(retained_count));
        self.log.compact_to(last_dropped);
        self.members.compact_to(snapshot.index);
        self.snapshot = Some(snapshot);
    }

    /// Returns a snapshot of `state` at the last applied index, or `None` if nothing was applied
    /// since the last snapshot.
    pub fn snapshot_of(&self, state: Vec<u8>) -> Option<types::Snapshot> {
        let newest = self.snapshot.as_ref().map_or(types::Index(0), |s| s.index);
        if self.applied <= newest {
            return None;
        }
        Some(types::Snapshot {
            index: self.applied,
            term: self.log.term_at(self.applied)?,
            members: self.members.at(self.applied).clone(),
            state,
        })
    }

    /// Returns whether this replica does not belong to a group yet. Such a replica neither votes
    /// nor starts elections.
    pub fn is_blank(&self) -> bool {
        self.members.current().members.is_empty()
    }

    /// Returns the members currently in effect, committed or not.
    pub fn members(&self) -> &types::MemberSet {
        self.members.current()
    }

    /// Returns the status, including the progress of the members if this replica leads.
    pub fn status(&self) -> status::Status {
        let role = match self.role {
            status::Role::Follower if self.is_blank() => status::Role::Blank,
            status::Role::Follower if !self.members().is_voter(self.id) => status::Role::Learner,
            role => role,
        };
        let members = self.members().members.iter();
        let progress = members.filter_map(|m| self.progress_of(m.id)).collect();
        status::Status {
            group: self.group.clone(),
            id: self.id,
            role,
            term: self.hard_state.term,
            leader: self.leader_id,
            commit: self.commit,
            applied: self.applied,
            last: self.log.last(),
            members: self.members().clone(),
            committed_members: self.committed_members(),
            progress,
            is_repaired: self.is_repaired(),
            quorum_contact_at: self.quorum_contact_at(),
        }
    }

    /// Returns the members as last committed, if those in effect are not committed yet.
    fn committed_members(&self) -> Option<types::MemberSet> {
        let is_pending = self.commit < self.members.current_index();
        is_pending.then(|| self.members.at(self.commit).clone())
    }

    /// Returns the start of the newest round that a quorum answered, once this replica knows what
    /// earlier leaders committed.
    fn quorum_contact_at(&self) -> Option<clock::Millis> {
        let state = self.leader_state.as_ref()?;
        (self.commit >= state.term_start).then_some(state.quorum_contact_at)
    }

    fn progress_of(&self, id: types::ReplicaId) -> Option<status::MemberProgress> {
        let state = self.leader_state.as_ref()?;
        if id == self.id {
            return Some(status::MemberProgress {
                id,
                matched: self.log.last(),
                is_reached: true,
                is_caught_up: true,
                is_suspect: false,
            });
        }
        let progress = state.progress.get(&id)?;
        Some(status::MemberProgress {
            id,
            matched: progress.matched,
            is_reached: state.is_reached(progress),
            is_caught_up: progress.matched >= self.commit,
            is_suspect: progress.is_suspect,
        })
    }

    fn is_repaired(&self) -> Option<bool> {
        let state = self.leader_state.as_ref()?;
        let members_index = self.members.current_index();
        let is_voter_repaired = |id: types::ReplicaId| {
            let progress = state.progress.get(&id);
            id == self.id || progress.is_some_and(|p| !p.is_suspect && p.matched >= members_index)
        };
        Some(self.commit >= members_index && self.members().voters().all(is_voter_repaired))
    }

    /// Adds an entry to the log in memory; a member set takes effect at once.
    pub(crate) fn push_entry(&mut self, entry: types::LogEntry) {
        if let types::Payload::Members(set) = &entry.payload {
            self.members.push(entry.index, set.clone());
        }
        self.log.push(entry);
    }

    /// Adds an entry to the log and to the entries that the driver must persist.
    pub(crate) fn append(&mut self, entry: types::LogEntry, actions: &mut actions::Actions) {
        actions.entries.push(entry.clone());
        self.push_entry(entry);
    }

    pub(crate) fn truncate_from(&mut self, index: types::Index) {
        assert!(
            index > self.commit,
            "entry {index:?} cannot be replaced, entries are committed up to {:?}",
            self.commit
        );
        self.log.truncate_from(index);
        self.members.truncate_from(index);
    }

    pub(crate) fn commit_to(&mut self, index: types::Index) {
        self.commit = self.commit.max(index.min(self.log.last()));
    }

    fn emit_committed(&mut self, actions: &mut actions::Actions) {
        while self.applied < self.commit {
            let index = self.applied.next();
            let Some(entry) = self.log.get(index) else {
                return;
            };
            actions.committed.push(entry.clone());
            self.applied = index;
        }
    }

    pub(crate) fn send(
        &self,
        to: types::ReplicaId,
        message: types::Message,
        actions: &mut actions::Actions,
    ) {
        self.send_in_term(to, self.hard_state.term, message, actions);
    }

    pub(crate) fn send_in_term(
        &self,
        to: types::ReplicaId,
        term: types::Term,
        message: types::Message,
        actions: &mut actions::Actions,
    ) {
        actions.messages.push(types::Envelope {
            group: self.group.clone(),
            from: self.id,
            to,
            term,
            message,
        });
    }

    /// Returns all members except this replica.
    pub(crate) fn peers(&self) -> Vec<types::ReplicaId> {
        let members = self.members().members.iter().map(|m| m.id);
        members.filter(|id| *id != self.id).collect()
    }

    pub(crate) fn new_progress(&self) -> progress::Progress {
        progress::Progress::new(self.log.last().next())
    }
}

//! The replica: its state, the step and the status.

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

/// One replica of a group.
///
/// Invariants: `applied <= commit <= last`; the term never falls; at most one vote is given in a
/// term; entries up to `commit` never change.
#[allow(missing_debug_implementations)] // Holds a trait object.
pub struct Node {
    pub(crate) cfg: config::Config,
    pub(crate) group: String,
    pub(crate) id: types::ReplicaId,
    pub(crate) rng: Box<dyn rng::Rng>,
    pub(crate) now: clock::Millis,
    pub(crate) hard: types::HardState,
    pub(crate) role: status::Role,
    pub(crate) leader: Option<types::ReplicaId>,
    pub(crate) log: log::Log,
    pub(crate) snapshot: Option<types::Snapshot>,
    pub(crate) members: members::Members,
    pub(crate) commit: types::Index,
    pub(crate) applied: types::Index,
    /// Point at which a follower starts an election.
    pub(crate) deadline: clock::Millis,
    pub(crate) heard_at: Option<clock::Millis>,
    pub(crate) votes: collections::BTreeMap<types::ReplicaId, bool>,
    pub(crate) is_transfer: bool,
    pub(crate) lead: Option<leader::Lead>,
    pub(crate) incoming: Option<types::Snapshot>,
}

impl Node {
    /// Creates a replica from what its disk holds.
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
            hard: recovered.hard_state,
            role: status::Role::Follower,
            leader: None,
            log: log::Log::new(base, base_term),
            snapshot: None,
            members: members::Members::default(),
            commit: base,
            applied: base,
            deadline: now,
            heard_at: None,
            votes: collections::BTreeMap::new(),
            is_transfer: false,
            lead: None,
            incoming: None,
        };
        if let Some(snapshot) = recovered.snapshot {
            node.members.reset(snapshot.index, snapshot.members.clone());
            node.snapshot = Some(snapshot);
        }
        for entry in recovered.entries {
            node.hold(entry);
        }
        node.settle();
        node
    }

    /// Takes up one input; lists in `actions` what the driver must do.
    ///
    /// Actions accumulate, so a driver may step several inputs before it carries them out; it ends
    /// the batch with [`input::Input::Tick`].
    pub fn step(
        &mut self,
        now: clock::Millis,
        input: input::Input<'_>,
        actions: &mut actions::Actions,
    ) -> input::Answer {
        self.now = self.now.max(now);
        // A leader that was frozen must notice it before it takes up anything that was waiting.
        self.check_quorum(actions);
        let answer = match input {
            input::Input::Tick => {
                self.tick(actions);
                input::Answer::Done
            }
            input::Input::Message(env) => {
                self.on_message(env, actions);
                input::Answer::Done
            }
            input::Input::Propose(cmd) => self.propose(cmd, actions),
            input::Input::Read(number) => self.read(number),
            input::Input::Change(change) => self.change(change, actions),
            input::Input::Bootstrap { set, is_last } => self.bootstrap(set, is_last, actions),
            input::Input::Compact(snapshot) => {
                self.compact(snapshot);
                input::Answer::Done
            }
            input::Input::Transfer => self.transfer(),
        };
        self.emit_committed(actions);
        answer
    }

    fn tick(&mut self, actions: &mut actions::Actions) {
        if self.lead.is_some() {
            self.tick_leader(actions);
        } else if self.now >= self.deadline {
            self.tick_election(actions);
        }
    }

    /// Returns the point at which the next [`input::Input::Tick`] is due.
    pub fn next_tick(&self) -> clock::Millis {
        match &self.lead {
            Some(lead) => lead.next_tick(&self.cfg),
            None => self.deadline,
        }
    }

    fn bootstrap(
        &mut self,
        set: &types::MemberSet,
        is_last: bool,
        actions: &mut actions::Actions,
    ) -> input::Answer {
        let is_blank = self.is_blank() && self.log.last() == types::Index(0);
        if !is_blank || self.hard != types::HardState::default() {
            return input::Answer::Refused(input::Refusal::NotBlank);
        }
        if !set.is_voter(self.id) {
            return input::Answer::Refused(input::Refusal::NotListed);
        }
        self.hard.term = types::Term(1);
        actions.hard_state = Some(self.hard);
        let entry = types::LogEntry {
            term: types::Term(1),
            index: types::Index(1),
            payload: types::Payload::Members(set.clone()),
        };
        self.append(entry, actions);
        self.settle();
        if is_last {
            self.deadline = self.now;
        }
        input::Answer::Done
    }

    fn compact(&mut self, snapshot: types::Snapshot) {
        assert!(
            snapshot.index <= self.applied,
            "snapshot at {:?} covers more than was applied, {:?}",
            snapshot.index,
            self.applied
        );
        let kept = self.cfg.tail_max_count;
        let drop_to = types::Index(snapshot.index.0.saturating_sub(kept));
        self.log.drop_to(drop_to);
        self.members.drop_to(snapshot.index);
        self.snapshot = Some(snapshot);
    }

    /// Returns a snapshot at the last applied index, for the driver to fill with `state`.
    ///
    /// `None` if nothing was applied since the last snapshot.
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

    /// Returns whether this replica belongs to no group yet; such a replica neither votes nor
    /// starts elections.
    pub fn is_blank(&self) -> bool {
        self.members.current().members.is_empty()
    }

    /// Returns the members in force.
    pub fn members(&self) -> &types::MemberSet {
        self.members.current()
    }

    /// Returns the status, with the progress of the members if this replica leads.
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
            term: self.hard.term,
            leader: self.leader,
            commit: self.commit,
            applied: self.applied,
            last: self.log.last(),
            members: self.members().clone(),
            progress,
            is_repaired: self.is_repaired(),
        }
    }

    fn progress_of(&self, id: types::ReplicaId) -> Option<status::MemberProgress> {
        let lead = self.lead.as_ref()?;
        if id == self.id {
            return Some(status::MemberProgress {
                id,
                matched: self.log.last(),
                is_reached: true,
                is_caught_up: true,
                is_suspect: false,
            });
        }
        let progress = lead.progress.get(&id)?;
        Some(status::MemberProgress {
            id,
            matched: progress.matched,
            is_reached: lead.is_reached(progress),
            is_caught_up: progress.matched >= self.commit,
            is_suspect: progress.is_suspect,
        })
    }

    fn is_repaired(&self) -> Option<bool> {
        let lead = self.lead.as_ref()?;
        let since = self.members.since();
        let holds = |id: types::ReplicaId| {
            let progress = lead.progress.get(&id);
            id == self.id || progress.is_some_and(|p| !p.is_suspect && p.matched >= since)
        };
        Some(self.commit >= since && self.members().voters().all(holds))
    }

    pub(crate) fn hold(&mut self, entry: types::LogEntry) {
        if let types::Payload::Members(set) = &entry.payload {
            self.members.push(entry.index, set.clone());
        }
        self.log.push(entry);
    }

    pub(crate) fn append(&mut self, entry: types::LogEntry, actions: &mut actions::Actions) {
        actions.entries.push(entry.clone());
        self.hold(entry);
    }

    pub(crate) fn truncate_from(&mut self, index: types::Index) {
        assert!(
            index > self.commit,
            "entry {index:?} is committed up to {:?} and cannot be replaced",
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
        self.send_in_term(to, self.hard.term, message, actions);
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

    /// Returns the members that a leader replicates to.
    pub(crate) fn peers(&self) -> Vec<types::ReplicaId> {
        let members = self.members().members.iter().map(|m| m.id);
        members.filter(|id| *id != self.id).collect()
    }

    pub(crate) fn new_progress(&self) -> progress::Progress {
        progress::Progress::new(self.log.last().next())
    }
}

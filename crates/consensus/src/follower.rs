//! What a follower does with entries and snapshots.

use crate::actions;
use crate::log;
use crate::node;
use crate::types;

impl node::Node {
    fn hear_leader(&mut self, from: types::ReplicaId, actions: &mut actions::Actions) {
        assert!(self.lead.is_none(), "two leaders in {:?}", self.hard.term);
        if self.leader != Some(from) {
            self.become_follower(self.hard.term, Some(from), actions);
        }
        self.role = crate::status::Role::Follower;
        self.heard_at = Some(self.now);
        self.reset_deadline();
    }

    pub(crate) fn on_append(&mut self, env: &types::Envelope, actions: &mut actions::Actions) {
        let types::Message::Append {
            prev_index,
            prev_term,
            entries,
            commit,
            round,
        } = &env.message
        else {
            return;
        };
        self.hear_leader(env.from, actions);
        if let Some(hint) = self.conflict(*prev_index, *prev_term) {
            return self.acknowledge(env.from, false, hint, *round, actions);
        }
        for entry in entries {
            self.take(entry, actions);
        }
        let matched = types::Index(prev_index.0 + entries.len() as u64).max(self.commit);
        self.commit_to((*commit).min(matched));
        self.acknowledge(env.from, true, matched, *round, actions);
    }

    /// Returns where to go on if the log does not hold the entry before the first one sent.
    fn conflict(&self, index: types::Index, term: types::Term) -> Option<types::Index> {
        if index > self.log.last() {
            return Some(self.log.last());
        }
        // Entries up to `commit` match every later leader's.
        if index <= self.commit || self.log.term_at(index) == Some(term) {
            return None;
        }
        Some(self.log.first_of_term(index).prev().max(self.commit))
    }

    fn take(&mut self, entry: &types::LogEntry, actions: &mut actions::Actions) {
        if entry.index <= self.commit {
            return;
        }
        match self.log.term_at(entry.index) {
            Some(term) if term == entry.term => return,
            Some(_) => self.truncate_from(entry.index),
            None => {}
        }
        self.append(entry.clone(), actions);
    }

    fn acknowledge(
        &self,
        to: types::ReplicaId,
        is_accepted: bool,
        index: types::Index,
        round: u64,
        actions: &mut actions::Actions,
    ) {
        let message = types::Message::Appended {
            is_accepted,
            index,
            last_index: self.log.last(),
            round,
        };
        self.send(to, message, actions);
    }

    pub(crate) fn on_snapshot(&mut self, env: &types::Envelope, actions: &mut actions::Actions) {
        let types::Message::InstallSnapshot {
            snapshot,
            offset,
            is_last,
            round,
        } = &env.message
        else {
            return;
        };
        self.hear_leader(env.from, actions);
        if snapshot.index <= self.commit {
            self.incoming = None;
            return self.acknowledge(env.from, true, self.commit, *round, actions);
        }
        let received_bytes = self.take_part(snapshot, *offset);
        let is_whole = *is_last && received_bytes == *offset + snapshot.state.len() as u64;
        match self.incoming.take() {
            Some(whole) if is_whole => {
                self.install(whole, actions);
                self.acknowledge(env.from, true, self.commit, *round, actions);
            }
            incoming => {
                self.incoming = incoming;
                let message = types::Message::SnapshotReceived {
                    index: snapshot.index,
                    received_bytes,
                    round: *round,
                };
                self.send(env.from, message, actions);
            }
        }
    }

    /// Adds a part if it follows the parts held, and returns the number of bytes held.
    fn take_part(&mut self, part: &types::Snapshot, offset: u64) -> u64 {
        let is_same = |held: &types::Snapshot| (held.index, held.term) == (part.index, part.term);
        if !self.incoming.as_ref().is_some_and(is_same) {
            let state = Vec::new();
            self.incoming = Some(types::Snapshot {
                index: part.index,
                term: part.term,
                members: part.members.clone(),
                state,
            });
        }
        let Some(held) = &mut self.incoming else {
            return 0;
        };
        if held.state.len() as u64 == offset {
            held.state.extend_from_slice(&part.state);
        }
        held.state.len() as u64
    }

    fn install(&mut self, snapshot: types::Snapshot, actions: &mut actions::Actions) {
        if self.log.term_at(snapshot.index) == Some(snapshot.term) {
            self.commit_to(snapshot.index);
            return;
        }
        // What the batch listed so far belongs to the log that the snapshot replaces.
        actions.entries.clear();
        actions.committed.clear();
        self.log = log::Log::new(snapshot.index, snapshot.term);
        self.members.reset(snapshot.index, snapshot.members.clone());
        self.commit = snapshot.index;
        self.applied = snapshot.index;
        actions.snapshot = Some(snapshot.clone());
        self.snapshot = Some(snapshot);
    }
}

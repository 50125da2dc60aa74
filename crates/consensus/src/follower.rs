//! Processing of entries and snapshots by a follower.

use crate::actions;
use crate::log;
use crate::node;
use crate::types;

impl node::Node {
    fn record_leader_contact(&mut self, from: types::ReplicaId, actions: &mut actions::Actions) {
        assert!(
            self.leader_state.is_none(),
            "two leaders in {:?}",
            self.hard_state.term
        );
        if self.leader_id != Some(from) {
            self.become_follower(self.hard_state.term, Some(from), actions);
        }
        self.role = crate::status::Role::Follower;
        self.leader_contact_at = Some(self.now);
        self.reset_election_deadline();
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
        self.record_leader_contact(env.from, actions);
        if let Some(hint) = self.find_conflict(*prev_index, *prev_term) {
            return self.send_appended(env.from, false, hint, *round, actions);
        }
        for entry in entries {
            self.merge_entry(entry, actions);
        }
        let matched = types::Index(prev_index.0 + entries.len() as u64).max(self.commit);
        self.commit_to((*commit).min(matched));
        self.send_appended(env.from, true, matched, *round, actions);
    }

    /// Returns the index after which the leader should retry, if the log does not hold the entry
    /// that precedes the first one sent.
    fn find_conflict(&self, index: types::Index, term: types::Term) -> Option<types::Index> {
        if index > self.log.last() {
            return Some(self.log.last());
        }
        // Committed entries match the log of every later leader.
        if index <= self.commit || self.log.term_at(index) == Some(term) {
            return None;
        }
        Some(self.log.first_of_term(index).prev().max(self.commit))
    }

    /// Appends an entry unless the log holds it already; a conflicting entry and all that follow it
    /// are replaced.
    fn merge_entry(&mut self, entry: &types::LogEntry, actions: &mut actions::Actions) {
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

    fn send_appended(
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
        self.record_leader_contact(env.from, actions);
        if snapshot.index <= self.commit {
            self.incoming_snapshot = None;
            return self.send_appended(env.from, true, self.commit, *round, actions);
        }
        let received_bytes = self.append_snapshot_part(snapshot, *offset);
        let is_complete = *is_last && received_bytes == *offset + snapshot.state.len() as u64;
        match self.incoming_snapshot.take() {
            Some(whole) if is_complete => {
                self.install_snapshot(whole, actions);
                self.send_appended(env.from, true, self.commit, *round, actions);
            }
            incoming_snapshot => {
                self.incoming_snapshot = incoming_snapshot;
                let message = types::Message::SnapshotReceived {
                    index: snapshot.index,
                    received_bytes,
                    round: *round,
                };
                self.send(env.from, message, actions);
            }
        }
    }

    /// Appends a part if it continues the received state; returns the number of bytes received so
    /// far.
    fn append_snapshot_part(&mut self, part: &types::Snapshot, offset: u64) -> u64 {
        let is_same =
            |received: &types::Snapshot| (received.index, received.term) == (part.index, part.term);
        if !self.incoming_snapshot.as_ref().is_some_and(is_same) {
            let state = Vec::new();
            self.incoming_snapshot = Some(types::Snapshot {
                index: part.index,
                term: part.term,
                members: part.members.clone(),
                state,
            });
        }
        let Some(received) = &mut self.incoming_snapshot else {
            return 0;
        };
        if received.state.len() as u64 == offset {
            received.state.extend_from_slice(&part.state);
        }
        received.state.len() as u64
    }

    fn install_snapshot(&mut self, snapshot: types::Snapshot, actions: &mut actions::Actions) {
        if self.log.term_at(snapshot.index) == Some(snapshot.term) {
            self.commit_to(snapshot.index);
            return;
        }
        // Actions listed earlier in this batch belong to the log that the snapshot replaces.
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

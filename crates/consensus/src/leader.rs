//! Leadership: replication, commit, quorum rounds, reads and leadership transfer.

use crate::actions;
use crate::config;
use crate::input;
use crate::node;
use crate::progress;
use crate::status;
use crate::types;
use nutmegdale_base::clock;
use std::collections;

/// State that a replica keeps only while it leads.
#[derive(Debug)]
pub(crate) struct LeaderState {
    pub(crate) progress: collections::BTreeMap<types::ReplicaId, progress::Progress>,
    /// Whether a heartbeat was scheduled to announce the commit of the first entry of this term.
    is_term_start_announced: bool,
    /// Index of the first entry of this term. Once it is committed, so are all entries before it.
    pub(crate) term_start: types::Index,
    pub(crate) round: u64,
    pub(crate) confirmed_round: u64,
    /// Rounds that no quorum has answered yet, with their start times.
    pub(crate) rounds: collections::VecDeque<(u64, clock::Millis)>,
    /// Start of the newest round that a quorum answered. The arrival time of the responses
    /// cannot be used, since they may have been queued while this process was paused.
    pub(crate) quorum_contact_at: clock::Millis,
    pub(crate) next_heartbeat: clock::Millis,
    pub(crate) is_read_round_needed: bool,
    /// Time until which the rate limit of read rounds is used up by those started so far; lies in
    /// the future after a burst.
    pub(crate) read_rounds_charged_until: clock::Millis,
    /// Reads in order of arrival: ID, and the first round that can confirm the read.
    pub(crate) pending_reads: collections::VecDeque<(u64, u64)>,
    /// Target and deadline of a leadership transfer.
    pub(crate) transfer: Option<(types::ReplicaId, clock::Millis)>,
    /// Oldest round whose acknowledgment still counts as recent contact with a follower.
    pub(crate) min_reached_round: u64,
}

impl LeaderState {
    pub(crate) fn is_reached(&self, progress: &progress::Progress) -> bool {
        progress.acked_round > 0 && progress.acked_round >= self.min_reached_round
    }

    /// Returns the time at which pending reads may start a round between heartbeats.
    fn read_round_due(&self, cfg: &config::Config) -> Option<clock::Millis> {
        if !self.is_read_round_needed || self.round != self.confirmed_round {
            return None;
        }
        let burst_ms = cfg.read_round_ms.0 * cfg.read_rounds_burst_count.saturating_sub(1);
        // A single-member group sends no messages, so its reads need no rate limit.
        let is_sole_member = self.progress.is_empty();
        let charged_until_ms = if is_sole_member {
            0
        } else {
            self.read_rounds_charged_until.0
        };
        Some(clock::Millis(charged_until_ms.saturating_sub(burst_ms)))
    }

    /// Returns the time at which the next tick is due.
    pub(crate) fn next_tick(&self, cfg: &config::Config) -> clock::Millis {
        let next = self.read_round_due(cfg).unwrap_or(clock::Millis::MAX);
        next.min(self.next_heartbeat)
    }

    fn start_round(&mut self, now: clock::Millis, heartbeat_ms: clock::Millis) {
        self.round += 1;
        self.rounds.push_back((self.round, now));
        self.is_read_round_needed = false;
        self.next_heartbeat = now + heartbeat_ms;
    }
}

impl node::Node {
    pub(crate) fn become_leader(&mut self, actions: &mut actions::Actions) {
        let peers = self.peers().into_iter();
        let state = LeaderState {
            progress: peers.map(|id| (id, self.new_progress())).collect(),
            term_start: self.log.last().next(),
            is_term_start_announced: false,
            round: 0,
            confirmed_round: 0,
            rounds: collections::VecDeque::new(),
            quorum_contact_at: self.now,
            next_heartbeat: self.now,
            is_read_round_needed: false,
            read_rounds_charged_until: self.now,
            pending_reads: collections::VecDeque::new(),
            transfer: None,
            min_reached_round: 1,
        };
        self.role = status::Role::Leader;
        self.leader_id = Some(self.id);
        self.incoming_snapshot = None;
        self.leader_state = Some(state);
        self.append_payload(types::Payload::Empty, actions);
    }

    /// Steps down if no quorum responded for an election timeout.
    pub(crate) fn check_quorum(&mut self, actions: &mut actions::Actions) {
        let is_sole_voter = self.members().quorum_count() == 1 && self.members().is_voter(self.id);
        let Some(state) = &mut self.leader_state else {
            return;
        };
        if is_sole_voter {
            state.quorum_contact_at = self.now;
        }
        if self.now.since(state.quorum_contact_at) >= self.cfg.election_ms {
            self.become_follower(self.hard_state.term, None, actions);
        }
    }

    pub(crate) fn tick_leader(&mut self, actions: &mut actions::Actions) {
        self.demote_suspect(actions);
        let peers = self.peers();
        let (now, heartbeat_ms) = (self.now, self.cfg.heartbeat_ms);
        let read_round_ms = self.cfg.read_round_ms;
        let next_index = self.log.last().next();
        let timeout_rounds = self.cfg.election_ms.0 / heartbeat_ms.0.max(1);
        let Some(state) = &mut self.leader_state else {
            return;
        };
        if state.transfer.is_some_and(|(_, until)| now >= until) {
            state.transfer = None;
        }
        let is_heartbeat_due = now >= state.next_heartbeat;
        let is_read_round_due = state.read_round_due(&self.cfg).is_some_and(|at| now >= at);
        if is_read_round_due && !is_heartbeat_due {
            state.read_rounds_charged_until =
                state.read_rounds_charged_until.max(now) + read_round_ms;
        }
        if is_heartbeat_due || is_read_round_due {
            state.start_round(now, heartbeat_ms);
        }
        if is_heartbeat_due {
            state.min_reached_round = state.confirmed_round.saturating_sub(timeout_rounds).max(1);
        }
        state.progress.retain(|id, _| peers.contains(id));
        for peer in peers {
            let state = self
                .leader_state
                .as_mut()
                .expect("leads throughout the tick");
            let existing = state.progress.remove(&peer);
            let mut progress = existing.unwrap_or_else(|| progress::Progress::new(next_index));
            self.replicate(
                peer,
                &mut progress,
                is_heartbeat_due || is_read_round_due,
                actions,
            );
            let state = self
                .leader_state
                .as_mut()
                .expect("leads throughout the tick");
            state.progress.insert(peer, progress);
        }
        self.advance_quorum(actions);
        self.finish_transfer(actions);
    }

    fn replicate(
        &self,
        to: types::ReplicaId,
        progress: &mut progress::Progress,
        is_heartbeat: bool,
        actions: &mut actions::Actions,
    ) {
        if self.log.term_at(progress.next.prev()).is_none() {
            self.start_snapshot(progress);
        } else if matches!(progress.mode, progress::Mode::Snapshot { .. }) {
            // A late response showed that the log still holds the entries that the follower needs.
            progress.probe_from(progress.next);
        }
        match progress.mode {
            progress::Mode::Probe => {
                if is_heartbeat || !progress.is_awaiting_ack {
                    progress.is_awaiting_ack = true;
                    self.send_append(to, progress.next, Vec::new(), actions);
                }
            }
            progress::Mode::Replicate => {
                let is_sent = self.send_entries(to, progress, actions);
                if is_heartbeat && !is_sent {
                    self.send_append(to, progress.next, Vec::new(), actions);
                }
            }
            progress::Mode::Snapshot { offset_bytes, .. } => {
                if !progress.is_awaiting_ack {
                    progress.is_awaiting_ack = true;
                    self.send_snapshot_part(
                        to,
                        offset_bytes,
                        self.cfg.snapshot_part_max_bytes,
                        actions,
                    );
                } else if is_heartbeat {
                    // An empty part makes the follower report its offset, in case a part was lost.
                    self.send_snapshot_part(to, offset_bytes, 0, actions);
                }
            }
        }
    }

    fn start_snapshot(&self, progress: &mut progress::Progress) {
        let Some(snapshot) = &self.snapshot else {
            return;
        };
        let is_current = matches!(
            progress.mode,
            progress::Mode::Snapshot { index, .. } if index == snapshot.index
        );
        if !is_current {
            progress.mode = progress::Mode::Snapshot {
                index: snapshot.index,
                offset_bytes: 0,
            };
            progress.is_awaiting_ack = false;
            progress.inflight.clear();
        }
    }

    fn send_entries(
        &self,
        to: types::ReplicaId,
        progress: &mut progress::Progress,
        actions: &mut actions::Actions,
    ) -> bool {
        let mut is_sent = false;
        while progress.next <= self.log.last()
            && progress.inflight.len() < self.cfg.inflight_max_count
        {
            let (count, bytes) = (self.cfg.append_max_count, self.cfg.append_max_bytes);
            let entries = self.log.entries_from(progress.next, count, bytes);
            let first = progress.next;
            progress.next = types::Index(first.0 + entries.len() as u64);
            progress.inflight.push_back(progress.next.prev());
            self.send_append(to, first, entries, actions);
            is_sent = true;
        }
        is_sent
    }

    fn send_append(
        &self,
        to: types::ReplicaId,
        first: types::Index,
        entries: Vec<types::LogEntry>,
        actions: &mut actions::Actions,
    ) {
        let prev_index = first.prev();
        let Some(prev_term) = self.log.term_at(prev_index) else {
            return;
        };
        let message = types::Message::Append {
            prev_index,
            prev_term,
            entries,
            commit: self.commit,
            round: self.leader_state.as_ref().map_or(0, |state| state.round),
        };
        self.send(to, message, actions);
    }

    fn send_snapshot_part(
        &self,
        to: types::ReplicaId,
        offset: u64,
        max_bytes: usize,
        actions: &mut actions::Actions,
    ) {
        let (Some(whole), Some(state)) = (&self.snapshot, &self.leader_state) else {
            return;
        };
        let start = usize::try_from(offset).unwrap_or(usize::MAX);
        let start = start.min(whole.state.len());
        let end = start.saturating_add(max_bytes).min(whole.state.len());
        let snapshot = types::Snapshot {
            index: whole.index,
            term: whole.term,
            members: whole.members.clone(),
            state: whole.state[start..end].to_vec(),
        };
        let message = types::Message::InstallSnapshot {
            snapshot,
            offset,
            is_last: max_bytes > 0 && end == whole.state.len(),
            round: state.round,
        };
        self.send(to, message, actions);
    }

    pub(crate) fn on_acknowledged(
        &mut self,
        env: &types::Envelope,
        actions: &mut actions::Actions,
    ) {
        let Some(state) = &mut self.leader_state else {
            return;
        };
        let current_round = state.round;
        let Some(progress) = state.progress.get_mut(&env.from) else {
            return;
        };
        let (types::Message::Appended { round, .. }
        | types::Message::SnapshotReceived { round, .. }) = env.message
        else {
            return;
        };
        // Only responses to rounds of this term count; see `reject_stale`.
        if round == 0 || round > current_round {
            return;
        }
        match env.message {
            types::Message::Appended {
                is_accepted,
                index,
                last_index,
                round,
            } => {
                if round < progress.min_round {
                    return;
                }
                if round > progress.matched_round && last_index < progress.matched {
                    progress.mark_suspect(current_round + 1);
                    progress.probe_from(last_index.next());
                    return;
                }
                progress.acked_round = progress.acked_round.max(round);
                if is_accepted {
                    progress.record_match(index, current_round);
                } else if (index >= progress.matched || round > progress.matched_round)
                    && !matches!(progress.mode, progress::Mode::Snapshot { .. })
                {
                    progress.probe_from(index.next());
                }
            }
            types::Message::SnapshotReceived {
                index,
                received_bytes,
                round,
            } => {
                progress.acked_round = progress.acked_round.max(round);
                progress.record_received(index, received_bytes);
            }
            _ => {}
        }
        self.advance_quorum(actions);
    }

    /// Commits the entries that a quorum holds, confirms the reads whose round a quorum answered,
    /// and steps down once the removal of this replica is committed.
    fn advance_quorum(&mut self, actions: &mut actions::Actions) {
        let Some(state) = &self.leader_state else {
            return;
        };
        let (id, last, round) = (self.id, self.log.last(), state.round);
        let counted = |peer| state.progress.get(&peer).filter(|p| !p.is_suspect);
        let matched = self.members().quorum_value(|peer| match peer == id {
            true => last,
            false => counted(peer).map_or(types::Index(0), |p| p.matched),
        });
        let confirmed = self.members().quorum_value(|peer| match peer == id {
            true => round,
            false => counted(peer).map_or(0, |p| p.acked_round),
        });
        // Entries of earlier terms are committed only indirectly, by an entry of this term.
        if matched > self.commit && self.log.term_at(matched) == Some(self.hard_state.term) {
            self.commit_to(matched);
            self.announce_term_start();
        }
        self.confirm_rounds(confirmed, actions);
        let is_removed =
            !self.members().is_voter(self.id) && self.commit >= self.members.current_index();
        if is_removed {
            self.become_follower(self.hard_state.term, None, actions);
        }
    }

    /// Schedules an immediate heartbeat when the first entry of the term is committed. Followers
    /// that have just started know no committed entry until they receive it, and serve no
    /// requests until then.
    fn announce_term_start(&mut self) {
        let (now, commit) = (self.now, self.commit);
        if let Some(state) = &mut self.leader_state
            && !state.is_term_start_announced
            && commit >= state.term_start
        {
            state.is_term_start_announced = true;
            state.next_heartbeat = now;
        }
    }

    fn confirm_rounds(&mut self, confirmed: u64, actions: &mut actions::Actions) {
        let commit = self.commit;
        let Some(state) = &mut self.leader_state else {
            return;
        };
        while let Some((round, started_at)) = state.rounds.front().copied()
            && round <= confirmed
        {
            state.quorum_contact_at = state.quorum_contact_at.max(started_at);
            state.confirmed_round = round;
            state.rounds.pop_front();
        }
        // Until the first entry of its term is committed, a leader may not know the last committed
        // index.
        while commit >= state.term_start
            && let Some((read_id, round)) = state.pending_reads.front().copied()
            && round <= state.confirmed_round
        {
            actions.confirmed_reads.push(read_id);
            state.pending_reads.pop_front();
        }
    }

    pub(crate) fn append_payload(
        &mut self,
        payload: types::Payload,
        actions: &mut actions::Actions,
    ) -> input::Response {
        let (term, index) = (self.hard_state.term, self.log.last().next());
        let entry = types::LogEntry {
            term,
            index,
            payload,
        };
        self.append(entry, actions);
        input::Response::Appended { term, index }
    }

    pub(crate) fn propose(
        &mut self,
        cmd: &[u8],
        actions: &mut actions::Actions,
    ) -> input::Response {
        match &self.leader_state {
            Some(state) if state.transfer.is_none() => {}
            _ => return input::Response::Refused(input::Refusal::NotLeader),
        }
        if self.log.last().0 - self.commit.0 >= self.cfg.uncommitted_max_count {
            return input::Response::Refused(input::Refusal::Busy);
        }
        self.append_payload(types::Payload::Command(cmd.to_vec()), actions)
    }

    pub(crate) fn read(&mut self, read_id: u64) -> input::Response {
        let max_count = self.cfg.reads_max_count;
        let Some(state) = &mut self.leader_state else {
            return input::Response::Refused(input::Refusal::NotLeader);
        };
        if state.pending_reads.len() >= max_count {
            return input::Response::Refused(input::Refusal::Busy);
        }
        state.pending_reads.push_back((read_id, state.round + 1));
        state.is_read_round_needed = true;
        input::Response::Done
    }

    pub(crate) fn transfer(&mut self) -> input::Response {
        let until = self.now + self.cfg.election_ms;
        let voters: Vec<_> = self.members().voters().collect();
        let Some(state) = &mut self.leader_state else {
            return input::Response::Refused(input::Refusal::NotLeader);
        };
        let targets = state
            .progress
            .iter()
            .filter(|(id, p)| voters.contains(id) && !p.is_suspect && state.is_reached(p));
        let target = targets.max_by_key(|(_, p)| p.matched).map(|(id, _)| *id);
        state.transfer = target.map(|id| (id, until));
        match target {
            Some(_) => input::Response::Done,
            None => input::Response::Refused(input::Refusal::NotCaughtUp),
        }
    }

    /// Tells the target of a transfer to start an election once its log is complete.
    fn finish_transfer(&mut self, actions: &mut actions::Actions) {
        let Some((to, _)) = self.leader_state.as_ref().and_then(|state| state.transfer) else {
            return;
        };
        let state = self.leader_state.as_ref().expect("leads during a transfer");
        if state
            .progress
            .get(&to)
            .is_some_and(|p| p.matched == self.log.last())
        {
            self.send(to, types::Message::TimeoutNow, actions);
        }
    }
}

//! What a leader does: replication, commit, quorum rounds, reads and changes of members.

use crate::actions;
use crate::config;
use crate::input;
use crate::node;
use crate::progress;
use crate::status;
use crate::types;
use nutmegdale_base::clock;
use std::collections;

/// State that a replica has only while it leads.
#[derive(Debug)]
pub(crate) struct Lead {
    pub(crate) progress: collections::BTreeMap<types::ReplicaId, progress::Progress>,
    /// Whether the commit of the first entry of this term was told.
    is_first_announced: bool,
    /// Index of the first entry of this term; once it is committed, so is all that came before.
    pub(crate) start: types::Index,
    pub(crate) round: u64,
    pub(crate) confirmed_round: u64,
    /// Rounds without a quorum yet, with the time of their start.
    pub(crate) rounds: collections::VecDeque<(u64, clock::Millis)>,
    /// Start of the newest round that a quorum answered. The time of the answer would not do:
    /// answers may have waited while this process was frozen.
    pub(crate) contact_at: clock::Millis,
    pub(crate) heartbeat_at: clock::Millis,
    pub(crate) wants_round: bool,
    /// Point up to which the rounds of reads use up their rate; ahead of the clock after a burst.
    pub(crate) reads_paid_to: clock::Millis,
    pub(crate) reads: collections::VecDeque<(u64, u64)>,
    pub(crate) transfer: Option<(types::ReplicaId, clock::Millis)>,
    /// Oldest round whose answer shows that a follower is reached.
    pub(crate) reached_round: u64,
}

impl Lead {
    pub(crate) fn is_reached(&self, progress: &progress::Progress) -> bool {
        progress.round_acked > 0 && progress.round_acked >= self.reached_round
    }

    /// Returns the point at which waiting reads may start a round of their own.
    fn next_read_round(&self, cfg: &config::Config) -> Option<clock::Millis> {
        if !self.wants_round || self.round != self.confirmed_round {
            return None;
        }
        let ahead_ms = cfg.read_round_ms.0 * cfg.read_rounds_burst_count.saturating_sub(1);
        // A group of one sends nothing, so its reads need no bound.
        let is_free = self.progress.is_empty();
        let paid_to_ms = if is_free { 0 } else { self.reads_paid_to.0 };
        Some(clock::Millis(paid_to_ms.saturating_sub(ahead_ms)))
    }

    /// Returns the point at which something is due.
    pub(crate) fn next_tick(&self, cfg: &config::Config) -> clock::Millis {
        let next = self.next_read_round(cfg).unwrap_or(clock::Millis::MAX);
        next.min(self.heartbeat_at)
    }

    fn start_round(&mut self, now: clock::Millis, heartbeat_ms: clock::Millis) {
        self.round += 1;
        self.rounds.push_back((self.round, now));
        self.wants_round = false;
        self.heartbeat_at = now + heartbeat_ms;
    }
}

impl node::Node {
    pub(crate) fn become_leader(&mut self, actions: &mut actions::Actions) {
        let peers = self.peers().into_iter();
        let lead = Lead {
            progress: peers.map(|id| (id, self.new_progress())).collect(),
            start: self.log.last().next(),
            is_first_announced: false,
            round: 0,
            confirmed_round: 0,
            rounds: collections::VecDeque::new(),
            contact_at: self.now,
            heartbeat_at: self.now,
            wants_round: false,
            reads_paid_to: self.now,
            reads: collections::VecDeque::new(),
            transfer: None,
            reached_round: 1,
        };
        self.role = status::Role::Leader;
        self.leader = Some(self.id);
        self.incoming = None;
        self.lead = Some(lead);
        self.append_payload(types::Payload::Empty, actions);
    }

    /// Steps down if no quorum answered for an election timeout.
    pub(crate) fn check_quorum(&mut self, actions: &mut actions::Actions) {
        let is_alone = self.members().quorum_count() == 1 && self.members().is_voter(self.id);
        let Some(lead) = &mut self.lead else {
            return;
        };
        if is_alone {
            lead.contact_at = self.now;
        }
        if self.now.since(lead.contact_at) >= self.cfg.election_ms {
            self.become_follower(self.hard.term, None, actions);
        }
    }

    pub(crate) fn tick_leader(&mut self, actions: &mut actions::Actions) {
        self.demote_suspect(actions);
        let peers = self.peers();
        let (now, heartbeat_ms) = (self.now, self.cfg.heartbeat_ms);
        let read_round_ms = self.cfg.read_round_ms;
        let next = self.log.last().next();
        let rounds_kept = self.cfg.election_ms.0 / heartbeat_ms.0.max(1);
        let Some(lead) = &mut self.lead else {
            return;
        };
        if lead.transfer.is_some_and(|(_, until)| now >= until) {
            lead.transfer = None;
        }
        let is_due = now >= lead.heartbeat_at;
        let may_start = lead.next_read_round(&self.cfg).is_some_and(|at| now >= at);
        if may_start && !is_due {
            lead.reads_paid_to = lead.reads_paid_to.max(now) + read_round_ms;
        }
        if is_due || may_start {
            lead.start_round(now, heartbeat_ms);
        }
        if is_due {
            lead.reached_round = lead.confirmed_round.saturating_sub(rounds_kept).max(1);
        }
        lead.progress.retain(|id, _| peers.contains(id));
        for peer in peers {
            let lead = self.lead.as_mut().expect("leads throughout the tick");
            let known = lead.progress.remove(&peer);
            let mut progress = known.unwrap_or_else(|| progress::Progress::new(next));
            self.replicate(peer, &mut progress, is_due || may_start, actions);
            let lead = self.lead.as_mut().expect("leads throughout the tick");
            lead.progress.insert(peer, progress);
        }
        self.advance(actions);
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
            // A late answer showed that the log reaches back far enough.
            progress.probe_from(progress.next);
        }
        match progress.mode {
            progress::Mode::Probe => {
                if is_heartbeat || !progress.is_waiting {
                    progress.is_waiting = true;
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
                if !progress.is_waiting {
                    progress.is_waiting = true;
                    self.send_part(to, offset_bytes, self.cfg.snapshot_part_max_bytes, actions);
                } else if is_heartbeat {
                    // Without bytes it asks how far the follower is, in case a part was lost.
                    self.send_part(to, offset_bytes, 0, actions);
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
            progress.is_waiting = false;
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
            let entries = self.log.copy(progress.next, count, bytes);
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
            round: self.lead.as_ref().map_or(0, |lead| lead.round),
        };
        self.send(to, message, actions);
    }

    fn send_part(
        &self,
        to: types::ReplicaId,
        offset: u64,
        max_bytes: usize,
        actions: &mut actions::Actions,
    ) {
        let (Some(whole), Some(lead)) = (&self.snapshot, &self.lead) else {
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
            round: lead.round,
        };
        self.send(to, message, actions);
    }

    pub(crate) fn on_acknowledged(
        &mut self,
        env: &types::Envelope,
        actions: &mut actions::Actions,
    ) {
        let Some(lead) = &mut self.lead else {
            return;
        };
        let current_round = lead.round;
        let Some(progress) = lead.progress.get_mut(&env.from) else {
            return;
        };
        let (types::Message::Appended { round, .. }
        | types::Message::SnapshotReceived { round, .. }) = env.message
        else {
            return;
        };
        // Only answers to messages of this leader's own term count.
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
                if round < progress.round_min {
                    return;
                }
                if round > progress.matched_round && last_index < progress.matched {
                    progress.suspect(current_round + 1);
                    progress.probe_from(last_index.next());
                    return;
                }
                progress.round_acked = progress.round_acked.max(round);
                if is_accepted {
                    progress.accept(index, current_round);
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
                progress.round_acked = progress.round_acked.max(round);
                progress.received(index, received_bytes);
            }
            _ => {}
        }
        self.advance(actions);
    }

    /// Commits what a quorum holds and confirms the reads whose round a quorum answered.
    fn advance(&mut self, actions: &mut actions::Actions) {
        let Some(lead) = &self.lead else {
            return;
        };
        let (id, last, round) = (self.id, self.log.last(), lead.round);
        let counted = |peer| lead.progress.get(&peer).filter(|p| !p.is_suspect);
        let matched = self.members().quorum_value(|peer| match peer == id {
            true => last,
            false => counted(peer).map_or(types::Index(0), |p| p.matched),
        });
        let confirmed = self.members().quorum_value(|peer| match peer == id {
            true => round,
            false => counted(peer).map_or(0, |p| p.round_acked),
        });
        // Entries of earlier terms are committed only through one of this term.
        if matched > self.commit && self.log.term_at(matched) == Some(self.hard.term) {
            self.commit_to(matched);
            self.announce_first_commit();
        }
        self.confirm(confirmed, actions);
        let is_left = !self.members().is_voter(self.id) && self.commit >= self.members.since();
        if is_left {
            self.become_follower(self.hard.term, None, actions);
        }
    }

    /// Makes a heartbeat due once the first entry of the term is committed. Until followers that
    /// have just started hear of it, they know of no committed entry and answer nobody.
    fn announce_first_commit(&mut self) {
        let (now, commit) = (self.now, self.commit);
        if let Some(lead) = &mut self.lead
            && !lead.is_first_announced
            && commit >= lead.start
        {
            lead.is_first_announced = true;
            lead.heartbeat_at = now;
        }
    }

    fn confirm(&mut self, confirmed: u64, actions: &mut actions::Actions) {
        let commit = self.commit;
        let Some(lead) = &mut self.lead else {
            return;
        };
        while let Some((round, started_at)) = lead.rounds.front().copied()
            && round <= confirmed
        {
            lead.contact_at = lead.contact_at.max(started_at);
            lead.confirmed_round = round;
            lead.rounds.pop_front();
        }
        // Before its first entry is committed, a leader may not know all that was committed.
        while commit >= lead.start
            && let Some((number, round)) = lead.reads.front().copied()
            && round <= lead.confirmed_round
        {
            actions.confirmed_reads.push(number);
            lead.reads.pop_front();
        }
    }

    pub(crate) fn append_payload(
        &mut self,
        payload: types::Payload,
        actions: &mut actions::Actions,
    ) -> input::Answer {
        let (term, index) = (self.hard.term, self.log.last().next());
        let entry = types::LogEntry {
            term,
            index,
            payload,
        };
        self.append(entry, actions);
        input::Answer::Appended { term, index }
    }

    pub(crate) fn propose(&mut self, cmd: &[u8], actions: &mut actions::Actions) -> input::Answer {
        match &self.lead {
            Some(lead) if lead.transfer.is_none() => {}
            _ => return input::Answer::Refused(input::Refusal::NotLeader),
        }
        if self.log.last().0 - self.commit.0 >= self.cfg.uncommitted_max_count {
            return input::Answer::Refused(input::Refusal::Busy);
        }
        self.append_payload(types::Payload::Command(cmd.to_vec()), actions)
    }

    pub(crate) fn read(&mut self, number: u64) -> input::Answer {
        let max_count = self.cfg.reads_max_count;
        let Some(lead) = &mut self.lead else {
            return input::Answer::Refused(input::Refusal::NotLeader);
        };
        if lead.reads.len() >= max_count {
            return input::Answer::Refused(input::Refusal::Busy);
        }
        lead.reads.push_back((number, lead.round + 1));
        lead.wants_round = true;
        input::Answer::Done
    }

    pub(crate) fn transfer(&mut self) -> input::Answer {
        let until = self.now + self.cfg.election_ms;
        let voters: Vec<_> = self.members().voters().collect();
        let Some(lead) = &mut self.lead else {
            return input::Answer::Refused(input::Refusal::NotLeader);
        };
        let candidates = lead
            .progress
            .iter()
            .filter(|(id, p)| voters.contains(id) && !p.is_suspect && lead.is_reached(p));
        let best = candidates.max_by_key(|(_, p)| p.matched).map(|(id, _)| *id);
        lead.transfer = best.map(|id| (id, until));
        match best {
            Some(_) => input::Answer::Done,
            None => input::Answer::Refused(input::Refusal::NotCaughtUp),
        }
    }

    fn finish_transfer(&mut self, actions: &mut actions::Actions) {
        let Some((to, _)) = self.lead.as_ref().and_then(|lead| lead.transfer) else {
            return;
        };
        let lead = self.lead.as_ref().expect("leads while a transfer is on");
        if lead
            .progress
            .get(&to)
            .is_some_and(|p| p.matched == self.log.last())
        {
            self.send(to, types::Message::TimeoutNow, actions);
        }
    }
}

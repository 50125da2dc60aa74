//! Simulated network of replicas on one clock, with disks that survive crashes.

#![allow(dead_code)] // Each test file uses only some of the helpers.

use nutmegdale_base::{clock, rng, rng::Rng as _};
use nutmegdale_consensus::{actions, config, input, node, status, types};
use nutmegdale_verifier::history;
use std::collections;

pub(crate) const GROUP: &str = "g";

pub(crate) fn id(number: u64) -> types::ReplicaId {
    types::ReplicaId(number)
}

pub(crate) fn member(number: u64, is_voter: bool) -> types::Member {
    types::Member {
        id: id(number),
        name: format!("n{number}"),
        region: "r".to_owned(),
        address: ([127, 0, 0, 1], number as u16).into(),
        is_voter,
    }
}

/// Returns short timeouts and small limits, so that short runs reach snapshots, snapshot parts and
/// the limit of in-flight messages.
pub(crate) fn config() -> config::Config {
    config::Config {
        election_ms: clock::Millis(100),
        leaderless_election_ms: clock::Millis(100),
        heartbeat_ms: clock::Millis(25),
        read_round_ms: clock::Millis(20),
        read_rounds_burst_count: 2,
        append_max_bytes: 200,
        append_max_count: 4,
        inflight_max_count: 3,
        snapshot_part_max_bytes: 24,
        uncommitted_max_count: 64,
        reads_max_count: 64,
        tail_max_count: 2,
    }
}

/// Durable state of a replica.
#[derive(Debug, Clone, Default)]
pub(crate) struct Disk {
    pub(crate) recovered: types::Recovered,
}

impl Disk {
    fn persist(&mut self, actions: &actions::Actions) {
        if let Some(snapshot) = &actions.snapshot {
            self.recovered.entries.clear();
            self.recovered.snapshot = Some(snapshot.clone());
        }
        for entry in &actions.entries {
            self.recovered.entries.retain(|e| e.index < entry.index);
            self.recovered.entries.push(entry.clone());
        }
        if let Some(state) = actions.hard_state {
            self.recovered.hard_state = state;
        }
    }

    fn save_snapshot(&mut self, snapshot: &types::Snapshot) {
        self.recovered.entries.retain(|e| e.index > snapshot.index);
        self.recovered.snapshot = Some(snapshot.clone());
    }
}

fn decode_commands(state: &[u8]) -> Vec<u64> {
    let chunks = state.chunks_exact(8);
    chunks
        .map(|c| u64::from_le_bytes(c.try_into().expect("eight bytes")))
        .collect()
}

pub(crate) struct Replica {
    pub(crate) id: u64,
    pub(crate) node: Option<node::Node>,
    pub(crate) disk: Disk,
    pub(crate) is_paused: bool,
    pub(crate) commands: Vec<u64>,
    pub(crate) applied: u64,
    /// Offset of the replica's clock from `Net::now_ms`.
    skew_ms: u64,
    start_count: u64,
    inbox: Vec<types::Envelope>,
    pending: Vec<(types::Index, types::Term, u64)>,
    pending_reads: Vec<u64>,
}

/// Faults of the links between replicas.
#[derive(Debug, Clone, Default)]
pub(crate) struct Links {
    pub(crate) drop_percent: u64,
    pub(crate) duplicate_percent: u64,
    pub(crate) delay_max_ms: u64,
    /// Links cut in one direction: sender and receiver.
    pub(crate) cut: collections::BTreeSet<(u64, u64)>,
}

pub(crate) struct Net {
    pub(crate) now_ms: u64,
    pub(crate) rng: rng::SplitMix64,
    pub(crate) replicas: Vec<Replica>,
    pub(crate) links: Links,
    pub(crate) history: Vec<history::Event>,
    pub(crate) snapshot_after_count: usize,
    pub(crate) sent: Vec<types::Envelope>,
    pub(crate) committed: Vec<(u64, types::LogEntry)>,
    in_flight: collections::BTreeMap<(u64, u64), types::Envelope>,
    sent_count: u64,
    next_op_id: u64,
}

impl Net {
    /// Creates a bootstrapped group of `count` replicas.
    pub(crate) fn new(seed: u64, count: u64) -> Net {
        let mut net = Net::empty(seed);
        let mut set = types::MemberSet::default();
        for number in 1..=count {
            set.put(member(number, true));
        }
        for number in 1..=count {
            net.add(number);
            let bootstrap = input::Input::Bootstrap {
                set: &set,
                is_last: false,
            };
            net.process(number, bootstrap);
            net.end_batch(number);
        }
        net
    }

    fn empty(seed: u64) -> Net {
        Net {
            now_ms: 1_000,
            rng: rng::SplitMix64::new(seed),
            replicas: Vec::new(),
            links: Links {
                delay_max_ms: 3,
                ..Links::default()
            },
            history: Vec::new(),
            snapshot_after_count: 8,
            sent: Vec::new(),
            committed: Vec::new(),
            in_flight: collections::BTreeMap::new(),
            sent_count: 0,
            next_op_id: 0,
        }
    }

    /// Adds a replica with an empty disk.
    pub(crate) fn add(&mut self, number: u64) {
        let skew_ms = self.rng.below(10_000);
        self.replicas.push(Replica {
            id: number,
            node: None,
            disk: Disk::default(),
            is_paused: false,
            commands: Vec::new(),
            applied: 0,
            skew_ms,
            start_count: 0,
            inbox: Vec::new(),
            pending: Vec::new(),
            pending_reads: Vec::new(),
        });
        self.start(number);
    }

    pub(crate) fn replica(&self, number: u64) -> &Replica {
        let found = self.replicas.iter().find(|r| r.id == number);
        found.expect("replica")
    }

    pub(crate) fn replica_mut(&mut self, number: u64) -> &mut Replica {
        let found = self.replicas.iter_mut().find(|r| r.id == number);
        found.expect("replica")
    }

    pub(crate) fn numbers(&self) -> Vec<u64> {
        self.replicas.iter().map(|r| r.id).collect()
    }

    pub(crate) fn start(&mut self, number: u64) {
        let now_ms = self.now_ms;
        let replica = self.replica_mut(number);
        replica.start_count += 1;
        let seed = number * 1_000 + replica.start_count;
        let recovered = replica.disk.recovered.clone();
        let (index, state) = match &recovered.snapshot {
            Some(snapshot) => (snapshot.index.0, snapshot.state.clone()),
            None => (0, Vec::new()),
        };
        let now = clock::Millis(now_ms + replica.skew_ms);
        let rng = Box::new(rng::SplitMix64::new(seed));
        replica.node = Some(node::Node::new(
            config(),
            GROUP,
            id(number),
            recovered,
            rng,
            now,
        ));
        replica.is_paused = false;
        replica.commands = decode_commands(&state);
        replica.applied = index;
        let commands = replica.commands.clone();
        self.history.push(history::Event::Restored {
            replica: number,
            index,
            commands,
        });
    }

    /// Stops a replica abruptly; state that it did not persist is lost.
    pub(crate) fn crash(&mut self, number: u64) {
        let replica = self.replica_mut(number);
        replica.node = None;
        replica.inbox.clear();
        replica.pending.clear();
        replica.pending_reads.clear();
    }

    pub(crate) fn is_running(&self, number: u64) -> bool {
        let replica = self.replica(number);
        replica.node.is_some() && !replica.is_paused
    }

    /// Steps a replica without carrying out the actions; returns the response.
    fn step(
        &mut self,
        number: u64,
        input: input::Input<'_>,
        actions: &mut actions::Actions,
    ) -> input::Response {
        let now_ms = self.now_ms;
        let replica = self.replica_mut(number);
        let now = clock::Millis(now_ms + replica.skew_ms);
        let node = replica.node.as_mut().expect("replica is running");
        node.step(now, input, actions)
    }

    /// Steps a replica and carries out the actions; returns the response.
    pub(crate) fn process(&mut self, number: u64, input: input::Input<'_>) -> input::Response {
        let mut actions = actions::Actions::default();
        let response = self.step(number, input, &mut actions);
        self.carry_out(number, &actions);
        response
    }

    /// Ends a batch with a tick, takes a snapshot if one is due and records leadership.
    pub(crate) fn end_batch(&mut self, number: u64) {
        self.process(number, input::Input::Tick);
        self.maybe_snapshot(number);
        let status = self.status(number);
        if status.role == status::Role::Leader {
            self.history.push(history::Event::Leads {
                term: status.term.0,
                replica: number,
            });
        }
    }

    pub(crate) fn status(&self, number: u64) -> status::Status {
        let node = self.replica(number).node.as_ref();
        node.expect("replica is running").status()
    }

    fn carry_out(&mut self, number: u64, actions: &actions::Actions) {
        let replica = self.replica_mut(number);
        replica.disk.persist(actions);
        if let Some(snapshot) = &actions.snapshot {
            replica.commands = decode_commands(&snapshot.state);
            replica.applied = snapshot.index.0;
            let commands = replica.commands.clone();
            self.history.push(history::Event::Restored {
                replica: number,
                index: snapshot.index.0,
                commands,
            });
        }
        for env in &actions.messages {
            self.send(env);
        }
        for entry in &actions.committed {
            self.apply(number, entry);
        }
        for read in &actions.confirmed_reads {
            let replica = self.replica_mut(number);
            replica.pending_reads.retain(|r| r != read);
            let index = replica.applied;
            self.history
                .push(history::Event::ReadDone { read: *read, index });
        }
        if actions.is_leadership_lost {
            let replica = self.replica_mut(number);
            replica.pending.clear();
            replica.pending_reads.clear();
        }
    }

    fn apply(&mut self, number: u64, entry: &types::LogEntry) {
        self.committed.push((number, entry.clone()));
        let replica = self.replica_mut(number);
        let command = match &entry.payload {
            types::Payload::Command(cmd) => decode_commands(cmd).first().copied(),
            _ => None,
        };
        replica.commands.extend(command);
        replica.applied = entry.index.0;
        let position = (entry.index, entry.term);
        let is_same = |w: &(types::Index, types::Term, u64)| (w.0, w.1) == position;
        let accepted = replica.pending.iter().find(|w| is_same(w)).map(|w| w.2);
        replica.pending.retain(|w| w.0 > entry.index);
        self.history.push(history::Event::Applied {
            replica: number,
            index: entry.index.0,
            command,
        });
        if let Some(command) = accepted {
            self.history.push(history::Event::Accepted {
                command,
                index: entry.index.0,
            });
        }
    }

    fn maybe_snapshot(&mut self, number: u64) {
        let limit = self.snapshot_after_count;
        let replica = self.replica_mut(number);
        if replica.disk.recovered.entries.len() < limit {
            return;
        }
        let state = replica.commands.iter().flat_map(|c| c.to_le_bytes());
        let state = state.collect();
        let node = replica.node.as_mut().expect("replica is running");
        if let Some(snapshot) = node.snapshot_of(state) {
            replica.disk.save_snapshot(&snapshot);
            self.process(number, input::Input::Compact(snapshot));
        }
    }

    fn send(&mut self, env: &types::Envelope) {
        self.sent.push(env.clone());
        let link = (env.from.0, env.to.0);
        if self.links.cut.contains(&link) || self.rng.below(100) < self.links.drop_percent {
            return;
        }
        let copies = 1 + u64::from(self.rng.below(100) < self.links.duplicate_percent);
        for _ in 0..copies {
            let at_ms = self.now_ms + 1 + self.rng.below(self.links.delay_max_ms);
            self.sent_count += 1;
            self.in_flight.insert((at_ms, self.sent_count), env.clone());
        }
    }

    /// Proposes a unique command and returns its number.
    pub(crate) fn propose(&mut self, to: u64) -> u64 {
        self.next_op_id += 1;
        let command = self.next_op_id;
        self.history.push(history::Event::Proposed { command });
        let response = self.process(to, input::Input::Propose(&command.to_le_bytes()));
        match response {
            input::Response::Appended { term, index } => {
                self.replica_mut(to).pending.push((index, term, command));
            }
            _ => self.history.push(history::Event::Refused { command }),
        }
        self.end_batch(to);
        command
    }

    pub(crate) fn read(&mut self, to: u64) -> u64 {
        self.next_op_id += 1;
        let read = self.next_op_id;
        self.history.push(history::Event::ReadStarted { read });
        if self.process(to, input::Input::Read(read)) == input::Response::Done {
            self.replica_mut(to).pending_reads.push(read);
        }
        self.end_batch(to);
        read
    }

    pub(crate) fn is_accepted(&self, command: u64) -> bool {
        let accepted = |e: &history::Event| matches!(e, history::Event::Accepted { command: c, .. } if *c == command);
        self.history.iter().rev().any(accepted)
    }

    pub(crate) fn is_read_done(&self, read: u64) -> bool {
        let done = |e: &history::Event| matches!(e, history::Event::ReadDone { read: r, .. } if *r == read);
        self.history.iter().rev().any(done)
    }

    /// Advances the clock by `duration_ms`: delivers messages and ticks the replicas that are due.
    pub(crate) fn run(&mut self, duration_ms: u64) {
        for _ in 0..duration_ms {
            self.now_ms += 1;
            let later = self.in_flight.split_off(&(self.now_ms + 1, 0));
            let arrived = std::mem::replace(&mut self.in_flight, later);
            for env in arrived.into_values() {
                let receiver = self.replicas.iter_mut().find(|r| r.id == env.to.0);
                if let Some(replica) = receiver.filter(|r| r.node.is_some()) {
                    replica.inbox.push(env);
                }
            }
            for number in self.numbers() {
                if self.is_running(number) {
                    self.run_batch(number);
                }
            }
        }
    }

    fn run_batch(&mut self, number: u64) {
        let now_ms = self.now_ms;
        let replica = self.replica_mut(number);
        let node = replica.node.as_ref().expect("replica is running");
        let is_due = node.next_tick() <= clock::Millis(now_ms + replica.skew_ms);
        if !is_due && replica.inbox.is_empty() {
            return;
        }
        let mut actions = actions::Actions::default();
        for env in std::mem::take(&mut replica.inbox) {
            self.step(number, input::Input::Message(&env), &mut actions);
        }
        self.step(number, input::Input::Tick, &mut actions);
        self.carry_out(number, &actions);
        self.maybe_snapshot(number);
        let status = self.status(number);
        if status.role == status::Role::Leader {
            self.history.push(history::Event::Leads {
                term: status.term.0,
                replica: number,
            });
        }
    }

    /// Returns the running leader with the highest term, if any.
    pub(crate) fn leader(&self) -> Option<u64> {
        let running = self.numbers().into_iter().filter(|n| self.is_running(*n));
        let statuses = running.map(|n| (self.status(n), n));
        let leaders = statuses.filter(|(s, _)| s.role == status::Role::Leader);
        leaders.max_by_key(|(s, _)| s.term).map(|(_, n)| n)
    }

    /// Runs until `is_met` returns true, for at most `limit_ms`; returns whether it did.
    pub(crate) fn run_until(
        &mut self,
        limit_ms: u64,
        mut is_met: impl FnMut(&Net) -> bool,
    ) -> bool {
        for _ in 0..limit_ms {
            if is_met(self) {
                return true;
            }
            self.run(1);
        }
        is_met(self)
    }

    /// Repairs every link and starts or resumes every replica.
    pub(crate) fn heal(&mut self) {
        self.links = Links {
            delay_max_ms: 3,
            ..Links::default()
        };
        for number in self.numbers() {
            self.replica_mut(number).is_paused = false;
            if self.replica(number).node.is_none() {
                self.start(number);
            }
        }
    }
}

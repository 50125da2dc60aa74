//! The thread of a group.

use crate::durable;
use crate::handle;
use crate::machine;
use crate::transport;
use displaydoc::Display;
use nutmegdale_base::{clock, rng};
use nutmegdale_consensus::{actions, config, input, node, status, types};
use nutmegdale_storage::{disk, error, store};
use std::collections;
use std::io;
use std::sync;
use std::sync::mpsc;
use std::thread;
use std::time;
use tokio::sync::{oneshot, watch};

/// Bounds of a group.
#[derive(Debug, Clone)]
pub struct Config {
    /// Name of the group.
    pub group: String,
    /// Times and bounds of the log.
    pub node: config::Config,
    /// Bounds of the store.
    pub store: store::Limits,
    /// Requests taken up before one sync.
    pub batch_max_count: usize,
    /// Bytes of requests taken up before one sync.
    pub batch_max_bytes: usize,
    /// Bytes of entries after which a snapshot is taken.
    pub snapshot_after_bytes: usize,
    /// Identity if the folder holds no replica yet.
    pub new_identity: store::Identity,
}

impl Config {
    /// Returns the default bounds for a group.
    pub fn new(group: &str, new_identity: store::Identity) -> Config {
        Config {
            group: group.to_owned(),
            node: config::Config::default(),
            store: store::Limits::default(),
            batch_max_count: 1_024,
            batch_max_bytes: 4 * 1024 * 1024,
            snapshot_after_bytes: 4 * 1024 * 1024,
            new_identity,
        }
    }
}

/// What a group runs on.
#[allow(missing_debug_implementations)] // Holds trait objects.
pub struct Dependencies {
    /// State that the group replicates.
    pub machine: Box<dyn machine::StateMachine>,
    /// Way to other replicas.
    pub transport: sync::Arc<dyn transport::Transport>,
    /// Clock of the timeouts.
    pub clock: sync::Arc<dyn clock::Clock>,
    /// Source of the election timeouts.
    pub rng: Box<dyn rng::Rng>,
    /// Folder of the replica.
    pub disk: Box<dyn disk::Disk>,
    /// Logger.
    pub log: slog::Logger,
}

/// Why a group cannot start.
#[derive(Debug, Display)]
pub enum StartError {
    /// {0}
    Store(error::Error),
    /// the data folder cannot be decoded: {0}
    Decode(String),
    /// the thread of the group cannot be started: {0}
    Thread(io::Error),
}

impl std::error::Error for StartError {}

/// Replica that was started.
#[derive(Debug)]
pub struct Started {
    /// Access to the group.
    pub handle: handle::Handle,
    /// Identity, from the folder or new.
    pub identity: store::Identity,
}

/// Recovers the replica of a folder, or creates a new one, and starts its thread.
///
/// # Errors
///
/// Fails if the folder is damaged or cannot be read, or if no thread can be started.
pub fn start(cfg: Config, parts: Dependencies) -> Result<Started, StartError> {
    let mut parts = parts;
    let (store, recovered) = open(&cfg, parts.disk)?;
    let identity = store.identity();
    let recovered = durable::decode(recovered).map_err(StartError::Decode)?;
    let wrong = |text| StartError::Decode(format!("state of the snapshot: {text}"));
    if let Some(snapshot) = &recovered.snapshot {
        parts.machine.restore(&snapshot.state).map_err(wrong)?;
    }
    let log_bytes = recovered.entries.iter().map(types::LogEntry::size_bytes);
    let log_bytes = log_bytes.sum();
    let id = types::ReplicaId(identity.id);
    let now = parts.clock.now();
    let node_cfg = cfg.node.clone();
    let node = node::Node::new(node_cfg, &cfg.group, id, recovered, parts.rng, now);
    let (tx, rx) = mpsc::channel();
    let gates = handle::Gates::new();
    let (status_tx, status_rx) = watch::channel(sync::Arc::new(node.status()));
    parts.transport.set_members(node.members());
    let driver = Driver {
        members: node.members().clone(),
        name: format!("group-{}", cfg.group),
        cfg,
        node,
        store,
        machine: parts.machine,
        transport: parts.transport,
        clock: parts.clock,
        log: parts.log,
        rx,
        gates: sync::Arc::clone(&gates),
        status_tx,
        actions: actions::Actions::default(),
        pending: collections::VecDeque::new(),
        reads: collections::BTreeMap::new(),
        next_read: 0,
        log_bytes,
        stop: None,
    };
    let builder = thread::Builder::new().name(driver.name.clone());
    let spawned = builder.spawn(move || driver.run());
    spawned.map_err(StartError::Thread)?;
    let handle = handle::Handle::new(tx, gates, status_rx);
    Ok(Started { handle, identity })
}

fn open(
    cfg: &Config,
    disk: Box<dyn disk::Disk>,
) -> Result<(store::Store, store::Recovered), StartError> {
    match store::Store::open(disk, cfg.store).map_err(StartError::Store)? {
        store::Opened::Replica(store, recovered) => Ok((*store, recovered)),
        store::Opened::Blank(disk) => {
            let created = store::Store::create(disk, cfg.store, cfg.new_identity);
            let recovered = store::Recovered {
                identity: cfg.new_identity,
                hard_state: store::HardState::default(),
                snapshot: None,
                entries: Vec::new(),
                torn_bytes: 0,
            };
            Ok((created.map_err(StartError::Store)?, recovered))
        }
    }
}

/// Where the answer to an entry goes.
enum Pending {
    Command(handle::Reply),
    Change(handle::ChangeReply),
}

struct Driver {
    cfg: Config,
    name: String,
    node: node::Node,
    store: store::Store,
    machine: Box<dyn machine::StateMachine>,
    transport: sync::Arc<dyn transport::Transport>,
    clock: sync::Arc<dyn clock::Clock>,
    log: slog::Logger,
    rx: mpsc::Receiver<handle::Request>,
    gates: sync::Arc<handle::Gates>,
    status_tx: watch::Sender<sync::Arc<status::Status>>,
    actions: actions::Actions,
    members: types::MemberSet,
    /// Entries appended here that wait for their commit, in order of their index.
    pending: collections::VecDeque<(types::Index, types::Term, Pending)>,
    reads: collections::BTreeMap<u64, handle::ReadReply>,
    next_read: u64,
    log_bytes: usize,
    stop: Option<(clock::Millis, oneshot::Sender<()>)>,
}

impl Driver {
    fn run(mut self) {
        loop {
            match self.turn() {
                Ok(true) => {}
                Ok(false) => break,
                Err(text) => {
                    slog::crit!(self.log, "replica stopped"; "group" => &self.cfg.group,
                        "error" => text);
                    break;
                }
            }
        }
        // Dropping the replies answers `Unknown` and `Stopped`; the status channel closes.
    }

    /// Takes up what waits, as one batch with one sync; returns false at the end.
    fn turn(&mut self) -> Result<bool, String> {
        let wait = self.node.next_tick().since(self.clock.now());
        match self.rx.recv_timeout(time::Duration::from_millis(wait.0)) {
            Ok(req) => self.take_batch(req),
            Err(mpsc::RecvTimeoutError::Timeout) => {}
            Err(mpsc::RecvTimeoutError::Disconnected) => return Ok(false),
        }
        self.step(input::Input::Tick);
        self.carry_out()?;
        self.maybe_snapshot()?;
        self.publish();
        Ok(!self.may_stop())
    }

    fn take_batch(&mut self, first: handle::Request) {
        let mut size_bytes = self.gates.leave(&first);
        self.take(first);
        for _ in 1..self.cfg.batch_max_count {
            if size_bytes >= self.cfg.batch_max_bytes {
                break;
            }
            let Ok(req) = self.rx.try_recv() else {
                break;
            };
            size_bytes += self.gates.leave(&req);
            self.take(req);
        }
    }

    fn step(&mut self, input: input::Input<'_>) -> input::Response {
        let now = self.clock.now();
        self.node.step(now, input, &mut self.actions)
    }

    fn take(&mut self, req: handle::Request) {
        match req {
            handle::Request::Deliver { envelopes, .. } => {
                for env in &envelopes {
                    self.step(input::Input::Message(env));
                }
            }
            handle::Request::Propose { cmd, reply } => {
                let answer = self.step(input::Input::Propose(&cmd));
                self.wait_for(answer, Pending::Command(reply));
            }
            handle::Request::Change { change, reply } => {
                let answer = self.step(input::Input::Change(change));
                self.wait_for(answer, Pending::Change(reply));
            }
            handle::Request::Confirm { reply } => self.read(reply),
            handle::Request::Bootstrap {
                set,
                is_last,
                reply,
            } => {
                let input = input::Input::Bootstrap { set: &set, is_last };
                let answer = match self.step(input) {
                    input::Response::Refused(refusal) => Err(handle::ChangeError::Refused(refusal)),
                    _ => Ok(()),
                };
                drop(reply.send(answer));
            }
            handle::Request::Stop { reply } => {
                let is_leader = self.step(input::Input::Transfer) == input::Response::Done;
                let wait = if is_leader {
                    self.cfg.node.election_ms
                } else {
                    clock::Millis::ZERO
                };
                self.stop = Some((self.clock.now() + wait, reply));
            }
        }
    }

    fn read(&mut self, reply: handle::ReadReply) {
        let number = self.next_read;
        self.next_read += 1;
        match self.step(input::Input::Read(number)) {
            input::Response::Refused(refusal) => drop(reply.send(Err(self.refused(refusal)))),
            _ => drop(self.reads.insert(number, reply)),
        }
    }

    fn wait_for(&mut self, answer: input::Response, pending: Pending) {
        match (answer, pending) {
            (input::Response::Appended { term, index }, pending) => {
                self.pending.push_back((index, term, pending));
            }
            (input::Response::Refused(refusal), Pending::Command(reply)) => {
                drop(reply.send(Err(self.refused(refusal))));
            }
            (input::Response::Refused(refusal), Pending::Change(reply)) => {
                let err = match refusal {
                    input::Refusal::NotLeader | input::Refusal::Busy => {
                        handle::ChangeError::Propose(self.refused(refusal))
                    }
                    refusal => handle::ChangeError::Refused(refusal),
                };
                drop(reply.send(Err(err)));
            }
            (input::Response::Done, _) => {}
        }
    }

    fn refused(&self, refusal: input::Refusal) -> handle::ProposeError {
        match refusal {
            input::Refusal::Busy => handle::ProposeError::Busy,
            _ => self.not_leader(),
        }
    }

    fn not_leader(&self) -> handle::ProposeError {
        let status = self.node.status();
        let other = status.leader_member().filter(|m| m.id != status.id);
        handle::ProposeError::NotLeader {
            leader: other.map(|m| m.address),
        }
    }

    /// Persists, sends, applies and answers, in this order.
    fn carry_out(&mut self) -> Result<(), String> {
        let mut actions = std::mem::take(&mut self.actions);
        let stored = durable::persist(&mut self.store, &actions);
        self.log_bytes += stored.map_err(|err| err.to_string())?;
        if *self.node.members() != self.members {
            self.members = self.node.members().clone();
            self.transport.set_members(&self.members);
        }
        for env in &actions.messages {
            self.transport.send(env.to, env);
        }
        if let Some(snapshot) = &actions.snapshot {
            self.machine.restore(&snapshot.state)?;
            self.log_bytes = 0;
        }
        for entry in &actions.committed {
            self.apply(entry);
        }
        for number in &actions.confirmed_reads {
            if let Some(reply) = self.reads.remove(number) {
                drop(reply.send(Ok(self.node.status().term.0)));
            }
        }
        if actions.is_leadership_lost {
            self.lose_lead();
        }
        actions.clear();
        self.actions = actions;
        Ok(())
    }

    fn apply(&mut self, entry: &types::LogEntry) {
        let mut buf = Vec::new();
        if let types::Payload::Command(cmd) = &entry.payload {
            self.machine.apply(entry.index.0, cmd, &mut buf);
        }
        while let Some((index, _, _)) = self.pending.front()
            && *index <= entry.index
            && let Some((index, term, pending)) = self.pending.pop_front()
        {
            let is_this = (index, term) == (entry.index, entry.term);
            match pending {
                Pending::Command(reply) if is_this => {
                    drop(reply.send(Ok(std::mem::take(&mut buf))));
                }
                Pending::Change(reply) if is_this => drop(reply.send(Ok(()))),
                lost => answer_unknown(lost),
            }
        }
    }

    fn lose_lead(&mut self) {
        for (_, _, pending) in self.pending.drain(..) {
            answer_unknown(pending);
        }
        let err = self.not_leader();
        for reply in std::mem::take(&mut self.reads).into_values() {
            drop(reply.send(Err(err.clone())));
        }
    }

    fn maybe_snapshot(&mut self) -> Result<(), String> {
        if self.log_bytes < self.cfg.snapshot_after_bytes {
            return Ok(());
        }
        let mut state = Vec::new();
        self.machine.snapshot(&mut state);
        let Some(snapshot) = self.node.snapshot_of(state) else {
            return Ok(());
        };
        let body = durable::encode_snapshot(&snapshot);
        let saved = self
            .store
            .save_snapshot(snapshot.index.0, snapshot.term.0, &body);
        saved.map_err(|err| err.to_string())?;
        slog::debug!(self.log, "snapshot taken"; "group" => &self.cfg.group,
            "index" => snapshot.index.0, "bytes" => body.len());
        self.step(input::Input::Compact(snapshot));
        self.log_bytes = 0;
        Ok(())
    }

    fn publish(&self) {
        let status = self.node.status();
        self.status_tx.send_if_modified(|last| {
            let is_new = **last != status;
            if is_new {
                if (last.role, last.term) != (status.role, status.term) {
                    slog::info!(self.log, "role"; "group" => &self.cfg.group,
                        "role" => ?status.role, "term" => status.term.0);
                }
                *last = sync::Arc::new(status);
            }
            is_new
        });
    }

    fn may_stop(&self) -> bool {
        let Some((until, _)) = &self.stop else {
            return false;
        };
        self.node.status().role != status::Role::Leader || self.clock.now() >= *until
    }
}

impl Drop for Driver {
    /// Shows that the replica stopped, for whatever reason the thread ends.
    fn drop(&mut self) {
        self.status_tx
            .send_modify(|last| sync::Arc::make_mut(last).mark_stopped());
    }
}

fn answer_unknown(pending: Pending) {
    // A caller that went away needs no answer.
    match pending {
        Pending::Command(reply) => drop(reply.send(Err(handle::ProposeError::Unknown))),
        Pending::Change(reply) => {
            let err = handle::ChangeError::Propose(handle::ProposeError::Unknown);
            drop(reply.send(Err(err)));
        }
    }
}

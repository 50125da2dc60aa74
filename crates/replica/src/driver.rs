//! Thread that runs a replica.

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

/// Configuration of a replica.
#[derive(Debug, Clone)]
pub struct Config {
    /// Name of the group.
    pub group: String,
    /// Timeouts and limits of the consensus protocol.
    pub node: config::Config,
    /// Limits of the store.
    pub store: store::Limits,
    /// Maximum number of requests processed with one sync.
    pub batch_max_count: usize,
    /// Size of requests in bytes after which a batch is synced.
    pub batch_max_bytes: usize,
    /// Size of log entries in bytes after which a snapshot is taken.
    pub snapshot_after_bytes: usize,
    /// Identity of the replica if its folder is empty.
    pub new_identity: store::Identity,
}

impl Config {
    /// Returns the default configuration for a group.
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

/// Dependencies of a replica.
#[allow(missing_debug_implementations)] // Holds trait objects.
pub struct Dependencies {
    /// State machine that the group replicates.
    pub machine: Box<dyn machine::StateMachine>,
    /// Transport of messages to other replicas.
    pub transport: sync::Arc<dyn transport::Transport>,
    /// Clock that the timeouts are measured with.
    pub clock: sync::Arc<dyn clock::Clock>,
    /// Source of the randomness in election timeouts.
    pub rng: Box<dyn rng::Rng>,
    /// Disk with the data folder of the replica.
    pub disk: Box<dyn disk::Disk>,
    /// Logger of the replica.
    pub log: slog::Logger,
}

/// Why a replica cannot start.
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

/// Result of starting a replica.
#[derive(Debug)]
pub struct Started {
    /// Handle to the replica.
    pub handle: handle::Handle,
    /// Identity that was recovered or created.
    pub identity: store::Identity,
}

/// Recovers a replica from its folder, or creates a new one, and starts its thread.
///
/// # Errors
///
/// Fails if the folder is corrupt or cannot be read, or if the thread cannot be started.
pub fn start(cfg: Config, deps: Dependencies) -> Result<Started, StartError> {
    let mut deps = deps;
    let (store, recovered) = open(&cfg, deps.disk)?;
    let identity = store.identity();
    let recovered = durable::decode(recovered).map_err(StartError::Decode)?;
    let restore_error = |text| StartError::Decode(format!("state of the snapshot: {text}"));
    if let Some(snapshot) = &recovered.snapshot {
        deps.machine
            .restore(&snapshot.state)
            .map_err(restore_error)?;
    }
    let log_bytes = recovered.entries.iter().map(types::LogEntry::size_bytes);
    let log_bytes = log_bytes.sum();
    let id = types::ReplicaId(identity.id);
    let now = deps.clock.now();
    let node_cfg = cfg.node.clone();
    let node = node::Node::new(node_cfg, &cfg.group, id, recovered, deps.rng, now);
    let (tx, rx) = mpsc::channel();
    let limits = handle::QueueLimits::new();
    let (status_tx, status_rx) = watch::channel(sync::Arc::new(node.status()));
    deps.transport.set_members(node.members());
    let driver = Driver {
        members: node.members().clone(),
        thread_name: format!("group-{}", cfg.group),
        cfg,
        node,
        store,
        machine: deps.machine,
        transport: deps.transport,
        clock: deps.clock,
        log: deps.log,
        rx,
        limits: sync::Arc::clone(&limits),
        status_tx,
        actions: actions::Actions::default(),
        pending: collections::VecDeque::new(),
        pending_reads: collections::BTreeMap::new(),
        next_read_id: 0,
        log_bytes,
        pending_stop: None,
    };
    let builder = thread::Builder::new().name(driver.thread_name.clone());
    let spawned = builder.spawn(move || driver.run());
    spawned.map_err(StartError::Thread)?;
    let handle = handle::Handle::new(tx, limits, status_rx);
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

/// Sender of the reply to a proposed entry.
enum Pending {
    Command(handle::ReplySender),
    Change(handle::ChangeSender),
}

struct Driver {
    cfg: Config,
    thread_name: String,
    node: node::Node,
    store: store::Store,
    machine: Box<dyn machine::StateMachine>,
    transport: sync::Arc<dyn transport::Transport>,
    clock: sync::Arc<dyn clock::Clock>,
    log: slog::Logger,
    rx: mpsc::Receiver<handle::Request>,
    limits: sync::Arc<handle::QueueLimits>,
    status_tx: watch::Sender<sync::Arc<status::Status>>,
    actions: actions::Actions,
    members: types::MemberSet,
    /// Entries appended by this replica that are not committed yet, in index order.
    pending: collections::VecDeque<(types::Index, types::Term, Pending)>,
    pending_reads: collections::BTreeMap<u64, handle::ReadSender>,
    next_read_id: u64,
    log_bytes: usize,
    pending_stop: Option<(clock::Millis, oneshot::Sender<()>)>,
}

impl Driver {
    fn run(mut self) {
        loop {
            match self.run_batch() {
                Ok(true) => {}
                Ok(false) => break,
                Err(text) => {
                    slog::crit!(self.log, "replica stopped"; "group" => &self.cfg.group,
                        "error" => text);
                    break;
                }
            }
        }
        // Dropping the reply senders makes callers return `Unknown` or `Stopped`; the status
        // channel closes.
    }

    /// Processes the queued requests as one batch with one sync; returns false if the thread should
    /// end.
    fn run_batch(&mut self) -> Result<bool, String> {
        let wait = self.node.next_tick().since(self.clock.now());
        match self.rx.recv_timeout(time::Duration::from_millis(wait.0)) {
            Ok(req) => self.process_requests(req),
            Err(mpsc::RecvTimeoutError::Timeout) => {}
            Err(mpsc::RecvTimeoutError::Disconnected) => return Ok(false),
        }
        self.step(input::Input::Tick);
        self.execute_actions()?;
        self.snapshot_if_due()?;
        self.publish_status();
        Ok(!self.is_stop_due())
    }

    fn process_requests(&mut self, first: handle::Request) {
        let mut size_bytes = self.limits.release(&first);
        self.handle_request(first);
        for _ in 1..self.cfg.batch_max_count {
            if size_bytes >= self.cfg.batch_max_bytes {
                break;
            }
            let Ok(req) = self.rx.try_recv() else {
                break;
            };
            size_bytes += self.limits.release(&req);
            self.handle_request(req);
        }
    }

    fn step(&mut self, input: input::Input<'_>) -> input::Response {
        let now = self.clock.now();
        self.node.step(now, input, &mut self.actions)
    }

    fn handle_request(&mut self, req: handle::Request) {
        match req {
            handle::Request::Deliver { envelopes, .. } => {
                for env in &envelopes {
                    self.step(input::Input::Message(env));
                }
            }
            handle::Request::Propose { cmd, reply_tx } => {
                let response = self.step(input::Input::Propose(&cmd));
                self.reply_when_committed(response, Pending::Command(reply_tx));
            }
            handle::Request::Change { change, reply_tx } => {
                let response = self.step(input::Input::Change(change));
                self.reply_when_committed(response, Pending::Change(reply_tx));
            }
            handle::Request::ConfirmLeadership { reply_tx } => self.start_read(reply_tx),
            handle::Request::Bootstrap {
                set,
                is_last,
                reply_tx,
            } => {
                let input = input::Input::Bootstrap { set: &set, is_last };
                let response = match self.step(input) {
                    input::Response::Refused(refusal) => Err(handle::ChangeError::Refused(refusal)),
                    _ => Ok(()),
                };
                drop(reply_tx.send(response));
            }
            handle::Request::Stop { reply_tx } => {
                let is_leader = self.step(input::Input::Transfer) == input::Response::Done;
                let wait = if is_leader {
                    self.cfg.node.election_ms
                } else {
                    clock::Millis::ZERO
                };
                self.pending_stop = Some((self.clock.now() + wait, reply_tx));
            }
        }
    }

    fn start_read(&mut self, reply_tx: handle::ReadSender) {
        let read_id = self.next_read_id;
        self.next_read_id += 1;
        match self.step(input::Input::Read(read_id)) {
            input::Response::Refused(refusal) => drop(reply_tx.send(Err(self.error_for(refusal)))),
            _ => drop(self.pending_reads.insert(read_id, reply_tx)),
        }
    }

    fn reply_when_committed(&mut self, response: input::Response, pending: Pending) {
        match (response, pending) {
            (input::Response::Appended { term, index }, pending) => {
                self.pending.push_back((index, term, pending));
            }
            (input::Response::Refused(refusal), Pending::Command(reply_tx)) => {
                drop(reply_tx.send(Err(self.error_for(refusal))));
            }
            (input::Response::Refused(refusal), Pending::Change(reply_tx)) => {
                let err = match refusal {
                    input::Refusal::NotLeader | input::Refusal::Busy => {
                        handle::ChangeError::Propose(self.error_for(refusal))
                    }
                    refusal => handle::ChangeError::Refused(refusal),
                };
                drop(reply_tx.send(Err(err)));
            }
            (input::Response::Done, _) => {}
        }
    }

    fn error_for(&self, refusal: input::Refusal) -> handle::ProposeError {
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

    /// Persists records, sends messages, applies entries and replies, in this order.
    fn execute_actions(&mut self) -> Result<(), String> {
        let mut actions = std::mem::take(&mut self.actions);
        let persisted = durable::persist(&mut self.store, &actions);
        self.log_bytes += persisted.map_err(|err| err.to_string())?;
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
        for read_id in &actions.confirmed_reads {
            if let Some(reply_tx) = self.pending_reads.remove(read_id) {
                drop(reply_tx.send(Ok(self.node.status().term.0)));
            }
        }
        if actions.is_leadership_lost {
            self.fail_pending();
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
            let is_same_entry = (index, term) == (entry.index, entry.term);
            match pending {
                Pending::Command(reply_tx) if is_same_entry => {
                    drop(reply_tx.send(Ok(std::mem::take(&mut buf))));
                }
                Pending::Change(reply_tx) if is_same_entry => drop(reply_tx.send(Ok(()))),
                other => reply_unknown(other),
            }
        }
    }

    fn fail_pending(&mut self) {
        for (_, _, pending) in self.pending.drain(..) {
            reply_unknown(pending);
        }
        let err = self.not_leader();
        for reply_tx in std::mem::take(&mut self.pending_reads).into_values() {
            drop(reply_tx.send(Err(err.clone())));
        }
    }

    fn snapshot_if_due(&mut self) -> Result<(), String> {
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

    fn publish_status(&self) {
        let status = self.node.status();
        self.status_tx.send_if_modified(|last| {
            let is_changed = **last != status;
            if is_changed {
                if (last.role, last.term) != (status.role, status.term) {
                    slog::info!(self.log, "role changed"; "group" => &self.cfg.group,
                        "role" => ?status.role, "term" => status.term.0);
                }
                *last = sync::Arc::new(status);
            }
            is_changed
        });
    }

    fn is_stop_due(&self) -> bool {
        let Some((until, _)) = &self.pending_stop else {
            return false;
        };
        self.node.status().role != status::Role::Leader || self.clock.now() >= *until
    }
}

impl Drop for Driver {
    /// Publishes that the replica stopped, for whatever reason the thread ends.
    fn drop(&mut self) {
        self.status_tx
            .send_modify(|last| sync::Arc::make_mut(last).mark_stopped());
    }
}

fn reply_unknown(pending: Pending) {
    // Ignores the error of a caller that no longer waits.
    match pending {
        Pending::Command(reply_tx) => drop(reply_tx.send(Err(handle::ProposeError::Unknown))),
        Pending::Change(reply_tx) => {
            let err = handle::ChangeError::Propose(handle::ProposeError::Unknown);
            drop(reply_tx.send(Err(err)));
        }
    }
}

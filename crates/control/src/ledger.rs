//! Replicated ledger of one-time requests for this process's region.

use crate::groups;
use bytes::Bytes;
use nutmegdale_base::clock;
use nutmegdale_ledger::{command, state};
use nutmegdale_replica::{handle, machine};
use nutmegdale_rpc::{ledger as calls, server};
use nutmegdale_settings::model;
use serde::{Serialize, de};
use std::io;
use std::sync;
use std::time;
use tokio::sync::watch;

/// Time between two `Expire` commands while claims are in force.
const CLAIMED_TICK_MS: u64 = 1_000;
/// Time between two `Expire` commands while only outcomes are retained; below
/// `state::ELAPSED_MAX_MS`. An empty ledger needs no `Expire`, since it holds no record to age.
const RETENTION_TICK_MS: u64 = 10_000;

type Shared = sync::Arc<sync::RwLock<state::State>>;

/// State machine of the group. The lock on its state is held for at most one command or lookup.
#[derive(Debug)]
struct Machine {
    state: Shared,
}

impl machine::StateMachine for Machine {
    fn apply(&mut self, _index: u64, cmd: &[u8], reply: &mut Vec<u8>) {
        // Commands are encoded by this crate, and the log verifies the checksum of each record. A
        // command that cannot be decoded must stop the replica: skipping it could leave a claimed
        // key unclaimed.
        let cmd: command::Command =
            rmp_serde::from_slice(cmd).expect("command was encoded by this crate");
        let answer = write(&self.state).apply(cmd);
        rmp_serde::encode::write(reply, &answer).expect("reply can be encoded");
    }

    fn snapshot(&self, buf: &mut Vec<u8>) {
        rmp_serde::encode::write(buf, &*read(&self.state)).expect("state can be encoded");
    }

    fn restore(&mut self, snapshot: &[u8]) -> Result<(), String> {
        let restored = rmp_serde::from_slice(snapshot).map_err(|err| err.to_string())?;
        *write(&self.state) = restored;
        Ok(())
    }
}

fn read(state: &Shared) -> sync::RwLockReadGuard<'_, state::State> {
    state.read().expect("state lock is not poisoned")
}

fn write(state: &Shared) -> sync::RwLockWriteGuard<'_, state::State> {
    state.write().expect("state lock is not poisoned")
}

/// Ledger of the one-time requests of one region.
#[allow(missing_debug_implementations)] // Holds a trait object.
pub struct Ledger {
    region: String,
    clock: sync::Arc<dyn clock::Clock>,
    group: handle::Handle,
    state: Shared,
}

/// Last `Expire` command of a leader: time up to `at` has been added to the replicated state.
#[derive(Debug, Clone, Copy)]
struct Tick {
    term: u64,
    at: clock::Millis,
}

impl Ledger {
    /// Starts this process's replica of the group of its region.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system if the group cannot be started.
    pub fn start(
        host: &sync::Arc<groups::Host>,
        process: &model::Process,
        control: &model::Control,
        clock: sync::Arc<dyn clock::Clock>,
    ) -> io::Result<sync::Arc<Ledger>> {
        let region = process.region.clone();
        let is_member = |m: &&model::Member| m.region == region;
        let members: Vec<_> = control.members.iter().filter(is_member).cloned().collect();
        let state = state::State::new(state::Bounds::default());
        let state = sync::Arc::new(sync::RwLock::new(state));
        let machine = Box::new(Machine {
            state: sync::Arc::clone(&state),
        });
        let group = groups::start(host, &groups::ledger_group(&region), &members, machine)?;
        Ok(sync::Arc::new(Ledger {
            region,
            clock,
            group,
            state,
        }))
    }

    /// Returns the number of records in this replica's state.
    pub fn records_count(&self) -> usize {
        read(&self.state).records_count()
    }

    /// Handles the call `name`, or returns `None` if `name` is not a call of the ledger.
    pub fn call(self: sync::Arc<Self>, name: &str, body: Bytes) -> Option<server::ReplyFuture> {
        use command::{Command, Reply};
        match name {
            calls::CLAIM => Some(Box::pin(async move {
                let pick = |reply| match reply {
                    Reply::Claim(reply) => Some(reply),
                    _ => None,
                };
                self.change(&body, Command::Claim, pick).await
            })),
            calls::RECORD => Some(Box::pin(async move {
                let pick = |reply| match reply {
                    Reply::Record(reply) => Some(reply),
                    _ => None,
                };
                self.change(&body, Command::Record, pick).await
            })),
            calls::RELEASE => Some(Box::pin(async move {
                let pick = |reply| match reply {
                    Reply::Release(reply) => Some(reply),
                    _ => None,
                };
                self.change(&body, Command::Release, pick).await
            })),
            calls::MARK_UNKNOWN => Some(Box::pin(async move {
                let pick = |reply| match reply {
                    Reply::Status(status) => Some(status),
                    _ => None,
                };
                self.change(&body, Command::MarkUnknown, pick).await
            })),
            calls::LOOKUP => Some(Box::pin(async move { self.lookup(&body).await })),
            _ => None,
        }
    }

    async fn change<C: de::DeserializeOwned, R: Serialize>(
        &self,
        body: &[u8],
        command: fn(C) -> command::Command,
        pick: fn(command::Reply) -> Option<R>,
    ) -> server::Reply {
        let req: calls::Request<C> = server::decode(body)?;
        if let Some(refusal) = self.check_region(&req.region) {
            return server::encode::<calls::Reply<R>>(&refusal);
        }
        let cmd = rmp_serde::to_vec(&command(req.body)).expect("command can be encoded");
        let reply = match self.group.propose(cmd).await {
            Ok(reply) => {
                let reply = rmp_serde::from_slice(&reply).expect("state machine encodes its reply");
                let reply = pick(reply).expect("reply variant matches the command");
                calls::Reply::Done(reply)
            }
            Err(err) => error_reply(&err),
        };
        server::encode(&reply)
    }

    async fn lookup(&self, body: &[u8]) -> server::Reply {
        let req: calls::Request<calls::Lookup> = server::decode(body)?;
        if let Some(refusal) = self.check_region(&req.region) {
            return server::encode::<calls::Reply<command::Status>>(&refusal);
        }
        let reply = match self.group.confirm_leadership().await {
            Ok(_) => calls::Reply::Done(read(&self.state).lookup(req.body.key)),
            Err(err) => error_reply(&err),
        };
        server::encode(&reply)
    }

    fn check_region<R>(&self, region: &str) -> Option<calls::Reply<R>> {
        let text = || {
            format!(
                "this process serves the ledger of region {:?} only",
                self.region
            )
        };
        (region != self.region).then(|| calls::Reply::Refused(text()))
    }

    /// Expires claims and outcomes at a fixed interval while this replica leads, until `stop` turns
    /// true.
    pub async fn run_expiry(self: sync::Arc<Self>, mut stop: watch::Receiver<bool>) {
        let mut last_tick = None;
        while !*stop.borrow() {
            let pause_ms = match self.tick_ms() {
                Some(pause_ms) => {
                    last_tick = self.tick(last_tick).await;
                    pause_ms
                }
                None => {
                    last_tick = None;
                    CLAIMED_TICK_MS
                }
            };
            let pause = time::Duration::from_millis(pause_ms);
            tokio::select! {
                () = tokio::time::sleep(pause) => {}
                _ = stop.changed() => {}
            }
        }
    }

    fn tick_ms(&self) -> Option<u64> {
        let state = read(&self.state);
        if state.claimed_count() > 0 {
            Some(CLAIMED_TICK_MS)
        } else {
            (state.records_count() > 0).then_some(RETENTION_TICK_MS)
        }
    }

    /// Adds the time since the last tick of the same term to the replicated state. A term's first
    /// tick adds none, so that no interval is counted by two leaders. An interval that no leader
    /// counts only delays the expiry of records.
    async fn tick(&self, last_tick: Option<Tick>) -> Option<Tick> {
        // The clock is read before leadership is confirmed, so the term covers this time.
        let at = self.clock.now();
        let term = self.group.confirm_leadership().await.ok()?;
        let since = last_tick.filter(|t| t.term == term).map_or(at, |t| t.at);
        let mut elapsed_ms = at.since(since);
        loop {
            let cmd = command::Command::Expire { elapsed_ms };
            let cmd = rmp_serde::to_vec(&cmd).expect("command can be encoded");
            // After an error the interval may or may not have been added; the next tick adds none.
            let reply = self.group.propose(cmd).await.ok()?;
            let reply = rmp_serde::from_slice(&reply).expect("state machine encodes its reply");
            if !matches!(reply, command::Reply::Expired { has_more: true }) {
                return Some(Tick { term, at });
            }
            elapsed_ms = clock::Millis::ZERO;
        }
    }
}

fn error_reply<R>(err: &handle::ProposeError) -> calls::Reply<R> {
    match err {
        handle::ProposeError::NotLeader { leader } => calls::Reply::NotLeader { leader: *leader },
        handle::ProposeError::Unknown => calls::Reply::Uncertain,
        handle::ProposeError::Busy | handle::ProposeError::Stopped => {
            calls::Reply::Refused(err.to_string())
        }
    }
}

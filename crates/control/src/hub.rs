//! Answers to the syncs of entry processes.
//!
//! `nutmegdale-membership` owns the table and decides when a held sync is answered. This module
//! waits, has a quorum confirm the leadership, and adds the catalogue to the reply.

use crate::allocations;
use crate::catalogue;
use nutmegdale_base::clock;
use nutmegdale_catalogue::{audit, diff};
use nutmegdale_membership::{directory, hold, hub};
use nutmegdale_replica::handle;
use nutmegdale_rpc::message;
use std::net;
use std::sync;
use std::time;
use tokio::sync::watch;

/// Interval between two checks for silent entry processes and servers. It adds to the time after
/// which they are considered dead.
const EXPIRY_INTERVAL_MS: u64 = 250;
/// Time for which a confirmed term is assumed to last when a sync arrives. Leadership is confirmed
/// again before each reply, so a stale term only costs a retry.
const TERM_CACHE_MS: clock::Millis = clock::Millis(500);

/// Answers the syncs of entry processes on the leader; other replicas refuse them.
#[allow(missing_debug_implementations)] // Holds a trait object.
pub struct Hub {
    clock: sync::Arc<dyn clock::Clock>,
    group: handle::Handle,
    published: sync::Arc<catalogue::Published>,
    state: sync::Mutex<State>,
    watermarks: watch::Sender<hub::Watermarks>,
    grants_released: watch::Sender<()>,
}

/// Soft state of one term.
#[derive(Debug)]
pub struct State {
    /// Table of servers and entry processes.
    pub table: hub::HubTable,
    /// Counts of requests that entry processes report, for the audit.
    pub audit: audit::RequestCounts,
    /// Grants of cold servers and shares of rate limits.
    pub allocations: allocations::Allocations,
    confirmed_at: clock::Millis,
}

impl State {
    fn new(epoch: u64, now: clock::Millis) -> State {
        State {
            table: hub::HubTable::new(epoch, now),
            audit: audit::RequestCounts::default(),
            allocations: allocations::Allocations::new(epoch, now),
            confirmed_at: now,
        }
    }
}

impl Hub {
    /// Creates the hub of this process's replica `group` of the catalogue.
    pub fn new(
        clock: sync::Arc<dyn clock::Clock>,
        group: handle::Handle,
        published: sync::Arc<catalogue::Published>,
    ) -> Hub {
        // No term has number 0, so the first confirmed term replaces this table.
        let state = sync::Mutex::new(State::new(0, clock.now()));
        Hub {
            clock,
            group,
            published,
            state,
            watermarks: watch::Sender::new(hub::Watermarks::default()),
            grants_released: watch::Sender::new(()),
        }
    }

    /// Answers a sync once there is a change to report or its hold time is over.
    ///
    /// A quorum confirms the leadership after the hold, so the reply is not stale when it is built.
    pub async fn sync(&self, req: &message::SyncRequest) -> message::SyncReply {
        let arrived = self.clock.now();
        let epoch = match self.recent_term(arrived).await {
            Ok(term) => term,
            Err(err) => return not_leader(&err),
        };
        let wants_all = self.apply_sync(epoch, req);
        if !wants_all {
            self.wait_for_change(arrived, req).await;
        }
        match self.group.confirm_leadership().await {
            Ok(term) if term == epoch => self.build_reply(req, wants_all),
            Ok(term) => {
                self.adopt_term(term);
                message::SyncReply::NotLeader { leader: None }
            }
            Err(err) => not_leader(&err),
        }
    }

    /// Confirms leadership and applies `read` to the soft state of this term.
    ///
    /// # Errors
    ///
    /// Fails if this replica does not lead.
    pub async fn read<T>(
        &self,
        read: impl FnOnce(&State, clock::Millis) -> T,
    ) -> Result<T, handle::ProposeError> {
        let term = self.group.confirm_leadership().await?;
        self.adopt_term(term);
        Ok(read(&self.state(), self.clock.now()))
    }

    /// Expires silent entry processes and servers at a fixed interval until `stop` turns true.
    pub async fn expire(&self, mut stop: watch::Receiver<bool>) {
        let interval = time::Duration::from_millis(EXPIRY_INTERVAL_MS);
        while tokio::time::timeout(interval, stop.wait_for(|is_stopping| *is_stopping))
            .await
            .is_err()
        {
            let now = self.clock.now();
            let mut state = self.state();
            state.table.expire(now);
            self.publish(state.table.watermarks());
        }
    }

    fn state(&self) -> sync::MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    fn publish(&self, watermarks: hub::Watermarks) {
        self.watermarks.send_if_modified(|last| {
            let is_new = *last != watermarks;
            *last = watermarks;
            is_new
        });
    }

    async fn recent_term(&self, now: clock::Millis) -> Result<u64, handle::ProposeError> {
        {
            let state = self.state();
            let epoch = state.table.watermarks().epoch;
            if epoch != 0 && now.since(state.confirmed_at) < TERM_CACHE_MS {
                return Ok(epoch);
            }
        }
        let term = self.group.confirm_leadership().await?;
        self.adopt_term(term);
        Ok(term)
    }

    /// Records that a quorum confirmed `term`; a new term starts with an empty table.
    fn adopt_term(&self, term: u64) {
        let now = self.clock.now();
        let mut state = self.state();
        let epoch = state.table.watermarks().epoch;
        // A late confirmation of an earlier term must not replace the table of a later term.
        if term > epoch {
            *state = State::new(term, now);
        }
        if term >= epoch {
            state.confirmed_at = now;
        }
    }

    fn apply_sync(&self, epoch: u64, req: &message::SyncRequest) -> bool {
        let now = self.clock.now();
        let mut state = self.state();
        if state.table.watermarks().epoch != epoch {
            return false;
        }
        let upload = hub::Upload {
            entry: &req.entry,
            changed: &req.changed,
            is_all: req.is_all,
            version: req.version.0,
        };
        let wants_all = state.table.sync(now, upload);
        state
            .audit
            .record_report(&req.entry.name, req.entry.boot, &req.audit);
        let State {
            table, allocations, ..
        } = &mut *state;
        if allocations.apply_sync(now, req, table) {
            self.grants_released.send_replace(());
        }
        self.publish(state.table.watermarks());
        wants_all
    }

    async fn wait_for_change(&self, arrived: clock::Millis, req: &message::SyncRequest) {
        let mut versions = self.published.subscribe();
        let mut watermarks = self.watermarks.subscribe();
        let mut grants_released = self.grants_released.subscribe();
        let held = hold::HeldSync {
            arrived,
            last_answer: self.state().table.last_answer(&req.entry.name),
            may_hold: req.may_hold,
        };
        loop {
            grants_released.mark_unchanged();
            let now = self.clock.now();
            let has_changes = self.state().allocations.has_grantable(now, req)
                || self.control_list().revision != req.control
                || *versions.borrow_and_update() > req.version.0
                || hold::has_changes(*watermarks.borrow_and_update(), req.position);
            match hold::decide(now, held, has_changes) {
                hold::Action::Answer => return,
                hold::Action::Batch(until) => sleep(until.since(now)).await,
                hold::Action::WaitForChange(until) => tokio::select! {
                    () = sleep(until.since(now)) => {}
                    _ = versions.changed() => {}
                    _ = watermarks.changed() => {}
                    _ = grants_released.changed() => {}
                },
            }
        }
    }

    fn build_reply(&self, req: &message::SyncRequest, wants_all: bool) -> message::SyncReply {
        let now = self.clock.now();
        let current = self.published.load();
        let accepted = &current.accepted;
        let version = accepted.config.version;
        let update =
            (version > req.version).then(|| match accepted.history.diff(req.version, version) {
                Some(effects) if req.version.0 > 0 => {
                    message::Update::Effects(effects.into_iter().map(without_before).collect())
                }
                _ => message::Update::Whole(Box::new(accepted.config.as_ref().clone())),
            });
        let control = self.control_list();
        let mut state = self.state();
        state.table.record_answer(now, &req.entry.name);
        message::SyncReply::Confirmed(Box::new(message::Confirmed {
            version,
            digest: current.digest,
            update,
            delta: directory::Delta::collect(&state.table, req.position),
            wants_all,
            grants: state.allocations.grant(now, req),
            shares: state.allocations.shares_of(&req.entry.name, &state.table),
            control: (control.revision != req.control).then_some(control),
        }))
    }

    /// Returns the control processes, which are the members of the catalogue group.
    fn control_list(&self) -> message::ControlList {
        let status = self.group.status();
        let members = status
            .members
            .members
            .iter()
            .map(|m| message::ControlMember {
                name: m.name.clone(),
                region: m.region.clone(),
                address: m.address,
            });
        message::ControlList::new(members.collect())
    }
}

/// Drops the previous entry, which the receiver already has.
fn without_before(effect: diff::Effect) -> diff::Effect {
    diff::Effect {
        before: None,
        ..effect
    }
}

async fn sleep(duration: clock::Millis) {
    tokio::time::sleep(time::Duration::from_millis(duration.0)).await;
}

fn not_leader(err: &handle::ProposeError) -> message::SyncReply {
    message::SyncReply::NotLeader {
        leader: leader_of(err),
    }
}

/// Returns the leader that an error names.
pub fn leader_of(err: &handle::ProposeError) -> Option<net::SocketAddr> {
    match err {
        handle::ProposeError::NotLeader { leader } => *leader,
        _ => None,
    }
}

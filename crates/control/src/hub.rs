//! Answers to the syncs of entry processes.
//!
//! The table lies in `nutmegdale-membership`, and so does the decision when a held sync is
//! answered; this module waits, asks the quorum and joins both with the catalogue.

use crate::catalogue;
use crate::leader;
use nutmegdale_base::clock;
use nutmegdale_catalogue::{audit, diff};
use nutmegdale_membership::{directory, hold, hub};
use nutmegdale_replica::handle;
use nutmegdale_rpc::message;
use std::net;
use std::sync;
use std::time;
use tokio::sync::watch;

/// Pace at which silent entry processes and servers are ended. It adds to the times after which
/// they count as dead.
const EXPIRE_MS: u64 = 250;
/// Time for which a confirmed term is taken for granted when a sync arrives. The answer itself is
/// always confirmed anew, so a stale term costs a retry and nothing else.
const TERM_FRESH_MS: clock::Millis = clock::Millis(500);

/// Hub of the leader; a replica that does not lead refuses syncs.
#[allow(missing_debug_implementations)] // Holds a trait object.
pub struct Hub {
    clock: sync::Arc<dyn clock::Clock>,
    group: handle::Handle,
    published: sync::Arc<catalogue::Published>,
    state: sync::Mutex<State>,
    marks: watch::Sender<hub::Watermarks>,
    freed: watch::Sender<()>,
}

/// Soft state of one term.
#[derive(Debug)]
pub struct State {
    /// Table of servers and entry processes.
    pub table: hub::HubTable,
    /// Counts of what entry processes did.
    pub audit: audit::RequestCounts,
    /// Grants and shares.
    pub leader: leader::Leader,
    confirmed: clock::Millis,
}

impl State {
    fn new(epoch: u64, now: clock::Millis) -> State {
        State {
            table: hub::HubTable::new(epoch, now),
            audit: audit::RequestCounts::default(),
            leader: leader::Leader::new(epoch, now),
            confirmed: now,
        }
    }
}

impl Hub {
    /// Creates a hub over the group.
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
            marks: watch::Sender::new(hub::Watermarks::default()),
            freed: watch::Sender::new(()),
        }
    }

    /// Answers a sync once something changed or the time to hold it is over.
    ///
    /// The quorum confirms leadership after the hold, so the answer is current when it is made.
    pub async fn sync(&self, req: &message::SyncRequest) -> message::SyncReply {
        let arrived = self.clock.now();
        let epoch = match self.recent_term(arrived).await {
            Ok(term) => term,
            Err(err) => return not_leader(&err),
        };
        let wants_all = self.take(epoch, req);
        if !wants_all {
            self.hold(arrived, req).await;
        }
        match self.group.confirm_leadership().await {
            Ok(term) if term == epoch => self.reply(req, wants_all),
            Ok(term) => {
                self.adopt(term);
                message::SyncReply::NotLeader { leader: None }
            }
            Err(err) => not_leader(&err),
        }
    }

    /// Confirms leadership and shows the soft state of this term to `read`.
    ///
    /// # Errors
    ///
    /// Fails if this replica does not lead.
    pub async fn read<T>(
        &self,
        read: impl FnOnce(&State, clock::Millis) -> T,
    ) -> Result<T, handle::ProposeError> {
        let term = self.group.confirm_leadership().await?;
        self.adopt(term);
        Ok(read(&self.state(), self.clock.now()))
    }

    /// Ends silent entry processes and servers at a fixed pace until `stop` turns true.
    pub async fn expire(&self, mut stop: watch::Receiver<bool>) {
        let pace = time::Duration::from_millis(EXPIRE_MS);
        while tokio::time::timeout(pace, stop.wait_for(|is_stopping| *is_stopping))
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

    fn publish(&self, marks: hub::Watermarks) {
        self.marks.send_if_modified(|last| {
            let is_new = *last != marks;
            *last = marks;
            is_new
        });
    }

    async fn recent_term(&self, now: clock::Millis) -> Result<u64, handle::ProposeError> {
        {
            let state = self.state();
            let epoch = state.table.watermarks().epoch;
            if epoch != 0 && now.since(state.confirmed) < TERM_FRESH_MS {
                return Ok(epoch);
            }
        }
        let term = self.group.confirm_leadership().await?;
        self.adopt(term);
        Ok(term)
    }

    /// Takes up a term that a quorum confirmed; a new one begins with an empty table.
    fn adopt(&self, term: u64) {
        let now = self.clock.now();
        let mut state = self.state();
        let epoch = state.table.watermarks().epoch;
        // A late confirmation of an earlier term must not replace the table of a later one.
        if term > epoch {
            *state = State::new(term, now);
        }
        if term >= epoch {
            state.confirmed = now;
        }
    }

    fn take(&self, epoch: u64, req: &message::SyncRequest) -> bool {
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
        let State { table, leader, .. } = &mut *state;
        if leader.take(now, req, table) {
            self.freed.send_replace(());
        }
        self.publish(state.table.watermarks());
        wants_all
    }

    async fn hold(&self, arrived: clock::Millis, req: &message::SyncRequest) {
        let mut versions = self.published.subscribe();
        let mut marks = self.marks.subscribe();
        let mut freed = self.freed.subscribe();
        let held = hold::HeldSync {
            arrived,
            last_answer: self.state().table.last_answer(&req.entry.name),
            may_hold: req.may_hold,
        };
        loop {
            freed.mark_unchanged();
            let now = self.clock.now();
            let has_news = self.state().leader.has_free(now, req)
                || self.control_list().revision != req.control
                || *versions.borrow_and_update() > req.version.0
                || hold::has_changes(*marks.borrow_and_update(), req.position);
            match hold::decide(now, held, has_news) {
                hold::Action::Answer => return,
                hold::Action::Batch(until) => sleep(until.since(now)).await,
                hold::Action::WaitForChange(until) => tokio::select! {
                    () = sleep(until.since(now)) => {}
                    _ = versions.changed() => {}
                    _ = marks.changed() => {}
                    _ = freed.changed() => {}
                },
            }
        }
    }

    fn reply(&self, req: &message::SyncRequest, wants_all: bool) -> message::SyncReply {
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
            grants: state.leader.grant(now, req),
            shares: state.leader.shares_of(&req.entry.name, &state.table),
            control: (control.revision != req.control).then_some(control),
        }))
    }

    /// Returns the control processes, which are the members of the catalogue's group.
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

/// Leaves out what the receiver holds anyhow.
fn without_before(effect: diff::Effect) -> diff::Effect {
    diff::Effect {
        before: None,
        ..effect
    }
}

async fn sleep(span: clock::Millis) {
    tokio::time::sleep(time::Duration::from_millis(span.0)).await;
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

//! The registry as the state machine of a replicated group.

use crate::rollout_times;
use nutmegdale_base::clock;
use nutmegdale_registry::{feed, rollout, server, state};
use nutmegdale_replica::machine;
use std::collections;
use std::sync;
use tokio::sync::watch;

/// Registry of this replica, shared by the thread that applies the log and the tasks that serve
/// calls.
#[allow(missing_debug_implementations)] // Holds a trait object.
pub struct Shared {
    inner: sync::Mutex<Inner>,
    index: watch::Sender<u64>,
    clock: sync::Arc<dyn clock::Clock>,
}

#[derive(Debug, Default)]
struct Inner {
    state: state::State,
    feed: feed::Feed,
    /// When each server's record was applied here; its remaining cold time counts down from then.
    applied_at: collections::HashMap<String, clock::Millis>,
    /// Index of the first configuration, if this replica has applied the command itself.
    first_configuration: Option<u64>,
    /// Times of the commands of rollouts.
    rollout_times: rollout_times::RolloutTimes,
    /// Changes of the command that is being applied; kept to reuse its buffer.
    changes: Vec<feed::Change>,
}

/// Rollout that has not ended.
#[derive(Debug)]
pub struct RunningRollout {
    /// Name of the service.
    pub service: String,
    /// State in the registry.
    pub rollout: rollout::Rollout,
    /// Time since the order, as this replica measures it.
    pub elapsed: clock::Millis,
    /// Servers of other versions that accept requests, and those of the target version.
    pub servers: (usize, usize),
}

/// Changes that a follower of the registry lacks.
#[derive(Debug)]
pub struct Delta {
    /// Index of the registry after the changes.
    pub index: u64,
    /// Whether the changes list the whole registry.
    pub is_whole: bool,
    /// Changes in the order in which they were applied.
    pub changes: Vec<feed::Change>,
}

impl Shared {
    /// Creates an empty registry.
    pub fn new(clock: sync::Arc<dyn clock::Clock>) -> sync::Arc<Shared> {
        sync::Arc::new(Shared {
            inner: sync::Mutex::default(),
            index: watch::channel(0).0,
            clock,
        })
    }

    fn inner(&self) -> sync::MutexGuard<'_, Inner> {
        self.inner
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Calls `read` with the state, under the lock.
    pub fn read<T>(&self, read: impl FnOnce(&state::State) -> T) -> T {
        read(&self.inner().state)
    }

    /// Returns the index of the first configuration; `None` if there is none or if it is older than
    /// the snapshot from which this replica was restored.
    pub fn first_configuration(&self) -> Option<u64> {
        self.inner().first_configuration
    }

    /// Returns a receiver of the last applied index.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.index.subscribe()
    }

    /// Returns whether an announcement would change the registry of this replica.
    pub fn changes_record(&self, new: &server::Announcement) -> bool {
        let inner = self.inner();
        let old = inner.state.servers.get(&new.id);
        let old = old.map(|record| {
            let announcement = &record.announcement;
            (
                announcement,
                self.cold_left(&inner.applied_at, announcement),
            )
        });
        server::changes_record(new, old)
    }

    fn cold_left(
        &self,
        applied_at: &collections::HashMap<String, clock::Millis>,
        announcement: &server::Announcement,
    ) -> clock::Millis {
        let applied_at = applied_at
            .get(&announcement.id)
            .copied()
            .unwrap_or_default();
        announcement
            .cold_left
            .since(self.clock.now().since(applied_at))
    }

    /// Returns the changes since `index`, or the whole registry if the feed no longer holds them.
    pub fn since(&self, index: u64) -> Delta {
        let inner = self.inner();
        let recent = (index > 0).then(|| inner.feed.since(index)).flatten();
        let (is_whole, mut changes) = match recent {
            Some(changes) => (false, changes),
            None if index == 0 || index < inner.state.index => (true, inner.state.full_changes()),
            None => (false, Vec::new()),
        };
        for change in &mut changes {
            if let feed::Change::Server(announcement) = change {
                announcement.cold_left = self.cold_left(&inner.applied_at, announcement);
            }
        }
        Delta {
            index: inner.state.index,
            is_whole,
            changes,
        }
    }

    /// Returns the rollouts that have not ended.
    pub fn running_rollouts(&self) -> Vec<RunningRollout> {
        let now = self.clock.now();
        let inner = self.inner();
        let rollouts = inner.state.rollouts.iter();
        let running = rollouts.filter(|(_, rollout)| rollout.stage.is_running());
        let running = running.map(|(service, rollout)| RunningRollout {
            service: service.clone(),
            rollout: rollout.clone(),
            elapsed: inner.rollout_times.elapsed(now, service),
            servers: inner.state.rollout_servers(service),
        });
        running.collect()
    }

    /// Returns whether this replica applied an equal order within the last `limit`.
    pub fn was_ordered(&self, order: &rollout::Order, limit: clock::Millis) -> bool {
        let now = self.clock.now();
        self.inner().rollout_times.was_ordered(now, order, limit)
    }

    fn publish(&self, index: u64) {
        self.index.send_replace(index);
    }
}

/// State machine of the replicated group, which applies commands to the shared registry.
#[allow(missing_debug_implementations)] // Holds a trait object.
pub struct Machine {
    shared: sync::Arc<Shared>,
}

impl Machine {
    /// Creates a state machine that applies commands to `shared`.
    pub fn new(shared: sync::Arc<Shared>) -> Machine {
        Machine { shared }
    }
}

impl machine::StateMachine for Machine {
    fn apply(&mut self, index: u64, cmd: &[u8], reply: &mut Vec<u8>) {
        let now = self.shared.clock.now();
        let cmd: state::Command =
            rmp_serde::from_slice(cmd).expect("a replica of this build encoded the command");
        let mut guard = self.shared.inner();
        let inner = &mut *guard;
        let rollout_cmd = matches!(
            cmd,
            state::Command::StartRollout(_) | state::Command::AdvanceRollout(_)
        )
        .then(|| cmd.clone());
        let was_configured = inner.state.version > 0;
        let answer = inner.state.apply(index, cmd, &mut inner.changes);
        if !was_configured && inner.state.version > 0 {
            inner.first_configuration = Some(index);
        }
        if let Some(cmd) = &rollout_cmd {
            inner.rollout_times.record(now, cmd, &inner.state);
        }
        for change in &inner.changes {
            match change {
                feed::Change::Server(announcement) => {
                    inner.applied_at.insert(announcement.id.clone(), now);
                }
                feed::Change::Forgotten(id) => drop(inner.applied_at.remove(id)),
                _ => {}
            }
        }
        inner.feed.extend(index, inner.changes.drain(..));
        drop(guard);
        rmp_serde::encode::write(reply, &answer).expect("an answer can be encoded");
        self.shared.publish(index);
    }

    fn snapshot(&self, buf: &mut Vec<u8>) {
        rmp_serde::encode::write_named(buf, &self.shared.inner().state)
            .expect("the state can be encoded");
    }

    fn restore(&mut self, snapshot: &[u8]) -> Result<(), String> {
        let state: state::State = rmp_serde::from_slice(snapshot).map_err(|err| err.to_string())?;
        let now = self.shared.clock.now();
        let index = state.index;
        let mut inner = self.shared.inner();
        inner.first_configuration = None;
        inner.applied_at = state.servers.keys().map(|id| (id.clone(), now)).collect();
        inner.rollout_times.reset(now, &state);
        inner.feed.reset(index);
        inner.state = state;
        drop(inner);
        self.shared.publish(index);
        Ok(())
    }
}

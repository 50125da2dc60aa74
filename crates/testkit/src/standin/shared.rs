//! State that the connections and the announcements of a stand-in share.

use super::behaviour;
use super::counts;
use nutmegdale_membership::announcement;
use std::ops;
use std::sync;
use std::time;

/// State of a stand-in; dereferences to its counters.
#[derive(Debug)]
pub struct Shared {
    pub(super) limits: announcement::Announcement,
    pub(super) counts: counts::Counts,
    pub(super) slots: tokio::sync::Semaphore,
    pub(super) changed: tokio::sync::Notify,
    inner: sync::Mutex<Inner>,
    load_reporter: behaviour::Reporter,
    announcement_reporter: behaviour::Reporter,
}

#[derive(Debug)]
struct Inner {
    behaviour: behaviour::Behaviour,
    cold_since: time::Instant,
    cold_served_count: u32,
    draining_since: Option<time::Instant>,
    collapsed_until: Option<time::Instant>,
}

impl ops::Deref for Shared {
    type Target = counts::Counts;

    fn deref(&self) -> &counts::Counts {
        &self.counts
    }
}

impl Shared {
    pub(super) fn new(
        limits: announcement::Announcement,
        behaviour: behaviour::Behaviour,
    ) -> Shared {
        let slots = tokio::sync::Semaphore::new(limits.slots as usize);
        Shared {
            limits,
            counts: counts::Counts::default(),
            slots,
            changed: tokio::sync::Notify::new(),
            inner: sync::Mutex::new(Inner {
                behaviour,
                cold_since: time::Instant::now(),
                cold_served_count: 0,
                draining_since: None,
                collapsed_until: None,
            }),
            load_reporter: behaviour::Reporter::default(),
            announcement_reporter: behaviour::Reporter::default(),
        }
    }

    fn inner(&self) -> sync::MutexGuard<'_, Inner> {
        self.inner.lock().expect("no panic while the lock is held")
    }

    /// Changes the behaviour; a change of state is announced immediately.
    pub fn set(&self, change: impl FnOnce(&mut behaviour::Behaviour)) {
        let mut inner = self.inner();
        let before = inner.behaviour.state;
        change(&mut inner.behaviour);
        let after = inner.behaviour.state;
        if before == after {
            return;
        }
        if after == announcement::ServerState::Cold {
            inner.cold_since = time::Instant::now();
            inner.cold_served_count = 0;
        }
        inner.draining_since =
            (after == announcement::ServerState::Draining).then(time::Instant::now);
        self.changed.notify_one();
    }

    /// Turns the server cold; announcements still show it as warm.
    pub fn turn_cold_silently(&self) {
        let announced = behaviour::Load {
            state: announcement::ServerState::Warm,
            ..self.load()
        };
        self.set(|behaviour| {
            behaviour.announces = behaviour::LoadSource::Fixed(announced);
            behaviour.state = announcement::ServerState::Cold;
        });
    }

    pub(super) fn behaviour(&self) -> behaviour::Behaviour {
        self.inner().behaviour.clone()
    }

    /// Returns the actual load.
    pub fn load(&self) -> behaviour::Load {
        let running = self.counts.running.current();
        behaviour::Load {
            running,
            waiting: self.counts.in_system.current().saturating_sub(running),
            slots: self.limits.slots,
            state: self.behaviour().state,
        }
    }

    pub(super) fn reported_load(&self) -> Option<behaviour::Load> {
        let source = self.behaviour().reports;
        self.load_reporter.report(source, self.load())
    }

    pub(super) fn announced_load(&self) -> Option<behaviour::Load> {
        self.warm_up_by_time();
        let source = self.behaviour().announces;
        self.announcement_reporter.report(source, self.load())
    }

    pub(super) fn record_late_arrival(&self) {
        if let Some(since) = self.inner().draining_since {
            self.counts.add_late_arrival(since.elapsed());
        }
    }

    /// Stalls all requests for `span` and restarts the cold start.
    pub(super) fn collapse(&self, span: time::Duration) {
        self.counts.collapses.add_one();
        let mut inner = self.inner();
        let now = time::Instant::now();
        inner.collapsed_until = Some(now + span);
        inner.cold_since = now;
        inner.cold_served_count = 0;
    }

    pub(super) fn collapsed_until(&self) -> Option<time::Instant> {
        let until = self.inner().collapsed_until;
        until.filter(|until| *until > time::Instant::now())
    }

    /// Counts a request that a cold server has served, and turns the server warm if it has served
    /// enough requests or enough time has passed.
    pub(super) fn warm_up(&self) {
        let mut inner = self.inner();
        if inner.behaviour.state != announcement::ServerState::Cold {
            return;
        }
        inner.cold_served_count += 1;
        let served = inner.cold_served_count;
        let is_warm = inner
            .behaviour
            .warm_after_count
            .is_some_and(|count| served >= count);
        drop(inner);
        if is_warm {
            self.set(|behaviour| behaviour.state = announcement::ServerState::Warm);
        }
        self.warm_up_by_time();
    }

    fn warm_up_by_time(&self) {
        let inner = self.inner();
        let is_cold = inner.behaviour.state == announcement::ServerState::Cold;
        let age = inner.cold_since.elapsed();
        let is_warm = inner.behaviour.warm_after.is_some_and(|span| age >= span);
        drop(inner);
        if is_cold && is_warm {
            self.set(|behaviour| behaviour.state = announcement::ServerState::Warm);
        }
    }
}

//! Live part of one start of a backend server.

use crate::pool;
use nutmegdale_base::clock;
use nutmegdale_dispatch::{cold, health, placement, signal};
use nutmegdale_registry::server;
use std::sync::atomic;

/// Marks the health check of a server that is under way, so that others wait for its answer instead
/// of asking the same.
#[derive(Debug, Default)]
pub struct Check {
    is_under_way: atomic::AtomicBool,
    ended: tokio::sync::Notify,
}

impl Check {
    /// Returns whether a health check is under way.
    pub fn is_under_way(&self) -> bool {
        self.is_under_way.load(atomic::Ordering::Acquire)
    }

    /// Begins a health check that ends when the value is dropped, unless one is under way.
    pub fn begin(&self) -> Option<UnderWay<'_>> {
        let was_under_way = self.is_under_way.swap(true, atomic::Ordering::AcqRel);
        (!was_under_way).then(|| UnderWay(self))
    }

    /// Waits for the end of the health check that is under way, if there is one.
    pub async fn wait(&self) {
        let mut ended = std::pin::pin!(self.ended.notified());
        ended.as_mut().enable();
        if self.is_under_way() {
            ended.await;
        }
    }
}

/// Health check that ends when the value is dropped.
#[derive(Debug)]
pub struct UnderWay<'a>(&'a Check);

impl Drop for UnderWay<'_> {
    fn drop(&mut self) {
        self.0.is_under_way.store(false, atomic::Ordering::Release);
        self.0.ended.notify_waiters();
    }
}

/// Live part of one start of a server; it outlives tables.
#[derive(Debug)]
pub struct Backend {
    /// What the server announced when this start was first seen.
    pub announcement: server::Announcement,
    /// Region of its zone.
    pub region: String,
    /// Way to it.
    pub distance: placement::Distance,
    /// Load.
    pub signal: signal::Signal,
    /// Failures.
    pub health: health::Health,
    /// Pace while it is cold.
    pub pace: cold::Pacer,
    /// Connections.
    pub pool: pool::Pool,
    /// Health check under way.
    pub check: Check,
    is_open: atomic::AtomicBool,
    is_cold_holder: atomic::AtomicBool,
    /// Digest of the processes for which the above was worked out; 0 before.
    ranked_for: atomic::AtomicU64,
    is_preferred: atomic::AtomicBool,
    cold_until_ms: atomic::AtomicU64,
}

impl Backend {
    /// Creates the live part of a start that is closed to requests.
    pub fn new(
        announcement: server::Announcement,
        region: String,
        distance: placement::Distance,
    ) -> Backend {
        Backend {
            pool: pool::Pool::new(announcement.address),
            announcement,
            region,
            distance,
            signal: signal::Signal::default(),
            health: health::Health::default(),
            pace: cold::Pacer::default(),
            check: Check::default(),
            is_open: atomic::AtomicBool::new(false),
            is_cold_holder: atomic::AtomicBool::new(false),
            ranked_for: atomic::AtomicU64::new(0),
            is_preferred: atomic::AtomicBool::new(false),
            cold_until_ms: atomic::AtomicU64::new(0),
        }
    }

    /// Returns the identity of the server.
    pub fn id(&self) -> &str {
        &self.announcement.id
    }

    /// Opens or closes the server to requests; returns whether that changed.
    pub fn set_open(&self, is_open: bool) -> bool {
        self.is_open.swap(is_open, atomic::Ordering::AcqRel) != is_open
    }

    /// Returns whether requests may be sent, which is asked again right before each send.
    pub fn is_open(&self) -> bool {
        self.is_open.load(atomic::Ordering::Acquire)
    }

    /// Sets whether this process is among those that may send to the server while it is cold.
    /// `processes` tells the processes that were ranked; the same ones are not ranked again, since
    /// servers and configurations change more often than processes do.
    pub fn set_cold_holder(&self, processes: u64, is_holder: impl FnOnce() -> bool) {
        if self.ranked_for.swap(processes, atomic::Ordering::Relaxed) != processes {
            self.is_cold_holder
                .store(is_holder(), atomic::Ordering::Release);
        }
    }

    /// Sets whether the server is among those that this process goes to first.
    pub fn set_preferred(&self, is_preferred: bool) {
        self.is_preferred
            .store(is_preferred, atomic::Ordering::Relaxed);
    }

    /// Notes until when the server is cold, at least.
    pub fn cold_until(&self, until: clock::Millis) {
        self.cold_until_ms
            .fetch_max(until.0, atomic::Ordering::AcqRel);
    }

    /// Notes that the server itself says that it is warm.
    pub fn warm(&self) {
        self.cold_until_ms.store(0, atomic::Ordering::Release);
    }

    /// Returns whether the server is cold.
    pub fn is_cold(&self, now: clock::Millis) -> bool {
        now.0 < self.cold_until_ms.load(atomic::Ordering::Acquire)
    }

    /// Returns whether a request could be sent now, as far as warming up is concerned.
    pub fn may_take(&self, now: clock::Millis) -> bool {
        !self.is_cold(now)
            || (self.is_cold_holder.load(atomic::Ordering::Acquire) && self.pace.is_ready(now))
    }

    /// Takes the right to send one request now.
    pub fn take(&self, now: clock::Millis) -> bool {
        !self.is_cold(now)
            || (self.is_cold_holder.load(atomic::Ordering::Acquire) && self.pace.take(now))
    }

    /// Returns the server as a candidate.
    pub fn candidate(&self, now: clock::Millis) -> placement::Candidate<'_> {
        placement::Candidate {
            signal: &self.signal,
            health: &self.health,
            slots: self.announcement.slots,
            distance: self.distance,
            is_cold: self.is_cold(now),
            is_preferred: self.is_preferred.load(atomic::Ordering::Relaxed)
                || self.pool.is_connected(),
        }
    }
}

//! Runtime state of one incarnation of a backend server.

use crate::{crashes, pool, precedence as priorities, rollouts};
use arc_swap::ArcSwap;
use nutmegdale_base::clock;
use nutmegdale_dispatch::{
    availability, connects, health, placement, precedence, server_limit, server_rate, shedding,
    signal,
};
use nutmegdale_registry::server;
use std::sync;
use std::sync::atomic;

/// Allows one health check of a server at a time, so that concurrent requests share its result.
#[derive(Debug, Default)]
pub struct SharedProbe {
    is_running: atomic::AtomicBool,
    ended: tokio::sync::Notify,
}

impl SharedProbe {
    /// Returns whether a health check is running.
    pub fn is_running(&self) -> bool {
        self.is_running.load(atomic::Ordering::Acquire)
    }

    /// Begins a health check that ends when the guard is dropped. Returns `None` if one is running.
    pub fn try_begin(&self) -> Option<ProbeGuard<'_>> {
        let was_running = self.is_running.swap(true, atomic::Ordering::AcqRel);
        (!was_running).then(|| ProbeGuard(self))
    }

    /// Waits for the end of the running health check, if there is one.
    pub async fn wait(&self) {
        let mut ended = std::pin::pin!(self.ended.notified());
        ended.as_mut().enable();
        if self.is_running() {
            ended.await;
        }
    }
}

/// Guard of a running health check.
#[derive(Debug)]
pub struct ProbeGuard<'a>(&'a SharedProbe);

impl Drop for ProbeGuard<'_> {
    fn drop(&mut self) {
        self.0.is_running.store(false, atomic::Ordering::Release);
        self.0.ended.notify_waiters();
    }
}

/// Place of this process among those that share the rate of a server.
#[derive(Debug, Clone, Copy, Default)]
pub struct Ranking {
    /// Rank for the server.
    pub rank: server_rate::Rank,
    /// Share in the rate of the server while it is cold; `None` if others send to it then.
    pub cold_share: Option<server_rate::Share>,
}

/// Permission of the rate limits of a server to send one request.
#[derive(Debug, Clone, Copy)]
pub struct Permit {
    /// Whether it is a permit of a limit that the server named.
    has_limit: bool,
}

/// Runtime state of one incarnation of a server; it is kept when the table is rebuilt.
#[derive(Debug)]
pub struct Backend {
    /// First announcement of this incarnation.
    pub announcement: server::Announcement,
    /// Region of the server's zone.
    pub region: String,
    /// Network distance from this process.
    pub distance: placement::Distance,
    /// Position in the order in which servers keep a slot free for urgent requests.
    pub position: u32,
    /// Load reports and in-flight requests.
    pub signal: signal::Signal,
    /// Failure statistics for outlier ejection.
    pub health: health::Health,
    /// What the server says about its availability.
    pub availability: availability::Availability,
    /// Servers that are leaving, which outlives this state.
    leaving: sync::Arc<availability::LeavingServers>,
    /// What this process remembers of the requests at its service.
    pub history: sync::Arc<priorities::History>,
    /// Rejections in a row although it had free slots.
    pub streak: shedding::Streak,
    /// Pacer of this process's requests while the server is cold.
    cold_pacer: server_rate::Pacer,
    /// Rate limit that the server names.
    pub limit: server_limit::Current,
    /// Pacer of this process's requests while the server names a limit.
    limit_pacer: server_rate::Pacer,
    /// Connection pool.
    pub pool: pool::Pool,
    /// Pause in new connections for health checks.
    pub connect_hold: connects::Hold,
    /// Health check, shared by concurrent requests.
    pub probe: SharedProbe,
    /// Requests that may have crashed the server.
    pub suspects: crashes::Suspects,
    is_open: atomic::AtomicBool,
    ranking: ArcSwap<Ranking>,
    /// Digest of what `ranking` was computed from; 0 before that.
    ranking_digest: atomic::AtomicU64,
    is_preferred: atomic::AtomicBool,
    cold_until_ms: atomic::AtomicU64,
    /// Number of the [`rollouts::Role`].
    role: atomic::AtomicU8,
}

impl Backend {
    /// Creates the state of an incarnation that does not accept requests yet. It never will if it
    /// is in `leaving`.
    pub fn new(
        announcement: server::Announcement,
        region: String,
        distance: placement::Distance,
        leaving: sync::Arc<availability::LeavingServers>,
        history: sync::Arc<priorities::History>,
    ) -> Backend {
        let availability = availability::Availability::default();
        if leaving.contains(&announcement.id, announcement.born) {
            availability.mark_leaving();
        }
        Backend {
            availability,
            leaving,
            history,
            streak: shedding::Streak::default(),
            pool: pool::Pool::new(announcement.address),
            position: precedence::position(&announcement.id),
            announcement,
            region,
            distance,
            signal: signal::Signal::default(),
            health: health::Health::default(),
            cold_pacer: server_rate::Pacer::default(),
            limit_pacer: server_rate::Pacer::default(),
            limit: server_limit::Current::default(),
            connect_hold: connects::Hold::default(),
            probe: SharedProbe::default(),
            suspects: crashes::Suspects::default(),
            is_open: atomic::AtomicBool::new(false),
            ranking: ArcSwap::from_pointee(Ranking::default()),
            ranking_digest: atomic::AtomicU64::new(0),
            is_preferred: atomic::AtomicBool::new(false),
            cold_until_ms: atomic::AtomicU64::new(0),
            role: atomic::AtomicU8::new(0),
        }
    }

    /// Returns the identifier of the server.
    pub fn id(&self) -> &str {
        &self.announcement.id
    }

    /// Sets whether the server accepts requests; returns whether that changed.
    pub fn set_open(&self, is_open: bool) -> bool {
        self.is_open.swap(is_open, atomic::Ordering::AcqRel) != is_open
    }

    /// Sets the part of the server in a rollout of its service.
    pub fn set_role(&self, role: rollouts::Role) {
        self.role.store(role as u8, atomic::Ordering::Release);
    }

    /// Returns the part of the server in a rollout of its service.
    pub fn role(&self) -> rollouts::Role {
        rollouts::Role::from_number(self.role.load(atomic::Ordering::Acquire))
    }

    /// Returns whether the registry and the server itself allow requests, except for a backoff.
    pub fn is_open(&self) -> bool {
        self.is_open.load(atomic::Ordering::Acquire) && !self.availability.is_leaving()
    }

    /// Returns whether the server accepts requests now. Each attempt and each health check tests
    /// this again right before it writes its request.
    pub fn accepts(&self, now: clock::Millis) -> bool {
        self.is_open.load(atomic::Ordering::Acquire) && self.availability.is_available(now)
    }

    /// Records that the server is leaving; returns whether that is news.
    pub fn mark_leaving(&self) -> bool {
        let is_news = self.availability.mark_leaving();
        if is_news {
            let server = &self.announcement;
            self.leaving.insert(&server.id, server.born);
            self.pool.invalidate();
        }
        is_news
    }

    /// Sets the place of this process among those that share the rate of the server. `digest`
    /// identifies what the ranking depends on; for an unchanged digest `rank` is not evaluated,
    /// since servers and configurations change more often than processes do.
    pub fn set_ranking(&self, now: clock::Millis, digest: u64, rank: impl FnOnce() -> Ranking) {
        if self.ranking_digest.swap(digest, atomic::Ordering::Relaxed) != digest {
            let share_before = self.limit_share();
            self.ranking.store(sync::Arc::new(rank()));
            self.start_limit_pacer(now, share_before);
        }
    }

    /// Sets the rate limit that the server names; returns the one before.
    pub fn set_limit(
        &self,
        now: clock::Millis,
        limit: Option<server_limit::Rate>,
    ) -> Option<server_limit::Rate> {
        let share_before = self.limit_share();
        let before = self.limit.set(now, limit);
        self.start_limit_pacer(now, share_before);
        before
    }

    /// Starts the pacer of the limit if this process has become one of its senders.
    fn start_limit_pacer(&self, now: clock::Millis, before: Option<server_rate::Share>) {
        if let (None, Some(share)) = (before, self.limit_share()) {
            self.limit_pacer.start(now, &share);
        }
    }

    /// Sets whether the server is among those that this process prefers.
    pub fn set_preferred(&self, is_preferred: bool) {
        self.is_preferred
            .store(is_preferred, atomic::Ordering::Relaxed);
    }

    /// Marks the server as cold until `until`, or longer if it was marked so before.
    pub fn extend_cold_until(&self, until: clock::Millis) {
        self.cold_until_ms
            .fetch_max(until.0, atomic::Ordering::AcqRel);
    }

    /// Marks the server as warm, as it reported itself.
    pub fn mark_warm(&self) {
        self.cold_until_ms.store(0, atomic::Ordering::Release);
    }

    /// Returns whether the server is cold.
    pub fn is_cold(&self, now: clock::Millis) -> bool {
        now.0 < self.cold_until_ms.load(atomic::Ordering::Acquire)
    }

    /// Returns the time until the rate limits of the server allow this process a request that leaves
    /// `kept_count` saved ones to others; `None` if only other processes may send to it.
    pub fn permit_left(&self, now: clock::Millis, kept_count: u32) -> Option<clock::Millis> {
        let mut left = clock::Millis::ZERO;
        if self.is_cold(now) {
            let share = self.ranking.load().cold_share?;
            left = self.cold_pacer.time_left(now, &share, 0);
        }
        if self.limit.get().is_some() {
            let share = self.limit_share()?;
            left = left.max(self.limit_pacer.time_left(now, &share, kept_count));
        }
        Some(left)
    }

    /// Returns the share of this process in the limit of the server; `None` if there is no limit or
    /// only others may send.
    fn limit_share(&self) -> Option<server_rate::Share> {
        let limit = self.limit.get()?;
        server_limit::share(limit, &self.ranking.load().rank)
    }

    /// Returns whether the rate limits of the server allow a request now.
    pub fn can_acquire(&self, now: clock::Millis, kept_count: u32) -> bool {
        self.permit_left(now, kept_count) == Some(clock::Millis::ZERO)
    }

    /// Acquires a permit of the rate limits for one request; returns `None` if there was none.
    pub fn try_acquire(&self, now: clock::Millis, kept_count: u32) -> Option<Permit> {
        if !self.can_acquire(now, kept_count) {
            return None;
        }
        if self.is_cold(now) {
            let share = self.ranking.load().cold_share?;
            self.cold_pacer.take(now, &share, 0).then_some(())?;
        }
        let has_limit = self.limit.get().is_some();
        if has_limit {
            let share = self.limit_share()?;
            let is_taken = self.limit_pacer.take(now, &share, kept_count);
            is_taken.then_some(())?;
        }
        Some(Permit { has_limit })
    }

    /// Returns whether a permit still allows its request. The server may have named a limit since
    /// the permit was acquired; then the request needs one of the limit.
    pub fn confirm(&self, now: clock::Millis, permit: Permit) -> bool {
        if permit.has_limit || self.limit.get().is_none() {
            return true;
        }
        self.limit_share()
            .is_some_and(|share| self.limit_pacer.take(now, &share, 0))
    }

    /// Returns the time until the server takes requests again that it does not take now, as it
    /// says: a backoff, or its rate limit, of which other processes may have the next permit.
    pub fn hold_left(&self, now: clock::Millis) -> clock::Millis {
        let backoff_left = self.availability.backoff_left(now);
        let Some(limit) = self.limit.get() else {
            return backoff_left;
        };
        let permit_left = self.permit_left(now, 0);
        backoff_left.max(permit_left.unwrap_or(limit.period()))
    }

    /// Returns the view of the server that placement compares.
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

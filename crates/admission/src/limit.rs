//! Enforces the limits of a route or an account at one entry process.

use crate::bucket;
use crate::shares;
use nutmegdale_base::clock;
use nutmegdale_catalogue::spec;
use std::sync::atomic;
use std::sync::atomic::Ordering::{AcqRel, Acquire, Relaxed};

/// Refusal of a request by a limit.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Name of the limit, as in the catalogue.
    pub limit: &'static str,
    /// Time after which a retry makes sense; `None` if the request can never be admitted.
    pub retry_after: Option<clock::Millis>,
}

/// Usage counters of one route or account; they outlive routing views.
#[derive(Debug, Default)]
pub struct Limiter {
    requests: bucket::Bucket,
    bytes: bucket::Bucket,
    in_flight: atomic::AtomicU32,
    offered_count: atomic::AtomicU64,
    share_milli: atomic::AtomicU32,
}

/// Retry delay of a request refused for concurrency. Requests take milliseconds, but `retry-after`
/// is in whole seconds.
const CONCURRENCY_RETRY_MS: clock::Millis = clock::Millis(1_000);

impl Limiter {
    /// Creates a limiter with a share of zero, which refuses all requests that a limit applies to.
    pub fn new() -> Limiter {
        Limiter::default()
    }

    /// Sets this process's share of each limit, in thousandths.
    pub fn set_share(&self, share_milli: u32) {
        self.share_milli
            .store(share_milli.min(shares::WHOLE_MILLI), Relaxed);
    }

    /// Returns the requests offered so far, admitted or not; the demand is derived from it.
    pub fn offered_count(&self) -> u64 {
        self.offered_count.load(Relaxed)
    }

    /// Returns the requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Relaxed)
    }

    /// Admits a request with a declared body size of `body_bytes`; the caller must call
    /// [`Limiter::end`] when it has ended.
    ///
    /// # Errors
    ///
    /// Returns the limit that refuses the request; no other limit is charged.
    pub fn begin(
        &self,
        now: clock::Millis,
        limits: &spec::Limits,
        body_bytes: Option<u64>,
    ) -> Result<(), Refusal> {
        self.offered_count.fetch_add(1, Relaxed);
        let too_large = |max: u64| body_bytes.is_some_and(|bytes| bytes > max);
        if limits.body_bytes.is_some_and(too_large) {
            return Err(Refusal {
                limit: "body_bytes",
                retry_after: None,
            });
        }
        if let Some(rate) = self.bytes_rate(limits) {
            let checked = self.bytes.check(now, rate);
            checked.map_err(|wait| refusal("bytes_per_second", wait))?;
        }
        self.begin_concurrent(limits)?;
        if let Some(per_sec) = limits.requests_per_second {
            let rate = bucket::Rate::smooth(self.share_of(u64::from(per_sec)));
            if let Err(wait) = self.requests.take(now, 1, rate) {
                self.end();
                return Err(refusal("requests_per_second", wait));
            }
        }
        Ok(())
    }

    fn begin_concurrent(&self, limits: &spec::Limits) -> Result<(), Refusal> {
        let max = limits.concurrency.map_or(u32::MAX, |max| {
            u32::try_from(self.share_of(u64::from(max))).unwrap_or(u32::MAX)
        });
        let next = |in_flight: u32| (in_flight < max).then(|| in_flight + 1);
        match self.in_flight.fetch_update(AcqRel, Acquire, next) {
            Ok(_) => Ok(()),
            Err(_) => Err(refusal("concurrency", CONCURRENCY_RETRY_MS)),
        }
    }

    /// Removes an admitted request that has ended from the count.
    pub fn end(&self) {
        self.in_flight.fetch_sub(1, AcqRel);
    }

    /// Charges the bytes of a response; those beyond the limit delay later requests.
    pub fn charge_response(&self, now: clock::Millis, limits: &spec::Limits, bytes: u64) {
        if let Some(rate) = self.bytes_rate(limits) {
            self.bytes.charge(now, bytes, rate);
        }
    }

    fn bytes_rate(&self, limits: &spec::Limits) -> Option<bucket::Rate> {
        let per_sec = limits.bytes_per_second?;
        Some(bucket::Rate::smooth(self.share_of(per_sec)))
    }

    /// Returns this process's share of a limit, rounded up so that each process admits at least one
    /// unit. The error over all processes is below one unit per process.
    fn share_of(&self, whole: u64) -> u64 {
        let share = u64::from(self.share_milli.load(Relaxed));
        (whole * share).div_ceil(u64::from(shares::WHOLE_MILLI))
    }
}

fn refusal(limit: &'static str, wait: clock::Millis) -> Refusal {
    Refusal {
        limit,
        retry_after: (wait != clock::Millis::MAX).then_some(wait),
    }
}

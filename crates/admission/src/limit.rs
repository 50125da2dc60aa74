//! Limits of a route or an account at one entry process.

use crate::bucket;
use crate::shares;
use nutmegdale_base::clock;
use nutmegdale_catalogue::spec;
use std::sync::atomic;
use std::sync::atomic::Ordering::{AcqRel, Acquire, Relaxed};

/// Limit that refused a request, with the time after which a new try makes sense.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Name of the limit, as in the catalogue.
    pub limit: &'static str,
    /// Time to wait; `None` if no wait helps.
    pub retry_after: Option<clock::Millis>,
}

/// State of one entry's limits, which outlives views.
#[derive(Debug, Default)]
pub struct Limiter {
    requests: bucket::Bucket,
    bytes: bucket::Bucket,
    in_flight: atomic::AtomicU32,
    offered_count: atomic::AtomicU64,
    share_milli: atomic::AtomicU32,
}

/// Time after which a request refused for concurrency may be tried again; requests take
/// milliseconds, but `retry-after` has whole seconds.
const CONCURRENCY_RETRY_MS: clock::Millis = clock::Millis(1_000);

impl Limiter {
    /// Creates a limiter without a share, which refuses everything that is limited.
    pub fn new() -> Limiter {
        Limiter::default()
    }

    /// Sets this process's share of each limit, in thousandths.
    pub fn set_share(&self, share_milli: u32) {
        self.share_milli
            .store(share_milli.min(shares::WHOLE_MILLI), Relaxed);
    }

    /// Returns the requests that have asked so far, accepted or not: the demand.
    pub fn offered_count(&self) -> u64 {
        self.offered_count.load(Relaxed)
    }

    /// Returns the requests in flight.
    pub fn in_flight(&self) -> u32 {
        self.in_flight.load(Relaxed)
    }

    /// Admits a request whose body is announced with `body_bytes`; [`Limiter::end`] must follow.
    ///
    /// # Errors
    ///
    /// Names the limit that refuses; nothing is taken from any other.
    pub fn begin(
        &self,
        now: clock::Millis,
        limits: &spec::Limits,
        body_bytes: Option<u64>,
    ) -> Result<(), Refusal> {
        self.offered_count.fetch_add(1, Relaxed);
        let too_large = |most: u64| body_bytes.is_some_and(|bytes| bytes > most);
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
            let rate = bucket::Rate::smooth(self.part_of(u64::from(per_sec)));
            if let Err(wait) = self.requests.take(now, 1, rate) {
                self.end();
                return Err(refusal("requests_per_second", wait));
            }
        }
        Ok(())
    }

    fn begin_concurrent(&self, limits: &spec::Limits) -> Result<(), Refusal> {
        let most = limits.concurrency.map_or(u32::MAX, |most| {
            u32::try_from(self.part_of(u64::from(most))).unwrap_or(u32::MAX)
        });
        let next = |held: u32| (held < most).then(|| held + 1);
        match self.in_flight.fetch_update(AcqRel, Acquire, next) {
            Ok(_) => Ok(()),
            Err(_) => Err(refusal("concurrency", CONCURRENCY_RETRY_MS)),
        }
    }

    /// Counts the end of an admitted request.
    pub fn end(&self) {
        self.in_flight.fetch_sub(1, AcqRel);
    }

    /// Counts bytes of an answer; those beyond the limit hold up later requests.
    pub fn charge_response(&self, now: clock::Millis, limits: &spec::Limits, bytes: u64) {
        if let Some(rate) = self.bytes_rate(limits) {
            self.bytes.charge(now, bytes, rate);
        }
    }

    fn bytes_rate(&self, limits: &spec::Limits) -> Option<bucket::Rate> {
        let per_sec = limits.bytes_per_second?;
        Some(bucket::Rate::smooth(self.part_of(per_sec)))
    }

    /// Rounds up, so that each process lets at least one unit of a limit pass; the error over all
    /// processes is below one unit for each.
    fn part_of(&self, whole: u64) -> u64 {
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

//! Admission control: decides whether a request can be served in time, and when the caller of a
//! refused one should retry.

use crate::placement;
use nutmegdale_base::{clock, rng};

/// Time in milliseconds reserved for the transfer of the response to the caller.
const MARGIN_MS: f64 = 10.0;
/// Longest retry delay for a refused caller before jitter, in milliseconds.
const RETRY_AFTER_MAX_MS: f64 = 1_000.0;
/// Shortest retry delay for a refused caller before jitter, in milliseconds.
const RETRY_AFTER_MIN_MS: f64 = 50.0;

/// Largest factor that jitter applies to a retry delay.
const JITTER_MAX_FACTOR: f64 = 1.5;

/// Admission decision for a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Decision {
    /// The request is sent to the best server.
    Admit,
    /// The request is sent although its prediction is too long, since the estimated service time
    /// may be stale.
    Trial,
    /// The request cannot be served in time.
    Refuse {
        /// Time after which the caller should retry.
        retry_after: clock::Millis,
    },
}

/// Time that a request has left.
#[derive(Debug, Clone, Copy)]
pub struct TimeLeft {
    /// Time until the target latency is exceeded.
    pub to_target: clock::Millis,
    /// Time until the deadline.
    pub to_deadline: clock::Millis,
}

/// Multiple of the expected service time that a request may take while its server's VM is slowed
/// down by others.
const SLOW_FACTOR: f64 = 6.0;

/// Returns whether a stopping process may send a request that usually takes `service_time_ms`, given
/// the time `left` until it cuts off what has not ended.
///
/// Load pattern: a planned stop in which requests arrive until the end, some of them with bodies
/// that take seconds. One that is cut off may have run, so it is refused while that is still true.
pub fn can_end_before_stop(left: clock::Millis, service_time_ms: f64) -> bool {
    left.0 as f64 >= service_time_ms * SLOW_FACTOR + MARGIN_MS
}

/// Decides on a request, given the prediction for the best server and whether the route's estimated
/// service time may be stale.
///
/// Load pattern: overload. If every request were admitted, all would queue and none would meet its
/// target latency. A request that can meet its target is admitted. One that cannot is admitted only
/// if it meets its deadline on a server with room; otherwise it is refused at once with a retry
/// delay. Where there is room, a request is admitted as a trial if the estimate may be stale.
pub fn decide(
    best: &placement::Prediction,
    profile: placement::RequestProfile,
    time: TimeLeft,
    may_be_stale: bool,
    rng: &mut dyn rng::Rng,
) -> Decision {
    let response_ms = best.response_ms + MARGIN_MS;
    let meets_target = response_ms <= time.to_target.0 as f64;
    let meets_deadline = response_ms <= time.to_deadline.0 as f64;
    if meets_target || (meets_deadline && best.has_room) {
        return Decision::Admit;
    }
    if may_be_stale && best.has_room {
        return Decision::Trial;
    }
    let free_ms = best.response_ms - profile.service_time_ms;
    let last_ms = time.to_target.0 as f64 - profile.service_time_ms - 2.0 * MARGIN_MS;
    let free_ms = match last_ms >= RETRY_AFTER_MIN_MS {
        // A caller that retries by then may still get its response within the target latency.
        true => free_ms.min(last_ms / JITTER_MAX_FACTOR),
        false => free_ms,
    };
    Decision::Refuse {
        retry_after: retry_after(free_ms, time.to_deadline, rng),
    }
}

/// Returns the retry delay for a caller that is refused because every server asked for a backoff,
/// the first of which ends in `backoff_left`.
///
/// Up to 50% jitter is added, since the servers would be full again if all refused callers returned
/// together. The delay is at most a third of the time left until the caller's deadline.
pub fn retry_after_backoff(
    backoff_left: clock::Millis,
    left: clock::Millis,
    rng: &mut dyn rng::Rng,
) -> clock::Millis {
    let wait_ms = (backoff_left.0 as f64).max(RETRY_AFTER_MIN_MS);
    spread(wait_ms, left, rng)
}

/// Adds jitter to a retry delay and limits it to a third of the time left.
fn spread(wait_ms: f64, left: clock::Millis, rng: &mut dyn rng::Rng) -> clock::Millis {
    let jitter = 1.0 + rng.below(500) as f64 / 1_000.0;
    let max_ms = (left.0 as f64 / 3.0).max(1.0);
    clock::Millis((wait_ms * jitter).min(max_ms) as u64)
}

/// Returns the retry delay for a refused caller, given the milliseconds until the best server is
/// free and the time left until the caller's deadline.
///
/// Up to 50% jitter is added, so that callers refused together do not retry together. The delay is
/// at most a third of the time left.
pub fn retry_after(free_ms: f64, left: clock::Millis, rng: &mut dyn rng::Rng) -> clock::Millis {
    let wait_ms = free_ms.clamp(RETRY_AFTER_MIN_MS, RETRY_AFTER_MAX_MS);
    spread(wait_ms, left, rng)
}

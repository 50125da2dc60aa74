//! Decides whether a request can still be served, and when a refused caller should return.

use crate::placement;
use nutmegdale_base::{clock, rng};

/// Time left that no answer can use: the way back to the caller and the answer's transfer.
const MARGIN_MS: f64 = 10.0;
/// Longest time after which a refused caller is asked to return.
const RETURN_MAX_MS: f64 = 1_000.0;
/// Shortest time after which a refused caller is asked to return.
const RETURN_MIN_MS: f64 = 50.0;

/// Factor by which the longest time to return exceeds the shortest.
const SPREAD_MAX: f64 = 1.5;

/// Decision on a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Decision {
    /// It goes to the best server.
    Admit,
    /// The same, though it seems to need too long: what is known of its work is in doubt.
    Trial,
    /// It cannot be served in time; the caller should return after the given time.
    Refuse {
        /// Time to wait.
        retry_after: clock::Millis,
    },
}

/// Time that a request has.
#[derive(Debug, Clone, Copy)]
pub struct TimeLeft {
    /// Time until the end of its aim.
    pub to_target: clock::Millis,
    /// Time until its deadline.
    pub to_deadline: clock::Millis,
}

/// Decides on a request, given the prediction for the best server and whether what is known of the
/// route's work is in doubt.
///
/// Load pattern: more requests than the servers can work on. If each were admitted, all would wait
/// and none would be answered within its aim. A request that can keep its aim is admitted; one that
/// cannot takes only room that no other needs, and otherwise its caller is told at once when to
/// return. An estimate in doubt is tried out where there is room.
pub fn decide(
    best: &placement::Prediction,
    need: placement::RequestProfile,
    time: TimeLeft,
    is_in_doubt: bool,
    rng: &mut dyn rng::Rng,
) -> Decision {
    let answer_ms = best.response_ms + MARGIN_MS;
    let is_in_aim = answer_ms <= time.to_target.0 as f64;
    let is_in_time = answer_ms <= time.to_deadline.0 as f64;
    if is_in_aim || (is_in_time && best.has_room) {
        return Decision::Admit;
    }
    if is_in_doubt && best.has_room {
        return Decision::Trial;
    }
    let free_ms = best.response_ms - need.work_ms;
    let last_ms = time.to_target.0 as f64 - need.work_ms - 2.0 * MARGIN_MS;
    let free_ms = match last_ms >= RETURN_MIN_MS {
        // A caller that returns by then may still be answered within its aim.
        true => free_ms.min(last_ms / SPREAD_MAX),
        false => free_ms,
    };
    Decision::Refuse {
        retry_after: retry_after(free_ms, time.to_deadline, rng),
    }
}

/// Returns the time after which there will be room, given the time until the best server is free.
///
/// Callers are spread over half of that time again, so that those refused together do not return
/// together, and nobody is sent away for longer than a third of the time that it has left.
pub fn retry_after(free_ms: f64, left: clock::Millis, rng: &mut dyn rng::Rng) -> clock::Millis {
    let spread = 1.0 + rng.below(500) as f64 / 1_000.0;
    let wait = free_ms.clamp(RETURN_MIN_MS, RETURN_MAX_MS) * spread;
    let most = (left.0 as f64 / 3.0).max(1.0);
    clock::Millis(wait.min(most) as u64)
}

//! Decides whether a request can still be served, and when a refused caller should return.

use crate::placement;
use nutmegdale_base::{clock, rng};

/// Time left that no answer can use: the way back to the caller and the answer's transfer.
const MARGIN_MS: f64 = 10.0;
/// Longest time after which a refused caller is asked to return.
const RETURN_MAX_MS: f64 = 1_000.0;
/// Shortest time after which a refused caller is asked to return.
const RETURN_MIN_MS: f64 = 50.0;

/// Decision on a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Decision {
    /// It goes to the best server.
    Admit,
    /// It cannot be served in time; the caller should return after the given time.
    Refuse {
        /// Time to wait.
        after: clock::Millis,
    },
}

/// Decides on a request with `left` until its deadline.
///
/// A request whose best prediction lies past its deadline would take a slot from one that can be
/// served, and its caller would wait for nothing.
pub fn decide(
    best: &placement::Prediction,
    need: placement::Need,
    left: clock::Millis,
    rng: &mut dyn rng::Rng,
) -> Decision {
    if best.answer_ms + MARGIN_MS <= left.0 as f64 {
        return Decision::Admit;
    }
    Decision::Refuse {
        after: return_after(best.answer_ms - need.work_ms, left, rng),
    }
}

/// Returns the time after which there will be room, given the time until the best server is free.
///
/// Callers are spread over half of that time again, so that those refused together do not return
/// together, and nobody is sent away for longer than a third of the time that it has left.
pub fn return_after(free_ms: f64, left: clock::Millis, rng: &mut dyn rng::Rng) -> clock::Millis {
    let spread = 1.0 + rng.below(500) as f64 / 1_000.0;
    let wait = free_ms.clamp(RETURN_MIN_MS, RETURN_MAX_MS) * spread;
    let most = (left.0 as f64 / 3.0).max(1.0);
    clock::Millis(wait.min(most) as u64)
}

//! Decides when a second send of an idempotent request is due.
//!
//! Load pattern: VMs whose speed changes several times a second. A request that was placed on a
//! quiet VM is late if the VM turns slow meanwhile, and the server's load reports show that long
//! before its answer is late. Shortly before the last moment at which a second send can still keep
//! the aim, the server is therefore asked how quick it is now. Without such a sign a second send
//! waits until the answer is later than usual, since second sends are bounded and take slots.

use crate::placement;
use nutmegdale_base::clock;

/// Factor on the usual work after which an answer is late enough for a second send.
const LATE_FACTOR: f64 = 1.35;
/// Factor on the usual work that a second send is given, since work differs between requests.
const AGAIN_FACTOR: f64 = 1.2;
/// Part of the usual work between two looks at a server.
const LOOK_SHARE: f64 = 0.5;
/// Looks at a server before the last moment for a second send.
const LOOKS_COUNT: u32 = 2;
/// Speed up to which a VM counts as quiet, in percent of the usual time.
pub const QUIET_PERCENT: f64 = 180.0;
/// Part of the usual work that a request without an answer still needs at least.
const LEFT_MIN_SHARE: f64 = 0.2;
/// Time that is kept free for the way back to the caller, in milliseconds.
const MARGIN_MS: f64 = 10.0;

/// Returns whether a second send to the server of `best` is worth its slot, with `left` until the
/// deadline: on a quiet VM with room, so that it slows nobody down. In a rush few servers are like
/// that, and a slot that a second send takes there costs another request its aim.
pub fn is_worthwhile(best: &placement::Prediction, left: clock::Millis) -> bool {
    best.slowdown_percent <= QUIET_PERCENT && best.has_room && best.response_ms < left.0 as f64
}

/// Request that was sent and has no answer.
#[derive(Debug, Clone, Copy)]
pub struct Pending {
    /// When it was sent.
    pub sent: clock::Millis,
    /// Time that it had from then until the end of its aim.
    pub to_target: clock::Millis,
    /// Its usual work in milliseconds.
    pub work_ms: f64,
    /// When its answer was predicted, in milliseconds after the send.
    pub predicted_ms: f64,
}

/// What is due next for a request without an answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Due {
    /// To look how quick its server is now.
    Probe(clock::Millis),
    /// To send it again.
    Hedge(clock::Millis),
}

impl Due {
    /// Returns when it is due.
    pub fn at(&self) -> clock::Millis {
        match self {
            Due::Probe(at) | Due::Hedge(at) => *at,
        }
    }
}

impl Pending {
    /// Returns what is due next after `now`.
    pub fn due(&self, now: clock::Millis) -> Due {
        let passed = now.since(self.sent).0 as f64;
        let send = self.send_after();
        let spacing = self.work_ms * LOOK_SHARE;
        let last = self.last_after();
        let looks = (0..LOOKS_COUNT).rev();
        let mut looks = looks.map(|n| last - f64::from(n) * spacing);
        let look = looks.find(|at| *at > passed && *at >= spacing && *at < send);
        match look {
            Some(at) => Due::Probe(self.sent + clock::Millis(at as u64 + 1)),
            None => Due::Hedge(self.sent + clock::Millis(send as u64)),
        }
    }

    /// Returns whether a server that is as slow as `slowdown_percent` makes a second send due now.
    pub fn should_hedge(&self, now: clock::Millis, slowdown_percent: f64) -> bool {
        let passed = now.since(self.sent).0 as f64;
        let left = (self.work_ms - passed).max(self.work_ms * LEFT_MIN_SHARE);
        let answer = passed + left * slowdown_percent / 100.0;
        slowdown_percent > QUIET_PERCENT && answer + MARGIN_MS > self.to_target.0 as f64
    }

    /// Returns the last time after the send at which a second one is likely to keep the aim.
    fn last_after(&self) -> f64 {
        self.to_target.0 as f64 - self.work_ms * AGAIN_FACTOR - MARGIN_MS
    }

    /// Returns the time after the send at which a second one is due without a sign: as late as it
    /// can still keep the aim, but not before the first one is later than usual.
    fn send_after(&self) -> f64 {
        let last = self.to_target.0 as f64 - self.work_ms - MARGIN_MS;
        let late = self.work_ms * LATE_FACTOR;
        match last >= late {
            true => last,
            false => late.max(self.predicted_ms),
        }
    }
}

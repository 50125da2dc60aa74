//! Decides when a hedge, a second send of an idempotent request, is due.
//!
//! Load pattern: VMs whose speed changes several times a second. A request placed on a quiet VM is
//! late if the VM slows down meanwhile, and the server's load reports show that long before its
//! response is late. The server is therefore probed shortly before the last moment at which a hedge
//! can still meet the target latency. Unless a probe shows a slowdown, the hedge waits until the
//! response is later than usual, since hedges count against a budget and take slots.

use crate::placement;
use nutmegdale_base::clock;

/// Multiple of the expected service time after which a response is late enough for a hedge.
const LATE_FACTOR: f64 = 1.35;
/// Multiple of the expected service time that is allowed for a hedge, since service times vary.
const HEDGE_TIME_FACTOR: f64 = 1.2;
/// Interval between two probes of a server, as a fraction of the expected service time.
const PROBE_SPACING_SHARE: f64 = 0.5;
/// Probes of a server before the last moment for a hedge.
const PROBES_COUNT: u32 = 2;
/// Largest slowdown of a quiet VM, in percent.
pub const QUIET_PERCENT: f64 = 180.0;
/// Least remaining service time assumed for a request in flight, as a fraction of the expected one.
const REMAINING_MIN_SHARE: f64 = 0.2;
/// Time reserved for the response to reach the caller, in milliseconds.
const MARGIN_MS: f64 = 10.0;

/// Returns whether a hedge to the server of `best` is worth its slot with `left` until the
/// deadline. The server must have a quiet VM and room, so that the hedge slows down no other
/// request. Under overload few servers qualify, and a hedge that takes a slot of another one makes
/// another request miss its target latency.
pub fn is_worthwhile(best: &placement::Prediction, left: clock::Millis) -> bool {
    best.slowdown_percent <= QUIET_PERCENT && best.has_room && best.response_ms < left.0 as f64
}

/// Request in flight that may be hedged.
#[derive(Debug, Clone, Copy)]
pub struct Pending {
    /// When the request was sent.
    pub sent: clock::Millis,
    /// Time from the send until the target latency is exceeded.
    pub to_target: clock::Millis,
    /// Expected service time in milliseconds.
    pub service_time_ms: f64,
    /// Response time predicted at the send, in milliseconds.
    pub predicted_ms: f64,
}

/// Next step for a request in flight, with its time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Due {
    /// Probe the load of its server.
    Probe(clock::Millis),
    /// Send the request to another server.
    Hedge(clock::Millis),
}

impl Due {
    /// Returns the time of the step.
    pub fn at(&self) -> clock::Millis {
        match self {
            Due::Probe(at) | Due::Hedge(at) => *at,
        }
    }
}

impl Pending {
    /// Returns the next step after `now`.
    pub fn due(&self, now: clock::Millis) -> Due {
        let elapsed = now.since(self.sent).0 as f64;
        let hedge = self.hedge_delay_ms();
        let spacing = self.service_time_ms * PROBE_SPACING_SHARE;
        let latest = self.latest_hedge_ms();
        let probes = (0..PROBES_COUNT).rev();
        let mut probes = probes.map(|n| latest - f64::from(n) * spacing);
        let probe = probes.find(|at| *at > elapsed && *at >= spacing && *at < hedge);
        match probe {
            Some(at) => Due::Probe(self.sent + clock::Millis(at as u64 + 1)),
            None => Due::Hedge(self.sent + clock::Millis(hedge as u64)),
        }
    }

    /// Returns whether a hedge is due now because the response would miss the target latency on a
    /// VM that runs at `slowdown_percent`.
    pub fn should_hedge(&self, now: clock::Millis, slowdown_percent: f64) -> bool {
        let elapsed = now.since(self.sent).0 as f64;
        let left = (self.service_time_ms - elapsed).max(self.service_time_ms * REMAINING_MIN_SHARE);
        let response = elapsed + left * slowdown_percent / 100.0;
        slowdown_percent > QUIET_PERCENT && response + MARGIN_MS > self.to_target.0 as f64
    }

    /// Returns the latest time after the send, in milliseconds, at which a hedge is likely to meet
    /// the target latency.
    fn latest_hedge_ms(&self) -> f64 {
        self.to_target.0 as f64 - self.service_time_ms * HEDGE_TIME_FACTOR - MARGIN_MS
    }

    /// Returns the time after the send, in milliseconds, at which a hedge is due unless a probe
    /// shows a slowdown: as late as it can still meet the target latency, but not before the
    /// response is later than usual.
    fn hedge_delay_ms(&self) -> f64 {
        let last = self.to_target.0 as f64 - self.service_time_ms - MARGIN_MS;
        let late = self.service_time_ms * LATE_FACTOR;
        match last >= late {
            true => last,
            false => late.max(self.predicted_ms),
        }
    }
}

//! Measures how short of capacity a service is, from the load reports of its servers.
//!
//! Load pattern: rushes in which less urgent requests fill the servers within a second. Each process
//! sees only a few requests a second, but every request brings load reports, so the reports that a
//! process holds show the state of the whole service without further messages.

use crate::placement;

/// Age at which a load report no longer counts: by then, most requests that it counts have ended.
const REPORT_HORIZON_MS: f64 = 1_000.0;
/// Slots, all free, that are assumed besides the reported ones, so that a single report does not
/// look like a shortage.
const PRIOR_SLOTS: f64 = 2.0;
/// Bound of the occupancy of one server, so that one long queue does not look like a shortage.
const OCCUPANCY_MAX: f64 = 2.0;

/// Occupancy of the servers of a service, summed up over one pass over the candidates.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Sample {
    occupied: f64,
    slots: f64,
}

impl Sample {
    /// Adds the prediction for a server. Recent reports weigh more, and so do servers at their usual
    /// speed: a free slot of a slow server is of little use.
    pub fn add(&mut self, prediction: &placement::Prediction) {
        let Some(age) = prediction.age else {
            return;
        };
        let weight = (1.0 - age.0 as f64 / REPORT_HORIZON_MS).max(0.0);
        let weight = weight * 100.0 / prediction.slowdown_percent.max(100.0);
        let slots = f64::from(prediction.slots.max(1));
        self.slots += weight * slots;
        self.occupied += weight * f64::from(prediction.in_flight).min(slots * OCCUPANCY_MAX);
    }

    /// Returns the requests at the servers per slot: 0 without reports, 1 if all slots are taken,
    /// more if requests queue.
    pub fn pressure(&self) -> f64 {
        self.occupied / (self.slots + PRIOR_SLOTS)
    }
}

/// Returns how far `pressure` lies between `low` and `high`, from 0 to 1.
pub fn severity(pressure: f64, low: f64, high: f64) -> f64 {
    ((pressure - low) / (high - low)).clamp(0.0, 1.0)
}

//! Decides how much of the requests of a zone leaves it.
//!
//! Load pattern: zones whose demand rises and falls by half within seconds, with 3 servers in one
//! zone and 25 in the next. Traffic between zones is slower and billed, so a request leaves only
//! while its zone is short of room and others are not. All processes of the zone see the same load
//! reports; if each decided for each request, all would leave at once and return at once. Each
//! process therefore computes the share that is too much for the zone, moves to it gradually, and
//! directs that share to other zones, spread evenly over its requests. All other requests go where
//! predictions and link penalties say.

use crate::placement;
use crate::pressure;
use nutmegdale_base::clock;
use std::sync;

/// Spare slots of a zone in multiples of the square root of its slots. Requests arrive at random, so
/// a zone of few servers needs a larger part of them free than one of many.
const SPARE_FACTOR: f64 = 1.2;
/// Least and most part of a zone's slots that may be occupied.
const OCCUPANCY_RANGE: (f64, f64) = (0.5, 0.75);
/// Excess over that part from which requests begin to leave: smaller ones pass by themselves.
const BEGIN_EXCESS: f64 = 0.08;
/// Default of [`Bound::uneven_min`]: two requests at a server of twelve slots.
const UNEVEN_MIN: f64 = 0.15;
/// Time constant of the share that leaves, in milliseconds: several times as long as it takes until
/// load reports show the effect of the last change. The share settles in three times of it.
const TIME_CONSTANT_MS: f64 = 1_000.0;
/// Longest step of the share, in milliseconds; a process may have had no request for a while.
const STEP_MAX_MS: f64 = 300.0;
/// Share below which no more requests leave.
const SHARE_MIN: f64 = 0.03;
/// Largest share that leaves: the others keep the reports of the zone's servers fresh.
const SHARE_MAX: f64 = 0.9;
/// Latency added to the zone's servers for a request that should leave, as a fraction of its target
/// latency. It outweighs the link penalty of a small request to another zone of the region; large
/// ones, and those that would miss their target outside, stay.
const LEAVE_SHARE: f64 = 0.08;

/// Threshold from which demand and room of the zones count as uneven.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bound {
    /// Least difference between the pressure of the own zone and that of the others.
    pub uneven_min: f64,
}

impl Default for Bound {
    fn default() -> Bound {
        Bound {
            uneven_min: UNEVEN_MIN,
        }
    }
}

/// Load of the own zone's servers and of all others, summed up in a pass over the candidates.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct View {
    /// Servers in the zone of the process.
    pub zone: pressure::Sample,
    /// All other servers.
    pub others: pressure::Sample,
    /// Slots of the zone's servers.
    pub zone_slots: u32,
}

impl View {
    /// Adds the prediction for a server.
    pub fn add(&mut self, is_in_zone: bool, prediction: &placement::Prediction) {
        if is_in_zone {
            self.zone.add(prediction);
            self.zone_slots = self.zone_slots.saturating_add(prediction.slots);
        } else {
            self.others.add(prediction);
        }
    }

    /// Returns the pressure up to which the zone keeps all its requests.
    fn limit(&self) -> f64 {
        let slots = f64::from(self.zone_slots.max(1));
        let (min, max) = OCCUPANCY_RANGE;
        (1.0 - SPARE_FACTOR / slots.sqrt()).clamp(min, max)
    }
}

/// Where a request should go.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub enum Side {
    /// Predictions and link penalties decide.
    #[default]
    Any,
    /// Preferably to another zone, since the own one is short of room.
    Others {
        /// Pressure of the own zone.
        pressure: f64,
        /// Share of the requests that should leave.
        share: f64,
    },
}

impl Side {
    /// Returns the latency in milliseconds added to a server in the zone or outside of it.
    pub fn extra_ms(self, is_in_zone: bool, target_ms: f64) -> f64 {
        match (self, is_in_zone) {
            (Side::Others { .. }, true) => target_ms * LEAVE_SHARE,
            _ => 0.0,
        }
    }
}

/// Share of one service's requests that leaves the zone, as one process sees it.
#[derive(Debug, Default)]
pub struct Balance {
    state: sync::Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    view: View,
    share: f64,
    updated: clock::Millis,
    /// Part of a request that is due to leave.
    due: f64,
}

impl Balance {
    fn state(&self) -> sync::MutexGuard<'_, State> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Returns the share that leaves.
    pub fn share(&self) -> f64 {
        self.state().share
    }

    /// Records the load that the last pass over the candidates has shown.
    pub fn record(&self, view: View) {
        self.state().view = view;
    }

    /// Updates the share from the last recorded load, and returns where the next request should go.
    pub fn next(&self, now: clock::Millis, bound: &Bound) -> Side {
        let mut state = self.state();
        let elapsed_ms = (now.since(state.updated).0 as f64).min(STEP_MAX_MS);
        state.updated = now;
        let zone = state.view.zone.pressure();
        let limit = state.view.limit();
        if state.share == 0.0 && zone < limit + BEGIN_EXCESS {
            return Side::Any;
        }
        let is_uneven = zone - state.view.others.pressure() > bound.uneven_min;
        // What stays fills the zone to `zone`; the share that would fill it to the limit follows.
        let wanted = match is_uneven || zone < limit {
            true => 1.0 - (1.0 - state.share) * limit / zone.max(0.01),
            false => 0.0,
        };
        let wanted = wanted.clamp(0.0, SHARE_MAX);
        state.share += (wanted - state.share) * elapsed_ms / TIME_CONSTANT_MS;
        if state.share < SHARE_MIN && wanted < SHARE_MIN {
            state.share = 0.0;
            return Side::Any;
        }
        state.due += state.share;
        if state.due < 1.0 {
            return Side::Any;
        }
        state.due -= 1.0;
        Side::Others {
            pressure: zone,
            share: state.share,
        }
    }
}

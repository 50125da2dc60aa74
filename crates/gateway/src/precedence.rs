//! Applies the priorities of a service, and the share of requests that leaves the zone, to the
//! servers that one request may be sent to.
//!
//! The decisions are in `nutmegdale_dispatch::precedence` and `nutmegdale_dispatch::locality`. At a
//! service whose requests all have the same priority, nothing is limited.

use crate::{backend, picker, state, table};
use nutmegdale_base::clock;
use nutmegdale_dispatch::{
    demand, locality, placement, precedence, pressure, return_time, server_limit, shedding,
};
use nutmegdale_registry::config;

/// Returns the priorities of the requests that may reach a service, from those of its routes and of
/// the accounts.
pub(crate) fn levels(config: &config::Config, service_name: &str) -> precedence::Levels {
    let routes = config.routes.iter().filter(|route| {
        let mut targets = route.targets.iter();
        targets.any(|target| target.service == service_name && target.weight > 0.0)
    });
    let accounts = config.accounts.iter().flatten();
    let mut accounts: Vec<_> = accounts.map(|account| account.priority).collect();
    accounts.push(None);
    accounts.sort_unstable();
    accounts.dedup();
    let priorities = routes.flat_map(|route| {
        let accounts = accounts.iter();
        accounts.map(|account| precedence::order(*account, route.priority))
    });
    precedence::Levels::new(priorities)
}

/// What a process remembers of the requests at one service; it is kept when the table is rebuilt.
#[derive(Debug, Default)]
pub struct History {
    /// Recent requests by priority.
    pub demand: demand::Demand,
    /// Times at which refused callers were told to return.
    pub schedule: return_time::Schedule,
    /// Rejections by servers with free slots.
    pub shedding: shedding::Shedding,
    /// Share of the requests that should leave the zone.
    pub balance: locality::Balance,
}

/// Time until a caller should return whose request was rejected by a server with free slots, in a
/// second in which other servers reject some requests too: the next one probably takes it.
pub(crate) const SHED_RETRY_MS: clock::Millis = clock::Millis(20);

/// Returns the tokens of the retry budget that another attempt leaves for others.
pub(crate) fn kept_tokens(
    service: &table::Service,
    priority: u32,
    to_target: clock::Millis,
    service_time_ms: f64,
) -> f64 {
    let can_meet_target = to_target.0 as f64 >= service_time_ms;
    let standing = service
        .levels
        .standing_among(priority, &service.history.demand);
    standing.map_or(0.0, |standing| {
        precedence::kept_tokens(standing, can_meet_target)
    })
}

/// What one request may take of the servers, as of the last pass over them.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Limits {
    standing: Option<precedence::Standing>,
    is_returning: bool,
    allowance: precedence::Allowance,
    sample: pressure::Sample,
    side: locality::Side,
    /// Load by zone, where requests may be told to leave the zone.
    view: Option<locality::View>,
    target_ms: f64,
}

/// Refusal of a request because others at its service are more urgent.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Reserved {
    /// Pressure at the service: requests at its servers per slot.
    pub pressure: f64,
    /// Most urgent priority of the service, for which slots are left free.
    pub for_priority: u32,
}

/// Request that leaves the zone of its entry process.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Leaving {
    /// Distance to its server.
    pub distance: placement::Distance,
    /// Where it should have gone.
    pub side: locality::Side,
}

impl Leaving {
    /// Returns whether it leaves because the zone is short of room, and not only because of its own
    /// prediction.
    pub fn is_surplus(&self) -> bool {
        matches!(self.side, locality::Side::Others { .. })
    }
}

impl Limits {
    /// Creates the limits of a request before the first pass.
    pub(crate) fn new(
        shared: &state::Shared,
        service: &table::Service,
        query: &picker::Query<'_>,
    ) -> Limits {
        let balance = &service.history.balance;
        let demand = &service.history.demand;
        if query.tried.is_empty() {
            demand.record(shared.clock.now(), query.priority);
        }
        let bound = shared.settings.features.locality;
        let side = bound.map(|bound| balance.next(shared.clock.now(), &bound));
        Limits {
            standing: service.levels.standing_among(query.priority, demand),
            is_returning: query.is_returning,
            allowance: precedence::Allowance::ALL,
            sample: pressure::Sample::default(),
            side: side.unwrap_or_default(),
            view: bound.map(|_| locality::View::default()),
            target_ms: query.profile.target_ms,
        }
    }

    /// Returns the adjustment of a candidate, and counts its load.
    pub(crate) fn adjust(
        &mut self,
        backend: &backend::Backend,
        prediction: &placement::Prediction,
    ) -> placement::Adjustment {
        if self.standing.is_some() {
            self.sample.add(prediction);
        }
        let is_in_zone = backend.distance == placement::Distance::Zone;
        if let Some(view) = &mut self.view {
            view.add(is_in_zone, prediction);
        }
        // Only servers that allow this process a request now are candidates.
        let has_permit = backend.limit.get().is_some();
        let bonus_ms = match has_permit {
            true => server_limit::bonus_ms(backend.distance, self.target_ms),
            false => 0.0,
        };
        placement::Adjustment {
            is_barred: !self.allows(backend, prediction),
            extra_ms: self.side.extra_ms(is_in_zone, self.target_ms) - bonus_ms,
        }
    }

    /// Ends a pass over the candidates, whose load decides about the next pass.
    pub(crate) fn end_pass(&mut self, service: &table::Service) {
        if let Some(view) = &mut self.view {
            service.history.balance.record(std::mem::take(view));
        }
        if let Some(standing) = self.standing {
            let pressure = self.sample.pressure();
            self.allowance = precedence::Allowance::new(standing, pressure, self.is_returning);
        }
    }

    /// Begins a pass over the candidates.
    pub(crate) fn begin_pass(&mut self) {
        self.sample = pressure::Sample::default();
    }

    /// Returns how many saved permits of a server's rate limit the request leaves to more urgent ones.
    pub(crate) fn kept_permits(&self) -> u32 {
        u32::from(self.standing.is_some_and(|standing| standing.rank > 0))
    }

    /// Returns whether the request may be sent to a server.
    pub(crate) fn allows(
        &self,
        backend: &backend::Backend,
        prediction: &placement::Prediction,
    ) -> bool {
        let (in_flight, slots) = (prediction.in_flight, prediction.slots);
        self.allowance.allows(backend.position, in_flight, slots)
    }

    /// Returns the time until the caller should return, or `None` if all requests of the service have
    /// the same priority. `response_ms` is the prediction for the best server.
    pub(crate) fn return_time(
        &self,
        now: clock::Millis,
        table: &table::Table,
        query: &picker::Query<'_>,
        response_ms: f64,
    ) -> Option<clock::Millis> {
        let service = &table.services[query.service_index];
        let share = return_time::Share {
            slots: service.slots_count,
            processes: table.processes_count(),
            service_time_ms: query.profile.service_time_ms,
        };
        let free_ms = response_ms - share.service_time_ms;
        let left = query.time_left.to_deadline;
        let schedule = &service.history.schedule;
        let standing = self.standing?;
        Some(schedule.book(now, standing, share, free_ms, left))
    }

    /// Returns why a request leaves the zone for `backend`, or `None` if it does not or nothing
    /// decides about that.
    pub(crate) fn leaving(&self, backend: &backend::Backend) -> Option<Leaving> {
        let is_decided = self.view.is_some() && backend.distance != placement::Distance::Zone;
        is_decided.then_some(Leaving {
            distance: backend.distance,
            side: self.side,
        })
    }

    /// Returns the grounds of a refusal under these limits.
    pub(crate) fn reserved(&self, service: &table::Service) -> Reserved {
        Reserved {
            pressure: self.sample.pressure(),
            for_priority: service.levels.most_urgent(),
        }
    }
}

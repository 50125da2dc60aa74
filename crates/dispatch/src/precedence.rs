//! Decides which slots of a server a request of a given priority may take.
//!
//! Load pattern: a rush of less urgent requests at a service that also serves urgent ones. Urgent
//! requests have short targets, so they find every server full, are refused, and miss their target
//! although they are a small part of the load. Slots are therefore left free for them: as pressure
//! rises, less urgent requests first lose the right to queue, then the last slot of a growing part
//! of the servers. Which servers these are follows from a hash of the server, so that all processes
//! agree without messages. A less urgent request always keeps the other slots, so nothing starves.

use crate::{demand, pressure};
use nutmegdale_base::digest;

/// Pressure from which less urgent requests no longer queue, and the reserve starts to grow: below
/// it, an urgent request finds a free slot among the servers that it probes.
const PRESSURE_LOW: f64 = 0.45;
/// Pressure at which the reserve is complete: fewer than one slot in four is free.
const PRESSURE_HIGH: f64 = 0.75;
/// Share of the servers that the least urgent of several less urgent priorities leaves a slot on,
/// at full pressure; the others leave it on fewer.
const RESERVED_SHARE_MAX: f64 = 1.0;
/// Part of the reserve that a caller who returns after a refusal respects: it has waited longer
/// than new ones of its priority, so it goes before them.
const RETURNING_SHARE: f64 = 0.5;
/// Tokens of the retry budget that a retry leaves for others that are worth more. A process with a
/// few requests a second holds two or three.
const KEPT_TOKENS: f64 = 0.6;
/// Number of distinct positions of servers.
const POSITIONS_COUNT: u64 = 1_000;

/// Number of priorities of routes that are told apart among accounts of the same priority.
const ROUTE_PRIORITIES_COUNT: u32 = 256;

/// Returns the priority by which requests are ordered: that of the account, or of the route if the
/// account has none. Among requests that are equal in this, the priority of the route decides.
pub fn order(account: Option<u32>, route: u32) -> u32 {
    let first = account.unwrap_or(route);
    let second = route.min(ROUTE_PRIORITIES_COUNT - 1);
    first
        .saturating_mul(ROUTE_PRIORITIES_COUNT)
        .saturating_add(second)
}

/// Priorities of the requests at a service, in ascending order: the most urgent first.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Levels {
    priorities: Vec<u32>,
}

impl Levels {
    /// Collects the priorities that the configuration allows at a service.
    pub fn new(priorities: impl IntoIterator<Item = u32>) -> Levels {
        let mut priorities: Vec<_> = priorities.into_iter().collect();
        priorities.sort_unstable();
        priorities.dedup();
        Levels { priorities }
    }

    /// Returns the standing of a priority, or `None` if all requests at the service have the same.
    pub fn standing(&self, priority: u32) -> Option<Standing> {
        let count = self.priorities.len();
        let rank = self.priorities.partition_point(|other| *other < priority);
        (count > 1).then(|| Standing {
            rank: rank.min(count - 1),
            count,
        })
    }

    /// Returns the standing of a priority among those that have a part of the recent requests, or
    /// `None` if no other one has.
    pub fn standing_among(&self, priority: u32, recent: &demand::Demand) -> Option<Standing> {
        if self.priorities.len() <= 1 {
            return None;
        }
        let others = self.priorities.iter().filter(|other| **other != priority);
        let present = others.filter(|other| recent.has(**other));
        let (mut rank, mut count) = (0, 1);
        for other in present {
            rank += usize::from(*other < priority);
            count += 1;
        }
        (count > 1).then_some(Standing { rank, count })
    }

    /// Returns the most urgent priority of an account or route, or 0 if there is none.
    pub fn most_urgent(&self) -> u32 {
        let first = self.priorities.first().copied().unwrap_or(0);
        first / ROUTE_PRIORITIES_COUNT
    }
}

/// Returns the tokens of the retry budget that a retry leaves for others: the more urgent ones, and
/// those that can still meet their target latency.
pub fn kept_tokens(standing: Standing, can_meet_target: bool) -> f64 {
    let for_urgent = if standing.rank > 0 { KEPT_TOKENS } else { 0.0 };
    for_urgent + if can_meet_target { 0.0 } else { KEPT_TOKENS }
}

/// Place of a priority among those of a service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Standing {
    /// Number of more urgent priorities.
    pub rank: usize,
    /// Number of all priorities, at least two.
    pub count: usize,
}

/// Returns the position of a server in the order in which servers join the reserve.
pub fn position(server_id: &str) -> u32 {
    // The digest of a string is the same in all processes.
    (digest::of(server_id) % POSITIONS_COUNT) as u32
}

/// What a request may take of the servers of its service.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Allowance {
    /// Servers below this position keep their last slot free.
    reserved_below: u32,
    may_queue: bool,
}

impl Allowance {
    /// Allowance without any limit.
    pub const ALL: Allowance = Allowance {
        reserved_below: 0,
        may_queue: true,
    };

    /// Returns the allowance at the given pressure; `is_returning` is true for callers that were
    /// refused before.
    pub fn new(standing: Standing, pressure: f64, is_returning: bool) -> Allowance {
        let severity = pressure::severity(pressure, PRESSURE_LOW, PRESSURE_HIGH);
        if standing.rank == 0 || severity == 0.0 {
            return Allowance::ALL;
        }
        let share = standing.rank as f64 / (standing.count.max(2) - 1) as f64;
        let share = share * if is_returning { RETURNING_SHARE } else { 1.0 };
        let positions = POSITIONS_COUNT as f64 * RESERVED_SHARE_MAX;
        Allowance {
            reserved_below: (severity * share * positions) as u32,
            may_queue: false,
        }
    }

    /// Returns whether the request may join `in_flight` others at a server with `slots` slots at
    /// `position`.
    pub fn allows(&self, position: u32, in_flight: u32, slots: u32) -> bool {
        let reserve = u32::from(position < self.reserved_below);
        self.may_queue || in_flight < slots.saturating_sub(reserve).max(1)
    }
}

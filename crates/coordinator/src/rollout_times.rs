//! Times at which a replica applied the commands of rollouts.
//!
//! The registry holds no times, since every replica has a clock of its own. A replica measures the
//! time since an order from the last command about it, which carries the time until then.

use nutmegdale_base::clock;
use nutmegdale_registry::{rollout, state};
use std::collections;

/// Number of recent orders that are kept, of all services together.
const ORDERS_MAX_COUNT: usize = 256;

#[derive(Debug, Clone, Copy)]
struct Mark {
    order: u64,
    elapsed: clock::Millis,
    applied_at: clock::Millis,
}

/// Times of the rollouts of one replica.
#[derive(Debug, Default)]
pub(crate) struct RolloutTimes {
    marks: collections::HashMap<String, Mark>,
    /// Recent orders with the time at which they were applied, oldest first.
    ordered: collections::VecDeque<(rollout::Order, clock::Millis)>,
}

impl RolloutTimes {
    /// Records a command that was applied to `state`.
    pub(crate) fn record(
        &mut self,
        now: clock::Millis,
        cmd: &state::Command,
        state: &state::State,
    ) {
        let service = match cmd {
            state::Command::StartRollout(start) => &start.order.service,
            state::Command::AdvanceRollout(advance) => &advance.service,
            _ => return,
        };
        let Some(rollout) = state.rollouts.get(service) else {
            return;
        };
        let known = self.marks.get(service);
        let is_new = known.is_none_or(|known| known.order != rollout.order);
        if is_new && let state::Command::StartRollout(start) = cmd {
            self.ordered.push_back((start.order.clone(), now));
            if self.ordered.len() > ORDERS_MAX_COUNT {
                self.ordered.pop_front();
            }
        }
        // The time in a command is that of its proposal. A replica that knows of a longer time keeps
        // its own, or each commit would lose the time that it took.
        let elapsed = match is_new {
            true => rollout.elapsed,
            false => rollout.elapsed.max(self.elapsed(now, service)),
        };
        self.mark(now, service, rollout.order, elapsed);
    }

    /// Starts again after a snapshot replaced the state. The orders in it count as just applied.
    pub(crate) fn reset(&mut self, now: clock::Millis, state: &state::State) {
        self.marks.clear();
        self.ordered.clear();
        for (service, rollout) in &state.rollouts {
            self.mark(now, service, rollout.order, rollout.elapsed);
            let order = rollout::Order {
                service: service.clone(),
                target: rollout.target.clone(),
                duration: rollout.duration,
            };
            self.ordered.push_back((order, now));
        }
    }

    fn mark(&mut self, now: clock::Millis, service: &str, order: u64, elapsed: clock::Millis) {
        let mark = Mark {
            order,
            elapsed,
            applied_at: now,
        };
        self.marks.insert(service.to_owned(), mark);
    }

    /// Returns the time since the order of the newest rollout of a service.
    pub(crate) fn elapsed(&self, now: clock::Millis, service: &str) -> clock::Millis {
        let mark = self.marks.get(service);
        mark.map_or(clock::Millis::ZERO, |mark| {
            mark.elapsed + now.since(mark.applied_at)
        })
    }

    /// Returns whether an equal order was applied within the last `limit`.
    pub(crate) fn was_ordered(
        &self,
        now: clock::Millis,
        order: &rollout::Order,
        limit: clock::Millis,
    ) -> bool {
        let mut recent = self.ordered.iter();
        recent.any(|(known, at)| known == order && now.since(*at) < limit)
    }
}

//! Rollouts in the registry: their commands and rules.
//!
//! Invariants: a service has at most one running rollout; a stage is reached only from the one before
//! it and for the order that it was decided for; a rollout that has ended does not change any more; a
//! service with servers never loses all of them by the end of a rollout.

use crate::{feed, server, state};
use nutmegdale_base::clock;
use nutmegdale_rollout::plan;
use serde::{Deserialize, Serialize};

/// What an operator orders.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Order {
    /// Name of the service.
    pub service: String,
    /// Version that its traffic is to move to.
    pub target: String,
    /// Time within which the rollout has to end.
    pub duration: clock::Millis,
}

/// Command that starts a rollout.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Start {
    /// What the operator ordered.
    pub order: Order,
    /// Index of the command that started the newest rollout of the service, as the leader saw it; 0
    /// without one. If another one has started meanwhile, a resend of this command may have.
    pub previous: u64,
}

/// Command that moves a rollout on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Advance {
    /// Name of the service.
    pub service: String,
    /// Index of the command that started the rollout.
    pub order: u64,
    /// Stage that is reached. With the current stage, only the elapsed time is stored.
    pub stage: plan::Stage,
    /// Time since the order on the clock of the leader.
    pub elapsed: clock::Millis,
}

/// Newest rollout of a service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rollout {
    /// Index of the command that started it, which identifies it.
    pub order: u64,
    /// Version that the traffic is to move to.
    pub target: String,
    /// Time within which it has to end.
    pub duration: clock::Millis,
    /// Current stage.
    pub stage: plan::Stage,
    /// Time since the order, as of the last command about it.
    pub elapsed: clock::Millis,
}

impl Rollout {
    /// Returns whether servers of this version get no requests, since it was rolled back.
    pub fn excludes(&self, version: &str) -> bool {
        self.stage == plan::Stage::RolledBack && self.target == version
    }

    /// Returns whether this is the rollout of an order.
    pub fn is_of(&self, order: &Order) -> bool {
        self.target == order.target && self.duration == order.duration
    }
}

impl state::State {
    pub(crate) fn start_rollout(
        &mut self,
        start: Start,
        changes: &mut Vec<feed::Change>,
    ) -> state::Reply {
        let order = start.order;
        let newest = self.rollouts.get(&order.service);
        let newest_order = newest.map_or(0, |rollout| rollout.order);
        if let Some(newest) = newest {
            let is_resend = newest.is_of(&order);
            if is_resend && (newest.stage.is_running() || newest_order != start.previous) {
                return state::Reply::Done;
            }
            if newest.stage.is_running() || newest_order != start.previous {
                return state::Reply::Conflict {
                    current: newest_order,
                };
            }
        }
        let rollout = Rollout {
            order: self.index,
            target: order.target,
            duration: order.duration,
            stage: plan::Stage::Canary,
            elapsed: clock::Millis::ZERO,
        };
        changes.push(feed::Change::Rollout(
            order.service.clone(),
            rollout.clone(),
        ));
        self.rollouts.insert(order.service, rollout);
        state::Reply::Done
    }

    pub(crate) fn advance_rollout(&mut self, advance: &Advance, changes: &mut Vec<feed::Change>) {
        let (old, new) = self.rollout_servers(&advance.service);
        let rollout = self.rollouts.get_mut(&advance.service);
        let Some(rollout) = rollout.filter(|rollout| rollout.order == advance.order) else {
            return;
        };
        if rollout.stage.is_running() {
            rollout.elapsed = rollout.elapsed.max(advance.elapsed);
        }
        let is_possible = match advance.stage {
            plan::Stage::Completed => new > 0 || old == 0,
            plan::Stage::RolledBack => old > 0 || new == 0,
            plan::Stage::Canary | plan::Stage::Promoting => true,
        };
        if !rollout.stage.allows(advance.stage) || !is_possible {
            return;
        }
        rollout.stage = advance.stage;
        let rollout = rollout.clone();
        match rollout.stage {
            plan::Stage::Completed => self.retire_version(advance, &rollout, false, changes),
            plan::Stage::RolledBack => self.retire_version(advance, &rollout, true, changes),
            plan::Stage::Canary | plan::Stage::Promoting => {}
        }
        changes.push(feed::Change::Rollout(advance.service.clone(), rollout));
    }

    /// Marks the servers of the target version gone, or those of all others.
    fn retire_version(
        &mut self,
        advance: &Advance,
        rollout: &Rollout,
        is_target: bool,
        changes: &mut Vec<feed::Change>,
    ) {
        let index = self.index;
        for record in self.servers.values_mut() {
            let server = &mut record.announcement;
            let is_of_version = server.service == advance.service
                && (server.version == rollout.target) == is_target;
            if is_of_version {
                record.replaced_by = None;
            }
            if is_of_version && server.state != server::State::Gone {
                server.state = server::State::Gone;
                record.index = index;
                changes.push(feed::Change::Server(record.announcement.clone()));
            }
        }
    }

    /// Returns the number of ready servers of other versions than the target of the newest rollout
    /// of a service, and of the target.
    pub fn rollout_servers(&self, service: &str) -> (usize, usize) {
        let Some(rollout) = self.rollouts.get(service) else {
            return (0, 0);
        };
        let servers = self.servers.values().map(|record| &record.announcement);
        let ready = servers.filter(|server| {
            let is_out = self.zones_out.contains(&server.zone);
            server.service == service && server.state == server::State::Ready && !is_out
        });
        ready.fold((0, 0), |(old, new), server| {
            match server.version == rollout.target {
                true => (old, new + 1),
                false => (old + 1, new),
            }
        })
    }
}

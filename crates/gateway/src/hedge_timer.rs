//! Decides when an attempt is hedged: probes its server for a slowdown while a hedge could still
//! meet the latency target.

use crate::{backend, probe, state};
use futures_util::future;
use nutmegdale_base::clock;
use nutmegdale_dispatch::{hedge, placement};
use std::sync;
use std::time;
use tokio::task;

/// Running health check; `None` inside if none was needed or allowed.
type RunningProbe = future::OptionFuture<task::JoinHandle<()>>;

/// Timer of an attempt that may be hedged.
pub(crate) struct HedgeTimer {
    backend: sync::Arc<backend::Backend>,
    health_path: String,
    pending: hedge::Pending,
    probe_task: Option<RunningProbe>,
    probed_at: clock::Millis,
    /// Time until which `wait` does not complete, after a hedge could not be sent.
    paused_until: clock::Millis,
}

/// Reason why a hedge is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Trigger {
    /// The server's VM has slowed down.
    Stuck,
    /// The response is later than usual.
    Late,
}

impl Trigger {
    /// Returns the name in logs.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Trigger::Stuck => "stuck",
            Trigger::Late => "late",
        }
    }
}

impl HedgeTimer {
    /// Creates the timer of an attempt at `backend`.
    pub(crate) fn new(
        backend: sync::Arc<backend::Backend>,
        health_path: &str,
        pending: hedge::Pending,
    ) -> HedgeTimer {
        HedgeTimer {
            backend,
            health_path: health_path.to_owned(),
            pending,
            probe_task: None,
            probed_at: pending.sent,
            paused_until: pending.sent,
        }
    }

    /// Defers the next hedge to `until`; `wait` completes then.
    pub(crate) fn pause(&mut self, until: clock::Millis) {
        self.paused_until = until;
    }

    /// Waits until a hedge is due and returns the reason. The future is cancel safe.
    pub(crate) async fn wait(&mut self, shared: &sync::Arc<state::Shared>) -> Trigger {
        loop {
            if let Some(probe_task) = &mut self.probe_task {
                // A failed health check does not trigger a hedge.
                drop(probe_task.await);
                self.probe_task = None;
                if self.is_stuck(shared.clock.now()) {
                    return Trigger::Stuck;
                }
            }
            let now = shared.clock.now();
            if self.paused_until > now {
                let pause = self.paused_until.since(now).0;
                tokio::time::sleep(time::Duration::from_millis(pause)).await;
                return Trigger::Late;
            }
            let due = self.pending.due(now);
            tokio::time::sleep(time::Duration::from_millis(due.at().since(now).0)).await;
            match due {
                hedge::Due::Hedge(_) => return Trigger::Late,
                hedge::Due::Probe(_) => self.start_probe(shared),
            }
        }
    }

    /// Starts a health check of the server, unless its last report is fresh or the limit of health
    /// checks is reached.
    fn start_probe(&mut self, shared: &sync::Arc<state::Shared>) {
        self.probed_at = shared.clock.now();
        let probe_task = probe::refresh_within_budget(shared, &self.backend, &self.health_path);
        self.probe_task = Some(probe_task.into());
    }

    /// Returns whether a report from about the time of the last probe predicts a late response.
    fn is_stuck(&self, now: clock::Millis) -> bool {
        let Some(last) = self.backend.signal.last_report(now) else {
            return false;
        };
        let is_recent = last.age <= now.since(self.probed_at) + placement::FRESH_MS;
        is_recent
            && self
                .pending
                .should_hedge(now, f64::from(last.slowdown_percent))
    }
}

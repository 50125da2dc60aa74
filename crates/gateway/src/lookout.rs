//! Watches a request that was sent: asks its server how quick it is while a second send could
//! still keep the aim.

use crate::{backend, probe, state};
use futures_util::future;
use nutmegdale_base::clock;
use nutmegdale_dispatch::{hedge, placement};
use std::sync;
use std::time;
use tokio::task;

/// Look at a server, which may need no health check.
type Asking = future::OptionFuture<task::JoinHandle<()>>;

/// Send that may be repeated while its answer is awaited.
pub(crate) struct Lookout {
    backend: sync::Arc<backend::Backend>,
    health_path: String,
    waiting: hedge::Pending,
    asking: Option<Asking>,
    asked_at: clock::Millis,
    /// Time until which a sign is not reported again.
    paused_until: clock::Millis,
}

/// Why a second send is due.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Sign {
    /// The server's VM has turned slow.
    Stuck,
    /// The answer is later than usual.
    Late,
}

impl Sign {
    /// Returns its name in logs.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Sign::Stuck => "stuck",
            Sign::Late => "late",
        }
    }
}

impl Lookout {
    /// Creates the lookout for a request that was sent to `backend`.
    pub(crate) fn new(
        backend: sync::Arc<backend::Backend>,
        health_path: &str,
        waiting: hedge::Pending,
    ) -> Lookout {
        Lookout {
            backend,
            health_path: health_path.to_owned(),
            waiting,
            asking: None,
            asked_at: waiting.sent,
            paused_until: waiting.sent,
        }
    }

    /// Reports no sign until `until`, and one then.
    pub(crate) fn pause(&mut self, until: clock::Millis) {
        self.paused_until = until;
    }

    /// Waits until a second send is due and says why. May be dropped and called again.
    pub(crate) async fn wait(&mut self, shared: &sync::Arc<state::Shared>) -> Sign {
        loop {
            if let Some(asking) = &mut self.asking {
                // A look that failed shows no sign.
                drop(asking.await);
                self.asking = None;
                if self.is_stuck(shared.clock.now()) {
                    return Sign::Stuck;
                }
            }
            let now = shared.clock.now();
            if self.paused_until > now {
                let pause = self.paused_until.since(now).0;
                tokio::time::sleep(time::Duration::from_millis(pause)).await;
                return Sign::Late;
            }
            let due = self.waiting.due(now);
            tokio::time::sleep(time::Duration::from_millis(due.at().since(now).0)).await;
            match due {
                hedge::Due::Hedge(_) => return Sign::Late,
                hedge::Due::Probe(_) => self.look(shared),
            }
        }
    }

    /// Asks the server for its load, unless that was reported a moment ago.
    fn look(&mut self, shared: &sync::Arc<state::Shared>) {
        self.asked_at = shared.clock.now();
        let asking = probe::refresh(shared, &self.backend, &self.health_path);
        self.asking = Some(asking.into());
    }

    /// Returns whether a report from about the last look shows that the answer will be late.
    fn is_stuck(&self, now: clock::Millis) -> bool {
        let Some(last) = self.backend.signal.last_report(now) else {
            return false;
        };
        let is_new = last.age <= now.since(self.asked_at) + placement::FRESH_MS;
        is_new
            && self
                .waiting
                .should_hedge(now, f64::from(last.slowdown_percent))
    }
}

//! One request at one server: the counts and samples that it leaves behind.

use crate::live;
use nutmegdale_base::clock;
use nutmegdale_choice::report;
use nutmegdale_grants::{COLD_REQUEST_MAX_MS, lease};
use std::pin;
use std::sync;
use std::time;

/// Time for which a cancelled request still counts at a cold server, which learns of the end from
/// the closed connection.
const CANCEL_LINGER_MS: u64 = 1_000;
/// Longest time of a request at a cold server; with the time until the server has stopped, it is
/// within the time that the leader waits for.
pub const COLD_WORK_MS: clock::Millis = clock::Millis(COLD_REQUEST_MAX_MS.0 - CANCEL_LINGER_MS);

/// Request at a server, counted from the choice to the end of its answer.
pub struct Flight {
    /// Live part of the server.
    pub live: sync::Arc<live::Server>,
    /// Clock of the process.
    pub clock: sync::Arc<dyn clock::Clock>,
    lease: Option<sync::Arc<lease::Lease>>,
    started: time::Instant,
    is_sampled: bool,
    is_ended: bool,
    heard: sync::Arc<tokio::sync::Notify>,
}

impl std::fmt::Debug for Flight {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Flight")
            .field("live", &self.live)
            .finish_non_exhaustive()
    }
}

impl Flight {
    /// Counts a request in; `lease` is the grant of a cold server that it was counted under.
    pub fn begin(
        live: &sync::Arc<live::Server>,
        clock: &sync::Arc<dyn clock::Clock>,
        lease: Option<sync::Arc<lease::Lease>>,
        heard: &sync::Arc<tokio::sync::Notify>,
    ) -> Flight {
        live.signal.begin();
        Flight {
            live: sync::Arc::clone(live),
            clock: sync::Arc::clone(clock),
            lease,
            started: time::Instant::now(),
            is_sampled: false,
            is_ended: false,
            heard: sync::Arc::clone(heard),
        }
    }

    /// Returns the time.
    pub fn now(&self) -> clock::Millis {
        self.clock.now()
    }

    /// Returns the time since the request was counted in, in microseconds.
    pub fn took_us(&self) -> u64 {
        u64::try_from(self.started.elapsed().as_micros()).unwrap_or(u64::MAX)
    }

    /// Returns the end of the longest time of a request at a cold server.
    pub fn bound(&self) -> Option<pin::Pin<Box<tokio::time::Sleep>>> {
        self.lease.as_ref()?;
        let end = self.started + time::Duration::from_millis(COLD_WORK_MS.0);
        Some(Box::pin(tokio::time::sleep_until(end.into())))
    }

    /// Takes the report of an answer; news of a cold server, or of a warm one under a grant, wake
    /// the sync.
    pub fn report(&self, report: Option<report::Report>) {
        let Some(report) = report else {
            return;
        };
        let was_cold = self.live.signal.is_heard_cold();
        self.live.signal.report(self.now(), &report);
        let is_cold = report.state == Some(report::State::Cold);
        let is_news = match self.lease {
            None => is_cold && !was_cold,
            Some(_) => !is_cold && was_cold,
        };
        if is_news {
            self.heard.notify_one();
        }
    }

    /// Takes the time of the answer's head as a sample of latency.
    pub fn succeeded(&mut self) {
        self.is_sampled = true;
        self.live.signal.succeeded(self.now(), self.took_us());
    }

    /// Takes a failure.
    pub fn failed(&mut self) {
        self.is_sampled = true;
        self.live.signal.failed(self.now());
    }

    /// Takes that nothing was sent, or that the server refused to run it.
    pub fn unsent(&mut self) {
        self.is_sampled = true;
        self.is_ended = true;
    }

    /// Takes the end of the answer: the server works on the request no more.
    pub fn ended(&mut self) {
        self.is_ended = true;
    }
}

impl Drop for Flight {
    fn drop(&mut self) {
        if !self.is_sampled {
            self.live.signal.overtaken(self.now(), self.took_us());
        }
        self.live.signal.end();
        let Some(lease) = self.lease.take() else {
            return;
        };
        if self.is_ended {
            lease.end();
        } else if let Ok(runtime) = tokio::runtime::Handle::try_current() {
            runtime.spawn(async move {
                tokio::time::sleep(time::Duration::from_millis(CANCEL_LINGER_MS)).await;
                lease.end();
            });
        }
        // Without a runtime the process is ending, and the grant ends with it.
    }
}

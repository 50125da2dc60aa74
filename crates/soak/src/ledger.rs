//! Record of what callers, servers and the operator observed, which [`crate::check`] evaluates.

use std::collections;
use std::sync;
use std::time;

/// Execution of a request at a server.
#[derive(Debug, Clone)]
pub struct Run {
    /// Identity of the server.
    pub server: String,
    /// When the request arrived.
    pub at: time::Instant,
    /// From when on no request may reach the server, because it drains or its zone is out of
    /// service.
    pub closed_from: Option<time::Instant>,
    /// Whether the server sent its whole response.
    pub is_answered: bool,
}

/// Arrival of a request at a server that names a rate limit, whether or not the server runs it.
#[derive(Debug, Clone)]
pub struct LimitedArrival {
    /// Identity of the server.
    pub server: String,
    /// Identifier of the request.
    pub id: String,
    /// When it arrived.
    pub at: time::Instant,
}

/// Time for which a server named a rate limit.
#[derive(Debug, Clone)]
pub struct NamedLimit {
    /// Identity of the server.
    pub server: String,
    /// Limit in thousandths of a request per second.
    pub milli_per_s: u32,
    /// When a response first named the limit.
    pub first_named_at: time::Instant,
    /// When the server stopped naming it; `None` while it does.
    pub ended_at: Option<time::Instant>,
}

/// Outcome of an attempt, as the caller observes it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Outcome {
    /// A whole response arrived.
    Answered {
        /// HTTP status.
        status: u16,
        /// Whether it carries a server's signature.
        is_signed: bool,
        /// Response body.
        body: Vec<u8>,
    },
    /// The connection failed before the head of the request was written.
    NotSent,
    /// The connection was lost without a whole response.
    ConnectionLost,
    /// No response arrived in time.
    TimedOut,
}

/// One request of a caller.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// Identifier of the request.
    pub id: String,
    /// Whether the request may be executed once at most.
    pub is_one_time: bool,
    /// Whether the request crashes the servers that run it.
    pub is_crashing: bool,
    /// Index of the entry process that it was sent to.
    pub entry: usize,
    /// When it was sent.
    pub at: time::Instant,
    /// When and how it ended; `None` while it is in flight.
    pub outcome: Option<(time::Instant, Outcome)>,
}

/// Time span of a fault or of a graceful stop.
#[derive(Debug, Clone, Copy)]
pub struct Span {
    /// Start of the span.
    pub from: time::Instant,
    /// End of the span.
    pub to: time::Instant,
}

/// All observations of a scenario.
#[derive(Debug, Default)]
pub struct Observations {
    /// Attempts by identifier of the request.
    pub attempts: collections::HashMap<String, Attempt>,
    /// Executions by identifier of the request.
    pub runs: collections::HashMap<String, Vec<Run>>,
    /// Faults of entry processes, with the index of the process.
    pub entry_faults: Vec<(usize, Span)>,
    /// Faults of control processes.
    pub control_faults: Vec<Span>,
    /// Graceful stops of entry processes, with the index of the process.
    pub stops: Vec<(usize, Span)>,
    /// Faults of servers, with the identity of the server.
    pub server_faults: Vec<(String, Span)>,
    /// Limits that servers named.
    pub limits: Vec<NamedLimit>,
    /// Requests that arrived at servers while these named a limit.
    pub limited_arrivals: Vec<LimitedArrival>,
    /// Descriptions of violations that were detected when they happened.
    pub violations: Vec<String>,
}

/// Observations that the tasks of a scenario share.
#[derive(Debug, Default)]
pub struct Ledger {
    observations: sync::Mutex<Observations>,
}

impl Ledger {
    /// Locks the observations.
    pub fn observations(&self) -> sync::MutexGuard<'_, Observations> {
        self.observations
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Records an attempt that is about to be sent.
    pub fn record_attempt(&self, attempt: Attempt) {
        let id = attempt.id.clone();
        self.observations().attempts.insert(id, attempt);
    }

    /// Records the outcome of an attempt.
    pub fn record_outcome(&self, id: &str, outcome: Outcome) {
        if let Some(attempt) = self.observations().attempts.get_mut(id) {
            attempt.outcome = Some((time::Instant::now(), outcome));
        }
    }

    /// Records that a server starts to execute a request.
    pub fn record_run(&self, id: &str, run: Run) {
        let mut observations = self.observations();
        if !observations.attempts.contains_key(id) {
            let text = format!("server {} executes {id}, which no caller sent", run.server);
            observations.violations.push(text);
        }
        observations
            .runs
            .entry(id.to_owned())
            .or_default()
            .push(run);
    }

    /// Records that a request arrived at a server that names a limit.
    pub fn record_limited_arrival(&self, server: &str, id: &str) {
        let arrival = LimitedArrival {
            server: server.to_owned(),
            id: id.to_owned(),
            at: time::Instant::now(),
        };
        self.observations().limited_arrivals.push(arrival);
    }

    /// Records that a response of a server names a limit, if it is the first one.
    pub fn record_limit(&self, server: &str, milli_per_s: u32) {
        let mut observations = self.observations();
        let mut limits = observations.limits.iter();
        if limits.any(|limit| limit.server == server) {
            return;
        }
        observations.limits.push(NamedLimit {
            server: server.to_owned(),
            milli_per_s,
            first_named_at: time::Instant::now(),
            ended_at: None,
        });
    }

    /// Records that a server names a limit no more.
    pub fn record_limit_end(&self, server: &str) {
        let mut observations = self.observations();
        let limits = observations.limits.iter_mut();
        for limit in limits.filter(|limit| limit.server == server) {
            limit.ended_at.get_or_insert_with(time::Instant::now);
        }
    }

    /// Records that a server has sent its whole response to a request.
    pub fn record_response(&self, id: &str, server: &str) {
        let mut observations = self.observations();
        let runs = observations.runs.get_mut(id).into_iter().flatten();
        for run in runs.filter(|run| run.server == server) {
            run.is_answered = true;
        }
    }

    /// Records a violation of a guarantee.
    pub fn record_violation(&self, description: String) {
        self.observations().violations.push(description);
    }
}

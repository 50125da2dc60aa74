//! Log of what was decided on requests: one line for each request, with every send and its inputs.

use crate::{backend, lookout, place};
use nutmegdale_base::{class, clock, outcome};
use nutmegdale_dispatch::{health, placement};
use nutmegdale_telemetry::limiter;
use std::fmt::Write;

/// Lines per second for requests that were answered in time.
const USUAL_PER_SECOND: u64 = 10;
/// Lines per second for all others. A burst of refusals must not cost more than the work it sheds.
const UNUSUAL_PER_SECOND: u64 = 60;

/// Log of decisions.
#[derive(Debug)]
pub struct Decisions {
    log: slog::Logger,
    usual: limiter::Limiter,
    unusual: limiter::Limiter,
}

/// What was decided on one request so far.
#[derive(Debug, Default)]
pub struct Trail {
    sends: String,
}

impl Trail {
    /// Notes a send and what it rests on: the server, its predicted answer, the age of its load
    /// report, the speed of its VM and its requests.
    pub fn sent(&mut self, at: clock::Millis, server: &str, prediction: &placement::Prediction) {
        let age = prediction.age.map_or(-1, |age| age.0 as i64);
        write!(
            self.sends,
            "{}{at_ms}:{server} predicted={:.0} age={age} speed={:.0} busy={}",
            if self.sends.is_empty() { "" } else { "; " },
            prediction.response_ms,
            prediction.slowdown_percent,
            prediction.in_flight,
            at_ms = at.0,
        )
        .expect("string can be written");
    }

    /// Notes that no server was picked, and what that rests on.
    pub fn refused(&mut self, at: clock::Millis, refused: &place::Refused) {
        let reason = refused.reason.name();
        write!(
            self.sends,
            " {}:{reason} of={}",
            at.0, refused.considered_count
        )
        .expect("string can be written");
        if let Some(best) = &refused.best {
            let age = best.age.map_or(-1, |age| age.0 as i64);
            write!(
                self.sends,
                " best={:.0} age={age} speed={:.0} busy={} slots={}",
                best.response_ms, best.slowdown_percent, best.in_flight, best.slots
            )
            .expect("string can be written");
        }
    }

    /// Notes why a second send is due.
    pub(crate) fn hedged(&mut self, at: clock::Millis, sign: lookout::Sign) {
        write!(self.sends, " {}:hedge-{}", at.0, sign.name()).expect("string can be written");
    }

    /// Notes how the last send, or the request without one, went on.
    pub fn ended(&mut self, at: clock::Millis, what: &str) {
        write!(self.sends, " {}:{what}", at.0).expect("string can be written");
    }
}

/// Request whose outcome is known.
#[derive(Debug, Clone, Copy)]
pub struct Decided<'a> {
    /// Identifier of the caller's attempt.
    pub id: &'a str,
    /// Route, if one matched.
    pub route: &'a str,
    /// Class, if a route matched.
    pub class: Option<class::Class>,
    /// Version of the configuration.
    pub version: u64,
    /// Index of the registry.
    pub index: u64,
    /// Outcome.
    pub outcome: outcome::Outcome,
    /// Status of the answer.
    pub status: u16,
    /// Time that the caller gave.
    pub deadline: clock::Millis,
    /// Time from the head of the request to the answer.
    pub took: clock::Millis,
    /// Whether the answer came within the aim of the route.
    pub is_in_aim: bool,
    /// Sends.
    pub trail: &'a Trail,
}

impl Decisions {
    /// Creates a log.
    pub fn new(log: slog::Logger) -> Decisions {
        Decisions {
            log,
            usual: limiter::Limiter::new(USUAL_PER_SECOND),
            unusual: limiter::Limiter::new(UNUSUAL_PER_SECOND),
        }
    }

    /// Writes the line of a request, if its bound allows.
    pub fn write(&self, now: clock::Millis, decided: &Decided<'_>) {
        let is_usual = decided.outcome == outcome::Outcome::Answered && decided.is_in_aim;
        let limiter = if is_usual { &self.usual } else { &self.unusual };
        let Some(suppressed) = limiter.admit(now) else {
            return;
        };
        slog::info!(self.log, "request decided";
            "request_id" => decided.id,
            "route" => decided.route,
            "class" => decided.class.map_or("", class::Class::name),
            "version" => decided.version,
            "index" => decided.index,
            "outcome" => decided.outcome.name(),
            "reason" => decided.outcome.reason().map_or("", outcome::Reason::name),
            "status" => decided.status,
            "deadline_ms" => decided.deadline.0,
            "ms" => decided.took.0,
            "in_aim" => decided.is_in_aim,
            "sends" => &decided.trail.sends,
            "suppressed" => suppressed);
    }

    /// Writes the line of a server that is taken out of the choice for `span`.
    pub fn ejected(
        &self,
        now: clock::Millis,
        backend: &backend::Backend,
        failure: health::Failure,
        of: &str,
        span: clock::Millis,
    ) {
        if let Some(suppressed) = self.unusual.admit(now) {
            slog::info!(self.log, "server taken out";
                "server" => backend.id(),
                "service" => &backend.announcement.service,
                "failure" => ?failure,
                "of" => of,
                "failed_share" => backend.health.failed_share(),
                "out_ms" => span.0,
                "suppressed" => suppressed);
        }
    }
}

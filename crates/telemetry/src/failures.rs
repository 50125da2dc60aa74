//! Log of requests that were not answered, at a bounded rate.

use crate::limiter;
use nutmegdale_base::{class, clock, outcome};

/// Lines per second. A burst of refusals under overload must not cost more than the work it sheds.
pub const LINES_PER_SECOND: u64 = 50;

/// Request that was not answered.
#[derive(Debug, Clone, Copy)]
pub struct Failure<'a> {
    /// Request id.
    pub request_id: &'a str,
    /// Catalogue version that decided the request.
    pub version: u64,
    /// Outcome.
    pub outcome: outcome::Outcome,
    /// Name of the route, if one matched.
    pub route: Option<&'a str>,
    /// Class, if a route matched.
    pub class: Option<class::Class>,
    /// Name of the server that the request was sent to, if it is known.
    pub server: Option<&'a str>,
    /// Time from the head of the request to the outcome.
    pub took_ms: u64,
}

/// Writer of the log. It never writes bodies, paths or header values of callers.
#[derive(Debug)]
pub struct Failures {
    log: slog::Logger,
    limiter: limiter::Limiter,
}

impl Failures {
    /// Creates a writer.
    pub fn new(log: slog::Logger) -> Failures {
        Failures {
            log,
            limiter: limiter::Limiter::new(LINES_PER_SECOND),
        }
    }

    /// Writes a line unless the second has had its lines; returns whether it was written.
    pub fn write(&self, now: clock::Millis, failure: &Failure<'_>) -> bool {
        let Some(suppressed) = self.limiter.admit(now) else {
            return false;
        };
        let reason = failure.outcome.reason().map_or("", outcome::Reason::name);
        slog::info!(self.log, "request failed";
            "request_id" => failure.request_id,
            "version" => failure.version,
            "outcome" => failure.outcome.name(),
            "reason" => reason,
            "route" => failure.route.unwrap_or(""),
            "class" => failure.class.map_or("", class::Class::name),
            "server" => failure.server.unwrap_or(""),
            "ms" => failure.took_ms,
            "suppressed" => suppressed);
        true
    }
}

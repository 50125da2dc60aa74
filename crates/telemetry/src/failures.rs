//! Rate-limited log of failed requests.

use crate::limiter;
use nutmegdale_base::{class, clock, outcome};

/// Maximum number of log lines per second. Under overload, logging the rejected requests must not
/// cost more than the work that the rejections save.
pub const LINES_PER_SECOND: u64 = 50;

/// Request that failed.
#[derive(Debug, Clone, Copy)]
pub struct Failure<'a> {
    /// Identifier of the request.
    pub request_id: &'a str,
    /// Catalogue version that applied to the request.
    pub version: u64,
    /// Outcome, which also carries the reason.
    pub outcome: outcome::Outcome,
    /// Name of the route, if one matched.
    pub route: Option<&'a str>,
    /// Class, if a route matched.
    pub class: Option<class::Class>,
    /// Name of the server to which the request was sent, if known.
    pub server: Option<&'a str>,
    /// Time from the request head to the outcome, in milliseconds.
    pub took_ms: u64,
}

/// Log of failed requests. It never contains bodies, paths or header values of callers.
#[derive(Debug)]
pub struct FailureLog {
    log: slog::Logger,
    limiter: limiter::Limiter,
}

impl FailureLog {
    /// Creates a failure log that writes to `log`.
    pub fn new(log: slog::Logger) -> FailureLog {
        FailureLog {
            log,
            limiter: limiter::Limiter::new(LINES_PER_SECOND),
        }
    }

    /// Logs `failure` unless [`LINES_PER_SECOND`] is reached. Returns whether it was logged.
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

//! Log of the decisions on requests: one line per request, with its attempts and their inputs.

use crate::{backend, fingerprint, hedge_timer, picker, precedence};
use nutmegdale_base::{class, clock, outcome};
use nutmegdale_dispatch::{health, locality, placement, server_limit};
use nutmegdale_telemetry::limiter;
use std::fmt::Write;

/// Limit of log lines per second for requests that were answered within their latency target.
const NORMAL_PER_SECOND: u64 = 10;
/// Limit of log lines per second for all others. Logging a burst of rejections must not cost more
/// than the work that they shed.
const ABNORMAL_PER_SECOND: u64 = 60;

/// Rate-limited log of decisions.
#[derive(Debug)]
pub struct DecisionLog {
    log: slog::Logger,
    normal: limiter::Limiter,
    abnormal: limiter::Limiter,
}

/// Trace of the decisions on one request, in the format of the log field `sends`.
#[derive(Debug, Default)]
pub struct Trace {
    text: String,
}

impl Trace {
    /// Appends an attempt and its inputs: the server, its predicted response time, the age of its
    /// load report, the slowdown of its VM and its in-flight requests.
    pub fn push_attempt(
        &mut self,
        at: clock::Millis,
        server_id: &str,
        prediction: &placement::Prediction,
    ) {
        let age = prediction.age.map_or(-1, |age| age.0 as i64);
        write!(
            self.text,
            "{}{at_ms}:{server_id} predicted={:.0} age={age} speed={:.0} busy={}",
            if self.text.is_empty() { "" } else { "; " },
            prediction.response_ms,
            prediction.slowdown_percent,
            prediction.in_flight,
            at_ms = at.0,
        )
        .expect("string can be written");
    }

    /// Appends why the last attempt leaves the zone.
    pub fn push_leaving(&mut self, leaving: &precedence::Leaving) {
        let link = match leaving.distance {
            placement::Distance::CrossRegion => "cross-region",
            _ => "region",
        };
        match leaving.side {
            locality::Side::Any => write!(self.text, " link={link} leaves=predicted"),
            locality::Side::Others { pressure, share } => write!(
                self.text,
                " link={link} leaves=surplus zone-pressure={pressure:.2} share={share:.2}"
            ),
        }
        .expect("string can be written");
    }

    /// Appends a rejection and its inputs.
    pub fn push_rejection(&mut self, at: clock::Millis, rejection: &picker::Rejection) {
        let reason = rejection.reason.name();
        write!(
            self.text,
            " {}:{reason} of={}",
            at.0, rejection.considered_count
        )
        .expect("string can be written");
        if let Some(best) = &rejection.best {
            let age = best.age.map_or(-1, |age| age.0 as i64);
            write!(
                self.text,
                " best={:.0} age={age} speed={:.0} busy={} slots={}",
                best.response_ms, best.slowdown_percent, best.in_flight, best.slots
            )
            .expect("string can be written");
        }
        if let Some(reserved) = &rejection.reserved {
            write!(
                self.text,
                " pressure={:.2} reserved-for={}",
                reserved.pressure, reserved.for_priority
            )
            .expect("string can be written");
        }
    }

    /// Appends the trigger of a hedge.
    pub(crate) fn push_hedge(&mut self, at: clock::Millis, trigger: hedge_timer::Trigger) {
        write!(self.text, " {}:hedge-{}", at.0, trigger.name()).expect("string can be written");
    }

    /// Appends the fingerprint of a request whose server broke off.
    pub(crate) fn push_fingerprint(&mut self, fingerprint: fingerprint::Fingerprint) {
        write!(self.text, " fingerprint={fingerprint}").expect("string can be written");
    }

    /// Appends another event, such as the result of the last attempt.
    pub fn push_event(&mut self, at: clock::Millis, event: &str) {
        write!(self.text, " {}:{event}", at.0).expect("string can be written");
    }
}

/// Log record of a completed request.
#[derive(Debug, Clone, Copy)]
pub struct Record<'a> {
    /// Identifier that the caller gave this attempt.
    pub request_id: &'a str,
    /// Name of the route; empty if none matched.
    pub route: &'a str,
    /// Name of the client account, if the caller was identified.
    pub account: Option<&'a str>,
    /// Class of the route, if one matched.
    pub class: Option<class::Class>,
    /// Version of the configuration.
    pub config_version: u64,
    /// Index of the registry.
    pub registry_index: u64,
    /// Outcome, which the response reports to the caller.
    pub outcome: outcome::Outcome,
    /// Status code of the response.
    pub status: u16,
    /// Timeout that the caller stated, or the default.
    pub timeout: clock::Millis,
    /// Time from the head of the request to the response.
    pub elapsed: clock::Millis,
    /// Whether the response was ready within the latency target of the route.
    pub is_within_target: bool,
    /// Attempts and their inputs.
    pub trace: &'a Trace,
}

/// Change of the rate limit of a server.
#[derive(Debug, Clone, Copy)]
pub(crate) struct LimitChange<'a> {
    pub(crate) before: Option<server_limit::Rate>,
    pub(crate) limit: Option<server_limit::Rate>,
    /// How it was learned: from a `response` or a `peer`.
    pub(crate) source: &'a str,
}

/// Log field with the name of an account; lines of other requests have no such field.
struct AccountField<'a>(Option<&'a str>);

impl slog::KV for AccountField<'_> {
    fn serialize(
        &self,
        _record: &slog::Record<'_>,
        serializer: &mut dyn slog::Serializer,
    ) -> slog::Result {
        match self.0 {
            Some(name) => serializer.emit_str("account", name),
            None => Ok(()),
        }
    }
}

impl DecisionLog {
    /// Creates a log that writes to `log`.
    pub fn new(log: slog::Logger) -> DecisionLog {
        DecisionLog {
            log,
            normal: limiter::Limiter::new(NORMAL_PER_SECOND),
            abnormal: limiter::Limiter::new(ABNORMAL_PER_SECOND),
        }
    }

    /// Writes the line of a request, unless the rate limit suppresses it.
    pub fn write_request(&self, now: clock::Millis, record: &Record<'_>) {
        let is_normal = record.outcome == outcome::Outcome::Answered && record.is_within_target;
        let limiter = if is_normal {
            &self.normal
        } else {
            &self.abnormal
        };
        let Some(suppressed) = limiter.admit(now) else {
            return;
        };
        slog::info!(self.log, "request decided";
            "request_id" => record.request_id,
            "route" => record.route,
            AccountField(record.account),
            "class" => record.class.map_or("", class::Class::name),
            "version" => record.config_version,
            "index" => record.registry_index,
            "outcome" => record.outcome.name(),
            "reason" => record.outcome.reason().map_or("", outcome::Reason::name),
            "status" => record.status,
            "deadline_ms" => record.timeout.0,
            "ms" => record.elapsed.0,
            "in_aim" => record.is_within_target,
            "sends" => &record.trace.text,
            "suppressed" => suppressed);
    }

    /// Writes the line of a server whose response stated that it is leaving, unless the rate limit
    /// suppresses it.
    pub fn write_leaving(&self, now: clock::Millis, backend: &backend::Backend) {
        if let Some(suppressed) = self.abnormal.admit(now) {
            slog::info!(self.log, "server is leaving";
                "server" => backend.id(),
                "service" => &backend.announcement.service,
                "born" => backend.announcement.born,
                "suppressed" => suppressed);
        }
    }

    /// Writes the line of a server that asked for a backoff, unless the rate limit suppresses it.
    pub fn write_backoff(&self, now: clock::Millis, backend: &backend::Backend) {
        if let Some(suppressed) = self.abnormal.admit(now) {
            slog::info!(self.log, "server asked for a backoff";
                "server" => backend.id(),
                "service" => &backend.announcement.service,
                "backoff_ms" => backend.availability.backoff_left(now).0,
                "suppressed" => suppressed);
        }
    }

    /// Writes the line of a server that crashed under `suspects_count` requests of this process,
    /// unless the rate limit suppresses it. `is_alone` says that few other servers crashed at the same
    /// time, so that the requests are suspected.
    pub(crate) fn write_crash(
        &self,
        now: clock::Millis,
        backend: &backend::Backend,
        suspects_count: usize,
        is_alone: bool,
    ) {
        if let Some(suppressed) = self.abnormal.admit(now) {
            slog::info!(self.log, "server crashed";
                "server" => backend.id(),
                "service" => &backend.announcement.service,
                "born" => backend.announcement.born,
                "requests" => suspects_count,
                "alone" => is_alone,
                "suppressed" => suppressed);
        }
    }

    /// Writes the line of a server whose rate limit changed, unless the rate limit of the log
    /// suppresses it. A rate is written as requests per second; -1 means that there is no limit.
    pub(crate) fn write_limit(
        &self,
        now: clock::Millis,
        backend: &backend::Backend,
        change: LimitChange<'_>,
    ) {
        let per_s =
            |limit: Option<server_limit::Rate>| limit.map_or(-1.0, server_limit::Rate::per_s);
        if let Some(suppressed) = self.abnormal.admit(now) {
            slog::info!(self.log, "server limit changed";
                "server" => backend.id(),
                "service" => &backend.announcement.service,
                "per_s" => per_s(change.limit),
                "before_per_s" => per_s(change.before),
                "of" => change.source,
                "suppressed" => suppressed);
        }
    }

    /// Writes the line of a server that is ejected for `ejected_for`, unless the rate limit
    /// suppresses it.
    pub fn write_ejection(
        &self,
        now: clock::Millis,
        backend: &backend::Backend,
        failure: health::Failure,
        source: &str,
        ejected_for: clock::Millis,
    ) {
        if let Some(suppressed) = self.abnormal.admit(now) {
            slog::info!(self.log, "server taken out";
                "server" => backend.id(),
                "service" => &backend.announcement.service,
                "failure" => ?failure,
                "of" => source,
                "failed_share" => backend.health.failed_share(),
                "out_ms" => ejected_for.0,
                "suppressed" => suppressed);
        }
    }
}

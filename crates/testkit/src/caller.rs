//! Client that resolves the addresses of entry processes, caches them for their TTL and fails over
//! to the next address.

use crate::http;
use std::net;
use std::time;

/// Limit on the attempts of one call.
const ATTEMPTS_MAX_COUNT: usize = 8;
/// Timeout of one request.
const TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// Outcome of a call.
#[derive(Debug, Clone)]
pub enum Report {
    /// A server executed the request and its answer arrived completely.
    Answered(http::Answer),
    /// The request was not executed. Holds the refusal of the last entry process, if one was reached.
    NotRun(Option<http::Answer>),
    /// The request may have been executed. Holds no answer if the connection failed or timed out.
    Unknown(Option<http::Answer>),
}

impl Report {
    /// Returns `answered`, `not-run` or `unknown`.
    pub fn outcome(&self) -> &'static str {
        match self {
            Report::Answered(_) => "answered",
            Report::NotRun(_) => "not-run",
            Report::Unknown(_) => "unknown",
        }
    }

    /// Returns the last answer.
    pub fn answer(&self) -> Option<&http::Answer> {
        match self {
            Report::Answered(answer) => Some(answer),
            Report::NotRun(answer) | Report::Unknown(answer) => answer.as_ref(),
        }
    }
}

/// Client of one route with a cache of addresses.
#[derive(Debug)]
pub struct Caller {
    bootstrap: Vec<net::SocketAddr>,
    route: String,
    addresses: Vec<net::SocketAddr>,
    expires_at: Option<time::Instant>,
}

impl Caller {
    /// Creates a caller of a route that resolves its first addresses at the `bootstrap` entry
    /// processes.
    pub fn new(bootstrap: Vec<net::SocketAddr>, route: &str) -> Caller {
        Caller {
            bootstrap,
            route: route.to_owned(),
            addresses: Vec::new(),
            expires_at: None,
        }
    }

    /// Returns the cached addresses, starting with the one that the next request uses.
    pub fn addresses(&self) -> &[net::SocketAddr] {
        &self.addresses
    }

    /// Sends a request, with retries until it is answered, may have been executed, or the limit of
    /// attempts is reached.
    ///
    /// With `may_repeat`, a request that may have been executed is retried as well. This is safe only
    /// for an idempotent read or a one-time request with its idempotency key.
    pub async fn call(&mut self, req: &http::Request<'_>, may_repeat: bool) -> Report {
        let mut report = Report::NotRun(None);
        for _ in 0..ATTEMPTS_MAX_COUNT {
            self.refresh().await;
            let Some(peer) = self.addresses.first().copied() else {
                tokio::time::sleep(time::Duration::from_millis(100)).await;
                continue;
            };
            let may_have_run = matches!(report, Report::Unknown(_));
            let attempt = send(peer, req).await;
            report = match attempt {
                Report::Answered(_) => return attempt,
                // An earlier attempt may have been executed, which this refusal does not rule out.
                Report::NotRun(answer) if may_have_run => Report::Unknown(answer),
                attempt => attempt,
            };
            if matches!(report, Report::Unknown(_)) && !may_repeat {
                return report;
            }
            if is_final(&report) {
                return report;
            }
            self.addresses.rotate_left(1);
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
        report
    }

    async fn refresh(&mut self) {
        if self.expires_at.is_some_and(|at| at > time::Instant::now()) {
            return;
        }
        let path = format!("/.nutmegdale/addresses?route={}", self.route);
        let peers: Vec<_> = self
            .addresses
            .iter()
            .chain(&self.bootstrap)
            .copied()
            .collect();
        for peer in peers {
            let req = http::Request::get(&path, &[]);
            let answer = tokio::time::timeout(TIMEOUT, http::send(peer, &req)).await;
            let Ok(Ok(answer)) = answer else { continue };
            let (200, Ok(list)) = (answer.status, answer.json()) else {
                continue;
            };
            let ttl_ms = list["ttl_ms"].as_u64().unwrap_or(0);
            let listed = list["addresses"].as_array().into_iter().flatten();
            self.addresses = listed.filter_map(|a| a.as_str()?.parse().ok()).collect();
            self.expires_at = Some(time::Instant::now() + time::Duration::from_millis(ttl_ms));
            return;
        }
    }
}

/// Returns whether another entry process would refuse the request as well.
fn is_final(report: &Report) -> bool {
    let reasons = ["no-route", "account", "bad-request", "key", "limit"];
    let reason = report
        .answer()
        .map_or("", |answer| answer.header("nutmegdale-reason"));
    reasons.contains(&reason)
}

async fn send(peer: net::SocketAddr, req: &http::Request<'_>) -> Report {
    let Ok(mut connection) = http::Connection::open(peer).await else {
        return Report::NotRun(None);
    };
    let sent = tokio::time::timeout(TIMEOUT, connection.send(req)).await;
    let Ok(Ok(answer)) = sent else {
        return Report::Unknown(None);
    };
    match answer.header("nutmegdale-outcome") {
        "answered" => Report::Answered(answer),
        "not-run" => Report::NotRun(Some(answer)),
        _ => Report::Unknown(Some(answer)),
    }
}

//! Caller that asks for addresses, keeps them for their time and moves on when one fails.

use crate::http;
use std::net;
use std::time;

/// Requests that one call sends at most.
const TRIES_MAX_COUNT: usize = 8;
/// Time for one request.
const TIMEOUT: time::Duration = time::Duration::from_secs(30);

/// What a call ended with.
#[derive(Debug, Clone)]
pub enum Report {
    /// The whole answer of a server.
    Answered(http::Answer),
    /// The request did not run; the answer of the last entry process, if one was reached.
    NotRun(Option<http::Answer>),
    /// The request may have run; without an answer, the connection broke.
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

    /// Returns the answer that came last.
    pub fn answer(&self) -> Option<&http::Answer> {
        match self {
            Report::Answered(answer) => Some(answer),
            Report::NotRun(answer) | Report::Unknown(answer) => answer.as_ref(),
        }
    }
}

/// Caller with a list of addresses.
#[derive(Debug)]
pub struct Caller {
    known: Vec<net::SocketAddr>,
    route: String,
    addresses: Vec<net::SocketAddr>,
    expires: Option<time::Instant>,
}

impl Caller {
    /// Creates a caller of a route that knows some entry processes from the start.
    pub fn new(known: Vec<net::SocketAddr>, route: &str) -> Caller {
        Caller {
            known,
            route: route.to_owned(),
            addresses: Vec::new(),
            expires: None,
        }
    }

    /// Returns the addresses that the caller uses now, the next one first.
    pub fn addresses(&self) -> &[net::SocketAddr] {
        &self.addresses
    }

    /// Sends a request until it is answered, may have run, or too many tries did not run.
    ///
    /// With `may_repeat`, a request that may have run is sent again; only an idempotent read, or a
    /// one-time request with its key, may be.
    pub async fn call(&mut self, req: &http::Request<'_>, may_repeat: bool) -> Report {
        let mut report = Report::NotRun(None);
        for _ in 0..TRIES_MAX_COUNT {
            self.refresh().await;
            let Some(peer) = self.addresses.first().copied() else {
                tokio::time::sleep(time::Duration::from_millis(100)).await;
                continue;
            };
            let may_have_run = matches!(report, Report::Unknown(_));
            let tried = send(peer, req).await;
            report = match tried {
                Report::Answered(_) => return tried,
                // An earlier try may have run, so this refusal does not speak for the whole call.
                Report::NotRun(answer) if may_have_run => Report::Unknown(answer),
                tried => tried,
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
        if self.expires.is_some_and(|at| at > time::Instant::now()) {
            return;
        }
        let path = format!("/.nutmegdale/addresses?route={}", self.route);
        let peers: Vec<_> = self.addresses.iter().chain(&self.known).copied().collect();
        for peer in peers {
            let asked = http::Request::get(&path, &[]);
            let answer = tokio::time::timeout(TIMEOUT, http::send(peer, &asked)).await;
            let Ok(Ok(answer)) = answer else { continue };
            let (200, Ok(list)) = (answer.status, answer.json()) else {
                continue;
            };
            let ttl_ms = list["ttl_ms"].as_u64().unwrap_or(0);
            let listed = list["addresses"].as_array().into_iter().flatten();
            self.addresses = listed.filter_map(|a| a.as_str()?.parse().ok()).collect();
            self.expires = Some(time::Instant::now() + time::Duration::from_millis(ttl_ms));
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

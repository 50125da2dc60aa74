//! Generates the demo's traffic and counts the outcomes.

use nutmegdale_testkit::{caller, http};
use std::collections;
use std::net;
use std::sync;
use std::time;
use tokio::sync::watch;

/// Size of one export in bytes.
const EXPORT_BYTES: usize = 4 * 1024 * 1024;
/// Workloads: route, number of concurrent callers, and pause between two calls in milliseconds.
const WORKLOADS: [(&str, usize, u64); 3] =
    [("reads", 12, 10), ("filings", 6, 25), ("exports", 2, 100)];

/// Results that the callers observed.
#[derive(Debug, Default)]
pub(crate) struct Tally {
    /// Number of calls by route and outcome.
    pub(crate) outcomes: collections::BTreeMap<(&'static str, &'static str), u64>,
    /// Outcome of each filing by its idempotency key.
    pub(crate) filings: collections::BTreeMap<String, &'static str>,
    /// Descriptions of answers that were incomplete or belonged to another request.
    pub(crate) wrong_answers: Vec<String>,
}

/// Running callers.
pub(crate) struct Traffic {
    stop: watch::Sender<bool>,
    tasks: tokio::task::JoinSet<()>,
    tally: sync::Arc<sync::Mutex<Tally>>,
}

impl Traffic {
    pub(crate) fn start(bootstrap: &[net::SocketAddr]) -> Traffic {
        let (stop, stop_rx) = watch::channel(false);
        let tally = sync::Arc::<sync::Mutex<Tally>>::default();
        let mut tasks = tokio::task::JoinSet::new();
        for (route, count, pause) in WORKLOADS {
            for number in 0..count {
                let mut bootstrap = bootstrap.to_vec();
                // Spread the callers over the entry processes.
                let length = bootstrap.len();
                bootstrap.rotate_left(number % length);
                let caller = Caller {
                    route,
                    number,
                    pause: time::Duration::from_millis(pause),
                    inner: caller::Caller::new(bootstrap, route),
                    tally: sync::Arc::clone(&tally),
                };
                tasks.spawn(caller.run(stop_rx.clone()));
            }
        }
        Traffic { stop, tasks, tally }
    }

    /// Waits for the calls in flight and returns the results.
    pub(crate) async fn stop(mut self) -> Tally {
        self.stop.send_replace(true);
        while self.tasks.join_next().await.is_some() {}
        std::mem::take(&mut self.tally.lock().expect("no panic while the lock is held"))
    }
}

struct Caller {
    route: &'static str,
    number: usize,
    pause: time::Duration,
    inner: caller::Caller,
    tally: sync::Arc<sync::Mutex<Tally>>,
}

impl Caller {
    async fn run(mut self, stop: watch::Receiver<bool>) {
        let mut call_number = 0;
        while !*stop.borrow() {
            call_number += 1;
            self.call(call_number).await;
            tokio::time::sleep(self.pause).await;
        }
    }

    async fn call(&mut self, call_number: u64) {
        let id = format!("{}-{call_number}", self.number);
        let (method, path) = match self.route {
            "reads" => ("GET", format!("/logs/{id}")),
            "filings" => ("POST", format!("/incidents/{id}")),
            _ => ("GET", format!("/archive/{id}?bytes={EXPORT_BYTES}")),
        };
        let headers = [
            ("nutmegdale-account", "clerk"),
            ("idempotency-key", id.as_str()),
        ];
        let is_filing = self.route == "filings";
        let headers = if is_filing { &headers } else { &headers[..1] };
        let req = http::Request {
            method,
            path: &path,
            headers,
            body: "".into(),
        };
        // Filings have an idempotency key, so retries are safe for every route.
        let report = self.inner.call(&req, true).await;
        let mut tally = self.tally.lock().expect("no panic while the lock is held");
        *tally
            .outcomes
            .entry((self.route, report.outcome()))
            .or_default() += 1;
        if is_filing {
            tally.filings.insert(id, report.outcome());
        }
        if let caller::Report::Answered(answer) = &report
            && !is_expected(self.route, &path, answer)
        {
            tally
                .wrong_answers
                .push(format!("{path}: status {}", answer.status));
        }
    }
}

/// Returns whether an answer is complete and belongs to the path.
fn is_expected(route: &str, path: &str, answer: &http::Answer) -> bool {
    if route == "exports" {
        return answer.status == 200 && answer.body.len() == EXPORT_BYTES;
    }
    let text = answer.text();
    answer.status == 200 && text.split(' ').nth(1) == Some(path)
}

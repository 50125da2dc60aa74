//! Callers of the demo.

use nutmegdale_testkit::{caller, http};
use std::collections;
use std::net;
use std::sync;
use std::time;
use tokio::sync::watch;

/// Bytes of one export.
const EXPORT_BYTES: usize = 4 * 1024 * 1024;
/// Kinds of calls: route, callers at once, and pause between two calls in milliseconds.
const KINDS: [(&str, usize, u64); 3] = [("reads", 12, 10), ("filings", 6, 25), ("exports", 2, 100)];

/// What callers saw.
#[derive(Debug, Default)]
pub(crate) struct Tally {
    /// Calls by route and outcome.
    pub(crate) outcomes: collections::BTreeMap<(&'static str, &'static str), u64>,
    /// Outcome of each filing by its key.
    pub(crate) filings: collections::BTreeMap<String, &'static str>,
    /// Answers that were not the whole answer to their own request.
    pub(crate) wrong: Vec<String>,
}

/// Running callers.
pub(crate) struct Traffic {
    stop: watch::Sender<bool>,
    tasks: tokio::task::JoinSet<()>,
    tally: sync::Arc<sync::Mutex<Tally>>,
}

impl Traffic {
    pub(crate) fn start(known: &[net::SocketAddr]) -> Traffic {
        let (stop, stop_rx) = watch::channel(false);
        let tally = sync::Arc::<sync::Mutex<Tally>>::default();
        let mut tasks = tokio::task::JoinSet::new();
        for (route, count, pause) in KINDS {
            for number in 0..count {
                let mut known = known.to_vec();
                // Callers live in different places, so they know different addresses first.
                let length = known.len();
                known.rotate_left(number % length);
                let caller = Caller {
                    route,
                    number,
                    pause: time::Duration::from_millis(pause),
                    inner: caller::Caller::new(known, route),
                    tally: sync::Arc::clone(&tally),
                };
                tasks.spawn(caller.run(stop_rx.clone()));
            }
        }
        Traffic { stop, tasks, tally }
    }

    /// Lets every call end and returns what callers saw.
    pub(crate) async fn stop(mut self) -> Tally {
        self.stop.send_replace(true);
        while self.tasks.join_next().await.is_some() {}
        std::mem::take(&mut self.tally.lock().expect("no panic while counting"))
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
        let mut turn = 0;
        while !*stop.borrow() {
            turn += 1;
            self.call(turn).await;
            tokio::time::sleep(self.pause).await;
        }
    }

    async fn call(&mut self, turn: u64) {
        let id = format!("{}-{turn}", self.number);
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
        // With its key, a filing may be sent again as well.
        let report = self.inner.call(&req, true).await;
        let mut tally = self.tally.lock().expect("no panic while counting");
        *tally
            .outcomes
            .entry((self.route, report.outcome()))
            .or_default() += 1;
        if is_filing {
            tally.filings.insert(id, report.outcome());
        }
        if let caller::Report::Answered(answer) = &report
            && !is_own(self.route, &path, answer)
        {
            tally
                .wrong
                .push(format!("{path}: status {}", answer.status));
        }
    }
}

/// Returns whether an answer is whole and belongs to the path.
fn is_own(route: &str, path: &str, answer: &http::Answer) -> bool {
    if route == "exports" {
        return answer.status == 200 && answer.body.len() == EXPORT_BYTES;
    }
    let text = answer.text();
    answer.status == 200 && text.split(' ').nth(1) == Some(path)
}

//! Cluster with one route for one-time filings, and the outcomes that callers got for them.

#![allow(dead_code, unreachable_pub)] // Each test file uses a part of this module.

use nutmegdale_testkit::{cluster, http, link, standin};
use nutmegdale_verifier::ledger as verifier;
use std::net;
use std::sync;
use std::time;

pub const PLACE: cluster::Locality = cluster::Locality {
    zone: "zone-a",
    region: "north",
};

/// Response to one send of a filing.
#[derive(Debug, Clone)]
pub struct SendResult {
    pub key: String,
    pub request_id: String,
    pub outcome: String,
    pub reason: String,
    pub status: u16,
    pub is_replayed: bool,
    pub body: String,
}

pub struct Filings {
    pub cluster: cluster::Cluster,
    pub server: standin::StandIn,
    /// Link between the entry processes and the server.
    pub link: link::Link,
    sent: sync::Mutex<Vec<SendResult>>,
}

fn ops(places: &[cluster::Locality]) -> serde_json::Value {
    let zones = places.iter().map(|place| {
        serde_json::json!({ "op": "put-zone",
                            "zone": { "name": place.zone, "region": place.region } })
    });
    let mut ops: Vec<_> = zones.collect();
    ops.push(serde_json::json!({ "op": "put-account",
        "account": { "name": "inspector", "owner": "Ann", "class": "urgent-lookup" } }));
    ops.push(serde_json::json!({ "op": "put-route",
        "route": { "name": "filings", "owner": "Ann", "class": "one-time-filing",
                   "path_prefix": "/filings", "service": "filings",
                   "home_regions": [PLACE.region], "ledger_region": PLACE.region,
                   "retention": "1h" } }));
    ops.into()
}

impl Filings {
    /// Starts a cluster with control processes at `control`, entry processes at [`PLACE`] and one
    /// server behind a link.
    pub async fn start(control: Vec<cluster::Locality>, entries_count: usize) -> Filings {
        let mut places = control.clone();
        places.push(PLACE);
        places.sort_by_key(|place| place.zone);
        places.dedup_by_key(|place| place.zone);
        let plan = cluster::Plan {
            program: env!("CARGO_BIN_EXE_nutmegdale").into(),
            control,
            entry: vec![PLACE; entries_count],
        };
        let mut cluster = cluster::Cluster::start(&plan);
        cluster.apply("filings", &ops(&places)).await;
        let mut announced = cluster.announcement("filings-1", "filings", PLACE.zone);
        // These tests may have more requests in flight than a server has slots by default.
        announced.slots = 64;
        let link_address = announced.address;
        let server_address = cluster.standin_address();
        let link = link::Link::start(link_address, server_address, link::State::default()).await;
        let entries = cluster.entry.iter().map(cluster::Daemon::entry).collect();
        let server = start_server(announced, server_address, entries).await;
        let filings = Filings {
            cluster,
            server,
            link: link.expect("link can be started"),
            sent: sync::Mutex::default(),
        };
        for entry in 0..entries_count {
            filings.wait_ready(entry).await;
        }
        filings
    }

    /// Waits until an entry process serves filings.
    pub async fn wait_ready(&self, entry: usize) {
        static NEXT: sync::atomic::AtomicU64 = sync::atomic::AtomicU64::new(0);
        let limit = time::Duration::from_secs(20);
        cluster::eventually(limit, "a filing through the entry process", || async {
            let number = NEXT.fetch_add(1, sync::atomic::Ordering::Relaxed);
            let sent = self.file(entry, &format!("ready-{number}"), 2_000).await;
            sent.filter(|sent| sent.outcome == "answered")
        })
        .await;
    }

    /// Sends a filing under a key; returns `None` if the connection was lost.
    pub async fn file(&self, entry: usize, key: &str, deadline_ms: u64) -> Option<SendResult> {
        self.file_body(entry, key, deadline_ms, "leak in hall 7")
            .await
    }

    /// Like [`Filings::file`], with the given body.
    pub async fn file_body(
        &self,
        entry: usize,
        key: &str,
        deadline_ms: u64,
        body: &str,
    ) -> Option<SendResult> {
        self.file_at(self.cluster.entry[entry].entry(), key, deadline_ms, body)
            .await
    }

    async fn file_at(
        &self,
        peer: net::SocketAddr,
        key: &str,
        deadline_ms: u64,
        body: &str,
    ) -> Option<SendResult> {
        let deadline_ms = deadline_ms.to_string();
        let headers = [
            ("nutmegdale-account", "inspector"),
            ("nutmegdale-deadline-ms", deadline_ms.as_str()),
            ("idempotency-key", key),
        ];
        let req = http::Request::post("/filings/leak", &headers, body.to_owned());
        let answer = http::send(peer, &req).await.ok()?;
        let sent = SendResult {
            key: key.to_owned(),
            request_id: answer.header("nutmegdale-request-id").to_owned(),
            outcome: answer.header("nutmegdale-outcome").to_owned(),
            reason: answer.header("nutmegdale-reason").to_owned(),
            status: answer.status,
            is_replayed: answer.header("nutmegdale-replayed") == "true",
            body: answer.text(),
        };
        self.sent
            .lock()
            .expect("no panic while the lock is held")
            .push(sent.clone());
        Some(sent)
    }

    /// Queries the outcome of a key from an entry process.
    pub async fn outcome(&self, entry: usize, key: &str) -> serde_json::Value {
        let path = format!("/.nutmegdale/outcome?route=filings&key={key}");
        let headers = [("nutmegdale-account", "inspector")];
        let req = http::Request::get(&path, &headers);
        let answer = http::send(self.cluster.entry[entry].entry(), &req).await;
        answer.expect("answer").json().expect("JSON")
    }

    /// Returns the number of executions of a key.
    pub fn executions(&self, key: &str) -> usize {
        let counts = self.server.shared.executions_by_key();
        counts.get(key).copied().unwrap_or(0)
    }

    /// Waits until the server has started to execute a key.
    pub async fn wait_executed(&self, key: &str) {
        let limit = time::Duration::from_secs(10);
        cluster::eventually(limit, "an execution", || async {
            (self.executions(key) > 0).then_some(())
        })
        .await;
    }

    /// Kills an entry process and starts it again.
    pub async fn restart_entry(&mut self, entry: usize) {
        self.cluster.entry[entry].kill();
        let mut daemon = self.cluster.entry.remove(entry);
        self.cluster.restart(&mut daemon);
        self.cluster.entry.insert(entry, daemon);
        self.wait_ready(entry).await;
    }

    /// Checks the outcomes that callers got against the executions of the server.
    pub fn check(&self) {
        let sent = self.sent.lock().expect("no panic while the lock is held");
        let executions = self.server.shared.executions();
        let mut events = Vec::new();
        for execution in &executions {
            let (key, send) = (execution.key.as_str(), execution.request_id.as_str());
            events.push(verifier::Event::Executed { key, send });
        }
        for sent in sent.iter() {
            let outcome = match sent.outcome.as_str() {
                "answered" => verifier::Outcome::Answered(sent.body.as_bytes()),
                "not-run" => verifier::Outcome::NotRun,
                "unknown" => verifier::Outcome::Unknown,
                other => panic!("outcome {other:?} of {sent:?}"),
            };
            let (key, send) = (sent.key.as_str(), sent.request_id.as_str());
            events.push(verifier::Event::Reported { key, send, outcome });
        }
        assert_eq!(verifier::check(&events), []);
    }

    /// Returns how often callers got each outcome and reason.
    pub fn outcomes(&self) -> std::collections::BTreeMap<String, usize> {
        let mut counts = std::collections::BTreeMap::new();
        for sent in self
            .sent
            .lock()
            .expect("no panic while the lock is held")
            .iter()
        {
            *counts
                .entry(format!("{} {}", sent.outcome, sent.reason))
                .or_default() += 1;
        }
        counts
    }
}

async fn start_server(
    announced: nutmegdale_membership::announcement::Announcement,
    server_address: net::SocketAddr,
    entries: Vec<net::SocketAddr>,
) -> standin::StandIn {
    let behaviour = standin::Behaviour::default();
    // The stand-in listens behind the link, but announces the link.
    let started =
        standin::StandIn::start_behind(announced, server_address, entries, behaviour).await;
    started.expect("stand-in can be started")
}

//! Guards the path of a one-time request over separate processes: at most one execution per key,
//! the same answer for every send of a key, and true outcomes.

mod filings;

use filings::{Filings, PLACE};
use nutmegdale_testkit::http;
use std::net;
use std::time;

#[tokio::test]
async fn resends_through_every_entry_process_get_the_recorded_answer() {
    let filings = Filings::start(vec![PLACE], 2).await;
    let first = filings.file(0, "k1", 5_000).await.expect("answer");
    assert_eq!(
        (first.outcome.as_str(), first.is_replayed),
        ("answered", false)
    );
    for entry in [0, 1] {
        let again = filings.file(entry, "k1", 5_000).await.expect("answer");
        assert_eq!(
            (again.outcome.as_str(), again.is_replayed),
            ("answered", true)
        );
        assert_eq!((again.status, &again.body), (first.status, &first.body));
    }
    let recorded = filings.outcome(1, "k1").await;
    assert_eq!(recorded["outcome"], "answered", "{recorded}");
    assert_eq!(recorded["body"], first.body.as_str(), "{recorded}");
    // Another request under the same key is refused and not executed.
    let other = filings
        .file_body(1, "k1", 5_000, "another leak")
        .await
        .expect("answer");
    assert_eq!((other.status, other.reason.as_str()), (409, "key"));
    assert_eq!(filings.executions("k1"), 1);
    assert_eq!(filings.outcome(0, "never-sent").await["state"], "unclaimed");
    filings.check();
}

async fn post(
    peer: net::SocketAddr,
    headers: &[(&str, &str)],
    body: impl Into<Vec<u8>>,
) -> http::Answer {
    let req = http::Request::post("/filings/a", headers, body.into());
    http::send(peer, &req).await.expect("answer")
}

#[tokio::test]
async fn request_without_a_key_runs_and_an_invalid_key_is_refused() {
    let filings = Filings::start(vec![PLACE], 1).await;
    let peer = filings.cluster.entry[0].entry();
    let account = ("nutmegdale-account", "inspector");
    let before = filings.server.shared.executions().len();
    let answer = post(peer, &[account], "x").await;
    assert_eq!(
        answer.header("nutmegdale-outcome"),
        "answered",
        "{}",
        answer.text()
    );
    assert_eq!(filings.server.shared.executions().len(), before + 1);
    for key in ["", "with space", &"k".repeat(256)] {
        let headers = [account, ("idempotency-key", key)];
        let answer = post(peer, &headers, "x").await;
        assert_eq!(
            answer.header("nutmegdale-outcome"),
            "not-run",
            "key {key:?}"
        );
        assert_eq!(answer.header("nutmegdale-reason"), "key", "key {key:?}");
    }
    let large = vec![b'x'; 1024 * 1024 + 1];
    let headers = [account, ("idempotency-key", "large")];
    let answer = post(peer, &headers, large).await;
    assert_eq!(answer.header("nutmegdale-reason"), "bad-request");
    assert_eq!(filings.server.shared.executions().len(), before + 1);
}

#[tokio::test]
async fn a_request_refused_without_execution_may_run_later() {
    let filings = Filings::start(vec![PLACE], 2).await;
    filings
        .server
        .shared
        .set(|behaviour| behaviour.sheds = true);
    let refused = filings.file(0, "k1", 5_000).await.expect("answer");
    assert_eq!(
        (refused.outcome.as_str(), refused.reason.as_str()),
        ("not-run", "server-refused")
    );
    assert_eq!(filings.executions("k1"), 0);
    assert_eq!(filings.outcome(1, "k1").await["state"], "released");
    filings
        .server
        .shared
        .set(|behaviour| behaviour.sheds = false);
    let again = filings.file(1, "k1", 5_000).await.expect("answer");
    assert_eq!(
        (again.outcome.as_str(), again.is_replayed),
        ("answered", false)
    );
    assert_eq!(filings.executions("k1"), 1);
    filings.check();
}

#[tokio::test]
async fn a_broken_answer_stays_unknown_and_never_runs_again() {
    let filings = Filings::start(vec![PLACE], 2).await;
    filings
        .server
        .shared
        .set(|behaviour| behaviour.breaks = true);
    let broken = filings.file(0, "k1", 5_000).await.expect("answer");
    assert_eq!(
        (broken.outcome.as_str(), broken.reason.as_str()),
        ("unknown", "broken-answer")
    );
    filings
        .server
        .shared
        .set(|behaviour| behaviour.breaks = false);
    for entry in [0, 1] {
        let again = filings.file(entry, "k1", 5_000).await.expect("answer");
        assert_eq!((again.outcome.as_str(), again.status), ("unknown", 409));
        assert_eq!(again.reason, "earlier-send");
    }
    assert_eq!(filings.executions("k1"), 1);
    filings.check();
}

#[tokio::test]
async fn a_late_answer_is_recorded_for_the_resend() {
    let filings = Filings::start(vec![PLACE], 2).await;
    filings.link.set(|state| state.is_back_cut = true);
    let late = filings.file(0, "k1", 500).await.expect("answer");
    assert_eq!(
        (late.outcome.as_str(), late.reason.as_str()),
        ("unknown", "deadline")
    );
    // While the first execution is in progress, a resend waits until its deadline.
    let pending = filings.file(1, "k1", 500).await.expect("answer");
    assert_eq!(
        (pending.outcome.as_str(), pending.reason.as_str()),
        ("unknown", "pending")
    );
    assert_eq!(pending.status, 409);
    filings.link.set(|state| state.is_back_cut = false);
    let again = filings.file(1, "k1", 10_000).await.expect("answer");
    assert_eq!(
        (again.outcome.as_str(), again.is_replayed),
        ("answered", true)
    );
    assert_eq!(filings.executions("k1"), 1);
    filings.check();
}

#[tokio::test]
async fn concurrent_sends_of_one_key_run_once() {
    let filings = Filings::start(vec![PLACE], 2).await;
    for round in 0..20 {
        let key = format!("k{round}");
        let sends = tokio::join!(
            filings.file(0, &key, 5_000),
            filings.file(1, &key, 5_000),
            filings.file(0, &key, 5_000),
            filings.file(1, &key, 5_000),
        );
        for sent in [sends.0, sends.1, sends.2, sends.3] {
            assert_eq!(sent.expect("answer").outcome, "answered");
        }
        assert_eq!(filings.executions(&key), 1, "{key}");
    }
    filings.check();
}

#[tokio::test]
async fn answer_is_recorded_after_its_caller_disconnects() {
    let filings = Filings::start(vec![PLACE], 2).await;
    let slow = time::Duration::from_millis(500);
    filings
        .server
        .shared
        .set(|behaviour| behaviour.service_time = slow);
    let timeout = time::Duration::from_millis(200);
    let abandoned = tokio::time::timeout(timeout, filings.file(0, "k1", 5_000)).await;
    assert!(
        abandoned.is_err(),
        "the caller must disconnect before the answer"
    );
    let again = filings.file(1, "k1", 5_000).await.expect("answer");
    assert_eq!(
        (again.outcome.as_str(), again.is_replayed),
        ("answered", true)
    );
    assert_eq!(filings.executions("k1"), 1);
    filings.check();
}

#[tokio::test]
async fn large_answer_is_whole_for_the_first_caller_and_a_digest_for_resends() {
    let filings = Filings::start(vec![PLACE], 2).await;
    let headers = [
        ("nutmegdale-account", "inspector"),
        ("idempotency-key", "large"),
    ];
    let req = http::Request::post("/filings/export?bytes=1000000", &headers, "x");
    let first = http::send(filings.cluster.entry[0].entry(), &req)
        .await
        .expect("answer");
    assert_eq!((first.status, first.body.len()), (200, 1_000_000));
    let again = http::send(filings.cluster.entry[1].entry(), &req)
        .await
        .expect("answer");
    assert_eq!(
        (again.status, again.header("nutmegdale-outcome")),
        (410, "answered")
    );
    let again = again.json().expect("JSON");
    assert_eq!(
        (&again["status"], &again["body_bytes"]),
        (&200.into(), &1_000_000.into())
    );
    assert_eq!(filings.executions("large"), 1);
}

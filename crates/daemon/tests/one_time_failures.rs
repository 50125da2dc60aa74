//! Guards P4, P6 and P7 while entry and control processes are killed, paused and restarted: no
//! filing runs twice, all answers for a key are the same, and each `not-run` is true.

mod filings;

use filings::{Filings, PLACE};
use nutmegdale_base::clock;
use nutmegdale_ledger::{command, key};
use nutmegdale_rpc::{client, ledger};
use nutmegdale_testkit::cluster;
use std::{fs, path, time};

fn millis(count: u64) -> time::Duration {
    time::Duration::from_millis(count)
}

/// Sends a filing under a key until its outcome is final, and returns the outcome.
async fn file_until_final(filings: &Filings, entry: usize, key: &str) -> String {
    let limit = time::Duration::from_secs(30);
    cluster::eventually(limit, "a final outcome", || async {
        let sent = filings.file(entry, key, 8_000).await?;
        let is_final = sent.outcome == "answered" || sent.reason == "earlier-send";
        is_final.then_some(sent.outcome)
    })
    .await
}

fn signal_control(filings: &Filings, name: &str) {
    for control in &filings.cluster.control {
        control.signal(name);
    }
}

#[tokio::test]
async fn entry_process_is_killed_at_any_moment_of_a_filing() {
    let mut filings = Filings::start(vec![PLACE; 3], 2).await;
    for (round, (delay, service)) in [(0, 0), (1, 0), (3, 2), (6, 5), (12, 20), (30, 20)]
        .into_iter()
        .enumerate()
    {
        filings
            .server
            .shared
            .set(|b| b.service_time = millis(service));
        let keys: Vec<String> = (0..8).map(|n| format!("k{round}-{n}")).collect();
        {
            let sends = keys.iter().map(|key| filings.file(0, key, 8_000));
            let mut sends = Box::pin(join_all(sends));
            // Stops polling the callers at the moment of the kill; their connections are closed.
            drop(tokio::time::timeout(millis(delay), &mut sends).await);
        }
        filings.cluster.entry[0].kill();
        filings.restart_entry(0).await;
        let outcomes = keys.iter().map(|key| file_until_final(&filings, 1, key));
        let outcomes = join_all(outcomes).await;
        let repeated = join_all(keys.iter().map(|key| file_until_final(&filings, 0, key))).await;
        for ((key, outcome), again) in keys.iter().zip(outcomes).zip(repeated) {
            assert_eq!(outcome, again, "{key}");
            let executions = filings.executions(key);
            assert!(executions <= 1, "{key} ran {executions} times");
        }
    }
    println!("outcomes: {:?}", filings.outcomes());
    filings.check();
}

#[tokio::test]
async fn entry_process_is_killed_while_its_claim_is_in_flight() {
    let mut filings = Filings::start(vec![PLACE], 2).await;
    signal_control(&filings, "STOP");
    let claimed = tokio::time::timeout(millis(200), filings.file(0, "k1", 5_000)).await;
    assert!(claimed.is_err(), "a paused control process granted a claim");
    filings.cluster.entry[0].kill();
    signal_control(&filings, "CONT");
    filings.restart_entry(0).await;
    // The resumed process either reads the claim from its socket, so that a killed entry process
    // that sent nothing holds the key, or discards it because the connection is closed.
    let outcome = file_until_final(&filings, 1, "k1").await;
    let expected = usize::from(outcome == "answered");
    assert_eq!(filings.executions("k1"), expected, "{outcome}");
    filings.check();
}

#[tokio::test]
async fn entry_process_is_killed_after_the_execution_and_before_the_record() {
    let mut filings = Filings::start(vec![PLACE], 2).await;
    filings.server.shared.set(|b| b.service_time = millis(100));
    let send = filings.file(0, "k1", 5_000);
    let pause = async {
        filings.wait_executed("k1").await;
        signal_control(&filings, "STOP");
        tokio::time::sleep(millis(300)).await;
    };
    tokio::select! {
        sent = send => panic!("outcome {sent:?} before the answer could be recorded"),
        () = pause => {}
    }
    filings.cluster.entry[0].kill();
    signal_control(&filings, "CONT");
    filings.restart_entry(0).await;
    let outcome = file_until_final(&filings, 1, "k1").await;
    // The record was in the sockets of the paused control process and may still be applied.
    assert!(outcome == "unknown" || outcome == "answered", "{outcome}");
    assert_eq!(filings.executions("k1"), 1);
    filings.check();
}

#[tokio::test]
async fn ledger_replicas_are_killed_and_paused_during_filings() {
    let mut filings = Filings::start(vec![PLACE; 3], 2).await;
    let mut keys = Vec::new();
    for round in 0..6 {
        let control = round % 3;
        let is_paused = round >= 3;
        if is_paused {
            filings.cluster.control[control].signal("STOP");
        } else {
            filings.cluster.control[control].kill();
        }
        let new: Vec<String> = (0..6).map(|n| format!("k{round}-{n}")).collect();
        let sends = new.iter().map(|key| async {
            tokio::join!(filings.file(0, key, 3_000), filings.file(1, key, 3_000))
        });
        join_all(sends).await;
        keys.extend(new);
        if is_paused {
            filings.cluster.control[control].signal("CONT");
        } else {
            let mut daemon = filings.cluster.control.remove(control);
            filings.cluster.restart(&mut daemon);
            filings.cluster.control.insert(control, daemon);
        }
    }
    for key in &keys {
        let outcomes = [
            file_until_final(&filings, 0, key).await,
            file_until_final(&filings, 1, key).await,
        ];
        assert_eq!(outcomes[0], outcomes[1], "{key}");
        let executions = filings.executions(key);
        assert!(executions <= 1, "{key} ran {executions} times");
    }
    println!("outcomes: {:?}", filings.outcomes());
    filings.check();
}

#[tokio::test]
async fn every_control_process_restarts_between_a_filing_and_its_resend() {
    let mut filings = Filings::start(vec![PLACE; 3], 2).await;
    let first = filings.file(0, "k1", 5_000).await.expect("answer");
    assert_eq!(first.outcome, "answered");
    filings.server.shared.set(|b| b.service_time = millis(400));
    let mut control = std::mem::take(&mut filings.cluster.control);
    let send = filings.file(0, "k2", 10_000);
    let restart = async {
        filings.wait_executed("k2").await;
        control.iter_mut().for_each(cluster::Daemon::kill);
        control
            .iter_mut()
            .for_each(|daemon| filings.cluster.restart(daemon));
    };
    let (second, ()) = tokio::join!(send, restart);
    filings.cluster.control = control;
    assert_eq!(second.expect("answer").outcome, "answered");
    for key in ["k1", "k2"] {
        assert_eq!(file_until_final(&filings, 1, key).await, "answered");
        assert_eq!(filings.executions(key), 1, "{key}");
    }
    filings.check();
}

const SOUTH: cluster::Locality = cluster::Locality {
    zone: "zone-b",
    region: "south",
};
const WEST: cluster::Locality = cluster::Locality {
    zone: "zone-c",
    region: "west",
};

#[tokio::test]
async fn records_are_stored_in_the_ledger_region_only() {
    let filings = Filings::start(vec![PLACE, SOUTH, WEST], 2).await;
    for number in 0..5 {
        let sent = filings.file(number % 2, &format!("k{number}"), 5_000).await;
        assert_eq!(sent.expect("answer").outcome, "answered");
    }
    // Answers are stored verbatim, so a search for their text shows where they are kept.
    let has_record =
        |name: &str| folder_contains(&filings.cluster.folder().join(name), b"/filings/leak");
    assert!(
        has_record("control-0"),
        "the ledger region stores no record"
    );
    for name in ["control-1", "control-2"] {
        assert!(
            !has_record(name),
            "{name} of another region stores a record"
        );
    }
    // A claim that is sent to the wrong region must be refused.
    let claim = command::Claim {
        key: key::KeyId::new("inspector", "filings", "stray"),
        digest: key::Digest::of_body(b""),
        claimant: command::Claimant {
            entry: "entry-0".to_owned(),
            boot: 1,
            attempt: 1,
        },
        run_ms: clock::Millis(1_000),
        keep_ms: clock::Millis(60_000),
    };
    let req = ledger::Request {
        region: PLACE.region.to_owned(),
        body: claim,
    };
    let client = client::Client::new("cluster-token-for-tests");
    let peer = filings.cluster.control[1].control();
    let reply = client.call(peer, ledger::CLAIM, &req, clock::Millis(3_000));
    let reply: ledger::Reply<command::ClaimReply> = reply.await.expect("reply");
    assert!(matches!(reply, ledger::Reply::Refused(_)), "{reply:?}");
    filings.check();
}

fn folder_contains(folder: &path::Path, text: &[u8]) -> bool {
    fs::read_dir(folder).expect("folder").any(|item| {
        let path = item.expect("item").path();
        if path.is_dir() {
            return folder_contains(&path, text);
        }
        let bytes = fs::read(&path).expect("file");
        bytes.windows(text.len()).any(|window| window == text)
    })
}

/// Polls futures concurrently and returns their results in order.
async fn join_all<F: Future>(futures: impl IntoIterator<Item = F>) -> Vec<F::Output> {
    let mut pending: Vec<_> = futures.into_iter().map(|f| (Box::pin(f), None)).collect();
    std::future::poll_fn(|cx| {
        for (future, result) in &mut pending {
            if result.is_none()
                && let std::task::Poll::Ready(value) = future.as_mut().poll(cx)
            {
                *result = Some(value);
            }
        }
        if pending.iter().all(|(_, result)| result.is_some()) {
            std::task::Poll::Ready(())
        } else {
            std::task::Poll::Pending
        }
    })
    .await;
    let results = pending.into_iter().map(|(_, result)| result);
    results.map(|result| result.expect("a result")).collect()
}

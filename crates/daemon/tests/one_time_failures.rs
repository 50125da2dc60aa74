//! Guards P4, P6 and P7 while entry and control processes are killed, frozen and restarted: no
//! filing runs twice, every answer of a key is the same, and each `not-run` is true.

mod filings;

use filings::{Filings, PLACE};
use nutmegdale_base::clock;
use nutmegdale_ledger::{command, key};
use nutmegdale_rpc::{client, ledger};
use nutmegdale_testkit::cluster;
use std::{fs, path, time};

fn ms(count: u64) -> time::Duration {
    time::Duration::from_millis(count)
}

/// Files under a key until the outcome is final, and returns it.
async fn settle(filings: &Filings, entry: usize, key: &str) -> String {
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
async fn an_entry_process_is_killed_at_any_moment_of_a_filing() {
    let mut filings = Filings::start(vec![PLACE; 3], 2).await;
    for (round, (delay, service)) in [(0, 0), (1, 0), (3, 2), (6, 5), (12, 20), (30, 20)]
        .into_iter()
        .enumerate()
    {
        filings.server.shared.set(|b| b.service_time = ms(service));
        let keys: Vec<String> = (0..8).map(|n| format!("k{round}-{n}")).collect();
        {
            let sends = keys.iter().map(|key| filings.file(0, key, 8_000));
            let mut sends = Box::pin(join_all(sends));
            // Stops driving the callers at the moment of the kill; their connections break.
            drop(tokio::time::timeout(ms(delay), &mut sends).await);
        }
        filings.cluster.entry[0].kill();
        filings.restart_entry(0).await;
        let ends = keys.iter().map(|key| settle(&filings, 1, key));
        let ends = join_all(ends).await;
        let agains = join_all(keys.iter().map(|key| settle(&filings, 0, key))).await;
        for ((key, end), again) in keys.iter().zip(ends).zip(agains) {
            assert_eq!(end, again, "{key}");
            let executions = filings.executions(key);
            assert!(executions <= 1, "{key} ran {executions} times");
        }
    }
    println!("outcomes: {:?}", filings.outcomes());
    filings.check();
}

#[tokio::test]
async fn an_entry_process_dies_while_its_claim_is_under_way() {
    let mut filings = Filings::start(vec![PLACE], 2).await;
    signal_control(&filings, "STOP");
    let claimed = tokio::time::timeout(ms(200), filings.file(0, "k1", 5_000)).await;
    assert!(
        claimed.is_err(),
        "a stopped control process granted a claim"
    );
    filings.cluster.entry[0].kill();
    signal_control(&filings, "CONT");
    filings.restart_entry(0).await;
    // The stopped process either takes the claim from its socket, and the key is held by a dead
    // entry process that sent nothing, or drops it with the closed connection.
    let end = settle(&filings, 1, "k1").await;
    let expected = usize::from(end == "answered");
    assert_eq!(filings.executions("k1"), expected, "{end}");
    filings.check();
}

#[tokio::test]
async fn an_entry_process_dies_after_the_execution_and_before_the_record() {
    let mut filings = Filings::start(vec![PLACE], 2).await;
    filings.server.shared.set(|b| b.service_time = ms(100));
    let send = filings.file(0, "k1", 5_000);
    let freeze = async {
        filings.wait_executed("k1").await;
        signal_control(&filings, "STOP");
        tokio::time::sleep(ms(300)).await;
    };
    tokio::select! {
        sent = send => panic!("told {sent:?} before the answer could be recorded"),
        () = freeze => {}
    }
    filings.cluster.entry[0].kill();
    signal_control(&filings, "CONT");
    filings.restart_entry(0).await;
    let end = settle(&filings, 1, "k1").await;
    // The record was in the sockets of the stopped control process and may arrive after all.
    assert!(end == "unknown" || end == "answered", "{end}");
    assert_eq!(filings.executions("k1"), 1);
    filings.check();
}

#[tokio::test]
async fn replicas_of_the_record_are_killed_and_frozen_under_filings() {
    let mut filings = Filings::start(vec![PLACE; 3], 2).await;
    let mut keys = Vec::new();
    for round in 0..6 {
        let control = round % 3;
        let is_frozen = round >= 3;
        if is_frozen {
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
        if is_frozen {
            filings.cluster.control[control].signal("CONT");
        } else {
            let mut daemon = filings.cluster.control.remove(control);
            filings.cluster.restart(&mut daemon);
            filings.cluster.control.insert(control, daemon);
        }
    }
    for key in &keys {
        let ends = [
            settle(&filings, 0, key).await,
            settle(&filings, 1, key).await,
        ];
        assert_eq!(ends[0], ends[1], "{key}");
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
    filings.server.shared.set(|b| b.service_time = ms(400));
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
        assert_eq!(settle(&filings, 1, key).await, "answered");
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
    // Answers are stored as they are, so their text shows where they are kept.
    let holds = |name: &str| folder_holds(&filings.cluster.folder().join(name), b"/filings/leak");
    assert!(holds("control-0"), "the ledger region holds no record");
    for name in ["control-1", "control-2"] {
        assert!(!holds(name), "{name} of another region holds a record");
    }
    // A claim that is sent to the wrong region is refused there.
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

fn folder_holds(folder: &path::Path, text: &[u8]) -> bool {
    fs::read_dir(folder).expect("folder").any(|item| {
        let path = item.expect("item").path();
        if path.is_dir() {
            return folder_holds(&path, text);
        }
        let bytes = fs::read(&path).expect("file");
        bytes.windows(text.len()).any(|window| window == text)
    })
}

/// Drives futures at once and returns their results in order.
async fn join_all<F: Future>(futures: impl IntoIterator<Item = F>) -> Vec<F::Output> {
    let mut waiting: Vec<_> = futures.into_iter().map(|f| (Box::pin(f), None)).collect();
    std::future::poll_fn(|cx| {
        for (future, result) in &mut waiting {
            if result.is_none()
                && let std::task::Poll::Ready(value) = future.as_mut().poll(cx)
            {
                *result = Some(value);
            }
        }
        if waiting.iter().all(|(_, result)| result.is_some()) {
            std::task::Poll::Ready(())
        } else {
            std::task::Poll::Pending
        }
    })
    .await;
    let results = waiting.into_iter().map(|(_, result)| result);
    results.map(|result| result.expect("a result")).collect()
}

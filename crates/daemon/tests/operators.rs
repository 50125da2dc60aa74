//! Operator commands and their effect on entry processes, over separate processes.

#[path = "operators/common.rs"]
mod common;

use common::{
    IN_FORCE, apply_first_catalogue, ctl, ctl_with, lookup, start_server, wait_until_answered,
    wait_until_refused, write_change,
};
use nutmegdale_catalogue::{audit, change, config};
use nutmegdale_ctl::Exit;
use nutmegdale_membership::{directory, hub};
use nutmegdale_rpc::{client, message};
use nutmegdale_testkit::cluster;
use nutmegdale_verifier::catalogue;
use serde_json::{Value, json};
use std::fs;
use std::time;

/// Guards the target of 6 s from the acceptance of a change until every entry process routes by
/// it, and the command that waits for it.
#[tokio::test]
async fn change_is_in_force_on_every_entry_process_in_time() {
    let mut cluster = common::start(1);
    apply_first_catalogue(&cluster).await;
    let _server = start_server(&mut cluster, "reads-1", "zone-a").await;
    for entry in &cluster.entry {
        wait_until_answered(entry.entry()).await;
    }
    for n in 2..6 {
        let step = json!({ "op": "put-account", "account":
            { "name": format!("a{n}"), "owner": "Ann", "class": "bulk-export" } });
        let path = write_change(&cluster, "step.json", &step);
        let start = time::Instant::now();
        let output = ctl(&cluster, &["apply", &path, "--wait", "6"]).await;
        assert_eq!(output.exit, Exit::Done, "{output:?}");
        assert!(start.elapsed() < IN_FORCE + time::Duration::from_secs(1));
        assert!(
            output.notes.contains("in force on 3 of 3 entry processes"),
            "{output:?}"
        );
        for entry in &cluster.entry {
            let answer = wait_until_answered(entry.entry()).await;
            assert_eq!(answer.header("nutmegdale-version"), n.to_string());
        }
    }
    let history = ctl(&cluster, &["history"]).await;
    assert!(history.out.contains("5 from 4"), "{history:?}");
    assert!(history.out.contains("tester"), "{history:?}");
    assert!(history.out.contains("put-account a5"), "{history:?}");
    let diff = ctl(&cluster, &["diff", "3", "4"]).await;
    assert_eq!(diff.out, "account a4\n  + class=bulk-export owner=Ann\n");
}

/// Guards P3 and P8: after the command has returned, no new work goes to a zone or server that is
/// out, an entry process in the zone refuses work as `not-run`, and both can be put back in
/// service.
#[tokio::test]
async fn zone_and_server_go_out_and_come_back() {
    let mut cluster = common::start(1);
    apply_first_catalogue(&cluster).await;
    let in_a = start_server(&mut cluster, "reads-a", "zone-a").await;
    let in_b = start_server(&mut cluster, "reads-b", "zone-b").await;
    let (entry_a, entry_b) = (cluster.entry[0].entry(), cluster.entry[1].entry());
    for entry in [entry_a, entry_b] {
        wait_until_answered(entry).await;
    }
    cluster::eventually(common::TIMEOUT, "work in both zones", || async {
        lookup(entry_a).await;
        lookup(entry_b).await;
        let counts = [
            in_a.shared.executions().len(),
            in_b.shared.executions().len(),
        ];
        counts.iter().all(|count| *count > 0).then_some(())
    })
    .await;

    let output = ctl(&cluster, &["zone", "out", "zone-a", "--wait", "6"]).await;
    assert_eq!(output.exit, Exit::Done, "{output:?}");
    let before = in_a.shared.executions().len();
    for _ in 0..50 {
        wait_until_answered(entry_b).await;
    }
    wait_until_refused(entry_a, "zone-out").await;
    assert_eq!(
        in_a.shared.executions().len(),
        before,
        "request sent to a zone that is out of service"
    );

    let output = ctl(&cluster, &["zone", "in", "zone-a", "--wait", "6"]).await;
    assert_eq!(output.exit, Exit::Done, "{output:?}");
    wait_until_answered(entry_a).await;

    let output = ctl(&cluster, &["server", "out", "reads-b", "--wait", "6"]).await;
    assert_eq!(output.exit, Exit::Done, "{output:?}");
    let before = in_b.shared.executions().len();
    for _ in 0..50 {
        wait_until_answered(entry_b).await;
    }
    assert_eq!(
        in_b.shared.executions().len(),
        before,
        "request sent to a server that is out of service"
    );

    // The counts of the entry processes arrive with a later sync and break no rule.
    cluster::eventually(common::TIMEOUT, "audited requests", || async {
        let audit = ctl(&cluster, &["--json", "audit"]).await;
        assert_eq!(audit.exit, Exit::Done, "{audit:?}");
        let verdict: Value = serde_json::from_str(&audit.out).expect("JSON");
        (verdict["requests"].as_u64() >= Some(100)).then_some(())
    })
    .await;
}

/// Guards the configuration lease: an entry process without contact to a quorum refuses new work in
/// time, also right after its restart, and serves again once the control process is back.
#[tokio::test]
async fn entry_cut_off_from_control_refuses_and_recovers() {
    let mut cluster = common::start(1);
    apply_first_catalogue(&cluster).await;
    let _server = start_server(&mut cluster, "reads-1", "zone-a").await;
    for entry in &cluster.entry {
        wait_until_answered(entry.entry()).await;
    }
    cluster.control[0].signal("STOP");
    let start = time::Instant::now();
    let entry = cluster.entry[0].entry();
    wait_until_refused(entry, "config-lease").await;
    // The lease is 4 s; the rest is slack for a slow machine.
    assert!(start.elapsed() < IN_FORCE, "{:?}", start.elapsed());

    let mut restarted = cluster.entry.remove(1);
    restarted.kill();
    cluster.restart(&mut restarted);
    wait_until_refused(restarted.entry(), "config-lease").await;
    cluster.entry.insert(1, restarted);

    cluster.control[0].signal("CONT");
    for entry in &cluster.entry {
        wait_until_answered(entry.entry()).await;
    }
}

/// Guards against two changes that are both accepted on top of one version, and against a resent
/// change that is applied twice, over HTTP.
#[tokio::test]
async fn one_of_concurrent_changes_is_accepted_and_resends_get_the_first_answer() {
    let cluster = common::start(1);
    apply_first_catalogue(&cluster).await;
    let mut answered = Vec::new();
    for round in 1..=5 {
        let send = |n: u64| {
            let id = format!("r{round}-{n}");
            let ops = json!([{ "op": "server-out", "name": format!("s{n}") }]);
            let body = json!({ "id": id, "base": round, "ops": ops });
            let cluster = &cluster;
            async move {
                let (body, path) = (body.to_string(), "/admin/v1/changes");
                let first = cluster.admin("POST", path, &body).await.text();
                let again = cluster.admin("POST", path, &body).await.text();
                assert_eq!(first, again, "a resend got a different answer");
                let mut change: Value = serde_json::from_str(&body).expect("JSON");
                change["author"] = json!("tester");
                let change: change::Change = serde_json::from_value(change).expect("change");
                let answer: change::Answer = serde_json::from_str(&first).expect("answer");
                (change, answer)
            }
        };
        let (a, b, c, d) = tokio::join!(send(1), send(2), send(3), send(4));
        let mut all = vec![a, b, c, d];
        // The checker reads answers in the order of the group: the accepted change comes first.
        all.sort_by_key(|(_, answer)| !answer.is_accepted());
        assert_eq!(
            all.iter()
                .filter(|(_, answer)| answer.is_accepted())
                .count(),
            1
        );
        answered.extend(all);
    }
    // The first catalogue made version 1.
    let first = change::Change {
        id: "first".to_owned(),
        base: None,
        author: "tester".to_owned(),
        ops: Vec::new(),
    };
    let version = config::Version(1);
    answered.insert(0, (first, change::Answer::Accepted { version }));
    assert_eq!(catalogue::check_answers(&answered), Vec::<String>::new());
}

/// Guards the exit codes that scripts rely on, and that the tool names the missing entry process.
#[tokio::test]
async fn command_line_tool_exits_with_a_code_per_outcome() {
    let cluster = common::start(1);
    apply_first_catalogue(&cluster).await;
    let account = |n: u32| json!({ "op": "remove-account", "name": format!("a{n}") });
    let path = write_change(&cluster, "a.json", &account(1));
    let output = ctl(&cluster, &["apply", &path]).await;
    assert_eq!(output.exit, Exit::Rejected, "{output:?}");
    assert!(
        output.out.contains("accounts.a1: does not exist"),
        "{output:?}"
    );

    let path = write_change(
        &cluster,
        "b.json",
        &json!([{ "op": "zone-out", "name": "zone-b" }]),
    );
    let output = ctl(&cluster, &["apply", &path, "--base", "0"]).await;
    assert_eq!(output.exit, Exit::Conflict, "{output:?}");
    assert!(output.out.contains("of tester won"), "{output:?}");

    let path = write_change(&cluster, "c.json", &json!({ "opps": [] }));
    assert_eq!(ctl(&cluster, &["apply", &path]).await.exit, Exit::Usage);
    assert_eq!(
        ctl(&cluster, &["apply", "/nonexistent"]).await.exit,
        Exit::Usage
    );
    assert_eq!(ctl(&cluster, &["aply"]).await.exit, Exit::Usage);
    assert_eq!(
        ctl(&cluster, &["diff", "1", "99"]).await.exit,
        Exit::Refused
    );

    let wrong = cluster.folder().join("wrong");
    fs::write(&wrong, "not-the-token-of-anyone").expect("token can be written");
    let wrong = wrong.to_str().expect("path is text");
    assert_eq!(ctl_with(&cluster, wrong, &["show"]).await.exit, Exit::Token);

    // The tool prints the id of the change first; a resend with that id gets the same result.
    let output = ctl(&cluster, &["zone", "out", "zone-b", "--id", "out-b"]).await;
    let again = ctl(&cluster, &["zone", "out", "zone-b", "--id", "out-b"]).await;
    assert_eq!(
        (output.exit, &output.out),
        (Exit::Done, &again.out),
        "{again:?}"
    );

    cluster.entry[2].signal("STOP");
    let output = ctl(&cluster, &["zone", "in", "zone-b", "--wait", "1"]).await;
    cluster.entry[2].signal("CONT");
    assert_eq!(output.exit, Exit::NotInForce, "{output:?}");
    assert!(output.notes.contains("missing: entry-2"), "{output:?}");

    cluster.control[0].signal("STOP");
    let output = ctl(&cluster, &["--timeout", "1", "status"]).await;
    cluster.control[0].signal("CONT");
    assert_eq!(output.exit, Exit::NoAnswer, "{output:?}");
}

/// Guards against an audit that cannot fail: a process that reports work in a zone that was out of
/// service must be listed as a violation.
#[tokio::test]
async fn audit_lists_violations() {
    let cluster = common::start(1);
    apply_first_catalogue(&cluster).await;
    let output = ctl(&cluster, &["zone", "out", "zone-a"]).await;
    assert_eq!(output.exit, Exit::Done, "{output:?}");
    let zone = "zone-a".to_owned();
    let subject = audit::Subject::Zone {
        class: nutmegdale_base::class::Class::UrgentLookup,
        zone: zone.clone(),
        region: "north".to_owned(),
    };
    let counts = audit::Counts {
        served: 3,
        ..audit::Counts::default()
    };
    let version = config::Version(2);
    let row = audit::Row {
        key: audit::RowKey { version, subject },
        counts,
    };
    let req = message::SyncRequest {
        entry: hub::EntryRecord {
            name: "rogue".to_owned(),
            boot: 1,
            zone,
            address: ([127, 0, 0, 1], 9).into(),
            leaving: false,
        },
        version,
        position: directory::Position::default(),
        changed: Vec::new(),
        is_all: true,
        control: 0,
        heard: Vec::new(),
        grants: Default::default(),
        demands: Vec::new(),
        may_hold: false,
        may_forward: false,
        is_forwarded: false,
        audit: audit::Report {
            rows: vec![row],
            dropped: 0,
        },
    };
    let client = client::Client::new("cluster-token-for-tests");
    let peer = cluster.control[0].control();
    let timeout = nutmegdale_base::clock::Millis(5_000);
    let reply: message::SyncReply = client
        .call(peer, "sync", &req, timeout)
        .await
        .expect("reply");
    assert!(matches!(reply, message::SyncReply::Confirmed(_)));

    let output = ctl(&cluster, &["audit"]).await;
    assert_eq!(output.exit, Exit::Violations, "{output:?}");
    let expected =
        "violation: 3 requests of rogue under version 2: zone \"zone-a\" is out of service";
    assert!(output.out.contains(expected), "{output:?}");
}

/// Guards against a measuring budget that lets the configuration lease expire: after an answer that
/// costs many times the budget of a second, syncs must continue.
#[tokio::test]
async fn exhausted_measuring_budget_does_not_expire_the_lease() {
    let mut cluster = common::start(1);
    apply_first_catalogue(&cluster).await;
    let _server = start_server(&mut cluster, "reads-1", "zone-a").await;
    let account = |n: u32| {
        json!({ "op": "put-account", "account":
            { "name": format!("account-{n}"), "owner": "Ann", "class": "bulk-export" } })
    };
    let accounts: Vec<Value> = (0..300).map(account).collect();
    cluster.apply("many", &json!(accounts)).await;

    let mut entry = cluster.entry.remove(2);
    entry.kill();
    let path = cluster.folder().join(format!("{}.ini", entry.name));
    let settings = fs::read_to_string(&path).expect("settings");
    let settings = format!("{settings}measuring_bytes_per_second = 1000\n");
    fs::write(&path, settings).expect("settings can be written");
    cluster.restart(&mut entry);
    wait_until_answered(entry.entry()).await;
    let start = time::Instant::now();
    while start.elapsed() < time::Duration::from_secs(8) {
        let answer = lookup(entry.entry()).await.expect("answer");
        let reason = answer.header("nutmegdale-reason");
        assert_eq!(reason, "", "after {:?}", start.elapsed());
        tokio::time::sleep(time::Duration::from_millis(50)).await;
    }
    cluster.entry.push(entry);
}

//! Guards the whole path over separate processes: a caller that sends a request to an entry process
//! must get the whole answer of the backend server, with the version of the catalogue.

use nutmegdale_testkit::{cluster, http};
use std::time;

const PLACE: cluster::Locality = cluster::Locality {
    zone: "zone-a",
    region: "north",
};

/// SHA-256 of `token-of-the-clerk`.
const CLERK_SHA256: &str = "eec1572c2c36c1323c3e429bb2f6f7d0e4b1abadeed6686a4f6d9b9bbfa37377";

fn ops() -> serde_json::Value {
    serde_json::json!([
        { "op": "put-zone", "zone": { "name": "zone-a", "region": "north" } },
        { "op": "put-account",
          "account": { "name": "inspector", "owner": "Ann", "class": "urgent-lookup" } },
        { "op": "put-account",
          "account": { "name": "clerk", "owner": "Ann", "class": "urgent-lookup",
                       "token_sha256": CLERK_SHA256 } },
        { "op": "put-route",
          "route": { "name": "reads", "owner": "Ann", "class": "urgent-lookup",
                     "path_prefix": "/logs", "service": "reads" } },
    ])
}

#[tokio::test]
async fn request_reaches_server_and_answer_comes_back_whole() {
    let program = env!("CARGO_BIN_EXE_nutmegdale").into();
    let plan = cluster::Plan {
        program,
        control: vec![PLACE],
        entry: vec![PLACE, PLACE],
    };
    let mut cluster = cluster::Cluster::start(&plan);
    let version = cluster.apply("first", &ops()).await;
    assert_eq!(version, 1);
    let announced = cluster.announcement("reads-1", "reads", "zone-a");
    let server = cluster.standin(announced).await;

    let headers = [("nutmegdale-account", "inspector")];
    let req = http::Request::get("/logs/hall-7", &headers);
    for entry in &cluster.entry {
        let answer = cluster::eventually(time::Duration::from_secs(10), "an answer", || async {
            http::send(entry.entry(), &req)
                .await
                .ok()
                .filter(|a| a.status == 200)
        })
        .await;
        assert_eq!(answer.text(), "reads-1 /logs/hall-7 0");
        assert_eq!(answer.header("nutmegdale-outcome"), "answered");
        assert_eq!(answer.header("nutmegdale-version"), "1");
    }
    assert_eq!(server.shared.executions().len(), 2);

    // The caller must get the request id that the server and the logs have.
    let answer = http::send(cluster.entry[0].entry(), &req)
        .await
        .expect("answer");
    let executions = server.shared.executions();
    let last = executions.last().expect("execution");
    assert!(!last.request_id.is_empty());
    assert_eq!(answer.header("nutmegdale-request-id"), last.request_id);

    // Monitoring must see which replica leads and what it has applied.
    let metrics = cluster.admin("GET", "/metrics", "").await.text();
    assert!(
        metrics.contains("nutmegdale_replica_leads{group=\"catalogue\"} 1"),
        "{metrics}"
    );
    assert!(
        metrics.contains("nutmegdale_catalogue_version{group=\"catalogue\"} 1"),
        "{metrics}"
    );
    let health = cluster.admin("GET", "/healthz", "").await;
    assert_eq!(health.status, 200, "{}", health.text());

    // P1: the cost of measuring must be visible, with links between regions counted separately.
    let req_metrics = http::Request::get("/metrics", &[]);
    let observe = cluster.entry[0].observe();
    cluster::eventually(time::Duration::from_secs(6), "bytes of syncs", || async {
        let text = http::send(observe, &req_metrics).await.ok()?.text();
        let value = |name: &str| -> Option<u64> {
            let line = text.lines().find(|line| line.starts_with(name))?;
            line.rsplit(' ').next()?.parse().ok()
        };
        let near = value("nutmegdale_measuring_region_bytes_total ")?;
        value("nutmegdale_measuring_cross_region_bytes_total ")?;
        (near > 0).then_some(())
    })
    .await;

    // An account with a token must refuse callers without it.
    let entry = cluster.entry[0].entry();
    for (token, status) in [
        ("", 403),
        ("token-of-a-clerk", 403),
        ("token-of-the-clerk", 200),
    ] {
        let headers = [("nutmegdale-account", "clerk"), ("nutmegdale-token", token)];
        let req = http::Request::get("/logs/hall-7", &headers);
        let answer = http::send(entry, &req).await.expect("answer");
        assert_eq!(answer.status, status, "{token}: {}", answer.text());
    }

    // The list is documented to be complete within seconds, because each entry process learns of
    // the others with its next sync.
    let req = http::Request::get("/.nutmegdale/addresses?route=reads", &[]);
    for entry in &cluster.entry {
        let limit = time::Duration::from_secs(6);
        cluster::eventually(limit, "both entry processes in the list", || async {
            let list = http::send(entry.entry(), &req).await.ok()?.json().ok()?;
            (list["addresses"].as_array()?.len() == 2).then_some(())
        })
        .await;
    }
}

/// Guards against tests that call an entry process before it listens: on a busy machine it may
/// start some time after the control process has accepted the first change.
#[tokio::test]
async fn cluster_is_started_once_its_entries_listen() {
    use std::os::unix::fs::PermissionsExt;
    let name = format!("nutmegdale-slow-start-{}", std::process::id());
    let script = std::env::temp_dir().join(name);
    let daemon = env!("CARGO_BIN_EXE_nutmegdale");
    let text =
        format!("#!/bin/sh\ncase \"$*\" in *entry*) sleep 0.5;; esac\nexec '{daemon}' \"$@\"\n");
    std::fs::write(&script, text).expect("script can be written");
    let mode = std::fs::Permissions::from_mode(0o700);
    std::fs::set_permissions(&script, mode).expect("script can be made executable");
    let plan = cluster::Plan {
        program: script.clone(),
        control: vec![PLACE],
        entry: vec![PLACE, PLACE],
    };
    let cluster = cluster::Cluster::start(&plan);
    let req = http::Request::get("/logs/hall-7", &[]);
    for entry in &cluster.entry {
        let answer = http::send(entry.entry(), &req).await;
        assert!(answer.is_ok(), "{answer:?}");
    }
    std::fs::remove_file(&script).expect("script can be removed");
}

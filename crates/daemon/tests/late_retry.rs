//! Guards P3: a request that has waited long is not retried on a server whose zone was taken out of
//! service in the meantime, even though the zone was in service when the request arrived.

use nutmegdale_testkit::{cluster, http};
use serde_json::json;
use std::time;

const PLACE: cluster::Locality = cluster::Locality {
    zone: "zone-a",
    region: "north",
};

#[tokio::test]
async fn late_retry_does_not_reach_a_zone_taken_out_in_the_meantime() {
    let plan = cluster::Plan {
        program: env!("CARGO_BIN_EXE_nutmegdale").into(),
        control: vec![PLACE],
        entry: vec![PLACE],
    };
    let mut cluster = cluster::Cluster::start(&plan);
    let ops = json!([
        { "op": "put-zone", "zone": { "name": "zone-a", "region": "north" } },
        { "op": "put-zone", "zone": { "name": "zone-b", "region": "north" } },
        { "op": "put-account",
          "account": { "name": "auditor", "owner": "Ann", "class": "bulk-export" } },
        { "op": "put-route",
          "route": { "name": "exports", "owner": "Ann", "class": "bulk-export",
                     "path_prefix": "/exports", "service": "exports" } },
    ]);
    cluster.apply("first", &ops).await;
    let near = cluster.announcement("near", "exports", "zone-a");
    let near = cluster.standin(near).await;
    let entry = cluster.entry[0].entry();
    let headers = [("nutmegdale-account", "auditor")];
    let req = http::Request::get("/exports/2026", &headers);
    let limit = time::Duration::from_secs(10);
    cluster::eventually(limit, "an answer from the near server", || async {
        let answer = http::send(entry, &req).await.ok()?;
        (answer.status == 200).then_some(())
    })
    .await;

    // While the near server refuses, requests reach the far one once the entry process knows it.
    let far = cluster.announcement("far", "exports", "zone-b");
    let far = cluster.standin(far).await;
    near.shared.set(|b| b.sheds = true);
    cluster::eventually(limit, "an answer from the far server", || async {
        drop(http::send(entry, &req).await);
        (!far.shared.executions().is_empty()).then_some(())
    })
    .await;

    // The near server holds a request until it is stopped below, which closes the connection.
    near.shared.set(|b| {
        b.sheds = false;
        b.service_time = time::Duration::from_secs(60);
    });
    let mut pending = Vec::new();
    let before = near.shared.executions().len();
    while near.shared.executions().len() == before {
        assert!(pending.len() < 100, "the near server is never chosen");
        pending.push(tokio::spawn(async move {
            http::send(entry, &http::Request::get("/exports/2026", &headers)).await
        }));
        tokio::time::sleep(time::Duration::from_millis(200)).await;
    }

    cluster
        .apply("out", &json!([{ "op": "zone-out", "name": "zone-b" }]))
        .await;
    // The guarantee is "after a few seconds"; the target for a change to be in force is 6 s.
    tokio::time::sleep(time::Duration::from_secs(6)).await;
    let far_before = far.shared.executions().len();
    drop(near);
    for answer in pending {
        // The caller gets a response, whatever the outcome.
        answer.await.expect("task").expect("answer");
    }
    assert_eq!(
        far.shared.executions().len(),
        far_before,
        "request sent to a zone that is out of service"
    );
}

//! Guards P4: a request with home regions is never served or forwarded outside of them, also when
//! every server at home is lost.

use nutmegdale_testkit::{cluster, http};
use serde_json::json;
use std::time;

const NORTH: cluster::Locality = cluster::Locality {
    zone: "zone-a",
    region: "north",
};
const SOUTH: cluster::Locality = cluster::Locality {
    zone: "zone-b",
    region: "south",
};
const LIMIT: time::Duration = time::Duration::from_secs(15);

fn ops() -> serde_json::Value {
    json!([
        { "op": "put-zone", "zone": { "name": "zone-a", "region": "north" } },
        { "op": "put-zone", "zone": { "name": "zone-b", "region": "south" } },
        { "op": "put-account",
          "account": { "name": "inspector", "owner": "Ann", "class": "urgent-lookup" } },
        { "op": "put-route",
          "route": { "name": "anywhere", "owner": "Ann", "class": "urgent-lookup",
                     "path_prefix": "/anywhere", "service": "reads" } },
        { "op": "put-route",
          "route": { "name": "at-home", "owner": "Ann", "class": "urgent-lookup",
                     "path_prefix": "/at-home", "service": "reads",
                     "home_regions": ["north"] } },
    ])
}

#[tokio::test]
async fn request_with_home_regions_stays_at_home() {
    let plan = cluster::Plan {
        program: env!("CARGO_BIN_EXE_nutmegdale").into(),
        control: vec![NORTH],
        entry: vec![NORTH, SOUTH],
    };
    let mut cluster = cluster::Cluster::start(&plan);
    cluster.apply("first", &ops()).await;
    let announced = cluster.announcement("north-1", "reads", "zone-a");
    let home = cluster.standin(announced).await;
    let announced = cluster.announcement("south-1", "reads", "zone-b");
    let away = cluster.standin(announced).await;
    let (north, south) = (cluster.entry[0].entry(), cluster.entry[1].entry());
    let headers = [("nutmegdale-account", "inspector")];
    let anywhere = http::Request::get("/anywhere", &headers);
    let at_home = http::Request::get("/at-home", &headers);

    // Both entry processes know both servers once requests reach one while the other refuses.
    for (entry, refusing, other) in [(north, &home, &away), (south, &away, &home)] {
        refusing.shared.set(|b| b.sheds = true);
        let before = other.shared.executions().len();
        cluster::eventually(LIMIT, "an answer from the other server", || async {
            drop(http::send(entry, &anywhere).await);
            (other.shared.executions().len() > before).then_some(())
        })
        .await;
        refusing.shared.set(|b| b.sheds = false);
    }

    // The entry process outside the home regions refuses with the reason.
    let answer = http::send(south, &at_home).await.expect("answer");
    assert_eq!(answer.status, 421, "{}", answer.text());
    assert_eq!(answer.header("nutmegdale-outcome"), "not-run");
    assert_eq!(answer.header("nutmegdale-reason"), "home-region");
    let req = http::Request::get("/.nutmegdale/addresses?route=at-home", &[]);
    for entry in [north, south] {
        let list = http::send(entry, &req).await.expect("answer");
        let list = list.json().expect("JSON");
        assert_eq!(list["addresses"], json!([north.to_string()]));
    }

    // The only server at home refuses, slows down and is lost; no request leaves the region.
    let before = away.shared.executions().len();
    home.shared.set(|b| b.sheds = true);
    for _ in 0..20 {
        let answer = http::send(north, &at_home).await.expect("answer");
        assert_eq!(answer.header("nutmegdale-outcome"), "not-run");
    }
    home.shared.set(|b| {
        b.sheds = false;
        b.service_time = time::Duration::from_millis(300);
    });
    let slow = (0..20).map(|_| {
        tokio::spawn(async move {
            let req = http::Request::get("/at-home", &headers);
            drop(http::send(north, &req).await);
        })
    });
    for task in slow.collect::<Vec<_>>() {
        task.await.expect("task");
    }
    drop(home);
    for _ in 0..20 {
        let answer = http::send(north, &at_home).await.expect("answer");
        assert_ne!(answer.header("nutmegdale-outcome"), "answered");
    }
    assert_eq!(
        away.shared.executions().len(),
        before,
        "request sent outside the home regions"
    );
}

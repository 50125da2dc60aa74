//! Guards the graceful shutdown: a caller with an old address list must get an answer, a truthful
//! `not-run` with a place to go, or no connection; never a connection that breaks off.

use nutmegdale_testkit::{cluster, http};
use std::net;
use std::time;

const PLACE: cluster::Locality = cluster::Locality {
    zone: "zone-a",
    region: "north",
};
const LIMIT: time::Duration = time::Duration::from_secs(15);
/// Time that callers keep address lists in clusters of the test kit.
const TTL: time::Duration = time::Duration::from_secs(1);
const HEADERS: [(&str, &str); 1] = [("nutmegdale-account", "inspector")];

fn ops() -> serde_json::Value {
    serde_json::json!([
        { "op": "put-zone", "zone": { "name": "zone-a", "region": "north" } },
        { "op": "put-account",
          "account": { "name": "inspector", "owner": "Ann", "class": "urgent-lookup" } },
        { "op": "put-route",
          "route": { "name": "reads", "owner": "Ann", "class": "urgent-lookup",
                     "path_prefix": "/logs", "service": "reads" } },
    ])
}

/// Counts of what a caller with one address saw.
#[derive(Debug, Default)]
struct Seen {
    answered: u32,
    refused: u32,
    broken: Vec<String>,
}

/// Calls one address as long as an address list that names it may be kept.
async fn call_while_listed(entry: net::SocketAddr) -> Seen {
    let mut seen = Seen::default();
    let mut last_listed = time::Instant::now();
    while last_listed.elapsed() < TTL {
        if seen.refused == 0 {
            // The list may have been fetched right before the process began to leave.
            last_listed = time::Instant::now();
        }
        let Ok(mut connection) = http::Connection::open(entry).await else {
            break;
        };
        let req = http::Request::get("/logs/hall-7", &HEADERS);
        match connection.send(&req).await {
            Ok(answer) if answer.status == 200 => seen.answered += 1,
            Ok(answer) => {
                assert_eq!(answer.header("nutmegdale-outcome"), "not-run");
                assert_eq!(answer.header("nutmegdale-reason"), "shutting-down");
                seen.refused += 1;
            }
            Err(err) => seen.broken.push(err.to_string()),
        }
    }
    seen
}

async fn addresses(entry: net::SocketAddr) -> Option<Vec<String>> {
    let req = http::Request::get("/.nutmegdale/addresses?route=reads", &[]);
    let answer = http::send(entry, &req).await.ok()?;
    let list = answer.json().ok()?;
    let list = list["addresses"].as_array()?.iter();
    Some(list.filter_map(|a| Some(a.as_str()?.to_owned())).collect())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn old_address_list_leads_to_no_broken_request() {
    let plan = cluster::Plan {
        program: env!("CARGO_BIN_EXE_nutmegdale").into(),
        control: vec![PLACE],
        entry: vec![PLACE, PLACE],
    };
    let mut cluster = cluster::Cluster::start(&plan);
    cluster.apply("first", &ops()).await;
    let announced = cluster.announcement("reads-1", "reads", "zone-a");
    let server = cluster.standin(announced).await;
    server
        .shared
        .set(|b| b.service_time = time::Duration::from_millis(40));
    let (leaving, staying) = (cluster.entry[0].entry(), cluster.entry[1].entry());
    for entry in [leaving, staying] {
        cluster::eventually(LIMIT, "an answer", || async {
            let req = http::Request::get("/logs/hall-7", &HEADERS);
            let answer = http::send(entry, &req).await.ok()?;
            (answer.status == 200).then_some(())
        })
        .await;
    }
    let callers: Vec<_> = (0..3)
        .map(|_| tokio::spawn(call_while_listed(leaving)))
        .collect();
    tokio::time::sleep(time::Duration::from_millis(300)).await;
    cluster.entry[0].signal("TERM");
    let only_staying = vec![staying.to_string()];
    cluster::eventually(LIMIT, "the leaving process names the other one", || async {
        (addresses(leaving).await? == only_staying).then_some(())
    })
    .await;
    for caller in callers {
        let seen = caller.await.expect("no panic");
        assert!(seen.answered > 0 && seen.refused > 0, "{seen:?}");
        assert!(seen.broken.is_empty(), "{seen:?}");
    }
    let is_good = tokio::task::block_in_place(|| cluster.entry[0].wait());
    assert!(is_good, "the process did not end well");
}

//! Guards the graceful shutdown: a caller with an outdated address list must get an answer, a true
//! `not-run` outcome while the list names another process, or no connection; never a connection
//! that is lost during a request.

use nutmegdale_testkit::{cluster, http};
use std::net;
use std::time;

const PLACE: cluster::Locality = cluster::Locality {
    zone: "zone-a",
    region: "north",
};
const LIMIT: time::Duration = time::Duration::from_secs(15);
/// Time for which callers may cache an address list, in clusters of the test kit.
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

/// Outcomes of the requests of a caller with one address.
#[derive(Debug, Default)]
struct Outcomes {
    answered: u32,
    refused: u32,
    errors: Vec<String>,
}

/// Calls one address for as long as an address list with it may be cached.
async fn call_while_listed(entry: net::SocketAddr) -> Outcomes {
    let mut outcomes = Outcomes::default();
    let mut last_listed = time::Instant::now();
    while last_listed.elapsed() < TTL {
        if outcomes.refused == 0 {
            // The list may have been fetched right before the process began its shutdown.
            last_listed = time::Instant::now();
        }
        let Ok(mut connection) = http::Connection::open(entry).await else {
            break;
        };
        let req = http::Request::get("/logs/hall-7", &HEADERS);
        match connection.send(&req).await {
            Ok(answer) if answer.status == 200 => outcomes.answered += 1,
            Ok(answer) => {
                assert_eq!(answer.header("nutmegdale-outcome"), "not-run");
                assert_eq!(answer.header("nutmegdale-reason"), "shutting-down");
                outcomes.refused += 1;
            }
            Err(err) => outcomes.errors.push(err.to_string()),
        }
    }
    outcomes
}

async fn read_addresses(entry: net::SocketAddr) -> Option<Vec<String>> {
    let req = http::Request::get("/.nutmegdale/addresses?route=reads", &[]);
    let answer = http::send(entry, &req).await.ok()?;
    let list = answer.json().ok()?;
    let list = list["addresses"].as_array()?.iter();
    Some(list.filter_map(|a| Some(a.as_str()?.to_owned())).collect())
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn outdated_address_list_causes_no_lost_connection() {
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
    cluster::eventually(
        LIMIT,
        "the stopping process lists only the other one",
        || async { (read_addresses(leaving).await? == only_staying).then_some(()) },
    )
    .await;
    for caller in callers {
        let outcomes = caller.await.expect("no panic");
        assert!(
            outcomes.answered > 0 && outcomes.refused > 0,
            "{outcomes:?}"
        );
        assert!(outcomes.errors.is_empty(), "{outcomes:?}");
    }
    let is_success = tokio::task::block_in_place(|| cluster.entry[0].wait());
    assert!(is_success, "the process did not exit with success");
}

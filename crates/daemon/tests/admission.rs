//! Guards limits, deadlines and priorities over real processes: each refusal must have a true
//! outcome, and no request may run longer, more often or before others than it is allowed to.

use nutmegdale_testkit::{cluster, http, standin};
use std::time;
use std::time::Duration;

const PLACE: cluster::Locality = cluster::Locality {
    zone: "zone-a",
    region: "north",
};

fn ops() -> serde_json::Value {
    serde_json::json!([
        { "op": "put-zone", "zone": { "name": "zone-a", "region": "north" } },
        { "op": "put-account",
          "account": { "name": "inspector", "owner": "Ann", "class": "urgent-lookup" } },
        { "op": "put-account",
          "account": { "name": "archive", "owner": "Bob", "class": "bulk-export" } },
        { "op": "put-account",
          "account": { "name": "limited", "owner": "Ann", "class": "urgent-lookup",
                       "limits": { "requests_per_second": 50, "body_bytes": 10 } } },
        { "op": "put-route",
          "route": { "name": "reads", "owner": "Ann", "class": "urgent-lookup",
                     "path_prefix": "/logs", "service": "reads" } },
    ])
}

async fn start(servers_count: usize) -> (cluster::Cluster, Vec<standin::StandIn>) {
    let plan = cluster::Plan {
        program: env!("CARGO_BIN_EXE_nutmegdale").into(),
        control: vec![PLACE],
        entry: vec![PLACE, PLACE, PLACE],
    };
    let mut cluster = cluster::Cluster::start(&plan);
    cluster.apply("first", &ops()).await;
    let mut servers = Vec::new();
    for n in 0..servers_count {
        let announced = cluster.announcement(&format!("reads-{n}"), "reads", "zone-a");
        servers.push(cluster.standin(announced).await);
    }
    for entry in &cluster.entry {
        let what = "every server in use at every entry process";
        cluster::eventually(Duration::from_secs(10), what, || async {
            for _ in 0..servers_count * 4 {
                let answer = get(entry, "inspector", &[]).await;
                if answer.status != 200 {
                    return None;
                }
            }
            let is_used = |server: &standin::StandIn| server.shared.executed.get() > 0;
            servers.iter().all(is_used).then_some(())
        })
        .await;
    }
    (cluster, servers)
}

async fn get(
    entry: &cluster::Daemon,
    account: &str,
    extra_headers: &[(&str, &str)],
) -> http::Answer {
    let mut headers = vec![("nutmegdale-account", account)];
    headers.extend(extra_headers);
    let req = http::Request::get("/logs/1", &headers);
    http::send(entry.entry(), &req).await.expect("an answer")
}

/// A limit holds for all entry processes together, and a caller that uses only one of them gets
/// most of it there.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn limit_holds_over_all_entries_and_follows_the_caller() {
    let (cluster, _servers) = start(2).await;
    let mut answered = [0; 6];
    let start_time = time::Instant::now();
    for n in 0..1_200 {
        tokio::time::sleep_until((start_time + Duration::from_millis(5 * n)).into()).await;
        let answer = get(&cluster.entry[0], "limited", &[]).await;
        let second = (start_time.elapsed().as_secs() as usize).min(5);
        if answer.status == 200 {
            answered[second] += 1;
            continue;
        }
        assert_eq!(answer.status, 429, "{}", answer.text());
        assert_eq!(answer.header("nutmegdale-outcome"), "not-run");
        assert_eq!(answer.header("nutmegdale-reason"), "limit");
        assert!(!answer.header("retry-after").is_empty());
    }
    let busiest = answered.iter().max().expect("six seconds");
    assert!(*busiest <= 65, "the limit is 50 a second: {answered:?}");
    let settled: u32 = answered[3..].iter().sum();
    assert!(settled >= 3 * 35, "the limit is 50 a second: {answered:?}");
    let headers = [("nutmegdale-account", "limited")];
    let req = http::Request::post("/logs/1", &headers, "eleven byte");
    let answer = http::send(cluster.entry[1].entry(), &req)
        .await
        .expect("an answer");
    assert_eq!(
        (answer.status, answer.header("nutmegdale-outcome")),
        (429, "not-run")
    );
}

/// A request must not run beyond its deadline, at the entry process or at the server.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn deadline_is_propagated_and_ends_the_request() {
    let (cluster, servers) = start(2).await;
    for server in &servers {
        server
            .shared
            .set(|b| b.service_time = Duration::from_secs(3));
    }
    let start_time = time::Instant::now();
    let answer = get(
        &cluster.entry[0],
        "inspector",
        &[("nutmegdale-deadline-ms", "250")],
    )
    .await;
    let took = start_time.elapsed();
    assert_eq!(answer.status, 504, "{}", answer.text());
    assert!(took < Duration::from_millis(1_000), "{took:?}");
    cluster::eventually(Duration::from_secs(2), "no request at a server", || async {
        let is_idle = |server: &standin::StandIn| server.shared.load().running == 0;
        servers.iter().all(is_idle).then_some(())
    })
    .await;
    for (value, status) in [("soon", 400), ("0", 504)] {
        let answer = get(
            &cluster.entry[0],
            "inspector",
            &[("nutmegdale-deadline-ms", value)],
        )
        .await;
        let outcome = answer.header("nutmegdale-outcome");
        assert_eq!((answer.status, outcome), (status, "not-run"), "{value}");
    }
}

/// P6 and P7: a request that is not a read is sent to one server at most, whatever its outcome.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn request_with_a_body_is_sent_once_and_its_refusal_is_true() {
    let (cluster, servers) = start(3).await;
    let executed = || -> u64 { servers.iter().map(|s| s.shared.executed.get()).sum() };
    let headers = [("nutmegdale-account", "inspector")];
    let req = http::Request::post("/logs/1", &headers, "x");
    for server in &servers {
        server.shared.set(|b| b.breaks = true);
    }
    for n in 0..20 {
        let before = executed();
        let sent = http::send(cluster.entry[n % 3].entry(), &req).await;
        // The response is cut off after its head, so the caller sees a lost connection.
        assert!(sent.is_err() || sent.is_ok_and(|a| a.header("nutmegdale-outcome") == "unknown"));
        assert_eq!(executed(), before + 1, "request {n}");
    }
    for server in &servers {
        server.shared.set(|b| (b.breaks, b.sheds) = (false, true));
    }
    let before = executed();
    for n in 0..20 {
        let answer = http::send(cluster.entry[n % 3].entry(), &req)
            .await
            .expect("an answer");
        assert_eq!(
            answer.header("nutmegdale-outcome"),
            "not-run",
            "{}",
            answer.text()
        );
    }
    assert_eq!(
        executed(),
        before,
        "a request with the outcome `not-run` was executed"
    );
}

/// Bulk work must not starve urgent work during a flood of bulk requests to the same servers.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn flood_of_bulk_requests_leaves_urgent_reads_their_slots() {
    let (cluster, servers) = start(4).await;
    for server in &servers {
        server
            .shared
            .set(|b| b.service_time = Duration::from_millis(50));
    }
    let entries: Vec<_> = cluster.entry.iter().map(cluster::Daemon::entry).collect();
    let flood = |entry| async move {
        let headers = [("nutmegdale-account", "archive")];
        let req = http::Request::get("/logs/export", &headers);
        let (mut answered, mut refused) = (0, 0);
        let start_time = time::Instant::now();
        while start_time.elapsed() < Duration::from_secs(4) {
            match http::send(entry, &req).await.expect("an answer").status {
                200 => answered += 1,
                503 => refused += 1,
                other => panic!("status {other}"),
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        (answered, refused)
    };
    let floods: Vec<_> = (0..60)
        .map(|n| tokio::spawn(flood(entries[n % 3])))
        .collect();
    tokio::time::sleep(Duration::from_millis(500)).await;
    let mut took = Vec::new();
    for n in 0..150 {
        let start_time = time::Instant::now();
        let answer = get(&cluster.entry[n % 3], "inspector", &[]).await;
        assert_eq!(answer.status, 200, "{}", answer.text());
        took.push(start_time.elapsed());
    }
    took.sort();
    let (p50, p95) = (took[75], took[142]);
    assert!(
        p95 < Duration::from_millis(150),
        "p50 {p50:?}, p95 {p95:?} of reads of 50 ms"
    );
    let (mut answered, mut refused) = (0, 0);
    for flood in floods {
        let (a, r) = flood.await.expect("flood does not panic");
        (answered, refused) = (answered + a, refused + r);
    }
    // A quarter of the 16 slots over three entry processes is rounded up to two each, six in all.
    assert!(
        answered >= 100,
        "bulk work must continue: {answered} answered, {refused} refused"
    );
    assert!(
        answered <= 6 * 4_000 / 50,
        "{answered} answered, {refused} refused"
    );
}

//! Guards tail latency and the limits of servers under load while servers and zones fail. Each test
//! runs real processes and names the guarantee in docs/design.md (P1 to P10) and the failure.

use nutmegdale_membership::announcement::ServerState;
use nutmegdale_testkit::{cluster, http, standin};
use std::net;
use std::time;
use std::time::Duration;

const ZONE_A: cluster::Locality = cluster::Locality {
    zone: "zone-a",
    region: "north",
};
/// Time after its election during which a leader grants nothing, because a grant of an earlier
/// leader and requests under it could still be active.
const GRANT_HOLD_OFF: Duration = Duration::from_millis(12_500);

fn ops() -> serde_json::Value {
    serde_json::json!([
        { "op": "put-zone", "zone": { "name": "zone-a", "region": "north" } },
        { "op": "put-zone", "zone": { "name": "zone-b", "region": "north" } },
        { "op": "put-account",
          "account": { "name": "inspector", "owner": "Ann", "class": "urgent-lookup" } },
        { "op": "put-route",
          "route": { "name": "reads", "owner": "Ann", "class": "urgent-lookup",
                     "path_prefix": "/logs", "service": "reads" } },
    ])
}

/// Cluster of three entry processes in zone-a, with servers in zone-a and zone-b.
struct TestCluster {
    cluster: cluster::Cluster,
    servers: Vec<standin::StandIn>,
    elected_before: time::Instant,
}

impl TestCluster {
    async fn start(counts: [usize; 2]) -> TestCluster {
        let plan = cluster::Plan {
            program: env!("CARGO_BIN_EXE_nutmegdale").into(),
            control: vec![ZONE_A],
            entry: vec![ZONE_A, ZONE_A, ZONE_A],
        };
        let mut cluster = cluster::Cluster::start(&plan);
        cluster.apply("first", &ops()).await;
        let elected_before = time::Instant::now();
        let mut servers = Vec::new();
        for (zone, count) in ["zone-a", "zone-b"].iter().zip(counts) {
            for n in 0..count {
                let name = format!("reads-{zone}-{n}");
                let announced = cluster.announcement(&name, "reads", zone);
                let server = cluster.standin(announced).await;
                server
                    .shared
                    .set(|b| b.service_time = Duration::from_millis(5));
                servers.push(server);
            }
        }
        let test_cluster = TestCluster {
            cluster,
            servers,
            elected_before,
        };
        // Every server is known once each has executed a request.
        cluster::eventually(Duration::from_secs(20), "all servers in use", || async {
            let load = test_cluster.run_load(Duration::from_millis(200), 100).await;
            let is_used = |server: &standin::StandIn| server.shared.executed.get() > 0;
            (load.failed() == 0 && test_cluster.servers.iter().all(is_used)).then_some(())
        })
        .await;
        test_cluster
    }

    async fn wait_for_grants(&self) {
        tokio::time::sleep_until((self.elected_before + GRANT_HOLD_OFF).into()).await;
    }

    fn entries(&self) -> Vec<net::SocketAddr> {
        self.cluster
            .entry
            .iter()
            .map(cluster::Daemon::entry)
            .collect()
    }

    /// Sends `per_sec` reads a second for `duration`, spread over the entry processes.
    async fn run_load(&self, duration: Duration, per_sec: u32) -> Load {
        let entries = self.entries();
        let start = time::Instant::now();
        let mut tasks = Vec::new();
        for n in 0..(duration.as_millis() as u32 * per_sec / 1_000) {
            let due = start + Duration::from_secs(1) * n / per_sec;
            tokio::time::sleep_until(due.into()).await;
            let entry = entries[n as usize % entries.len()];
            tasks.push(tokio::spawn(read(entry, n)));
        }
        let mut reads = Vec::new();
        for task in tasks {
            reads.push(task.await.expect("read does not panic"));
        }
        Load { reads }
    }
}

#[derive(Debug)]
struct Read {
    outcome: String,
    took: Duration,
}

async fn read(entry: net::SocketAddr, n: u32) -> Read {
    let path = format!("/logs/{n}");
    let headers = [("nutmegdale-account", "inspector")];
    let req = http::Request::get(&path, &headers);
    let start = time::Instant::now();
    let sent = tokio::time::timeout(Duration::from_secs(10), http::send(entry, &req)).await;
    let outcome = match sent {
        Ok(Ok(answer)) if answer.status == 200 => {
            let text = answer.text();
            assert!(text.contains(&format!(" {path} ")), "P5: {path} got {text}");
            "answered".to_owned()
        }
        Ok(Ok(answer)) => format!("{} {}", answer.status, answer.text()),
        Ok(Err(err)) => err.to_string(),
        Err(_) => "no answer".to_owned(),
    };
    let took = start.elapsed();
    Read { outcome, took }
}

#[derive(Debug)]
struct Load {
    reads: Vec<Read>,
}

impl Load {
    fn failed(&self) -> usize {
        let failed = self.reads.iter().filter(|read| read.outcome != "answered");
        failed.count()
    }

    fn assert_answered(&self, guarantee: &str) {
        let failed = self.reads.iter().find(|read| read.outcome != "answered");
        let count = self.reads.len();
        assert!(
            failed.is_none(),
            "{guarantee}: {} of {count}: {failed:?}",
            self.failed()
        );
    }

    fn percentile(&self, percent: usize) -> Duration {
        let mut took: Vec<_> = self.reads.iter().map(|read| read.took).collect();
        took.sort();
        took[(took.len() * percent / 100).min(took.len() - 1)]
    }
}

/// Tail latency of urgent reads: one of four servers becomes 100 times slower. Without a latency
/// signal and hedged requests, a quarter of the reads would wait for it.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn sudden_slowdown_of_one_server_does_not_raise_tail_latency() {
    let test_cluster = TestCluster::start([4, 0]).await;
    let slow = &test_cluster.servers[1].shared;
    slow.set(|b| b.service_time = Duration::from_millis(500));
    let before = slow.executed.get();
    let load = test_cluster.run_load(Duration::from_secs(4), 200).await;
    load.assert_answered("P5, slow server");
    let sent = slow.executed.get() - before;
    assert!(
        sent < 800 / 4 / 4,
        "{sent} of 800 reads went to the slow server"
    );
    let p99 = load.percentile(99);
    assert!(p99 < Duration::from_millis(400), "p99 {p99:?}");
    assert!(
        slow.cancelled.get() > 0,
        "reads that lost to a hedge must be cancelled at the server"
    );
}

/// P5: a server that fails fast must not attract traffic, and its errors must not reach callers
/// while other servers can answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn server_that_fails_fast_attracts_no_traffic() {
    let test_cluster = TestCluster::start([4, 0]).await;
    let failing = &test_cluster.servers[2].shared;
    failing.set(|b| b.fails = true);
    let before = failing.executed.get();
    let load = test_cluster.run_load(Duration::from_secs(3), 200).await;
    load.assert_answered("P5, failing server");
    let sent = failing.executed.get() - before;
    assert!(sent <= 30, "{sent} of 600 reads went to the failing server");
}

/// P2: a warm server becomes cold while its announcements still say "warm". It may collapse within
/// the first round trip to the hub, but not later, and requests of the grant holder must warm it
/// up.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn server_that_becomes_cold_silently_is_not_flooded() {
    let test_cluster = TestCluster::start([4, 0]).await;
    test_cluster.wait_for_grants().await;
    let cold = &test_cluster.servers[0].shared;
    cold.set(|b| {
        b.collapse_time = Duration::from_millis(500);
        b.warm_after_count = Some(20);
    });
    let running = async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        cold.turn_cold_silently();
        tokio::time::sleep(Duration::from_millis(1_000)).await;
        cold.collapses.get()
    };
    let (load, early) = tokio::join!(test_cluster.run_load(Duration::from_secs(6), 200), running);
    load.assert_answered("P5, server turned cold");
    let late = cold.collapses.get();
    assert_eq!(
        late, early,
        "P2: the server collapsed after its state had been propagated"
    );
    let is_warm = cold.load().state == ServerState::Warm;
    assert!(
        is_warm,
        "requests of the grant holder must warm the server up: {:?}",
        cold.load()
    );
}

/// P8: a draining server gets no new requests after a few seconds, and no read is lost.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn draining_server_gets_no_new_work() {
    let test_cluster = TestCluster::start([4, 0]).await;
    let draining = &test_cluster.servers[3].shared;
    let running = async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        draining.set(|b| b.state = ServerState::Draining);
    };
    let (load, ()) = tokio::join!(test_cluster.run_load(Duration::from_secs(4), 200), running);
    load.assert_answered("P5, draining server");
    let late = draining
        .late_arrivals()
        .into_iter()
        .max()
        .unwrap_or_default();
    assert!(
        late < Duration::from_secs(2),
        "P8: new request {late:?} after the server began to drain"
    );
}

async fn take_zone_out_and_in(test_cluster: &TestCluster, while_out: impl Fn()) -> Load {
    test_cluster.wait_for_grants().await;
    let changing = async {
        tokio::time::sleep(Duration::from_millis(500)).await;
        let op = serde_json::json!([{ "op": "zone-out", "name": "zone-b" }]);
        test_cluster.cluster.apply("out", &op).await;
        tokio::time::sleep(Duration::from_millis(1_500)).await;
        let executed = |server: &standin::StandIn| server.shared.executed.get();
        let zone_b = &test_cluster.servers[3..];
        let before: Vec<_> = zone_b.iter().map(executed).collect();
        while_out();
        tokio::time::sleep(Duration::from_millis(1_000)).await;
        let after: Vec<_> = zone_b.iter().map(executed).collect();
        assert_eq!(
            before, after,
            "P3: servers of a zone that is out of service got new requests"
        );
        for server in zone_b {
            server.shared.set(|b| {
                b.state = ServerState::Cold;
                b.warm_after_count = Some(20);
            });
        }
        // The new state is announced before the zone is back in service.
        tokio::time::sleep(Duration::from_millis(1_000)).await;
        let op = serde_json::json!([{ "op": "zone-in", "name": "zone-b" }]);
        test_cluster.cluster.apply("in", &op).await;
    };
    let (load, ()) = tokio::join!(
        test_cluster.run_load(Duration::from_secs(12), 200),
        changing
    );
    for server in &test_cluster.servers[3..] {
        let collapses = server.shared.collapses.get();
        assert_eq!(collapses, 0, "P2: a returning server was flooded");
        let state = server.shared.load();
        assert_eq!(
            state.state,
            ServerState::Warm,
            "returning servers must be warmed up: {state:?}"
        );
    }
    load
}

/// P2 and P3: a zone is taken out of service and returns cold under load. Its servers get no
/// requests while it is out, no more than they can handle while cold, and their share once they are
/// warm.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn zone_that_returns_cold_under_load_is_warmed_and_not_flooded() {
    let test_cluster = TestCluster::start([3, 3]).await;
    let load = take_zone_out_and_in(&test_cluster, || {}).await;
    load.assert_answered("service while a zone is taken out and returns");
    let p99 = load.percentile(99);
    assert!(p99 < Duration::from_millis(400), "p99 {p99:?}");
}

/// P2, P3 and P5 together: while a zone is out, one of the remaining servers fails fast, and
/// continues to do so while the zone returns cold.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn zone_returns_while_another_server_fails() {
    let test_cluster = TestCluster::start([3, 3]).await;
    let failing = &test_cluster.servers[0].shared;
    let load = take_zone_out_and_in(&test_cluster, || failing.set(|b| b.fails = true)).await;
    load.assert_answered("service with a zone out and a failing server");
}

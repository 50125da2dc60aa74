//! Measures the cost of one-time requests: the latency of claims, the size of records and the
//! effect on reads.
//!
//! `cargo build --release --bin nutmegdale && cargo run --release -p nutmegdale-daemon --example
//! one_time_cost`. Figures with their command are in docs/measurements.md. This is not a CI test:
//! it asserts nothing about the figures.

use nutmegdale_base::clock;
use nutmegdale_ledger::{command, key};
use nutmegdale_rpc::{client, ledger};
use nutmegdale_testkit::{cluster, http};
use serde_json::json;
use std::io::Write;
use std::sync::atomic;
use std::{fs, net, path, sync, time};

const PLACE: cluster::Locality = cluster::Locality {
    zone: "zone-a",
    region: "north",
};
/// Number of bare fsyncs, and of claims one at a time, in one measurement.
const SEQUENTIAL_COUNT: usize = 1_000;
/// Number of claims in one measurement under load.
const LOADED_COUNT: usize = 20_000;
/// Duration of one round of reads.
const ROUND: time::Duration = time::Duration::from_secs(3);
/// Number of rounds of reads with filings, and of rounds without.
const ROUNDS_COUNT: usize = 5;

fn daemon_path() -> path::PathBuf {
    let own = std::env::current_exe().expect("own path");
    let profile = own.ancestors().nth(2).expect("target folder");
    profile.join("nutmegdale")
}

fn start_cluster(control: usize, entry: usize) -> cluster::Cluster {
    cluster::Cluster::start(&cluster::Plan {
        program: daemon_path(),
        control: vec![PLACE; control],
        entry: vec![PLACE; entry],
    })
}

#[derive(Debug)]
struct Latencies {
    sorted: Vec<time::Duration>,
}

impl Latencies {
    fn new(mut times: Vec<time::Duration>) -> Latencies {
        times.sort();
        Latencies { sorted: times }
    }

    fn micros(&self, permille: usize) -> f64 {
        let at = (self.sorted.len() * permille / 1_000).min(self.sorted.len() - 1);
        self.sorted[at].as_secs_f64() * 1e6
    }

    fn print(&self, name: &str, base: &Latencies) {
        let (p50, p99) = (self.micros(500), self.micros(990));
        println!(
            "{name}: p50 {p50:.0} us ({:.2} of a bare sync), p99 {p99:.0} us ({:.2})",
            p50 / base.micros(500),
            p99 / base.micros(990)
        );
    }
}

fn bare_syncs(folder: &path::Path) -> Vec<time::Duration> {
    let path = folder.join("bare-sync");
    let mut file = fs::File::create(&path).expect("file can be created");
    let times = (0..SEQUENTIAL_COUNT / 10).map(|_| {
        let started = time::Instant::now();
        file.write_all(&[7; 200]).expect("file can be written");
        file.sync_data().expect("file can be synced");
        started.elapsed()
    });
    times.collect()
}

/// Client of the leader of the ledger group.
struct LedgerClient {
    client: client::Client,
    leader: net::SocketAddr,
}

impl LedgerClient {
    async fn call<Q, A>(&self, name: &str, body: Q) -> Option<A>
    where
        Q: serde::Serialize + Sync,
        A: serde::de::DeserializeOwned,
    {
        let region = PLACE.region.to_owned();
        let req = ledger::Request { region, body };
        let reply = self
            .client
            .call(self.leader, name, &req, clock::Millis(5_000));
        match reply.await {
            Ok(ledger::Reply::Done(reply)) => Some(reply),
            _ => None,
        }
    }

    async fn claim(&self, number: u64) -> bool {
        let claim = command::Claim {
            key: key::KeyId::new("account", "filings", &number.to_string()),
            digest: key::Digest::of_body(&number.to_le_bytes()),
            claimant: claimant(number),
            run_ms: clock::Millis(60_000),
            keep_ms: clock::Millis::from_secs(86_400),
        };
        let reply: Option<command::ClaimReply> = self.call(ledger::CLAIM, claim).await;
        reply == Some(command::ClaimReply::Granted)
    }

    async fn record(&self, number: u64, bytes: usize) -> bool {
        let record = command::Record {
            key: key::KeyId::new("account", "filings", &number.to_string()),
            claimant: claimant(number),
            answer: command::Answer {
                status: 201,
                headers: vec![command::Header {
                    name: "content-type".to_owned(),
                    value: b"application/json".to_vec(),
                }],
                body: command::Body::Kept(vec![b'x'; bytes]),
            },
        };
        let reply: Option<command::RecordReply> = self.call(ledger::RECORD, record).await;
        reply == Some(command::RecordReply::Recorded)
    }
}

fn claimant(number: u64) -> command::Claimant {
    command::Claimant {
        entry: "entry-0".to_owned(),
        boot: 1,
        attempt: number,
    }
}

fn next_number() -> u64 {
    static NEXT: atomic::AtomicU64 = atomic::AtomicU64::new(1);
    NEXT.fetch_add(1, atomic::Ordering::Relaxed)
}

fn ledger_client(leader: net::SocketAddr) -> LedgerClient {
    let client = client::Client::new("cluster-token-for-tests");
    LedgerClient { client, leader }
}

async fn find_leader(cluster: &cluster::Cluster) -> net::SocketAddr {
    let limit = time::Duration::from_secs(20);
    cluster::eventually(limit, "a leader of the ledger group", || async {
        for control in &cluster.control {
            if ledger_client(control.control()).claim(next_number()).await {
                return Some(control.control());
            }
        }
        None
    })
    .await
}

/// Makes `count` claims in `tasks` concurrent tasks, each followed by a record of `bytes` bytes if
/// given; returns the latencies of the claims and the total time.
async fn run_claims(
    leader: net::SocketAddr,
    tasks: usize,
    count: usize,
    bytes: Option<usize>,
) -> (Latencies, time::Duration) {
    let started = time::Instant::now();
    let mut running = tokio::task::JoinSet::new();
    for _ in 0..tasks {
        running.spawn(async move {
            let ledger_client = ledger_client(leader);
            let mut times = Vec::new();
            for _ in 0..count / tasks {
                let number = next_number();
                let started = time::Instant::now();
                assert!(ledger_client.claim(number).await, "claim {number}");
                times.push(started.elapsed());
                if let Some(bytes) = bytes {
                    assert!(ledger_client.record(number, bytes).await, "record {number}");
                }
            }
            times
        });
    }
    let times = running.join_all().await.concat();
    (Latencies::new(times), started.elapsed())
}

async fn measure_claims(control: usize) {
    println!("group of {control}");
    let cluster = start_cluster(control, 0);
    let leader = find_leader(&cluster).await;
    // Alternates between both, so that other load on the shared disk affects both alike.
    let (mut base, mut single) = (Vec::new(), Vec::new());
    for _ in 0..10 {
        base.extend(bare_syncs(cluster.folder()));
        single.extend(
            run_claims(leader, 1, SEQUENTIAL_COUNT / 10, None)
                .await
                .0
                .sorted,
        );
    }
    let base = Latencies::new(base);
    base.print("  bare sync", &base);
    Latencies::new(single).print("  claim, one at a time", &base);
    for tasks in [16, 64, 256] {
        let (times, took) = run_claims(leader, tasks, LOADED_COUNT, None).await;
        let rate = times.sorted.len() as f64 / took.as_secs_f64();
        times.print(&format!("  claim, {tasks} at once, {rate:.0}/s"), &base);
    }
    let (times, took) = run_claims(leader, 256, LOADED_COUNT / 2, Some(200)).await;
    let rate = times.sorted.len() as f64 / took.as_secs_f64();
    println!("  filings (claim and record), 256 at once: {rate:.0}/s");
}

fn resident_bytes(daemon: &cluster::Daemon) -> u64 {
    let pid = daemon.pid().expect("process runs");
    let status = fs::read_to_string(format!("/proc/{pid}/status")).expect("process runs");
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = resident.and_then(|rest| rest.trim().split(' ').next()?.parse::<u64>().ok());
    kib.unwrap_or(0) * 1024
}

fn folder_bytes(folder: &path::Path) -> u64 {
    let items = fs::read_dir(folder).expect("folder");
    let sizes = items.map(|item| {
        let path = item.expect("item").path();
        if path.is_dir() {
            folder_bytes(&path)
        } else {
            path.metadata().map_or(0, |data| data.len())
        }
    });
    sizes.sum()
}

async fn measure_sizes() {
    println!("bytes per record in a group of one");
    for (bytes, count) in [
        (200, 20_000),
        (200, 100_000),
        (1_024, 20_000),
        (16_384, 1_536),
    ] {
        let cluster = start_cluster(1, 0);
        let leader = find_leader(&cluster).await;
        let daemon = &cluster.control[0];
        let folder = cluster.folder().join(&daemon.name).join("ledger-north");
        let before = (resident_bytes(daemon), folder_bytes(&folder));
        run_claims(leader, 64, count, Some(bytes)).await;
        let count = (count / 64 * 64) as u64;
        let memory = resident_bytes(daemon).saturating_sub(before.0) / count;
        let disk = folder_bytes(&folder).saturating_sub(before.1) / count;
        println!("  answers of {bytes} bytes, {count} records: {memory} in memory, {disk} on disk");
    }
}

async fn send_reads(entry: net::SocketAddr, until: time::Instant) -> Vec<time::Duration> {
    let mut connection = http::Connection::open(entry).await.expect("connection");
    let headers = [("nutmegdale-account", "inspector")];
    let req = http::Request::get("/logs/hall-7", &headers);
    let mut times = Vec::new();
    while time::Instant::now() < until {
        let started = time::Instant::now();
        let answer = connection.send(&req).await.expect("answer");
        if answer.status == 200 {
            times.push(started.elapsed());
        }
    }
    times
}

async fn send_filings(entry: net::SocketAddr, until: time::Instant) -> usize {
    let mut count = 0;
    while time::Instant::now() < until {
        let key = format!("key-{}", next_number());
        let headers = [
            ("nutmegdale-account", "inspector"),
            ("idempotency-key", &key),
        ];
        let req = http::Request::post("/filings/leak", &headers, "leak");
        let answer = http::send(entry, &req).await;
        count += usize::from(answer.is_ok_and(|answer| answer.status == 200));
        // 20 senders with this pause send about 200 filings a second.
        tokio::time::sleep(time::Duration::from_millis(95)).await;
    }
    count
}

async fn measure_reads() {
    let mut cluster = start_cluster(3, 2);
    let ops = json!([
        { "op": "put-zone", "zone": { "name": "zone-a", "region": "north" } },
        { "op": "put-account",
          "account": { "name": "inspector", "owner": "Ann", "class": "urgent-lookup" } },
        { "op": "put-route",
          "route": { "name": "reads", "owner": "Ann", "class": "urgent-lookup",
                     "path_prefix": "/logs", "service": "reads" } },
        { "op": "put-route",
          "route": { "name": "filings", "owner": "Ann", "class": "one-time-filing",
                     "path_prefix": "/filings", "service": "filings",
                     "ledger_region": "north", "retention": "1d" } },
    ]);
    cluster.apply("measure", &ops).await;
    let mut servers = Vec::new();
    for service in ["reads", "filings"] {
        for number in 0..4 {
            let name = format!("{service}-{number}");
            let announced = cluster.announcement(&name, service, "zone-a");
            servers.push(cluster.standin(announced).await);
        }
    }
    let entries: Vec<_> = cluster.entry.iter().map(cluster::Daemon::entry).collect();
    tokio::time::sleep(time::Duration::from_secs(3)).await;
    let mut latencies = [Vec::new(), Vec::new()];
    let mut filings_count = 0;
    for round in 0..ROUNDS_COUNT * 2 {
        let until = time::Instant::now() + ROUND;
        let with_filings = round % 2 == 1;
        let mut filing_tasks = tokio::task::JoinSet::new();
        for n in 0..if with_filings { 20 } else { 0 } {
            filing_tasks.spawn(send_filings(entries[n % 2], until));
        }
        let mut reading_tasks = tokio::task::JoinSet::new();
        for n in 0..8 {
            reading_tasks.spawn(send_reads(entries[n % 2], until));
        }
        latencies[usize::from(with_filings)].extend(reading_tasks.join_all().await.concat());
        filings_count += filing_tasks.join_all().await.iter().sum::<usize>();
    }
    let [without, with] = latencies.map(Latencies::new);
    let per_second = filings_count as f64 / (ROUND.as_secs_f64() * ROUNDS_COUNT as f64);
    println!("reads beside {per_second:.0} filings a second");
    for permille in [500, 990] {
        let (a, b) = (without.micros(permille), with.micros(permille));
        println!(
            "  {permille} permille: {a:.0} us without, {b:.0} us with, ratio {:.3}",
            b / a
        );
    }
    drop(sync::Arc::new(servers));
}

#[tokio::main]
async fn main() {
    measure_claims(1).await;
    measure_claims(3).await;
    measure_sizes().await;
    measure_reads().await;
}

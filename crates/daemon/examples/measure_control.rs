//! Measures the distribution of the catalogue and the cost of idle control and entry processes.
//!
//! `cargo build --release --bin nutmegdale && cargo run --release -p nutmegdale-daemon --example
//! measure_control`. Figures with their command are in docs/measurements.md. This is not a CI
//! test: it asserts nothing about the figures.

use nutmegdale_testkit::{cluster, http};
use serde_json::json;
use std::fs;
use std::net;
use std::path;
use std::sync;
use std::sync::atomic;
use std::time;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Number of services at the target scale.
const SERVICES_COUNT: usize = 140;
/// Number of changes in one measurement of the time until a change is in force.
const CHANGES_COUNT: usize = 60;
/// Time over which an idle process is observed.
const IDLE_WINDOW: time::Duration = time::Duration::from_secs(20);
/// Clock ticks per second in `/proc/PID/stat`.
const TICKS_PER_SECOND: f64 = 100.0;

const PLACE: cluster::Locality = cluster::Locality {
    zone: "zone-a",
    region: "north",
};

/// Measures the distribution of the catalogue and the cost of idle processes.
#[derive(Debug, argh::FromArgs)]
struct Args {
    /// number of announced servers (890)
    #[argh(option, default = "890")]
    servers: usize,

    /// number of entry processes (18)
    #[argh(option, default = "18")]
    entries: usize,

    /// measure only the cost of idle processes
    #[argh(switch)]
    idle_only: bool,
}

/// Number of bytes that a relay has forwarded in both directions.
#[derive(Debug, Default)]
struct Counter {
    bytes: atomic::AtomicU64,
}

async fn relay(listen: net::SocketAddr, to: net::SocketAddr) -> sync::Arc<Counter> {
    let counter = sync::Arc::new(Counter::default());
    let listener = TcpListener::bind(listen)
        .await
        .expect("relay address can be bound");
    let shared = sync::Arc::clone(&counter);
    tokio::spawn(async move {
        while let Ok((inbound, _)) = listener.accept().await {
            let counter = sync::Arc::clone(&shared);
            tokio::spawn(async move {
                let Ok(outbound) = TcpStream::connect(to).await else {
                    return;
                };
                let nodelay = inbound.set_nodelay(true).and(outbound.set_nodelay(true));
                drop(nodelay);
                let (inbound_read, inbound_write) = inbound.into_split();
                let (outbound_read, outbound_write) = outbound.into_split();
                tokio::join!(
                    forward(inbound_read, outbound_write, &counter),
                    forward(outbound_read, inbound_write, &counter),
                );
            });
        }
    });
    counter
}

async fn forward(
    mut read: tokio::net::tcp::OwnedReadHalf,
    mut write: tokio::net::tcp::OwnedWriteHalf,
    counter: &Counter,
) {
    let mut buf = vec![0; 65_536];
    while let Ok(count) = read.read(&mut buf).await {
        if count == 0 || write.write_all(&buf[..count]).await.is_err() {
            break;
        }
        let count = count as u64;
        counter.bytes.fetch_add(count, atomic::Ordering::Relaxed);
    }
    drop(write.shutdown().await);
}

fn daemon_path() -> path::PathBuf {
    let own = std::env::current_exe().expect("own path");
    let folder = own
        .parent()
        .and_then(path::Path::parent)
        .expect("target folder");
    folder.join("nutmegdale")
}

fn start_cluster(entries: usize) -> cluster::Cluster {
    cluster::Cluster::start(&cluster::Plan {
        program: daemon_path(),
        control: vec![PLACE; 3],
        entry: vec![PLACE; entries],
    })
}

async fn apply_first_catalogue(cluster: &cluster::Cluster) {
    let mut ops = vec![
        json!({ "op": "put-zone", "zone": { "name": "zone-a", "region": "north" } }),
        json!({ "op": "put-account",
                "account": { "name": "a", "owner": "Ann", "class": "urgent-lookup" } }),
    ];
    for n in 0..SERVICES_COUNT {
        ops.push(json!({ "op": "put-route", "route": {
            "name": format!("route-{n}"), "owner": "Ann", "class": "urgent-lookup",
            "path_prefix": format!("/service-{n}"), "service": format!("service-{n}"),
            "home_regions": ["north"], "limits": { "concurrency": 100 } } }));
    }
    cluster.apply("first", &json!(ops)).await;
}

async fn read_version(conn: &mut http::Connection) -> u64 {
    let req = http::Request::get("/nowhere", &[]);
    let answer = conn.send(&req).await.expect("entry process answers");
    answer.header("nutmegdale-version").parse().unwrap_or(0)
}

async fn measure_until_in_force(entry: net::SocketAddr, version: u64, since: time::Instant) -> f64 {
    let mut conn = http::Connection::open(entry).await.expect("connection");
    while read_version(&mut conn).await < version {
        tokio::time::sleep(time::Duration::from_millis(1)).await;
    }
    since.elapsed().as_secs_f64() * 1_000.0
}

/// Prints the time from the acceptance of a change until the last entry process routes by it.
async fn measure_in_force(cluster: &cluster::Cluster, pause: time::Duration, name: &str) {
    let mut times = Vec::new();
    for n in 0..CHANGES_COUNT {
        let ops = json!([{ "op": "put-account", "account":
            { "name": format!("{name}-{n}"), "owner": "Ann", "class": "bulk-export" } }]);
        let version = cluster.apply(&format!("{name}-{n}"), &ops).await;
        let accepted = time::Instant::now();
        let entries = cluster.entry.iter();
        let tasks: Vec<_> = entries
            .map(|entry| tokio::spawn(measure_until_in_force(entry.entry(), version, accepted)))
            .collect();
        let mut last: f64 = 0.0;
        for task in tasks {
            last = last.max(task.await.expect("task does not panic"));
        }
        times.push(last);
        tokio::time::sleep(pause).await;
    }
    times.sort_by(f64::total_cmp);
    let quantile = |fraction: f64| times[((times.len() - 1) as f64 * fraction) as usize];
    println!(
        "in force everywhere, {} entry processes, {name}: median {:.1} ms, 99 in 100 {:.1} ms, \
         longest {:.1} ms over {} changes",
        cluster.entry.len(),
        quantile(0.5),
        quantile(0.99),
        quantile(1.0),
        times.len(),
    );
}

/// Announces a server every two seconds over one connection, as servers with keep-alive do.
async fn announce(mut announced: serde_json::Value, entry: net::SocketAddr) {
    let Ok(mut conn) = http::Connection::open(entry).await else {
        return;
    };
    for sequence in 1_u64.. {
        announced["sequence"] = json!(sequence);
        let req = http::Request::post("/.nutmegdale/announce", &[], announced.to_string());
        if conn.send(&req).await.is_err() {
            return;
        }
        tokio::time::sleep(time::Duration::from_secs(2)).await;
    }
}

struct Usage {
    ticks: u64,
    resident_kb: u64,
}

fn read_usage(pid: u32) -> Usage {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).expect("process runs");
    let fields: Vec<&str> = stat.rsplit(") ").next().unwrap_or("").split(' ').collect();
    let ticks = [11, 12]
        .iter()
        .map(|at| fields[*at].parse::<u64>().unwrap_or(0));
    let status = fs::read_to_string(format!("/proc/{pid}/status")).expect("process runs");
    let resident = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let resident = resident.and_then(|rest| rest.trim().split(' ').next()?.parse().ok());
    Usage {
        ticks: ticks.sum(),
        resident_kb: resident.unwrap_or(0),
    }
}

async fn measure_idle(name: &str, daemon: &cluster::Daemon, counters: &[&Counter]) {
    let pid = daemon.pid().expect("process runs");
    let bytes = || {
        let counts = counters.iter();
        counts
            .map(|c| c.bytes.load(atomic::Ordering::Relaxed))
            .sum::<u64>()
    };
    let (before, bytes_before) = (read_usage(pid), bytes());
    tokio::time::sleep(IDLE_WINDOW).await;
    let (after, bytes_after) = (read_usage(pid), bytes());
    let secs = IDLE_WINDOW.as_secs_f64();
    let percent = (after.ticks - before.ticks) as f64 / TICKS_PER_SECOND / secs * 100.0;
    println!(
        "{name} at rest: {:.0} bytes/s, {percent:.2}% of a core, {} KB resident",
        (bytes_after - bytes_before) as f64 / secs,
        after.resident_kb,
    );
}

/// Restarts the entry processes so that they reach the leader through a relay that counts bytes.
async fn route_through_relay(cluster: &mut cluster::Cluster, leader: usize) -> sync::Arc<Counter> {
    let control = cluster.control[leader].control();
    let address = cluster.standin_address();
    let counter = relay(address, control).await;
    let mut entries = std::mem::take(&mut cluster.entry);
    for entry in &mut entries {
        entry.kill();
        let path = cluster.folder().join(format!("{}.ini", entry.name));
        let text = fs::read_to_string(&path).expect("settings");
        let is_list = |line: &&str| line.starts_with("control = ");
        let list = text
            .lines()
            .find(is_list)
            .expect("list of control processes");
        let text = text.replace(list, &format!("control = {address}"));
        fs::write(&path, text).expect("settings can be written");
        cluster.restart(entry);
    }
    cluster.entry = entries;
    counter
}

async fn announce_all(cluster: &mut cluster::Cluster, servers: usize) -> sync::Arc<Counter> {
    let address = cluster.standin_address();
    let counter = relay(address, cluster.entry[0].entry()).await;
    for n in 0..servers {
        let at = n % cluster.entry.len();
        let to = if at == 0 {
            address
        } else {
            cluster.entry[at].entry()
        };
        let announced = json!({ "server": format!("server-{n}"),
            "service": format!("service-{}", n % SERVICES_COUNT),
            "address": format!("127.0.0.1:{}", 20_000 + n), "zone": "zone-a", "slots": 4,
            "connections": 300, "state": "warm", "incarnation": 1, "sequence": 0 });
        tokio::spawn(announce(announced, to));
    }
    counter
}

async fn are_servers_listed(cluster: &cluster::Cluster, args: &Args) -> Option<()> {
    let status = cluster.admin("GET", "/admin/v1/status", "").await;
    let status = status.json().expect("JSON");
    let is_all = status["servers"]["zone-a"]["warm"] == args.servers
        && status["in_force"]["on"] == args.entries
        && status["is_complete"] == true;
    is_all.then_some(())
}

async fn measure_small_cluster() {
    let small = start_cluster(3);
    apply_first_catalogue(&small).await;
    tokio::time::sleep(time::Duration::from_secs(2)).await;
    measure_in_force(&small, time::Duration::from_millis(150), "single").await;
}

#[tokio::main]
async fn main() {
    let args: Args = argh::from_env();
    if !args.idle_only {
        measure_small_cluster().await;
    }
    let mut cluster = start_cluster(args.entries);
    apply_first_catalogue(&cluster).await;
    let leader = cluster.leader().await;
    let syncs = route_through_relay(&mut cluster, leader).await;
    tokio::time::sleep(time::Duration::from_secs(2)).await;
    let announcements = announce_all(&mut cluster, args.servers).await;
    let limit = time::Duration::from_secs(60);
    cluster::eventually(limit, "every server", || {
        are_servers_listed(&cluster, &args)
    })
    .await;
    tokio::time::sleep(time::Duration::from_secs(5)).await;
    println!("{} servers, {} entry processes", args.servers, args.entries);
    let (first, follower) = (&cluster.control[leader], &cluster.control[(leader + 1) % 3]);
    measure_idle("leader, syncs", first, &[&*syncs]).await;
    measure_idle("follower, no bytes counted", follower, &[]).await;
    let entry = &cluster.entry[0];
    measure_idle("entry process, announcements", entry, &[&*announcements]).await;
    if args.idle_only {
        return;
    }
    measure_in_force(&cluster, time::Duration::from_millis(150), "single").await;
    measure_in_force(&cluster, time::Duration::ZERO, "burst").await;
    measure_idle("leader after the changes, syncs", first, &[&*syncs]).await;
}

//! Measures the cost of replication and durability on this machine.
//!
//! Prints the commit latency relative to a bare sync of the same disk in the same run, the group
//! commit rate under load, the recovery time by the number of changes, and the traffic and CPU time
//! of an idle group. The control processes run inside one process, each with its own folder and
//! loopback address, and communicate through the real calls.

use bytes::Bytes;
use hdrhistogram::Histogram;
use nutmegdale_base::clock;
use nutmegdale_catalogue::{change, config, spec};
use nutmegdale_control::{catalogue, groups};
use nutmegdale_replica::handle;
use nutmegdale_rpc::{listen, server};
use nutmegdale_settings::model;
use nutmegdale_telemetry::{clock as system, log};
use std::fs;
use std::io;
use std::net;
use std::os::unix::fs::FileExt;
use std::path;
use std::sync;
use std::sync::atomic;
use std::time;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::sync::watch;

/// Measures the cost of replication and durability.
#[derive(Debug, argh::FromArgs)]
struct Args {
    /// folder on the disk to measure; it is created and removed
    #[argh(positional)]
    folder: path::PathBuf,

    /// samples of each latency (default 1000)
    #[argh(option, default = "1_000")]
    samples: u64,

    /// numbers of changes for recovery, separated by commas
    #[argh(option, default = "\"100,1000,5000,20000\".to_owned()")]
    changes: String,
}

const PORT: u16 = 18_190;
/// Time over which an idle group is measured.
const IDLE_TIME: time::Duration = time::Duration::from_secs(10);

type Counter = sync::Arc<atomic::AtomicU64>;

fn histogram() -> Histogram<u64> {
    Histogram::new(3).expect("bounds of the histogram")
}

fn print_latencies(name: &str, latencies: &Histogram<u64>, bare: Option<&Histogram<u64>>) {
    let (p50, p99) = (
        latencies.value_at_quantile(0.5),
        latencies.value_at_quantile(0.99),
    );
    print!("{name}: p50 {p50} us, p99 {p99} us");
    if let Some(bare) = bare {
        let ratio = |q| latencies.value_at_quantile(q) as f64 / bare.value_at_quantile(q) as f64;
        print!("; to bare sync {:.2} and {:.2}", ratio(0.5), ratio(0.99));
    }
    println!();
}

fn record(latencies: &mut Histogram<u64>, start: time::Instant) {
    let micros = u64::try_from(start.elapsed().as_micros()).unwrap_or(u64::MAX);
    latencies.record(micros).expect("histogram grows");
}

/// Appends a record of the size of a small change and syncs, as the log does.
fn bare_sync(folder: &path::Path, samples: u64) -> io::Result<Histogram<u64>> {
    fs::create_dir_all(folder)?;
    let file = fs::File::create(folder.join("bare"))?;
    let change = [7; 200];
    let mut latencies = histogram();
    for sample in 0..samples {
        let start = time::Instant::now();
        file.write_all_at(&change, sample * change.len() as u64)?;
        file.sync_data()?;
        record(&mut latencies, start);
    }
    Ok(latencies)
}

struct Calls {
    host: sync::Arc<groups::Host>,
}

impl server::Handler for Calls {
    fn call(&self, name: &str, body: Bytes) -> Option<server::ReplyFuture> {
        self.host.call(name, body)
    }
}

/// Control process that serves no entry processes and no operators.
struct Replica {
    host: sync::Arc<groups::Host>,
    group: handle::Handle,
    stop: watch::Sender<bool>,
}

fn address(number: usize) -> net::SocketAddr {
    let number = u8::try_from(number + 1).expect("few replicas");
    (net::Ipv4Addr::new(127, 77, 3, number), PORT).into()
}

fn members(count: usize) -> Vec<model::Member> {
    let member = |number| model::Member {
        name: format!("control-{number}"),
        region: "north".to_owned(),
        address: address(number),
    };
    (0..count).map(member).collect()
}

/// Copies and counts the bytes of one direction of a connection.
async fn copy_counted(
    mut from: impl AsyncRead + Unpin,
    mut to: impl AsyncWrite + Unpin,
    count: Counter,
) {
    let mut buf = vec![0; 16 * 1024];
    while let Ok(len) = from.read(&mut buf).await
        && len > 0
        && to.write_all(&buf[..len]).await.is_ok()
    {
        count.fetch_add(len as u64, atomic::Ordering::Relaxed);
    }
    // The peer may have closed the connection already.
    drop(to.shutdown().await);
}

/// Relays connections from `listen_at` to `target` and counts the bytes of both directions.
async fn relay(
    listen_at: net::SocketAddr,
    target: net::SocketAddr,
    count: Counter,
) -> io::Result<tokio::task::JoinHandle<()>> {
    let listener = tokio::net::TcpListener::bind(listen_at).await?;
    Ok(tokio::spawn(async move {
        while let Ok((from, _)) = listener.accept().await {
            let Ok(to) = tokio::net::TcpStream::connect(target).await else {
                continue;
            };
            // Without TCP_NODELAY the relay is only slower.
            drop((from.set_nodelay(true), to.set_nodelay(true)));
            let (from_read, from_write) = from.into_split();
            let (to_read, to_write) = to.into_split();
            tokio::spawn(copy_counted(from_read, to_write, Counter::clone(&count)));
            tokio::spawn(copy_counted(to_read, from_write, Counter::clone(&count)));
        }
    }))
}

async fn start(folder: &path::Path, number: usize, count: usize) -> io::Result<Replica> {
    start_at(folder, number, count, address(number)).await
}

/// Starts a replica that listens at `listen_at` while its peers reach it at its usual address.
async fn start_at(
    folder: &path::Path,
    number: usize,
    count: usize,
    listen_at: net::SocketAddr,
) -> io::Result<Replica> {
    let process = model::Process {
        name: format!("control-{number}"),
        zone: "zone-a".to_owned(),
        region: "north".to_owned(),
        cluster_token: "token-for-measurements".to_owned(),
        threads: 2,
        log_level: "info".to_owned(),
    };
    let control = model::Control {
        listen: address(number),
        admin: address(number),
        data: folder.join(format!("control-{number}")),
        members: members(count),
        operators: Vec::new(),
    };
    if !control.data.exists() {
        groups::prepare(&process, &control)?;
    }
    let clock: sync::Arc<dyn clock::Clock> = sync::Arc::new(system::SystemClock::start());
    let host = groups::Host::new(&process, &control, clock, log::discard());
    let machine = catalogue::Machine::new(catalogue::Published::new());
    let name = groups::CATALOGUE;
    let group = groups::start(&host, name, &control.members, Box::new(machine))?;
    let calls = sync::Arc::new(Calls {
        host: sync::Arc::clone(&host),
    });
    let service = sync::Arc::new(server::CallService::new(&process.cluster_token, calls));
    let listener = listen::bind(listen_at).await?;
    let (stop, stopping) = watch::channel(false);
    let bounds = listen::Bounds::default();
    let drain = clock::Millis(100);
    tokio::spawn(listen::serve(listener, service, bounds, stopping, drain));
    Ok(Replica { host, group, stop })
}

async fn stop(replicas: Vec<Replica>) {
    for replica in &replicas {
        replica.host.stop().await;
    }
    for replica in &replicas {
        replica.stop.send_replace(true);
    }
    // The next group binds the same addresses, so the listeners must be closed.
    tokio::time::sleep(time::Duration::from_millis(300)).await;
}

async fn leader(replicas: &[Replica]) -> handle::Handle {
    for _ in 0..2_000 {
        for replica in replicas {
            if replica.group.confirm_leadership().await.is_ok() {
                return replica.group.clone();
            }
        }
        tokio::time::sleep(time::Duration::from_millis(5)).await;
    }
    panic!("no replica leads");
}

fn encode(id: String, base: u64, ops: Vec<change::Op>) -> Vec<u8> {
    let mut change = change::Change {
        id,
        base: Some(config::Version(base)),
        author: "measurement".to_owned(),
        ops,
    };
    // A change that conflicts is decided and stored like any other.
    change.ops.truncate(1);
    let wall_ms = system::wall_ms();
    rmp_serde::to_vec_named(&catalogue::Command { change, wall_ms }).expect("command")
}

/// Returns change `number`: the first creates a zone, the others take it out of service and back in.
fn command(number: u64) -> Vec<u8> {
    let name = "zone-a".to_owned();
    let op = match number {
        0 => change::Op::PutZone {
            zone: spec::ZoneSpec {
                name,
                region: "north".to_owned(),
            },
        },
        n if n % 2 == 1 => change::Op::ZoneOut { name },
        _ => change::Op::ZoneIn { name },
    };
    encode(format!("change-{number}"), number, vec![op])
}

async fn sequential(group: &handle::Handle, samples: u64) -> Histogram<u64> {
    let mut latencies = histogram();
    for number in 0..samples {
        let start = time::Instant::now();
        let reply = group.propose(command(number)).await;
        reply.expect("change is accepted");
        record(&mut latencies, start);
    }
    latencies
}

/// Keeps `width` proposals in flight; returns the commits per second and their latencies.
async fn concurrent(group: &handle::Handle, width: u64, samples: u64) -> (f64, Histogram<u64>) {
    let begin = time::Instant::now();
    let mut tasks = tokio::task::JoinSet::new();
    let each = samples.div_ceil(width);
    for worker in 0..width {
        let group = group.clone();
        tasks.spawn(async move {
            let mut latencies = histogram();
            for number in 0..each {
                let id = format!("load-{width}-{worker}-{number}");
                let start = time::Instant::now();
                let reply = group.propose(encode(id, 1, Vec::new())).await;
                reply.expect("change is decided");
                record(&mut latencies, start);
            }
            latencies
        });
    }
    let mut latencies = histogram();
    while let Some(part) = tasks.join_next().await {
        latencies
            .add(part.expect("task ends"))
            .expect("same bounds");
    }
    let rate = (each * width) as f64 / begin.elapsed().as_secs_f64();
    (rate, latencies)
}

async fn measure_group(args: &Args, count: usize) -> io::Result<()> {
    let folder = args.folder.join(format!("group-{count}"));
    let mut replicas = Vec::new();
    for number in 0..count {
        replicas.push(start(&folder, number, count).await?);
    }
    let group = leader(&replicas).await;
    let bare = bare_sync(&folder, args.samples)?;
    print_latencies(&format!("bare sync before group of {count}"), &bare, None);
    let latencies = sequential(&group, args.samples).await;
    print_latencies(
        &format!("commit, group of {count}"),
        &latencies,
        Some(&bare),
    );
    let bare_rate = 1e6 / bare.value_at_quantile(0.5) as f64;
    for width in [8, 64, 256] {
        let samples = args.samples.max(width) * 4;
        let (rate, latencies) = concurrent(&group, width, samples).await;
        print_latencies(
            &format!("commit, group of {count}, {width} in flight"),
            &latencies,
            Some(&bare),
        );
        let per_sync = rate / bare_rate;
        println!("  {rate:.0} commits/s, {per_sync:.1} for each bare sync time");
    }
    stop(replicas).await;
    Ok(())
}

/// Returns the CPU time that this process has used, in hundredths of a second.
fn cpu_ticks() -> u64 {
    let stat = fs::read_to_string("/proc/self/stat").unwrap_or_default();
    let fields = stat.rsplit(')').next().unwrap_or("").split_whitespace();
    let used = fields
        .skip(11)
        .take(2)
        .filter_map(|f| f.parse::<u64>().ok());
    used.sum()
}

/// Measures the traffic and CPU time of a group that only serves reads.
async fn measure_idle(args: &Args, count: usize, reads_per_second: u64) -> io::Result<()> {
    let folder = args.folder.join(format!("idle-{count}-{reads_per_second}"));
    let bytes = Counter::default();
    let (mut replicas, mut relays) = (Vec::new(), Vec::new());
    for number in 0..count {
        let usual = address(number);
        let listen_at = net::SocketAddr::new(usual.ip(), PORT + 1);
        relays.push(relay(usual, listen_at, Counter::clone(&bytes)).await?);
        replicas.push(start_at(&folder, number, count, listen_at).await?);
    }
    let group = leader(&replicas).await;
    tokio::time::sleep(time::Duration::from_secs(2)).await;
    let (ticks, before) = (cpu_ticks(), bytes.load(atomic::Ordering::Relaxed));
    let begin = time::Instant::now();
    let mut latencies = histogram();
    for _ in 0..IDLE_TIME.as_secs() * reads_per_second {
        let start = time::Instant::now();
        drop(group.confirm_leadership().await);
        record(&mut latencies, start);
        tokio::time::sleep(time::Duration::from_millis(1_000 / reads_per_second.max(1))).await;
    }
    tokio::time::sleep(IDLE_TIME.saturating_sub(begin.elapsed())).await;
    let seconds = begin.elapsed().as_secs_f64();
    let rate = (bytes.load(atomic::Ordering::Relaxed) - before) as f64 / seconds;
    let cpu = (cpu_ticks() - ticks) as f64 / seconds;
    println!(
        "idle group of {count}, {reads_per_second} reads/s: {rate:.0} bytes/s over all links, \
         {cpu:.1}% of a core for all replicas and relays"
    );
    print_latencies("  read", &latencies, None);
    stop(replicas).await;
    for relay in relays {
        relay.abort();
    }
    Ok(())
}

async fn measure_recovery(args: &Args, changes: u64) -> io::Result<()> {
    let folder = args.folder.join(format!("recovery-{changes}"));
    let replicas = vec![start(&folder, 0, 1).await?];
    let group = leader(&replicas).await;
    for number in 0..changes {
        group.propose(command(number)).await.expect("accepted");
    }
    stop(replicas).await;
    let data = folder.join("control-0").join(groups::CATALOGUE);
    let mut size_bytes = 0;
    for entry in fs::read_dir(data)? {
        size_bytes += entry?.metadata()?.len();
    }
    let mut latencies = histogram();
    for _ in 0..5 {
        let begin = time::Instant::now();
        let replicas = vec![start(&folder, 0, 1).await?];
        drop(leader(&replicas).await);
        record(&mut latencies, begin);
        stop(replicas).await;
    }
    let (p50, max) = (latencies.value_at_quantile(0.5), latencies.max());
    println!("recovery of {changes} changes, {size_bytes} bytes: median {p50} us, max {max} us");
    Ok(())
}

#[tokio::main(flavor = "multi_thread", worker_threads = 4)]
async fn main() -> io::Result<()> {
    let args: Args = argh::from_env();
    fs::create_dir_all(&args.folder)?;
    measure_group(&args, 1).await?;
    measure_group(&args, 3).await?;
    for changes in args.changes.split(',') {
        let changes = changes.trim().parse().map_err(io::Error::other)?;
        measure_recovery(&args, changes).await?;
    }
    for (count, reads_per_second) in [(3, 0), (3, 40)] {
        measure_idle(&args, count, reads_per_second).await?;
    }
    fs::remove_dir_all(&args.folder)
}

//! Tests of the connections to servers: how many a process with few requests opens, over loopback
//! connections to many servers whose load and speed change as they do with many processes.

mod stub;

use hyper::body;
use hyper_util::rt;
use nutmegdale_base::rng::Rng;
use nutmegdale_base::{class, rng};
use nutmegdale_gateway::settings;
use nutmegdale_rpc::listen;
use std::net;
use std::sync;
use std::sync::atomic;
use std::time;
use tokio::net::TcpListener;

const SERVERS_COUNT: u64 = 111;
const SLOTS: u32 = 3;
const PROCESSES_COUNT: usize = 116;
const WORK_MS: u64 = 110;
/// Queue length from which a server resets new connections.
const RESET_WAITING: u32 = 8;
const TARGET: time::Duration = time::Duration::from_millis(300);
const ORDER: atomic::Ordering = atomic::Ordering::Relaxed;

/// Load that other processes put on the servers.
#[derive(Debug, Clone, Copy)]
struct Load {
    /// Share of the slots that they use.
    busy_percent: u64,
    /// Upper bound of the queue of a server whose slots they all use.
    waiting_max: u64,
    /// Idle timeout of the servers.
    idle_s: u64,
}

/// Server whose slots other processes use at random.
struct Server {
    load: Load,
    own: atomic::AtomicU32,
    others: atomic::AtomicU32,
    waiting: atomic::AtomicU32,
    slowdown_percent: atomic::AtomicU32,
}

impl Server {
    fn running(&self) -> u32 {
        self.own.load(ORDER) + self.others.load(ORDER)
    }

    async fn respond(&self, req: hyper::Request<body::Incoming>) -> hyper::Response<listen::Body> {
        let mut response = hyper::Response::new(listen::full("whole answer"));
        let headers = response.headers_mut();
        if let Some(id) = req.headers().get("id") {
            self.own.fetch_add(1, ORDER);
            let waited_ms = u64::from(self.waiting.load(ORDER)) * WORK_MS / u64::from(SLOTS);
            let work_ms = (WORK_MS + waited_ms) * u64::from(self.slowdown_percent.load(ORDER));
            tokio::time::sleep(time::Duration::from_millis(work_ms / 100)).await;
            self.own.fetch_sub(1, ORDER);
            headers.insert("id", id.clone());
            headers.insert("signed", "1".parse().expect("valid"));
        }
        let running = self.running();
        let waiting = self.waiting.load(ORDER) + running.saturating_sub(SLOTS);
        let slowdown_percent = self.slowdown_percent.load(ORDER);
        let load = format!(
            "{} {waiting} {SLOTS} {slowdown_percent}",
            running.min(SLOTS)
        );
        headers.insert("load", load.parse().expect("valid"));
        let keep_alive = format!("timeout={}", self.load.idle_s);
        headers.insert("keep-alive", keep_alive.parse().expect("valid"));
        response
    }

    /// Changes the load every 100 ms and the speed every 500 ms.
    async fn vary(&self, mut rng: rng::SplitMix64) {
        for step in 0.. {
            let busy = (0..SLOTS).filter(|_| rng.below(100) < self.load.busy_percent);
            let busy_count = busy.count() as u32;
            self.others.store(busy_count, ORDER);
            let waiting = rng.below(self.load.waiting_max) as u32;
            self.waiting
                .store(if busy_count == SLOTS { waiting } else { 0 }, ORDER);
            if step % 5 == 0 {
                let is_slowed = rng.below(4) == 0;
                let percent = if is_slowed { 200 + rng.below(500) } else { 100 };
                self.slowdown_percent.store(percent as u32, ORDER);
            }
            tokio::time::sleep(time::Duration::from_millis(100)).await;
        }
    }

    /// Serves a new connection once it would have a slot, or resets it.
    async fn serve(self: sync::Arc<Server>, stream: tokio::net::TcpStream) {
        let waiting = self.waiting.load(ORDER);
        if waiting >= RESET_WAITING {
            return;
        }
        if self.running() >= SLOTS {
            let wait_ms = u64::from(waiting + 1) * WORK_MS / u64::from(SLOTS);
            tokio::time::sleep(time::Duration::from_millis(wait_ms)).await;
        }
        let idle = time::Duration::from_secs(self.load.idle_s);
        let service = hyper::service::service_fn(move |req| {
            let server = sync::Arc::clone(&self);
            async move { Ok::<_, std::convert::Infallible>(server.respond(req).await) }
        });
        let mut builder = hyper::server::conn::http1::Builder::new();
        builder
            .timer(rt::TokioTimer::new())
            .header_read_timeout(idle);
        let io = rt::TokioIo::new(stream);
        drop(builder.serve_connection(io, service).await);
    }
}

async fn start_server(seed: u64, load: Load) -> net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let server = sync::Arc::new(Server {
        load,
        own: atomic::AtomicU32::new(0),
        others: atomic::AtomicU32::new(0),
        waiting: atomic::AtomicU32::new(0),
        slowdown_percent: atomic::AtomicU32::new(100),
    });
    let varied = sync::Arc::clone(&server);
    tokio::spawn(async move { varied.vary(rng::SplitMix64::new(seed)).await });
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(sync::Arc::clone(&server).serve(stream));
        }
    });
    address
}

/// Starts a gateway that is one of many, with servers in its zone, its region and elsewhere.
async fn start(seed: u64, load: Load) -> sync::Arc<stub::Harness> {
    let mut addresses = Vec::new();
    for n in 0..SERVERS_COUNT {
        let address = start_server(seed * SERVERS_COUNT + n, load).await;
        addresses.push((
            address,
            ["zone", "next", "far", "far", "far", "far"][n as usize % 6],
        ));
    }
    let setup = stub::Setup {
        features: settings::Features {
            limits_connections: true,
            ..settings::Features::default()
        },
        ..stub::Setup::default()
    };
    let class = class::Class::UrgentLookup;
    let mut harness = stub::Harness::start_setup(class, &addresses, setup).await;
    harness.configure();
    harness.set_limits(1_000);
    harness.add_one_time_route();
    harness.share_servers(PROCESSES_COUNT, SLOTS);
    sync::Arc::new(harness)
}

/// Sends `count` requests at `per_s`, a fifth of them one-time; returns how many were served, and how
/// many of them within the target.
async fn send_requests(harness: &sync::Arc<stub::Harness>, count: u64, per_s: u64) -> (u64, u64) {
    let mut rng = rng::SplitMix64::new(5);
    let mut running = Vec::new();
    for n in 0..count {
        let harness = sync::Arc::clone(harness);
        let path = ["/order/x", "/path/x"][usize::from(rng.below(5) > 0)];
        running.push(tokio::spawn(async move {
            let begin = time::Instant::now();
            let response = harness.try_send_to(path, &format!("r{n}")).await;
            let is_served = response.is_ok_and(|response| response.status == 200);
            (is_served, is_served && begin.elapsed() < TARGET)
        }));
        let gap_ms = 500 / per_s + rng.below(1_000 / per_s);
        tokio::time::sleep(time::Duration::from_millis(gap_ms)).await;
    }
    let (mut served, mut in_time) = (0, 0);
    for response in running {
        let (is_served, is_in_time) = response.await.expect("no panic");
        served += u64::from(is_served);
        in_time += u64::from(is_in_time);
    }
    (served, in_time)
}

/// Returns the number of connections opened for `reason`.
fn opened_count(harness: &stub::Harness, reason: &str) -> u64 {
    let series = harness.metrics("nutmegdale_connections_opened_total");
    let of_reason = series.iter().filter(|(name, _)| name.contains(reason));
    of_reason.map(|(_, value)| value).sum()
}

/// Guards against health checks that go round all servers of a busy service and open a connection to
/// each, since they come back after its idle timeout.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn health_checks_open_few_connections() {
    const COUNT: u64 = 100;
    let load = Load {
        busy_percent: 80,
        waiting_max: 4,
        idle_s: 1,
    };
    let harness = start(1, load).await;
    let (served, _) = send_requests(&harness, COUNT, 25).await;
    let health_checks = opened_count(&harness, "health-check");
    let requests = opened_count(&harness, "request");
    println!("opened {health_checks} for health checks, {requests} for requests");
    // 24 at the start, 0.14 for each request and one in five seconds.
    assert!(
        health_checks <= 24 + COUNT * 14 / 100 + 2,
        "{health_checks}"
    );
    assert!(requests <= COUNT / 4, "{requests}");
    assert!(served >= COUNT * 95 / 100, "{served}");
}

/// Prints the connections opened per request, by load.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
#[ignore = "measurement that takes 50 s"]
async fn measure_connections_per_request() {
    let loads = [(35, 1), (70, 4), (90, 6), (97, 10), (99, 13)];
    let runs = (1..)
        .zip(loads)
        .map(|(seed, (busy_percent, waiting_max))| async move {
            let load = Load {
                busy_percent,
                waiting_max,
                idle_s: 10,
            };
            let harness = start(seed, load).await;
            send_requests(&harness, 140, 7).await;
            let before = harness.metrics("nutmegdale_");
            let (served, in_time) = send_requests(&harness, 210, 7).await;
            let mut text = format!("{load:?}: {served} served, {in_time} in time of 210\n");
            for ((name, value), (_, old)) in harness.metrics("nutmegdale_").iter().zip(&before) {
                let is_wanted = ["opened", "probes", "sends", "hedges", "retries"]
                    .iter()
                    .any(|part| name.contains(part));
                if is_wanted && value > old {
                    text += &format!("  {name} {}\n", value - old);
                }
            }
            println!("{text}");
        });
    futures_util::future::join_all(runs).await;
}

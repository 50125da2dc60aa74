//! Measures the overhead of nutmegdale per call, compared with direct calls and a minimal proxy.
//!
//! The variants alternate within one run, so that noise of the machine affects all of them equally. See
//! [docs/measurements.md](../../../../../docs/measurements.md).

mod instructions;
mod setup;
mod table;

use nutmegdale_testkit::{load, machine};
use std::path;
use std::time;

/// Size of an export in bytes.
const EXPORT_BYTES: u64 = 64 * 1024 * 1024;

/// Measures calls through nutmegdale, through a minimal proxy and directly, in alternation.
#[derive(Debug, argh::FromArgs)]
struct Args {
    /// executable of the daemon; can be repeated to compare builds
    #[argh(option)]
    daemon: Vec<path::PathBuf>,

    /// executable of the minimal proxy
    #[argh(option)]
    relay: Option<path::PathBuf>,

    /// measure instructions instead; folder with the output of callgrind, under which all executables run
    #[argh(option)]
    callgrind: Option<path::PathBuf>,

    /// calls per second; 0 for a closed loop on every connection
    #[argh(option, default = "7800.0")]
    rate: f64,

    /// size of a response body in bytes
    #[argh(option, default = "200")]
    bytes: u64,

    /// number of connections that send calls
    #[argh(option, default = "64")]
    connections: usize,

    /// number of servers
    #[argh(option, default = "20")]
    servers: u16,

    /// number of services
    #[argh(option, default = "1")]
    services: u16,

    /// number of rounds over all variants
    #[argh(option, default = "5")]
    rounds: u64,

    /// duration of one variant in one round, in seconds
    #[argh(option, default = "2")]
    seconds: u64,

    /// number of connections that continuously fetch 64 MiB exports during the calls
    #[argh(option, default = "0")]
    exports: usize,

    /// measure memory instead; number of idle connections to open
    #[argh(option, default = "0")]
    idle: usize,
}

fn main() {
    let mut args: Args = argh::from_env();
    if args.daemon.is_empty() {
        args.daemon.push(setup::program("nutmegdale"));
    }
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(1)
        .enable_all()
        .build()
        .expect("runtime can be built");
    let size = setup::Size {
        servers: args.servers,
        services: args.services,
        bytes: args.bytes,
    };
    let relay = args.relay.clone();
    let relay = relay.unwrap_or_else(|| setup::program("relay"));
    let setup = runtime.block_on(setup::Setup::start(&args.daemon, &relay, size));
    if let Some(folder) = &args.callgrind {
        runtime.block_on(instructions::print(&setup, folder));
        return;
    }
    if args.idle > 0 {
        runtime.block_on(print_memory(&setup, args.idle));
        return;
    }
    let calls = measure(&args, &setup, size);
    let title = format!(
        "{} B answers at {} calls/s over {} connections, {} servers in {} services, {} exports",
        args.bytes, args.rate, args.connections, args.servers, args.services, args.exports
    );
    table::print(&title, &calls);
}

fn measure(args: &Args, setup: &setup::Setup, size: setup::Size) -> Vec<table::Row> {
    let mut rows: Vec<table::Row> = setup
        .variants
        .iter()
        .map(|variant| table::Row {
            name: variant.name.clone(),
            measured: load::Measurements::new(),
            cpu_us: 0,
        })
        .collect();
    for round in 0..=args.rounds {
        for (variant, row) in setup.variants.iter().zip(&mut rows) {
            let cpu_us = variant.pid.map_or(0, machine::cpu_us);
            let measured = run_once(args, variant, round, size);
            let cpu_us = variant.pid.map_or(0, machine::cpu_us) - cpu_us;
            // The first round is a warm-up.
            if round > 0 {
                row.measured.add(&measured);
                row.cpu_us += cpu_us;
            }
        }
    }
    rows
}

fn run_once(
    args: &Args,
    variant: &setup::Variant,
    round: u64,
    size: setup::Size,
) -> load::Measurements {
    let plan = load::Plan {
        rate: args.rate,
        connections_count: args.connections,
        lanes_count: 2,
        time: time::Duration::from_secs(args.seconds),
        seed: round,
    };
    if args.exports == 0 {
        return load::run(&variant.target, &plan);
    }
    let export_size = setup::Size {
        bytes: EXPORT_BYTES,
        ..size
    };
    let exports = setup::target(variant.target.peers.clone(), export_size);
    let export_plan = load::Plan {
        rate: 0.0,
        connections_count: args.exports,
        lanes_count: 1,
        ..plan
    };
    let export_thread = std::thread::spawn(move || load::run(&exports, &export_plan));
    let measured = load::run(&variant.target, &plan);
    let exported = export_thread.join().expect("exports do not panic");
    let rate = exported.body_bytes as f64 / exported.elapsed.as_secs_f64() / 1e6;
    println!(
        "round {round}, {}: {rate:.0} MB/s of exports, {} whole, {} failed",
        variant.name,
        exported.answered_count(),
        exported.failed_count
    );
    measured
}

/// Prints the memory per idle connection, each after one call.
async fn print_memory(setup: &setup::Setup, count: usize) {
    for variant in &setup.variants {
        let Some(pid) = variant.pid else { continue };
        let before = machine::resident_kib(pid);
        let mut connections = Vec::new();
        for _ in 0..count {
            let peer = variant.target.peers[0];
            let opened = nutmegdale_testkit::http::Connection::open(peer).await;
            let mut connection = opened.expect("peer accepts");
            let headers = [("nutmegdale-account", "caller")];
            let req = nutmegdale_testkit::http::Request::get("/svc0/hall-7?bytes=200", &headers);
            let answer = connection.send(&req).await.expect("answer");
            assert_eq!(answer.status, 200);
            connections.push(connection);
        }
        let used = machine::resident_kib(pid).saturating_sub(before);
        println!(
            "{}: {:.2} KiB per idle connection, {count} connections, {before} KiB before",
            variant.name,
            used as f64 / count as f64
        );
    }
}

//! Runs several simulated backend servers in one process, until its standard input is closed.

use nutmegdale_membership::announcement;
use nutmegdale_testkit::standin;
use std::io;
use std::net;
use std::time;

/// Runs simulated backend servers until standard input is closed.
#[derive(Debug, argh::FromArgs)]
struct Args {
    /// address of the first server; the others use the following ports
    #[argh(option)]
    first: net::SocketAddr,

    /// number of servers
    #[argh(option, default = "1")]
    servers: u16,

    /// comma-separated names of services, assigned round robin
    #[argh(option)]
    services: String,

    /// comma-separated names of zones, assigned round robin
    #[argh(option)]
    zones: String,

    /// comma-separated addresses of entry processes to announce to
    #[argh(option)]
    entries: String,

    /// slots of each server
    #[argh(option, default = "4")]
    slots: u32,

    /// connection limit of each server
    #[argh(option, default = "300")]
    connections: u32,

    /// service time of a request, in milliseconds
    #[argh(option, default = "2")]
    service_ms: u64,

    /// interval of announcements, in milliseconds
    #[argh(option, default = "2000")]
    renew_ms: u64,

    /// worker threads
    #[argh(option, default = "2")]
    threads: usize,
}

async fn run(args: &Args) -> io::Result<()> {
    let services: Vec<&str> = args.services.split(',').collect();
    let zones: Vec<&str> = args.zones.split(',').collect();
    let entries: Vec<net::SocketAddr> = args
        .entries
        .split(',')
        .map(|entry| entry.parse().expect("address of an entry process"))
        .collect();
    let mut standins = Vec::new();
    for n in 0..args.servers {
        let service = services[usize::from(n) % services.len()];
        let mut address = args.first;
        address.set_port(args.first.port() + n);
        let announced = announcement::Announcement {
            server: format!("{service}-{n}"),
            service: service.to_owned(),
            address,
            zone: zones[usize::from(n) / services.len() % zones.len()].to_owned(),
            slots: args.slots,
            connections: args.connections,
            cold_slots: 1,
            state: announcement::ServerState::Warm,
            incarnation: u64::from(std::process::id()),
            sequence: 0,
        };
        let behaviour = standin::Behaviour {
            service_time: time::Duration::from_millis(args.service_ms),
            connect_time: time::Duration::ZERO,
            renew_time: time::Duration::from_millis(args.renew_ms),
            keeps_executions: false,
            ..standin::Behaviour::default()
        };
        let mut entries = entries.clone();
        entries.rotate_left(usize::from(n) % args.entries.split(',').count());
        standins.push(standin::StandIn::start(announced, entries, behaviour).await?);
    }
    let input_closed = tokio::task::spawn_blocking(|| io::copy(&mut io::stdin(), &mut io::sink()));
    drop(input_closed.await);
    Ok(())
}

fn main() -> io::Result<()> {
    let args: Args = argh::from_env();
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(args.threads)
        .enable_all()
        .build()?;
    runtime.block_on(run(&args))
}

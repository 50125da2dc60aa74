//! Several stand-ins of backend servers in one process; it ends when its standard input does.

use nutmegdale_membership::announcement;
use nutmegdale_testkit::standin;
use std::io;
use std::net;
use std::time;

/// Stand-ins of backend servers.
#[derive(Debug, argh::FromArgs)]
struct Args {
    /// address of the first server; the others have the ports after it
    #[argh(option)]
    first: net::SocketAddr,

    /// number of servers
    #[argh(option, default = "1")]
    servers: u16,

    /// names of services, taken in turn, with commas
    #[argh(option)]
    services: String,

    /// zones, taken in turn, with commas
    #[argh(option)]
    zones: String,

    /// addresses of entry processes to announce to, with commas
    #[argh(option)]
    entries: String,

    /// slots of each server
    #[argh(option, default = "4")]
    slots: u32,

    /// connections of each server
    #[argh(option, default = "300")]
    connections: u32,

    /// time that a request takes, in milliseconds
    #[argh(option, default = "2")]
    service_ms: u64,

    /// time between renewals, in milliseconds
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
    let ended = tokio::task::spawn_blocking(|| io::copy(&mut io::stdin(), &mut io::sink()));
    drop(ended.await);
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

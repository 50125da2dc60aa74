//! Starts the processes for a measurement.

use nutmegdale_testkit::{addresses, cluster, http, load};
use std::env;
use std::net;
use std::path;
use std::process;
use std::time;

/// Timeout for the system to become ready.
const READY_TIMEOUT: time::Duration = time::Duration::from_secs(30);
const LOCALITY: cluster::Locality = cluster::Locality {
    zone: "zone-a",
    region: "north",
};

/// Returns the path of an executable in the folder of this one.
pub(crate) fn program(name: &str) -> path::PathBuf {
    let own = env::current_exe().expect("path of the executable is known");
    own.with_file_name(name)
}

/// Child process that is killed when dropped.
pub(crate) struct Child(process::Child);

impl Child {
    fn start(program: &path::Path, args: &[String]) -> Child {
        let child = process::Command::new(program)
            .args(args)
            .stdin(process::Stdio::piped())
            .spawn();
        Child(child.unwrap_or_else(|err| panic!("{}: {err}", program.display())))
    }

    fn pid(&self) -> u32 {
        self.0.id()
    }
}

impl Drop for Child {
    fn drop(&mut self) {
        // Fails only if the process has ended already.
        drop(self.0.kill());
        drop(self.0.wait());
    }
}

/// Size of the measured system.
#[derive(Clone, Copy)]
pub(crate) struct Size {
    pub(crate) servers: u16,
    pub(crate) services: u16,
    /// Size of each response body.
    pub(crate) bytes: u64,
}

/// Compared variant: how requests reach the servers.
pub(crate) struct Variant {
    pub(crate) name: String,
    pub(crate) target: load::Target,
    /// Process that forwards the requests, unless they are sent directly.
    pub(crate) pid: Option<u32>,
}

/// Processes that run during a measurement, and the variants to measure.
pub(crate) struct Setup {
    pub(crate) variants: Vec<Variant>,
    _clusters: Vec<cluster::Cluster>,
    _children: Vec<Child>,
}

impl Setup {
    /// Starts a cluster with stand-ins for each daemon, and the minimal proxy.
    pub(crate) async fn start(daemons: &[path::PathBuf], relay: &path::Path, size: Size) -> Setup {
        let mut setup = Setup {
            variants: Vec::new(),
            _clusters: Vec::new(),
            _children: Vec::new(),
        };
        for (number, daemon) in daemons.iter().enumerate() {
            let plan = cluster::Plan {
                program: daemon.clone(),
                control: vec![LOCALITY],
                entry: vec![LOCALITY, LOCALITY],
            };
            let mut cluster = cluster::Cluster::start(&plan);
            cluster.apply("load", &ops(size.services)).await;
            let first = cluster.standin_address();
            // The servers announce to the other entry process: in a large system, an entry process
            // gets most announcements through its peers.
            setup.start_standins(first, cluster.entry[1].entry(), size);
            let entry = cluster.entry[0].entry();
            wait_ready(entry, size).await;
            if number == 0 {
                setup.add_direct_and_relay(relay, first, size).await;
            }
            setup.variants.push(Variant {
                name: format!("nutmegdale {number}"),
                target: target(vec![entry], size),
                pid: cluster.entry[0].pid(),
            });
            setup._clusters.push(cluster);
        }
        setup
    }

    fn start_standins(&mut self, first: net::SocketAddr, entry: net::SocketAddr, size: Size) {
        let services: Vec<String> = (0..size.services).map(|n| format!("svc{n}")).collect();
        let options = [
            ("--first", first.to_string()),
            ("--servers", size.servers.to_string()),
            ("--services", services.join(",")),
            ("--zones", LOCALITY.zone.to_owned()),
            ("--entries", entry.to_string()),
            ("--slots", "1000".to_owned()),
            ("--connections", "10000".to_owned()),
            ("--service-ms", "0".to_owned()),
        ];
        let args: Vec<String> = options
            .into_iter()
            .flat_map(|(name, value)| [name.to_owned(), value])
            .collect();
        self._children
            .push(Child::start(&program("standin"), &args));
    }

    async fn add_direct_and_relay(
        &mut self,
        relay: &path::Path,
        first: net::SocketAddr,
        size: Size,
    ) {
        let servers: Vec<net::SocketAddr> = (0..size.servers)
            .map(|n| (first.ip(), first.port() + n).into())
            .collect();
        let list: Vec<String> = servers.iter().map(ToString::to_string).collect();
        let listen = addresses::Addresses::reserve().next_address();
        let args = ["--listen", &listen.to_string(), "--to", &list.join(",")];
        let relay = Child::start(relay, &args.map(ToOwned::to_owned));
        cluster::eventually(READY_TIMEOUT, "the relay listens", || async {
            http::Connection::open(listen).await.ok()
        })
        .await;
        self.variants.push(Variant {
            name: "direct".to_owned(),
            target: target(servers, size),
            pid: None,
        });
        self.variants.push(Variant {
            name: "bare relay".to_owned(),
            target: target(vec![listen], size),
            pid: Some(relay.pid()),
        });
        self._children.push(relay);
    }
}

/// Returns a target with requests to all services, round robin.
pub(crate) fn target(peers: Vec<net::SocketAddr>, size: Size) -> load::Target {
    let requests = (0..size.services).map(|n| encode_request(n, size.bytes));
    load::Target {
        peers,
        requests: requests.collect(),
    }
}

fn encode_request(service: u16, bytes: u64) -> Vec<u8> {
    format!(
        "GET /svc{service}/hall-7?bytes={bytes} HTTP/1.1\r\nhost: registry\r\n\
         nutmegdale-account: caller\r\n\r\n"
    )
    .into_bytes()
}

fn ops(services: u16) -> serde_json::Value {
    let mut ops = vec![
        serde_json::json!({ "op": "put-zone",
            "zone": { "name": LOCALITY.zone, "region": LOCALITY.region } }),
        serde_json::json!({ "op": "put-account",
            "account": { "name": "caller", "owner": "Ann", "class": "urgent-lookup" } }),
    ];
    for n in 0..services {
        ops.push(serde_json::json!({ "op": "put-route",
            "route": { "name": format!("svc{n}"), "owner": "Ann", "class": "urgent-lookup",
                       "path_prefix": format!("/svc{n}"), "service": format!("svc{n}") } }));
    }
    ops.into()
}

async fn wait_ready(entry: net::SocketAddr, size: Size) {
    let headers = [("nutmegdale-account", "caller")];
    for n in 0..size.services {
        let path = format!("/svc{n}/hall-7");
        let req = http::Request::get(&path, &headers);
        cluster::eventually(READY_TIMEOUT, "every service has a server", || async {
            let answer = http::send(entry, &req).await.ok()?;
            (answer.status == 200).then_some(())
        })
        .await;
    }
}

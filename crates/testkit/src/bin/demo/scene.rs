//! Processes, servers and catalogue of the demo.

use nutmegdale_testkit::{cluster, http, standin};
use std::env;
use std::fs;
use std::net;
use std::process;
use std::time;

/// Timeout for a route to become available.
const READY_TIMEOUT: time::Duration = time::Duration::from_secs(30);
const ZONES: [(&str, &str); 6] = [
    ("oberbayern-1", "oberbayern"),
    ("oberbayern-2", "oberbayern"),
    ("franken-1", "franken"),
    ("franken-2", "franken"),
    ("schwaben-1", "schwaben"),
    ("schwaben-2", "schwaben"),
];

fn locality(zone: usize) -> cluster::Locality {
    let (zone, region) = ZONES[zone];
    cluster::Locality { zone, region }
}

/// Running cluster and servers.
pub(crate) struct Scene {
    pub(crate) cluster: cluster::Cluster,
    pub(crate) standins: Vec<Server>,
}

/// Stand-in with its zone and service.
pub(crate) struct Server {
    pub(crate) zone: &'static str,
    pub(crate) service: &'static str,
    pub(crate) standin: standin::StandIn,
}

impl Scene {
    pub(crate) async fn start() -> Scene {
        let own = env::current_exe().expect("path of the executable is known");
        let plan = cluster::Plan {
            program: own.with_file_name("nutmegdale"),
            control: [0, 2, 4].map(locality).to_vec(),
            entry: (0..ZONES.len()).map(locality).collect(),
        };
        let mut scene = Scene {
            cluster: cluster::Cluster::start(&plan),
            standins: Vec::new(),
        };
        let file = scene.cluster.folder().join("catalogue.json");
        fs::write(&file, ops().to_string()).expect("catalogue can be written");
        scene.ctl(&["apply", &file.display().to_string()]);
        for (n, (zone, region)) in ZONES.into_iter().enumerate() {
            scene.add_server(n, zone, "reads").await;
            // Oberbayern is the home region of filings; exports are served from the other regions.
            let is_home = region == "oberbayern";
            let service = if is_home { "filings" } else { "exports" };
            scene.add_server(n, zone, service).await;
        }
        for (method, path, key) in [
            ("GET", "/logs/hall-7", ""),
            ("POST", "/incidents", "first"),
            ("GET", "/archive/q3?bytes=10", ""),
        ] {
            scene.wait_ready(method, path, key).await;
        }
        scene
    }

    async fn add_server(&mut self, n: usize, zone: &'static str, service: &'static str) {
        let name = format!("{service}-{n}");
        let announced = self.cluster.announcement(&name, service, zone);
        let standin = self.cluster.standin(announced).await;
        self.standins.push(Server {
            zone,
            service,
            standin,
        });
    }

    async fn wait_ready(&self, method: &str, path: &str, key: &str) {
        let headers = [("nutmegdale-account", "clerk"), ("idempotency-key", key)];
        let headers = if key.is_empty() {
            &headers[..1]
        } else {
            &headers
        };
        let req = http::Request {
            method,
            path,
            headers,
            body: "".into(),
        };
        // This entry process is in the home region of filings.
        let entry = self.cluster.entry[0].entry();
        cluster::eventually(READY_TIMEOUT, path, || async {
            let answer = http::send(entry, &req).await.ok()?;
            (answer.status == 200).then_some(())
        })
        .await;
    }

    /// Runs nutmegctl, which prints to standard output.
    pub(crate) fn ctl(&self, args: &[&str]) {
        let own = env::current_exe().expect("path of the executable is known");
        let control = self.cluster.control.iter();
        let control: Vec<_> = control.map(|d| d.admin().to_string()).collect();
        let status = process::Command::new(own.with_file_name("nutmegctl"))
            .args(args)
            .env("NUTMEGCTL_CONTROL", control.join(","))
            .env("NUTMEGCTL_TOKEN", self.cluster.operator_token())
            .status();
        let is_success = status.is_ok_and(|status| status.success());
        assert!(is_success, "nutmegctl {} failed", args.join(" "));
    }

    /// Returns the addresses at which callers bootstrap.
    pub(crate) fn addresses(&self) -> Vec<net::SocketAddr> {
        let entry = self.cluster.entry.iter();
        entry.map(cluster::Daemon::entry).collect()
    }

    /// Returns the number of requests executed in a zone.
    pub(crate) fn executed_in(&self, zone: &str) -> u64 {
        let servers = self.standins.iter().filter(|s| s.zone == zone);
        servers.map(|s| s.standin.shared.executed.get()).sum()
    }
}

fn ops() -> serde_json::Value {
    let mut ops: Vec<_> = ZONES
        .iter()
        .map(|(name, region)| {
            serde_json::json!({ "op": "put-zone", "zone": { "name": name, "region": region } })
        })
        .collect();
    let mut put = |op| ops.push(op);
    put(serde_json::json!({ "op": "put-account",
        "account": { "name": "clerk", "owner": "Anna Huber", "class": "urgent-lookup" } }));
    put(serde_json::json!({ "op": "put-route",
        "route": { "name": "reads", "owner": "Anna Huber", "class": "urgent-lookup",
                   "path_prefix": "/logs", "service": "reads" } }));
    put(serde_json::json!({ "op": "put-route",
        "route": { "name": "filings", "owner": "Jakob Maier", "class": "one-time-filing",
                   "path_prefix": "/incidents", "service": "filings",
                   "home_regions": ["oberbayern"], "ledger_region": "oberbayern",
                   "retention": "30d" } }));
    put(serde_json::json!({ "op": "put-route",
        "route": { "name": "exports", "owner": "Anna Huber", "class": "bulk-export",
                   "path_prefix": "/archive", "service": "exports" } }));
    ops.into()
}

//! Runs the daemon as separate processes, each at its own loopback address.

use crate::{addresses, http, standin};
use nutmegdale_membership::announcement;
use std::env;
use std::fmt::Write;
use std::fs;
use std::net;
use std::path;
use std::process;
use std::thread;
use std::time;

/// Port of an entry process for callers and servers.
const ENTRY_PORT: u16 = 18080;
/// Port of an entry process for metrics and the state dump.
const OBSERVE_PORT: u16 = 18081;
/// Port of a control process for the other processes of the cluster.
const CONTROL_PORT: u16 = 18090;
/// Port of a control process for operators.
const ADMIN_PORT: u16 = 18091;
/// Timeout for the start of a process; generous, for busy machines.
const START_TIMEOUT: time::Duration = time::Duration::from_secs(20);
/// Secret that authenticates the processes of a cluster to each other.
pub(crate) const CLUSTER_TOKEN: &str = "cluster-token-for-tests";
/// Bearer token of the operator `tester`.
const OPERATOR_TOKEN: &str = "operator-token-for-tests";

/// Zone and region of a process.
#[derive(Debug, Clone, Copy)]
pub struct Locality {
    /// Name of the availability zone.
    pub zone: &'static str,
    /// Name of the region.
    pub region: &'static str,
}

/// Process of the daemon; it is killed when dropped.
#[derive(Debug)]
pub struct Daemon {
    /// Name of the process in the cluster.
    pub name: String,
    /// Address at which the process listens.
    pub ip: net::Ipv4Addr,
    settings: path::PathBuf,
    child: Option<process::Child>,
}

impl Daemon {
    /// Returns the address for callers and servers.
    pub fn entry(&self) -> net::SocketAddr {
        (self.ip, ENTRY_PORT).into()
    }

    /// Returns the address for metrics and the state dump.
    pub fn observe(&self) -> net::SocketAddr {
        (self.ip, OBSERVE_PORT).into()
    }

    /// Returns the address for operators.
    pub fn admin(&self) -> net::SocketAddr {
        (self.ip, ADMIN_PORT).into()
    }

    /// Returns the address for the other processes of the cluster.
    pub fn control(&self) -> net::SocketAddr {
        (self.ip, CONTROL_PORT).into()
    }

    /// Returns the process id, or `None` if the process was killed or awaited.
    pub fn pid(&self) -> Option<u32> {
        self.child.as_ref().map(process::Child::id)
    }

    /// Waits until an entry process accepts connections. On a busy machine it may start after the
    /// catalogue can already be changed, and a test that calls it earlier would get a refused
    /// connection.
    fn await_listener(&self) {
        let start = time::Instant::now();
        while let Err(err) = net::TcpStream::connect(self.entry()) {
            let elapsed = start.elapsed();
            assert!(
                elapsed < START_TIMEOUT,
                "{} does not accept connections after {elapsed:?}: {err}",
                self.name
            );
            thread::sleep(time::Duration::from_millis(5));
        }
    }

    /// Kills the process without a shutdown, as a power failure would.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Fails only if the process has ended already.
            drop(child.kill());
            drop(child.wait());
        }
    }

    /// Sends a signal by its name, such as `STOP`, `CONT` or `TERM`.
    pub fn signal(&self, name: &str) {
        if let Some(pid) = self.pid() {
            let mut command = process::Command::new("kill");
            command.arg(format!("-{name}")).arg(pid.to_string());
            let status = command.status().expect("kill can be run");
            assert!(status.success(), "signal {name} to {}", self.name);
        }
    }

    /// Waits for the process to exit and returns whether it exited with success.
    pub fn wait(&mut self) -> bool {
        let Some(mut child) = self.child.take() else {
            return false;
        };
        child.wait().is_ok_and(|status| status.success())
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Layout of a cluster to start.
#[derive(Debug)]
pub struct Plan {
    /// Path of the daemon's executable.
    pub program: path::PathBuf,
    /// Zone and region of each control process.
    pub control: Vec<Locality>,
    /// Zone and region of each entry process.
    pub entry: Vec<Locality>,
}

/// Running cluster with its own folder. Dropping it kills all processes.
#[derive(Debug)]
pub struct Cluster {
    /// Control processes, in the order of the plan.
    pub control: Vec<Daemon>,
    /// Entry processes, in the order of the plan.
    pub entry: Vec<Daemon>,
    program: path::PathBuf,
    folder: path::PathBuf,
    addresses: addresses::Addresses,
}

impl Cluster {
    /// Starts all processes of a plan and waits until the entry processes accept connections.
    pub fn start(plan: &Plan) -> Cluster {
        let mut addresses = addresses::Addresses::reserve();
        let [high, low] = addresses.network();
        let folder = env::temp_dir().join(format!("nutmegdale-{}-{high}-{low}", process::id()));
        // A failed run of a process with the same id may have left its folder behind.
        drop(fs::remove_dir_all(&folder));
        fs::create_dir_all(&folder).expect("folder of the cluster can be created");
        let control_ips: Vec<_> = plan.control.iter().map(|_| addresses.next_ip()).collect();
        let entry_ips: Vec<_> = plan.entry.iter().map(|_| addresses.next_ip()).collect();
        let mut cluster = Cluster {
            control: Vec::new(),
            entry: Vec::new(),
            program: plan.program.clone(),
            folder,
            addresses,
        };
        let members: Vec<String> = control_ips
            .iter()
            .zip(&plan.control)
            .enumerate()
            .map(|(n, (ip, locality))| {
                format!("control-{n}@{}={ip}:{CONTROL_PORT}", locality.region)
            })
            .collect();
        let members = members.join(", ");
        for (n, (ip, locality)) in control_ips.iter().zip(&plan.control).enumerate() {
            let name = format!("control-{n}");
            let text = cluster.control_settings(&name, *ip, *locality, &members);
            let settings = cluster.write_settings(&name, &text);
            cluster.init_data(&settings);
            let daemon = cluster.start_daemon(&name, *ip, settings);
            cluster.control.push(daemon);
        }
        let control: Vec<String> = control_ips
            .iter()
            .map(|ip| format!("{ip}:{CONTROL_PORT}"))
            .collect();
        for (n, (ip, locality)) in entry_ips.iter().zip(&plan.entry).enumerate() {
            let name = format!("entry-{n}");
            let mut text = process_section(&name, "entry", *locality);
            writeln!(
                text,
                "[entry]\nlisten = {ip}:{ENTRY_PORT}\nobserve = {ip}:{OBSERVE_PORT}"
            )
            .expect("string can be written");
            writeln!(text, "control = {}", control.join(", ")).expect("string can be written");
            // Short, since a graceful shutdown waits until the address lists of callers have expired.
            writeln!(text, "addresses_ttl = 1s").expect("string can be written");
            let settings = cluster.write_settings(&name, &text);
            let daemon = cluster.start_daemon(&name, *ip, settings);
            cluster.entry.push(daemon);
        }
        for daemon in &cluster.entry {
            daemon.await_listener();
        }
        cluster
    }

    fn control_settings(
        &self,
        name: &str,
        ip: net::Ipv4Addr,
        locality: Locality,
        members: &str,
    ) -> String {
        let mut text = process_section(name, "control", locality);
        let data = self.folder.join(name);
        writeln!(
            text,
            "[control]\nlisten = {ip}:{CONTROL_PORT}\nadmin = {ip}:{ADMIN_PORT}"
        )
        .expect("string can be written");
        writeln!(text, "data = {}\nmembers = {members}", data.display())
            .expect("string can be written");
        writeln!(text, "operators = tester:{OPERATOR_TOKEN}").expect("string can be written");
        text
    }

    /// Starts another control process, which lists only itself as a member and waits until it is
    /// added to the group.
    pub fn add_control(&mut self, locality: Locality) {
        let ip = self.addresses.next_ip();
        let name = format!("control-{}", self.control.len());
        let member = format!("{name}@{}={ip}:{CONTROL_PORT}", locality.region);
        let text = self.control_settings(&name, ip, locality, &member);
        let settings = self.write_settings(&name, &text);
        let daemon = self.start_daemon(&name, ip, settings);
        self.control.push(daemon);
    }

    fn write_settings(&self, name: &str, text: &str) -> path::PathBuf {
        let settings = self.folder.join(format!("{name}.ini"));
        fs::write(&settings, text).expect("settings can be written");
        settings
    }

    /// Initializes the data folder of a control process, which bootstraps its groups.
    fn init_data(&self, settings: &path::Path) {
        let mut command = process::Command::new(&self.program);
        let status = command.arg("--init").arg(settings).status();
        assert!(
            status.is_ok_and(|s| s.success()),
            "data folder can be initialized"
        );
    }

    fn start_daemon(&self, name: &str, ip: net::Ipv4Addr, settings: path::PathBuf) -> Daemon {
        let mut daemon = Daemon {
            name: name.to_owned(),
            ip,
            settings,
            child: None,
        };
        self.restart(&mut daemon);
        daemon
    }

    /// Restarts a daemon that was killed or has exited, with the same settings and data.
    pub fn restart(&self, daemon: &mut Daemon) {
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("{}.log", daemon.name)))
            .expect("log can be opened");
        let child = process::Command::new(&self.program)
            .arg(&daemon.settings)
            .stdin(process::Stdio::null())
            .stderr(log)
            .spawn()
            .expect("daemon can be started");
        daemon.child = Some(child);
    }

    /// Removes the data folder of a stopped control process, to simulate the loss of its disk.
    pub fn lose_disk(&self, daemon: &Daemon) {
        assert!(daemon.pid().is_none(), "{} still runs", daemon.name);
        let data = self.folder.join(&daemon.name);
        fs::remove_dir_all(data).expect("data folder can be removed");
    }

    /// Returns the folder of settings, logs and data.
    pub fn folder(&self) -> &path::Path {
        &self.folder
    }

    /// Returns the token of the operator `tester`.
    pub fn operator_token(&self) -> &'static str {
        OPERATOR_TOKEN
    }

    /// Returns an unused address for a stand-in.
    pub fn standin_address(&mut self) -> net::SocketAddr {
        self.addresses.next_address()
    }

    /// Returns the announcement of a warm server at an unused address.
    pub fn announcement(
        &mut self,
        server: &str,
        service: &str,
        zone: &str,
    ) -> announcement::Announcement {
        announcement::Announcement {
            server: server.to_owned(),
            service: service.to_owned(),
            address: self.standin_address(),
            zone: zone.to_owned(),
            slots: 4,
            connections: 300,
            cold_slots: 1,
            state: announcement::ServerState::Warm,
            incarnation: 1,
            sequence: 0,
        }
    }

    /// Starts a stand-in that announces itself to one entry process, with failover to the others.
    pub async fn standin(&mut self, announced: announcement::Announcement) -> standin::StandIn {
        let entries = self.entry.iter().map(Daemon::entry).collect();
        let behaviour = standin::Behaviour {
            state: announced.state,
            ..standin::Behaviour::default()
        };
        let started = standin::StandIn::start(announced, entries, behaviour).await;
        started.expect("stand-in can be started")
    }

    /// Sends an operator's request to the control processes in turn until one doesn't answer it with
    /// status 503, as replicas without a leader do.
    pub async fn admin(&self, method: &str, path: &str, body: &str) -> http::Answer {
        let auth = format!("Bearer {OPERATOR_TOKEN}");
        let headers = [("authorization", auth.as_str())];
        let req = http::Request {
            method,
            path,
            headers: &headers,
            body: body.to_owned().into(),
        };
        let mut last = String::new();
        for attempt in 0..300 {
            let daemon = &self.control[attempt % self.control.len()];
            let sent = http::send(daemon.admin(), &req);
            match tokio::time::timeout(time::Duration::from_secs(3), sent).await {
                Ok(Ok(answer)) if answer.status != 503 => return answer,
                Ok(Ok(answer)) => last = answer.text(),
                Ok(Err(err)) => last = err.to_string(),
                Err(_) => last = "no answer within 3 s".to_owned(),
            }
            tokio::time::sleep(time::Duration::from_millis(50)).await;
        }
        panic!("no control process answered {method} {path}: {last}");
    }

    /// Applies operations to the current catalogue and returns the new version.
    pub async fn apply(&self, id: &str, ops: &serde_json::Value) -> u64 {
        let config = self
            .admin("GET", "/admin/v1/config", "")
            .await
            .json()
            .expect("JSON");
        let body = serde_json::json!({ "id": id, "base": config["version"], "ops": ops });
        let answer = self
            .admin("POST", "/admin/v1/changes", &body.to_string())
            .await;
        assert_eq!(answer.status, 200, "change {id}: {}", answer.text());
        answer.json().expect("JSON")["version"]
            .as_u64()
            .expect("version")
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.control.clear();
        self.entry.clear();
        // Keep the logs of a failed test.
        if !std::thread::panicking() {
            drop(fs::remove_dir_all(&self.folder));
        }
    }
}

fn process_section(name: &str, roles: &str, locality: Locality) -> String {
    format!(
        "[process]\nname = {name}\nroles = {roles}\nzone = {}\nregion = {}\n\
         cluster_token = {CLUSTER_TOKEN}\n",
        locality.zone, locality.region
    )
}

/// Polls `check` every 20 ms until it returns a value.
///
/// # Panics
///
/// Panics if there is no value within `limit`.
pub async fn eventually<T, F: Future<Output = Option<T>>>(
    limit: time::Duration,
    what: &str,
    mut check: impl FnMut() -> F,
) -> T {
    let start = time::Instant::now();
    loop {
        if let Some(value) = check().await {
            return value;
        }
        assert!(start.elapsed() < limit, "timed out after {limit:?}: {what}");
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
}

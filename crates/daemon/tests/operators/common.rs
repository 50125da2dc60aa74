//! Shared parts of the operator tests: a cluster of two zones, the command-line tool and callers.

use nutmegdale_ctl::Exit;
use nutmegdale_testkit::{cluster, http, standin};
use serde_json::{Value, json};
use std::fs;
use std::net;
use std::time;

/// Time within which a change must be in force everywhere.
pub(crate) const IN_FORCE: time::Duration = time::Duration::from_secs(6);
/// Timeout of a condition that must become true, with room for a slow machine.
pub(crate) const TIMEOUT: time::Duration = time::Duration::from_secs(20);

const ZONE_A: cluster::Locality = cluster::Locality {
    zone: "zone-a",
    region: "north",
};
const ZONE_B: cluster::Locality = cluster::Locality {
    zone: "zone-b",
    region: "north",
};

/// Starts control processes in zone-a, one entry process in zone-a and two in zone-b.
pub(crate) fn start(control_count: usize) -> cluster::Cluster {
    cluster::Cluster::start(&cluster::Plan {
        program: env!("CARGO_BIN_EXE_nutmegdale").into(),
        control: vec![ZONE_A; control_count],
        entry: vec![ZONE_A, ZONE_B, ZONE_B],
    })
}

/// Operations that make the first catalogue.
pub(crate) fn first_catalogue() -> Value {
    json!([
        { "op": "put-zone", "zone": { "name": "zone-a", "region": "north" } },
        { "op": "put-zone", "zone": { "name": "zone-b", "region": "north" } },
        { "op": "put-account",
          "account": { "name": "inspector", "owner": "Ann", "class": "urgent-lookup" } },
        { "op": "put-route",
          "route": { "name": "reads", "owner": "Ann", "class": "urgent-lookup",
                     "path_prefix": "/logs", "service": "reads" } },
    ])
}

/// Result of a run of the command-line tool.
#[derive(Debug)]
pub(crate) struct CommandOutput {
    pub(crate) exit: Exit,
    pub(crate) out: String,
    pub(crate) notes: String,
}

/// Runs the command-line tool with the token of the cluster's operator.
pub(crate) async fn ctl(cluster: &cluster::Cluster, args: &[&str]) -> CommandOutput {
    let token = cluster.folder().join("token");
    fs::write(&token, "operator-token-for-tests\n").expect("token can be written");
    ctl_with(cluster, token.to_str().expect("path is text"), args).await
}

/// Runs the command-line tool with the token in the file `token`.
pub(crate) async fn ctl_with(
    cluster: &cluster::Cluster,
    token: &str,
    args: &[&str],
) -> CommandOutput {
    let control = cluster.control.iter().map(|d| d.admin().to_string());
    let control = control.collect::<Vec<_>>().join(",");
    let head = ["--control", &control, "--token-file", token];
    let all = [&head, args].concat();
    let (mut out, mut notes) = (Vec::new(), Vec::new());
    let exit = nutmegdale_ctl::run(&all, &mut out, &mut notes).await;
    let text = |bytes| String::from_utf8(bytes).expect("output is text");
    CommandOutput {
        exit,
        out: text(out),
        notes: text(notes),
    }
}

/// Writes a change to the file `name` in the cluster's folder and returns its path.
pub(crate) fn write_change(cluster: &cluster::Cluster, name: &str, change: &Value) -> String {
    let path = cluster.folder().join(name);
    fs::write(&path, change.to_string()).expect("change can be written");
    path.to_str().expect("path is text").to_owned()
}

/// Applies the first catalogue and waits until it is in force everywhere.
pub(crate) async fn apply_first_catalogue(cluster: &cluster::Cluster) {
    cluster::eventually(TIMEOUT, "three entry processes", || async {
        let status = cluster.admin("GET", "/admin/v1/status", "").await;
        let status = status.json().expect("JSON");
        (status["in_force"]["of"] == 3).then_some(())
    })
    .await;
    let path = write_change(cluster, "first.json", &first_catalogue());
    let output = ctl(cluster, &["apply", &path, "--wait", "20"]).await;
    assert_eq!(output.exit, Exit::Done, "{output:?}");
}

/// Sends one lookup to an entry process.
pub(crate) async fn lookup(entry: net::SocketAddr) -> Option<http::Answer> {
    let headers = [("nutmegdale-account", "inspector")];
    let req = http::Request::get("/logs/hall-7", &headers);
    let sent = http::send(entry, &req);
    tokio::time::timeout(time::Duration::from_secs(5), sent)
        .await
        .ok()?
        .ok()
}

/// Waits until a lookup at an entry process is answered.
pub(crate) async fn wait_until_answered(entry: net::SocketAddr) -> http::Answer {
    cluster::eventually(TIMEOUT, "an answer", || async {
        lookup(entry).await.filter(|answer| answer.status == 200)
    })
    .await
}

/// Waits until a lookup at an entry process is refused with `reason`.
pub(crate) async fn wait_until_refused(entry: net::SocketAddr, reason: &str) {
    cluster::eventually(TIMEOUT, reason, || async {
        let answer = lookup(entry).await?;
        (answer.header("nutmegdale-reason") == reason).then_some(())
    })
    .await;
}

/// Starts a server of the service `reads`.
pub(crate) async fn start_server(
    cluster: &mut cluster::Cluster,
    name: &str,
    zone: &str,
) -> standin::StandIn {
    let announced = cluster.announcement(name, "reads", zone);
    cluster.standin(announced).await
}

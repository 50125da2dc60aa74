//! Measures instructions per call with callgrind, under which the processes must run.

use crate::setup;
use nutmegdale_testkit::http;
use std::fs;
use std::path;
use std::process;

/// Number of measured calls.
const CALLS_COUNT: u32 = 2_000;
/// Number of calls before the measurement, which open connections and fill caches.
const WARMUP_CALLS_COUNT: u32 = 200;

/// Prints the instructions per call of each variant. `folder` holds the output of callgrind.
pub(crate) async fn print(setup: &setup::Setup, folder: &path::Path) {
    for variant in &setup.variants {
        let Some(pid) = variant.pid else { continue };
        let opened = http::Connection::open(variant.target.peers[0]).await;
        let mut connection = opened.expect("peer accepts");
        call(&mut connection, WARMUP_CALLS_COUNT).await;
        control(&["--instr=on"], pid);
        call(&mut connection, WARMUP_CALLS_COUNT).await;
        control(&["--zero"], pid);
        call(&mut connection, CALLS_COUNT).await;
        control(&["--dump"], pid);
        control(&["--instr=off"], pid);
        let file = folder.join(format!("{pid}.out.1"));
        let text = fs::read_to_string(&file).expect("callgrind wrote its output");
        let mut lines = text.lines();
        let totals = lines.find_map(|line| line.strip_prefix("totals: "));
        let total: u64 = totals.and_then(|t| t.parse().ok()).expect("totals");
        let per_call = total / u64::from(CALLS_COUNT);
        println!("{}: {per_call} instructions per call", variant.name);
    }
}

async fn call(connection: &mut http::Connection, count: u32) {
    let headers = [("nutmegdale-account", "caller")];
    let req = http::Request::get("/svc0/hall-7?bytes=200", &headers);
    for _ in 0..count {
        let answer = connection.send(&req).await.expect("answer");
        assert_eq!(answer.status, 200);
    }
}

fn control(args: &[&str], pid: u32) {
    let mut command = process::Command::new("callgrind_control");
    command.args(args).arg(pid.to_string());
    let status = command
        .stdout(process::Stdio::null())
        .stderr(process::Stdio::null())
        .status();
    assert!(
        status.is_ok_and(|s| s.success()),
        "callgrind_control failed"
    );
}

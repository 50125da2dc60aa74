//! Case: a machine that serves control loses its disk during the first start of the whole system.

use crate::cluster;
use crate::config;
use crate::http;
use crate::record;
use crate::server;
use crate::Verdict;
use std::io::Write;
use std::sync;
use std::thread;
use std::time;

/// Machine that is lost; it is one of the three seeds.
const LOST: usize = 2;
/// Time for which the machine runs before it loses power.
const RUNS: time::Duration = time::Duration::from_millis(100);
/// Time for which the machine is down.
const DOWN: time::Duration = time::Duration::from_millis(1_000);
/// Time from the start until clients send requests (`lead`).
const LEAD: time::Duration = time::Duration::from_secs(10);
/// Time for which the operator sends the first configuration. The bounds are `contact` (3 s), `ack`
/// (4 s), `catchUp` (6 s) and, after losses that overlap, `recovery` (15 s).
const OPERATOR_LIMIT: time::Duration = time::Duration::from_secs(40);
/// Number of requests of clients, and the pause between them.
const REQUESTS_COUNT: usize = 12;
const PAUSE: time::Duration = time::Duration::from_millis(250);

/// Runs the case.
pub fn run(record: &record::Record, has_trouble: bool) -> Result<Verdict, String> {
    let mut cluster = cluster::Cluster::new(cluster::ZONES.len())?;
    cluster.start(LOST, true)?;
    record.line("the machine in twb-east starts, bootstrap = true");
    thread::sleep(RUNS);
    if has_trouble {
        cluster.kill(LOST);
        cluster.replace_disk(LOST)?;
        record.line("the machine in twb-east loses power, and its disk");
    }
    for n in (0..cluster::ZONES.len()).filter(|n| *n != LOST) {
        cluster.start(n, true)?;
    }
    record.line("the other machines start, bootstrap = true");
    thread::sleep(DOWN);
    if has_trouble {
        cluster.start(LOST, false)?;
        record.line("the machine in twb-east is back, with an empty disk, bootstrap = false");
    }
    let control = cluster.control_addresses();
    let served = sync::Arc::new(sync::atomic::AtomicUsize::new(0));
    for n in 0..2 {
        start_server(&cluster, n, &served)?;
    }
    let route = r#"["r-search","register.example","/items/","safe","3000ms","600ms",1,null,2,[],"register"]"#;
    let document = config::document(1, &[route], "register");
    record.line("operator: sends the first configuration, which is valid, until it is accepted");
    let status = config::put_until_answered(record, &control, 0, &document, OPERATOR_LIMIT);
    thread::sleep(LEAD.saturating_sub(record.elapsed()));
    let answers = send_requests(record, &cluster);
    record.line(&format!("clients: answers by status: {answers:?}"));
    let count = served.load(sync::atomic::Ordering::Relaxed);
    record.line(&format!("servers: {count} requests run"));
    record.line(&format!(
        "{} of 12 processes run at the end",
        cluster.running_count()
    ));
    match (status, count) {
        (Some(200), 1..) => Ok(Verdict::Held),
        (None, _) | (Some(200), 0) => Ok(Verdict::Broken),
        (Some(status), _) => Err(format!("the first configuration was refused with {status}")),
    }
}

fn start_server(
    cluster: &cluster::Cluster,
    n: u8,
    served: &sync::Arc<sync::atomic::AtomicUsize>,
) -> Result<(), String> {
    let server = server::Server {
        id: format!("i-{n}"),
        service: "register".to_owned(),
        zone: cluster::ZONES[n as usize].0.to_owned(),
        address: cluster.server_address(n),
    };
    let served = sync::Arc::clone(served);
    let handler: server::Handler = sync::Arc::new(move |stream, request: http::Message| {
        served.fetch_add(1, sync::atomic::Ordering::Relaxed);
        let response = server::success(&request, 2) + "ok";
        stream
            .write_all(response.as_bytes())
            .ok()
            .map(|()| request.rest)
    });
    server.start(cluster.control_addresses(), handler)
}

/// Sends requests to the machines in turn; returns how many answers had each status, 0 for none.
fn send_requests(
    record: &record::Record,
    cluster: &cluster::Cluster,
) -> std::collections::BTreeMap<u16, usize> {
    let mut answers = std::collections::BTreeMap::new();
    for n in 0..REQUESTS_COUNT {
        let id = format!("c-{n}");
        let headers = [
            ("Host", "register.example"),
            ("X-Request-Id", id.as_str()),
            ("X-Request-Deadline-Ms", "6000"),
        ];
        let address = cluster.front(n % cluster::ZONES.len());
        let timeout = time::Duration::from_secs(6);
        let sent = http::send(address, &format!("GET /items/{n}"), &headers, b"", timeout);
        let status = sent.map_or(0, |response| response.status);
        if n < 6 {
            record.line(&format!("client: request {id} at {address}: {status}"));
        }
        *answers.entry(status).or_insert(0) += 1;
        thread::sleep(PAUSE);
    }
    answers
}

//! Case: an operator sends invalid configurations.

use crate::cluster;
use crate::config;
use crate::http;
use crate::record;
use crate::server;
use crate::Verdict;
use std::io::Write;
use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;

const HOST: &str = "returns.example";
/// Valid route, restricted to one region.
const RESTRICTED: &str = r#"["r-claim","returns.example","/claims/","unsafe","3000ms","800ms",1,[{"service":"returns","weight":1}],2,["brisbane"],null]"#;
/// The same row, cut short: `allowedRegions` and `service` are missing.
const CUT_SHORT: &str = r#"["r-claim","returns.example","/claims/","unsafe","3000ms","800ms",1,[{"service":"returns","weight":1}],2]"#;
/// The same route beside another one, which names a service that does not exist.
const UNKNOWN_SERVICE: &str = r#"["r-search","returns.example","/search/","safe","3000ms","800ms",1,[{"service":"returns","weight":1}],2,[],"no-such-service"]"#;
/// That route without the fault.
const KNOWN_SERVICE: &str = r#"["r-search","returns.example","/search/","safe","3000ms","800ms",1,[{"service":"returns","weight":1}],2,[],null]"#;

/// Runs the case.
pub fn run(record: &record::Record, has_trouble: bool) -> Result<Verdict, String> {
    let mut cluster = cluster::Cluster::new(3)?;
    for n in 0..3 {
        cluster.start(n, true)?;
    }
    let control = cluster.control_addresses();
    let limit = time::Duration::from_secs(15);
    let valid = config::document(1, &[RESTRICTED], "returns");
    let status = config::put_until_answered(record, &control, 0, &valid, limit);
    if status != Some(200) {
        return Err(format!(
            "the valid configuration was not accepted: {status:?}"
        ));
    }
    let run_count = sync::Arc::new(atomic::AtomicUsize::new(0));
    start_server(&cluster, &run_count)?;
    cluster.wait_ready(record)?;
    thread::sleep(time::Duration::from_secs(3));
    send_claims(record, &cluster, "before");
    let before = run_count.load(atomic::Ordering::Relaxed);
    record.line(&format!(
        "server in townsville: {before} claims run under version 1"
    ));
    if before > 0 {
        return Err("the restriction to brisbane does not hold".to_owned());
    }
    let mut is_broken = false;
    let mut base = 1;
    let faulty = [
        (
            "a route names an unknown service",
            vec![RESTRICTED, UNKNOWN_SERVICE],
            vec![RESTRICTED, KNOWN_SERVICE],
        ),
        ("a row is cut short", vec![CUT_SHORT], vec![RESTRICTED]),
    ];
    for (name, invalid, sound) in faulty {
        let rows = if has_trouble { &invalid } else { &sound };
        let document = config::document(base + 1, rows, "returns");
        record.line(&format!(
            "operator: version {}, {name}: {has_trouble}",
            base + 1
        ));
        let status = config::put_until_answered(record, &control, base, &document, limit);
        match status {
            Some(200) if has_trouble => {
                record.line("an invalid configuration was acknowledged");
                is_broken = true;
            }
            Some(200) => {}
            Some(400..=499) if has_trouble => continue,
            status => return Err(format!("unexpected answer {status:?}")),
        }
        let current = config::get(&control).unwrap_or_default();
        let is_in_force = current == document;
        record.line(&format!(
            "operator: reads back the same document: {is_in_force}"
        ));
        base += 1;
    }
    // `configApply` is 2.5 s.
    thread::sleep(time::Duration::from_secs(4));
    send_claims(record, &cluster, "after");
    let after = run_count.load(atomic::Ordering::Relaxed);
    record.line(&format!(
        "server in townsville: {after} claims run in the end"
    ));
    Ok(match is_broken {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}

/// Starts the only server, which is not in the region of the route.
fn start_server(
    cluster: &cluster::Cluster,
    run_count: &sync::Arc<atomic::AtomicUsize>,
) -> Result<(), String> {
    let server = server::Server {
        id: "i-0".to_owned(),
        service: "returns".to_owned(),
        zone: "tsv-port".to_owned(),
        address: cluster.server_address(0),
    };
    let run_count = sync::Arc::clone(run_count);
    let handler: server::Handler = sync::Arc::new(move |stream, request: http::Message| {
        run_count.fetch_add(1, atomic::Ordering::Relaxed);
        let response = server::success(&request, 2) + "ok";
        stream
            .write_all(response.as_bytes())
            .ok()
            .map(|()| request.rest)
    });
    server.start(cluster.control_addresses(), handler)
}

fn send_claims(record: &record::Record, cluster: &cluster::Cluster, name: &str) {
    for n in 0..6 {
        let id = format!("{name}-{n}");
        let headers = [
            ("Host", HOST),
            ("X-Request-Id", id.as_str()),
            ("X-Request-Deadline-Ms", "3000"),
        ];
        let timeout = time::Duration::from_secs(4);
        let line = format!("POST /claims/{id}");
        let sent = http::send(cluster.front(n % 3), &line, &headers, b"", timeout);
        let status = sent.map_or(0, |response| response.status);
        record.line(&format!("client: claim {id}: {status}"));
    }
}

//! Case: a configuration raises the limit of request heads while clients keep their connections open.

use crate::cluster;
use crate::config;
use crate::http;
use crate::record;
use crate::server;
use crate::Verdict;
use std::collections;
use std::io::{Read, Write};
use std::net;
use std::sync;
use std::thread;
use std::time;

const HOST: &str = "register.example";
const ROUTE: &str =
    r#"["r-search","register.example","/items/","safe","3000ms","600ms",1,null,2,[],"register"]"#;
/// Limits of request heads before and after the change, in bytes.
const OLD_LIMIT: &str = "\"maxHeaderBytes\":16384";
const NEW_LIMIT: &str = "\"maxHeaderBytes\":32768";
/// Size of the heads of large requests, below the new limit.
const LARGE_HEAD_BYTES: usize = 20_000;
/// Size of the packets in which a head arrives, and the pause between them on a link of 11 Mbit/s.
const PACKET_BYTES: usize = 1_448;
const PACKET_PAUSE: time::Duration = time::Duration::from_millis(1);
/// Connections that clients keep open.
const CONNECTIONS_COUNT: usize = 40;
/// Time from the acknowledgement to the large requests; `configApply` is 2.5 s.
const APPLY: time::Duration = time::Duration::from_secs(5);

/// Number of answers by status; 0 stands for none.
type Answers = collections::BTreeMap<u16, usize>;

/// Runs the case.
pub fn run(record: &record::Record, has_trouble: bool) -> Result<Verdict, String> {
    let mut cluster = cluster::Cluster::new(3)?;
    for n in 0..3 {
        cluster.start(n, true)?;
    }
    let control = cluster.control_addresses();
    let limit = time::Duration::from_secs(15);
    let document = |version: u32, is_raised: bool| {
        let document = config::document(version, &[ROUTE], "register");
        match is_raised {
            true => document.replace(OLD_LIMIT, NEW_LIMIT),
            false => document,
        }
    };
    // Without the disruption the limit is the new one from the start.
    let first = document(1, !has_trouble);
    let status = config::put_until_answered(record, &control, 0, &first, limit);
    if status != Some(200) {
        return Err(format!("the configuration was not accepted: {status:?}"));
    }
    for n in 0..3 {
        start_server(&cluster, n)?;
    }
    cluster.wait_ready(record)?;
    thread::sleep(time::Duration::from_secs(3));
    let mut kept = Vec::new();
    for n in 0..CONNECTIONS_COUNT {
        let stream = net::TcpStream::connect(cluster.front(n % 3));
        kept.push(stream.map_err(|err| err.to_string())?);
    }
    let answers = send_all(&mut kept, "small", 0);
    record.line(&format!(
        "clients: small requests on connections that they keep: {answers:?}"
    ));
    let second = document(2, true);
    let status = config::put_until_answered(record, &control, 1, &second, limit);
    if status != Some(200) {
        return Err(format!(
            "the second configuration was not accepted: {status:?}"
        ));
    }
    record.line("operator: version 2 is acknowledged; maxHeaderBytes is 32768");
    thread::sleep(APPLY);
    let answers = send_all(&mut kept, "kept", LARGE_HEAD_BYTES);
    record.line(&format!(
        "clients: requests with heads of {LARGE_HEAD_BYTES} bytes on these connections: {answers:?}"
    ));
    let denied_count: usize = answers.range(400..500).map(|(_, count)| count).sum();
    let mut new = Vec::new();
    for n in 0..CONNECTIONS_COUNT {
        let stream = net::TcpStream::connect(cluster.front(n % 3));
        new.push(stream.map_err(|err| err.to_string())?);
    }
    let answers = send_all(&mut new, "new", LARGE_HEAD_BYTES);
    record.line(&format!(
        "clients: the same on new connections: {answers:?}"
    ));
    let all_count = CONNECTIONS_COUNT * 3;
    let allowed_count = 5 + all_count / 500;
    record.line(&format!(
        "{denied_count} of {all_count} requests denied; {allowed_count} may be"
    ));
    Ok(match denied_count > allowed_count {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}

fn start_server(cluster: &cluster::Cluster, n: u8) -> Result<(), String> {
    let server = server::Server {
        id: format!("i-{n}"),
        service: "register".to_owned(),
        zone: cluster::ZONES[n as usize].0.to_owned(),
        address: cluster.server_address(n),
    };
    let handler: server::Handler = sync::Arc::new(|stream, request: http::Message| {
        let response = server::success(&request, 2) + "ok";
        stream
            .write_all(response.as_bytes())
            .ok()
            .map(|()| request.rest)
    });
    server.start(cluster.control_addresses(), handler)
}

/// Sends one request on each connection, with a head of at least `head_bytes`, and reads its answer.
fn send_all(streams: &mut [net::TcpStream], name: &str, head_bytes: usize) -> Answers {
    let mut answers = Answers::new();
    for (n, stream) in streams.iter_mut().enumerate() {
        let id = format!("{name}-{n}");
        let status = send(stream, &id, head_bytes).unwrap_or(0);
        *answers.entry(status).or_insert(0) += 1;
    }
    answers
}

fn send(stream: &mut net::TcpStream, id: &str, head_bytes: usize) -> std::io::Result<u16> {
    stream.set_read_timeout(Some(time::Duration::from_secs(4)))?;
    stream.set_nodelay(true)?;
    let lines = format!(
        "GET /items/{id} HTTP/1.1\r\nHost: {HOST}\r\nX-Request-Id: {id}\r\n\
         X-Request-Deadline-Ms: 3000\r\n"
    );
    let padding = "p".repeat(head_bytes.saturating_sub(lines.len() + 16));
    let head = format!("{lines}X-Note: {padding}\r\n\r\n");
    for part in head.as_bytes().chunks(PACKET_BYTES) {
        // The answer may come before the end of the head, and end the connection.
        if stream.write_all(part).is_err() {
            break;
        }
        thread::sleep(PACKET_PAUSE);
    }
    let Some(message) = http::read_head(stream, Vec::new())? else {
        return Ok(0);
    };
    if message.status() != 200 {
        return Ok(message.status());
    }
    let mut left = message.content_length().saturating_sub(message.rest.len());
    let mut part = [0; 1024];
    while left > 0 {
        let count = stream.read(&mut part)?;
        if count == 0 {
            return Ok(0);
        }
        left = left.saturating_sub(count);
    }
    Ok(message.status())
}

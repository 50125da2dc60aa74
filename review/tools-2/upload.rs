//! Case: a server answers an upload before it has read the body, keeps the connection and reads on.

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

/// Size of each body, below `maxBodyBytes` (64 MiB).
const BODY_BYTES: usize = 8_000_000;
/// Bytes that a client sends each [`STEP`]: 8.5 Mbit/s, the link of the site's smallest machine.
const STEP_BYTES: usize = 53_125;
const STEP: time::Duration = time::Duration::from_millis(50);
/// Time that a client waits, and the route's timeout: 10 s. An upload takes 7.5 s.
const DEADLINE_MS: u64 = 10_000;
/// Uploads one after the other at different machines, all at the same time.
const UPLOADS_COUNT: usize = 3;

/// Length and digest of the part of a body that has arrived.
type Received = sync::Arc<sync::Mutex<collections::BTreeMap<String, (usize, u64)>>>;

/// What a client saw of its upload.
struct Seen {
    id: String,
    sent_bytes: usize,
    digest: u64,
    status: u16,
    has_signature: bool,
    text: String,
}

/// Runs the case.
pub fn run(record: &record::Record, has_trouble: bool) -> Result<Verdict, String> {
    let mut cluster = cluster::Cluster::new(3)?;
    for n in 0..3 {
        cluster.start(n, true)?;
    }
    let control = cluster.control_addresses();
    let route = r#"["r-photo","intake.example","/photos/","upload","10000ms","1500ms",1,null,2,[],"intake"]"#;
    let document = config::document(1, &[route], "intake");
    let limit = time::Duration::from_secs(15);
    let status = config::put_until_answered(record, &control, 0, &document, limit);
    if status != Some(200) {
        return Err(format!("the configuration was not accepted: {status:?}"));
    }
    let received = Received::default();
    for n in 0..3 {
        start_server(record, &cluster, n, &received, has_trouble)?;
    }
    cluster.wait_ready(record)?;
    thread::sleep(time::Duration::from_secs(4));
    let mut is_broken = false;
    let uploads: Vec<_> = thread::scope(|scope| {
        let start = |n| {
            let front = cluster.front(n);
            scope.spawn(move || upload(&format!("u-{n}"), front))
        };
        let running: Vec<_> = (0..UPLOADS_COUNT).map(start).collect();
        running.into_iter().map(|upload| upload.join()).collect()
    });
    // The servers read on until the connection ends.
    thread::sleep(time::Duration::from_secs(3));
    for upload in uploads {
        let seen = upload.map_err(|_| "a client failed".to_owned())?;
        let arrived = received.lock().expect("no panic").get(&seen.id).copied();
        record.line(&format!(
            "client: upload {}: answer {}, signature: {}, {} of {BODY_BYTES} bytes sent, {}",
            seen.id, seen.status, seen.has_signature, seen.sent_bytes, seen.text
        ));
        record.line(&format!(
            "server: upload {}: arrived (bytes, digest): {arrived:?}",
            seen.id
        ));
        let is_success = seen.status / 100 == 2 && seen.has_signature;
        let is_whole = arrived == Some((BODY_BYTES, seen.digest));
        is_broken |= is_success && !is_whole;
        if !is_success {
            return Err(format!("upload {} got {}", seen.id, seen.status));
        }
    }
    Ok(match is_broken {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}

/// FNV-1a over the bytes of a body.
fn extend_digest(digest: u64, bytes: &[u8]) -> u64 {
    let step = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(0x100_0000_01b3);
    bytes.iter().fold(digest, step)
}

const EMPTY_DIGEST: u64 = 0xcbf2_9ce4_8422_2325;

fn start_server(
    record: &record::Record,
    cluster: &cluster::Cluster,
    n: u8,
    received: &Received,
    is_early: bool,
) -> Result<(), String> {
    let server = server::Server {
        id: format!("i-{n}"),
        service: "intake".to_owned(),
        zone: cluster::ZONES[n as usize].0.to_owned(),
        address: cluster.server_address(n),
    };
    record.line(&format!(
        "server {} at {}, answers early: {is_early}",
        server.id, server.address
    ));
    let received = sync::Arc::clone(received);
    let handler: server::Handler = sync::Arc::new(move |stream, request: http::Message| {
        let response = server::success(&request, 5) + "taken";
        if is_early {
            stream.write_all(response.as_bytes()).ok()?;
        }
        let id = request.header("x-request-id").unwrap_or("").to_owned();
        let (mut count, mut digest) = (0, EMPTY_DIGEST);
        let mut part = request.rest.clone();
        loop {
            count += part.len();
            digest = extend_digest(digest, &part);
            received
                .lock()
                .expect("no panic")
                .insert(id.clone(), (count, digest));
            if count >= request.content_length() {
                break;
            }
            part.resize(64 * 1024, 0);
            let length = stream.read(&mut part).ok().filter(|length| *length > 0)?;
            part.truncate(length);
        }
        if !is_early {
            stream.write_all(response.as_bytes()).ok()?;
        }
        Some(Vec::new())
    });
    server.start(cluster.control_addresses(), handler)
}

/// Sends a body at the speed of the link until it is through or the connection ends.
fn upload(id: &str, address: net::SocketAddr) -> Seen {
    let mut seen = Seen {
        id: id.to_owned(),
        sent_bytes: 0,
        digest: EMPTY_DIGEST,
        status: 0,
        has_signature: false,
        text: String::new(),
    };
    let started = time::Instant::now();
    let ended = send_body(&mut seen, address, started);
    seen.text = format!("{} after {:.2} s", ended, started.elapsed().as_secs_f64());
    // The digest of the whole body, also of the part that could not be sent.
    seen.digest = extend_digest(EMPTY_DIGEST, &body(id));
    seen
}

fn body(id: &str) -> Vec<u8> {
    let pattern = id
        .bytes()
        .chain(b" a photo of a found item ".iter().copied());
    let pattern: Vec<u8> = pattern.collect();
    pattern.iter().copied().cycle().take(BODY_BYTES).collect()
}

fn send_body(seen: &mut Seen, address: net::SocketAddr, started: time::Instant) -> String {
    let body = body(&seen.id);
    let stream = net::TcpStream::connect_timeout(&address, time::Duration::from_secs(1));
    let mut stream = match stream {
        Ok(stream) => stream,
        Err(err) => return format!("no connection: {err}"),
    };
    let head = format!(
        "POST /photos/{id} HTTP/1.1\r\nHost: intake.example\r\nX-Request-Id: {id}\r\n\
         X-Request-Deadline-Ms: {DEADLINE_MS}\r\nContent-Length: {BODY_BYTES}\r\n\r\n",
        id = seen.id
    );
    if let Err(err) = stream.write_all(head.as_bytes()) {
        return format!("head not sent: {err}");
    }
    let mut answer = Vec::new();
    let mut ended = None;
    for (n, part) in body.chunks(STEP_BYTES).enumerate() {
        let due = STEP * n as u32;
        thread::sleep(due.saturating_sub(started.elapsed()));
        ended = ended.or_else(|| read_available(&mut stream, &mut answer));
        if ended.is_some() {
            break;
        }
        if let Err(err) = stream.write_all(part) {
            ended = Some(format!("write failed: {err}"));
            break;
        }
        seen.sent_bytes += part.len();
    }
    while !is_complete(&answer) && ended.is_none() && started.elapsed().as_millis() < 10_500 {
        thread::sleep(STEP);
        ended = read_available(&mut stream, &mut answer);
    }
    let text = String::from_utf8_lossy(&answer).into_owned();
    seen.status = text
        .split(' ')
        .nth(1)
        .and_then(|code| code.parse().ok())
        .unwrap_or(0);
    seen.has_signature = text.to_ascii_lowercase().contains("x-response-signature:");
    ended.unwrap_or_else(|| "connection open".to_owned())
}

fn is_complete(answer: &[u8]) -> bool {
    answer.ends_with(b"taken")
}

/// Reads what has arrived; returns how the connection ended if it has.
fn read_available(stream: &mut net::TcpStream, answer: &mut Vec<u8>) -> Option<String> {
    let mut part = [0; 4096];
    stream.set_nonblocking(true).ok()?;
    let read = stream.read(&mut part);
    stream.set_nonblocking(false).ok()?;
    match read {
        Ok(0) => Some("connection closed by the machine".to_owned()),
        Ok(count) => {
            answer.extend_from_slice(&part[..count]);
            None
        }
        Err(err) if err.kind() == std::io::ErrorKind::WouldBlock => None,
        Err(err) => Some(format!("connection failed: {err}")),
    }
}

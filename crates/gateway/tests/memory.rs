//! Test of the memory that servers can make the process hold. It has a file, and so a process, of
//! its own, since it measures the whole process.

use nutmegdale_base::class;
use std::fs;
use std::sync;
use std::time;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

mod stub;

use stub::raw::{Output, RawServer, id_of, is_health_check};

/// Memory of the smallest VM that the system runs on.
const VM_BYTES: u64 = 160_000_000;
/// Number of servers that write without end.
const SERVERS_COUNT: usize = 100;
/// Number of callers at the same time.
const CALLERS_COUNT: usize = 400;
/// Number of requests that each caller sends one after the other.
const REQUESTS_COUNT: usize = 3;
/// Time after which a caller that reads nothing of its response closes the connection; it exceeds the
/// timeout of the requests.
const CALLER_STALL: time::Duration = time::Duration::from_millis(1_200);

/// Interval between requests for the other service.
const OTHER_INTERVAL: time::Duration = time::Duration::from_millis(100);

/// Returns the peak of the physical memory of this process, in bytes.
fn peak_bytes() -> u64 {
    let status = fs::read_to_string("/proc/self/status").expect("a status");
    let line = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
    let kilobytes = line.expect("a peak").trim().trim_end_matches(" kB");
    kilobytes.parse::<u64>().expect("a number") * 1_024
}

/// Sends a request and closes the connection after a while, without reading the response.
async fn call_and_stall(harness: &stub::Harness, id: &str) {
    let stream = TcpStream::connect(harness.address()).await;
    let mut stream = stream.expect("a gateway");
    let req =
        format!("POST /path/x HTTP/1.1\r\nhost: host\r\nid: {id}\r\ncontent-length: 4\r\n\r\nbody");
    let written = stream.write_all(req.as_bytes()).await;
    written.expect("the gateway reads a request");
    tokio::time::sleep(CALLER_STALL).await;
}

/// Returns a response to a request, or to a health check, which has no identifier.
fn ok(head: &str) -> Output {
    let id = match is_health_check(head) {
        true => String::new(),
        false => format!("signed: 1\r\nid: {}\r\n", id_of(head)),
    };
    Output::Bytes(format!(
        "HTTP/1.1 200 OK\r\n{id}content-length: 2\r\n\r\nok"
    ))
}

/// Runs all callers against servers that answer health checks and, with `respond`, requests, beside
/// another service whose requests must be served; returns the peak of the memory.
async fn peak_with(respond: impl Fn(&str) -> Output + Send + Sync + Clone + 'static) -> u64 {
    let written = sync::Arc::default();
    let mut addresses = Vec::new();
    for _ in 0..SERVERS_COUNT {
        let respond = respond.clone();
        let respond = move |_: usize, head: &str| match is_health_check(head) {
            true => ok(head),
            false => respond(head),
        };
        addresses.push(RawServer::start(&written, respond).await.address);
    }
    let other = RawServer::start(&written, |_, head| ok(head)).await;
    let mut harness = stub::Harness::start_with(class::Class::UrgentLookup, &addresses).await;
    harness.add_other_service(other.address);
    let harness = sync::Arc::new(harness);
    let callers = (0..CALLERS_COUNT).map(|caller| {
        let harness = sync::Arc::clone(&harness);
        tokio::spawn(async move {
            for n in 0..REQUESTS_COUNT {
                call_and_stall(&harness, &format!("{caller}-{n}")).await;
            }
        })
    });
    let callers: Vec<_> = callers.collect();
    let (mut sent_count, mut served_count) = (0, 0);
    while callers.iter().any(|caller| !caller.is_finished()) {
        let response = harness.try_send_to("/other/x", "other").await;
        sent_count += 1;
        served_count += u32::from(response.is_ok_and(|response| response.status == 200));
        tokio::time::sleep(OTHER_INTERVAL).await;
    }
    assert!(
        2 * served_count > sent_count,
        "{served_count} of {sent_count} other requests were served"
    );
    peak_bytes()
}

/// Guards against servers that write without end until the process has used up the memory of its VM,
/// with which the requests of all other callers end: each connection held a head of up to 400 KB, or
/// 1 MiB of a body, whatever their number.
#[tokio::test(flavor = "multi_thread")]
async fn endless_responses_do_not_use_up_the_memory() {
    let head = |_: &str| {
        let first = "HTTP/1.1 200 OK\r\nx: ".to_owned();
        Output::Endless(first, "x".to_owned())
    };
    let peak = peak_with(head).await;
    assert!(peak < VM_BYTES, "{peak} bytes with endless heads");
    let chunks = |head: &str| {
        let first = format!(
            "HTTP/1.1 200 OK\r\nsigned: 1\r\nid: {}\r\ntransfer-encoding: chunked\r\n\r\n",
            id_of(head)
        );
        let chunk = format!("1000\r\n{}\r\n", "x".repeat(0x1000));
        Output::Endless(first, chunk)
    };
    let peak = peak_with(chunks).await;
    println!("peak: {peak} bytes");
    assert!(peak < VM_BYTES, "{peak} bytes with endless bodies");
}

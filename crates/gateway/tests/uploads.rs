//! Tests of large bodies of one-time requests, over loopback connections. A fault here runs a request
//! twice, cuts its body, or holds up other requests.

mod stub;

use nutmegdale_base::class;
use nutmegdale_gateway::buffer;
use std::collections;
use std::net;
use std::sync;
use std::time;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

const SIZES: [usize; 2] = [60_000, 360_000];
const MARK: &str = "HTTP/1.1 200 OK\r\nsigned: 1\r\ncontent-length: 2\r\n";
/// Time for which a server does not read on after an early response.
const PAUSE: time::Duration = time::Duration::from_millis(150);
/// Time for a request that nothing holds up.
const SOON: time::Duration = time::Duration::from_millis(120);

#[derive(Debug, Clone, Copy, PartialEq)]
enum Server {
    /// Reads the body, then responds.
    Usual,
    /// Responds to the head, then reads the body after a pause.
    Early,
    /// Responds to the head that it does not run the request, then reads what comes.
    Refusing,
    /// Closes the connection in the middle of the body.
    Resetting,
}

/// Bodies received, by identifier of their request.
type Bodies = sync::Arc<sync::Mutex<collections::HashMap<String, Vec<Vec<u8>>>>>;

fn body_of(size: usize) -> Vec<u8> {
    (0..size).map(|n| (n % 251) as u8).collect()
}

/// Reads the head of a request; returns it and the first bytes behind it.
async fn read_head(stream: &mut TcpStream) -> Option<(String, Vec<u8>)> {
    let mut bytes = Vec::new();
    loop {
        if let Some(end) = bytes.windows(4).position(|four| four == b"\r\n\r\n") {
            let rest = bytes.split_off(end + 4);
            return Some((String::from_utf8_lossy(&bytes).to_lowercase(), rest));
        }
        if stream.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
    }
}

fn field<'a>(head: &'a str, name: &str) -> &'a str {
    let value = head.lines().find_map(|line| line.strip_prefix(name));
    value.unwrap_or("").trim()
}

fn record(bodies: &Bodies, id: String, body: Vec<u8>) {
    let mut bodies = bodies.lock().expect("no panic");
    bodies.entry(id).or_default().push(body);
}

async fn serve(kind: Server, mut stream: TcpStream, bodies: Bodies) -> Option<()> {
    let mut next = Vec::new();
    loop {
        assert!(next.is_empty(), "bytes behind a request: {}", next.len());
        let (head, mut body) = read_head(&mut stream).await?;
        let id = field(&head, "id:").to_owned();
        if id.is_empty() {
            let health = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
            stream.write_all(health.as_bytes()).await.ok()?;
            continue;
        }
        let size: usize = field(&head, "content-length:").parse().unwrap_or(0);
        let is_large = size > 1_000;
        let answer = match kind {
            Server::Refusing if is_large => {
                format!("HTTP/1.1 503 No\r\nnot-run: 1\r\ncontent-length: 0\r\nid: {id}\r\n\r\n")
            }
            _ => format!("{MARK}id: {id}\r\n\r\nok"),
        };
        let is_early = is_large && matches!(kind, Server::Early | Server::Refusing);
        if is_early {
            stream.write_all(answer.as_bytes()).await.ok()?;
            tokio::time::sleep(PAUSE).await;
        }
        let is_resetting = is_large && kind == Server::Resetting;
        let wanted = if is_resetting { size / 2 } else { size };
        while body.len() < wanted && stream.read_buf(&mut body).await.is_ok_and(|n| n > 0) {}
        if !is_resetting {
            next = body.split_off(size.min(body.len()));
        }
        record(&bodies, id, body);
        if is_resetting {
            return None;
        }
        if !is_early {
            stream.write_all(answer.as_bytes()).await.ok()?;
        }
    }
}

async fn start_server(kind: Server, bodies: &Bodies) -> net::SocketAddr {
    let socket = TcpSocket::new_v4().expect("a socket");
    // The body must not fit into the buffers between gateway and server.
    socket.set_recv_buffer_size(8 * 1024).expect("a socket");
    socket
        .bind("127.0.0.1:0".parse().expect("valid"))
        .expect("a free port");
    let listener = socket.listen(64).expect("a listener");
    let address = listener.local_addr().expect("an address");
    let bodies = sync::Arc::clone(bodies);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(kind, stream, sync::Arc::clone(&bodies)));
        }
    });
    address
}

async fn start(kinds: &[Server]) -> (stub::Harness, Bodies) {
    let bodies = Bodies::default();
    let mut addresses = Vec::new();
    for kind in kinds {
        addresses.push(start_server(*kind, &bodies).await);
    }
    let class = class::Class::OneTimeFiling;
    let mut harness = stub::Harness::start_with(class, &addresses).await;
    harness.set_body_max(1_000_000);
    (harness, bodies)
}

/// Sends a request with a body; returns the status of the response and the time until it came.
async fn post(harness: &stub::Harness, id: &str, size: usize) -> (u16, time::Duration) {
    let begin = time::Instant::now();
    let mut stream = TcpStream::connect(harness.address())
        .await
        .expect("a gateway");
    let head = format!(
        "POST /path/x HTTP/1.1\r\nhost: host\r\nid: {id}\r\ncontent-length: {size}\r\n\r\n"
    );
    let message = [head.into_bytes(), body_of(size)].concat();
    stream.write_all(&message).await.expect("the gateway reads");
    let (head, _) = read_head(&mut stream).await.expect("a response");
    let status = head.split(' ').nth(1).expect("a status");
    (status.parse().expect("a number"), begin.elapsed())
}

/// Returns the bodies received for a request.
fn received(bodies: &Bodies, id: &str) -> Vec<Vec<u8>> {
    let bodies = bodies.lock().expect("no panic");
    bodies.get(id).cloned().unwrap_or_default()
}

/// Uses up the memory for buffers.
fn exhaust(harness: &stub::Harness) -> Vec<buffer::Reservation> {
    let mut reservations = Vec::new();
    loop {
        let mut reservation = buffer::Reservation::new(harness.buffer_budget());
        if !reservation.extend_to(buffer::FREE_BYTES + 64 * 1024) {
            return reservations;
        }
        reservations.push(reservation);
    }
}

/// Guards against bodies that are cut, sent twice or left out of the costs when they are streamed,
/// since no memory is left to hold them.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn body_arrives_whole_and_once_with_and_without_memory() {
    for size in SIZES {
        let (harness, bodies) = start(&[Server::Usual, Server::Usual]).await;
        assert_eq!(post(&harness, "buffered", size).await.0, 200);
        let reservations = exhaust(&harness);
        assert_eq!(post(&harness, "streamed", size).await.0, 200);
        drop(reservations);
        for id in ["buffered", "streamed"] {
            let received = received(&bodies, id);
            assert_eq!(received.len(), 1, "{id}");
            assert!(received[0] == body_of(size), "{id}: {}", received[0].len());
        }
        let sent =
            "nutmegdale_server_bytes_total{direction=\"sent\",kind=\"request\",link=\"zone\"}";
        assert!(harness.metric(sent) >= 2 * size as u64);
    }
}

/// Guards against a body that is cut when its response comes early, and against requests that wait
/// for a connection that still sends it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn early_response_cuts_no_body_and_holds_up_no_other_request() {
    for is_exhausted in [false, true] {
        let (harness, bodies) = start(&[Server::Early]).await;
        let reservations = is_exhausted.then(|| exhaust(&harness));
        let (status, _) = post(&harness, "large", SIZES[1]).await;
        assert_eq!(status, 200);
        let (status, took) = post(&harness, "small", 10).await;
        assert_eq!(status, 200);
        assert!(took < SOON, "{took:?}");
        tokio::time::sleep(2 * PAUSE).await;
        let received = received(&bodies, "large");
        assert_eq!(received.len(), 1);
        assert!(received[0] == body_of(SIZES[1]), "{}", received[0].len());
        drop(reservations);
    }
}

/// Guards against a refused body that goes on to take the link, and against a refusal after which the
/// next server gets only a part.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn refused_body_stops_and_goes_whole_to_another_server() {
    let (harness, bodies) = start(&[Server::Refusing, Server::Usual]).await;
    let mut cut_count = 0;
    for n in 0..6 {
        let id = format!("r{n}");
        assert_eq!(post(&harness, &id, SIZES[1]).await.0, 200);
        tokio::time::sleep(2 * PAUSE).await;
        let received = received(&bodies, &id);
        let whole = received.iter().filter(|body| **body == body_of(SIZES[1]));
        assert_eq!(whole.count(), 1, "{id} runs once");
        cut_count += received.len() - 1;
    }
    assert!(cut_count > 0, "no body was refused");
}

/// Guards against a request that is sent again after its server broke off in the middle of its body.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn body_that_breaks_off_is_not_sent_again() {
    for is_exhausted in [false, true] {
        let (harness, bodies) = start(&[Server::Resetting, Server::Resetting]).await;
        let reservations = is_exhausted.then(|| exhaust(&harness));
        assert_eq!(post(&harness, "r", SIZES[1]).await.0, 502);
        assert_eq!(received(&bodies, "r").len(), 1);
        drop(reservations);
    }
}

/// Guards against large bodies that hold up the small requests of their process.
#[tokio::test]
async fn small_requests_are_served_beside_large_bodies() {
    let (harness, _) = start(&[Server::Usual; 4]).await;
    let harness = sync::Arc::new(harness);
    let mut took = Vec::new();
    for n in 0..40 {
        took.push(post(&harness, &format!("alone{n}"), 10).await.1);
    }
    took.sort();
    println!("alone: p50 {:?} p95 {:?}", took[20], took[38]);
    let large = (0..8).map(|n| {
        let harness = sync::Arc::clone(&harness);
        tokio::spawn(async move {
            for m in 0..5 {
                post(&harness, &format!("large{n}-{m}"), SIZES[1]).await;
            }
        })
    });
    let large: Vec<_> = large.collect();
    let mut took = Vec::new();
    while large.iter().any(|task| !task.is_finished()) {
        took.push(post(&harness, &format!("beside{}", took.len()), 10).await.1);
    }
    took.sort();
    let (median, late) = (took[took.len() / 2], took[took.len() * 95 / 100]);
    println!("beside: {} p50 {median:?} p95 {late:?}", took.len());
    assert!(median < SOON, "{median:?}");
}

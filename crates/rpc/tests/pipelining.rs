//! Tests of pipelined requests: responses in order, work beside each other, and connections that end
//! in between. A fault here loses a request, runs it twice or mixes up responses.

use http_body_util::BodyExt;
use hyper::body;
use nutmegdale_base::clock;
use nutmegdale_rpc::listen;
use std::net;
use std::sync;
use std::time;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::sync::watch;

const WORK: time::Duration = time::Duration::from_millis(100);
/// Time in which three requests end beside each other but not one after the other.
const TOGETHER: time::Duration = time::Duration::from_millis(190);

/// What the service did, in order: `begin`, `end` or `drop` and the path.
type Log = sync::Arc<sync::Mutex<Vec<String>>>;

struct Work {
    path: String,
    log: Log,
    is_done: bool,
}

impl Work {
    fn begin(path: &str, log: &Log) -> Work {
        log.lock().expect("no panic").push(format!("begin {path}"));
        Work {
            path: path.to_owned(),
            log: sync::Arc::clone(log),
            is_done: false,
        }
    }

    async fn run(mut self) -> hyper::Response<listen::Body> {
        tokio::time::sleep(WORK).await;
        self.is_done = true;
        let mut response = hyper::Response::new(listen::full(format!("<{}>", self.path)));
        if self.path.contains("close") {
            let close = hyper::header::HeaderValue::from_static("close");
            response.headers_mut().insert("connection", close);
        }
        response
    }
}

impl Drop for Work {
    fn drop(&mut self) {
        let verb = if self.is_done { "end" } else { "drop" };
        let mut log = self.log.lock().expect("no panic");
        log.push(format!("{verb} {}", self.path));
    }
}

/// Works on each request for a while; starts early what has no `turn` in its path.
struct Worker(Log);

impl listen::Service for Worker {
    fn call(
        &self,
        req: hyper::Request<body::Incoming>,
        _: net::SocketAddr,
    ) -> listen::ResponseFuture {
        let log = sync::Arc::clone(&self.0);
        Box::pin(async move {
            let path = req.uri().path().to_owned();
            let work = Work::begin(&path, &log);
            if !path.contains("unread") {
                drop(req.into_body().collect().await);
            }
            work.run().await
        })
    }

    fn call_ahead(
        &self,
        req: &hyper::Request<()>,
        _: net::SocketAddr,
    ) -> Option<listen::ResponseFuture> {
        let path = req.uri().path();
        if path.contains("turn") {
            return None;
        }
        let work = Work::begin(&format!("early {path}"), &self.0);
        Some(Box::pin(work.run()))
    }
}

struct Listener {
    address: net::SocketAddr,
    stop: watch::Sender<bool>,
    log: Log,
}

async fn start() -> Listener {
    let any_port = (net::Ipv4Addr::LOCALHOST, 0).into();
    let listener = listen::bind(any_port).await.expect("address is free");
    let address = listener.local_addr().expect("address is known");
    let (stop, stop_rx) = watch::channel(false);
    let log = Log::default();
    let service = sync::Arc::new(Worker(sync::Arc::clone(&log)));
    let bounds = listen::Bounds::default();
    let drain = clock::Millis(2_000);
    tokio::spawn(listen::serve(listener, service, bounds, stop_rx, drain));
    Listener { address, stop, log }
}

impl Listener {
    async fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address).await;
        let stream = stream.expect("listener accepts");
        stream.set_nodelay(true).expect("a connection");
        stream
    }

    fn count(&self, text: &str) -> usize {
        let log = self.log.lock().expect("no panic");
        log.iter().filter(|line| line.starts_with(text)).count()
    }

    fn log(&self) -> String {
        self.log.lock().expect("no panic").join(", ")
    }
}

fn get(path: &str) -> String {
    format!("GET {path} HTTP/1.1\r\nhost: h\r\nx-key: a b\r\n\r\n")
}

fn post(path: &str, body: &str) -> String {
    let length = body.len();
    format!("POST {path} HTTP/1.1\r\nhost: h\r\ncontent-length: {length}\r\n\r\n{body}")
}

/// Reads until `count` responses have arrived or the connection has ended; returns their paths.
async fn read_paths(stream: &mut TcpStream, count: usize) -> Vec<String> {
    let mut text = String::new();
    let mut buf = [0; 4096];
    while text.matches('>').count() < count {
        let read = tokio::time::timeout(time::Duration::from_secs(5), stream.read(&mut buf));
        match read.await.expect("no response is missing") {
            Ok(0) | Err(_) => break,
            Ok(n) => text.push_str(&String::from_utf8_lossy(&buf[..n])),
        }
    }
    let parts = text.split('<').skip(1);
    parts
        .filter_map(|part| Some(part.split_once('>')?.0.replace("early ", "")))
        .collect()
}

/// Guards against requests that wait for each other, run twice or are answered out of order, however
/// the bytes are cut into segments.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn requests_run_beside_each_other_wherever_segments_end() {
    let text = [get("/1"), get("/2"), get("/3")].concat();
    // The library takes the first 24 bytes to tell the version of the protocol.
    let mut cuts: Vec<usize> = (1..text.len()).step_by(7).collect();
    cuts.extend([23, 24, 25, get("/1").len() - 1, get("/1").len(), text.len()]);
    let runs = cuts.into_iter().map(|cut| {
        let text = text.clone();
        async move {
            let listener = start().await;
            let mut stream = listener.connect().await;
            let begin = time::Instant::now();
            let (first, second) = text.split_at(cut);
            for part in [first, second] {
                stream.write_all(part.as_bytes()).await.expect("connected");
                tokio::time::sleep(time::Duration::from_millis(10)).await;
            }
            let paths = read_paths(&mut stream, 3).await;
            assert_eq!(paths, ["/1", "/2", "/3"], "cut at {cut}");
            assert!(
                begin.elapsed() < TOGETHER,
                "cut at {cut}: {:?}",
                begin.elapsed()
            );
            assert_eq!(
                listener.count("begin"),
                3,
                "cut at {cut}: {}",
                listener.log()
            );
            assert_eq!(listener.count("begin early"), 2);
        }
    });
    futures_util::future::join_all(runs).await;
}

/// Guards against a read-ahead that takes a body for a request, passes a POST or what is behind it,
/// or stays blocked after it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn body_in_between_is_skipped_and_holds_back_what_is_behind() {
    let listener = start().await;
    let mut stream = listener.connect().await;
    let hidden = get("/hidden").repeat(300);
    let parts = [
        post("/p1", &hidden),
        get("/2"),
        get("/3"),
        post("/p4", &hidden),
        get("/5"),
        get("/6-turn"),
        get("/7"),
        get("/8"),
    ];
    let begin = time::Instant::now();
    stream
        .write_all(parts.concat().as_bytes())
        .await
        .expect("connected");
    let paths = read_paths(&mut stream, 8).await;
    assert_eq!(
        paths,
        ["/p1", "/2", "/3", "/p4", "/5", "/6-turn", "/7", "/8"]
    );
    // Five steps: p1; 2 and 3; p4; 5; 6 with 7 and 8.
    assert!(begin.elapsed() >= 5 * WORK, "{:?}", begin.elapsed());
    let log = listener.log();
    assert_eq!(listener.count("begin"), 8, "{log}");
    for early in ["begin early /3", "begin early /7", "begin early /8"] {
        assert_eq!(listener.count(early), 1, "{log}");
    }
    assert_eq!(listener.count("begin early"), 3, "{log}");
}

/// Guards against a chunked body that is taken for requests: the connection is served in turn.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn chunked_body_ends_reading_ahead() {
    let listener = start().await;
    let mut stream = listener.connect().await;
    let hidden = get("/hidden");
    let chunked = format!(
        "POST /c HTTP/1.1\r\nhost: h\r\ntransfer-encoding: chunked\r\n\r\n{:x}\r\n{hidden}\r\n0\r\n\r\n",
        hidden.len()
    );
    let text = [get("/1"), chunked, get("/2"), get("/3")].concat();
    stream.write_all(text.as_bytes()).await.expect("connected");
    assert_eq!(read_paths(&mut stream, 4).await, ["/1", "/c", "/2", "/3"]);
    assert_eq!(listener.count("begin early"), 0, "{}", listener.log());
    assert_eq!(listener.count("begin"), 4);
}

/// Guards against a response that closes the connection while requests behind it run, and against
/// work that starts behind it.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn close_waits_for_the_requests_that_were_started() {
    let listener = start().await;
    let mut stream = listener.connect().await;
    let text = [get("/close"), get("/2"), get("/3")].concat();
    stream.write_all(text.as_bytes()).await.expect("connected");
    tokio::time::sleep(WORK + WORK / 2).await;
    let late = stream.write_all(get("/4").as_bytes()).await;
    drop(late);
    assert_eq!(read_paths(&mut stream, 4).await, ["/close", "/2", "/3"]);
    assert_eq!(listener.count("begin"), 3, "{}", listener.log());
    assert_eq!(listener.count("drop"), 0);
}

/// Guards against a request behind one that asks for the end of the connection, which would run and
/// never be answered.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn nothing_starts_behind_a_request_that_ends_the_connection() {
    for last in 0..2 {
        let listener = start().await;
        let mut stream = listener.connect().await;
        let closing = "GET /last HTTP/1.1\r\nhost: h\r\nconnection: close\r\n\r\n".to_owned();
        let mut parts = vec![get("/1"); last];
        parts.extend([closing, get("/never")]);
        stream
            .write_all(parts.concat().as_bytes())
            .await
            .expect("connected");
        let paths = read_paths(&mut stream, 9).await;
        assert_eq!(paths.len(), last + 1);
        assert_eq!(listener.count("begin early"), last, "{}", listener.log());
        assert_eq!(listener.count("begin"), last + 1);
    }
}

/// Guards against a response that is not read to the end of its request's body and closes the
/// connection although requests behind it run.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn unread_body_takes_no_started_request_with_it() {
    let listener = start().await;
    let mut stream = listener.connect().await;
    let text = [get("/1"), post("/unread", &"x".repeat(200_000)), get("/3")].concat();
    let write = async {
        drop(stream.write_all(text.as_bytes()).await);
        read_paths(&mut stream, 3).await
    };
    let paths = write.await;
    assert_eq!(paths[..1], ["/1"]);
    assert_eq!(listener.count("begin early"), 0, "{}", listener.log());
}

/// Guards against work that goes on for a caller who has left, also when more requests than run
/// ahead are on the connection.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn all_requests_of_a_caller_that_leaves_are_dropped() {
    for count in [2, 3, 20] {
        let listener = start().await;
        let mut stream = listener.connect().await;
        let text = get("/x").repeat(count);
        stream.write_all(text.as_bytes()).await.expect("connected");
        tokio::time::sleep(WORK / 2).await;
        let begun = listener.count("begin");
        assert_eq!(begun, count.min(9), "one in its turn and eight ahead");
        drop(stream);
        tokio::time::sleep(WORK / 4).await;
        assert_eq!(listener.count("drop"), begun, "{}", listener.log());
        assert_eq!(listener.count("begin"), begun);
    }
}

/// Guards against requests behind the eighth that are lost or run twice, and against responses in
/// progress that are lost when the process stops.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn many_requests_are_all_answered_and_a_stop_ends_with_those_started() {
    let listener = start().await;
    let mut stream = listener.connect().await;
    let text: String = (0..40).map(|n| get(&format!("/{n}"))).collect();
    stream.write_all(text.as_bytes()).await.expect("connected");
    let expected: Vec<_> = (0..40).map(|n| format!("/{n}")).collect();
    assert_eq!(read_paths(&mut stream, 40).await, expected);
    assert_eq!(listener.count("begin"), 40);

    let text = [get("/a"), get("/b"), get("/c")].concat();
    stream.write_all(text.as_bytes()).await.expect("connected");
    tokio::time::sleep(WORK / 2).await;
    listener.stop.send_replace(true);
    tokio::time::sleep(WORK / 5).await;
    drop(stream.write_all(get("/d").as_bytes()).await);
    assert_eq!(read_paths(&mut stream, 4).await, ["/a", "/b", "/c"]);
    assert_eq!(listener.count("begin"), 43, "{}", listener.log());
    assert_eq!(listener.count("drop"), 0);
}

/// Guards against bytes that are lost, repeated or passed on as part of the wrong request where a head
/// or body is cut, also when the head misleads the search for the length of its body.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn body_is_skipped_wherever_segments_end() {
    let misleading = "POST /p HTTP/1.1\r\nhost: h\r\nx: y\r\ntransfer-encoding: chunked\r\n\
                      content-length : 9\r\n\r\n4\r\nbody\r\n0\r\n\r\n";
    let text = [post("/p", &get("/hidden")), get("/2"), get("/3")].concat();
    let runs = (1..text.len()).step_by(5).map(|cut| {
        let text = text.clone();
        async move {
            let listener = start().await;
            let mut stream = listener.connect().await;
            let (first, second) = text.split_at(cut);
            for part in [first, second] {
                stream.write_all(part.as_bytes()).await.expect("connected");
                tokio::time::sleep(time::Duration::from_millis(10)).await;
            }
            assert_eq!(
                read_paths(&mut stream, 3).await,
                ["/p", "/2", "/3"],
                "cut at {cut}"
            );
            assert_eq!(
                listener.count("begin"),
                3,
                "cut at {cut}: {}",
                listener.log()
            );
        }
    });
    futures_util::future::join_all(runs).await;
    let listener = start().await;
    let mut stream = listener.connect().await;
    let text = [misleading.to_owned(), get("/2")].concat();
    stream.write_all(text.as_bytes()).await.expect("connected");
    let paths = read_paths(&mut stream, 2).await;
    assert!(paths.is_empty(), "ambiguous framing is refused: {paths:?}");
    assert_eq!(listener.count("begin"), 0, "{}", listener.log());
}

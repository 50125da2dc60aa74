//! Clock that a test moves forward, log that it reads, and servers that keep what they receive.

use hyper::{body, header};
use hyper_util::rt;
use nutmegdale_base::clock;
use nutmegdale_rpc::listen;
use nutmegdale_telemetry::clock as telemetry_clock;
use std::convert;
use std::fmt;
use std::net;
use std::sync;
use std::sync::atomic;
use tokio::net::TcpListener;

/// Clock of the system, plus the time for which the VM is said to have been suspended.
pub(crate) struct ShiftedClock {
    system: telemetry_clock::SystemClock,
    shift_ms: atomic::AtomicU64,
}

impl ShiftedClock {
    pub(crate) fn start() -> ShiftedClock {
        ShiftedClock {
            system: telemetry_clock::SystemClock::start(),
            shift_ms: atomic::AtomicU64::new(0),
        }
    }

    /// Moves the clock forward.
    pub(crate) fn advance(&self, span: clock::Millis) {
        self.shift_ms.fetch_add(span.0, atomic::Ordering::SeqCst);
    }
}

impl clock::Clock for ShiftedClock {
    fn now(&self) -> clock::Millis {
        self.system.now() + clock::Millis(self.shift_ms.load(atomic::Ordering::SeqCst))
    }
}

/// Text of all log lines.
#[derive(Debug, Clone, Default)]
pub(crate) struct LogText(sync::Arc<sync::Mutex<String>>);

impl LogText {
    pub(crate) fn logger(&self) -> slog::Logger {
        slog::Logger::root(slog::Fuse(self.clone()), slog::o!())
    }

    pub(crate) fn text(&self) -> String {
        self.0.lock().expect("no logger panicked").clone()
    }

    fn push(&self, text: &str) {
        self.0.lock().expect("no logger panicked").push_str(text);
    }
}

impl slog::Drain for LogText {
    type Ok = ();
    type Err = slog::Error;

    fn log(
        &self,
        record: &slog::Record<'_>,
        values: &slog::OwnedKVList,
    ) -> Result<(), slog::Error> {
        use slog::KV;
        self.push(&format!("{}", record.msg()));
        let mut fields = self.clone();
        record.kv().serialize(record, &mut fields)?;
        values.serialize(record, &mut fields)?;
        self.push("\n");
        Ok(())
    }
}

impl slog::Serializer for LogText {
    fn emit_arguments(&mut self, key: slog::Key, value: &fmt::Arguments<'_>) -> slog::Result {
        self.push(&format!(" {key}={value}"));
        Ok(())
    }
}

/// How a recording server answers requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Answer {
    /// With a complete response.
    Complete,
    /// With a complete response after 500 ms.
    Late,
    /// By stating that it did not run the request.
    NotRun,
}

/// Heads of all requests that the recording servers received, except for health checks.
pub(crate) type Heads = sync::Arc<sync::Mutex<Vec<header::HeaderMap>>>;

/// Starts a server that records heads and returns its address.
pub(crate) async fn recording_server(answer: Answer, heads: &Heads) -> net::SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let heads = sync::Arc::clone(heads);
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let heads = sync::Arc::clone(&heads);
            let respond = move |req| respond(answer, sync::Arc::clone(&heads), req);
            let service = hyper::service::service_fn(respond);
            let io = rt::TokioIo::new(stream);
            tokio::spawn(hyper::server::conn::http1::Builder::new().serve_connection(io, service));
        }
    });
    address
}

async fn respond(
    answer: Answer,
    heads: Heads,
    req: hyper::Request<body::Incoming>,
) -> Result<hyper::Response<listen::Body>, convert::Infallible> {
    if req.uri().path() == "/health" {
        // Hedges go only to servers that report free slots.
        let response = hyper::Response::builder().header("load", "0 0 4 100");
        return Ok(response.body(listen::full("")).expect("a valid response"));
    }
    let head = req.headers().clone();
    let id = head["id"].clone();
    heads.lock().expect("no server panicked").push(head);
    if answer == Answer::Late {
        tokio::time::sleep(std::time::Duration::from_millis(500)).await;
    }
    let response = hyper::Response::builder().header("id", id);
    let response = match answer {
        Answer::NotRun => response.header("not-run", "1").status(503),
        Answer::Complete | Answer::Late => response.header("signed", "1"),
    };
    Ok(response.body(listen::full("")).expect("a valid response"))
}

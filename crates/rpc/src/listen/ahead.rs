//! Work on pipelined requests that runs before the HTTP library delivers them.
//!
//! Only the task of the connection uses the queue, from several places. Without pipelining it is
//! never locked: a counter tells that it is empty.

use super::{Body, ResponseFuture, Service, activity};
use hyper::{body, header};
use std::collections;
use std::net;
use std::sync;
use std::sync::atomic;
use std::task;

/// Maximum number of requests of one connection that run ahead of the one being served.
pub(super) const AHEAD_MAX_COUNT: usize = 8;

/// Response that is computed by a task, which ends when this is dropped.
#[derive(Debug)]
struct Running(tokio::task::JoinHandle<hyper::Response<Body>>);

impl Drop for Running {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Running {
    async fn response(mut self) -> hyper::Response<Body> {
        match (&mut self.0).await {
            Ok(response) => response,
            // A panic ends the connection, as it does in a request that is not pipelined.
            Err(err) if err.is_panic() => std::panic::resume_unwind(err.into_panic()),
            // The runtime is shutting down.
            Err(_) => std::future::pending().await,
        }
    }
}

/// Request whose work was started early.
#[derive(Debug)]
struct Entry {
    /// Number of the request on its connection, from 1.
    number: u64,
    head: hyper::Request<()>,
    running: Running,
}

/// Work of one connection that was started early, in the order of the requests.
#[allow(missing_debug_implementations)] // Holds a trait object.
pub(super) struct Ahead {
    service: sync::Arc<dyn Service>,
    client: net::SocketAddr,
    pub(super) activity: sync::Arc<activity::Activity>,
    entries: sync::Mutex<collections::VecDeque<Entry>>,
    count: atomic::AtomicUsize,
    /// Whether no more work is started, and the last request in the queue closes the connection.
    is_closing: atomic::AtomicBool,
}

impl Ahead {
    pub(super) fn new(
        service: sync::Arc<dyn Service>,
        client: net::SocketAddr,
        activity: sync::Arc<activity::Activity>,
    ) -> Ahead {
        Ahead {
            service,
            client,
            activity,
            entries: sync::Mutex::default(),
            count: atomic::AtomicUsize::new(0),
            is_closing: atomic::AtomicBool::new(false),
        }
    }

    fn entries(&self) -> sync::MutexGuard<'_, collections::VecDeque<Entry>> {
        self.entries
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Returns how many requests are in the queue.
    pub(super) fn count(&self) -> usize {
        self.count.load(atomic::Ordering::Relaxed)
    }

    /// Starts no more work from now on.
    pub(super) fn close(&self) {
        self.is_closing.store(true, atomic::Ordering::Relaxed);
    }

    /// Returns whether the service may start the work of another request.
    pub(super) fn may_start(&self) -> bool {
        self.count() < AHEAD_MAX_COUNT && !self.is_closing.load(atomic::Ordering::Relaxed)
    }

    /// Starts the work of a request if the service agrees; returns whether it did.
    pub(super) fn try_start(&self, req: hyper::Request<()>) -> bool {
        let Some(work) = self.service.call_ahead(&req, self.client) else {
            return false;
        };
        let running = Running(tokio::spawn(work));
        let mut entries = self.entries();
        let number = self.activity.started_count() + entries.len() as u64 + 1;
        entries.push_back(Entry {
            number,
            head: req,
            running,
        });
        self.count.store(entries.len(), atomic::Ordering::Relaxed);
        true
    }

    /// Returns the response to the request that was just delivered: of the work that was started
    /// early, or of a new call.
    pub(super) fn call(
        self: &sync::Arc<Ahead>,
        req: hyper::Request<body::Incoming>,
    ) -> ResponseFuture {
        let running = match self.count() {
            0 => None,
            _ => self.take(&req),
        };
        let Some(running) = running else {
            return self.service.call(req, self.client);
        };
        let ahead = sync::Arc::clone(self);
        Box::pin(async move {
            let mut response = running.response().await;
            if ahead.is_closing.load(atomic::Ordering::Relaxed) {
                let close = header::HeaderValue::from_static("close");
                response.headers_mut().insert(header::CONNECTION, close);
            }
            response
        })
    }

    /// Takes the work of the request out of the queue. If the request is not the expected one, all
    /// work is dropped.
    fn take(&self, req: &hyper::Request<body::Incoming>) -> Option<Running> {
        let mut entries = self.entries();
        let entry = entries.pop_front()?;
        let is_same = entry.number == self.activity.started_count()
            && entry.head.method() == req.method()
            && entry.head.uri() == req.uri()
            && entry.head.headers() == req.headers();
        if !is_same {
            entries.clear();
            self.close();
        }
        self.count.store(entries.len(), atomic::Ordering::Relaxed);
        is_same.then_some(entry.running)
    }

    /// Removes `connection: close` from a response while requests behind it are in progress, since
    /// the caller would send them again. The last one carries it.
    pub(super) fn defer_close(&self, response: &mut hyper::Response<Body>) {
        let value = response.headers().get(header::CONNECTION);
        if !value.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close")) {
            return;
        }
        self.close();
        if self.count() > 0 {
            response.headers_mut().remove(header::CONNECTION);
        }
    }

    /// Completes once the queue is empty. It must be polled after the connection in the same task,
    /// which is the only one that changes the queue.
    pub(super) async fn emptied(&self) {
        std::future::poll_fn(|_| match self.count() {
            0 => task::Poll::Ready(()),
            _ => task::Poll::Pending,
        })
        .await;
    }
}

//! Connections of one lane, written by its pacing thread and read by the lane's thread.

use super::{Measurements, Plan, Target, pace, reply};
use crossbeam_queue::SegQueue;
use std::sync;
use std::sync::atomic;
use std::thread;
use std::time;
use tokio::net::TcpStream;

/// Timeout for outstanding answers after the last arrival.
const DRAIN_TIMEOUT: time::Duration = time::Duration::from_secs(5);
/// Size of the read buffer; large, since an export arrives in large chunks.
const READ_BYTES: usize = 64 * 1024;

pub(super) struct Lane {
    pub(super) start: time::Instant,
    is_closed_loop: bool,
    end: time::Duration,
    requests: Vec<Vec<u8>>,
    next_request: atomic::AtomicUsize,
    connections: Vec<Connection>,
    idle: SegQueue<usize>,
    backlog: SegQueue<u64>,
    pending: atomic::AtomicI64,
    measured: sync::Mutex<Measurements>,
}

struct Connection {
    stream: TcpStream,
    /// Arrival time of the request in flight, since the start of the lane.
    arrived_ns: atomic::AtomicU64,
}

impl Lane {
    /// Sends a request with the planned arrival `at`, or queues it if all connections are busy.
    pub(super) fn arrive(&self, at: time::Duration) {
        let now = self.start.elapsed();
        let late = now.saturating_sub(at).as_nanos() as u64;
        self.measured().late_ns.saturating_record(late);
        self.pending.fetch_add(1, atomic::Ordering::SeqCst);
        self.backlog.push(now.as_nanos() as u64);
        if let Some(free) = self.idle.pop() {
            self.send_next(free);
        }
    }

    /// Sends the oldest request of the backlog on a free connection, or marks the connection as idle.
    fn send_next(&self, free: usize) {
        if self.is_closed_loop && self.start.elapsed() < self.end {
            self.pending.fetch_add(1, atomic::Ordering::SeqCst);
            return self.send(free, self.start.elapsed().as_nanos() as u64);
        }
        match self.backlog.pop() {
            Some(arrived_ns) => self.send(free, arrived_ns),
            None => {
                self.idle.push(free);
                // An arrival may have found no idle connection just before this one was pushed.
                if !self.backlog.is_empty()
                    && let Some(free) = self.idle.pop()
                {
                    self.send_next(free);
                }
            }
        }
    }

    fn send(&self, free: usize, arrived_ns: u64) {
        let connection = &self.connections[free];
        connection
            .arrived_ns
            .store(arrived_ns, atomic::Ordering::Release);
        let number = self.next_request.fetch_add(1, atomic::Ordering::Relaxed);
        let req = &self.requests[number % self.requests.len()];
        // The request is small and the connection idle, so the whole request fits its send buffer.
        if !matches!(connection.stream.try_write(req), Ok(n) if n == req.len()) {
            self.fail();
        }
    }

    fn fail(&self) {
        self.measured().failed_count += 1;
        self.pending.fetch_sub(1, atomic::Ordering::SeqCst);
    }

    fn measured(&self) -> sync::MutexGuard<'_, Measurements> {
        self.measured
            .lock()
            .expect("no panic while the lock is held")
    }

    fn finish(&self, number: usize, is_success: bool) {
        if !is_success {
            self.fail();
            return;
        }
        let arrived_ns = self.connections[number]
            .arrived_ns
            .load(atomic::Ordering::Acquire);
        let latency_ns = (self.start.elapsed().as_nanos() as u64).saturating_sub(arrived_ns);
        self.measured().latency_ns.saturating_record(latency_ns);
        self.pending.fetch_sub(1, atomic::Ordering::SeqCst);
    }

    async fn read(&self, number: usize) {
        let stream = &self.connections[number].stream;
        let mut reply = reply::Reply::default();
        let mut buf = vec![0; READ_BYTES];
        while stream.readable().await.is_ok() {
            let count = match stream.try_read(&mut buf) {
                Ok(0) => return,
                Ok(count) => count,
                Err(err) if err.kind() == std::io::ErrorKind::WouldBlock => continue,
                Err(_) => return,
            };
            self.measured().body_bytes += count as u64;
            match reply.consume(&buf[..count]) {
                reply::Step::Incomplete => {}
                reply::Step::Complete(is_success) => {
                    self.finish(number, is_success);
                    self.send_next(number);
                }
                reply::Step::Invalid => {
                    self.finish(number, false);
                    return;
                }
            }
        }
    }
}

/// Runs one lane on the calling thread and a pacing thread.
pub(super) fn run(target: &Target, plan: &Plan, number: usize) -> Measurements {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .expect("runtime can be built");
    runtime.block_on(async {
        let count = (plan.connections_count / plan.lanes_count).max(1);
        let lane = sync::Arc::new(connect(target, plan, number, count).await);
        let readers: Vec<_> = (0..count)
            .map(|n| {
                let lane = sync::Arc::clone(&lane);
                tokio::spawn(async move { lane.read(n).await })
            })
            .collect();
        if lane.is_closed_loop {
            while let Some(free) = lane.idle.pop() {
                lane.send_next(free);
            }
        } else {
            let rate = plan.rate / plan.lanes_count as f64;
            let arrivals = pace::Arrivals::new(rate, plan.seed ^ number as u64);
            let paced = sync::Arc::clone(&lane);
            let pacer = thread::spawn(move || pace::run(&paced, arrivals, paced.end));
            wait_until(|| pacer.is_finished(), plan.time * 2).await;
        }
        let is_done = || lane.pending.load(atomic::Ordering::SeqCst) == 0;
        let is_over = || lane.start.elapsed() >= lane.end && is_done();
        wait_until(is_over, plan.time + DRAIN_TIMEOUT).await;
        let mut measured = std::mem::take(&mut *lane.measured());
        measured.elapsed = lane.start.elapsed();
        let unanswered = lane.pending.load(atomic::Ordering::SeqCst).max(0);
        measured.failed_count += unanswered.unsigned_abs();
        readers.iter().for_each(tokio::task::JoinHandle::abort);
        measured
    })
}

async fn wait_until(is_met: impl Fn() -> bool, limit: time::Duration) {
    let start = time::Instant::now();
    while !is_met() && start.elapsed() < limit {
        tokio::time::sleep(time::Duration::from_millis(5)).await;
    }
}

async fn connect(target: &Target, plan: &Plan, number: usize, count: usize) -> Lane {
    let mut connections = Vec::new();
    for n in 0..count {
        let peer = target.peers[(number * count + n) % target.peers.len()];
        let stream = TcpStream::connect(peer).await.expect("peer accepts");
        stream.set_nodelay(true).expect("option can be set");
        connections.push(Connection {
            stream,
            arrived_ns: atomic::AtomicU64::new(0),
        });
    }
    let idle = SegQueue::new();
    (0..count).for_each(|n| idle.push(n));
    Lane {
        start: time::Instant::now(),
        is_closed_loop: plan.rate == 0.0,
        end: plan.time,
        requests: target.requests.clone(),
        next_request: atomic::AtomicUsize::new(number),
        connections,
        idle,
        backlog: SegQueue::new(),
        pending: atomic::AtomicI64::new(0),
        measured: sync::Mutex::new(Measurements::new()),
    }
}

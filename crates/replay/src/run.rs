//! Discrete-event simulation of a trace with the real decision code.

mod faults;

use crate::entry;
use crate::outcome;
use crate::plan;
use crate::server;
use crate::trace;
use nutmegdale_base::entity::EntityRef;
use nutmegdale_base::rng::{Rng, SplitMix64};
use nutmegdale_base::{class, clock, entity};
use nutmegdale_choice::{policy, report};
use nutmegdale_grants::{message, table};
use std::cmp;
use std::collections;

/// One-way network latency within a zone, within a region and between regions.
const NETWORK_LATENCY_US: [u64; 3] = [100, 1_500, 8_000];
/// Least time until an announcement reaches an entry process: from the server to one of them, to the
/// hub, and from there to all. The most is twice as long.
const ANNOUNCEMENT_DELAY_US: u64 = 30_000;
/// Pause between two syncs.
const SYNC_PAUSE_US: u64 = 500_000;
/// Time for which a cancelled request still counts against the lease of a cold server.
const CANCEL_LINGER_US: u64 = 1_000_000;
/// Limit on the sends of one request, the first included.
const SENDS_MAX_COUNT: usize = 3;
/// Size of the load report on an answer, of a probe with its answer, and of a sync with its answer.
const REPORT_BYTES: u64 = 64;
const PROBE_BYTES: u64 = 300;
const SYNC_BYTES: u64 = 700;

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive {
        entry: usize,
        class: class::Class,
    },
    AtServer(server::SendId),
    Finish(server::SendId),
    Answer(server::SendId, Status, Option<(u32, u32, bool)>),
    Hedge(usize),
    Cancel(server::SendId),
    LeaseEnd {
        entry: usize,
        server: usize,
    },
    Deadline(usize),
    Sync(usize),
    SyncAtLeader(usize),
    SyncAnswer {
        entry: usize,
        granted: Vec<(String, message::GrantId)>,
    },
    ReportedCold(usize),
    UpdateServer {
        entry: usize,
        server: usize,
        state: entry::ServerState,
    },
    ProbeAtServer {
        entry: usize,
        server: usize,
    },
    ProbeAnswer {
        entry: usize,
        server: usize,
        running: u32,
        waiting: u32,
    },
    Trace(usize),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Status {
    Ok,
    Failed,
    Refused,
}

#[derive(Debug)]
struct Request {
    entry: usize,
    class: class::Class,
    start_us: u64,
    sends: Vec<server::SendId>,
    is_done: bool,
}

#[derive(Debug)]
struct Send {
    request: usize,
    entry: usize,
    server: usize,
    has_lease: bool,
    has_ended: bool,
    sent_us: u64,
}

struct Run<'a> {
    trace: &'a trace::Trace,
    plan: plan::Plan,
    rng: SplitMix64,
    now_us: u64,
    events: collections::BinaryHeap<cmp::Reverse<(u64, u64, Event)>>,
    next_event: u64,
    entries: Vec<entry::Entry>,
    servers: Vec<server::Server>,
    requests: Vec<Request>,
    sends: Vec<Send>,
    leader: table::Table,
    outcome: outcome::Outcome,
}

/// Replays a trace under a plan; the seed draws arrivals, service times and choices.
pub fn run(trace: &trace::Trace, plan: plan::Plan, seed: u64) -> outcome::Outcome {
    let mut run = Run::new(trace, plan, seed);
    run.schedule_trace();
    while let Some(cmp::Reverse((at, _, event))) = run.events.pop() {
        if at > run.outcome.span_ms * 1_000 + 60_000_000 {
            break;
        }
        run.now_us = at;
        run.handle(event);
    }
    let mut outcome = run.outcome;
    outcome.urgent_us.sort_unstable();
    for server in &run.servers {
        outcome.oversubscribed_count += server.oversubscribed_count;
        outcome.over_cold_count += server.over_cold_count;
    }
    outcome
}

impl<'a> Run<'a> {
    fn new(trace: &'a trace::Trace, plan: plan::Plan, seed: u64) -> Run<'a> {
        let mut rng = SplitMix64::new(seed);
        let limits = trace.servers.expect("a parsed trace has servers");
        let zones_count = trace.zones.len();
        let entries = (0..trace.entries_count)
            .map(|n| entry::Entry::new(trace, &plan, n % zones_count, rng.next_u64()));
        let entries = entries.collect();
        let servers =
            (0..limits.count).map(|n| server::Server::new(n % zones_count, limits, rng.next_u64()));
        let servers = servers.collect();
        let end_times = trace.loads.iter().map(|load| load.to_ms);
        let span_ms = end_times
            .chain(trace.arrivals.iter().map(|a| a.at_ms))
            .max();
        Run {
            trace,
            plan,
            rng,
            now_us: 0,
            events: collections::BinaryHeap::new(),
            next_event: 0,
            entries,
            servers,
            requests: Vec::new(),
            sends: Vec::new(),
            leader: table::Table::new(1, clock::Millis::ZERO),
            outcome: outcome::Outcome {
                plan: plan.name,
                span_ms: span_ms.unwrap_or(0),
                ..outcome::Outcome::default()
            },
        }
    }

    fn schedule(&mut self, at_us: u64, event: Event) {
        self.next_event += 1;
        let event = (at_us, self.next_event, event);
        self.events.push(cmp::Reverse(event));
    }

    fn now(&self) -> clock::Millis {
        clock::Millis(self.now_us / 1_000)
    }

    fn schedule_trace(&mut self) {
        for load in &self.trace.loads {
            let mean_us = 1_000_000 / load.per_sec.max(1);
            let mut at = load.from_ms * 1_000;
            while at < load.to_ms * 1_000 {
                let entry = self.rng.below(self.entries.len() as u64) as usize;
                let class = load.class;
                self.schedule(at, Event::Arrive { entry, class });
                // Uniform gaps up to twice the mean: bursts without a logarithm, whose rounding
                // may differ between machines.
                at += 1 + self.rng.below(2 * mean_us);
            }
        }
        for arrival in &self.trace.arrivals {
            let (entry, class) = (arrival.entry, arrival.class);
            self.schedule(arrival.at_ms * 1_000, Event::Arrive { entry, class });
        }
        for (n, (at_ms, _)) in self.trace.events.iter().enumerate() {
            self.schedule(at_ms * 1_000, Event::Trace(n));
        }
        for entry in 0..self.entries.len() {
            let start = self.rng.below(SYNC_PAUSE_US);
            self.schedule(start, Event::Sync(entry));
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive { entry, class } => self.arrive(entry, class),
            Event::AtServer(send) => self.at_server(send),
            Event::Finish(send) => self.finish(send),
            Event::Answer(send, status, report) => self.receive_answer(send, status, report),
            Event::Hedge(request) => self.hedge(request),
            Event::Cancel(send) => self.cancel_at_server(send),
            Event::LeaseEnd { entry, server } => self.entries[entry].leases[server].end(),
            Event::Deadline(request) => self.expire(request),
            Event::Sync(entry) => self.sync(entry),
            Event::SyncAtLeader(entry) => self.sync_at_leader(entry),
            Event::SyncAnswer { entry, granted } => self.sync_answer(entry, granted),
            Event::ReportedCold(server) => {
                self.broadcast_state(server, entry::ServerState::Cold, 8_000);
            }
            Event::UpdateServer {
                entry,
                server,
                state,
            } => {
                let now = self.now();
                self.entries[entry].update_server(now, server, state);
            }
            Event::ProbeAtServer { entry, server } => {
                let report = self.servers[server].report(self.now_us);
                let (running, waiting) = (report.running, report.waiting);
                let at = self.now_us + self.network_latency_us(entry, server);
                self.schedule(
                    at,
                    Event::ProbeAnswer {
                        entry,
                        server,
                        running,
                        waiting,
                    },
                );
            }
            Event::ProbeAnswer {
                entry,
                server,
                running,
                waiting,
            } => {
                // The probe itself is not counted by the server, unlike an answered request.
                let report = report::Report {
                    running: running + 1,
                    waiting,
                    state: None,
                };
                self.entries[entry].signals[server].record_report(self.now(), &report);
            }
            Event::Trace(n) => self.apply_trace_event(self.trace.events[n].1),
        }
    }

    fn network_latency_us(&self, entry: usize, server: usize) -> u64 {
        NETWORK_LATENCY_US[usize::from(self.entries[entry].distance(server))]
    }

    fn count_measuring(&mut self, is_cross: bool, messages_count: u64, bytes: u64) {
        let traffic = if is_cross {
            &mut self.outcome.cross
        } else {
            &mut self.outcome.near
        };
        traffic.messages_count += messages_count;
        traffic.bytes += bytes;
    }

    fn arrive(&mut self, entry: usize, class: class::Class) {
        self.entries[entry].budget.deposit();
        let request = self.requests.len();
        let is_bulk = class == class::Class::BulkExport;
        self.requests.push(Request {
            entry,
            class,
            start_us: self.now_us,
            sends: Vec::new(),
            is_done: false,
        });
        self.probe(entry);
        if is_bulk && !self.entries[entry].bulk.begin() {
            self.requests[request].is_done = true;
            self.outcome.refused_count += 1;
            return;
        }
        let timeout_us = if is_bulk { 30_000_000 } else { 2_000_000 };
        self.schedule(self.now_us + timeout_us, Event::Deadline(request));
        if !self.send(request) {
            self.end_request(request);
            self.outcome.refused_count += 1;
            return;
        }
        if self.plan.hedges && class == class::Class::UrgentLookup {
            let delay = self.entries[entry].delay.delay_us();
            self.schedule(self.now_us + delay, Event::Hedge(request));
        }
    }

    fn probe(&mut self, entry: usize) {
        if self.rng.below(100) >= self.plan.probes_percent {
            return;
        }
        let server = self.rng.below(self.servers.len() as u64) as usize;
        let distance = self.entries[entry].distance(server);
        if distance < policy::DISTANCE_OTHER_REGION {
            self.count_measuring(false, 1, PROBE_BYTES);
            let at = self.now_us + self.network_latency_us(entry, server);
            self.schedule(at, Event::ProbeAtServer { entry, server });
        }
    }

    fn send(&mut self, request: usize) -> bool {
        let now = self.now();
        let Request { entry, class, .. } = self.requests[request];
        let tried: Vec<entity::Server> = self.requests[request]
            .sends
            .iter()
            .map(|send| entity::Server::new(self.sends[*send].server))
            .collect();
        let Some((server, has_lease)) = self.entries[entry].choose(now, class, &tried) else {
            return false;
        };
        self.entries[entry].signals[server].begin();
        if self.entries[entry].distance(server) == policy::DISTANCE_OTHER_REGION {
            self.outcome.crossed_count += 1;
        }
        self.outcome.cold_count += u64::from(has_lease);
        let send = self.sends.len();
        self.sends.push(Send {
            request,
            entry,
            server,
            has_lease,
            has_ended: false,
            sent_us: self.now_us,
        });
        self.requests[request].sends.push(send);
        let at = self.now_us + self.network_latency_us(entry, server);
        self.schedule(at, Event::AtServer(send));
        true
    }

    fn at_server(&mut self, send: server::SendId) {
        if self.sends[send].has_ended {
            return;
        }
        let server = self.sends[send].server;
        let is_bulk = self.requests[self.sends[send].request].class == class::Class::BulkExport;
        match self.servers[server].admit(self.now_us, send, is_bulk) {
            server::Admission::Started(duration_us) => {
                self.schedule(self.now_us + duration_us, Event::Finish(send));
            }
            server::Admission::Queued => {}
            server::Admission::Refused => self.reply(send, 0, Status::Refused),
            server::Admission::Fails(delay_us) => self.reply(send, delay_us, Status::Failed),
        }
    }

    fn reply(&mut self, send: server::SendId, delay_us: u64, status: Status) {
        let Send { entry, server, .. } = self.sends[send];
        let report = self.servers[server].report(self.now_us);
        let is_cold = report.state == Some(report::State::Cold);
        let reported = Some((report.running, report.waiting, is_cold));
        let at = self.now_us + delay_us + self.network_latency_us(entry, server);
        self.schedule(at, Event::Answer(send, status, reported));
    }

    fn finish(&mut self, send: server::SendId) {
        let server = self.sends[send].server;
        if !self.servers[server].is_running(send) {
            return;
        }
        let was_cold = self.servers[server].is_cold;
        self.remove(send, true);
        if was_cold && !self.servers[server].is_cold {
            self.broadcast_state(server, entry::ServerState::Warm, ANNOUNCEMENT_DELAY_US);
        }
        self.reply(send, 0, Status::Ok);
    }

    fn remove(&mut self, send: server::SendId, is_served: bool) {
        let server = self.sends[send].server;
        if let Some((next, duration_us)) = self.servers[server].remove(self.now_us, send, is_served)
        {
            self.schedule(self.now_us + duration_us, Event::Finish(next));
        }
    }

    fn cancel_at_server(&mut self, send: server::SendId) {
        self.remove(send, false);
    }

    /// Ends a send at its entry process. Its lease ends after `linger_us`, since a cancelled request
    /// may still run at the server.
    fn end_send(&mut self, send: server::SendId, linger_us: u64) {
        let Send {
            entry,
            server,
            has_lease,
            ..
        } = self.sends[send];
        self.sends[send].has_ended = true;
        self.entries[entry].signals[server].end();
        if has_lease {
            self.schedule(self.now_us + linger_us, Event::LeaseEnd { entry, server });
        }
    }

    fn receive_answer(
        &mut self,
        send: server::SendId,
        status: Status,
        reported: Option<(u32, u32, bool)>,
    ) {
        if self.sends[send].has_ended {
            return;
        }
        let now = self.now();
        let Send {
            request,
            entry,
            server,
            sent_us,
            has_lease,
            ..
        } = self.sends[send];
        let is_cross = self.entries[entry].distance(server) == policy::DISTANCE_OTHER_REGION;
        let signal = std::sync::Arc::clone(&self.entries[entry].signals[server]);
        if let Some((running, waiting, is_cold)) = reported {
            self.count_measuring(is_cross, 0, REPORT_BYTES);
            let state = match is_cold {
                _ if !self.plan.grants => None,
                true => Some(report::State::Cold),
                false => Some(report::State::Warm),
            };
            signal.record_report(
                now,
                &report::Report {
                    running,
                    waiting,
                    state,
                },
            );
            if signal.is_reported_cold() && !has_lease {
                let at = self.now_us + NETWORK_LATENCY_US[2];
                self.schedule(at, Event::ReportedCold(server));
            }
        }
        match status {
            Status::Ok => signal.record_success(now, self.now_us - sent_us),
            Status::Failed | Status::Refused => signal.record_failure(now),
        }
        self.end_send(send, 0);
        let is_read = self.requests[request].class.is_idempotent();
        let may_retry = status != Status::Ok
            && is_read
            && self.requests[request].sends.len() < SENDS_MAX_COUNT
            && self.entries[entry].budget.withdraw();
        if may_retry && self.send(request) {
            self.outcome.second_sends_count += 1;
            return;
        }
        let others = self.requests[request].sends.clone();
        let is_last = others.iter().all(|send| self.sends[*send].has_ended);
        if status == Status::Ok || is_last {
            self.record_answer(request, status);
        }
    }

    fn record_answer(&mut self, request: usize, status: Status) {
        let Request {
            entry,
            class,
            start_us,
            ..
        } = self.requests[request];
        self.end_request(request);
        let latency_us = self.now_us - start_us;
        match status {
            Status::Ok if class == class::Class::UrgentLookup => {
                self.entries[entry].delay.observe(latency_us);
                self.outcome.urgent_us.push(latency_us);
            }
            Status::Ok => self.outcome.others_count += 1,
            Status::Failed => self.outcome.failed_count += 1,
            Status::Refused => self.outcome.refused_count += 1,
        }
    }

    /// Ends a request and cancels its sends that are still in flight.
    fn end_request(&mut self, request: usize) {
        self.requests[request].is_done = true;
        if self.requests[request].class == class::Class::BulkExport {
            self.entries[self.requests[request].entry].bulk.end();
        }
        for send in self.requests[request].sends.clone() {
            if !self.sends[send].has_ended {
                let Send {
                    entry,
                    server,
                    sent_us,
                    ..
                } = self.sends[send];
                let (now, elapsed_us) = (self.now(), self.now_us - sent_us);
                self.entries[entry].signals[server].record_cancellation(now, elapsed_us);
                self.end_send(send, CANCEL_LINGER_US);
                let at = self.now_us + self.network_latency_us(entry, server);
                self.schedule(at, Event::Cancel(send));
            }
        }
    }

    fn hedge(&mut self, request: usize) {
        let Request { entry, is_done, .. } = self.requests[request];
        let is_single = self.requests[request].sends.len() == 1;
        if !is_done && is_single && self.entries[entry].budget.withdraw() && self.send(request) {
            self.outcome.second_sends_count += 1;
        }
    }

    fn expire(&mut self, request: usize) {
        if !self.requests[request].is_done {
            self.end_request(request);
            self.outcome.unknown_count += 1;
        }
    }

    fn is_cross_region_to_leader(&self, entry: usize) -> bool {
        let zone = self.entries[entry].zone;
        entry::distance(self.trace, zone, 0) == policy::DISTANCE_OTHER_REGION
    }

    fn sync(&mut self, entry: usize) {
        if self.now_us > self.outcome.span_ms * 1_000 {
            return;
        }
        let now = self.now();
        self.count_measuring(self.is_cross_region_to_leader(entry), 1, SYNC_BYTES);
        let process = &mut self.entries[entry];
        let cold = process.cold_servers();
        let request = process.holder.request(cold.iter().map(String::as_str));
        process.last_sync = (now, request);
        self.schedule(
            self.now_us + NETWORK_LATENCY_US[2],
            Event::SyncAtLeader(entry),
        );
    }

    fn sync_at_leader(&mut self, index: usize) {
        let now = self.now();
        let name = format!("entry-{index}");
        let request = &self.entries[index].last_sync.1;
        self.leader.release(&name, 1, &request.released);
        let granted = self.leader.grant(now, &name, 1, &request.wanted);
        let granted = granted.into_iter().map(|g| (g.server, g.id)).collect();
        let event = Event::SyncAnswer {
            entry: index,
            granted,
        };
        self.schedule(self.now_us + NETWORK_LATENCY_US[2], event);
    }

    fn sync_answer(&mut self, index: usize, granted: Vec<(String, message::GrantId)>) {
        let grants = granted
            .into_iter()
            .map(|(server, id)| message::Grant { server, id });
        let grants: Vec<_> = grants.collect();
        let process = &mut self.entries[index];
        let (sent, request) = process.last_sync.clone();
        process.holder.apply_answer(sent, &request, &grants);
        self.schedule(self.now_us + SYNC_PAUSE_US, Event::Sync(index));
    }
}

//! Applies the actions of a plan to a scenario and records the time span of each fault.

use crate::plan::Action;
use crate::scenario::{Scenario, millis};
use crate::{ledger, plan, process, server};
use nutmegdale_testkit::link;
use std::io;
use std::sync;
use std::time;
use tokio::sync::mpsc;
use tokio::task;

/// Delay before a killed program is started again.
const RESTART_DELAY_MS: u64 = 400;
/// Time limit for a graceful stop.
const GRACEFUL_STOP_MAX_MS: u64 = 6_000;
/// Duration of a fault of a server's link or responses.
const SERVER_FAULT_MS: u64 = 2_000;
/// Time for which a draining server continues to serve before it deregisters.
const DRAIN_MS: u64 = 4_500;
/// Time for which a zone is out of service.
const ZONE_OUT_MS: u64 = 7_000;
/// Time after the acknowledgement that a zone is out from which no request may reach its servers.
const EVACUATION_MAX_MS: u64 = 5_000;
/// Attempts to listen on an address that was just freed.
const BIND_ATTEMPTS_COUNT: u32 = 20;
/// Delay between two of these attempts.
const BIND_RETRY_DELAY_MS: u64 = 50;
/// Time after which another server takes the place of one that crashed under a request.
const CRASHED_MS: u64 = 1_500;
/// Time for which a server names a limit.
const LIMIT_MS: u64 = 10_000;
/// Timeout of the deregistration of a server.
const LEAVE_TIMEOUT_MS: u64 = 1_000;

impl Scenario {
    /// Performs one action and returns once it has ended.
    pub(crate) async fn apply(&self, action: Action) -> io::Result<()> {
        match action {
            Action::KillEntry(n) => self.restart_entry(n).await,
            Action::StopEntry(n) => self.stop_entry(n).await,
            Action::PauseEntry(n, ms) => self.pause_entry(n, ms).await,
            Action::KillControl(n) => self.restart_control(n, |_| Ok(())).await,
            Action::TearControl(n) => {
                self.restart_control(n, |process| process.append_torn_write())
                    .await
            }
            Action::WipeControl(n) => self.restart_control(n, process::Process::wipe_data).await,
            Action::PauseControl(n, ms) => {
                self.pause_control(n, ms).await;
                Ok(())
            }
            Action::KillAllControl => self.restart_all_control().await,
            Action::Configure => {
                self.operator.configure().await;
                self.operator.read().await;
                Ok(())
            }
            Action::EmptyZone(n) => {
                self.evacuate_zone(n).await;
                Ok(())
            }
            Action::Server(n, fault) => self.apply_server_fault(n, fault).await,
            Action::LimitServer(n, milli_per_s) => {
                self.limit_server(n, milli_per_s).await;
                Ok(())
            }
            Action::SendCrashing => {
                self.start_crashing_caller().await;
                Ok(())
            }
        }
    }

    /// Returns the span from `from` until now.
    fn span_since(from: time::Instant) -> ledger::Span {
        let to = time::Instant::now();
        ledger::Span { from, to }
    }

    fn record_entry_fault(&self, n: usize, from: time::Instant) {
        let span = Scenario::span_since(from);
        self.ledger.observations().entry_faults.push((n, span));
    }

    fn record_control_fault(&self, from: time::Instant) {
        self.ledger
            .observations()
            .control_faults
            .push(Scenario::span_since(from));
    }

    async fn restart_entry(&self, n: usize) -> io::Result<()> {
        let from = time::Instant::now();
        process::lock(&self.entry[n]).kill();
        self.record_entry_fault(n, from);
        tokio::time::sleep(millis(RESTART_DELAY_MS)).await;
        process::lock(&self.entry[n]).start(&*self.wire)?;
        self.record_entry_fault(n, from);
        Ok(())
    }

    async fn stop_entry(&self, n: usize) -> io::Result<()> {
        let from = time::Instant::now();
        let stopped = {
            let mut process = process::lock(&self.entry[n]);
            process.stop();
            process.id()
        };
        let to = from + millis(GRACEFUL_STOP_MAX_MS);
        let stop = ledger::Span { from, to };
        self.ledger.observations().stops.push((n, stop));
        while time::Instant::now() < to && process::lock(&self.entry[n]).is_running() {
            tokio::time::sleep(millis(50)).await;
        }
        let mut process = process::lock(&self.entry[n]);
        if process.id() != stopped {
            // A concurrent step has ended this process and starts it again.
            return Ok(());
        }
        if process.is_running() {
            process.kill();
            if !self.had_fault_since(n, from) {
                let text = format!(
                    "entry-{n} does not end within {GRACEFUL_STOP_MAX_MS} ms of a graceful stop"
                );
                self.ledger.record_violation(text);
            }
        }
        process.start(&*self.wire)
    }

    /// Returns whether a fault of the entry process lasted until `from` or later.
    fn had_fault_since(&self, n: usize, from: time::Instant) -> bool {
        let observations = self.ledger.observations();
        let mut faults = observations.entry_faults.iter();
        faults.any(|(entry, span)| *entry == n && span.to >= from)
    }

    async fn pause_entry(&self, n: usize, ms: u64) -> io::Result<()> {
        let from = time::Instant::now();
        process::lock(&self.entry[n]).set_paused(true);
        self.record_entry_fault(n, from);
        tokio::time::sleep(millis(ms)).await;
        process::lock(&self.entry[n]).set_paused(false);
        self.record_entry_fault(n, from);
        Ok(())
    }

    async fn restart_control(
        &self,
        n: usize,
        change: impl FnOnce(&mut process::Process) -> io::Result<()>,
    ) -> io::Result<()> {
        let from = time::Instant::now();
        {
            // The lock keeps a concurrent step from starting the process in between.
            let mut process = process::lock(&self.control[n]);
            process.kill();
            change(&mut process)?;
        }
        self.record_control_fault(from);
        tokio::time::sleep(millis(RESTART_DELAY_MS)).await;
        process::lock(&self.control[n]).start(&*self.wire)?;
        self.record_control_fault(from);
        Ok(())
    }

    async fn pause_control(&self, n: usize, ms: u64) {
        let from = time::Instant::now();
        process::lock(&self.control[n]).set_paused(true);
        self.record_control_fault(from);
        tokio::time::sleep(millis(ms)).await;
        process::lock(&self.control[n]).set_paused(false);
        self.record_control_fault(from);
    }

    async fn restart_all_control(&self) -> io::Result<()> {
        let from = time::Instant::now();
        for process in &self.control {
            process::lock(process).kill();
        }
        self.record_control_fault(from);
        tokio::time::sleep(millis(RESTART_DELAY_MS)).await;
        for process in &self.control {
            process::lock(process).start(&*self.wire)?;
        }
        self.record_control_fault(from);
        Ok(())
    }

    async fn evacuate_zone(&self, n: usize) {
        let zone = &self.zones[n];
        if self.operator.set_zone(zone, true).await {
            let from = time::Instant::now() + millis(EVACUATION_MAX_MS);
            self.set_zone_closed_from(zone, Some(from)).await;
        }
        tokio::time::sleep(millis(ZONE_OUT_MS)).await;
        // Requests may reach the servers again once the order is sent, before it is acknowledged.
        self.set_zone_closed_from(zone, None).await;
        while !self.operator.set_zone(zone, false).await {}
    }

    async fn set_zone_closed_from(&self, zone: &str, from: Option<time::Instant>) {
        let backends = self.backends.lock().await;
        let servers = backends.iter().map(|backend| &backend.server);
        for server in servers.filter(|server| server.zone() == zone) {
            server.set_closed_from(from);
        }
    }

    async fn apply_server_fault(&self, n: usize, fault: plan::ServerFault) -> io::Result<()> {
        let from = time::Instant::now();
        let id = self.backends.lock().await[n].server.id().to_owned();
        match fault {
            plan::ServerFault::Delay(ms) => {
                self.with_link_fault(n, |link| link.delay = millis(ms))
                    .await;
            }
            plan::ServerFault::CutTo => {
                self.with_link_fault(n, |link| link.is_forth_cut = true)
                    .await;
            }
            plan::ServerFault::CutFrom => {
                self.with_link_fault(n, |link| link.is_back_cut = true)
                    .await;
            }
            plan::ServerFault::Reset => self.reset_link(n).await?,
            plan::ServerFault::Crash => self.replace_server(n).await?,
            plan::ServerFault::Drain => self.drain_server(n, &id).await?,
            plan::ServerFault::Break => {
                self.backends.lock().await[n].server.set_truncating(true);
                tokio::time::sleep(millis(SERVER_FAULT_MS)).await;
                self.backends.lock().await[n].server.set_truncating(false);
            }
        }
        let span = Scenario::span_since(from);
        self.ledger.observations().server_faults.push((id, span));
        Ok(())
    }

    /// Changes the state of a server's link for the duration of a fault.
    async fn with_link_fault(&self, n: usize, change: impl FnOnce(&mut link::State)) {
        self.backends.lock().await[n].link.set(change);
        tokio::time::sleep(millis(SERVER_FAULT_MS)).await;
        let reset = |link: &mut link::State| *link = link::State::default();
        self.backends.lock().await[n].link.set(reset);
    }

    async fn replace_server(&self, n: usize) -> io::Result<()> {
        let backend = self.start_backend(n).await?;
        self.backends.lock().await[n] = backend;
        Ok(())
    }

    /// Makes the server at `n` name a limit for a while, unless another one takes its place before.
    async fn limit_server(&self, n: usize, milli_per_s: u32) {
        let id = {
            let backends = self.backends.lock().await;
            backends[n].server.set_limit(milli_per_s);
            backends[n].server.id().to_owned()
        };
        tokio::time::sleep(millis(LIMIT_MS)).await;
        let backends = self.backends.lock().await;
        if backends[n].server.id() == id {
            backends[n].server.set_limit(0);
        }
        drop(backends);
        self.ledger.record_limit_end(&id);
    }

    /// Ends each server that crashes under a request, and starts another one in its place later.
    pub(crate) async fn replace_crashed(
        self: sync::Arc<Scenario>,
        mut crashed: mpsc::UnboundedReceiver<String>,
    ) {
        let mut replacing = task::JoinSet::new();
        while let Some(id) = crashed.recv().await {
            let scenario = sync::Arc::clone(&self);
            replacing.spawn(async move { scenario.crash_server(id).await });
        }
    }

    async fn crash_server(&self, id: String) {
        let from = time::Instant::now();
        let Some(n) = self.end_server(&id).await else {
            return;
        };
        tokio::time::sleep(millis(CRASHED_MS)).await;
        if let Err(err) = self.replace_server(n).await {
            let text = format!("{id} cannot be replaced: {err}");
            self.ledger.record_violation(text);
        }
        let span = Scenario::span_since(from);
        self.ledger.observations().server_faults.push((id, span));
    }

    /// Ends the server `id` and its connections; returns its place, unless another one took it.
    async fn end_server(&self, id: &str) -> Option<usize> {
        let mut backends = self.backends.lock().await;
        let n = backends.iter().position(|b| b.server.id() == id)?;
        backends[n].server.end();
        backends[n].link.end().await;
        Some(n)
    }

    async fn drain_server(&self, n: usize, id: &str) -> io::Result<()> {
        self.backends.lock().await[n].server.drain();
        tokio::time::sleep(millis(DRAIN_MS)).await;
        let message = self.wire.leave(id);
        for control in self.control_addresses() {
            let answer = server::send(control, &message, LEAVE_TIMEOUT_MS).await;
            if answer.is_some_and(|answer| answer.status == 200) {
                break;
            }
        }
        self.replace_server(n).await
    }

    /// Resets all connections of a server's link; new ones work.
    async fn reset_link(&self, n: usize) -> io::Result<()> {
        let mut backends = self.backends.lock().await;
        let backend = &mut backends[n];
        let (announced, listen) = (backend.announced, backend.listen);
        backend.link.end().await;
        for _ in 0..BIND_ATTEMPTS_COUNT {
            let link = link::Link::start(announced, listen, link::State::default()).await;
            match link {
                Ok(link) => {
                    backend.link = link;
                    return Ok(());
                }
                // The operating system frees the address shortly after the listener has ended.
                Err(err) if err.kind() == io::ErrorKind::AddrInUse => {
                    tokio::time::sleep(millis(BIND_RETRY_DELAY_MS)).await;
                }
                Err(err) => return Err(err),
            }
        }
        Err(io::Error::other(format!(
            "address {announced} is still in use after {BIND_ATTEMPTS_COUNT} attempts"
        )))
    }
}

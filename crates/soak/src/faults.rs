//! Does the steps of a plan to a scene, and notes when whom was disturbed.

use crate::plan::Action;
use crate::scene::{Scene, span};
use crate::{ledger, plan, process, server};
use nutmegdale_testkit::link;
use std::io;
use std::time;

/// Time until a program that ended is started again.
const RESTART_MS: u64 = 400;
/// Time for a graceful stop.
const GRACE_MS: u64 = 6_000;
/// Length of a fault of a server's link or answers.
const SERVER_FAULT_MS: u64 = 2_000;
/// Time for which a server that leaves goes on serving.
const LEAVE_MS: u64 = 4_500;
/// Time for which a zone is out of service.
const ZONE_OUT_MS: u64 = 7_000;
/// Time after the acknowledgement that a zone is out from which no request reaches its servers.
const EVACUATE_MS: u64 = 5_000;
/// Tries to listen again at an address that was just freed.
const BIND_TRIES_COUNT: u32 = 20;
/// Time between two of these tries.
const BIND_PAUSE_MS: u64 = 50;
/// Time for the answer to the statement that a server leaves.
const LEAVE_ANSWER_MS: u64 = 1_000;

impl Scene {
    /// Does one step, to its end.
    pub(crate) async fn act(&self, action: Action) -> io::Result<()> {
        match action {
            Action::KillEntry(n) => self.restart_entry(n).await,
            Action::StopEntry(n) => self.stop_entry(n).await,
            Action::PauseEntry(n, ms) => self.pause_entry(n, ms).await,
            Action::KillControl(n) => self.restart_control(n, |_| Ok(())).await,
            Action::TearControl(n) => self.restart_control(n, |process| process.tear()).await,
            Action::WipeControl(n) => self.restart_control(n, process::Process::wipe).await,
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
                self.empty_zone(n).await;
                Ok(())
            }
            Action::Server(n, fault) => self.act_on_server(n, fault).await,
        }
    }

    /// Notes a fault that began at `from` and ends now.
    fn since(from: time::Instant) -> ledger::Span {
        let to = time::Instant::now();
        ledger::Span { from, to }
    }

    fn note_entry(&self, n: usize, from: time::Instant) {
        let span = Scene::since(from);
        self.ledger.seen().entry_faults.push((n, span));
    }

    fn note_control(&self, from: time::Instant) {
        self.ledger.seen().control_faults.push(Scene::since(from));
    }

    async fn restart_entry(&self, n: usize) -> io::Result<()> {
        let from = time::Instant::now();
        process::lock(&self.entry[n]).kill();
        self.note_entry(n, from);
        tokio::time::sleep(span(RESTART_MS)).await;
        process::lock(&self.entry[n]).start(&*self.wire)?;
        self.note_entry(n, from);
        Ok(())
    }

    async fn stop_entry(&self, n: usize) -> io::Result<()> {
        let from = time::Instant::now();
        let stopped = {
            let mut process = process::lock(&self.entry[n]);
            process.stop();
            process.id()
        };
        let to = from + span(GRACE_MS);
        let stop = ledger::Span { from, to };
        self.ledger.seen().stops.push((n, stop));
        while time::Instant::now() < to && process::lock(&self.entry[n]).is_running() {
            tokio::time::sleep(span(50)).await;
        }
        let mut process = process::lock(&self.entry[n]);
        if process.id() != stopped {
            // Another step has ended it meanwhile and starts it again.
            return Ok(());
        }
        if process.is_running() {
            process.kill();
            if !self.was_disturbed(n, from) {
                let text = format!("entry-{n} does not end within {GRACE_MS} ms");
                self.ledger.broken(text);
            }
        }
        process.start(&*self.wire)
    }

    /// Returns whether an entry process was disturbed after `from`.
    fn was_disturbed(&self, n: usize, from: time::Instant) -> bool {
        let seen = self.ledger.seen();
        let mut faults = seen.entry_faults.iter();
        faults.any(|(entry, span)| *entry == n && span.to >= from)
    }

    async fn pause_entry(&self, n: usize, ms: u64) -> io::Result<()> {
        let from = time::Instant::now();
        process::lock(&self.entry[n]).pause(true);
        self.note_entry(n, from);
        tokio::time::sleep(span(ms)).await;
        process::lock(&self.entry[n]).pause(false);
        self.note_entry(n, from);
        Ok(())
    }

    async fn restart_control(
        &self,
        n: usize,
        change: impl FnOnce(&mut process::Process) -> io::Result<()>,
    ) -> io::Result<()> {
        let from = time::Instant::now();
        {
            // Another step must not start it in between.
            let mut process = process::lock(&self.control[n]);
            process.kill();
            change(&mut process)?;
        }
        self.note_control(from);
        tokio::time::sleep(span(RESTART_MS)).await;
        process::lock(&self.control[n]).start(&*self.wire)?;
        self.note_control(from);
        Ok(())
    }

    async fn pause_control(&self, n: usize, ms: u64) {
        let from = time::Instant::now();
        process::lock(&self.control[n]).pause(true);
        self.note_control(from);
        tokio::time::sleep(span(ms)).await;
        process::lock(&self.control[n]).pause(false);
        self.note_control(from);
    }

    async fn restart_all_control(&self) -> io::Result<()> {
        let from = time::Instant::now();
        for process in &self.control {
            process::lock(process).kill();
        }
        self.note_control(from);
        tokio::time::sleep(span(RESTART_MS)).await;
        for process in &self.control {
            process::lock(process).start(&*self.wire)?;
        }
        self.note_control(from);
        Ok(())
    }

    async fn empty_zone(&self, n: usize) {
        let zone = &self.zones[n];
        if self.operator.set_zone(zone, true).await {
            let from = time::Instant::now() + span(EVACUATE_MS);
            self.close_zone(zone, Some(from)).await;
        }
        tokio::time::sleep(span(ZONE_OUT_MS)).await;
        // Requests may come again from the moment at which the order is sent.
        self.close_zone(zone, None).await;
        while !self.operator.set_zone(zone, false).await {}
    }

    async fn close_zone(&self, zone: &str, from: Option<time::Instant>) {
        let places = self.places.lock().await;
        let servers = places.iter().map(|place| &place.server);
        for server in servers.filter(|server| server.zone() == zone) {
            server.close(from);
        }
    }

    async fn act_on_server(&self, n: usize, fault: plan::ServerFault) -> io::Result<()> {
        let from = time::Instant::now();
        let id = self.places.lock().await[n].server.id().to_owned();
        match fault {
            plan::ServerFault::Delay(ms) => {
                self.for_a_while(n, |link| link.delay = span(ms)).await;
            }
            plan::ServerFault::CutTo => {
                self.for_a_while(n, |link| link.is_forth_cut = true).await;
            }
            plan::ServerFault::CutFrom => {
                self.for_a_while(n, |link| link.is_back_cut = true).await;
            }
            plan::ServerFault::Reset => self.reset_link(n).await?,
            plan::ServerFault::Crash => self.replace_server(n).await?,
            plan::ServerFault::Drain => self.drain_server(n, &id).await?,
            plan::ServerFault::Break => {
                self.places.lock().await[n].server.break_answers(true);
                tokio::time::sleep(span(SERVER_FAULT_MS)).await;
                self.places.lock().await[n].server.break_answers(false);
            }
        }
        let span = Scene::since(from);
        self.ledger.seen().server_faults.push((id, span));
        Ok(())
    }

    /// Changes the link of a server for a while.
    async fn for_a_while(&self, n: usize, change: impl FnOnce(&mut link::State)) {
        self.places.lock().await[n].link.set(change);
        tokio::time::sleep(span(SERVER_FAULT_MS)).await;
        let calm = |link: &mut link::State| *link = link::State::default();
        self.places.lock().await[n].link.set(calm);
    }

    async fn replace_server(&self, n: usize) -> io::Result<()> {
        let place = self.server(n).await?;
        self.places.lock().await[n] = place;
        Ok(())
    }

    async fn drain_server(&self, n: usize, id: &str) -> io::Result<()> {
        self.places.lock().await[n].server.drain();
        tokio::time::sleep(span(LEAVE_MS)).await;
        let message = self.wire.leave(id);
        for control in self.control_addresses() {
            let answer = server::send(control, &message, LEAVE_ANSWER_MS).await;
            if answer.is_some_and(|answer| answer.status == 200) {
                break;
            }
        }
        self.replace_server(n).await
    }

    /// Breaks all connections of a server's link; new ones work.
    async fn reset_link(&self, n: usize) -> io::Result<()> {
        let mut places = self.places.lock().await;
        let place = &mut places[n];
        let (announced, listen) = (place.announced, place.listen);
        place.link.end().await;
        for _ in 0..BIND_TRIES_COUNT {
            let link = link::Link::start(announced, listen, link::State::default()).await;
            match link {
                Ok(link) => {
                    place.link = link;
                    return Ok(());
                }
                // The operating system frees the address a moment after the listener has ended.
                Err(err) if err.kind() == io::ErrorKind::AddrInUse => {
                    tokio::time::sleep(span(BIND_PAUSE_MS)).await;
                }
                Err(err) => return Err(err),
            }
        }
        Err(io::Error::other(format!("{announced} stays in use")))
    }
}

//! What stand-ins saw, for the check.

use std::collections;
use std::sync;
use std::time;

/// Run of a request at a server.
#[derive(Debug, Clone)]
pub struct Run {
    /// Server.
    pub server: String,
    /// When it arrived.
    pub at: time::Instant,
    /// From when on no request may reach the server, since it leaves or its zone is out.
    pub closed_from: Option<time::Instant>,
    /// Whether the server answered to the end.
    pub is_answered: bool,
}

/// How an attempt of a caller ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum End {
    /// With an answer that bears a server's mark or not.
    Answered {
        /// Status.
        status: u16,
        /// Whether it bears a server's mark.
        is_signed: bool,
        /// Body.
        body: Vec<u8>,
    },
    /// No connection could be made, or it broke off before the head of the request was written.
    NotSent,
    /// The connection broke off without an answer.
    Broken,
    /// No answer came in time.
    Silent,
}

/// Attempt of a caller.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// Identifier.
    pub id: String,
    /// Whether it may run once at most.
    pub is_one_time: bool,
    /// Position of the entry process.
    pub entry: usize,
    /// When it was sent.
    pub at: time::Instant,
    /// How it ended, if it has.
    pub end: Option<(time::Instant, End)>,
}

/// Span in which a process was disturbed or was stopped gracefully.
#[derive(Debug, Clone, Copy)]
pub struct Span {
    /// Begin.
    pub from: time::Instant,
    /// End.
    pub to: time::Instant,
}

/// Everything that was seen.
#[derive(Debug, Default)]
pub struct Seen {
    /// Attempts by identifier.
    pub attempts: collections::HashMap<String, Attempt>,
    /// Runs by identifier of the request.
    pub runs: collections::HashMap<String, Vec<Run>>,
    /// Disturbances of entry processes, by position.
    pub entry_faults: Vec<(usize, Span)>,
    /// Disturbances of control processes.
    pub control_faults: Vec<Span>,
    /// Graceful stops of entry processes, by position.
    pub stops: Vec<(usize, Span)>,
    /// Disturbances of servers, by identity.
    pub server_faults: Vec<(String, Span)>,
    /// Faults that were seen at once, in words.
    pub broken: Vec<String>,
}

/// Ledger that all stand-ins write to.
#[derive(Debug, Default)]
pub struct Ledger {
    seen: sync::Mutex<Seen>,
}

impl Ledger {
    /// Locks what was seen.
    pub fn seen(&self) -> sync::MutexGuard<'_, Seen> {
        self.seen
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    /// Notes the begin of an attempt.
    pub fn begin(&self, attempt: Attempt) {
        let id = attempt.id.clone();
        self.seen().attempts.insert(id, attempt);
    }

    /// Notes the end of an attempt.
    pub fn end(&self, id: &str, end: End) {
        if let Some(attempt) = self.seen().attempts.get_mut(id) {
            attempt.end = Some((time::Instant::now(), end));
        }
    }

    /// Notes that a server begins with a request.
    pub fn run(&self, id: &str, run: Run) {
        let mut seen = self.seen();
        if !seen.attempts.contains_key(id) {
            let text = format!("server {} runs {id}, which nobody sent", run.server);
            seen.broken.push(text);
        }
        seen.runs.entry(id.to_owned()).or_default().push(run);
    }

    /// Notes that a server has answered a request to its end.
    pub fn answered(&self, id: &str, server: &str) {
        let mut seen = self.seen();
        let runs = seen.runs.get_mut(id).into_iter().flatten();
        for run in runs.filter(|run| run.server == server) {
            run.is_answered = true;
        }
    }

    /// Notes a broken promise.
    pub fn broken(&self, what: String) {
        self.seen().broken.push(what);
    }
}

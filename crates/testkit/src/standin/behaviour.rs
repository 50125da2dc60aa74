//! What a stand-in does, and what it shows of itself.

use nutmegdale_membership::announcement;
use std::fmt;
use std::sync;
use std::time;

/// How a stand-in behaves; may be changed while it runs.
#[derive(Debug, Clone)]
pub struct Behaviour {
    /// Time that one request takes; a higher value is a sudden slowness.
    pub service_time: time::Duration,
    /// Whether requests are refused as not run.
    pub sheds: bool,
    /// Whether requests are answered at once with status 500.
    pub fails: bool,
    /// Whether the connection is broken after the request was executed.
    pub breaks: bool,
    /// True state.
    pub state: announcement::ServerState,
    /// Requests that may wait for a slot; further ones are refused as not run.
    pub queue_max_count: u32,
    /// Time that a new connection takes, one after the other.
    pub connect_time: time::Duration,
    /// Requests after which a cold server is warm; `None` for never.
    pub warm_after_count: Option<u32>,
    /// Time after which a cold server is warm; `None` for never.
    pub warm_after: Option<time::Duration>,
    /// Time for which a cold server is stuck after it got more than its cold slots.
    pub collapse_time: time::Duration,
    /// Time between renewals. By default it is shorter than the answer to an announcement asks
    /// for, so that tests are quick.
    pub renew_time: time::Duration,
    /// What announcements show.
    pub announces: Shown,
    /// What the `nutmegdale-load` header shows.
    pub reports: Shown,
    /// Whether each execution is kept; a load run turns it off, so that memory stays bounded.
    pub keeps_executions: bool,
}

impl Default for Behaviour {
    fn default() -> Behaviour {
        Behaviour {
            service_time: time::Duration::from_millis(2),
            sheds: false,
            fails: false,
            breaks: false,
            state: announcement::ServerState::Warm,
            queue_max_count: 64,
            connect_time: time::Duration::from_millis(1),
            warm_after_count: None,
            warm_after: None,
            collapse_time: time::Duration::from_secs(2),
            renew_time: time::Duration::from_millis(500),
            announces: Shown::Truth,
            reports: Shown::Truth,
            keeps_executions: true,
        }
    }
}

/// What a stand-in shows of its load and state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Shown {
    /// What is true now.
    Truth,
    /// What was true at some time within the span.
    Late(time::Duration),
    /// Always the same, whatever is true.
    Fixed(Load),
    /// Nothing; announcements stop, answers carry no report.
    Nothing,
}

/// Load of a server, written as `running=2, waiting=0, slots=4, state=warm`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// Requests in a slot.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Slots.
    pub slots: u32,
    /// State.
    pub state: announcement::ServerState,
}

impl fmt::Display for Load {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let state = match self.state {
            announcement::ServerState::Cold => "cold",
            announcement::ServerState::Warm => "warm",
            announcement::ServerState::Draining => "draining",
            announcement::ServerState::Gone => "gone",
        };
        let Load {
            running,
            waiting,
            slots,
            ..
        } = self;
        write!(
            f,
            "running={running}, waiting={waiting}, slots={slots}, state={state}"
        )
    }
}

/// One place where a stand-in shows its load; keeps what a late one showed last.
#[derive(Debug, Default)]
pub(super) struct Display {
    last: sync::Mutex<Option<(time::Instant, Load)>>,
}

impl Display {
    /// Returns what is shown while `truth` is true.
    pub(super) fn show(&self, how: Shown, truth: Load) -> Option<Load> {
        let span = match how {
            Shown::Truth => return Some(truth),
            Shown::Fixed(load) => return Some(load),
            Shown::Nothing => return None,
            Shown::Late(span) => span,
        };
        let mut last = self.last.lock().expect("no panic while showing");
        match *last {
            Some((at, load)) if at.elapsed() < span => Some(load),
            _ => {
                *last = Some((time::Instant::now(), truth));
                Some(truth)
            }
        }
    }
}

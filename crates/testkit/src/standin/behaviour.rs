//! Configurable behaviour of a stand-in and the load that it reports.

use nutmegdale_membership::announcement;
use std::fmt;
use std::sync;
use std::time;

/// Behaviour of a stand-in; can be changed while it runs.
#[derive(Debug, Clone)]
pub struct Behaviour {
    /// Service time of a request.
    pub service_time: time::Duration,
    /// Whether requests are refused without being executed.
    pub sheds: bool,
    /// Whether requests are executed and immediately answered with status 500.
    pub fails: bool,
    /// Whether the connection is closed instead of answering an executed request.
    pub breaks: bool,
    /// Actual state, whatever the server reports.
    pub state: announcement::ServerState,
    /// Requests that may wait for a slot; further ones are refused without being executed.
    pub queue_max_count: u32,
    /// Delay before a new connection is accepted; one connection at a time.
    pub connect_time: time::Duration,
    /// Requests after which a cold server is warm; `None` for never.
    pub warm_after_count: Option<u32>,
    /// Time after which a cold server is warm; `None` for never.
    pub warm_after: Option<time::Duration>,
    /// Time for which a cold server stalls after more concurrent requests than it has cold slots.
    pub collapse_time: time::Duration,
    /// Interval of announcements. The default is shorter than the interval that the entry process
    /// requests, so that tests are fast.
    pub renew_time: time::Duration,
    /// Load and state in announcements.
    pub announces: LoadSource,
    /// Load and state in the `nutmegdale-load` header.
    pub reports: LoadSource,
    /// Whether the details of each execution are kept; a load run disables it to bound the memory.
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
            announces: LoadSource::Actual,
            reports: LoadSource::Actual,
            keeps_executions: true,
        }
    }
}

/// Source of the load and state that a stand-in reports.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadSource {
    /// The current values.
    Actual,
    /// Values that are up to this old.
    Stale(time::Duration),
    /// Constant values.
    Fixed(Load),
    /// No values: announcements stop, and answers carry no load report.
    Nothing,
}

/// Load of a server, written as `running=2, waiting=0, slots=4, state=warm`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// Requests that occupy a slot.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Number of slots.
    pub slots: u32,
    /// Announced state.
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

/// Applies a [`LoadSource`]; keeps the last values for a stale one.
#[derive(Debug, Default)]
pub(super) struct Reporter {
    last: sync::Mutex<Option<(time::Instant, Load)>>,
}

impl Reporter {
    /// Returns the values to report when the current ones are `actual`.
    pub(super) fn report(&self, source: LoadSource, actual: Load) -> Option<Load> {
        let span = match source {
            LoadSource::Actual => return Some(actual),
            LoadSource::Fixed(load) => return Some(load),
            LoadSource::Nothing => return None,
            LoadSource::Stale(span) => span,
        };
        let mut last = self.last.lock().expect("no panic while the lock is held");
        match *last {
            Some((at, load)) if at.elapsed() < span => Some(load),
            _ => {
                *last = Some((time::Instant::now(), actual));
                Some(actual)
            }
        }
    }
}

//! Load report of a server on its answers, the value of `nutmegdale-load`.

/// State that a report names.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum State {
    /// The server bears at most its cold slots.
    Cold,
    /// The server bears its full share.
    Warm,
    /// The server takes no new work.
    Draining,
}

/// Load report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Report {
    /// Requests in a slot.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// State, if the report names one.
    pub state: Option<State>,
}

impl Report {
    /// Reads a value such as `running=2, waiting=0, slots=4, state=warm`.
    ///
    /// Fields in any order; unknown ones are skipped, so that servers may add some. Returns `None`
    /// if `running` is missing or a known field is malformed, since a misread load is worse than
    /// none.
    pub fn parse(text: &str) -> Option<Report> {
        let mut running = None;
        let mut waiting = 0;
        let mut state = None;
        for field in text.split(',') {
            let (name, value) = field.trim().split_once('=')?;
            match name {
                "running" => running = Some(value.parse().ok()?),
                "waiting" => waiting = value.parse().ok()?,
                "state" => state = Some(parse_state(value)?),
                _ => {}
            }
        }
        Some(Report {
            running: running?,
            waiting,
            state,
        })
    }
}

fn parse_state(text: &str) -> Option<State> {
    match text {
        "cold" => Some(State::Cold),
        "warm" => Some(State::Warm),
        "draining" => Some(State::Draining),
        _ => None,
    }
}

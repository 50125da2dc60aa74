//! When the hub answers a sync that it may hold.

use crate::hub;
use nutmegdale_base::clock;

/// Longest time that a sync is held. Three of them fit into the configuration lease, so one lost
/// sync or a change of leader does not end it.
pub const HOLD_MS: clock::Millis = clock::Millis(1_000);
/// Shortest time between two answers to one entry process that were held. One change travels at
/// once; a burst of changes makes at most 10 answers a second to each.
pub const GATHER_MS: clock::Millis = clock::Millis(100);

/// What to do with a held sync.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// Answer it.
    Answer,
    /// Wait until this time or until something changes.
    WaitForNews(clock::Millis),
    /// Wait until this time; a change does not matter, since the answer is due anyhow.
    Gather(clock::Millis),
}

/// Held sync.
#[derive(Debug, Clone, Copy)]
pub struct Held {
    /// When it arrived.
    pub arrived: clock::Millis,
    /// When the entry process was last answered.
    pub last_answer: Option<clock::Millis>,
    /// Whether it may be held at all.
    pub may_hold: bool,
}

/// Returns whether a copy at `known` lacks something.
pub fn has_news(marks: hub::Marks, known: hub::Marks) -> bool {
    marks.epoch != known.epoch
        || marks.servers > known.servers
        || marks.entries > known.entries
        || marks.is_complete != known.is_complete
}

/// Decides about a held sync.
pub fn next(now: clock::Millis, held: Held, has_news: bool) -> Next {
    let ends = held.arrived + HOLD_MS;
    if !held.may_hold || ends <= now {
        return Next::Answer;
    }
    if !has_news {
        return Next::WaitForNews(ends);
    }
    match held.last_answer.map(|last| last + GATHER_MS) {
        Some(due) if now < due => Next::Gather(due.min(ends)),
        _ => Next::Answer,
    }
}

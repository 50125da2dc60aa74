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
pub enum Action {
    /// Answer it.
    Answer,
    /// Wait until this time or until something changes.
    WaitForChange(clock::Millis),
    /// Wait until this time; a change does not matter, since the answer is due anyhow.
    Batch(clock::Millis),
}

/// Held sync.
#[derive(Debug, Clone, Copy)]
pub struct HeldSync {
    /// When it arrived.
    pub arrived: clock::Millis,
    /// When the entry process was last answered.
    pub last_answer: Option<clock::Millis>,
    /// Whether it may be held at all.
    pub may_hold: bool,
}

/// Returns whether a copy at `known` lacks something.
pub fn has_changes(marks: hub::Watermarks, known: hub::Watermarks) -> bool {
    marks.epoch != known.epoch
        || marks.servers > known.servers
        || marks.entries > known.entries
        || marks.is_complete != known.is_complete
}

/// Decides about a held sync.
pub fn decide(now: clock::Millis, held: HeldSync, has_changes: bool) -> Action {
    let ends = held.arrived + HOLD_MS;
    if !held.may_hold || ends <= now {
        return Action::Answer;
    }
    if !has_changes {
        return Action::WaitForChange(ends);
    }
    match held.last_answer.map(|last| last + GATHER_MS) {
        Some(due) if now < due => Action::Batch(due.min(ends)),
        _ => Action::Answer,
    }
}

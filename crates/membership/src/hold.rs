//! Timing of the hub's answers to syncs, which are long polls.

use crate::hub;
use nutmegdale_base::clock;

/// Longest time that a sync is held. Three of them fit into the configuration lease, so one lost
/// sync or a leader change does not let the lease expire.
pub const HOLD_MS: clock::Millis = clock::Millis(1_000);
/// Minimum interval between the answers to held syncs of one entry process. A single change is
/// sent at once; a burst of changes causes at most 10 answers per second to each entry process.
pub const ANSWER_INTERVAL_MS: clock::Millis = clock::Millis(100);

/// Next step for a held sync.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Action {
    /// Answer it now.
    Answer,
    /// Wait for a change, at most until this time.
    WaitForChange(clock::Millis),
    /// Answer at this time, without waking for further changes.
    Batch(clock::Millis),
}

/// Sync that waits for its answer.
#[derive(Debug, Clone, Copy)]
pub struct HeldSync {
    /// Arrival time.
    pub arrived: clock::Millis,
    /// Time of the last answer to the entry process.
    pub last_answer: Option<clock::Millis>,
    /// Whether the entry process allows the answer to be delayed.
    pub may_hold: bool,
}

/// Returns whether a copy at `known` lacks changes of a table at `current`.
pub fn has_changes(current: hub::Watermarks, known: hub::Watermarks) -> bool {
    current.epoch != known.epoch
        || current.servers > known.servers
        || current.entries > known.entries
        || current.is_complete != known.is_complete
}

/// Decides the next step for a held sync. `has_changes` is whether there is anything to send.
pub fn decide(now: clock::Millis, held: HeldSync, has_changes: bool) -> Action {
    let hold_end = held.arrived + HOLD_MS;
    if !held.may_hold || hold_end <= now {
        return Action::Answer;
    }
    if !has_changes {
        return Action::WaitForChange(hold_end);
    }
    match held.last_answer.map(|last| last + ANSWER_INTERVAL_MS) {
        Some(due) if now < due => Action::Batch(due.min(hold_end)),
        _ => Action::Answer,
    }
}

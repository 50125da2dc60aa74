//! Actions that the driver must carry out after a step.

use crate::types;

/// Actions of one batch of steps, in the order in which the driver carries them out. The driver
/// clears and reuses the value.
///
/// Invariant: `messages` may depend on `hard_state`, `snapshot` and `entries`, so the driver sends
/// them only after those are durable.
#[derive(Debug, Default)]
pub struct Actions {
    /// New term or vote to persist.
    pub hard_state: Option<types::HardState>,
    /// Snapshot received from the leader, to persist and to restore the state machine from.
    pub snapshot: Option<types::Snapshot>,
    /// Entries to persist in order. Each one replaces any stored entries from its index on.
    pub entries: Vec<types::LogEntry>,
    /// Messages to send once the fields above are durable.
    pub messages: Vec<types::Envelope>,
    /// Newly committed entries, to apply in order.
    pub committed: Vec<types::LogEntry>,
    /// IDs of the reads that a quorum round confirmed. The driver completes them after it has
    /// applied `committed`.
    pub confirmed_reads: Vec<u64>,
    /// Whether this replica lost leadership, so that all its pending reads and proposals fail.
    pub is_leadership_lost: bool,
}

impl Actions {
    /// Clears all actions and keeps the allocated memory.
    pub fn clear(&mut self) {
        self.hard_state = None;
        self.snapshot = None;
        self.entries.clear();
        self.messages.clear();
        self.committed.clear();
        self.confirmed_reads.clear();
        self.is_leadership_lost = false;
    }
}

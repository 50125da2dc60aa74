//! What a driver must do after a step.

use crate::types;

/// Actions of one step, in the order in which the driver carries them out; cleared and reused.
///
/// Invariant: `messages` may promise what `hard_state`, `snapshot` and `entries` record, so the
/// driver sends them only after those are durable.
#[derive(Debug, Default)]
pub struct Actions {
    /// New term or vote to persist.
    pub hard_state: Option<types::HardState>,
    /// Received snapshot to persist and to restore the state machine from.
    pub snapshot: Option<types::Snapshot>,
    /// Entries to persist. The first one replaces every entry from its index on.
    pub entries: Vec<types::LogEntry>,
    /// Messages to send once the above is durable.
    pub messages: Vec<types::Envelope>,
    /// Entries newly committed, to apply in order.
    pub committed: Vec<types::LogEntry>,
    /// Reads that a quorum confirmed, by the number that the driver gave them. The driver answers
    /// them after it has applied `committed`.
    pub confirmed_reads: Vec<u64>,
    /// Reads and proposals that failed because this replica lost the lead.
    pub is_lead_lost: bool,
}

impl Actions {
    /// Empties every list and keeps its memory.
    pub fn clear(&mut self) {
        self.hard_state = None;
        self.snapshot = None;
        self.entries.clear();
        self.messages.clear();
        self.committed.clear();
        self.confirmed_reads.clear();
        self.is_lead_lost = false;
    }
}

//! State machine of a group.

/// Deterministic state that every replica of a group builds from the same commands.
pub trait StateMachine: Send {
    /// Applies the committed command at `index` and writes its answer to `reply`.
    fn apply(&mut self, index: u64, cmd: &[u8], reply: &mut Vec<u8>);

    /// Writes the whole state to `buf`.
    fn snapshot(&self, buf: &mut Vec<u8>);

    /// Replaces the state by one that [`StateMachine::snapshot`] wrote.
    ///
    /// # Errors
    ///
    /// Returns what is wrong with the snapshot; the replica then stops.
    fn restore(&mut self, snapshot: &[u8]) -> Result<(), String>;
}

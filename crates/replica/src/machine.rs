//! Interface of the replicated state machine.

/// Deterministic state that every replica of a group builds from the same commands.
pub trait StateMachine: Send {
    /// Applies the committed command at `index` and writes its reply to `reply`.
    fn apply(&mut self, index: u64, cmd: &[u8], reply: &mut Vec<u8>);

    /// Writes the encoded state to `buf`.
    fn snapshot(&self, buf: &mut Vec<u8>);

    /// Replaces the state with one that [`StateMachine::snapshot`] wrote.
    ///
    /// # Errors
    ///
    /// Returns a description of the error if the snapshot cannot be decoded; the replica then
    /// stops.
    fn restore(&mut self, snapshot: &[u8]) -> Result<(), String>;
}

//! Border to the network.

use nutmegdale_consensus::types;

/// Sends messages to other replicas. It may drop a message and never blocks.
pub trait Transport: Send + Sync {
    /// Sends a message, or drops it if the receiver is unknown or too slow.
    fn send(&self, to: types::ReplicaId, msg: &types::Envelope);

    /// Tells where the members of a group are.
    fn set_members(&self, members: &types::MemberSet);
}

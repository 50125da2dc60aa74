//! Interface to the network.

use nutmegdale_consensus::types;

/// Sends messages to other replicas. It may drop messages and must not block.
pub trait Transport: Send + Sync {
    /// Sends a message, or drops it if the receiver is unknown or cannot keep up.
    fn send(&self, to: types::ReplicaId, msg: &types::Envelope);

    /// Updates the addresses of the members of a group.
    fn set_members(&self, members: &types::MemberSet);
}

//! Facts that entry processes tell each other, without the coordinators.
//!
//! Some facts on servers have to be known to all entry processes within seconds, also while the
//! coordinators are away: the rate limits that servers name ([`server_limits`]), and the requests
//! under which servers crashed ([`crashes`]). A process that
//! learns a fact tells it to a few others, which do the same (rumor mongering), and processes that
//! hold any facts compare them from time to time (anti-entropy), so that one that was cut off,
//! frozen or restarted catches up. Without facts nothing is sent, except for one comparison after a
//! start.
//!
//! The crate does no I/O and reads no clock: [`state::State`] holds the facts on a [`store::Store`],
//! merges what arrives and says which [`message::Message`] goes to which peer. The caller is
//! `nutmegdale-gateway`, which sends them in datagrams. See
//! [docs/design/gossip.md](../../../docs/design/gossip.md).

pub mod crashes;
pub mod message;
pub mod peers;
pub mod server_limits;
pub mod state;
pub mod store;

//! Record of one-time requests as a pure state machine.
//!
//! A request is identified by a [`key::KeyId`] and described by a [`key::Digest`]. The commands of
//! [`command`] claim a key, record the answer, release an unused claim, give up a broken one and
//! let time pass; [`state::State`] applies them in the order of a replicated log. Invariants: a key
//! is granted to one attempt at a time, a key whose attempt may have sent something is never
//! granted again before its record expires, and nothing turns an unknown outcome into a released
//! key. See [docs/design.md](../../../docs/design.md), section 6.

pub mod command;
pub mod key;
pub mod state;

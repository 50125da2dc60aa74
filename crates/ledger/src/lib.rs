//! Ledger of one-time requests as a deterministic state machine.
//!
//! A [`key::KeyId`] identifies a request, and a [`key::Digest`] covers its content. The commands of
//! [`command`] claim a key, record the answer, release an unused claim, mark the outcome of an
//! interrupted attempt as unknown, and advance the clock; [`state::State`] applies them in the
//! order of a replicated log. Invariants: a key is granted to one attempt at a time, a key whose
//! attempt may have sent something is never granted again before its record expires, and an
//! unknown outcome never becomes a released key. See
//! [docs/design.md](../../../docs/design.md), section 6.

pub mod command;
pub mod key;
pub mod state;

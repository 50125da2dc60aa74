//! Invariant checks, implemented independently of the code that maintains the invariants.
//!
//! Tests and audits use this crate; nothing on the path of a request does. Each module reads plain
//! records of what was observed and returns the violations. The invariants are listed in
//! [docs/design.md](../../../docs/design.md), section 1.

pub mod catalogue;
pub mod grants;
pub mod history;
pub mod ledger;

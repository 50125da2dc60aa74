//! Checks of invariants, written apart from the code that maintains them.
//!
//! Tests and audits use this crate; nothing on the path of a request does. Each module reads plain
//! records and returns what is broken in words. The invariants are listed in
//! [docs/design.md](../../../docs/design.md), section 1.

pub mod catalogue;
pub mod grants;
pub mod history;
pub mod ledger;

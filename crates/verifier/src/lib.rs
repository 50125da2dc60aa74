//! Invariant checks, independent of the code that keeps the invariants.

pub mod ledger;

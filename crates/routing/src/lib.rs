//! The immutable routing table that the request path reads.
//!
//! [`view::View`] joins a catalogue version with the announced servers and resolves every name to
//! an index, so that a request reads dense tables only. [`permit::Permit`] is the single place
//! where home regions are enforced: each forward and each write of a request takes one. A view is
//! built off the request path and published as a whole. See
//! [docs/design.md](../../../docs/design.md), sections 6 and 8.

pub mod permit;
pub mod view;

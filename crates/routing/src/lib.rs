//! The immutable view that the path of a request reads.
//!
//! [`view::View`] joins a catalogue version with the announced servers and resolves every name to
//! an index, so that a request touches dense tables only. [`permit::Permit`] is the single place
//! where home regions are enforced: each forward and each write of a request takes one. The view is
//! built apart from the path of requests and published whole. See
//! [docs/design.md](../../../docs/design.md), sections 6 and 8.

pub mod permit;
pub mod view;

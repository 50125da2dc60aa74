//! Whether, when and how often a request may be sent.
//!
//! Every decision is a plain function of atomics, the time and the request: [`limit`] applies the
//! limits of routes and accounts, whose parts [`shares`] divides among the entry processes,
//! [`bulk`] bounds bulk work, [`retry`] bounds second sends, [`hedge`] says when one is worth it,
//! [`deadline`] bounds them all in time, and [`measuring`] is the budget of the system's own
//! messages. All of them are built on [`bucket`]. No function waits; a refusal names the time after
//! which a new try makes sense. See [docs/design.md](../../../docs/design.md), section 6.

pub mod bucket;
pub mod bulk;
pub mod deadline;
pub mod hedge;
pub mod limit;
pub mod measuring;
pub mod retry;
pub mod shares;

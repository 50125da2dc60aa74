//! Admission control: whether, when and how often a request may be sent.
//!
//! Every decision is a function of atomics, the time and the request. [`limit`] enforces the limits
//! of routes and accounts, and [`shares`] divides these among the entry processes. [`bulk`] limits
//! bulk requests, [`retry`] limits retries and hedges, [`hedge`] sets the delay of hedges, and
//! [`deadline`] bounds the time of all attempts. [`measuring`] is the budget for the system's own
//! traffic. [`bucket`] is the token bucket that most of them use. No function blocks; a refusal
//! states when a retry makes sense. See [docs/design.md](../../../docs/design.md), section 6.

pub mod bucket;
pub mod bulk;
pub mod deadline;
pub mod hedge;
pub mod limit;
pub mod measuring;
pub mod retry;
pub mod shares;

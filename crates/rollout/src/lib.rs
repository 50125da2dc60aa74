//! Roll-outs: moving the traffic of a service to servers of another software version.
//!
//! [`bound`] holds what a deployment allows. The crate does no I/O, reads no clock and knows no
//! encoding; `nutmegdale-registry` keeps the state of roll-outs, `nutmegdale-coordinator` decides with
//! this crate and `nutmegdale-gateway` divides the traffic. See
//! [docs/design/rollouts.md](../../../docs/design/rollouts.md).

pub mod bound;

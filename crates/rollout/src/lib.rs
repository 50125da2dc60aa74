//! Rollouts: moving the traffic of a service to servers of another software version.
//!
//! [`bound`] holds what a deployment allows. [`share`] decides which requests of an entry process
//! are canary requests, [`evidence`] counts what requests experience, [`reports`] collects the
//! counts of all processes, [`mod@test`] compares both versions and [`plan`] decides the next stage. The
//! crate does no I/O, reads no clock and knows no encoding; `nutmegdale-registry` keeps the state of
//! rollouts, `nutmegdale-coordinator` decides with this crate and `nutmegdale-gateway` divides the
//! traffic. See [docs/design/rollouts.md](../../../docs/design/rollouts.md).

pub mod bound;
pub mod evidence;
pub mod plan;
pub mod reports;
pub mod share;
pub mod test;

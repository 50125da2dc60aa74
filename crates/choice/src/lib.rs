//! Server selection: which backend server gets a request.
//!
//! [`signal::Signal`] holds the load signal of one server in atomics that every thread updates;
//! [`policy::Policy`] selects among candidates by these signals. The crate opens no sockets and
//! reads no clock: time and randomness are passed in, so that a recorded trace replays every
//! decision. The entry service uses [`least_cost::LeastCost`]; docs/measurements.md compares it
//! with the policies of [`baseline`] and [`p2c`]. See [docs/design.md](../../../docs/design.md),
//! section 6, "Warm servers".

pub mod baseline;
pub mod least_cost;
pub mod p2c;
pub mod policy;
pub mod report;
pub mod signal;

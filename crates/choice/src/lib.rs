//! Which backend server gets a request.
//!
//! [`signal::Signal`] holds what one entry process knows of a server's load, in atomics that every
//! thread updates; [`policy::Policy`] chooses among candidates by those signals. The crate knows no
//! sockets and no machine clock: time and randomness are passed in, so a recorded trace replays
//! every choice. The entry service uses [`least_cost::LeastCost`]; the policies of [`baseline`] and
//! [`p2c`] are what docs/measurements.md compares it with. See
//! [docs/design.md](../../../docs/design.md), section 6, "Warm servers".

pub mod baseline;
pub mod least_cost;
pub mod p2c;
pub mod policy;
pub mod report;
pub mod signal;

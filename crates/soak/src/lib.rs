//! Fault soak: the real programs as separate processes on loopback, faults from outside, and the
//! promises checked from what callers and backend servers see. Not shipped.
//!
//! [`plan`] draws faults from a seed, [`process`] starts and signals the programs, [`server`] and
//! [`caller`] are the stand-ins on both sides, [`ledger`] notes what they saw and [`check`] holds
//! it against the promises. [`scene`] plays one seed. What is spoken on the wire is behind
//! [`wire::Wire`], so that the soak knows no platform. Start with [`scene`]; see
//! [docs/development.md](../../../docs/development.md) for how to run it.

pub mod caller;
pub mod check;
mod faults;
pub mod ledger;
pub mod operator;
pub mod plan;
pub mod process;
pub mod scene;
pub mod server;
pub mod wire;

//! Fault-injection soak test: runs the real programs as separate processes on loopback, injects
//! faults from outside, and checks the system's guarantees from what callers and backend servers
//! observe. Not shipped.
//!
//! [`plan`] draws faults from a seed, [`process`] starts and signals the programs, [`server`] and
//! [`caller`] stand in for the backend servers and the clients, [`ledger`] records what they
//! observe, and [`check`] evaluates the record. [`scenario`] runs one seed. The wire format is
//! behind [`wire::Wire`], so that the soak depends on no platform. Start with [`scenario`]; see
//! [docs/development.md](../../../docs/development.md) for how to run it.

pub mod caller;
pub mod check;
mod faults;
pub mod ledger;
pub mod operator;
pub mod plan;
pub mod process;
pub mod scenario;
pub mod server;
pub mod wire;

//! Decisions on the path of a request: where it goes, whether it is refused, sent again or hedged.
//!
//! The crate is pure; what an entry process shares between its threads are atomics. [`signal`]
//! holds what is known of the load of one server and how that ages, [`health`] takes failing
//! servers out of the choice, [`cold`] paces requests to servers that warm up, [`placement`]
//! predicts when each server would answer, [`hedge`] says when a second send is due, [`budget`]
//! bounds second sends and [`admission`] decides whether a request can still be served. Nothing
//! here knows HTTP; `nutmegdale-gateway` is the
//! caller and the next crate to read.

pub mod admission;
pub mod budget;
pub mod cold;
pub mod estimate;
pub mod health;
pub mod hedge;
pub mod placement;
pub mod signal;
pub mod split;

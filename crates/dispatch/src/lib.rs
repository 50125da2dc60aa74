//! Decisions on the request path: server selection, admission, retries and hedges.
//!
//! The crate does no I/O and reads no clock. State that the threads of an entry process share is
//! held in atomics or behind short locks. [`signal`] holds the load signal of one server and ages
//! it, [`health`] ejects failing servers, [`availability`] keeps away from servers that ask for
//! it, [`connects`] limits the connections that health checks open, [`server_rate`] divides
//! the rate of a server that warms up or names a limit among the processes, [`server_limit`] holds
//! the limits that servers name, [`placement`] predicts the latency of each candidate server and ranks
//! them, [`estimate`] learns the cost of a route's requests from responses, [`hedge`] decides
//! when a hedged request is due, [`locality`] how many requests leave the zone, [`budget`] limits
//! retries and hedges, [`split`] divides a route's requests among services, [`pressure`] measures
//! how short of capacity a service is, [`precedence`] keeps slots free for urgent requests, as
//! far as [`demand`] shows some, [`return_time`] tells refused callers when to return,
//! [`crash`] which requests a crash of a server is attributed to,
//! [`shedding`] tells a service that rejects a part of its requests from a server that fails, and
//! [`admission`] decides whether a request can still be served in time. Nothing here depends on
//! HTTP; the caller is `nutmegdale-gateway`.

pub mod admission;
pub mod availability;
pub mod budget;
pub mod connects;
pub mod crash;
pub mod demand;
pub mod estimate;
pub mod health;
pub mod hedge;
pub mod locality;
pub mod placement;
pub mod precedence;
pub mod pressure;
pub mod return_time;
pub mod server_limit;
pub mod server_rate;
pub mod shedding;
pub mod signal;
pub mod split;

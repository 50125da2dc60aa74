//! Checks the limits of cold servers: only one entry process at a time sends to a cold server, and
//! never more concurrent requests than the server's cold slots.

use displaydoc::Display;
use std::collections;

/// Violation of a cold server's limits.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Violation {
    /// cold server {server} is limited to {bound} concurrent requests and got {present}
    OverBound {
        /// Name of the server.
        server: String,
        /// Concurrent requests that the server can handle while it is cold.
        bound: u32,
        /// Concurrent requests at the server.
        present: u32,
    },
    /// server {server} got a request of {second} while one of {first} was in flight
    TwoHolders {
        /// Name of the server.
        server: String,
        /// Holder with a request in flight.
        first: String,
        /// Other holder that sent a request meanwhile.
        second: String,
    },
}

impl std::error::Error for Violation {}

#[derive(Debug, Default)]
struct InFlight {
    by_holder: collections::BTreeMap<String, u32>,
}

/// Tracks the requests in flight at cold servers, by the incarnation of the entry process that
/// sent them (the holder).
#[derive(Debug)]
pub struct Checker {
    bound: u32,
    servers: collections::BTreeMap<String, InFlight>,
    /// Highest number of concurrent requests at one server so far.
    pub most_present: u32,
    /// Number of requests that were sent.
    pub begun_count: u64,
}

impl Checker {
    /// Creates a checker for servers with `bound` cold slots each.
    pub fn new(bound: u32) -> Checker {
        Checker {
            bound,
            servers: collections::BTreeMap::new(),
            most_present: 0,
            begun_count: 0,
        }
    }

    /// Records the start of a request.
    ///
    /// # Errors
    ///
    /// Returns the violation that the request causes; the request is counted nevertheless.
    pub fn begin(&mut self, server: &str, holder: &str) -> Result<(), Violation> {
        self.begun_count += 1;
        let in_flight = self.servers.entry(server.to_owned()).or_default();
        let first = in_flight
            .by_holder
            .keys()
            .find(|name| *name != holder)
            .cloned();
        *in_flight.by_holder.entry(holder.to_owned()).or_default() += 1;
        let present = in_flight.by_holder.values().sum();
        self.most_present = self.most_present.max(present);
        if let Some(first) = first {
            return Err(Violation::TwoHolders {
                server: server.to_owned(),
                first,
                second: holder.to_owned(),
            });
        }
        if present > self.bound {
            return Err(Violation::OverBound {
                server: server.to_owned(),
                bound: self.bound,
                present,
            });
        }
        Ok(())
    }

    /// Records the end of a request; ignored if the holder's process has ended meanwhile.
    pub fn end(&mut self, server: &str, holder: &str) {
        if let Some(in_flight) = self.servers.get_mut(server)
            && let Some(count) = in_flight.by_holder.get_mut(holder)
        {
            *count -= 1;
            if *count == 0 {
                in_flight.by_holder.remove(holder);
            }
        }
    }

    /// Removes all requests of a holder whose process has ended.
    pub fn remove_holder(&mut self, holder: &str) {
        for in_flight in self.servers.values_mut() {
            in_flight.by_holder.remove(holder);
        }
    }
}

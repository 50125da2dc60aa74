//! Cold servers: one holder at a time, and never more than the cold slots at once.

use displaydoc::Display;
use std::collections;

/// Broken rule.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Violation {
    /// server {server} bears {bound} requests while cold and got {present} at once from holders
    OverBound {
        /// Server.
        server: String,
        /// Requests that it bears.
        bound: u32,
        /// Requests that were there at once.
        present: u32,
    },
    /// server {server} got a request of {second} while one of {first} was there
    TwoHolders {
        /// Server.
        server: String,
        /// Holder whose request was there.
        first: String,
        /// Holder that sent another one.
        second: String,
    },
}

impl std::error::Error for Violation {}

#[derive(Debug, Default)]
struct Present {
    by_holder: collections::BTreeMap<String, u32>,
}

/// Requests at cold servers, by the start of the entry process that sent them.
#[derive(Debug)]
pub struct Checker {
    bound: u32,
    servers: collections::BTreeMap<String, Present>,
    /// Most requests at one server at once.
    pub most_present: u32,
    /// Requests that began.
    pub begun_count: u64,
}

impl Checker {
    /// Creates a checker for servers that bear `bound` requests each.
    pub fn new(bound: u32) -> Checker {
        Checker {
            bound,
            servers: collections::BTreeMap::new(),
            most_present: 0,
            begun_count: 0,
        }
    }

    /// Counts a request in.
    ///
    /// # Errors
    ///
    /// Names the rule that the request breaks; it is counted all the same.
    pub fn begin(&mut self, server: &str, holder: &str) -> Result<(), Violation> {
        self.begun_count += 1;
        let there = self.servers.entry(server.to_owned()).or_default();
        let first = there.by_holder.keys().find(|name| *name != holder).cloned();
        *there.by_holder.entry(holder.to_owned()).or_default() += 1;
        let present = there.by_holder.values().sum();
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

    /// Counts a request out; one of a holder that has gone meanwhile is ignored.
    pub fn end(&mut self, server: &str, holder: &str) {
        if let Some(there) = self.servers.get_mut(server)
            && let Some(count) = there.by_holder.get_mut(holder)
        {
            *count -= 1;
            if *count == 0 {
                there.by_holder.remove(holder);
            }
        }
    }

    /// Drops every request of a holder whose process has ended.
    pub fn gone(&mut self, holder: &str) {
        for there in self.servers.values_mut() {
            there.by_holder.remove(holder);
        }
    }
}

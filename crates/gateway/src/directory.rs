//! Chooses the addresses that a caller may connect to.

use crate::{state, table};
use nutmegdale_registry::follow;
use std::net;

/// Addresses in one answer.
pub const ADDRESSES_MAX_COUNT: usize = 64;
/// Addresses that an answer should have at least, so that a caller whose first choice fails has
/// another one.
const WANTED_COUNT: usize = 2;

/// Caller that asks.
#[derive(Debug, Clone, Copy)]
pub struct Caller<'a> {
    /// Its zone, if it says one.
    pub zone: &'a str,
    /// Its region, if it says one.
    pub region: &'a str,
}

/// Returns the entry processes that callers may be sent to: those of the table, and this process
/// if it is ready, since after a loss of power coordinators take a while to hear of everyone.
pub fn entries(shared: &state::Shared, table: &table::Table) -> Vec<follow::Entry> {
    let own = &shared.settings.entry;
    let mut entries = table.entries.clone();
    if shared.is_ready() && !entries.iter().any(|entry| entry.address == own.address) {
        entries.push(own.clone());
    }
    entries
}

/// Returns the addresses for a caller: those of its zone, which spares it traffic between zones,
/// and further ones if there are too few. `homes` are the regions that its requests are bound to.
///
/// A caller picks among the addresses at random, so none is named that is merely possible.
pub fn addresses(
    entries: &[follow::Entry],
    caller: Caller<'_>,
    homes: &[String],
) -> Vec<net::SocketAddr> {
    let mut found = Vec::new();
    let steps: [&dyn Fn(&follow::Entry) -> bool; 4] = [
        &|entry| entry.zone == caller.zone,
        &|entry| entry.region == caller.region,
        &|entry| homes.contains(&entry.region),
        &|_| homes.is_empty(),
    ];
    for step in steps {
        if found.len() >= WANTED_COUNT {
            break;
        }
        for entry in entries.iter().filter(|entry| step(entry)) {
            if !found.contains(&entry.address) && found.len() < ADDRESSES_MAX_COUNT {
                found.push(entry.address);
            }
        }
    }
    found
}

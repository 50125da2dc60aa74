//! Selects the entry processes to which a caller may connect.

use crate::{state, table};
use nutmegdale_registry::follow;
use std::net;

/// Maximum number of addresses in one response.
pub const ADDRESSES_MAX_COUNT: usize = 64;
/// Number of addresses below which the search is widened, so that a caller can fail over to another
/// address.
const ADDRESSES_MIN_COUNT: usize = 2;

/// Location of a caller.
#[derive(Debug, Clone, Copy)]
pub struct Caller<'a> {
    /// Zone of the caller; empty if it states none.
    pub zone: &'a str,
    /// Region of the caller; empty if it states none.
    pub region: &'a str,
}

/// Returns the entry processes that are ready for callers: those of the table, and this process if
/// it is ready, since coordinators take a while to rebuild the list after a power loss.
pub fn entries(shared: &state::Shared, table: &table::Table) -> Vec<follow::Entry> {
    let own_entry = &shared.settings.entry;
    let mut entries = table.entries.clone();
    if shared.is_ready()
        && !entries
            .iter()
            .any(|entry| entry.address == own_entry.address)
    {
        entries.push(own_entry.clone());
    }
    entries
}

/// Returns the addresses for a caller: those in its zone, which avoids traffic between zones, and
/// more distant ones only if there are too few. `home_regions` are the regions to which its
/// requests are restricted; empty if they are not.
///
/// A caller picks among the addresses at random, so the list contains no mere fallbacks.
pub fn addresses(
    entries: &[follow::Entry],
    caller: Caller<'_>,
    home_regions: &[String],
) -> Vec<net::SocketAddr> {
    let mut addresses = Vec::new();
    let tiers: [&dyn Fn(&follow::Entry) -> bool; 4] = [
        &|entry| entry.zone == caller.zone,
        &|entry| entry.region == caller.region,
        &|entry| home_regions.contains(&entry.region),
        &|_| home_regions.is_empty(),
    ];
    for is_in_tier in tiers {
        if addresses.len() >= ADDRESSES_MIN_COUNT {
            break;
        }
        for entry in entries.iter().filter(|entry| is_in_tier(entry)) {
            if !addresses.contains(&entry.address) && addresses.len() < ADDRESSES_MAX_COUNT {
                addresses.push(entry.address);
            }
        }
    }
    addresses
}

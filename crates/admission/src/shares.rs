//! Division of a catalogue limit among the live entry processes.

use serde::{Deserialize, Serialize};
use std::collections;

/// The whole of a limit, in the unit of shares.
pub const WHOLE_MILLI: u32 = 1_000;
/// Part of each limit that is divided evenly, so that a process without demand can accept a first
/// request; the rest follows the demand, since callers keep to one address for a while.
const EVEN_MILLI: u32 = 100;

/// Demand of one entry process for one limit, since its last sync.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// Name of the limit: `route:` or `account:` and the name of the entry.
    pub limit: String,
    /// Requests per second that asked.
    pub per_sec: u32,
}

/// Share of one entry process of one limit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// Name of the limit.
    pub limit: String,
    /// Share in thousandths.
    pub milli: u32,
}

/// Returns the share of a process that has no other answer: an even one.
pub fn even_share(entries_count: usize) -> u32 {
    let entries = u32::try_from(entries_count.max(1)).unwrap_or(u32::MAX);
    WHOLE_MILLI / entries
}

/// Demand of every entry process, kept by the leader.
#[derive(Debug, Default)]
pub struct DemandTable {
    by_limit: collections::BTreeMap<String, collections::BTreeMap<String, u32>>,
}

impl DemandTable {
    /// Creates an empty table.
    pub fn new() -> DemandTable {
        DemandTable::default()
    }

    /// Replaces what an entry process asks for.
    pub fn set_demand(&mut self, entry: &str, demands: &[Demand]) {
        for demand in demands {
            let entries = self.by_limit.entry(demand.limit.clone()).or_default();
            if demand.per_sec == 0 {
                entries.remove(entry);
            } else {
                entries.insert(entry.to_owned(), demand.per_sec);
            }
        }
    }

    /// Drops entry processes that are not live and limits that nobody asks for.
    pub fn retain(&mut self, is_live: impl Fn(&str) -> bool) {
        for entries in self.by_limit.values_mut() {
            entries.retain(|entry, _| is_live(entry));
        }
        self.by_limit.retain(|_, entries| !entries.is_empty());
    }

    /// Returns the shares of an entry process for the limits that it asks for.
    ///
    /// Shares of one limit never add up to more than the whole for one state of the table; between
    /// two syncs they may exceed it by what moved from one process to another.
    pub fn shares_of(&self, entry: &str, entries_count: usize) -> Vec<Share> {
        let even_part = even_share(entries_count) * EVEN_MILLI / WHOLE_MILLI;
        let of_limit = |(limit, entries): (&String, &collections::BTreeMap<String, u32>)| {
            let own = u64::from(*entries.get(entry)?);
            let all: u64 = entries.values().map(|per_sec| u64::from(*per_sec)).sum();
            let by_demand = u64::from(WHOLE_MILLI - EVEN_MILLI) * own / all;
            Some(Share {
                limit: limit.clone(),
                milli: even_part + u32::try_from(by_demand).unwrap_or(0),
            })
        };
        self.by_limit.iter().filter_map(of_limit).collect()
    }
}

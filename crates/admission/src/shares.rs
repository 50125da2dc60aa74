//! Division of catalogue limits among the live entry processes.

use serde::{Deserialize, Serialize};
use std::collections;

/// Share that stands for the whole of a limit, in thousandths.
pub const WHOLE_MILLI: u32 = 1_000;
/// Part of each limit that is divided evenly, in thousandths, so that a process without demand can
/// admit a first request. The rest follows the demand, since callers keep using one address for a
/// while.
const EVEN_MILLI: u32 = 100;

/// Demand of one entry process on one limit since its last sync.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Demand {
    /// Name of the limit: `route:` or `account:` followed by the name of the catalogue entry.
    pub limit: String,
    /// Requests per second offered to the limit, admitted or not.
    pub per_sec: u32,
}

/// Share of one entry process of one limit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Share {
    /// Name of the limit, as in [`Demand::limit`].
    pub limit: String,
    /// Share of the limit, in thousandths.
    pub milli: u32,
}

/// Returns an equal share in thousandths, which applies to a process until it is assigned another.
pub fn even_share(entries_count: usize) -> u32 {
    let entries = u32::try_from(entries_count.max(1)).unwrap_or(u32::MAX);
    WHOLE_MILLI / entries
}

/// Demand of every entry process by limit, kept by the leader.
#[derive(Debug, Default)]
pub struct DemandTable {
    by_limit: collections::BTreeMap<String, collections::BTreeMap<String, u32>>,
}

impl DemandTable {
    /// Creates an empty table.
    pub fn new() -> DemandTable {
        DemandTable::default()
    }

    /// Replaces the demand of an entry process on the limits in `demands`.
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

    /// Removes entry processes that are not live, and limits without demand.
    pub fn retain(&mut self, is_live: impl Fn(&str) -> bool) {
        for entries in self.by_limit.values_mut() {
            entries.retain(|entry, _| is_live(entry));
        }
        self.by_limit.retain(|_, entries| !entries.is_empty());
    }

    /// Returns the shares of an entry process for the limits on which it has demand.
    ///
    /// For one state of the table, the shares of a limit never add up to more than the whole.
    /// Between two syncs they may exceed it by the amount that moved from one process to another.
    pub fn shares_of(&self, entry: &str, entries_count: usize) -> Vec<Share> {
        let even_milli = even_share(entries_count) * EVEN_MILLI / WHOLE_MILLI;
        let share_of = |(limit, entries): (&String, &collections::BTreeMap<String, u32>)| {
            let own = u64::from(*entries.get(entry)?);
            let all: u64 = entries.values().map(|per_sec| u64::from(*per_sec)).sum();
            let by_demand = u64::from(WHOLE_MILLI - EVEN_MILLI) * own / all;
            Some(Share {
                limit: limit.clone(),
                milli: even_milli + u32::try_from(by_demand).unwrap_or(0),
            })
        };
        self.by_limit.iter().filter_map(share_of).collect()
    }
}

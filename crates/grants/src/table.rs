//! The leader's record of grants.

use crate::HOLD_OFF_MS;
use crate::message;
use nutmegdale_base::clock;
use std::collections;

#[derive(Debug)]
struct Held {
    entry: String,
    boot: u64,
    id: message::GrantId,
    renewed: clock::Millis,
}

/// Grants of one leader's term.
///
/// Invariant: a server has one holder at a time, and another one only after a release that names
/// the grant, or [`HOLD_OFF_MS`] after its last renewal. The table of a new term knows nothing of
/// the old one's grants, so it waits as long before its first grant.
#[derive(Debug)]
pub struct Table {
    epoch: u64,
    opens: clock::Millis,
    next_number: u64,
    held: collections::BTreeMap<String, Held>,
}

impl Table {
    /// Creates the table of a leader that took up its term at `now` or before.
    pub fn new(epoch: u64, now: clock::Millis) -> Table {
        // Nobody can hold a grant of a term before the first one.
        let opens = if epoch <= 1 { now } else { now + HOLD_OFF_MS };
        Table {
            epoch,
            opens,
            next_number: 1,
            held: collections::BTreeMap::new(),
        }
    }

    /// Returns the term.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Takes the releases of a sync and returns whether a server became free.
    pub fn release(&mut self, entry: &str, boot: u64, released: &[message::Grant]) -> bool {
        let mut any = false;
        for grant in released {
            let is_current = self
                .held
                .get(&grant.server)
                .is_some_and(|held| held.is_of(entry, boot) && held.id == grant.id);
            if is_current {
                self.held.remove(&grant.server);
                any = true;
            }
        }
        any
    }

    /// Returns whether a server that is wanted could be granted and is not held by the asker.
    pub fn has_grantable(
        &self,
        now: clock::Millis,
        entry: &str,
        boot: u64,
        wanted: &[String],
    ) -> bool {
        let is_free = |server: &String| match self.held.get(server) {
            None => now >= self.opens,
            Some(held) => !held.is_of(entry, boot) && held.is_over(now),
        };
        wanted.iter().any(is_free)
    }

    /// Grants or renews what is wanted and may be had.
    ///
    /// The answer must reach the entry process only if a quorum confirmed the term after the sync
    /// was sent.
    pub fn grant(
        &mut self,
        now: clock::Millis,
        entry: &str,
        boot: u64,
        wanted: &[String],
    ) -> Vec<message::Grant> {
        let mut granted = Vec::new();
        for server in wanted {
            if let Some(id) = self.grant_one(now, entry, boot, server) {
                granted.push(message::Grant {
                    server: server.clone(),
                    id,
                });
            }
        }
        granted
    }

    fn grant_one(
        &mut self,
        now: clock::Millis,
        entry: &str,
        boot: u64,
        server: &str,
    ) -> Option<message::GrantId> {
        if let Some(held) = self.held.get_mut(server) {
            if held.is_of(entry, boot) {
                held.renewed = now;
                return Some(held.id);
            }
            if !held.is_over(now) {
                return None;
            }
        }
        if now < self.opens {
            return None;
        }
        let id = message::GrantId {
            epoch: self.epoch,
            number: self.next_number,
        };
        self.next_number += 1;
        let held = Held {
            entry: entry.to_owned(),
            boot,
            id,
            renewed: now,
        };
        self.held.insert(server.to_owned(), held);
        Some(id)
    }

    /// Returns whether the grant of a server is with an entry process.
    pub fn is_held_by(&self, entry: &str, boot: u64, server: &str) -> bool {
        let held = self.held.get(server);
        held.is_some_and(|held| held.is_of(entry, boot))
    }

    /// Returns the server, the holder's name and start number of each grant.
    pub fn holders(&self) -> impl Iterator<Item = (&str, &str, u64)> {
        self.held
            .iter()
            .map(|(server, held)| (server.as_str(), held.entry.as_str(), held.boot))
    }
}

impl Held {
    fn is_of(&self, entry: &str, boot: u64) -> bool {
        self.entry == entry && self.boot == boot
    }

    fn is_over(&self, now: clock::Millis) -> bool {
        now.since(self.renewed) >= HOLD_OFF_MS
    }
}

//! The leader's record of grants.

use crate::HOLD_OFF_MS;
use crate::message;
use nutmegdale_base::clock;
use std::collections;

/// Grant that an entry process holds.
#[derive(Debug)]
struct HeldGrant {
    /// Name of the holder.
    entry: String,
    /// Number that identifies the start of the holder.
    boot: u64,
    id: message::GrantId,
    renewed: clock::Millis,
}

/// Grants of one leader's term.
///
/// Invariant: a server has one holder at a time, and another one only after a release that names
/// the grant, or [`HOLD_OFF_MS`] after its last renewal. The table of a new term does not hold the
/// grants of the old one, so it waits for the same time before its first grant.
#[derive(Debug)]
pub struct Table {
    epoch: u64,
    /// Time from which servers without a holder in this table may be granted.
    grants_from: clock::Millis,
    next_number: u64,
    held: collections::BTreeMap<String, HeldGrant>,
}

impl Table {
    /// Creates the table of a leader whose term started at `now` or before.
    pub fn new(epoch: u64, now: clock::Millis) -> Table {
        // No term precedes the first one, so no older grants can be held.
        let grants_from = if epoch <= 1 { now } else { now + HOLD_OFF_MS };
        Table {
            epoch,
            grants_from,
            next_number: 1,
            held: collections::BTreeMap::new(),
        }
    }

    /// Returns the term of the leader.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Applies the releases of a sync and returns whether a server became free.
    pub fn release(&mut self, entry: &str, boot: u64, released: &[message::Grant]) -> bool {
        let mut is_any_free = false;
        for grant in released {
            let is_current = self
                .held
                .get(&grant.server)
                .is_some_and(|held| held.is_held_by(entry, boot) && held.id == grant.id);
            if is_current {
                self.held.remove(&grant.server);
                is_any_free = true;
            }
        }
        is_any_free
    }

    /// Returns whether any of the requested servers can be granted anew to an entry process.
    pub fn has_grantable(
        &self,
        now: clock::Millis,
        entry: &str,
        boot: u64,
        requested: &[String],
    ) -> bool {
        let is_free = |server: &String| match self.held.get(server) {
            None => now >= self.grants_from,
            Some(held) => !held.is_held_by(entry, boot) && held.is_reassignable(now),
        };
        requested.iter().any(is_free)
    }

    /// Grants or renews those of the requested servers that are free or held by the entry process.
    ///
    /// The answer must be sent only if a quorum has confirmed the term after the sync was sent.
    pub fn grant(
        &mut self,
        now: clock::Millis,
        entry: &str,
        boot: u64,
        requested: &[String],
    ) -> Vec<message::Grant> {
        let mut granted = Vec::new();
        for server in requested {
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
            if held.is_held_by(entry, boot) {
                held.renewed = now;
                return Some(held.id);
            }
            if !held.is_reassignable(now) {
                return None;
            }
        }
        if now < self.grants_from {
            return None;
        }
        let id = message::GrantId {
            epoch: self.epoch,
            number: self.next_number,
        };
        self.next_number += 1;
        let held = HeldGrant {
            entry: entry.to_owned(),
            boot,
            id,
            renewed: now,
        };
        self.held.insert(server.to_owned(), held);
        Some(id)
    }

    /// Returns whether an entry process holds the grant of a server.
    pub fn is_held_by(&self, entry: &str, boot: u64, server: &str) -> bool {
        let held = self.held.get(server);
        held.is_some_and(|held| held.is_held_by(entry, boot))
    }

    /// Returns the server of each grant, with the name and the boot number of the holder.
    pub fn holders(&self) -> impl Iterator<Item = (&str, &str, u64)> {
        self.held
            .iter()
            .map(|(server, held)| (server.as_str(), held.entry.as_str(), held.boot))
    }
}

impl HeldGrant {
    fn is_held_by(&self, entry: &str, boot: u64) -> bool {
        self.entry == entry && self.boot == boot
    }

    fn is_reassignable(&self, now: clock::Millis) -> bool {
        now.since(self.renewed) >= HOLD_OFF_MS
    }
}

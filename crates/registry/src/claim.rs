//! Claims: announcements that the order of starts and addresses overrules although the server may
//! be alive, and the evidence that it is.
//!
//! Addressed load pattern: servers whose clock was set back start again with a lower start time, and
//! an announcement of another writer retires the server at whose address it names another one.
//! Their announcements look like those of an earlier start that were delayed. A delayed announcement
//! arrives once and within seconds, while the recorded start goes on announcing itself; a living
//! server goes on, and the start that overrules it is silent.

use crate::{feed, server, state};
use nutmegdale_base::clock;
use serde::{Deserialize, Serialize};
use std::collections;

/// Time for which a claimant must announce itself while its rivals are silent. Announcements are
/// delayed for seconds, so delayed ones alone never last as long.
const PROOF_MS: clock::Millis = clock::Millis(10_000);
/// Number of announcements in a row in that time.
const PROOF_MIN_COUNT: u32 = 5;
/// Silence of the recorded start after which a draining start at its address takes its place. The
/// next announcement of the recorded start undoes it, so a few lost announcements are proof enough.
const DRAINING_PROOF_MS: clock::Millis = clock::Millis(2_000);
/// Longest time between two announcements in a row.
const GAP_MAX_MS: clock::Millis = clock::Millis(5_000);
/// Maximum number of claims that are observed at a time.
const PENDING_MAX_COUNT: usize = 1_000;

/// Announcement that the registry overrules.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Claim {
    /// Announcement of the claimant.
    pub announcement: server::Announcement,
    /// Ids of the servers whose records overrule it, with the indexes of these records. The record
    /// of a later start has the id of the claimant.
    pub rivals: Vec<(String, u64)>,
}

impl state::State {
    /// Returns the claim of an announcement that the records of this registry overrule; `None` if
    /// they don't, or if the server itself has said that it leaves.
    pub fn claim(&self, new: &server::Announcement) -> Option<Claim> {
        let own = self.servers.get(&new.id);
        let own_order = own.map(|own| new.born.cmp(&own.announcement.born));
        let is_earlier = own_order == Some(std::cmp::Ordering::Less);
        let is_same = own_order == Some(std::cmp::Ordering::Equal);
        let is_claim = match new.state {
            server::State::Ready if is_same => own.is_some_and(|own| {
                own.replaced_by.is_some() && new.sequence > own.announcement.sequence
            }),
            server::State::Ready => is_earlier || self.has_newer_at_address(new),
            server::State::Draining => own.is_some_and(|own| {
                let old = &own.announcement;
                is_earlier && old.address == new.address && old.state == server::State::Ready
            }),
            server::State::Gone => false,
        };
        let is_rival = |record: &&server::Record| {
            let other = &record.announcement;
            if other.id == new.id {
                return is_earlier;
            }
            let is_present = other.state != server::State::Gone || other.born > new.born;
            other.address == new.address && is_present
        };
        let rivals = self.servers.values().filter(is_rival);
        let rivals = rivals.map(|record| (record.announcement.id.clone(), record.index));
        is_claim.then(|| Claim {
            announcement: new.clone(),
            rivals: rivals.collect(),
        })
    }

    /// Records the announcement of a proven claim, unless a record that the proof is about has
    /// changed since.
    pub(crate) fn readmit(&mut self, claim: Claim, changes: &mut Vec<feed::Change>) {
        if self.claim(&claim.announcement).as_ref() == Some(&claim) {
            self.record(claim.announcement, changes);
        }
    }
}

/// Announcements in a row of one claimant.
#[derive(Debug)]
struct Pending {
    born: u64,
    rivals: Vec<(String, u64)>,
    first_at: clock::Millis,
    last_at: clock::Millis,
    last_sequence: u64,
    count: u32,
}

impl Pending {
    fn new(now: clock::Millis, claim: &Claim) -> Pending {
        Pending {
            born: claim.announcement.born,
            rivals: claim.rivals.clone(),
            first_at: now,
            last_at: now,
            last_sequence: claim.announcement.sequence,
            count: 1,
        }
    }

    /// Returns whether a claim goes on with these announcements, while its rivals, last heard at
    /// `heard_at`, are silent.
    fn is_continued(
        &self,
        now: clock::Millis,
        claim: &Claim,
        heard_at: Option<clock::Millis>,
    ) -> bool {
        self.born == claim.announcement.born
            && self.rivals == claim.rivals
            && now.since(self.last_at) <= GAP_MAX_MS
            && heard_at.is_none_or(|heard_at| heard_at < self.first_at)
    }

    fn is_proven(&self, now: clock::Millis, state: server::State) -> bool {
        let observed = now.since(self.first_at);
        match state {
            server::State::Draining => observed >= DRAINING_PROOF_MS,
            _ => observed >= PROOF_MS && self.count >= PROOF_MIN_COUNT,
        }
    }
}

/// Claims that the leader observes. It alone learns of the announcements to all coordinators, and
/// only in its term.
#[derive(Debug, Default)]
pub struct Claims {
    term: u64,
    /// Claims by the id of the claimant.
    pending: collections::BTreeMap<String, Pending>,
}

impl Claims {
    /// Adds an announcement of a claimant that arrived at `now` in the term of the leader, and
    /// returns whether the claim is proven. `heard_at` is when any of its rivals last announced
    /// itself to a coordinator.
    pub fn observe(
        &mut self,
        now: clock::Millis,
        term: u64,
        claim: &Claim,
        heard_at: Option<clock::Millis>,
    ) -> bool {
        if self.term != term {
            self.term = term;
            self.pending.clear();
        }
        self.pending
            .retain(|_, pending| now.since(pending.last_at) <= GAP_MAX_MS);
        let new = &claim.announcement;
        let Some(pending) = self.pending.get_mut(&new.id) else {
            if self.pending.len() < PENDING_MAX_COUNT {
                let pending = Pending::new(now, claim);
                self.pending.insert(new.id.clone(), pending);
            }
            return false;
        };
        if !pending.is_continued(now, claim, heard_at) {
            *pending = Pending::new(now, claim);
            return false;
        }
        // A notice that could not be accepted yet is sent again as it is.
        let is_resent =
            new.state == server::State::Draining && new.sequence == pending.last_sequence;
        if new.sequence <= pending.last_sequence && !is_resent {
            return false;
        }
        pending.last_at = now;
        pending.last_sequence = new.sequence;
        pending.count += 1;
        pending.is_proven(now, new.state)
    }
}

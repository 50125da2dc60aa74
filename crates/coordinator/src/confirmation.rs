//! Evidence of how recent this replica's copy of the registry is.
//!
//! The role and the leader in a replica's status say what it believed when its thread last finished
//! a step. They stay the same while the thread waits for a disk, while a leader has lost its quorum,
//! and while a learner still lacks most of the log. A [`Proof`] names the log up to which a quorum
//! had committed at a known time; the copy is that recent once it has applied this log. See
//! [docs/replication.md](../../../docs/replication.md).

use crate::gossip;
use nutmegdale_base::clock;
use nutmegdale_consensus::{status, types};
use std::collections;

/// Maximum number of proofs that wait until the replica has applied their log. A replica that
/// applies normally lags by one or two.
const PENDING_MAX_COUNT: usize = 8;

/// Age up to which evidence counts as recent: two rounds of gossip, of which one may be lost, and one
/// heartbeat of the leader. An acknowledged change must reach all entry processes within 2 s, and
/// an entry process whose coordinator misses a change has to ask another one within that time.
const AGE_MAX_MS: clock::Millis = clock::Millis(1_200);

/// Returns whether evidence of this age is recent; without evidence, it is not.
pub fn is_recent(age: Option<clock::Millis>) -> bool {
    age.is_some_and(|age| age <= AGE_MAX_MS)
}

/// Returns how long evidence of this age remains recent, at least 1 ms.
pub fn recent_for(age: Option<clock::Millis>) -> clock::Millis {
    let age = age.unwrap_or(clock::Millis::MAX);
    (AGE_MAX_MS + clock::Millis(1))
        .since(age)
        .max(clock::Millis(1))
}

/// Statement of a leader about the committed log.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Proof {
    /// Time on this process's clock; all changes accepted before are in the log up to `commit`.
    pub as_of: clock::Millis,
    /// Index up to which the log was committed.
    pub commit: types::Index,
}

impl Proof {
    /// Returns the proof that a leader's own status gives, if a quorum has confirmed the leader.
    pub fn of_leader(status: &status::Status) -> Option<Proof> {
        Some(Proof {
            as_of: status.quorum_contact_at?,
            commit: status.commit,
        })
    }

    /// Returns the proof in a leader's reply to a question sent at `sent_at`.
    ///
    /// The leader replied after the question was sent, so the time of the question is a safe lower
    /// bound however long the reply was on its way.
    pub fn of_reply(sent_at: clock::Millis, committed: &gossip::Committed) -> Proof {
        Proof {
            as_of: clock::Millis(sent_at.since(committed.quorum_age).0),
            commit: committed.index,
        }
    }
}

/// Newest time for which the copy of a replica is proven to be complete.
///
/// Invariant: the time never decreases, since a copy never loses changes.
#[derive(Debug, Default)]
pub struct Confirmation {
    confirmed_at: Option<clock::Millis>,
    /// Newest index that a proof named as committed.
    known_commit: types::Index,
    /// Proofs whose log is not applied yet, in the order of their commit indices.
    pending: collections::VecDeque<Proof>,
}

impl Confirmation {
    /// Records a proof.
    pub fn record(&mut self, proof: Proof) {
        self.known_commit = self.known_commit.max(proof.commit);
        if self.pending.len() >= PENDING_MAX_COUNT {
            self.pending.pop_back();
        }
        self.pending.push_back(proof);
    }

    /// Returns the newest index that a proof named as committed.
    pub fn known_commit(&self) -> types::Index {
        self.known_commit
    }

    /// Returns the time up to which every accepted change is in the copy of a replica that has
    /// applied the log up to `applied`; `None` if there is no proof yet.
    pub fn confirmed_at(&mut self, applied: types::Index) -> Option<clock::Millis> {
        let is_applied = |proof: &Proof| proof.commit <= applied;
        let newest = self.pending.iter().filter(|proof| is_applied(proof));
        let newest = newest.map(|proof| proof.as_of).max();
        self.pending.retain(|proof| !is_applied(proof));
        self.confirmed_at = self.confirmed_at.max(newest);
        self.confirmed_at
    }
}

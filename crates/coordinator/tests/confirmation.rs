//! Tests of the evidence that the registry of a replica is complete.

use nutmegdale_base::clock;
use nutmegdale_consensus::types;
use nutmegdale_coordinator::{confirmation, gossip};

fn proof(as_of: u64, commit: u64) -> confirmation::Proof {
    confirmation::Proof {
        as_of: clock::Millis(as_of),
        commit: types::Index(commit),
    }
}

/// Guards against a replica that counts as complete because it hears from the leader although it
/// has not applied what the leader committed, as a learner or after a restart.
#[test]
fn proof_counts_once_its_log_is_applied() {
    let mut confirmation = confirmation::Confirmation::default();
    confirmation.record(proof(1_000, 5));
    assert_eq!(confirmation.confirmed_at(types::Index(4)), None);
    confirmation.record(proof(2_000, 7));
    let applied = types::Index(5);
    assert_eq!(
        confirmation.confirmed_at(applied),
        Some(clock::Millis(1_000))
    );
    let applied = types::Index(7);
    assert_eq!(
        confirmation.confirmed_at(applied),
        Some(clock::Millis(2_000))
    );
}

/// Guards against a reply that was delayed on its way, or that comes from a leader whose quorum has
/// not answered for long, and counts as new when it arrives.
#[test]
fn reply_is_as_old_as_its_question_and_its_quorum() {
    let committed = gossip::Committed {
        index: types::Index(3),
        quorum_age: clock::Millis(700),
    };
    let proof = confirmation::Proof::of_reply(clock::Millis(5_000), &committed);
    assert_eq!(proof.as_of, clock::Millis(4_300));
}

/// Guards against proofs that pile up while a disk stalls, and against a replica that has caught up
/// but is held for stale because the newest proof was dropped.
#[test]
fn newest_proof_is_kept_while_the_replica_lags() {
    let mut confirmation = confirmation::Confirmation::default();
    for n in 1..=1_000 {
        confirmation.record(proof(n * 100, n));
    }
    let applied = types::Index(1_000);
    assert_eq!(
        confirmation.confirmed_at(applied),
        Some(clock::Millis(100_000))
    );
    assert_eq!(confirmation.known_commit(), types::Index(1_000));
}

/// Guards against evidence without a limit on its age.
#[test]
fn old_or_missing_evidence_is_not_recent() {
    assert!(confirmation::is_recent(Some(clock::Millis(700))));
    assert!(!confirmation::is_recent(Some(clock::Millis(2_000))));
    assert!(!confirmation::is_recent(None));
    let left = confirmation::recent_for(Some(clock::Millis(700)));
    assert!(!confirmation::is_recent(Some(clock::Millis(700) + left)));
}

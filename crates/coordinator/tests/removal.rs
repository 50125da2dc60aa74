//! Tests of the evidence on which a replica deletes its data because it was removed.

use nutmegdale_consensus::{config, node, status, types};
use nutmegdale_coordinator::gossip;

const ID: types::ReplicaId = types::ReplicaId(9);

/// Returns the status of replica 9, which follows a leader in term 3 and holds the log up to 4.
fn asked(role: status::Role) -> status::Status {
    let rng = Box::new(nutmegdale_base::rng::SplitMix64::new(1));
    let (cfg, now) = (
        config::Config::default(),
        nutmegdale_base::clock::Millis(1_000),
    );
    let recovered = types::Recovered::default();
    let node = node::Node::new(cfg, "registry", ID, recovered, rng, now);
    status::Status {
        role,
        term: types::Term(3),
        last: types::Index(4),
        commit: types::Index(4),
        ..node.status()
    }
}

fn set(ids: &[u64]) -> types::MemberSet {
    let mut set = types::MemberSet::default();
    for id in ids {
        set.put(types::Member {
            id: types::ReplicaId(*id),
            name: id.to_string(),
            region: String::new(),
            address: "10.0.0.1:7000".parse().expect("an address"),
            is_voter: true,
        });
    }
    set
}

/// Returns the statement of a leader with commit index 20.
fn statement(term: u64, effective: &[u64], committed: Option<&[u64]>) -> gossip::Group {
    gossip::Group::of_leader(&status::Status {
        term: types::Term(term),
        commit: types::Index(20),
        members: set(effective),
        committed_members: committed.map(set),
        ..asked(status::Role::Leader)
    })
}

/// Guards against a new replica that deletes its data because the leader does not list it yet, and
/// against one that was removed while it caught up and waits for good.
#[test]
fn only_a_replica_with_a_log_can_have_been_removed() {
    let unlisted = statement(3, &[1, 2, 3], None);
    assert!(!unlisted.has_removed(&asked(status::Role::Blank)));
    assert!(!unlisted.has_removed(&asked(status::Role::Stopped)));
    assert!(unlisted.has_removed(&asked(status::Role::Learner)));
    assert!(unlisted.has_removed(&asked(status::Role::Follower)));
}

/// Guards against a replica that deletes its data on the word of a replaced leader, which does not
/// know of its admission.
#[test]
fn leader_of_an_earlier_term_removes_no_replica() {
    let follower = asked(status::Role::Follower);
    assert!(!statement(2, &[1, 2, 3], None).has_removed(&follower));
    assert!(statement(4, &[1, 2, 3], None).has_removed(&follower));
}

/// Guards against a replica that deletes its data because of a removal that is not committed: if the
/// leader changes, the next one may not know of it and count the replica as a voter.
#[test]
fn pending_removal_and_pending_admission_remove_no_replica() {
    let follower = asked(status::Role::Follower);
    let pending_removal = statement(3, &[1, 2], Some(&[1, 2, 9]));
    assert!(!pending_removal.has_removed(&follower));
    let pending_admission = statement(3, &[1, 2, 9], Some(&[1, 2]));
    assert!(!pending_admission.has_removed(&follower));
    assert!(statement(3, &[1, 2, 3], Some(&[1, 2])).has_removed(&follower));
}

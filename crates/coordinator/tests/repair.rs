//! Tests of the membership changes that repair the group without an operator.

use nutmegdale_base::clock;
use nutmegdale_consensus::{status, types};
use nutmegdale_coordinator::repair;
use nutmegdale_rpc::message::MemberChange;
use std::net;

const SECOND: clock::Millis = clock::Millis(1_000);

fn address(n: u64) -> net::SocketAddr {
    format!("10.0.0.{n}:7000").parse().expect("an address")
}

fn id(n: u64) -> types::ReplicaId {
    types::ReplicaId(n)
}

/// Returns the status of the leader, replica 1, of a group of `voters`; those in `unreachable` do
/// not respond.
fn status(voters: &[u64], unreachable: &[u64]) -> status::Status {
    let member = |n: &u64| types::Member {
        id: id(*n),
        name: address(*n).to_string(),
        region: String::new(),
        address: address(*n),
        is_voter: true,
    };
    let mut members = types::MemberSet::default();
    voters.iter().for_each(|n| members.put(member(n)));
    let progress = voters.iter().filter(|n| **n != 1);
    let progress = progress.map(|n| status::MemberProgress {
        id: id(*n),
        matched: types::Index(5),
        is_reached: !unreachable.contains(n),
        is_caught_up: true,
        is_suspect: false,
    });
    status::Status {
        group: "registry".to_owned(),
        id: id(1),
        role: status::Role::Leader,
        term: types::Term(3),
        leader: Some(id(1)),
        commit: types::Index(5),
        applied: types::Index(5),
        last: types::Index(5),
        members,
        committed_members: None,
        progress: progress.collect(),
        is_repaired: Some(true),
        quorum_contact_at: None,
    }
}

/// Returns a live coordinator at address `host` whose replica belongs to no group.
fn blank(replica: u64, host: u64) -> repair::PeerStatus {
    repair::PeerStatus {
        address: address(host),
        replica: id(replica),
        is_blank: true,
        age: clock::Millis(100),
    }
}

/// Guards against taking a process that lost its disk for the old member at its address, whose
/// acknowledged log entries it no longer has.
#[test]
fn process_with_a_wiped_disk_replaces_the_old_member() {
    let mut repair = repair::Repair::default();
    let now = SECOND;
    let peers = [blank(22, 2)];
    let status_before = status(&[1, 2, 3], &[2]);
    let change = repair.next_change(now, &status_before, &peers, 3);
    assert_eq!(change, Some(MemberChange::Remove(id(2))));
    let status_after = status(&[1, 3], &[]);
    let change = repair.next_change(now, &status_after, &peers, 3);
    assert_eq!(change, Some(MemberChange::Admit(address(2))));
}

/// Guards against removing a member that is only frozen or partitioned before it has been
/// replaced, which would leave the group fewer voters at the next loss.
#[test]
fn unreachable_member_stays_until_it_is_replaced() {
    let mut repair = repair::Repair::default();
    let small = status(&[1, 2, 3], &[3]);
    for second in 0..60 {
        let now = clock::Millis(second * 1_000);
        assert_eq!(repair.next_change(now, &small, &[], 3), None);
    }
    let replaced = status(&[1, 2, 3, 4], &[3]);
    let now = clock::Millis(60_000);
    let change = repair.next_change(now, &replaced, &[], 3);
    assert_eq!(change, Some(MemberChange::Remove(id(3))));
}

/// Guards against removing a member that is unreachable only for a few seconds at a time, and
/// against a voter that stays demoted after it has come back.
#[test]
fn short_outages_remove_no_member() {
    let mut repair = repair::Repair::default();
    let (mut demotions_count, mut promotions_count) = (0, 0);
    let mut learners = Vec::new();
    for second in 0..40 {
        let now = clock::Millis(second * 1_000);
        let unreachable: &[u64] = if second % 5 == 4 { &[] } else { &[3] };
        let mut status = status(&[1, 2, 3, 4], unreachable);
        learners.iter().for_each(|id| status.members.demote(*id));
        match repair.next_change(now, &status, &[], 3) {
            Some(MemberChange::Demote(demoted)) => {
                demotions_count += 1;
                learners.push(demoted);
            }
            Some(MemberChange::Promote(promoted)) => {
                promotions_count += 1;
                learners.retain(|id| *id != promoted);
            }
            None => {}
            Some(change) => panic!("{change:?} after {second} s"),
        }
        assert!(learners.len() <= 1 && !learners.contains(&id(4)));
    }
    assert_eq!((demotions_count, promotions_count), (8, 8));
}

/// Guards against a lost voter that raises the quorum after its replacement has been promoted until
/// the next VM may be lost, because each new leader starts to measure anew.
#[test]
fn replaced_voter_is_demoted_soon_under_any_leader() {
    let replaced = status(&[1, 2, 3, 4], &[3]);
    for led_since in [0, 2_000, 4_000] {
        let mut repair = repair::Repair::default();
        let start = clock::Millis(led_since);
        assert_eq!(repair.next_change(start, &replaced, &[], 3), None);
        let now = start + clock::Millis(1_500);
        let change = repair.next_change(now, &replaced, &[], 3);
        assert_eq!(change, Some(MemberChange::Demote(id(3))));
    }
}

/// Guards against demotions that leave the group with fewer voters than it should have, and against
/// a lost learner that is kept for good.
#[test]
fn demoted_voter_is_removed_and_no_other_is_demoted() {
    let mut repair = repair::Repair::default();
    let mut demoted = status(&[1, 2, 3, 4], &[3, 4]);
    demoted.members.demote(id(3));
    assert_eq!(repair.next_change(SECOND, &demoted, &[], 3), None);
    let now = SECOND + clock::Millis(7_500);
    assert_eq!(repair.next_change(now, &demoted, &[], 3), None);
    let now = SECOND + clock::Millis(8_500);
    let change = repair.next_change(now, &demoted, &[], 3);
    assert_eq!(change, Some(MemberChange::Remove(id(3))));
}

/// Guards against a replacement that waits for the next round, while the loss of one more voter would
/// leave the group without a quorum, and against rounds without a pause while there is none.
#[test]
fn replacement_that_can_go_on_does_not_wait() {
    let whole = status(&[1, 2, 3], &[2]);
    assert!(!repair::is_replacement_due(&whole, &[]));
    assert!(repair::is_replacement_due(&whole, &[blank(22, 2)]));
    let mut learner = status(&[1, 2, 3], &[]);
    learner.members.demote(id(3));
    assert!(repair::is_replacement_due(&learner, &[]));
    let mut behind = learner.clone();
    behind
        .progress
        .iter_mut()
        .for_each(|p| p.is_caught_up = false);
    assert!(!repair::is_replacement_due(&behind, &[]));
    let mut follower = learner;
    follower.role = status::Role::Follower;
    assert!(!repair::is_replacement_due(&follower, &[blank(22, 2)]));
}

/// Guards against membership changes by a replica that does not lead, and against admitting a
/// process whose last gossip is old.
#[test]
fn only_a_leader_admits_and_only_live_processes() {
    let mut repair = repair::Repair::default();
    let mut follower = status(&[1, 2, 3], &[]);
    follower.role = status::Role::Follower;
    assert_eq!(
        repair.next_change(SECOND, &follower, &[blank(4, 4)], 4),
        None
    );
    let leader = status(&[1, 2, 3], &[]);
    let mut stale = blank(4, 4);
    stale.age = clock::Millis(10_000);
    assert_eq!(repair.next_change(SECOND, &leader, &[stale], 4), None);
    let change = repair.next_change(SECOND, &leader, &[blank(4, 4)], 4);
    assert_eq!(change, Some(MemberChange::Admit(address(4))));
}

//! Changes of the group's members that are due without an operator.

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

/// Status of the leader 1 of a group of `voters`; those in `silent` do not answer.
fn status(voters: &[u64], silent: &[u64]) -> status::Status {
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
        is_reached: !silent.contains(n),
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
        progress: progress.collect(),
        is_repaired: Some(true),
    }
}

fn blank(replica: u64, at: u64) -> repair::Heard {
    repair::Heard {
        address: address(at),
        replica: id(replica),
        is_blank: true,
        age: clock::Millis(100),
    }
}

/// Guards against a process without its disk that is taken for its former self.
#[test]
fn wiped_process_replaces_its_former_self() {
    let mut repair = repair::Repair::default();
    let now = SECOND;
    let heard = [blank(22, 2)];
    let status_before = status(&[1, 2, 3], &[2]);
    let change = repair.next(now, &status_before, &heard, 3);
    assert_eq!(change, Some(MemberChange::Remove(id(2))));
    let status_after = status(&[1, 3], &[]);
    let change = repair.next(now, &status_after, &heard, 3);
    assert_eq!(change, Some(MemberChange::Admit(address(2))));
}

/// Guards against a member that is only frozen or cut off and is removed while nobody has taken its
/// place, which would leave the group smaller for the next loss.
#[test]
fn silent_member_stays_until_it_is_replaced() {
    let mut repair = repair::Repair::default();
    let small = status(&[1, 2, 3], &[3]);
    for second in 0..60 {
        let now = clock::Millis(second * 1_000);
        assert_eq!(repair.next(now, &small, &[], 3), None);
    }
    let replaced = status(&[1, 2, 3, 4], &[3]);
    let now = clock::Millis(60_000);
    let change = repair.next(now, &replaced, &[], 3);
    assert_eq!(change, Some(MemberChange::Remove(id(3))));
}

/// Guards against a member that is removed although it was silent only for a moment.
#[test]
fn short_silence_removes_nobody() {
    let mut repair = repair::Repair::default();
    let silent = status(&[1, 2, 3, 4], &[3]);
    let well = status(&[1, 2, 3, 4], &[]);
    for second in 0..40 {
        let now = clock::Millis(second * 1_000);
        let seen = if second % 5 == 4 { &well } else { &silent };
        assert_eq!(repair.next(now, seen, &[], 3), None);
    }
}

/// Guards against changes by a process that does not lead, and for processes heard of long ago.
#[test]
fn only_a_leader_admits_and_only_live_processes() {
    let mut repair = repair::Repair::default();
    let mut follower = status(&[1, 2, 3], &[]);
    follower.role = status::Role::Follower;
    assert_eq!(repair.next(SECOND, &follower, &[blank(4, 4)], 4), None);
    let leader = status(&[1, 2, 3], &[]);
    let mut old = blank(4, 4);
    old.age = clock::Millis(10_000);
    assert_eq!(repair.next(SECOND, &leader, &[old], 4), None);
    let change = repair.next(SECOND, &leader, &[blank(4, 4)], 4);
    assert_eq!(change, Some(MemberChange::Admit(address(4))));
}

//! Guards single rules whose breach random runs meet too seldom.

use nutmegdale_base::{clock, rng};
use nutmegdale_consensus::{actions, input, node, status, types};

mod net;

/// Replica that is fed by hand.
struct Bench {
    node: node::Node,
    now_ms: u64,
    actions: actions::Actions,
}

impl Bench {
    fn new(recovered: types::Recovered) -> Bench {
        let rng = Box::new(rng::SplitMix64::new(1));
        let now = clock::Millis(1_000);
        Bench {
            node: node::Node::new(net::config(), net::GROUP, net::id(1), recovered, rng, now),
            now_ms: 1_000,
            actions: actions::Actions::default(),
        }
    }

    fn step(&mut self, input: input::Input<'_>) -> input::Response {
        self.actions.clear();
        let now = clock::Millis(self.now_ms);
        self.node.step(now, input, &mut self.actions)
    }

    fn receive(&mut self, from: u64, term: u64, message: types::Message) {
        let env = types::Envelope {
            group: net::GROUP.to_owned(),
            from: net::id(from),
            to: net::id(1),
            term: types::Term(term),
            message,
        };
        self.step(input::Input::Message(&env));
    }

    fn votes(&self) -> Vec<bool> {
        let vote = |env: &types::Envelope| match env.message {
            types::Message::Vote { is_granted, .. } => Some(is_granted),
            _ => None,
        };
        self.actions.messages.iter().filter_map(vote).collect()
    }

    /// Lets the replica win an election against replicas 2 and 3.
    fn lead(&mut self) -> u64 {
        self.now_ms += 1_000;
        self.step(input::Input::Tick);
        let term = self.node.status().term.0 + 1;
        for is_pre_vote in [true, false] {
            let granted = types::Message::Vote {
                is_pre_vote,
                is_granted: true,
            };
            self.receive(2, term, granted);
        }
        assert_eq!(self.node.status().role, status::Role::Leader);
        self.step(input::Input::Tick);
        term
    }

    fn appended(&mut self, from: u64, term: u64, index: u64) {
        self.acknowledged(from, term, index, 1);
    }

    fn acknowledged(&mut self, from: u64, term: u64, index: u64, round: u64) {
        let message = types::Message::Appended {
            is_accepted: true,
            index: types::Index(index),
            last_index: types::Index(index),
            round,
        };
        self.receive(from, term, message);
    }
}

fn members() -> types::MemberSet {
    let members = (1..=3).map(|n| net::member(n, true)).collect();
    types::MemberSet { members }
}

fn recovered(extra: &[(u64, u64)]) -> types::Recovered {
    let mut entries = vec![types::LogEntry {
        term: types::Term(1),
        index: types::Index(1),
        payload: types::Payload::Members(members()),
    }];
    let extra = extra.iter().map(|(index, term)| types::LogEntry {
        term: types::Term(*term),
        index: types::Index(*index),
        payload: types::Payload::Command(vec![0; 8]),
    });
    entries.extend(extra);
    let term = entries.last().map_or(types::Term(1), |e| e.term);
    types::Recovered {
        hard_state: types::HardState {
            term,
            voted_for: None,
        },
        snapshot: None,
        entries,
    }
}

fn request_vote(last: (u64, u64)) -> types::Message {
    types::Message::RequestVote {
        is_pre_vote: false,
        last_index: types::Index(last.0),
        last_term: types::Term(last.1),
        is_transfer: false,
    }
}

/// A vote that is forgotten by a restart may be given twice, and two leaders share a term.
#[test]
fn vote_is_persisted_and_holds_after_a_restart() {
    let mut bench = Bench::new(recovered(&[]));
    bench.receive(2, 5, request_vote((1, 1)));
    assert_eq!(bench.votes(), [true]);
    let hard_state = bench.actions.hard_state.expect("vote is persisted");
    assert_eq!(hard_state.voted_for, Some(net::id(2)));
    let mut bench = Bench::new(types::Recovered {
        hard_state,
        ..recovered(&[])
    });
    bench.receive(3, 5, request_vote((9, 4)));
    assert_eq!(bench.votes(), [false]);
    bench.receive(2, 5, request_vote((1, 1)));
    assert_eq!(bench.votes(), [true]);
}

/// An entry of an earlier term that a quorum holds can still be replaced, so counting it as
/// committed loses it.
#[test]
fn entries_of_earlier_terms_are_committed_only_with_one_of_this_term() {
    let mut bench = Bench::new(recovered(&[(2, 2)]));
    let term = bench.lead();
    bench.appended(2, term, 2);
    assert_eq!(bench.node.status().commit, types::Index(0));
    bench.appended(2, term, 3);
    assert_eq!(bench.node.status().commit, types::Index(3));
}

/// Two changes at once could give two disjoint quorums.
#[test]
fn second_change_of_members_waits_for_the_first() {
    let mut bench = Bench::new(recovered(&[]));
    let term = bench.lead();
    let admit = |n| input::Input::Change(input::MemberChange::Admit(net::member(n, false)));
    let refused = input::Response::Refused;
    assert_eq!(bench.step(admit(4)), refused(input::Refusal::NotReady));
    bench.appended(2, term, 2);
    assert!(matches!(
        bench.step(admit(4)),
        input::Response::Appended { .. }
    ));
    assert_eq!(bench.step(admit(5)), refused(input::Refusal::ChangePending));
    bench.appended(2, term, 3);
    assert_eq!(bench.step(admit(4)), refused(input::Refusal::AlreadyMember));
    let promote = |n| input::Input::Change(input::MemberChange::Promote(net::id(n)));
    assert_eq!(bench.step(promote(4)), refused(input::Refusal::NotCaughtUp));
    assert_eq!(bench.step(promote(9)), refused(input::Refusal::NotMember));
    let remove = input::Input::Change(input::MemberChange::Remove(net::id(3)));
    assert!(matches!(
        bench.step(remove),
        input::Response::Appended { .. }
    ));
}

/// A leader that was deposed without hearing of it must not answer a read from its old state, even
/// if its clock says that it was confirmed a moment ago.
#[test]
fn read_needs_a_round_that_started_after_it() {
    let mut bench = Bench::new(recovered(&[]));
    let term = bench.lead();
    bench.acknowledged(2, term, 2, 1);
    assert_eq!(bench.step(input::Input::Read(7)), input::Response::Done);
    assert!(bench.actions.confirmed_reads.is_empty());
    bench.acknowledged(3, term, 2, 1);
    assert!(bench.actions.confirmed_reads.is_empty(), "old round");
    bench.step(input::Input::Tick);
    bench.acknowledged(3, term, 2, 2);
    assert_eq!(bench.actions.confirmed_reads, [7]);
}

/// The answer to a message of an earlier term carries the round of that term. Taken for a round of
/// this term, it would confirm reads that no quorum answered, and make a follower suspect.
#[test]
fn answer_to_an_earlier_term_counts_for_no_round() {
    let mut follower = Bench::new(recovered(&[(2, 4)]));
    let append = types::Message::Append {
        prev_index: types::Index(2),
        prev_term: types::Term(3),
        entries: Vec::new(),
        commit: types::Index(0),
        round: 600,
    };
    follower.receive(2, 3, append);
    let round_of = |env: &types::Envelope| match env.message {
        types::Message::Appended { round, .. } => Some(round),
        _ => None,
    };
    let answers: Vec<u64> = follower
        .actions
        .messages
        .iter()
        .filter_map(round_of)
        .collect();
    assert_eq!(answers, [0]);

    let mut leader = Bench::new(recovered(&[]));
    let term = leader.lead();
    leader.acknowledged(2, term, 2, 1);
    let late = types::Message::Appended {
        is_accepted: false,
        index: types::Index(0),
        last_index: types::Index(1),
        round: 600,
    };
    leader.receive(2, term, late);
    assert!(leader.node.status().progress.iter().all(|p| !p.is_suspect));
    leader.step(input::Input::Read(7));
    leader.step(input::Input::Tick);
    leader.acknowledged(3, term, 2, 1);
    assert!(leader.actions.confirmed_reads.is_empty());
    leader.acknowledged(3, term, 2, 2);
    assert_eq!(leader.actions.confirmed_reads, [7]);
}

/// A follower's hint skips the whole term of its conflicting entry, also the part of that term that
/// is known to match. A leader that drops such a hint as late never finds the place again.
#[test]
fn hint_below_the_matching_part_leads_back_to_its_end() {
    let mut leader = Bench::new(recovered(&[(2, 2), (3, 2), (4, 2), (5, 2)]));
    let term = leader.lead();
    leader.acknowledged(2, term, 3, 1);
    leader.now_ms += 30;
    leader.step(input::Input::Tick);
    let refused = types::Message::Appended {
        is_accepted: false,
        index: types::Index(1),
        last_index: types::Index(9),
        round: 2,
    };
    leader.receive(2, term, refused);
    leader.step(input::Input::Tick);
    let prev_of = |env: &types::Envelope| match env.message {
        types::Message::Append { prev_index, .. } if env.to == net::id(2) => Some(prev_index.0),
        _ => None,
    };
    let probes: Vec<u64> = leader.actions.messages.iter().filter_map(prev_of).collect();
    assert_eq!(probes, [3]);
}

/// A late answer may show that a follower needs no snapshot any more. A leader that goes on with the
/// snapshot, which may have been replaced meanwhile, never comes to its end.
#[test]
fn snapshot_is_given_up_for_a_follower_that_needs_none() {
    let entries: Vec<(u64, u64)> = (2..=10).map(|index| (index, 2)).collect();
    let mut leader = Bench::new(recovered(&entries));
    let term = leader.lead();
    leader.acknowledged(3, term, 11, 1);
    let snapshot = leader.node.snapshot_of(vec![1; 60]).expect("snapshot");
    leader.step(input::Input::Compact(snapshot));
    let refused = types::Message::Appended {
        is_accepted: false,
        index: types::Index(4),
        last_index: types::Index(9),
        round: 1,
    };
    leader.receive(2, term, refused);
    leader.step(input::Input::Tick);
    let is_part = |env: &types::Envelope| {
        env.to == net::id(2) && matches!(env.message, types::Message::InstallSnapshot { .. })
    };
    assert!(leader.actions.messages.iter().any(is_part));
    leader.acknowledged(2, term, 9, 1);
    leader.now_ms += 30;
    leader.step(input::Input::Tick);
    assert!(!leader.actions.messages.iter().any(is_part));
}

/// A round for each of many reads would cost more traffic between regions than control may use.
#[test]
fn many_reads_share_few_rounds() {
    let mut net = net::Net::new(5, 3);
    assert!(net.run_until(1_000, |net| net.leader().is_some()));
    let leader = net.leader().expect("leader");
    net.run(100);
    let before = net.sent.len();
    let reads: Vec<u64> = (0..1_000)
        .map(|_| {
            net.run(1);
            net.read(leader)
        })
        .collect();
    net.run(100);
    assert!(reads.iter().all(|read| net.is_read(*read)));
    // Two messages and two answers every 20 ms, instead of every 3 ms.
    let sent = net.sent.len() - before;
    assert!(sent < 300, "{sent} messages for 1000 reads in 1 s");
}

/// A single read must not wait for the rounds of others.
#[test]
fn single_read_starts_its_round_at_once() {
    let mut net = net::Net::new(5, 3);
    assert!(net.run_until(1_000, |net| net.leader().is_some()));
    let leader = net.leader().expect("leader");
    net.run(24);
    let read = net.read(leader);
    assert!(net.run_until(8, |net| net.is_read(read)));
}

/// Answers to rounds from before a freeze must not keep a leader that others replaced.
#[test]
fn answers_that_waited_while_frozen_do_not_keep_the_lead() {
    let mut bench = Bench::new(recovered(&[]));
    let term = bench.lead();
    bench.acknowledged(2, term, 2, 1);
    bench.now_ms += 500;
    bench.acknowledged(3, term, 2, 1);
    assert_eq!(bench.node.status().role, status::Role::Follower);
    assert!(bench.actions.is_leadership_lost);
    let answer = bench.step(input::Input::Propose(&[0; 8]));
    assert_eq!(answer, input::Response::Refused(input::Refusal::NotLeader));
}

/// A replica without a log does not know the members, so its vote could make a quorum of a group
/// that it does not belong to.
#[test]
fn blank_replica_neither_votes_nor_campaigns() {
    let mut bench = Bench::new(types::Recovered::default());
    bench.receive(2, 5, request_vote((1, 1)));
    assert!(bench.actions.messages.is_empty());
    bench.receive(2, 5, types::Message::TimeoutNow);
    bench.now_ms += 10_000;
    bench.step(input::Input::Tick);
    assert!(bench.actions.messages.is_empty());
    assert_eq!(bench.node.status().term, types::Term(0));
}

/// Messages for another identity, such as the one before a disk was lost, must have no effect.
#[test]
fn message_for_another_identity_is_dropped() {
    let mut bench = Bench::new(recovered(&[]));
    let env = types::Envelope {
        group: net::GROUP.to_owned(),
        from: net::id(2),
        to: net::id(99),
        term: types::Term(5),
        message: request_vote((1, 1)),
    };
    bench.step(input::Input::Message(&env));
    assert!(bench.actions.messages.is_empty());
    assert_eq!(bench.node.status().term, types::Term(1));
}

/// A follower on an older disk must not count for what it lost, nor later leaders count it, until
/// it has caught up and an operator readmits it.
#[test]
fn follower_with_an_older_disk_is_not_counted_until_readmitted() {
    let mut net = net::Net::new(3, 3);
    assert!(net.run_until(1_000, |net| net.leader().is_some()));
    let leader = net.leader().expect("leader");
    let others: Vec<u64> = net.numbers().into_iter().filter(|n| *n != leader).collect();
    let (old, other) = (others[0], others[1]);
    net.snapshot_after_count = usize::MAX;
    net.propose(leader);
    net.run(50);
    let older = net.replica(old).disk.clone();
    for _ in 0..5 {
        net.propose(leader);
    }
    net.run(50);
    net.crash(old);
    net.replica_mut(old).disk = older;
    net.crash(other);
    net.start(old);
    let before = net.status(leader).commit;
    let is_suspect = |net: &net::Net| {
        let status = net.status(leader);
        status
            .progress
            .iter()
            .any(|p| p.id == net::id(old) && p.is_suspect)
    };
    assert!(net.run_until(60, is_suspect), "the loss is noticed");
    assert_eq!(net.status(leader).is_repaired, Some(false));
    // With the other follower down, what the suspect holds must commit nothing.
    let command = net.propose(leader);
    net.run(60);
    assert_eq!(net.status(leader).commit, before);
    assert!(!net.is_accepted(command));
    net.start(other);
    let is_demoted = |net: &net::Net| {
        let status = net.leader().map(|leader| net.status(leader));
        status.is_some_and(|s| !s.members.is_voter(net::id(old)) && s.is_repaired == Some(true))
    };
    assert!(net.run_until(2_000, is_demoted), "demoted in the log");
    net.run(100);
    let leader = net.leader().expect("leader");
    let promote = input::Input::Change(input::MemberChange::Promote(net::id(old)));
    assert!(matches!(
        net.input(leader, promote),
        input::Response::Appended { .. }
    ));
    net.finish(leader);
    net.run(100);
    let status = net.status(leader);
    assert!(status.members.is_voter(net::id(old)));
    assert_eq!(status.is_repaired, Some(true));
}

/// Guards against followers that start together with their leader and learn only from its next
/// heartbeat what is committed, which leaves everyone who follows them without service until then.
#[test]
fn first_commit_of_a_term_is_told_at_once() {
    let mut bench = Bench::new(recovered(&[]));
    let term = bench.lead();
    let index = bench.node.status().last.0;
    bench.now_ms += 20;
    bench.appended(2, term, index);
    assert_eq!(bench.node.status().commit, types::Index(index));
    assert!(
        bench.node.next_tick() <= clock::Millis(bench.now_ms),
        "a heartbeat is due"
    );
    bench.step(input::Input::Tick);
    let told = bench.actions.messages.iter().filter(
        |env| matches!(env.message, types::Message::Append { commit, .. } if commit.0 == index),
    );
    assert_eq!(told.count(), 2);
}

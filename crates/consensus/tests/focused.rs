//! Tests of single rules whose violations random runs rarely reach.

use nutmegdale_base::{clock, rng};
use nutmegdale_consensus::{actions, input, node, status, types};

mod net;

/// Single replica whose inputs and clock a test controls.
struct Harness {
    node: node::Node,
    now_ms: u64,
    actions: actions::Actions,
}

impl Harness {
    fn new(recovered: types::Recovered) -> Harness {
        let rng = Box::new(rng::SplitMix64::new(1));
        let now = clock::Millis(1_000);
        Harness {
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

    /// Makes the replica win an election in a group with replicas 2 and 3; returns the term.
    fn elect(&mut self) -> u64 {
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

    fn acknowledge(&mut self, from: u64, term: u64, index: u64) {
        self.acknowledge_round(from, term, index, 1);
    }

    fn acknowledge_round(&mut self, from: u64, term: u64, index: u64, round: u64) {
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

fn recovered(commands: &[(u64, u64)]) -> types::Recovered {
    let mut entries = vec![types::LogEntry {
        term: types::Term(1),
        index: types::Index(1),
        payload: types::Payload::Members(members()),
    }];
    let commands = commands.iter().map(|(index, term)| types::LogEntry {
        term: types::Term(*term),
        index: types::Index(*index),
        payload: types::Payload::Command(vec![0; 8]),
    });
    entries.extend(commands);
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

/// A replica that forgets its vote in a restart may vote twice, and a term gets two leaders.
#[test]
fn vote_is_persisted_and_holds_after_a_restart() {
    let mut harness = Harness::new(recovered(&[]));
    harness.receive(2, 5, request_vote((1, 1)));
    assert_eq!(harness.votes(), [true]);
    let hard_state = harness.actions.hard_state.expect("vote is persisted");
    assert_eq!(hard_state.voted_for, Some(net::id(2)));
    let mut harness = Harness::new(types::Recovered {
        hard_state,
        ..recovered(&[])
    });
    harness.receive(3, 5, request_vote((9, 4)));
    assert_eq!(harness.votes(), [false]);
    harness.receive(2, 5, request_vote((1, 1)));
    assert_eq!(harness.votes(), [true]);
}

/// An entry of an earlier term can be replaced even if a quorum holds it, so a leader that takes it
/// for committed may lose it.
#[test]
fn entries_of_earlier_terms_are_committed_only_with_one_of_this_term() {
    let mut harness = Harness::new(recovered(&[(2, 2)]));
    let term = harness.elect();
    harness.acknowledge(2, term, 2);
    assert_eq!(harness.node.status().commit, types::Index(0));
    harness.acknowledge(2, term, 3);
    assert_eq!(harness.node.status().commit, types::Index(3));
}

/// Two concurrent membership changes could result in two disjoint quorums.
#[test]
fn second_membership_change_is_refused_while_one_is_pending() {
    let mut harness = Harness::new(recovered(&[]));
    let term = harness.elect();
    let admit = |n| input::Input::Change(input::MemberChange::Admit(net::member(n, false)));
    let refused = input::Response::Refused;
    assert_eq!(harness.step(admit(4)), refused(input::Refusal::NotReady));
    harness.acknowledge(2, term, 2);
    assert!(matches!(
        harness.step(admit(4)),
        input::Response::Appended { .. }
    ));
    assert_eq!(
        harness.step(admit(5)),
        refused(input::Refusal::ChangePending)
    );
    harness.acknowledge(2, term, 3);
    assert_eq!(
        harness.step(admit(4)),
        refused(input::Refusal::AlreadyMember)
    );
    let promote = |n| input::Input::Change(input::MemberChange::Promote(net::id(n)));
    assert_eq!(
        harness.step(promote(4)),
        refused(input::Refusal::NotCaughtUp)
    );
    assert_eq!(harness.step(promote(9)), refused(input::Refusal::NotMember));
    let remove = input::Input::Change(input::MemberChange::Remove(net::id(3)));
    assert!(matches!(
        harness.step(remove),
        input::Response::Appended { .. }
    ));
}

/// A demoted voter that still counted would leave the group without a quorum after the next loss, and
/// without any voter nothing could be committed again.
#[test]
fn demoted_voter_counts_no_longer_and_the_last_one_stays() {
    let mut harness = Harness::new(recovered(&[]));
    let term = harness.elect();
    harness.acknowledge(2, term, 2);
    let demote = |n| input::Input::Change(input::MemberChange::Demote(net::id(n)));
    let refused = input::Response::Refused;
    assert_eq!(harness.step(demote(9)), refused(input::Refusal::NotMember));
    let appended = |response| matches!(response, input::Response::Appended { .. });
    assert!(appended(harness.step(demote(3))));
    harness.acknowledge(3, term, 3);
    assert_eq!(harness.node.status().commit, types::Index(2));
    harness.acknowledge(2, term, 3);
    assert_eq!(harness.node.status().commit, types::Index(3));
    assert_eq!(harness.step(demote(3)), refused(input::Refusal::NotVoter));
    assert!(appended(harness.step(demote(2))));
    harness.step(input::Input::Tick);
    assert_eq!(harness.node.status().commit, types::Index(4));
    assert_eq!(harness.step(demote(1)), refused(input::Refusal::LastVoter));
}

/// A deposed leader that has not noticed it yet must not serve a read from its stale state, even if
/// a quorum confirmed it only a moment before according to its clock.
#[test]
fn read_needs_a_round_that_started_after_it() {
    let mut harness = Harness::new(recovered(&[]));
    let term = harness.elect();
    harness.acknowledge_round(2, term, 2, 1);
    assert_eq!(harness.step(input::Input::Read(7)), input::Response::Done);
    assert!(harness.actions.confirmed_reads.is_empty());
    harness.acknowledge_round(3, term, 2, 1);
    assert!(
        harness.actions.confirmed_reads.is_empty(),
        "confirmed by an earlier round"
    );
    harness.step(input::Input::Tick);
    harness.acknowledge_round(3, term, 2, 2);
    assert_eq!(harness.actions.confirmed_reads, [7]);
}

/// A response that carried the round of an earlier term could be taken for a round of this term: it
/// would confirm reads that no quorum answered, and make a follower suspect.
#[test]
fn response_to_an_earlier_term_confirms_no_round() {
    let mut follower = Harness::new(recovered(&[(2, 4)]));
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
    let rounds: Vec<u64> = follower
        .actions
        .messages
        .iter()
        .filter_map(round_of)
        .collect();
    assert_eq!(rounds, [0]);

    let mut leader = Harness::new(recovered(&[]));
    let term = leader.elect();
    leader.acknowledge_round(2, term, 2, 1);
    let late_response = types::Message::Appended {
        is_accepted: false,
        index: types::Index(0),
        last_index: types::Index(1),
        round: 600,
    };
    leader.receive(2, term, late_response);
    assert!(leader.node.status().progress.iter().all(|p| !p.is_suspect));
    leader.step(input::Input::Read(7));
    leader.step(input::Input::Tick);
    leader.acknowledge_round(3, term, 2, 1);
    assert!(leader.actions.confirmed_reads.is_empty());
    leader.acknowledge_round(3, term, 2, 2);
    assert_eq!(leader.actions.confirmed_reads, [7]);
}

/// A follower's conflict hint skips the whole term of the conflicting entry, even entries of that
/// term that are known to match. A leader that ignores such a hint as outdated never finds the last
/// matching index again.
#[test]
fn conflict_hint_below_the_matched_index_resumes_after_it() {
    let mut leader = Harness::new(recovered(&[(2, 2), (3, 2), (4, 2), (5, 2)]));
    let term = leader.elect();
    leader.acknowledge_round(2, term, 3, 1);
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

/// A late response may show that a follower no longer needs a snapshot. A leader that continues to
/// send it never finishes if newer snapshots keep replacing it.
#[test]
fn snapshot_is_cancelled_when_the_log_suffices() {
    let entries: Vec<(u64, u64)> = (2..=10).map(|index| (index, 2)).collect();
    let mut leader = Harness::new(recovered(&entries));
    let term = leader.elect();
    leader.acknowledge_round(3, term, 11, 1);
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
    leader.acknowledge_round(2, term, 9, 1);
    leader.now_ms += 30;
    leader.step(input::Input::Tick);
    assert!(!leader.actions.messages.iter().any(is_part));
}

/// One round for each read would exceed the cross-region traffic budget of the control plane.
#[test]
fn many_reads_share_few_rounds() {
    let mut net = net::Net::new(5, 3);
    assert!(net.run_until(1_000, |net| net.leader().is_some()));
    let leader = net.leader().expect("leader");
    net.run(100);
    let sent_before = net.sent.len();
    let reads: Vec<u64> = (0..1_000)
        .map(|_| {
            net.run(1);
            net.read(leader)
        })
        .collect();
    net.run(100);
    assert!(reads.iter().all(|read| net.is_read_done(*read)));
    // Two requests and two responses every 20 ms instead of every 3 ms.
    let sent = net.sent.len() - sent_before;
    assert!(sent < 300, "{sent} messages for 1000 reads in 1 s");
}

/// A single read must not wait for the rate limit of read rounds.
#[test]
fn single_read_starts_its_round_at_once() {
    let mut net = net::Net::new(5, 3);
    assert!(net.run_until(1_000, |net| net.leader().is_some()));
    let leader = net.leader().expect("leader");
    net.run(24);
    let read = net.read(leader);
    assert!(net.run_until(8, |net| net.is_read_done(read)));
}

/// Responses to rounds from before a pause of the process must not keep a leader that has been
/// replaced from stepping down.
#[test]
fn responses_queued_during_a_pause_do_not_keep_leadership() {
    let mut harness = Harness::new(recovered(&[]));
    let term = harness.elect();
    harness.acknowledge_round(2, term, 2, 1);
    harness.now_ms += 500;
    harness.acknowledge_round(3, term, 2, 1);
    assert_eq!(harness.node.status().role, status::Role::Follower);
    assert!(harness.actions.is_leadership_lost);
    let response = harness.step(input::Input::Propose(&[0; 8]));
    assert_eq!(
        response,
        input::Response::Refused(input::Refusal::NotLeader)
    );
}

/// A replica without a log does not know the members, so its vote could complete a quorum of a
/// group that it does not belong to.
#[test]
fn blank_replica_neither_votes_nor_campaigns() {
    let mut harness = Harness::new(types::Recovered::default());
    harness.receive(2, 5, request_vote((1, 1)));
    assert!(harness.actions.messages.is_empty());
    harness.receive(2, 5, types::Message::TimeoutNow);
    harness.now_ms += 10_000;
    harness.step(input::Input::Tick);
    assert!(harness.actions.messages.is_empty());
    assert_eq!(harness.node.status().term, types::Term(0));
}

/// Messages for another replica ID, such as the ID before a disk was lost, must have no effect.
#[test]
fn message_for_another_replica_id_is_dropped() {
    let mut harness = Harness::new(recovered(&[]));
    let env = types::Envelope {
        group: net::GROUP.to_owned(),
        from: net::id(2),
        to: net::id(99),
        term: types::Term(5),
        message: request_vote((1, 1)),
    };
    harness.step(input::Input::Message(&env));
    assert!(harness.actions.messages.is_empty());
    assert_eq!(harness.node.status().term, types::Term(1));
}

/// A follower that restarts with an older disk must not count towards quorums, under this leader or
/// a later one, until it has caught up and an operator promotes it again.
#[test]
fn follower_with_an_older_disk_is_not_counted_until_promoted() {
    let mut net = net::Net::new(3, 3);
    assert!(net.run_until(1_000, |net| net.leader().is_some()));
    let leader = net.leader().expect("leader");
    let others: Vec<u64> = net.numbers().into_iter().filter(|n| *n != leader).collect();
    let (stale, other) = (others[0], others[1]);
    net.snapshot_after_count = usize::MAX;
    net.propose(leader);
    net.run(50);
    let old_disk = net.replica(stale).disk.clone();
    for _ in 0..5 {
        net.propose(leader);
    }
    net.run(50);
    net.crash(stale);
    net.replica_mut(stale).disk = old_disk;
    net.crash(other);
    net.start(stale);
    let commit_before = net.status(leader).commit;
    let is_suspect = |net: &net::Net| {
        let status = net.status(leader);
        status
            .progress
            .iter()
            .any(|p| p.id == net::id(stale) && p.is_suspect)
    };
    assert!(
        net.run_until(60, is_suspect),
        "the follower does not become suspect"
    );
    assert_eq!(net.status(leader).is_repaired, Some(false));
    // With the other follower down, acknowledgments of the suspect must not commit anything.
    let command = net.propose(leader);
    net.run(60);
    assert_eq!(net.status(leader).commit, commit_before);
    assert!(!net.is_accepted(command));
    net.start(other);
    let is_demoted = |net: &net::Net| {
        let status = net.leader().map(|leader| net.status(leader));
        status.is_some_and(|s| !s.members.is_voter(net::id(stale)) && s.is_repaired == Some(true))
    };
    assert!(
        net.run_until(2_000, is_demoted),
        "the suspect voter is not demoted"
    );
    net.run(100);
    let leader = net.leader().expect("leader");
    let promote = input::Input::Change(input::MemberChange::Promote(net::id(stale)));
    assert!(matches!(
        net.process(leader, promote),
        input::Response::Appended { .. }
    ));
    net.end_batch(leader);
    net.run(100);
    let status = net.status(leader);
    assert!(status.members.is_voter(net::id(stale)));
    assert_eq!(status.is_repaired, Some(true));
}

/// If the leader waits for the next regular heartbeat, followers that start together with it learn
/// late which entries are committed, and their clients get no service until then.
#[test]
fn first_commit_of_a_term_is_announced_at_once() {
    let mut harness = Harness::new(recovered(&[]));
    let term = harness.elect();
    let index = harness.node.status().last.0;
    harness.now_ms += 20;
    harness.acknowledge(2, term, index);
    assert_eq!(harness.node.status().commit, types::Index(index));
    assert!(
        harness.node.next_tick() <= clock::Millis(harness.now_ms),
        "no heartbeat is due"
    );
    harness.step(input::Input::Tick);
    let announced = harness.actions.messages.iter().filter(
        |env| matches!(env.message, types::Message::Append { commit, .. } if commit.0 == index),
    );
    assert_eq!(announced.count(), 2);
}

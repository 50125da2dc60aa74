//! The registry's state machine under resent, racing and late commands.

use nutmegdale_base::clock;
use nutmegdale_registry::{document, feed, follow, server, state};

fn configure(state: &mut state::State, base: u64, version: u64, document: &[u8]) -> state::Reply {
    let cmd = state::Command::Configure {
        version,
        base,
        document: document::Document::pack(document),
    };
    let index = state.index + 1;
    state.apply(index, cmd, &mut Vec::new())
}

fn announcement(id: &str, born: u64, sequence: u64) -> server::Announcement {
    server::Announcement {
        id: id.to_owned(),
        born,
        sequence,
        service: "reads".to_owned(),
        address: "10.0.0.1:80".parse().expect("an address"),
        zone: "a".to_owned(),
        slots: 4,
        state: server::State::Ready,
        cold_left: clock::Millis::ZERO,
    }
}

fn apply(state: &mut state::State, cmd: state::Command) -> Vec<feed::Change> {
    let mut changes = Vec::new();
    let index = state.index + 1;
    state.apply(index, cmd, &mut changes);
    changes
}

/// Guards against a change that was acknowledged and is refused when it is sent again, also after
/// others have followed it.
#[test]
fn resent_configuration_is_accepted_again() {
    let mut state = state::State::default();
    assert_eq!(configure(&mut state, 0, 3, b"first"), state::Reply::Done);
    assert_eq!(configure(&mut state, 3, 5, b"second"), state::Reply::Done);
    assert_eq!(configure(&mut state, 0, 3, b"first"), state::Reply::Done);
    assert_eq!(state.version, 5);
    let document = state.document.unpack().expect("it was packed");
    assert_eq!(document, b"second");
}

/// Guards against two operators that both win with changes of the same version.
#[test]
fn one_of_two_changes_on_the_same_version_wins() {
    let mut state = state::State::default();
    configure(&mut state, 0, 3, b"first");
    assert_eq!(configure(&mut state, 3, 4, b"one"), state::Reply::Done);
    let lost = state::Reply::Conflict { current: 4 };
    assert_eq!(configure(&mut state, 3, 4, b"other"), lost);
    assert_eq!(configure(&mut state, 4, 4, b"other"), lost);
    assert_eq!(configure(&mut state, 4, 2, b"older"), lost);
}

/// Guards against an announcement that was delayed until after its server said that it leaves.
#[test]
fn server_that_leaves_does_not_come_back() {
    let mut state = state::State::default();
    apply(
        &mut state,
        state::Command::Announce(announcement("s", 10, 1)),
    );
    apply(&mut state, state::Command::Leave("s".to_owned()));
    let late = state::Command::Announce(announcement("s", 10, 9));
    assert!(apply(&mut state, late).is_empty());
    assert_eq!(state.servers["s"].announcement.state, server::State::Gone);
    let next = state::Command::Announce(announcement("s", 11, 1));
    assert_eq!(apply(&mut state, next).len(), 1);
    assert_eq!(state.servers["s"].announcement.state, server::State::Ready);
}

/// Guards against an announcement of an ended server that arrives after another one has taken its
/// address.
#[test]
fn late_announcement_does_not_displace_the_holder_of_the_address() {
    let mut state = state::State::default();
    apply(
        &mut state,
        state::Command::Announce(announcement("old", 10, 1)),
    );
    let changes = apply(
        &mut state,
        state::Command::Announce(announcement("new", 20, 1)),
    );
    assert_eq!(
        changes.len(),
        2,
        "the old server is gone and the new one is there"
    );
    assert!(
        apply(
            &mut state,
            state::Command::Announce(announcement("old", 10, 2))
        )
        .is_empty()
    );
    assert_eq!(state.servers["old"].announcement.state, server::State::Gone);
}

/// Guards against signs of life that go through the replicated log, and against news that does not.
#[test]
fn only_news_is_worth_a_command() {
    let old = announcement("s", 10, 5);
    let known = Some((&old, clock::Millis::ZERO));
    assert!(!server::changes_record(&announcement("s", 10, 6), known));
    assert!(!server::changes_record(&announcement("s", 9, 7), known));
    assert!(server::changes_record(&announcement("s", 11, 1), known));
    let mut draining = announcement("s", 10, 6);
    draining.state = server::State::Draining;
    assert!(server::changes_record(&draining, known));
    let mut cold = announcement("s", 10, 6);
    cold.cold_left = clock::Millis(3_000);
    assert!(
        server::changes_record(&cold, known),
        "a server turned cold silently"
    );
}

/// Guards against a follower that misses or repeats changes, whatever it holds already.
#[test]
fn followers_reach_the_same_registry_from_any_index() {
    let mut state = state::State::default();
    let mut feed = feed::Feed::default();
    let mut copies: Vec<follow::LocalCopy> = vec![follow::LocalCopy::default(); 8];
    for n in 0..40_u64 {
        let cmd = match n % 4 {
            0 => state::Command::ZoneOut(format!("z{}", n % 3)),
            1 => state::Command::Announce(server::Announcement {
                address: format!("10.0.0.{n}:80").parse().expect("an address"),
                ..announcement(&format!("s{n}"), n, 1)
            }),
            2 => state::Command::Leave(format!("s{}", n.saturating_sub(5))),
            _ => state::Command::ZoneIn(format!("z{}", n % 3)),
        };
        let mut changes = Vec::new();
        state.apply(n + 1, cmd, &mut changes);
        feed.extend(n + 1, changes);
        let copy = &mut copies[(n % 8) as usize];
        follow(copy, &state, &feed);
    }
    for copy in &mut copies {
        follow(copy, &state, &feed);
        assert_eq!(copy.zones_out, state.zones_out);
        let states = copy
            .servers
            .values()
            .map(|known| known.announcement.clone());
        let expected = state
            .servers
            .values()
            .map(|record| record.announcement.clone());
        assert!(states.eq(expected));
    }
}

fn follow(copy: &mut follow::LocalCopy, state: &state::State, feed: &feed::Feed) {
    let kept = (copy.index > 0).then(|| feed.since(copy.index)).flatten();
    let reply = follow::SyncReply {
        is_current: true,
        index: state.index,
        is_whole: kept.is_none(),
        changes: kept.unwrap_or_else(|| state.full_changes()),
        entries: None,
        coordinators: Vec::new(),
    };
    copy.apply(clock::Millis::ZERO, reply);
}

/// Guards against a coordinator that lags behind and takes changes back.
#[test]
fn copy_never_goes_back() {
    let mut state = state::State::default();
    apply(&mut state, state::Command::ZoneOut("a".to_owned()));
    let old = state.clone();
    apply(&mut state, state::Command::ZoneIn("a".to_owned()));
    let mut copy = follow::LocalCopy::default();
    follow(&mut copy, &state, &feed::Feed::default());
    let reply = follow::SyncReply {
        is_current: true,
        index: old.index,
        is_whole: true,
        changes: old.full_changes(),
        entries: None,
        coordinators: Vec::new(),
    };
    assert!(!copy.apply(clock::Millis::ZERO, reply));
    assert!(copy.zones_out.is_empty());
}

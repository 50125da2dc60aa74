//! The registry's state machine under resent, concurrent and delayed commands.

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
        version: String::new(),
    }
}

fn apply(state: &mut state::State, cmd: state::Command) -> Vec<feed::Change> {
    let mut changes = Vec::new();
    let index = state.index + 1;
    state.apply(index, cmd, &mut changes);
    changes
}

/// Guards against rejecting the resend of an accepted configuration, also after a later one was
/// accepted.
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

/// Guards against accepting two changes that are based on the same version.
#[test]
fn one_of_two_changes_on_the_same_version_wins() {
    let mut state = state::State::default();
    configure(&mut state, 0, 3, b"first");
    assert_eq!(configure(&mut state, 3, 4, b"one"), state::Reply::Done);
    let conflict = state::Reply::Conflict { current: 4 };
    assert_eq!(configure(&mut state, 3, 4, b"other"), conflict);
    assert_eq!(configure(&mut state, 4, 4, b"other"), conflict);
    assert_eq!(configure(&mut state, 4, 2, b"older"), conflict);
}

/// Guards against a delayed announcement that returns a deregistered server to service.
#[test]
fn deregistered_server_returns_only_after_a_restart() {
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

/// Guards against a delayed announcement of a stopped server that displaces the server which uses
/// its address now.
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
        "the old server is marked as gone and the new one is added"
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

/// Guards against replicating heartbeats that change nothing, and against missing real changes.
#[test]
fn only_changes_need_a_command() {
    let old = announcement("s", 10, 5);
    let record = Some((&old, clock::Millis::ZERO));
    assert!(!server::changes_record(&announcement("s", 10, 6), record));
    assert!(!server::changes_record(&announcement("s", 9, 7), record));
    assert!(server::changes_record(&announcement("s", 11, 1), record));
    let mut draining = announcement("s", 10, 6);
    draining.state = server::State::Draining;
    assert!(server::changes_record(&draining, record));
    let mut cold = announcement("s", 10, 6);
    cold.cold_left = clock::Millis(3_000);
    assert!(
        server::changes_record(&cold, record),
        "a server that turned cold is a change"
    );
}

/// Guards against a follower that misses or repeats changes, whatever index it has reached.
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
        sync(copy, &state, &feed);
    }
    for copy in &mut copies {
        sync(copy, &state, &feed);
        assert_eq!(copy.zones_out, state.zones_out);
        let announcements = copy
            .servers
            .values()
            .map(|server| server.announcement.clone());
        let expected = state
            .servers
            .values()
            .map(|record| record.announcement.clone());
        assert!(announcements.eq(expected));
    }
}

fn sync(copy: &mut follow::LocalCopy, state: &state::State, feed: &feed::Feed) {
    let newer = (copy.index > 0).then(|| feed.since(copy.index)).flatten();
    let reply = follow::SyncReply {
        is_current: true,
        confirmation_age: None,
        index: state.index,
        is_whole: newer.is_none(),
        changes: newer.unwrap_or_else(|| state.full_changes()),
        entries: None,
        coordinators: Vec::new(),
    };
    copy.apply(clock::Millis::ZERO, reply);
}

/// Guards against a lagging coordinator that undoes changes in a copy.
#[test]
fn copy_ignores_an_older_reply() {
    let mut state = state::State::default();
    apply(&mut state, state::Command::ZoneOut("a".to_owned()));
    let old = state.clone();
    apply(&mut state, state::Command::ZoneIn("a".to_owned()));
    let mut copy = follow::LocalCopy::default();
    sync(&mut copy, &state, &feed::Feed::default());
    let reply = follow::SyncReply {
        is_current: true,
        confirmation_age: None,
        index: old.index,
        is_whole: true,
        changes: old.full_changes(),
        entries: None,
        coordinators: Vec::new(),
    };
    assert!(!copy.apply(clock::Millis::ZERO, reply));
    assert!(copy.zones_out.is_empty());
}

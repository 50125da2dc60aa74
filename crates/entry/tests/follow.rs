//! What an entry process accepts from a control process.

use nutmegdale_catalogue::{change, config, state};
use nutmegdale_entry::follow;
use nutmegdale_membership::{announcement, directory, hub, local};
use nutmegdale_rpc::message;

fn state(ops: &[&str]) -> state::State {
    let mut state = state::State::new();
    for (n, op) in ops.iter().enumerate() {
        let change = change::Change {
            id: format!("c{n}"),
            base: Some(state.config().version),
            author: "ann".to_owned(),
            ops: vec![serde_json::from_str(op).expect("step")],
        };
        assert!(state.apply(change, 0).is_accepted(), "{op}");
    }
    state
}

const OPS: [&str; 3] = [
    r#"{"op":"put-zone","zone":{"name":"zone-a","region":"north"}}"#,
    r#"{"op":"zone-out","name":"zone-a"}"#,
    r#"{"op":"server-out","name":"reads-1"}"#,
];

fn reply(state: &state::State, update: Option<message::Update>) -> message::Confirmed {
    message::Confirmed {
        version: state.config().version,
        digest: state.config().digest(),
        update,
        delta: directory::Delta::default(),
        wants_all: false,
        control: None,
        grants: Vec::new(),
        shares: Vec::new(),
    }
}

fn whole(state: &state::State) -> Option<message::Update> {
    let cfg = config::Config::clone(state.config());
    Some(message::Update::Whole(Box::new(cfg)))
}

fn take(
    follower: &mut follow::Follower,
    reply: message::Confirmed,
) -> Result<bool, follow::Refused> {
    follower.take("entry-1", 0, reply, &mut local::LocalTable::new())
}

/// Guards against an accepted version that is undone: an older answer is refused as a whole, also
/// its part of the hub's table.
#[test]
fn version_never_goes_back() {
    let (new, old) = (state(&OPS), state(&OPS[..1]));
    let mut follower = follow::Follower::new();
    assert_eq!(take(&mut follower, reply(&new, whole(&new))), Ok(true));
    let mut stale = reply(&old, whole(&old));
    stale.delta.position.epoch = 9;
    let refused = take(&mut follower, stale);
    let (offered, held) = (config::Version(1), config::Version(3));
    assert_eq!(refused, Err(follow::Refused::Older { offered, held }));
    assert_eq!(follower.config().version, held);
    assert_eq!(follower.directory().position().epoch, 0);
}

/// Guards against a configuration that differs from the accepted one after an update by effects.
#[test]
fn effects_lead_to_the_accepted_configuration() {
    let (new, old) = (state(&OPS), state(&OPS[..1]));
    let mut follower = follow::Follower::new();
    take(&mut follower, reply(&old, whole(&old))).expect("taken");
    let effects = new
        .accepted()
        .history
        .diff(config::Version(1), config::Version(3));
    let update = message::Update::Effects(effects.expect("kept"));
    assert_eq!(take(&mut follower, reply(&new, Some(update))), Ok(true));
    assert_eq!(follower.config().digest(), new.config().digest());
    assert!(follower.config().zones["zone-a"].out);
}

/// Guards against a lease for a configuration that is not the confirmed one. The process then asks
/// for the whole of it.
#[test]
fn wrong_or_missing_update_is_refused_and_healed() {
    let (new, old) = (state(&OPS), state(&OPS[..1]));
    let mut follower = follow::Follower::new();
    take(&mut follower, reply(&old, whole(&old))).expect("taken");
    for update in [
        None,
        Some(message::Update::Effects(Vec::new())),
        whole(&old),
    ] {
        let refused = take(&mut follower, reply(&new, update));
        assert_eq!(
            refused,
            Err(follow::Refused::Incomplete(config::Version(3)))
        );
        assert_eq!(follower.config().version, config::Version(1));
        assert_eq!(follower.stated_version(), config::Version(0));
    }
    assert_eq!(take(&mut follower, reply(&new, whole(&new))), Ok(true));
    assert_eq!(follower.stated_version(), config::Version(3));
}

fn announced(sequence: u64) -> announcement::Announcement {
    announcement::Announcement {
        server: "a".to_owned(),
        service: "reads".to_owned(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: "zone-a".to_owned(),
        slots: 4,
        connections: 300,
        cold_slots: 1,
        state: announcement::ServerState::Warm,
        incarnation: 1,
        sequence,
    }
}

/// Guards against servers that a new leader never hears of.
#[test]
fn leader_that_wants_all_gets_all_servers() {
    let empty = state::State::new();
    let mut local = local::LocalTable::new();
    let now = nutmegdale_base::clock::Millis(0);
    local.announce(now, &announced(1)).expect("announced");
    let mut follower = follow::Follower::new();
    let first = follower.announced(&local);
    assert!(first.is_all && first.changed.len() == 1);
    let taken = follower.take(
        "entry-1",
        first.last_change,
        reply(&empty, None),
        &mut local,
    );
    taken.expect("taken");
    assert!(!follower.has_unsent(&local));

    let mut from_new_leader = reply(&empty, None);
    from_new_leader.wants_all = true;
    let taken = follower.take("entry-1", first.last_change, from_new_leader, &mut local);
    taken.expect("taken");
    assert!(follower.has_unsent(&local));
    let again = follower.announced(&local);
    assert!(again.is_all && again.changed.len() == 1);
}

/// Guards against a live server whose end is distributed: the answer that says so makes the
/// process send the server again.
#[test]
fn server_that_lives_here_but_is_listed_as_gone_is_sent_again() {
    let empty = state::State::new();
    let mut local = local::LocalTable::new();
    let now = nutmegdale_base::clock::Millis(0);
    local.announce(now, &announced(1)).expect("announced");
    let mut follower = follow::Follower::new();
    let mut gone = reply(&empty, None);
    gone.delta.servers.push(hub::ServerRecord {
        announced: announcement::Announcement {
            state: announcement::ServerState::Gone,
            ..announced(1)
        },
        registrar: "entry-1".to_owned(),
    });
    let sent = local.last_change();
    follower
        .take("entry-1", sent, gone, &mut local)
        .expect("taken");
    assert!(follower.has_unsent(&local));
}

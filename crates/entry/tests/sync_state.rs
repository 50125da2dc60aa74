//! Validation of sync replies by an entry process.

use nutmegdale_catalogue::{change, config, state};
use nutmegdale_entry::sync_state;
use nutmegdale_membership::{announcement, directory, hub, local};
use nutmegdale_rpc::message;

fn catalogue_state(ops: &[&str]) -> state::State {
    let mut state = state::State::new();
    for (n, op) in ops.iter().enumerate() {
        let change = change::Change {
            id: format!("c{n}"),
            base: Some(state.config().version),
            author: "ann".to_owned(),
            ops: vec![serde_json::from_str(op).expect("operation")],
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

fn full_update(state: &state::State) -> Option<message::Update> {
    let cfg = config::Config::clone(state.config());
    Some(message::Update::Whole(Box::new(cfg)))
}

fn apply_reply(
    sync_state: &mut sync_state::SyncState,
    reply: message::Confirmed,
) -> Result<bool, sync_state::ReplyError> {
    sync_state.apply_reply("entry-1", 0, reply, &mut local::LocalTable::new())
}

/// Guards against the rollback of an accepted version: an older reply is rejected entirely,
/// including its directory delta.
#[test]
fn version_never_decreases() {
    let (new, old) = (catalogue_state(&OPS), catalogue_state(&OPS[..1]));
    let mut sync_state = sync_state::SyncState::new();
    assert_eq!(
        apply_reply(&mut sync_state, reply(&new, full_update(&new))),
        Ok(true)
    );
    let mut stale = reply(&old, full_update(&old));
    stale.delta.position.epoch = 9;
    let result = apply_reply(&mut sync_state, stale);
    let (offered, held) = (config::Version(1), config::Version(3));
    assert_eq!(result, Err(sync_state::ReplyError::Older { offered, held }));
    assert_eq!(sync_state.config().version, held);
    assert_eq!(sync_state.directory().position().epoch, 0);
}

/// Guards against a configuration that differs from the confirmed one after an incremental update.
#[test]
fn incremental_update_yields_the_confirmed_configuration() {
    let (new, old) = (catalogue_state(&OPS), catalogue_state(&OPS[..1]));
    let mut sync_state = sync_state::SyncState::new();
    apply_reply(&mut sync_state, reply(&old, full_update(&old))).expect("accepted reply");
    let effects = new
        .accepted()
        .history
        .diff(config::Version(1), config::Version(3));
    let update = message::Update::Effects(effects.expect("kept"));
    assert_eq!(
        apply_reply(&mut sync_state, reply(&new, Some(update))),
        Ok(true)
    );
    assert_eq!(sync_state.config().digest(), new.config().digest());
    assert!(sync_state.config().zones["zone-a"].out);
}

/// Guards against a lease for a configuration that is not the confirmed one. The process then
/// requests the full configuration.
#[test]
fn wrong_or_missing_update_is_rejected_and_repaired() {
    let (new, old) = (catalogue_state(&OPS), catalogue_state(&OPS[..1]));
    let mut sync_state = sync_state::SyncState::new();
    apply_reply(&mut sync_state, reply(&old, full_update(&old))).expect("accepted reply");
    for update in [
        None,
        Some(message::Update::Effects(Vec::new())),
        full_update(&old),
    ] {
        let result = apply_reply(&mut sync_state, reply(&new, update));
        assert_eq!(
            result,
            Err(sync_state::ReplyError::Incomplete(config::Version(3)))
        );
        assert_eq!(sync_state.config().version, config::Version(1));
        assert_eq!(sync_state.request_version(), config::Version(0));
    }
    assert_eq!(
        apply_reply(&mut sync_state, reply(&new, full_update(&new))),
        Ok(true)
    );
    assert_eq!(sync_state.request_version(), config::Version(3));
}

fn announcement(sequence: u64) -> announcement::Announcement {
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

/// Guards against servers that a new leader never learns of.
#[test]
fn leader_that_requests_all_servers_gets_all() {
    let empty = state::State::new();
    let mut local = local::LocalTable::new();
    let now = nutmegdale_base::clock::Millis(0);
    local.announce(now, &announcement(1)).expect("announced");
    let mut sync_state = sync_state::SyncState::new();
    let first = sync_state.pending_announcements(&local);
    assert!(first.is_all && first.changed.len() == 1);
    let applied = sync_state.apply_reply(
        "entry-1",
        first.last_change,
        reply(&empty, None),
        &mut local,
    );
    applied.expect("accepted reply");
    assert!(!sync_state.has_pending_announcements(&local));

    let mut from_new_leader = reply(&empty, None);
    from_new_leader.wants_all = true;
    let applied = sync_state.apply_reply("entry-1", first.last_change, from_new_leader, &mut local);
    applied.expect("accepted reply");
    assert!(sync_state.has_pending_announcements(&local));
    let again = sync_state.pending_announcements(&local);
    assert!(again.is_all && again.changed.len() == 1);
}

/// Guards against a live server that the directory lists as gone: the reply with that record makes
/// the process announce the server again.
#[test]
fn live_server_listed_as_gone_is_announced_again() {
    let empty = state::State::new();
    let mut local = local::LocalTable::new();
    let now = nutmegdale_base::clock::Millis(0);
    local.announce(now, &announcement(1)).expect("announced");
    let mut sync_state = sync_state::SyncState::new();
    let mut gone = reply(&empty, None);
    gone.delta.servers.push(hub::ServerRecord {
        announced: announcement::Announcement {
            state: announcement::ServerState::Gone,
            ..announcement(1)
        },
        registrar: "entry-1".to_owned(),
    });
    let sent = local.last_change();
    sync_state
        .apply_reply("entry-1", sent, gone, &mut local)
        .expect("accepted reply");
    assert!(sync_state.has_pending_announcements(&local));
}

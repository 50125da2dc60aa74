//! Tests of the hub's table, of the copies that follow it and of local tables.

use nutmegdale_base::clock::Millis;
use nutmegdale_membership::announcement::{Announcement, ServerState};
use nutmegdale_membership::{directory, hold, hub, local};

fn announced(server: &str, sequence: u64, state: ServerState) -> Announcement {
    Announcement {
        server: server.to_owned(),
        service: "reads".to_owned(),
        address: ([127, 0, 0, 1], 1).into(),
        zone: "zone-a".to_owned(),
        slots: 4,
        connections: 300,
        cold_slots: 1,
        state,
        incarnation: 1,
        sequence,
    }
}

fn warm(server: &str, sequence: u64) -> Announcement {
    announced(server, sequence, ServerState::Warm)
}

fn entry(name: &str, boot: u64) -> hub::EntryRecord {
    hub::EntryRecord {
        name: name.to_owned(),
        boot,
        zone: "zone-a".to_owned(),
        address: ([127, 0, 0, 1], 2).into(),
        leaving: false,
    }
}

fn sync(
    table: &mut hub::HubTable,
    now: u64,
    entry: &hub::EntryRecord,
    changed: &[Announcement],
) -> bool {
    let upload = hub::Upload {
        entry,
        changed,
        is_all: !changed.is_empty(),
        version: 1,
    };
    table.sync(Millis(now), upload)
}

fn update(copy: &mut directory::Directory, table: &hub::HubTable) {
    copy.apply(directory::Delta::collect(table, copy.position()));
}

fn names(copy: &directory::Directory) -> Vec<&str> {
    copy.servers()
        .map(|r| r.announced.server.as_str())
        .collect()
}

/// Guards against an interruption of service on each leader change: a copy that applied the empty
/// table of a new leader would drop every server and entry process.
#[test]
fn copy_keeps_servers_until_new_table_is_complete() {
    let (one, two) = (entry("entry-1", 1), entry("entry-2", 1));
    let mut old = hub::HubTable::new(1, Millis(0));
    sync(&mut old, 0, &one, &[warm("a", 1)]);
    sync(&mut old, 0, &two, &[warm("b", 1), warm("dead", 1)]);
    let mut copy = directory::Directory::new();
    update(&mut copy, &old);
    assert_eq!(names(&copy), ["a", "b", "dead"]);

    let mut new = hub::HubTable::new(2, Millis(50_000));
    sync(&mut new, 50_000, &one, &[warm("a", 1)]);
    update(&mut copy, &new);
    assert_eq!(names(&copy), ["a", "b", "dead"]);
    assert_eq!(copy.entries().count(), 2);

    sync(&mut new, 52_000, &two, &[warm("b", 1)]);
    for now in (52_000..=60_000).step_by(1_000) {
        sync(&mut new, now, &one, &[]);
        sync(&mut new, now, &two, &[]);
        new.expire(Millis(now));
    }
    assert!(hold::has_changes(new.watermarks(), copy.position()));
    update(&mut copy, &new);
    assert_eq!(names(&copy), ["a", "b"], "a dead server is kept forever");
}

/// Guards against dead entry processes and servers that stay listed while no sync arrives.
#[test]
fn entry_without_syncs_expires_and_then_its_servers() {
    let mut table = hub::HubTable::new(1, Millis(0));
    sync(&mut table, 0, &entry("entry-1", 1), &[warm("a", 1)]);
    table.expire(Millis(3_999));
    assert_eq!(table.entries().count(), 1);
    table.expire(Millis(4_000));
    assert_eq!(table.entries().count(), 0);
    assert_eq!(table.lost(Millis(4_000)).count(), 1);
    table.expire(Millis(9_999));
    let state = |table: &hub::HubTable| table.servers_after(0).next().map(|r| r.announced.state);
    assert_eq!(state(&table), Some(ServerState::Warm));
    table.expire(Millis(10_000));
    assert_eq!(state(&table), Some(ServerState::Gone));
}

/// Guards against keeping a dead server because its entry process has restarted under the same
/// name.
#[test]
fn servers_of_a_restarted_entry_expire_unless_announced_again() {
    let mut table = hub::HubTable::new(1, Millis(0));
    sync(
        &mut table,
        0,
        &entry("entry-1", 1),
        &[warm("a", 1), warm("b", 1)],
    );
    sync(&mut table, 1_000, &entry("entry-1", 2), &[warm("b", 2)]);
    for now in (1_000..=12_000).step_by(1_000) {
        sync(&mut table, now, &entry("entry-1", 2), &[]);
        table.expire(Millis(now));
    }
    let live = |r: &&hub::ServerRecord| r.announced.state != ServerState::Gone;
    let live: Vec<_> = table.servers_after(0).filter(live).collect();
    assert_eq!(live.len(), 1);
    assert_eq!(live[0].announced.server, "b");
}

/// Guards against losing servers for good after their entry process was partitioned for a while:
/// it sends unchanged servers again only if it is asked to.
#[test]
fn entry_that_expired_is_asked_for_all_its_servers() {
    let mut table = hub::HubTable::new(1, Millis(0));
    let one = entry("entry-1", 1);
    assert!(!sync(&mut table, 0, &one, &[warm("a", 1)]));
    assert!(!sync(&mut table, 1_000, &one, &[]));
    table.expire(Millis(6_000));
    table.expire(Millis(12_000));
    assert!(
        sync(&mut table, 13_000, &one, &[]),
        "the entry process must send all servers again"
    );
    assert!(!sync(&mut table, 13_100, &one, &[warm("a", 1)]));
    let mut copy = directory::Directory::new();
    update(&mut copy, &table);
    assert_eq!(names(&copy), ["a"]);
}

/// Guards against marking a live server as gone: it moved to a second entry process, came back to
/// the first one with a mere renewal, and its lease at the second one expires.
#[test]
fn server_that_came_back_survives_the_expiry_of_its_other_lease() {
    let (one, two) = (entry("entry-1", 1), entry("entry-2", 1));
    let mut table = hub::HubTable::new(1, Millis(0));
    let mut local = local::LocalTable::new();
    local.announce(Millis(0), &warm("a", 1)).expect("announced");
    sync(&mut table, 0, &one, &[warm("a", 1)]);
    sync(&mut table, 1_000, &two, &[warm("a", 2)]);
    // The server comes back before entry-1 has learned of the move.
    assert_eq!(local.announce(Millis(1_010), &warm("a", 3)), Ok(false));
    let acked = local.last_change();
    let listed = table.servers_after(0).next().expect("listed").clone();
    local.reconcile("entry-1", &listed);
    let resent: Vec<_> = local.changed_after(acked).cloned().collect();
    assert_eq!(resent, [warm("a", 3)]);
    sync(&mut table, 1_020, &one, &resent);
    sync(
        &mut table,
        7_000,
        &two,
        &[announced("a", 2, ServerState::Gone)],
    );
    let state = table.servers_after(0).next().map(|r| r.announced.state);
    assert_eq!(state, Some(ServerState::Warm));
}

/// Guards against a server that comes back, after the first entry process has learned of its move,
/// with an announcement that looks like a renewal and so is never sent to the hub.
#[test]
fn return_after_a_reconciled_move_is_a_change() {
    let mut table = hub::HubTable::new(1, Millis(0));
    let mut local = local::LocalTable::new();
    local.announce(Millis(0), &warm("a", 1)).expect("announced");
    sync(&mut table, 1_000, &entry("entry-2", 1), &[warm("a", 2)]);
    let listed = table.servers_after(0).next().expect("listed").clone();
    local.reconcile("entry-1", &listed);
    assert_eq!(local.announce(Millis(2_000), &warm("a", 3)), Ok(true));
}

/// Guards against two entry processes that claim the same server in turn forever.
#[test]
fn announcement_repeated_to_another_entry_does_not_move_the_server() {
    let mut table = hub::HubTable::new(1, Millis(0));
    sync(&mut table, 0, &entry("entry-1", 1), &[warm("a", 1)]);
    let before = table.watermarks();
    sync(&mut table, 0, &entry("entry-2", 1), &[warm("a", 1)]);
    assert_eq!(table.watermarks().servers, before.servers);
}

/// Guards against dead servers in a copy that was partitioned for longer than tombstones are kept.
#[test]
fn copy_that_missed_a_tombstone_gets_the_whole_table() {
    let one = entry("entry-1", 1);
    let mut table = hub::HubTable::new(1, Millis(0));
    sync(&mut table, 0, &one, &[warm("a", 1), warm("b", 1)]);
    let mut copy = directory::Directory::new();
    update(&mut copy, &table);
    sync(
        &mut table,
        1_000,
        &one,
        &[announced("a", 2, ServerState::Gone)],
    );
    for now in (1_000..=70_000).step_by(1_000) {
        sync(&mut table, now, &one, &[]);
        table.expire(Millis(now));
    }
    update(&mut copy, &table);
    assert_eq!(names(&copy), ["b"]);
}

/// Guards against answers that carry the whole table for one change, with 890 servers.
#[test]
fn delta_holds_only_changed_servers() {
    let one = entry("entry-1", 1);
    let mut table = hub::HubTable::new(1, Millis(0));
    let all: Vec<_> = (0..890).map(|n| warm(&format!("server-{n}"), 1)).collect();
    sync(&mut table, 0, &one, &all);
    let known = table.watermarks();
    sync(
        &mut table,
        10,
        &one,
        &[announced("server-7", 2, ServerState::Cold)],
    );
    let delta = directory::Delta::collect(&table, known);
    assert_eq!(delta.servers.len(), 1);
    assert!(delta.entries.is_none() && !delta.is_full);
}

/// Guards against a storm of answers: during a burst of changes an entry process is answered at
/// most once in 100 ms, while a single change is sent at once and no sync is held beyond its time.
#[test]
fn held_syncs_batch_a_burst_of_changes() {
    let held = |last_answer| hold::HeldSync {
        arrived: Millis(1_000),
        last_answer,
        may_hold: true,
    };
    use hold::Action;
    let decide = |now, last, has_changes| hold::decide(Millis(now), held(last), has_changes);
    assert_eq!(decide(1_000, None, true), Action::Answer);
    assert_eq!(decide(1_000, Some(Millis(900)), true), Action::Answer);
    assert_eq!(
        decide(1_000, Some(Millis(950)), true),
        Action::Batch(Millis(1_050))
    );
    assert_eq!(
        decide(1_000, Some(Millis(950)), false),
        Action::WaitForChange(Millis(2_000))
    );
    assert_eq!(
        decide(1_990, Some(Millis(1_980)), true),
        Action::Batch(Millis(2_000))
    );
    assert_eq!(decide(2_000, Some(Millis(1_990)), true), Action::Answer);
    let immediate = hold::HeldSync {
        may_hold: false,
        ..held(Some(Millis(999)))
    };
    assert_eq!(
        hold::decide(Millis(1_000), immediate, false),
        Action::Answer
    );
}

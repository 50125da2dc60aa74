//! Table of live entry processes, as coordinators share it.

use nutmegdale_base::clock;
use nutmegdale_coordinator::entries;
use nutmegdale_registry::follow;

fn entry(n: usize) -> follow::Entry {
    follow::Entry {
        name: format!("entry-{n}"),
        address: format!("10.0.0.{n}:80").parse().expect("an address"),
        zone: "a".to_owned(),
        region: "r".to_owned(),
    }
}

/// Guards against callers that are sent to a process that has ended, or that says it leaves.
#[test]
fn silent_and_leaving_processes_drop_out() {
    let mut entries = entries::Entries::default();
    let start = clock::Millis(1_000);
    entries.synced(start, &entry(1), true);
    entries.synced(start, &entry(2), true);
    assert_eq!(entries.ready(start).len(), 2);
    entries.synced(start, &entry(2), false);
    assert_eq!(entries.ready(start), [entry(1)]);
    assert!(entries.ready(start + clock::Millis(3_000)).is_empty());
}

/// Guards against a process that syncs elsewhere by now and is dropped because its former
/// coordinator no longer lists it.
#[test]
fn process_that_moved_stays_listed() {
    let mut entries = entries::Entries::default();
    let now = clock::Millis(5_000);
    entries.synced(now, &entry(1), true);
    entries.remove_others(&["entry-1".to_owned()]);
    assert_eq!(entries.ready(now), [entry(1)]);
}

/// Guards against a table that grows with every process that was ever seen.
#[test]
fn processes_are_forgotten_in_the_end() {
    let mut entries = entries::Entries::default();
    entries.synced(clock::Millis(0), &entry(1), true);
    entries.sweep(clock::Millis(120_000));
    assert!(entries.own(clock::Millis(120_000)).is_empty());
}

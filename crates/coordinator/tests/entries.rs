//! Tests of the table of live entry processes.

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

/// Guards against sending callers to a process that has stopped or is shutting down.
#[test]
fn stopped_and_leaving_processes_are_not_ready() {
    let mut entries = entries::Entries::default();
    let start = clock::Millis(1_000);
    entries.record_sync(start, &entry(1), true);
    entries.record_sync(start, &entry(2), true);
    assert_eq!(entries.ready(start).len(), 2);
    entries.record_sync(start, &entry(2), false);
    assert_eq!(entries.ready(start), [entry(1)]);
    assert!(entries.ready(start + clock::Millis(3_000)).is_empty());
}

/// Guards against removing a process that has moved to this coordinator because its former
/// coordinator no longer lists it.
#[test]
fn process_that_moved_stays_listed() {
    let mut entries = entries::Entries::default();
    let now = clock::Millis(5_000);
    entries.record_sync(now, &entry(1), true);
    entries.remove_indirect(&["entry-1".to_owned()]);
    assert_eq!(entries.ready(now), [entry(1)]);
}

/// Guards against a table that grows with every process that ever synced.
#[test]
fn stopped_processes_are_removed() {
    let mut entries = entries::Entries::default();
    entries.record_sync(clock::Millis(0), &entry(1), true);
    entries.expire(clock::Millis(120_000));
    assert!(entries.direct(clock::Millis(120_000)).is_empty());
}

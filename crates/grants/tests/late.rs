//! Guards against late messages that would give a cold server two holders.

use nutmegdale_base::clock::Millis;
use nutmegdale_grants::{HOLD_OFF_MS, holder, message, table};

fn names(servers: &[&str]) -> Vec<String> {
    servers.iter().map(|s| (*s).to_owned()).collect()
}

/// The answer to an earlier sync arrives after the grant that it renews was given up.
#[test]
fn answer_to_an_earlier_sync_does_not_revive_a_released_grant() {
    let mut table = table::Table::new(1, Millis(0));
    let mut holder = holder::Holder::new();
    let lease = holder.lease("s");
    let first = holder.request(["s"].into_iter());
    let granted = table.grant(Millis(0), "a", 1, &first.wanted);
    holder.apply_answer(Millis(100), &first, &granted);
    assert!(lease.is_valid(Millis(2_099)) && !lease.is_valid(Millis(2_100)));
    let second = holder.request([].into_iter());
    assert_eq!(second.released, granted);
    holder.apply_answer(Millis(200), &first, &granted);
    assert!(
        !lease.is_valid(Millis(201)),
        "the released grant is valid again"
    );
    assert!(table.release("a", 1, &second.released));
}

/// A release that the previous start of a process sent arrives after its successor was granted.
#[test]
fn release_of_an_earlier_start_or_another_entry_frees_nothing() {
    let mut table = table::Table::new(1, Millis(0));
    let wanted = names(&["s"]);
    let granted = table.grant(Millis(0), "a", 1, &wanted);
    assert!(
        !table.release("a", 2, &granted),
        "another start of the process"
    );
    assert!(!table.release("b", 1, &granted), "another process");
    assert!(
        table.grant(Millis(10), "a", 2, &wanted).is_empty(),
        "the old start may still send"
    );
    assert!(table.release("a", 1, &granted));
    assert!(!table.release("a", 1, &granted), "a repeated release");
}

/// A lost holder or a new leader must not be followed before its last request has ended.
#[test]
fn lost_holder_and_new_leader_are_waited_for() {
    let wanted = names(&["s"]);
    let mut table = table::Table::new(2, Millis(0));
    let opens = HOLD_OFF_MS;
    assert!(!table.has_grantable(Millis(opens.0 - 1), "a", 1, &wanted));
    assert!(table.grant(Millis(opens.0 - 1), "a", 1, &wanted).is_empty());
    assert_eq!(table.grant(opens, "a", 1, &wanted).len(), 1);
    let over = opens + HOLD_OFF_MS;
    assert!(table.grant(Millis(over.0 - 1), "b", 1, &wanted).is_empty());
    assert!(table.has_grantable(over, "b", 1, &wanted));
    assert_eq!(table.grant(over, "b", 1, &wanted).len(), 1);
}

/// A grant with a request in flight must be kept until the request has ended.
#[test]
fn grant_is_given_up_only_with_nothing_in_flight() {
    let mut table = table::Table::new(1, Millis(0));
    let mut holder = holder::Holder::new();
    let lease = holder.lease("s");
    let ask = holder.request(["s"].into_iter());
    let granted = table.grant(Millis(0), "a", 1, &ask.wanted);
    holder.apply_answer(Millis(0), &ask, &granted);
    assert!(lease.begin(Millis(1), 1));
    assert!(
        !lease.begin(Millis(1), 1),
        "a second request over the bound"
    );
    let ask = holder.request([].into_iter());
    assert!(ask.released.is_empty(), "released with a request in flight");
    assert!(
        !lease.begin(Millis(2), 2),
        "a grant that is given up takes no more work"
    );
    lease.end();
    assert_eq!(holder.request([].into_iter()).released, granted);
    // The release is repeated until an answer confirms it.
    let ask = holder.request(["s"].into_iter());
    assert_eq!(ask.released, granted);
    holder.apply_answer(Millis(3), &ask, &[]);
    assert!(holder.request([].into_iter()).released.is_empty());
    let sent: message::GrantRequest = holder.request(["a", "b", "c", "d", "e"].into_iter());
    assert_eq!(sent.wanted.len(), holder::GRANTS_MAX_COUNT);
}

//! Guards against delayed messages that would give a cold server two holders.

use nutmegdale_base::clock::Millis;
use nutmegdale_grants::{HOLD_OFF_MS, holder, message, table};

fn names(servers: &[&str]) -> Vec<String> {
    servers.iter().map(|s| (*s).to_owned()).collect()
}

/// The answer to an earlier sync arrives after the grant that it renews was released.
#[test]
fn answer_to_an_earlier_sync_does_not_renew_a_released_grant() {
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

/// A release from another process or another start must not free a grant, such as a delayed release
/// of the previous start of a process that arrives after its successor was granted.
#[test]
fn release_by_another_start_or_another_entry_frees_nothing() {
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

/// After the loss of a holder or a leader, a server must not be granted anew while a request of the
/// old holder may still be at the server.
#[test]
fn lost_holder_and_new_leader_delay_the_next_grant() {
    let wanted = names(&["s"]);
    let mut table = table::Table::new(2, Millis(0));
    let first = HOLD_OFF_MS;
    assert!(!table.has_grantable(Millis(first.0 - 1), "a", 1, &wanted));
    assert!(table.grant(Millis(first.0 - 1), "a", 1, &wanted).is_empty());
    assert_eq!(table.grant(first, "a", 1, &wanted).len(), 1);
    let next = first + HOLD_OFF_MS;
    assert!(table.grant(Millis(next.0 - 1), "b", 1, &wanted).is_empty());
    assert!(table.has_grantable(next, "b", 1, &wanted));
    assert_eq!(table.grant(next, "b", 1, &wanted).len(), 1);
}

/// A grant with a request in flight must not be released until the request has ended.
#[test]
fn grant_is_released_only_with_nothing_in_flight() {
    let mut table = table::Table::new(1, Millis(0));
    let mut holder = holder::Holder::new();
    let lease = holder.lease("s");
    let req = holder.request(["s"].into_iter());
    let granted = table.grant(Millis(0), "a", 1, &req.wanted);
    holder.apply_answer(Millis(0), &req, &granted);
    assert!(lease.begin(Millis(1), 1));
    assert!(
        !lease.begin(Millis(1), 1),
        "a second request over the bound"
    );
    let req = holder.request([].into_iter());
    assert!(req.released.is_empty(), "released with a request in flight");
    assert!(
        !lease.begin(Millis(2), 2),
        "a grant that is being released takes no new requests"
    );
    lease.end();
    assert_eq!(holder.request([].into_iter()).released, granted);
    // The release is repeated until an answer acknowledges it.
    let req = holder.request(["s"].into_iter());
    assert_eq!(req.released, granted);
    holder.apply_answer(Millis(3), &req, &[]);
    assert!(holder.request([].into_iter()).released.is_empty());
    let req: message::GrantRequest = holder.request(["a", "b", "c", "d", "e"].into_iter());
    assert_eq!(req.wanted.len(), holder::GRANTS_MAX_COUNT);
}

//! Tests of which priorities count at a service.

use nutmegdale_base::clock;
use nutmegdale_dispatch::{demand, precedence};

/// Guards against capacity that is kept free for routes which get a request now and then, and against
/// a service whose urgent requests are not noticed.
#[test]
fn priorities_count_while_they_have_a_part_of_the_requests() {
    let (urgent, usual) = (precedence::order(None, 0), precedence::order(None, 2));
    let levels = precedence::Levels::new([urgent, usual]);
    let recent = demand::Demand::default();
    for n in 0..300_u64 {
        recent.record(clock::Millis(n * 100), usual);
        if n % 50 == 0 {
            recent.record(clock::Millis(n * 100), urgent);
        }
    }
    assert_eq!(levels.standing_among(usual, &recent), None);
    for n in 300..400_u64 {
        recent.record(clock::Millis(n * 100), usual);
        if n % 5 == 0 {
            recent.record(clock::Millis(n * 100), urgent);
        }
    }
    let standing = levels.standing_among(usual, &recent);
    assert_eq!(standing.map(|standing| standing.rank), Some(1));
    let standing = levels.standing_among(urgent, &recent);
    assert_eq!(standing.map(|standing| standing.rank), Some(0));
    for n in 400..700_u64 {
        recent.record(clock::Millis(n * 100), usual);
    }
    assert_eq!(levels.standing_among(usual, &recent), None);
}

/// Guards against accounts of the same priority whose urgent requests wait behind others.
#[test]
fn routes_decide_among_accounts_of_the_same_priority() {
    let order = precedence::order;
    assert!(order(Some(1), 2) < order(Some(2), 0));
    assert!(order(Some(1), 0) < order(Some(1), 2));
    assert!(order(None, 0) < order(Some(1), 0));
}

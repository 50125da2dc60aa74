//! Tests of the connections that health checks open, in virtual time.

use nutmegdale_base::clock;
use nutmegdale_dispatch::connects;

/// Requests per second of one of a hundred processes.
const REQUESTS_PER_S: u64 = 7;
/// Health checks of each request that find no kept connection, as measured under load.
const WANTED_PER_REQUEST: u64 = 1;

/// Returns the connections opened in the last 90 of 100 s, and the number of requests in that time.
fn opened(budget: Option<&connects::Budget>) -> (u64, u64) {
    let (mut opened_count, mut requests_count) = (0, 0);
    for n in 0..100 * REQUESTS_PER_S {
        let now = clock::Millis(n * 1_000 / REQUESTS_PER_S);
        if let Some(budget) = budget {
            budget.deposit(now);
        }
        for _ in 0..WANTED_PER_REQUEST {
            let is_opened = budget.is_none_or(connects::Budget::withdraw);
            opened_count += u64::from(is_opened && now >= clock::Millis::from_secs(10));
        }
        requests_count += u64::from(now >= clock::Millis::from_secs(10));
    }
    (opened_count, requests_count)
}

/// Guards against more than 0.2 connections per request, and against a budget that is so small that
/// a process keeps connections to too few servers to find a free one.
#[test]
fn health_checks_open_a_sixth_of_a_connection_per_request() {
    let budget = connects::Budget::new(clock::Millis::ZERO);
    let (without, requests) = opened(None);
    assert_eq!(without, requests);
    let (with, requests) = opened(Some(&budget));
    assert!(with * 100 <= requests * 19, "{with} of {requests}");
    assert!(with * 100 >= requests * 15, "{with} of {requests}");
}

/// Guards against a process that can open no connection after a quiet time, and against one that
/// saves up for a storm.
#[test]
fn saved_tokens_are_bounded() {
    let budget = connects::Budget::new(clock::Millis::ZERO);
    while budget.withdraw() {}
    assert!(!budget.has_token());
    budget.deposit(clock::Millis::from_secs(5));
    assert!(budget.has_token());
    budget.deposit(clock::Millis::from_secs(100_000));
    // A clock value from another thread may be older.
    budget.deposit(clock::Millis::from_secs(1));
    let mut count = 0;
    while budget.withdraw() {
        count += 1;
    }
    assert_eq!(count, 24);
    budget.refund();
    assert!(budget.withdraw(), "a silent connection can be replaced");
}

/// Guards against a storm of connects to a server that resets them, and against a server that gets
/// none for long although it has become free.
#[test]
fn pause_grows_while_a_server_serves_no_connection() {
    let hold = connects::Hold::default();
    let mut now = clock::Millis::from_secs(1);
    let mut tries = Vec::new();
    while now < clock::Millis::from_secs(20) {
        if hold.allows(now) {
            tries.push(now.0 / 1_000);
            hold.record_unserved(now);
        }
        now = now + clock::Millis(10);
    }
    assert_eq!(tries, [1, 2, 4, 8, 12, 16]);
    hold.record_served();
    hold.record_unserved(now);
    assert!(!hold.allows(now + clock::Millis(999)));
    assert!(hold.allows(now + clock::Millis(1_000)));
}

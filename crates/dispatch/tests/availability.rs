//! What servers say about their availability, in virtual time.

use nutmegdale_base::{clock, rng};
use nutmegdale_dispatch::{admission, availability};

const SECOND: clock::Millis = clock::Millis(1_000);

/// Guards against requests that reach a server in the time for which it wanted none, when refusals
/// with different delays arrive in any order.
#[test]
fn server_gets_no_request_in_any_of_its_backoffs() {
    for seed in 0..200 {
        let mut rng = rng::SplitMix64::new(seed);
        let server = availability::Availability::default();
        let mut backoffs = Vec::new();
        for at in (0..20_000).step_by(10).map(clock::Millis) {
            let is_held_back = backoffs.iter().any(|(_, until)| at < *until);
            assert_eq!(
                server.is_available(at),
                !is_held_back,
                "seed {seed}, at {at}"
            );
            // Requests that were sent earlier are refused during a backoff, too.
            if rng::Rng::below(&mut rng, 40) == 0 {
                let delay = clock::Millis(rng::Rng::below(&mut rng, 3_000));
                server.back_off(at, delay);
                backoffs.push((at, at + delay));
            }
        }
    }
}

/// Guards against a backoff that never ends, and against one without a length.
#[test]
fn backoff_is_bounded() {
    let server = availability::Availability::default();
    assert!(!server.back_off(SECOND, clock::Millis::ZERO));
    assert!(server.is_available(SECOND));
    assert!(server.back_off(SECOND, clock::Millis::MAX));
    let end = SECOND + availability::BACKOFF_MAX_MS;
    assert_eq!(server.backoff_left(SECOND), availability::BACKOFF_MAX_MS);
    assert!(server.is_available(end));
}

/// Guards against a log line for each refusal of a backoff that is in force.
#[test]
fn backoff_is_news_once() {
    let server = availability::Availability::default();
    assert!(server.back_off(SECOND, SECOND));
    assert!(!server.back_off(SECOND, SECOND + SECOND));
    let end = SECOND + SECOND + SECOND;
    assert!(server.back_off(end, SECOND), "the first one has ended");
    assert!(server.mark_leaving());
    assert!(!server.mark_leaving());
}

/// Guards against a leaving server that is used again once the registry has forgotten it and knows
/// it again, and against a server that is shut out after a new start.
#[test]
fn only_a_newer_start_ends_leaving() {
    let leaving = availability::LeavingServers::default();
    leaving.insert("a", 7);
    leaving.insert("a", 5);
    assert!(leaving.contains("a", 7) && leaving.contains("a", 6));
    assert!(!leaving.contains("a", 8) && !leaving.contains("b", 7));
}

/// Guards against memory that grows with every server that ever left.
#[test]
fn oldest_leaving_servers_are_forgotten() {
    let leaving = availability::LeavingServers::default();
    for n in 0..100_000 {
        leaving.insert(&format!("s{n}"), 1);
    }
    let known = (0..100_000).filter(|n| leaving.contains(&format!("s{n}"), 1));
    assert!(known.count() < 10_000);
    assert!(leaving.contains("s99999", 1));
}

/// Guards against callers that all return in the moment at which the first server wants requests
/// again, that return earlier although they have time, or that wait beyond a third of their time.
#[test]
fn callers_return_after_a_backoff_one_by_one() {
    let mut rng = rng::SplitMix64::new(3);
    let backoff = clock::Millis(1_400);
    let deadline = clock::Millis(9_000);
    let mut delays: Vec<_> = (0..100)
        .map(|_| admission::retry_after_backoff(backoff, deadline, &mut rng))
        .collect();
    delays.sort_unstable();
    assert!(delays[0] >= backoff && delays[99].0 <= deadline.0 / 3);
    assert!(
        delays[75].since(delays[25]) > clock::Millis(200),
        "{delays:?}"
    );
    let short = admission::retry_after_backoff(backoff, clock::Millis(900), &mut rng);
    assert_eq!(short, clock::Millis(300));
}

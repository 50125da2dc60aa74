//! Evidence on requests under which servers crashed.

use nutmegdale_base::rng::Rng;
use nutmegdale_base::{clock, rng};
use nutmegdale_gossip::crashes::{self, Evidence};
use nutmegdale_gossip::store::Value;
use nutmegdale_gossip::{message, state, store};

const KEY: u64 = 7;

fn evidence(round: u32, servers: &[u32]) -> Evidence {
    Evidence {
        round,
        servers: servers.to_vec(),
        was_banned: false,
    }
}

fn news(crashes: Vec<store::Fact<Evidence>>) -> message::Message {
    message::Message::News(message::Facts {
        crashes,
        ..message::Facts::default()
    })
}

fn merged(a: &Evidence, b: &Evidence) -> Evidence {
    let mut merged = a.clone();
    merged.merge(b);
    merged
}

fn random(rng: &mut rng::SplitMix64) -> Evidence {
    let mut servers: Vec<_> = (0..rng.below(4)).map(|_| rng.below(6) as u32).collect();
    servers.sort_unstable();
    servers.dedup();
    Evidence {
        was_banned: rng.below(2) == 0,
        ..evidence(rng.below(3) as u32, &servers)
    }
}

/// Guards against processes that disagree after they got the same evidence in another order.
#[test]
fn order_of_evidence_does_not_matter() {
    let mut rng = rng::SplitMix64::new(11);
    for _ in 0..2_000 {
        let (a, b, c) = (random(&mut rng), random(&mut rng), random(&mut rng));
        assert_eq!(merged(&a, &b), merged(&b, &a));
        assert_eq!(merged(&merged(&a, &b), &c), merged(&a, &merged(&b, &c)));
        assert_eq!(merged(&a, &a), a);
    }
}

/// Guards against a ban for fewer crashes, for several crashes of one incarnation, or for crashes from
/// before the request was served.
#[test]
fn three_servers_ban_a_request_unless_it_was_served() {
    let mut state = state::State::new();
    let now = clock::Millis(1_000);
    let is_banned = |state: &state::State| state.crashes.get(KEY).is_some_and(Evidence::is_ban);
    assert!(state.record_crash(now, KEY, 1));
    assert!(!state.record_crash(now, KEY, 1), "the same incarnation");
    assert!(state.record_crash(now, KEY, 2));
    assert!(!is_banned(&state));
    assert!(state.record_crash(now, KEY, 3));
    assert!(is_banned(&state));
    assert!(!state.record_crash(now, KEY, 4), "banned already");
    assert!(state.clear(now, KEY));
    assert!(!is_banned(&state));
    assert!(!state.clear(now, KEY), "cleared already");
    assert!(!state.record_crash(now, KEY, 5), "cleared a short time ago");
    let later = now + clock::Millis(30_000);
    assert!(state.record_crash(later, KEY, 5));
    assert!(!is_banned(&state));
}

/// Guards against a request that many callers need and that is banned for the crashes of another
/// one: it runs on every server that crashes, and is served by all others.
#[test]
fn request_that_is_served_elsewhere_is_not_banned() {
    let mut state = state::State::new();
    let mut rng = rng::SplitMix64::new(3);
    for second in 0..600 {
        let now = clock::Millis(second * 1_000);
        for _ in 0..rng.below(3) {
            state.record_crash(now, KEY, rng.next_u64() as u32);
        }
        state.clear(now, KEY);
        assert!(!state.crashes.get(KEY).is_some_and(Evidence::is_ban));
    }
}

/// Guards against bans that are pushed out by requests with ever new paths, and against evidence
/// without bound in number and time.
#[test]
fn bans_outlive_a_flood_of_other_requests() {
    let mut state = state::State::new();
    let now = clock::Millis(1_000);
    for server in 1..=3 {
        state.record_crash(now, KEY, server);
    }
    for key in 100..20_000 {
        state.record_crash(now + clock::Millis(key), key, 9);
    }
    assert_eq!(state.crashes.len(), 4_096);
    assert!(state.crashes.get(KEY).is_some_and(Evidence::is_ban));
    state.expire(now + clock::Millis(crashes::BAN_MS.0 - 1));
    assert_eq!(state.crashes.len(), 1, "only the ban");
    state.expire(now + crashes::BAN_MS);
    assert!(state.crashes.is_empty());
}

/// Guards against a ban that does not end, since each process that starts later takes it for a new
/// one and tells it to others.
#[test]
fn fact_keeps_its_age_at_a_process_that_started_after_it() {
    let age = clock::Millis(crashes::BAN_MS.0 - 10_000);
    let fact = store::Fact {
        key: KEY,
        age,
        value: evidence(0, &[1, 2, 3]),
    };
    let mut state = state::State::new();
    let started = clock::Millis(5_000);
    state.receive(started, &news(vec![fact]));
    let later = started + clock::Millis(4_000);
    let told = state.crashes.facts(later);
    assert_eq!(told[0].age, age + clock::Millis(4_000));
    assert!(!state.expire(started + clock::Millis(9_999)).has_crashes);
    assert!(state.expire(started + clock::Millis(10_000)).has_crashes);
    assert!(state.crashes.is_empty());
}

/// Guards against a request that is banned once more after it was served: a process that was away
/// returns with the ban, and the others have forgotten that it was cleared.
#[test]
fn ban_of_a_process_that_was_away_stays_cleared() {
    let now = clock::Millis(1_000);
    let mut away = state::State::new();
    for server in [1, 2, 3] {
        away.record_crash(now, KEY, server);
    }
    let mut state = state::State::new();
    state.receive(now, &news(away.crashes.facts(now)));
    assert!(state.clear(now, KEY));
    let later = now + clock::Millis(1_200_000);
    state.expire(later);
    away.expire(later);
    let received = state.receive(later, &news(away.crashes.facts(later)));
    assert!(!received.has_crashes);
    assert!(!state.crashes.get(KEY).is_some_and(Evidence::is_ban));
}

//! Guards the limits of the ledger: a full ledger must refuse new claims without losing old
//! records, and expiry must not block the replica group for long.

use nutmegdale_base::clock;
use nutmegdale_ledger::{command, key, state};

fn claimant(attempt: u64) -> command::Claimant {
    command::Claimant {
        entry: "entry-a".to_owned(),
        boot: 1,
        attempt,
    }
}

fn claim(number: u64) -> command::Command {
    command::Command::Claim(command::Claim {
        key: key::KeyId::new("account", "route", &number.to_string()),
        digest: key::Digest::of_request("POST", "/filings", b"leak"),
        claimant: claimant(number),
        run_ms: clock::Millis(1_000),
        keep_ms: clock::Millis(60_000),
    })
}

fn record(number: u64, bytes: usize) -> command::Command {
    command::Command::Record(command::Record {
        key: key::KeyId::new("account", "route", &number.to_string()),
        claimant: claimant(number),
        answer: command::Answer {
            status: 201,
            headers: Vec::new(),
            body: command::Body::Kept(vec![b'x'; bytes]),
        },
    })
}

#[test]
fn full_ledger_refuses_new_keys_and_keeps_old_records() {
    let mut state = state::State::new(state::Bounds {
        records_max_count: 2,
        answers_max_bytes: 100,
    });
    let granted = command::Reply::Claim(command::ClaimReply::Granted);
    let full = command::Reply::Claim(command::ClaimReply::Full);
    assert_eq!(state.apply(claim(1)), granted);
    assert_eq!(state.apply(claim(2)), granted);
    assert_eq!(state.apply(claim(3)), full);
    state.apply(record(1, 60));
    state.apply(record(2, 60));
    assert_eq!(
        state.answers_bytes(),
        60,
        "the second answer must be stored as a digest"
    );
    let is_answered = |status| matches!(status, command::Status::Answered(_));
    for number in 1..=2_u64 {
        let key = key::KeyId::new("account", "route", &number.to_string());
        assert!(is_answered(state.lookup(key)), "key {number}");
    }
}

#[test]
fn expiry_removes_a_bounded_number_of_records_per_command() {
    let count = state::EXPIRE_MAX_COUNT as u64 * 2 + 1;
    let mut state = state::State::new(state::Bounds::default());
    for number in 0..count {
        state.apply(claim(number));
        state.apply(record(number, 1));
    }
    let mut elapsed_ms = state::ELAPSED_MAX_MS;
    for _ in 0..2 {
        state.apply(command::Command::Expire { elapsed_ms });
    }
    let mut remaining_counts = Vec::new();
    loop {
        let reply = state.apply(command::Command::Expire { elapsed_ms });
        remaining_counts.push(state.records_count());
        elapsed_ms = clock::Millis::ZERO;
        if reply == (command::Reply::Expired { has_more: false }) {
            break;
        }
    }
    assert_eq!(remaining_counts, [state::EXPIRE_MAX_COUNT + 1, 1, 0]);
    assert_eq!((state.answers_bytes(), state.claimed_count()), (0, 0));
}

#[test]
fn moving_bytes_between_request_parts_changes_the_hash() {
    let digest = key::Digest::of_request;
    assert_ne!(digest("POST", "/a", b"b"), digest("POST", "/ab", b""));
    let id = key::KeyId::new;
    assert_ne!(id("a", "b", "c"), id("ab", "", "c"));
}

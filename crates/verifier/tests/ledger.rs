//! Tests the ledger checker itself: if it missed a violation, every test that relies on it would
//! pass.

use nutmegdale_verifier::ledger::{Event, Outcome, Violation, check};

const EXECUTED: Event<'_> = Event::Executed {
    key: "k",
    send: "s1",
};

fn reported<'a>(send: &'a str, outcome: Outcome<'a>) -> Event<'a> {
    let key = "k";
    Event::Reported { key, send, outcome }
}

#[test]
fn single_execution_with_one_answer_has_no_violations() {
    let events = [
        EXECUTED,
        reported("s1", Outcome::Unknown),
        reported("s2", Outcome::Answered(b"a")),
        reported("s3", Outcome::NotRun),
        reported("s4", Outcome::Answered(b"a")),
    ];
    assert_eq!(check(&events), []);
}

#[test]
fn each_violation_is_found() {
    let key = "k".to_owned();
    let (again, other) = (EXECUTED, reported("s2", Outcome::Answered(b"b")));
    let found = check(&[
        EXECUTED,
        again,
        reported("s1", Outcome::Answered(b"a")),
        other,
    ]);
    let expected = [
        Violation::RanAgain {
            key: key.clone(),
            count: 2,
        },
        Violation::AnswersDiffer {
            key: key.clone(),
            count: 2,
        },
    ];
    assert_eq!(found, expected);
    let found = check(&[reported("s1", Outcome::Answered(b"a"))]);
    assert_eq!(found, [Violation::AnsweredWithoutRun { key: key.clone() }]);
    let send = "s1".to_owned();
    let found = check(&[reported("s1", Outcome::NotRun), EXECUTED]);
    assert_eq!(found, [Violation::FalseNotRun { key, send }]);
}

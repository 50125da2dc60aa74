//! Guards the ledger checks themselves: a check that misses a broken rule would let every test
//! that relies on it pass.

use nutmegdale_verifier::ledger::{Event, Told, Violation, check};

const RUN: Event<'_> = Event::Executed {
    key: "k",
    send: "s1",
};

fn told<'a>(send: &'a str, told: Told<'a>) -> Event<'a> {
    let key = "k";
    Event::Told { key, send, told }
}

#[test]
fn one_run_with_one_answer_is_accepted() {
    let events = [
        RUN,
        told("s1", Told::Unknown),
        told("s2", Told::Answered(b"a")),
        told("s3", Told::NotRun),
        told("s4", Told::Answered(b"a")),
    ];
    assert_eq!(check(&events), []);
}

#[test]
fn each_broken_rule_is_found() {
    let key = "k".to_owned();
    let (again, other) = (RUN, told("s2", Told::Answered(b"b")));
    let found = check(&[RUN, again, told("s1", Told::Answered(b"a")), other]);
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
    let found = check(&[told("s1", Told::Answered(b"a"))]);
    assert_eq!(found, [Violation::AnsweredWithoutRun { key: key.clone() }]);
    let send = "s1".to_owned();
    let found = check(&[told("s1", Told::NotRun), RUN]);
    assert_eq!(found, [Violation::FalseNotRun { key, send }]);
}

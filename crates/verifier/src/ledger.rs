//! Checks the exactly-once guarantee of one-time requests: compares the executions at the servers
//! with the outcomes reported to the callers.

use displaydoc::Display;
use std::collections;

/// Outcome of one send, as reported to the caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Outcome<'a> {
    /// The server's response, direct or replayed from the ledger.
    Answered(&'a [u8]),
    /// This send was not executed.
    NotRun,
    /// The request may have been executed.
    Unknown,
}

/// Event that a test observed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event<'a> {
    /// A server executed a request.
    Executed {
        /// Idempotency key of the request.
        key: &'a str,
        /// Identifier of the send that was executed.
        send: &'a str,
    },
    /// An outcome was reported to the caller.
    Reported {
        /// Idempotency key of the request.
        key: &'a str,
        /// Identifier of the send that the outcome belongs to.
        send: &'a str,
        /// Outcome that the caller received.
        outcome: Outcome<'a>,
    },
}

/// Violation of the exactly-once guarantee.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Violation {
    /// key {key} was executed {count} times
    RanAgain {
        /// Idempotency key of the request.
        key: String,
        /// Number of executions.
        count: usize,
    },
    /// key {key} was answered with {count} different answers
    AnswersDiffer {
        /// Idempotency key of the request.
        key: String,
        /// Number of distinct answers.
        count: usize,
    },
    /// key {key} was answered but never executed
    AnsweredWithoutRun {
        /// Idempotency key of the request.
        key: String,
    },
    /// send {send} of key {key} was executed and reported as not run
    FalseNotRun {
        /// Idempotency key of the request.
        key: String,
        /// Identifier of the send that was executed.
        send: String,
    },
}

#[derive(Default)]
struct KeyEvents<'a> {
    executed: Vec<&'a str>,
    answers: collections::BTreeSet<&'a [u8]>,
    not_run: collections::BTreeSet<&'a str>,
}

/// Returns all violations in the events, ordered by key.
///
/// All events of a key must fall within the retention time of its ledger record.
pub fn check(events: &[Event<'_>]) -> Vec<Violation> {
    let mut keys: collections::BTreeMap<&str, KeyEvents<'_>> = collections::BTreeMap::new();
    for event in events {
        match *event {
            Event::Executed { key, send } => keys.entry(key).or_default().executed.push(send),
            Event::Reported { key, send, outcome } => {
                let observed = keys.entry(key).or_default();
                match outcome {
                    Outcome::Answered(answer) => drop(observed.answers.insert(answer)),
                    Outcome::NotRun => drop(observed.not_run.insert(send)),
                    Outcome::Unknown => {}
                }
            }
        }
    }
    keys.iter()
        .flat_map(|(key, observed)| check_key(key, observed))
        .collect()
}

fn check_key(key: &str, observed: &KeyEvents<'_>) -> Vec<Violation> {
    let key = key.to_owned();
    let mut violations = Vec::new();
    let (executed, answers) = (observed.executed.len(), observed.answers.len());
    if executed > 1 {
        let (key, count) = (key.clone(), executed);
        violations.push(Violation::RanAgain { key, count });
    }
    if answers > 1 {
        let (key, count) = (key.clone(), answers);
        violations.push(Violation::AnswersDiffer { key, count });
    }
    if answers > 0 && executed == 0 {
        violations.push(Violation::AnsweredWithoutRun { key: key.clone() });
    }
    for send in observed
        .executed
        .iter()
        .filter(|s| observed.not_run.contains(*s))
    {
        let (key, send) = (key.clone(), (*send).to_owned());
        violations.push(Violation::FalseNotRun { key, send });
    }
    violations
}

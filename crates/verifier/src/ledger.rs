//! Checks of the record of one-time requests against what servers executed and callers were told.

use displaydoc::Display;
use std::collections;

/// What a caller was told about one send.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub enum Told<'a> {
    /// The answer of the server, first-hand or replayed.
    Answered(&'a [u8]),
    /// This send did not run.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// Observation of a test.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Event<'a> {
    /// A server executed a request.
    Executed {
        /// Idempotency key.
        key: &'a str,
        /// Identifier of the send that it came from.
        send: &'a str,
    },
    /// A caller was told an outcome.
    Told {
        /// Idempotency key.
        key: &'a str,
        /// Identifier of the send.
        send: &'a str,
        /// What the caller was told.
        told: Told<'a>,
    },
}

/// Broken rule.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Violation {
    /// key {key} was executed {count} times
    RanAgain {
        /// Idempotency key.
        key: String,
        /// Executions.
        count: usize,
    },
    /// key {key} was answered with {count} different answers
    AnswersDiffer {
        /// Idempotency key.
        key: String,
        /// Different answers.
        count: usize,
    },
    /// key {key} was answered but never executed
    AnsweredWithoutRun {
        /// Idempotency key.
        key: String,
    },
    /// send {send} of key {key} was executed and reported as not run
    FalseNotRun {
        /// Idempotency key.
        key: String,
        /// Identifier of the send.
        send: String,
    },
}

#[derive(Default)]
struct Seen<'a> {
    executed: Vec<&'a str>,
    answers: collections::BTreeSet<&'a [u8]>,
    not_run: collections::BTreeSet<&'a str>,
}

/// Returns every rule that the observations break, in the order of the keys.
///
/// All events of a key must fall within the retention of its record.
pub fn check(events: &[Event<'_>]) -> Vec<Violation> {
    let mut keys: collections::BTreeMap<&str, Seen<'_>> = collections::BTreeMap::new();
    for event in events {
        match *event {
            Event::Executed { key, send } => keys.entry(key).or_default().executed.push(send),
            Event::Told { key, send, told } => {
                let seen = keys.entry(key).or_default();
                match told {
                    Told::Answered(answer) => drop(seen.answers.insert(answer)),
                    Told::NotRun => drop(seen.not_run.insert(send)),
                    Told::Unknown => {}
                }
            }
        }
    }
    keys.iter()
        .flat_map(|(key, seen)| check_key(key, seen))
        .collect()
}

fn check_key(key: &str, seen: &Seen<'_>) -> Vec<Violation> {
    let key = key.to_owned();
    let mut violations = Vec::new();
    let (executed, answers) = (seen.executed.len(), seen.answers.len());
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
    for send in seen.executed.iter().filter(|s| seen.not_run.contains(*s)) {
        let (key, send) = (key.clone(), (*send).to_owned());
        violations.push(Violation::FalseNotRun { key, send });
    }
    violations
}

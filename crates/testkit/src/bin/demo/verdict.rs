//! Compares the outcomes at the callers with the counters of the servers.

use crate::scene;
use crate::traffic;
use std::collections;
use std::process;

/// Violated guarantees.
#[derive(Debug, Default)]
pub(crate) struct Verdict {
    violations: Vec<String>,
}

impl Verdict {
    pub(crate) fn check(&mut self, is_met: bool, violation: &str) {
        if !is_met {
            self.violations.push(violation.to_owned());
        }
    }

    pub(crate) fn check_calls(&mut self, tally: &traffic::Tally, servers: &[scene::Server]) {
        for answer in &tally.wrong_answers {
            self.violations
                .push(format!("wrong or incomplete answer: {answer}"));
        }
        let mut executions = collections::BTreeMap::<String, usize>::new();
        for server in servers.iter().filter(|s| s.service == "filings") {
            for (key, count) in server.standin.shared.executions_by_key() {
                *executions.entry(key).or_default() += count;
            }
        }
        for (key, count) in &executions {
            self.check(
                *count <= 1,
                &format!("filing {key} was executed {count} times"),
            );
        }
        for (key, outcome) in &tally.filings {
            let count = executions.get(key).copied().unwrap_or(0);
            let is_consistent = match *outcome {
                "answered" => count == 1,
                "not-run" => count == 0,
                _ => true,
            };
            self.check(
                is_consistent,
                &format!("filing {key} was reported as {outcome} but executed {count} times"),
            );
        }
        for route in ["reads", "filings", "exports"] {
            let answered = tally.outcomes.get(&(route, "answered"));
            self.check(
                answered.is_some(),
                &format!("no call to {route} was answered"),
            );
        }
    }

    pub(crate) fn print(&self, tally: &traffic::Tally) -> process::ExitCode {
        println!(
            "{:10} {:>10} {:>10} {:>10}",
            "class", "served", "refused", "unknown"
        );
        for route in ["reads", "filings", "exports"] {
            let count = |outcome| tally.outcomes.get(&(route, outcome)).copied().unwrap_or(0);
            println!(
                "{route:10} {:10} {:10} {:10}",
                count("answered"),
                count("not-run"),
                count("unknown")
            );
        }
        for violation in &self.violations {
            println!("guarantee violated: {violation}");
        }
        if self.violations.is_empty() {
            println!("all guarantees were met");
            return process::ExitCode::SUCCESS;
        }
        process::ExitCode::FAILURE
    }
}

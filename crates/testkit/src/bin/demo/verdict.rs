//! Comparison of what callers saw with what servers counted.

use crate::scene;
use crate::traffic;
use std::collections;
use std::process;

/// Broken promises.
#[derive(Debug, Default)]
pub(crate) struct Verdict {
    faults: Vec<String>,
}

impl Verdict {
    pub(crate) fn check(&mut self, is_kept: bool, fault: &str) {
        if !is_kept {
            self.faults.push(fault.to_owned());
        }
    }

    pub(crate) fn judge(&mut self, tally: &traffic::Tally, servers: &[scene::Server]) {
        for wrong in &tally.wrong {
            self.faults.push(format!("wrong or short answer: {wrong}"));
        }
        let mut executions = collections::BTreeMap::<String, usize>::new();
        for server in servers.iter().filter(|s| s.service == "filings") {
            for (key, count) in server.standin.shared.executions_by_key() {
                *executions.entry(key).or_default() += count;
            }
        }
        for (key, count) in &executions {
            self.check(*count <= 1, &format!("filing {key} ran {count} times"));
        }
        for (key, outcome) in &tally.filings {
            let count = executions.get(key).copied().unwrap_or(0);
            let is_true = match *outcome {
                "answered" => count == 1,
                "not-run" => count == 0,
                _ => true,
            };
            self.check(
                is_true,
                &format!("filing {key} was {outcome} but ran {count} times"),
            );
        }
        for route in ["reads", "filings", "exports"] {
            let answered = tally.outcomes.get(&(route, "answered"));
            self.check(
                answered.is_some(),
                &format!("no call of {route} was answered"),
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
        for fault in &self.faults {
            println!("broken promise: {fault}");
        }
        if self.faults.is_empty() {
            println!("every promise was kept");
            return process::ExitCode::SUCCESS;
        }
        process::ExitCode::FAILURE
    }
}

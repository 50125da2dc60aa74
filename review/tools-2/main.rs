//! Stand-ins for the cases of the second review: the platform that starts the processes, the
//! operator, backend servers and clients. Only the standard library is used.
//!
//! Usage: `review-2 CASE RECORD`, run in the repository's root after the build of the deploy file.
//! The disruption is left out if the environment variable `TROUBLE` is `0`. Exit codes: 0 if the rule
//! held, 1 if it was broken, 2 if the case could not run.

mod cluster;
mod config;
mod first_start;
mod http;
mod invalid_config;
mod memory;
mod raised_limit;
mod record;
mod server;
mod upload;

use std::env;
use std::process;

/// Result of a case.
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
}

fn run(case: &str, record: &record::Record, has_trouble: bool) -> Result<Verdict, String> {
    match case {
        "first-start" => first_start::run(record, has_trouble),
        "upload" => upload::run(record, has_trouble),
        "invalid-config" => invalid_config::run(record, has_trouble),
        "memory" => memory::run(record, has_trouble),
        "raised-limit" => raised_limit::run(record, has_trouble),
        _ => Err(format!("unknown case {case}")),
    }
}

fn main() {
    let args: Vec<String> = env::args().collect();
    let [_, case, path] = &args[..] else {
        eprintln!("usage: review-2 CASE RECORD");
        process::exit(2);
    };
    let has_trouble = env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = match record::Record::create(path) {
        Ok(record) => record,
        Err(err) => {
            eprintln!("{path}: {err}");
            process::exit(2);
        }
    };
    record.line(&format!("case {case}, disruption: {has_trouble}"));
    let (text, code) = match run(case, &record, has_trouble) {
        Ok(Verdict::Held) => ("the rule held".to_owned(), 0),
        Ok(Verdict::Broken) => ("the rule was broken".to_owned(), 1),
        Err(err) => (format!("the case could not run: {err}"), 2),
    };
    record.line(&text);
    process::exit(code);
}

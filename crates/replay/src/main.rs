//! Replays traces under every plan and prints a table for each trace.

use argh::FromArgs;
use nutmegdale_replay::{outcome, plan, run, trace};
use std::fs;
use std::path;
use std::process;

/// Replays recorded traces under every plan and prints what callers observed.
#[derive(FromArgs)]
struct Args {
    /// seed of arrival times, service times and random choices
    #[argh(option, default = "1")]
    seed: u64,
    /// trace files
    #[argh(positional)]
    traces: Vec<path::PathBuf>,
}

fn main() -> process::ExitCode {
    let args: Args = argh::from_env();
    for path in &args.traces {
        let parsed = fs::read_to_string(path)
            .map_err(|err| err.to_string())
            .and_then(|text| trace::Trace::parse(&text).map_err(|err| err.to_string()));
        let trace = match parsed {
            Ok(trace) => trace,
            Err(err) => {
                eprintln!("{}: {err}", path.display());
                return process::ExitCode::FAILURE;
            }
        };
        let outcomes: Vec<_> = plan::all()
            .into_iter()
            .map(|plan| run::run(&trace, plan, args.seed))
            .collect();
        let name = path.file_stem().unwrap_or_default().to_string_lossy();
        println!(
            "### {name}, seed {}\n\n{}",
            args.seed,
            outcome::table(&outcomes)
        );
    }
    process::ExitCode::SUCCESS
}

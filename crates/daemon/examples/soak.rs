//! Runs seeds of the fault-injection soak by hand: `cargo run --release --example soak -- --binary
//! target/release/nutmegdale --seeds 50`. It prints each seed with its counts and exits with a
//! failure if a guarantee was violated; settings, data and logs of such a seed stay in its folder.

use nutmegdale_soak::{plan, scenario};
use nutmegdale_telemetry::clock;
use std::fs;
use std::path;
use std::process;
use std::sync;

/// Runs seeds of the fault-injection soak.
#[derive(Debug, argh::FromArgs)]
struct Args {
    /// program under test
    #[argh(option)]
    binary: path::PathBuf,

    /// folder for settings, data and logs
    #[argh(option, default = "std::env::temp_dir().join(\"nutmegdale-soak\")")]
    folder: path::PathBuf,

    /// number of seeds to run (1)
    #[argh(option, default = "1")]
    seeds: u64,

    /// first seed; by default one that was not run before
    #[argh(option)]
    first: Option<u64>,

    /// number of seeds that run at once (1)
    #[argh(option, default = "1")]
    jobs: usize,

    /// number of entry processes (4)
    #[argh(option, default = "4")]
    entry: usize,

    /// leave out servers that name limits and the request that crashes servers
    #[argh(switch)]
    faults_only: bool,

    /// time during which faults are injected, in seconds (9)
    #[argh(option, default = "9")]
    seconds: u64,
}

async fn run(args: &Args, seed: u64) -> bool {
    let size = plan::Size {
        entry: args.entry,
        faults_ms: args.seconds * 1_000,
        has_protection: !args.faults_only,
        ..plan::Size::SMALL
    };
    let folder = args.folder.join(seed.to_string());
    // A previous run of the seed may have left its folder behind.
    drop(fs::remove_dir_all(&folder));
    fs::create_dir_all(&folder).expect("folder for the run can be created");
    let wire = sync::Arc::new(nutmegdale_standin::Platform);
    let started = scenario::run(seed, size, wire, &args.binary, &folder).await;
    let verdict = started.expect("every process and server starts");
    println!("seed {seed}: {:?}", verdict.counts);
    if verdict.violations.is_empty() {
        fs::remove_dir_all(&folder).expect("the folder can be removed");
        return true;
    }
    println!("seed {seed}: {:#?}", verdict.violations);
    println!("seed {seed}: {:?}", verdict.steps);
    false
}

#[tokio::main]
async fn main() -> process::ExitCode {
    let args: Args = argh::from_env();
    let first = args.first.unwrap_or_else(|| clock::wall_ms() / 1_000);
    let mut failed = Vec::new();
    let seeds: Vec<_> = (first..first + args.seeds).collect();
    for batch in seeds.chunks(args.jobs.max(1)) {
        let runs = batch.iter().map(|seed| run(&args, *seed));
        let passed = futures_util::future::join_all(runs).await;
        let failures = batch.iter().zip(passed).filter(|(_, passed)| !passed);
        failed.extend(failures.map(|(seed, _)| *seed));
    }
    println!("{} seeds, failed: {failed:?}", seeds.len());
    match failed.is_empty() {
        true => process::ExitCode::SUCCESS,
        false => process::ExitCode::FAILURE,
    }
}

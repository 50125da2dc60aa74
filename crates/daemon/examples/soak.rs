//! Plays seeds of the fault soak by hand: `cargo run --release --example soak -- --binary
//! target/release/nutmegdale --seeds 50`. It prints each seed with its counts and ends with a
//! failure if a promise was broken; settings, data and logs of such a seed stay in its folder.

use nutmegdale_soak::{plan, scene};
use nutmegdale_telemetry::clock;
use std::fs;
use std::path;
use std::process;
use std::sync;

/// Plays seeds of the fault soak.
#[derive(Debug, argh::FromArgs)]
struct Args {
    /// program under test
    #[argh(option)]
    binary: path::PathBuf,

    /// folder for settings, data and logs
    #[argh(option, default = "std::env::temp_dir().join(\"nutmegdale-soak\")")]
    folder: path::PathBuf,

    /// seeds to play (1)
    #[argh(option, default = "1")]
    seeds: u64,

    /// first seed; by default one that was not played before
    #[argh(option)]
    first: Option<u64>,

    /// seeds that are played at once (1)
    #[argh(option, default = "1")]
    jobs: usize,

    /// entry processes (4)
    #[argh(option, default = "4")]
    entry: usize,

    /// time for which faults come, in seconds (9)
    #[argh(option, default = "9")]
    seconds: u64,
}

async fn play(args: &Args, seed: u64) -> bool {
    let size = plan::Size {
        entry: args.entry,
        faults_ms: args.seconds * 1_000,
        ..plan::Size::SMALL
    };
    let folder = args.folder.join(seed.to_string());
    // A former run of the seed may have left one behind.
    drop(fs::remove_dir_all(&folder));
    fs::create_dir_all(&folder).expect("a folder for the run");
    let wire = sync::Arc::new(nutmegdale_standin::Platform);
    let played = scene::play(seed, size, wire, &args.binary, &folder).await;
    let verdict = played.expect("everything starts");
    println!("seed {seed}: {:?}", verdict.counts);
    if verdict.broken.is_empty() {
        fs::remove_dir_all(&folder).expect("the folder can be removed");
        return true;
    }
    println!("seed {seed}: {:#?}", verdict.broken);
    println!("seed {seed}: {:?}", verdict.steps);
    false
}

#[tokio::main]
async fn main() -> process::ExitCode {
    let args: Args = argh::from_env();
    let first = args.first.unwrap_or_else(|| clock::wall_ms() / 1_000);
    let mut broken = Vec::new();
    let seeds: Vec<_> = (first..first + args.seeds).collect();
    for batch in seeds.chunks(args.jobs.max(1)) {
        let plays = batch.iter().map(|seed| play(&args, *seed));
        let held = futures_util::future::join_all(plays).await;
        let lost = batch.iter().zip(held).filter(|(_, held)| !held);
        broken.extend(lost.map(|(seed, _)| *seed));
    }
    println!("{} seeds, broken: {broken:?}", seeds.len());
    match broken.is_empty() {
        true => process::ExitCode::SUCCESS,
        false => process::ExitCode::FAILURE,
    }
}

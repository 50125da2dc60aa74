//! The nutmegdale daemon: runs the roles that its settings enable.
//!
//! The roles are implemented in crates of their own; this binary reads the settings, starts the
//! runtime and turns SIGTERM and SIGINT into a graceful stop. See
//! [docs/OPERATIONS.md](../../../docs/OPERATIONS.md).

use nutmegdale_base::clock as base_clock;
use nutmegdale_settings::{model, read};
use nutmegdale_telemetry::{clock, log};
use std::fs;
use std::io;
use std::path;
use std::process;
use std::str;
use std::sync;
use tokio::signal::unix;
use tokio::sync::watch;

/// Load balancer for public registries.
#[derive(Debug, argh::FromArgs)]
struct Args {
    /// check the settings file, print every error and exit
    #[argh(switch)]
    check: bool,

    /// prepare the data folder of a control process for the first start of its groups and exit;
    /// only for a system that has never run before, not after the loss of a disk
    #[argh(switch)]
    init: bool,

    /// run on the users' platform, with the settings file that the environment names
    #[argh(switch)]
    platform: bool,

    /// port of the metrics endpoint; only with --platform
    #[argh(option, default = "9464")]
    metrics_port: u16,

    /// send the surplus of a zone that is short of capacity to other zones; only with --platform
    #[argh(switch)]
    locality: bool,

    /// settings file (INI); not with --platform
    #[argh(positional)]
    settings: Option<path::PathBuf>,
}

fn main() -> process::ExitCode {
    let args: Args = argh::from_env();
    if args.platform {
        let options = nutmegdale_platform::run::Options {
            metrics_port: args.metrics_port,
            has_locality: args.locality,
        };
        return exit_code(nutmegdale_platform::run::run(options));
    }
    let Some(path) = &args.settings else {
        eprintln!("nutmegdale: a settings file is required");
        return process::ExitCode::from(2);
    };
    let settings = match load_settings(path) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    if args.check {
        println!("{}: settings are valid", path.display());
        return process::ExitCode::SUCCESS;
    }
    exit_code(match args.init {
        true => init(&settings),
        false => start(&settings),
    })
}

fn exit_code(result: io::Result<()>) -> process::ExitCode {
    match result {
        Ok(()) => process::ExitCode::SUCCESS,
        Err(err) => {
            eprintln!("nutmegdale: {err}");
            process::ExitCode::FAILURE
        }
    }
}

fn load_settings(path: &path::Path) -> Result<model::Settings, process::ExitCode> {
    let text = fs::read_to_string(path).map_err(|err| {
        eprintln!("nutmegdale: settings file {}: {err}", path.display());
        process::ExitCode::from(2)
    })?;
    read::parse(&text).map_err(|errors| {
        for err in errors {
            eprintln!("{}: {err}", path.display());
        }
        process::ExitCode::from(2)
    })
}

fn init(settings: &model::Settings) -> io::Result<()> {
    let Some(control) = &settings.control else {
        return Err(io::Error::other(
            "--init needs the settings of a control process",
        ));
    };
    nutmegdale_control::groups::prepare(&settings.process, control)
}

fn start(settings: &model::Settings) -> io::Result<()> {
    let level = str::FromStr::from_str(&settings.process.log_level).unwrap_or(slog::Level::Info);
    let log = log::logger(&settings.process.name, level);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(settings.process.threads)
        .enable_all()
        .build()?;
    runtime.block_on(run(settings, &log))
}

async fn run(settings: &model::Settings, log: &slog::Logger) -> io::Result<()> {
    let clock: sync::Arc<dyn base_clock::Clock> = sync::Arc::new(clock::SystemClock::start());
    let (stop_tx, stop_rx) = watch::channel(false);
    let mut sigterm = unix::signal(unix::SignalKind::terminate())?;
    let mut sigint = unix::signal(unix::SignalKind::interrupt())?;
    tokio::spawn(async move {
        tokio::select! {
            _ = sigterm.recv() => {}
            _ = sigint.recv() => {}
        }
        stop_tx.send_replace(true);
    });
    let process = &settings.process;
    let entry = async {
        match &settings.entry {
            Some(entry) => {
                let (clock, stop) = (sync::Arc::clone(&clock), stop_rx.clone());
                nutmegdale_entry::service::run(process, entry, clock, log.clone(), stop).await
            }
            None => Ok(()),
        }
    };
    let control = async {
        match &settings.control {
            Some(control) => {
                let (clock, stop) = (sync::Arc::clone(&clock), stop_rx.clone());
                nutmegdale_control::service::run(process, control, clock, log.clone(), stop).await
            }
            None => Ok(()),
        }
    };
    tokio::try_join!(entry, control)?;
    Ok(())
}

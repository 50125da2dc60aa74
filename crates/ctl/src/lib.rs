//! Command-line tool for operators, over the administration API of the control processes.
//!
//! [`run`] parses a command line, tries the listed control processes in turn and prints the response
//! as text or, with `--json`, as JSON. Only the control group validates changes to the catalogue.
//! The API is described in [docs/interfaces.md](../../../docs/interfaces.md)
//! and the commands in [docs/OPERATIONS.md](../../../docs/OPERATIONS.md).

mod args;
mod change;
mod client;
mod exit;
mod explain;
mod print;
mod read;
mod replicas;

pub use exit::Exit;
use std::io::Write;

/// Runs one command line, without the name of the program, and returns its exit code.
///
/// Responses are written to `out`, progress and error messages to `notes`.
pub async fn run(args: &[&str], out: &mut dyn Write, notes: &mut dyn Write) -> Exit {
    let parsed: args::Args = match argh::FromArgs::from_args(&["nutmegctl"], args) {
        Ok(parsed) => parsed,
        Err(early) => {
            // An error means that the reader closed the pipe.
            drop(write!(out, "{}", early.output));
            return match early.status {
                Ok(()) => Exit::Done,
                Err(()) => Exit::Usage,
            };
        }
    };
    let result = dispatch(&parsed, out, notes).await;
    match result {
        Ok(exit) => exit,
        Err(exit::Error { exit, text }) => {
            drop(writeln!(notes, "nutmegctl: {text}"));
            exit
        }
    }
}

async fn dispatch(
    args: &args::Args,
    out: &mut dyn Write,
    notes: &mut dyn Write,
) -> exit::Result<Exit> {
    let client = match &args.command {
        args::Command::Explain(explain) => return explain::run(explain, args.json, out),
        _ => client::Client::new(args)?,
    };
    let mut cx = exit::Context {
        client,
        is_json: args.json,
        out,
        notes,
    };
    match &args.command {
        args::Command::Apply(apply) => change::apply(&mut cx, apply).await,
        args::Command::Zone(zone) => {
            change::set_service_state(&mut cx, "zones", &zone.service_state()).await
        }
        args::Command::Server(server) => {
            change::set_service_state(&mut cx, "servers", &server.service_state()).await
        }
        args::Command::Show(show) => read::show(&mut cx, show).await,
        args::Command::History(history) => read::history(&mut cx, history).await,
        args::Command::Diff(diff) => read::diff(&mut cx, diff).await,
        args::Command::Status(_) => read::status(&mut cx).await,
        args::Command::Replicas(replicas) => replicas::run(&mut cx, &replicas.action).await,
        args::Command::Dump(_) => read::dump(&mut cx).await,
        args::Command::Audit(_) => read::audit(&mut cx).await,
        args::Command::Explain(_) => unreachable!("explain needs no client and returned above"),
    }
}

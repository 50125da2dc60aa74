//! Command-line tool for operators. All logic is in the library.

use std::env;
use std::io;
use std::process;

fn main() -> process::ExitCode {
    let args: Vec<String> = env::args().skip(1).collect();
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(err) => {
            eprintln!("nutmegctl: {err}");
            return process::ExitCode::FAILURE;
        }
    };
    let (mut out, mut notes) = (io::stdout().lock(), io::stderr().lock());
    let exit = runtime.block_on(nutmegdale_ctl::run(&args, &mut out, &mut notes));
    process::ExitCode::from(exit as u8)
}

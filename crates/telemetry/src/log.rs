//! JSON logs on standard output.

use slog::Drain;
use std::io;

/// Maximum number of lines queued for the writer thread. The drain drops and counts further lines,
/// so that a slow disk or terminal never blocks a request.
const QUEUE_MAX_LINES: usize = 4_096;

/// Creates a logger that adds the process name to each line.
pub fn logger(process: &str, level: slog::Level) -> slog::Logger {
    let json = slog_json::Json::default(io::stdout()).fuse();
    let filtered = slog::LevelFilter::new(json, level).fuse();
    let drain = slog_async::Async::new(filtered)
        .chan_size(QUEUE_MAX_LINES)
        .build()
        .fuse();
    slog::Logger::root(drain, slog::o!("process" => process.to_owned()))
}

/// Creates a logger that drops everything, for tests.
pub fn discard() -> slog::Logger {
    slog::Logger::root(slog::Discard, slog::o!())
}

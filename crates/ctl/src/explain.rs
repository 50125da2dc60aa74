//! Explains one request from log files.
//!
//! The log line of the request names its process and the servers that it was sent to. It is printed
//! together with the state changes that its process logged in the seconds before and the lines of
//! all processes about these servers, in order of their timestamps.

use crate::args;
use crate::exit::{self, Exit};
use serde_json::Value;
use std::fs;
use std::io;
use std::io::BufRead;
use time::OffsetDateTime;
use time::format_description::well_known::Rfc3339;

/// Time before a request from which related lines are printed.
const BEFORE_MS: i128 = 3_000;
/// Time after a request until which lines about its servers are printed.
const AFTER_MS: i128 = 2_000;
/// Message of the log line of a request.
const REQUEST_MESSAGE: &str = "request decided";
/// Messages about state changes of a process.
const PROCESS_MESSAGES: [&str; 12] = [
    "registry taken up",
    "coordinator followed",
    "coordinator lost",
    "process starts",
    "process stops",
    "gateway stops",
    "settings reloaded",
    "configuration cannot be decoded",
    "server is leaving",
    "server asked for a backoff",
    "server limit changed",
    "server crashed",
];

/// Parsed log line.
#[derive(Debug)]
struct Line {
    timestamp: OffsetDateTime,
    process: String,
    message: String,
    fields: Value,
}

impl Line {
    /// Parses a line, or returns `None` for other output of a process.
    fn parse(text: &str) -> Option<Line> {
        let fields: Value = serde_json::from_str(text.get(text.find('{')?..)?).ok()?;
        let field = |name: &str| fields[name].as_str().map(str::to_owned);
        Some(Line {
            timestamp: OffsetDateTime::parse(fields["ts"].as_str()?, &Rfc3339).ok()?,
            process: field("process")?,
            message: field("msg")?,
            fields,
        })
    }

    /// Returns the milliseconds from another line to this one.
    fn since(&self, other: &Line) -> i128 {
        (self.timestamp - other.timestamp).whole_nanoseconds() / 1_000_000
    }

    fn concerns_server(&self, server: &str) -> bool {
        self.fields["server"].as_str() == Some(server)
    }
}

/// Returns the servers in a `sends` field, in which each server is followed by its prediction.
fn servers(sends: &str) -> Vec<&str> {
    let words: Vec<_> = sends.split_whitespace().collect();
    let pairs = words.windows(2);
    let sends = pairs.filter(|pair| pair[1].starts_with("predicted="));
    sends
        .filter_map(|pair| Some(pair[0].split_once(':')?.1))
        .collect()
}

/// Returns the lines that explain the request `id`, in order of their timestamps.
fn explain<'a>(lines: &'a [Line], id: &str) -> Vec<&'a Line> {
    let is_request = |line: &&Line| {
        line.message == REQUEST_MESSAGE && line.fields["request_id"].as_str() == Some(id)
    };
    let requests: Vec<_> = lines.iter().filter(is_request).collect();
    let is_related = |line: &&Line| {
        requests.iter().any(|request| {
            let since = line.since(request);
            let sends = request.fields["sends"].as_str().unwrap_or("");
            let is_process_event = line.process == request.process
                && PROCESS_MESSAGES.contains(&line.message.as_str());
            let is_server_event = servers(sends)
                .iter()
                .any(|server| line.concerns_server(server));
            is_process_event && (-BEFORE_MS..=0).contains(&since)
                || is_server_event && (-BEFORE_MS..=AFTER_MS).contains(&since)
        })
    };
    let mut related: Vec<_> = lines
        .iter()
        .filter(|line| is_request(line) || is_related(line))
        .collect();
    related.sort_by_key(|line| line.timestamp);
    related
}

fn read_lines(file: &str, lines: &mut Vec<Line>) -> exit::Result<()> {
    let reader: Box<dyn BufRead> = match file {
        "-" => Box::new(io::stdin().lock()),
        path => match fs::File::open(path) {
            Ok(opened) => Box::new(io::BufReader::new(opened)),
            Err(err) => return exit::fail(Exit::Usage, format!("log {path:?}: {err}")),
        },
    };
    for text in reader.lines() {
        match text {
            Ok(text) => lines.extend(Line::parse(&text)),
            Err(err) => return exit::fail(Exit::Usage, format!("log {file:?}: {err}")),
        }
    }
    Ok(())
}

/// Prints the log lines that explain a request.
pub(crate) fn run(
    args: &args::Explain,
    is_json: bool,
    out: &mut dyn io::Write,
) -> exit::Result<Exit> {
    let mut lines = Vec::new();
    for file in &args.files {
        read_lines(file, &mut lines)?;
    }
    let related = explain(&lines, &args.id);
    if related.is_empty() {
        let text = format!(
            "none of {} lines is about request {:?}; normal requests are logged at a limited rate",
            lines.len(),
            args.id
        );
        return exit::fail(Exit::NotFound, text);
    }
    for line in related {
        let text = match is_json {
            true => line.fields.to_string(),
            false => format_line(line),
        };
        // An error means that the reader closed the pipe.
        drop(writeln!(out, "{text}"));
    }
    Ok(Exit::Done)
}

fn format_line(line: &Line) -> String {
    let mut text = format!(
        "{} {} {}",
        line.fields["ts"].as_str().unwrap_or(""),
        line.process,
        line.message
    );
    let fields = line.fields.as_object().into_iter().flatten();
    let omitted = ["ts", "process", "msg", "level"];
    for (name, value) in fields.filter(|(name, _)| !omitted.contains(&name.as_str())) {
        text.push_str(&format!(" {name}={value}"));
    }
    text
}

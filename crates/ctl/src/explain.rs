//! Finds in log files what happened to one request, and what its process believed around it.
//!
//! Lines of all processes are read once; the line of the request names its process and the servers
//! that it was sent to. Printed with it are what the process learned in the seconds before and what
//! all processes noted of these servers, in the order of their times.

use crate::args;
use crate::exit::{self, Exit};
use serde_json::Value;
use std::fs;
use std::io;
use std::io::BufRead;
use time::OffsetDateTime;
use time::format_description::well_known::Rfc3339;

/// Time before a request within which what its process learned is printed.
const BEFORE_MS: i128 = 3_000;
/// Time after a request within which what is noted of its servers is printed.
const AFTER_MS: i128 = 2_000;
/// Message of the line of a request.
const DECIDED: &str = "request decided";
/// Messages on what a process learned or on its own state.
const OWN: [&str; 8] = [
    "registry taken up",
    "coordinator followed",
    "coordinator lost",
    "process starts",
    "process stops",
    "gateway stops",
    "settings reloaded",
    "configuration cannot be decoded",
];

/// Line of a log.
#[derive(Debug)]
struct Line {
    at: OffsetDateTime,
    process: String,
    message: String,
    fields: Value,
}

impl Line {
    /// Reads a line; other output of a process is no line of its log.
    fn parse(text: &str) -> Option<Line> {
        let fields: Value = serde_json::from_str(text.get(text.find('{')?..)?).ok()?;
        let field = |name: &str| fields[name].as_str().map(str::to_owned);
        Some(Line {
            at: OffsetDateTime::parse(fields["ts"].as_str()?, &Rfc3339).ok()?,
            process: field("process")?,
            message: field("msg")?,
            fields,
        })
    }

    /// Returns the milliseconds from another line to this one.
    fn since(&self, other: &Line) -> i128 {
        (self.at - other.at).whole_nanoseconds() / 1_000_000
    }

    fn is_of(&self, server: &str) -> bool {
        self.fields["server"].as_str() == Some(server)
    }
}

/// Returns the servers that a request was sent to: each is followed by its prediction.
fn servers(sends: &str) -> Vec<&str> {
    let words: Vec<_> = sends.split_whitespace().collect();
    let pairs = words.windows(2);
    let named = pairs.filter(|pair| pair[1].starts_with("predicted="));
    named
        .filter_map(|pair| Some(pair[0].split_once(':')?.1))
        .collect()
}

/// Returns the lines that explain the request `id`, in order of their times.
fn explain<'a>(lines: &'a [Line], id: &str) -> Vec<&'a Line> {
    let is_decided =
        |line: &&Line| line.message == DECIDED && line.fields["request_id"].as_str() == Some(id);
    let decided: Vec<_> = lines.iter().filter(is_decided).collect();
    let is_related = |line: &&Line| {
        decided.iter().any(|request| {
            let since = line.since(request);
            let sends = request.fields["sends"].as_str().unwrap_or("");
            let is_own = line.process == request.process && OWN.contains(&line.message.as_str());
            let is_server = servers(sends).iter().any(|server| line.is_of(server));
            is_own && (-BEFORE_MS..=0).contains(&since)
                || is_server && (-BEFORE_MS..=AFTER_MS).contains(&since)
        })
    };
    let mut found: Vec<_> = lines
        .iter()
        .filter(|line| is_decided(line) || is_related(line))
        .collect();
    found.sort_by_key(|line| line.at);
    found
}

fn read(file: &str, lines: &mut Vec<Line>) -> exit::Result<()> {
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

/// Prints what the logs say of a request.
pub(crate) fn run(
    args: &args::Explain,
    is_json: bool,
    out: &mut dyn io::Write,
) -> exit::Result<Exit> {
    let mut lines = Vec::new();
    for file in &args.files {
        read(file, &mut lines)?;
    }
    let found = explain(&lines, &args.id);
    if found.is_empty() {
        let text = format!(
            "none of {} lines is of request {:?}; lines of usual requests are bounded per second",
            lines.len(),
            args.id
        );
        return exit::fail(Exit::NotFound, text);
    }
    for line in found {
        let text = match is_json {
            true => line.fields.to_string(),
            false => text(line),
        };
        // A closed pipe is the reader's wish.
        drop(writeln!(out, "{text}"));
    }
    Ok(Exit::Done)
}

fn text(line: &Line) -> String {
    let mut text = format!(
        "{} {} {}",
        line.fields["ts"].as_str().unwrap_or(""),
        line.process,
        line.message
    );
    let fields = line.fields.as_object().into_iter().flatten();
    let named = ["ts", "process", "msg", "level"];
    for (name, value) in fields.filter(|(name, _)| !named.contains(&name.as_str())) {
        text.push_str(&format!(" {name}={value}"));
    }
    text
}

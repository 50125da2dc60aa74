//! Guards the replies to sequences of commands against unintended change.
//!
//! Each file under `sessions` lists commands, each followed by the expected reply after `> `. To
//! regenerate the replies, run
//! `NUTMEGDALE_REWRITE=1 cargo test -p nutmegdale-ledger --test golden`.
//! After every command the state is encoded as a snapshot and decoded again, so that each session
//! also tests the snapshot.

use nutmegdale_base::clock;
use nutmegdale_ledger::{command, key, state};
use std::{env, fs, path};

fn key_id(name: &str) -> key::KeyId {
    key::KeyId::new("account", "route", name)
}

fn parse_claimant(text: &str) -> command::Claimant {
    let parts: Vec<&str> = text.split('/').collect();
    command::Claimant {
        entry: parts[0].to_owned(),
        boot: parts[1].parse().expect("boot"),
        attempt: parts[2].parse().expect("attempt"),
    }
}

fn parse_millis(text: &str) -> clock::Millis {
    clock::Millis(text.parse().expect("milliseconds"))
}

fn parse_answer(text: &str) -> command::Answer {
    let body = match text.strip_prefix("bytes=") {
        Some(count) => vec![b'x'; count.parse().expect("count")],
        None => text.as_bytes().to_vec(),
    };
    command::Answer {
        status: 201,
        headers: vec![command::Header {
            name: "content-type".to_owned(),
            value: b"text/plain".to_vec(),
        }],
        body: command::Body::Kept(body),
    }
}

fn parse_command(line: &str) -> command::Command {
    let words: Vec<&str> = line.split_whitespace().collect();
    match words[..] {
        ["claim", key, digest, claimant, run, keep] => command::Command::Claim(command::Claim {
            key: key_id(key),
            digest: key::Digest::of_body(digest.as_bytes()),
            claimant: parse_claimant(claimant),
            run_ms: parse_millis(run),
            keep_ms: parse_millis(keep),
        }),
        ["record", key, claimant, text] => command::Command::Record(command::Record {
            key: key_id(key),
            claimant: parse_claimant(claimant),
            answer: parse_answer(text),
        }),
        ["release", key, claimant] => command::Command::Release(command::Release {
            key: key_id(key),
            claimant: parse_claimant(claimant),
        }),
        ["unknown", key, claimant] => command::Command::MarkUnknown(command::MarkUnknown {
            key: key_id(key),
            claimant: parse_claimant(claimant),
        }),
        ["expire", elapsed] => command::Command::Expire {
            elapsed_ms: parse_millis(elapsed),
        },
        _ => panic!("line {line:?} is not a command"),
    }
}

fn format_answer(answer: &command::Answer) -> String {
    let headers = answer.headers.len();
    match &answer.body {
        command::Body::Kept(body) => {
            let text = String::from_utf8_lossy(&body[..body.len().min(16)]);
            format!("{} headers={headers} {text}", answer.status)
        }
        command::Body::Digest { sha256, bytes } => {
            let hex = sha256.to_string();
            format!(
                "{} headers={headers} sha256={} bytes={bytes}",
                answer.status,
                &hex[..8]
            )
        }
    }
}

fn format_claimant(claimant: &command::Claimant) -> String {
    format!("{}/{}/{}", claimant.entry, claimant.boot, claimant.attempt)
}

fn format_status(status: &command::Status) -> String {
    match status {
        command::Status::Pending(claimant) => {
            format!("pending {}", format_claimant(claimant))
        }
        command::Status::Answered(answer) => format!("answered {}", format_answer(answer)),
        other => format!("{other:?}").to_lowercase(),
    }
}

fn format_reply(reply: &command::Reply) -> String {
    match reply {
        command::Reply::Claim(command::ClaimReply::Pending(claimant)) => {
            format!("pending {}", format_claimant(claimant))
        }
        command::Reply::Claim(command::ClaimReply::Answered(answer)) => {
            format!("answered {}", format_answer(answer))
        }
        command::Reply::Claim(other) => format!("{other:?}"),
        command::Reply::Record(other) => format!("{other:?}"),
        command::Reply::Release(other) => format!("{other:?}"),
        command::Reply::Status(status) => format_status(status),
        command::Reply::Expired { has_more } => format!("has_more={has_more}"),
    }
}

/// Advances the clock by `span` with as many `Expire` commands as their maximum time requires.
fn advance_clock(state: &mut state::State, span: clock::Millis) -> command::Reply {
    let end = state.now() + span;
    loop {
        let elapsed_ms = end.since(state.now());
        let reply = state.apply(command::Command::Expire { elapsed_ms });
        if state.now() == end {
            return reply;
        }
    }
}

fn roundtrip_snapshot(state: &state::State) -> state::State {
    let bytes = rmp_serde::to_vec(state).expect("state can be encoded");
    let decoded: state::State = rmp_serde::from_slice(&bytes).expect("state can be decoded");
    let reencoded = rmp_serde::to_vec(&decoded).expect("state can be encoded");
    assert_eq!(
        bytes, reencoded,
        "a decoded snapshot must be encoded to the same bytes"
    );
    decoded
}

fn run_session(text: &str) -> String {
    let mut state = state::State::new(state::Bounds::default());
    let mut output = String::new();
    for line in text.lines().filter(|line| !line.starts_with("> ")) {
        output.push_str(line);
        output.push('\n');
        let line = line.trim();
        if line.is_empty() || line.starts_with('#') {
            continue;
        }
        let reply = match line.split_once(' ') {
            Some(("lookup", key)) => format_status(&state.lookup(key_id(key))),
            Some(("pass", span)) => format_reply(&advance_clock(&mut state, parse_millis(span))),
            _ => format_reply(&state.apply(parse_command(line))),
        };
        output.push_str(&format!("> {reply}\n"));
        state = roundtrip_snapshot(&state);
    }
    output
}

#[test]
fn sessions_give_the_replies_in_their_files() {
    let folder = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/sessions");
    let files = fs::read_dir(folder).expect("folder of sessions");
    let mut count = 0;
    for file in files {
        let path = file.expect("file").path();
        let text = fs::read_to_string(&path).expect("session");
        let output = run_session(&text);
        if env::var_os("NUTMEGDALE_REWRITE").is_some() {
            fs::write(&path, &output).expect("session can be written");
        } else {
            assert_eq!(text, output, "{}", path.display());
        }
        count += 1;
    }
    assert!(count >= 5, "only {count} sessions were found");
}

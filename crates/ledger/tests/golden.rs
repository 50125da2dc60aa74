//! Guards the replies of whole sessions against unintended change.
//!
//! Each file under `sessions` lists commands, each followed by the reply after `> `. The command
//! `NUTMEGDALE_REWRITE=1 cargo test -p nutmegdale-ledger --test golden` writes the replies anew.
//! After every command the state is written to a snapshot and read back, so that each session also
//! guards the snapshot.

use nutmegdale_base::clock;
use nutmegdale_ledger::{command, key, state};
use std::{env, fs, path};

fn key_of(name: &str) -> key::KeyId {
    key::KeyId::new("account", "route", name)
}

fn claimant(text: &str) -> command::Claimant {
    let parts: Vec<&str> = text.split('/').collect();
    command::Claimant {
        entry: parts[0].to_owned(),
        boot: parts[1].parse().expect("boot"),
        attempt: parts[2].parse().expect("attempt"),
    }
}

fn millis(text: &str) -> clock::Millis {
    clock::Millis(text.parse().expect("milliseconds"))
}

fn answer(text: &str) -> command::Answer {
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

fn parse(line: &str) -> command::Command {
    let words: Vec<&str> = line.split_whitespace().collect();
    match words[..] {
        ["claim", key, digest, by, run, keep] => command::Command::Claim(command::Claim {
            key: key_of(key),
            digest: key::Digest::of_body(digest.as_bytes()),
            claimant: claimant(by),
            run_ms: millis(run),
            keep_ms: millis(keep),
        }),
        ["record", key, by, text] => command::Command::Record(command::Record {
            key: key_of(key),
            claimant: claimant(by),
            answer: answer(text),
        }),
        ["release", key, by] => command::Command::Release(command::Release {
            key: key_of(key),
            claimant: claimant(by),
        }),
        ["unknown", key, by] => command::Command::MarkUnknown(command::MarkUnknown {
            key: key_of(key),
            claimant: claimant(by),
        }),
        ["expire", elapsed] => command::Command::Expire {
            elapsed_ms: millis(elapsed),
        },
        _ => panic!("line {line:?} is no command"),
    }
}

fn show_answer(answer: &command::Answer) -> String {
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

fn show_claimant(by: &command::Claimant) -> String {
    format!("{}/{}/{}", by.entry, by.boot, by.attempt)
}

fn show_status(status: &command::Status) -> String {
    match status {
        command::Status::Pending(by) => format!("pending {}", show_claimant(by)),
        command::Status::Answered(answer) => format!("answered {}", show_answer(answer)),
        other => format!("{other:?}").to_lowercase(),
    }
}

fn show(reply: &command::Reply) -> String {
    match reply {
        command::Reply::Claim(command::ClaimReply::Pending(by)) => {
            format!("pending {}", show_claimant(by))
        }
        command::Reply::Claim(command::ClaimReply::Answered(answer)) => {
            format!("answered {}", show_answer(answer))
        }
        command::Reply::Claim(other) => format!("{other:?}"),
        command::Reply::Record(other) => format!("{other:?}"),
        command::Reply::Release(other) => format!("{other:?}"),
        command::Reply::Status(status) => show_status(status),
        command::Reply::Expired { has_more } => format!("has_more={has_more}"),
    }
}

/// Lets a long time pass in commands of the longest span.
fn pass(state: &mut state::State, span: clock::Millis) -> command::Reply {
    let end = state.now() + span;
    loop {
        let elapsed_ms = end.since(state.now());
        let reply = state.apply(command::Command::Expire { elapsed_ms });
        if state.now() == end {
            return reply;
        }
    }
}

fn reread(state: &state::State) -> state::State {
    let bytes = rmp_serde::to_vec(state).expect("state can be encoded");
    let read: state::State = rmp_serde::from_slice(&bytes).expect("state can be decoded");
    let again = rmp_serde::to_vec(&read).expect("state can be encoded");
    assert_eq!(bytes, again, "a snapshot read back gives another snapshot");
    read
}

fn run(text: &str) -> String {
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
            Some(("lookup", key)) => show_status(&state.lookup(key_of(key))),
            Some(("pass", span)) => show(&pass(&mut state, millis(span))),
            _ => show(&state.apply(parse(line))),
        };
        output.push_str(&format!("> {reply}\n"));
        state = reread(&state);
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
        let output = run(&text);
        if env::var_os("NUTMEGDALE_REWRITE").is_some() {
            fs::write(&path, &output).expect("session can be written");
        } else {
            assert_eq!(text, output, "{}", path.display());
        }
        count += 1;
    }
    assert!(count >= 5, "only {count} sessions were found");
}

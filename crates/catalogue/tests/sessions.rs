//! Runs the golden sessions in `tests/sessions`: commands of operators and the answers to them.
//!
//! A session is a text file. A line that starts with `>` is a command, lines that start with `#`
//! are comments, and the lines below a command are its answer. To rewrite the answers after an
//! intended change: `NUTMEGDALE_REWRITE=1 cargo test -p nutmegdale-catalogue --test sessions`.

use nutmegdale_catalogue::{change, config, state};
use nutmegdale_verifier::catalogue;
use std::env;
use std::fmt::Write;
use std::fs;
use std::path;

#[derive(Default)]
struct Session {
    state: state::State,
    answered: Vec<(change::Change, change::Answer)>,
    clock_ms: u64,
}

fn json<T: serde::Serialize>(value: &T) -> String {
    serde_json::to_string(value).expect("value can be encoded")
}

fn version(text: &str) -> config::Version {
    config::Version(text.parse().expect("version is a number"))
}

impl Session {
    fn run(&mut self, command: &str) -> String {
        let (name, rest) = command.split_once(' ').unwrap_or((command, ""));
        let mut args = rest.split(' ');
        let mut version_arg = || version(args.next().expect("command has a version"));
        let accepted = self.state.accepted();
        match name {
            "apply" => self.apply(rest),
            "config" => format!("{}\n", json(accepted.config.as_ref())),
            "config-at" => match accepted.history.config_at(&accepted.config, version_arg()) {
                Some(cfg) => format!("{}\n", json(&cfg)),
                None => "not kept\n".to_owned(),
            },
            "history" => {
                let records = accepted.history.after(version_arg());
                records.fold(String::new(), |text, r| {
                    let (change, base) = (&r.change, r.base);
                    let (id, author, ops) = (&change.id, &change.author, json(&change.ops));
                    text + &format!(
                        "{} from {base} at {} {id} {author} {ops}\n",
                        r.version, r.wall_ms
                    )
                })
            }
            "diff" => match accepted.history.diff(version_arg(), version_arg()) {
                Some(effects) => effects.iter().fold(String::new(), |text, e| {
                    let (before, after) = (json(&e.before), json(&e.after));
                    text + &format!("{} {}\n  - {before}\n  + {after}\n", e.kind, e.name)
                }),
                None => "not kept\n".to_owned(),
            },
            "restart" => self.restart(),
            _ => panic!("unknown command {name:?}"),
        }
    }

    fn apply(&mut self, rest: &str) -> String {
        let change: change::Change = match serde_json::from_str(rest) {
            Ok(change) => change,
            Err(err) => return format!("malformed: {err}\n"),
        };
        self.clock_ms += 1_000;
        let answer = self.state.apply(change.clone(), self.clock_ms);
        let text = format!("{answer}\n");
        self.answered.push((change, answer));
        text
    }

    fn restart(&mut self) -> String {
        let bytes = serde_json::to_vec(&self.state).expect("state can be encoded");
        self.state = serde_json::from_slice(&bytes).expect("state can be decoded");
        self.state.reindex();
        let again = serde_json::to_vec(&self.state).expect("state can be encoded");
        assert_eq!(bytes, again, "a restart changed the state");
        "restarted\n".to_owned()
    }

    fn check(&self) -> Vec<String> {
        let accepted = self.state.accepted();
        let mut violations = catalogue::check_answers(&self.answered);
        violations.extend(catalogue::check_history(
            &accepted.history,
            &accepted.config,
        ));
        violations
    }
}

/// Replays the commands of a session and returns the session with the answers to them.
fn replay(text: &str) -> String {
    let mut session = Session::default();
    let mut out = String::new();
    for line in text.lines() {
        if line.starts_with('#') || line.is_empty() {
            writeln!(out, "{line}").expect("string can be written");
        } else if let Some(command) = line.strip_prefix("> ") {
            let answer = session.run(command);
            write!(out, "{line}\n{answer}").expect("string can be written");
        }
    }
    assert_eq!(session.check(), Vec::<String>::new());
    out
}

/// Guards against unreviewed changes of the wording, the order or the decisions in the answers that
/// operators read.
#[test]
fn sessions_replay_to_the_same_answers() {
    let folder = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/sessions");
    let is_rewriting = env::var_os("NUTMEGDALE_REWRITE").is_some();
    let mut count = 0;
    for file in fs::read_dir(&folder).expect("folder of sessions") {
        let path = file.expect("file of a session").path();
        let text = fs::read_to_string(&path).expect("session is text");
        let replayed = replay(&text);
        if is_rewriting {
            fs::write(&path, replayed).expect("session can be written");
        } else {
            assert_eq!(text, replayed, "session {}", path.display());
        }
        count += 1;
    }
    assert!(count >= 5, "{count} sessions found");
}

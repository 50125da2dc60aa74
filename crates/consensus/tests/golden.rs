//! Golden tests of whole sessions of a group.
//!
//! Each file under `golden` lists commands, each followed by its effects on lines that start with
//! `> `. `NUTMEGDALE_REWRITE=1 cargo test -p nutmegdale-consensus --test golden` rewrites the
//! files. Empty appends and accepting responses are left out.

use nutmegdale_consensus::{input, types};
use nutmegdale_verifier::history;
use std::fmt::Write;
use std::{collections, env, fs, path};

mod net;

struct Session {
    net: net::Net,
    backups: collections::BTreeMap<u64, net::Disk>,
    reported_messages: usize,
    reported_events: usize,
    out: String,
}

fn show_entry(entry: &types::LogEntry) -> String {
    let payload = match &entry.payload {
        types::Payload::Empty => "empty".to_owned(),
        types::Payload::Command(cmd) => format!("command {}", cmd[0]),
        types::Payload::Members(set) => show_members(set),
    };
    format!("{}/{} {payload}", entry.index.0, entry.term.0)
}

fn show_members(set: &types::MemberSet) -> String {
    let show = |m: &types::Member| match m.is_voter {
        true => m.id.0.to_string(),
        false => format!("{}(learner)", m.id.0),
    };
    let members: Vec<String> = set.members.iter().map(show).collect();
    format!("members {}", members.join(" "))
}

/// Formats a message; returns `None` for messages that an idle group exchanges all the time.
fn show_message(message: &types::Message) -> Option<String> {
    Some(match message {
        types::Message::RequestVote {
            is_pre_vote,
            last_index,
            last_term,
            is_transfer,
        } => {
            let kind = if *is_pre_vote { "pre-vote?" } else { "vote?" };
            let transfer = if *is_transfer { " transfer" } else { "" };
            format!("{kind} last={}/{}{transfer}", last_index.0, last_term.0)
        }
        types::Message::Vote {
            is_pre_vote,
            is_granted,
        } => {
            let kind = if *is_pre_vote { "pre-vote" } else { "vote" };
            format!("{kind} {}", if *is_granted { "yes" } else { "no" })
        }
        types::Message::Append { entries, .. } if entries.is_empty() => return None,
        types::Message::Append {
            prev_index,
            entries,
            commit,
            ..
        } => {
            let entries: Vec<String> = entries.iter().map(show_entry).collect();
            let entries = entries.join(", ");
            format!(
                "append after {} [{entries}] commit={}",
                prev_index.0, commit.0
            )
        }
        types::Message::Appended {
            is_accepted: true, ..
        } => return None,
        types::Message::Appended {
            index, last_index, ..
        } => format!("refused, go on at {} last={}", index.0, last_index.0),
        types::Message::InstallSnapshot {
            snapshot,
            offset,
            is_last,
            ..
        } => {
            let last = if *is_last { " last" } else { "" };
            let len = snapshot.state.len();
            format!("snapshot {} bytes {offset}+{len}{last}", snapshot.index.0)
        }
        types::Message::SnapshotReceived {
            index,
            received_bytes,
            ..
        } => format!("snapshot {} has {received_bytes} bytes", index.0),
        types::Message::TimeoutNow => "elect yourself".to_owned(),
    })
}

fn show_event(event: &history::Event) -> Option<String> {
    Some(match event {
        history::Event::Accepted { command, index } => {
            format!("command {command} accepted at {index}")
        }
        history::Event::Refused { command } => format!("command {command} refused"),
        history::Event::ReadDone { read, index } => format!("read {read} answered at {index}"),
        history::Event::Restored {
            replica,
            index,
            commands,
        } if *index > 0 => format!("{replica} restores {index} with {commands:?}"),
        _ => return None,
    })
}

fn numbers(words: &[&str]) -> Vec<u64> {
    let parse = |word: &&str| word.parse().expect("number");
    words.iter().map(parse).collect()
}

impl Session {
    fn new() -> Session {
        Session {
            net: net::Net::new(1, 0),
            backups: collections::BTreeMap::new(),
            reported_messages: 0,
            reported_events: 0,
            out: String::new(),
        }
    }

    fn write_line(&mut self, line: &str) {
        writeln!(self.out, "> {line}").expect("string can be written");
    }

    fn report(&mut self) {
        let sent = self.net.sent.split_off(self.reported_messages);
        for env in sent {
            if let Some(text) = show_message(&env.message) {
                self.write_line(&format!(
                    "{}->{} t{} {text}",
                    env.from.0, env.to.0, env.term.0
                ));
            }
        }
        let events: Vec<_> = self.net.history[self.reported_events..].to_vec();
        self.reported_events = self.net.history.len();
        for event in &events {
            if let Some(text) = show_event(event) {
                self.write_line(&text);
            }
        }
    }

    fn change(&mut self, change: input::MemberChange) {
        let Some(leader) = self.net.leader() else {
            return self.write_line("no leader");
        };
        let response = self.net.process(leader, input::Input::Change(change));
        self.net.end_batch(leader);
        if let input::Response::Refused(refusal) = response {
            self.write_line(&format!("refused: {refusal}"));
        }
    }

    fn status(&mut self, number: u64) {
        let s = self.net.status(number);
        let leader = s.leader.map_or("none".to_owned(), |id| id.0.to_string());
        let repaired = s
            .is_repaired
            .map_or(String::new(), |is| format!(" repaired={is}"));
        let suspects = s.progress.iter().filter(|p| p.is_suspect);
        let suspects: String = suspects.map(|p| format!(" suspect={}", p.id.0)).collect();
        self.write_line(&format!(
            "{:?} t{} leader={leader} commit={} last={} {}{repaired}{suspects}",
            s.role,
            s.term.0,
            s.commit.0,
            s.last.0,
            show_members(&s.members)
        ));
    }

    fn command(&mut self, words: &[&str]) {
        let args = numbers(&words[1..]);
        match (words[0], &args[..]) {
            ("group", [count]) => self.net = net::Net::new(1, *count),
            ("add", [number]) => self.net.add(*number),
            ("run", [duration_ms]) => self.net.run(*duration_ms),
            ("propose", [to]) => drop(self.net.propose(*to)),
            ("read", [to]) => drop(self.net.read(*to)),
            ("crash", [number]) => self.net.crash(*number),
            ("start", [number]) => self.net.start(*number),
            ("freeze", [number]) => self.net.replica_mut(*number).is_paused = true,
            ("thaw", [number]) => self.net.replica_mut(*number).is_paused = false,
            ("cut", [from, to]) => drop(self.net.links.cut.insert((*from, *to))),
            ("mend", []) => self.net.links.cut.clear(),
            ("backup", [number]) => {
                let disk = self.net.replica(*number).disk.clone();
                self.backups.insert(*number, disk);
            }
            ("restore", [number]) => {
                let disk = self.backups.remove(number).expect("backup");
                self.net.replica_mut(*number).disk = disk;
            }
            ("admit", [n]) => self.change(input::MemberChange::Admit(net::member(*n, false))),
            ("promote", [n]) => self.change(input::MemberChange::Promote(net::id(*n))),
            ("remove", [n]) => self.change(input::MemberChange::Remove(net::id(*n))),
            ("transfer", [number]) => {
                self.net.process(*number, input::Input::Transfer);
                self.net.end_batch(*number);
            }
            ("status", [number]) => self.status(*number),
            ("statuses", []) => {
                for number in self.net.numbers() {
                    if self.net.is_running(number) {
                        self.status(number);
                    }
                }
            }
            _ => panic!("unknown command {words:?}"),
        }
    }
}

fn run(text: &str) -> String {
    let mut session = Session::new();
    for line in text.lines().filter(|line| !line.starts_with("> ")) {
        session.out.push_str(line);
        session.out.push('\n');
        if line.trim().is_empty() || line.starts_with('#') {
            continue;
        }
        let words: Vec<&str> = line.split_whitespace().collect();
        session.command(&words);
        session.report();
    }
    let violations = history::check(&session.net.history);
    assert!(violations.is_empty(), "{violations:#?}");
    session.out
}

#[test]
fn sessions_match_their_golden_files() {
    let folder = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/golden");
    let mut count = 0;
    for file in fs::read_dir(folder).expect("folder of sessions") {
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
    assert!(count >= 6, "found only {count} sessions");
}

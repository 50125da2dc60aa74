//! Guards P6 and P7 (at most one execution and only true outcomes) over random interleavings: the
//! messages of entry processes are lost, duplicated and delayed, the processes crash at any
//! step, and callers resend through all of them.
//!
//! `NUTMEGDALE_SEED=N cargo test -p nutmegdale-ledger --test random` runs one seed.

use nutmegdale_base::clock;
use nutmegdale_base::rng::{self, Rng};
use nutmegdale_ledger::{command, key, state};
use nutmegdale_verifier::ledger as verifier;
use std::{collections, env};

const SEEDS_COUNT: u64 = 4_000;
const STEPS_COUNT: usize = 400;
const ENTRY_PROCESSES_COUNT: usize = 3;
const KEYS_COUNT: u64 = 3;
/// Number of times an attempt sends its claim again before it releases the key.
const CLAIM_RETRIES_MAX_COUNT: u32 = 3;

/// State of an attempt of an entry process.
#[derive(Debug, Clone, PartialEq)]
enum Step {
    Claiming { retries: u32 },
    Granted,
    Sent,
    Recording { answer: Vec<u8> },
    Releasing,
    MarkingUnknown,
}

#[derive(Debug, Clone)]
struct Attempt {
    key: usize,
    claimant: command::Claimant,
    step: Step,
}

impl Attempt {
    fn send_id(&self) -> String {
        format!("{}/{}", self.claimant.boot, self.claimant.attempt)
    }
}

enum Outcome {
    Answered(Vec<u8>),
    NotRun,
    Unknown,
}

enum Event {
    Executed(usize, String),
    Reported(usize, String, Outcome),
}

struct Simulation {
    rng: rng::SplitMix64,
    ledger: state::State,
    /// Commands in flight by send identifier; a delivered command may stay to be delivered again.
    commands: Vec<(String, command::Command)>,
    /// Replies in flight by the identifier of the send that waits for them.
    replies: Vec<(String, command::Reply)>,
    attempts: Vec<Attempt>,
    boots: Vec<u64>,
    next: u64,
    events: Vec<Event>,
}

fn key_id(number: usize) -> key::KeyId {
    key::KeyId::new("account", "route", &number.to_string())
}

impl Simulation {
    fn new(seed: u64) -> Simulation {
        Simulation {
            rng: rng::SplitMix64::new(seed),
            ledger: state::State::new(state::Bounds::default()),
            commands: Vec::new(),
            replies: Vec::new(),
            attempts: Vec::new(),
            boots: (0..ENTRY_PROCESSES_COUNT as u64).collect(),
            next: 100,
            events: Vec::new(),
        }
    }

    fn next_number(&mut self) -> u64 {
        self.next += 1;
        self.next
    }

    fn one_in(&mut self, count: u64) -> bool {
        self.rng.below(count) == 0
    }

    fn step(&mut self) {
        match self.rng.below(16) {
            0 => self.start_attempt(),
            1..=5 => self.deliver_command(),
            6..=9 => self.deliver_reply(),
            10..=13 => self.advance_attempt(),
            14 if self.one_in(4) => self.crash_entry(),
            14 => {}
            _ => {
                let elapsed_ms = clock::Millis(self.rng.below(40));
                self.ledger.apply(command::Command::Expire { elapsed_ms });
            }
        }
    }

    fn start_attempt(&mut self) {
        let entry = self.rng.below(ENTRY_PROCESSES_COUNT as u64) as usize;
        let key = self.rng.below(KEYS_COUNT) as usize;
        let claimant = command::Claimant {
            entry: format!("entry-{entry}"),
            boot: self.boots[entry],
            attempt: self.next_number(),
        };
        let step = Step::Claiming { retries: 0 };
        self.attempts.push(Attempt {
            key,
            claimant,
            step,
        });
        let last = self.attempts.len() - 1;
        self.send_command(last);
    }

    fn send_command(&mut self, index: usize) {
        let attempt = self.attempts[index].clone();
        let key = key_id(attempt.key);
        let claimant = attempt.claimant.clone();
        let cmd = match &attempt.step {
            Step::Claiming { .. } => command::Command::Claim(command::Claim {
                key,
                digest: key::Digest::of_body(&[attempt.key as u8]),
                claimant,
                run_ms: clock::Millis(300),
                keep_ms: clock::Millis(u64::MAX / 4),
            }),
            Step::Recording { answer } => command::Command::Record(command::Record {
                key,
                claimant,
                answer: command::Answer {
                    status: 200,
                    headers: Vec::new(),
                    body: command::Body::Kept(answer.clone()),
                },
            }),
            Step::Releasing => command::Command::Release(command::Release { key, claimant }),
            Step::MarkingUnknown => {
                command::Command::MarkUnknown(command::MarkUnknown { key, claimant })
            }
            Step::Granted | Step::Sent => return,
        };
        self.commands.push((attempt.send_id(), cmd));
    }

    fn deliver_command(&mut self) {
        if self.commands.is_empty() {
            return;
        }
        let index = self.rng.below(self.commands.len() as u64) as usize;
        let (send, cmd) = self.commands[index].clone();
        // One in eight messages is lost, one in eight is delivered again later.
        let delivery = self.rng.below(8);
        if delivery != 1 {
            self.commands.swap_remove(index);
        }
        if delivery != 0 {
            let reply = self.ledger.apply(cmd);
            self.replies.push((send, reply));
        }
    }

    fn deliver_reply(&mut self) {
        if self.replies.is_empty() {
            return;
        }
        let index = self.rng.below(self.replies.len() as u64) as usize;
        let (send, reply) = self.replies.swap_remove(index);
        if self.one_in(6) {
            return;
        }
        // Replies to attempts that ended or crashed are dropped.
        if let Some(index) = self.attempts.iter().position(|a| a.send_id() == send) {
            self.handle_reply(index, reply);
        }
    }

    fn handle_reply(&mut self, index: usize, reply: command::Reply) {
        use command::{ClaimReply, Reply};
        let is_claiming = matches!(self.attempts[index].step, Step::Claiming { .. });
        match (reply, self.attempts[index].step.clone()) {
            (Reply::Claim(ClaimReply::Granted), _) if is_claiming => {
                self.attempts[index].step = Step::Granted;
            }
            (Reply::Claim(ClaimReply::Answered(answer)), _) if is_claiming => {
                let command::Body::Kept(body) = &answer.body else {
                    panic!("small answer was not kept");
                };
                self.finish_attempt(index, Outcome::Answered(body.clone()));
            }
            (Reply::Claim(ClaimReply::Pending(_) | ClaimReply::Unknown), _) if is_claiming => {
                self.finish_attempt(index, Outcome::Unknown);
            }
            // A newer attempt of the same boot was released first; an entry process would claim
            // again with a new number.
            (Reply::Claim(ClaimReply::GivenUp), _) if is_claiming => {
                self.finish_attempt(index, Outcome::NotRun);
            }
            (Reply::Claim(other), _) if is_claiming => panic!("claim got {other:?}"),
            (Reply::Record(command::RecordReply::Recorded), Step::Recording { answer }) => {
                self.finish_attempt(index, Outcome::Answered(answer));
            }
            (Reply::Record(other), Step::Recording { .. }) => panic!("record got {other:?}"),
            (Reply::Release(command::ReleaseReply::Released), Step::Releasing)
            | (Reply::Status(_), Step::MarkingUnknown) => drop(self.attempts.swap_remove(index)),
            // The claim timed out before the attempt sent anything, so the outcome not-run is true;
            // the key stays unknown.
            (Reply::Release(command::ReleaseReply::TooLate), Step::Releasing) => {
                self.attempts.swap_remove(index);
            }
            _ => {}
        }
    }

    fn report(&mut self, index: usize, outcome: Outcome) {
        let (key, send) = (self.attempts[index].key, self.attempts[index].send_id());
        self.events.push(Event::Reported(key, send, outcome));
    }

    fn finish_attempt(&mut self, index: usize, outcome: Outcome) {
        self.report(index, outcome);
        self.attempts.swap_remove(index);
    }

    fn advance_attempt(&mut self) {
        if self.attempts.is_empty() {
            return;
        }
        let index = self.rng.below(self.attempts.len() as u64) as usize;
        match self.attempts[index].step.clone() {
            Step::Claiming { retries } if retries < CLAIM_RETRIES_MAX_COUNT => {
                self.attempts[index].step = Step::Claiming {
                    retries: retries + 1,
                };
                self.send_command(index);
            }
            Step::Claiming { .. } => self.release(index),
            Step::Granted if self.one_in(4) => self.release(index),
            Step::Granted => {
                let (key, send) = (self.attempts[index].key, self.attempts[index].send_id());
                self.events.push(Event::Executed(key, send));
                self.attempts[index].step = Step::Sent;
            }
            Step::Sent if self.one_in(4) => {
                self.report(index, Outcome::Unknown);
                self.attempts[index].step = Step::MarkingUnknown;
                self.send_command(index);
            }
            Step::Sent => {
                let answer = format!("answer to {}", self.attempts[index].send_id()).into_bytes();
                self.attempts[index].step = Step::Recording { answer };
                self.send_command(index);
            }
            Step::Recording { .. } | Step::Releasing | Step::MarkingUnknown => {
                self.send_command(index);
            }
        }
    }

    fn release(&mut self, index: usize) {
        self.report(index, Outcome::NotRun);
        self.attempts[index].step = Step::Releasing;
        self.send_command(index);
    }

    fn crash_entry(&mut self) {
        let entry = self.rng.below(ENTRY_PROCESSES_COUNT as u64) as usize;
        let boot = self.boots[entry];
        self.attempts.retain(|a| a.claimant.boot != boot);
        self.boots[entry] = self.next_number();
    }

    /// Runs every attempt to its end and lets every claim time out.
    fn finish_all_attempts(&mut self) {
        for _ in 0..10_000 {
            if self.attempts.is_empty() {
                break;
            }
            self.deliver_command();
            self.deliver_reply();
            self.advance_attempt();
        }
        assert!(
            self.attempts.is_empty(),
            "attempts that did not end: {:?}",
            self.attempts
        );
        self.commands.clear();
        let elapsed_ms = clock::Millis(300);
        self.ledger.apply(command::Command::Expire { elapsed_ms });
    }

    fn find_violations(&self) -> Vec<verifier::Violation> {
        let names: Vec<String> = (0..KEYS_COUNT).map(|k| k.to_string()).collect();
        let events = self.events.iter().map(|event| match event {
            Event::Executed(key, send) => verifier::Event::Executed {
                key: &names[*key],
                send,
            },
            Event::Reported(key, send, outcome) => verifier::Event::Reported {
                key: &names[*key],
                send,
                outcome: match outcome {
                    Outcome::Answered(body) => verifier::Outcome::Answered(body),
                    Outcome::NotRun => verifier::Outcome::NotRun,
                    Outcome::Unknown => verifier::Outcome::Unknown,
                },
            },
        });
        verifier::check(&events.collect::<Vec<_>>())
    }

    /// Checks the state of every key after every attempt has ended.
    fn check_final_state(&self) {
        for key in 0..KEYS_COUNT as usize {
            let is_executed = self
                .events
                .iter()
                .any(|e| matches!(e, Event::Executed(k, _) if *k == key));
            let status = self.ledger.lookup(key_id(key));
            let is_consistent = match status {
                command::Status::Unclaimed | command::Status::Released => !is_executed,
                command::Status::Answered(_) => is_executed,
                command::Status::Unknown => true,
                command::Status::Pending(_) => false,
            };
            assert!(
                is_consistent,
                "key {key}, executed: {is_executed}, status: {status:?}"
            );
        }
    }
}

#[test]
fn requests_run_at_most_once_and_outcomes_are_true_for_every_seed() {
    let single_seed = env::var("NUTMEGDALE_SEED")
        .ok()
        .map(|s| s.parse().expect("seed"));
    let seeds = single_seed.map_or(0..SEEDS_COUNT, |seed: u64| seed..seed + 1);
    let mut event_counts = collections::BTreeMap::<&str, u32>::new();
    for seed in seeds {
        let mut simulation = Simulation::new(seed);
        for _ in 0..STEPS_COUNT {
            simulation.step();
        }
        simulation.finish_all_attempts();
        assert_eq!(simulation.find_violations(), [], "seed {seed}");
        simulation.check_final_state();
        for event in &simulation.events {
            let name = match event {
                Event::Executed(..) => "executed",
                Event::Reported(_, _, Outcome::Answered(_)) => "answered",
                Event::Reported(_, _, Outcome::NotRun) => "not-run",
                Event::Reported(_, _, Outcome::Unknown) => "unknown",
            };
            *event_counts.entry(name).or_default() += 1;
        }
    }
    println!("events: {event_counts:?}");
    if single_seed.is_none() {
        // Guards against a simulation that no longer produces some outcome.
        assert!(
            event_counts.len() == 4 && event_counts.values().all(|n| *n > 1_000),
            "{event_counts:?}"
        );
    }
}

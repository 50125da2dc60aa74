//! The replicated state machine of the catalogue.

use crate::change;
use crate::config;
use crate::validate;
use serde::{Deserialize, Serialize};
use sha2::Digest;
use std::collections;
use std::sync;

/// Answers kept for resends. At 1,600 changes a day this covers more than 40 days.
pub const ANSWERS_MAX_COUNT: usize = 65_536;

/// Accepted change, as the history shows it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// Version that the change made.
    pub version: config::Version,
    /// Time of acceptance by the leader's wall clock, in milliseconds since the Unix epoch. It is
    /// shown to operators and decides nothing.
    pub wall_ms: u64,
    /// The change.
    pub change: change::Change,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Remembered {
    id: String,
    digest: Vec<u8>,
    answer: change::Answer,
}

/// Catalogue with its history and the answers for resends.
///
/// Invariant: the state is a function of the sequence of changes applied, so replicas that applied
/// the same log hold the same bytes.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct State {
    config: sync::Arc<config::Config>,
    history: Vec<sync::Arc<Record>>,
    answers: collections::VecDeque<Remembered>,
    #[serde(skip)]
    answer_index: collections::HashMap<String, u64>,
    answers_dropped: u64,
}

impl State {
    /// Creates the empty catalogue.
    pub fn new() -> State {
        State::default()
    }

    /// Rebuilds what is not serialised; called after a snapshot was read.
    pub fn reindex(&mut self) {
        let first = self.answers_dropped;
        let numbered = self.answers.iter().zip(first..);
        self.answer_index = numbered.map(|(r, n)| (r.id.clone(), n)).collect();
    }

    /// Returns the configuration now accepted.
    pub fn config(&self) -> &sync::Arc<config::Config> {
        &self.config
    }

    /// Returns accepted changes after `version`, oldest first.
    pub fn history_after(&self, version: config::Version) -> &[sync::Arc<Record>] {
        let from = self.history.partition_point(|r| r.version <= version);
        &self.history[from..]
    }

    /// Applies a change and returns its answer; a resent change gets its first answer again.
    pub fn apply(&mut self, change: change::Change, wall_ms: u64) -> change::Answer {
        let digest = digest(&change);
        if let Some(remembered) = self.remembered(&change.id) {
            if remembered.digest == digest {
                return remembered.answer.clone();
            }
            let rule = "was used for another change".to_owned();
            return rejected(change::Fault {
                field: "id".to_owned(),
                rule,
            });
        }
        let id = change.id.clone();
        let answer = self.decide(change, wall_ms);
        self.remember(Remembered {
            id,
            digest,
            answer: answer.clone(),
        });
        answer
    }

    fn remembered(&self, id: &str) -> Option<&Remembered> {
        let number = self.answer_index.get(id)?;
        let position = usize::try_from(number - self.answers_dropped).ok()?;
        self.answers.get(position)
    }

    fn remember(&mut self, remembered: Remembered) {
        let number = self.answers_dropped + self.answers.len() as u64;
        self.answer_index.insert(remembered.id.clone(), number);
        self.answers.push_back(remembered);
        if self.answers.len() > ANSWERS_MAX_COUNT
            && let Some(oldest) = self.answers.pop_front()
        {
            self.answers_dropped += 1;
            self.answer_index.remove(&oldest.id);
        }
    }

    fn decide(&mut self, change: change::Change, wall_ms: u64) -> change::Answer {
        if change.id.is_empty() || change.id.len() > 128 {
            let rule = "must have 1 to 128 bytes".to_owned();
            return rejected(change::Fault {
                field: "id".to_owned(),
                rule,
            });
        }
        if change.base != self.config.version {
            return self.conflict(change.base);
        }
        let mut next = config::Config::clone(&self.config);
        let mut faults = Vec::new();
        if change.ops.is_empty() {
            let rule = "must hold at least one step".to_owned();
            faults.push(change::Fault {
                field: "ops".to_owned(),
                rule,
            });
        }
        for op in &change.ops {
            apply_op(&mut next, op, &mut faults);
        }
        faults.extend(validate::check(&next));
        if !faults.is_empty() {
            return change::Answer::Rejected { faults };
        }
        bind_ledger_regions(&mut next);
        next.version = config::Version(self.config.version.0 + 1);
        let version = next.version;
        self.config = sync::Arc::new(next);
        self.history.push(sync::Arc::new(Record {
            version,
            wall_ms,
            change,
        }));
        change::Answer::Accepted { version }
    }

    fn conflict(&self, base: config::Version) -> change::Answer {
        let current = self.config.version;
        match self.history_after(base).first() {
            Some(winner) => change::Answer::Conflict {
                current,
                winner: winner.change.id.clone(),
                winner_author: winner.change.author.clone(),
            },
            None => {
                let rule = format!("version {base} does not exist; the newest is {current}");
                rejected(change::Fault {
                    field: "base".to_owned(),
                    rule,
                })
            }
        }
    }
}

fn rejected(fault: change::Fault) -> change::Answer {
    change::Answer::Rejected {
        faults: vec![fault],
    }
}

fn digest(change: &change::Change) -> Vec<u8> {
    // The derived form names every field, so two changes that differ have different texts.
    sha2::Sha256::digest(format!("{change:?}")).to_vec()
}

fn bind_ledger_regions(cfg: &mut config::Config) {
    for (name, route) in &cfg.routes {
        if let Some(region) = &route.ledger_region {
            cfg.ledger_regions
                .entry(name.clone())
                .or_insert_with(|| region.clone());
        }
    }
}

fn apply_op(cfg: &mut config::Config, op: &change::Op, faults: &mut Vec<change::Fault>) {
    let mut missing = |kind: &str, name: &str| {
        let rule = format!("{kind} {name:?} does not exist");
        faults.push(change::Fault {
            field: format!("{kind}s.{name}"),
            rule,
        });
    };
    match op {
        change::Op::PutRoute { route } => {
            cfg.routes.insert(route.name.clone(), route.clone());
        }
        change::Op::RemoveRoute { name } => {
            if cfg.routes.remove(name).is_none() {
                missing("route", name);
            }
        }
        change::Op::PutAccount { account } => {
            cfg.accounts.insert(account.name.clone(), account.clone());
        }
        change::Op::RemoveAccount { name } => {
            if cfg.accounts.remove(name).is_none() {
                missing("account", name);
            }
        }
        change::Op::PutZone { zone } => {
            let out = cfg.zones.get(&zone.name).is_some_and(|z| z.out);
            let state = config::ZoneState {
                region: zone.region.clone(),
                out,
            };
            cfg.zones.insert(zone.name.clone(), state);
        }
        change::Op::RemoveZone { name } => {
            if cfg.zones.remove(name).is_none() {
                missing("zone", name);
            }
        }
        change::Op::ZoneOut { name } => match cfg.zones.get_mut(name) {
            Some(zone) => zone.out = true,
            None => missing("zone", name),
        },
        change::Op::ZoneIn { name } => match cfg.zones.get_mut(name) {
            Some(zone) => zone.out = false,
            None => missing("zone", name),
        },
        change::Op::ServerOut { name } => {
            cfg.servers_out.insert(name.clone());
        }
        change::Op::ServerIn { name } => {
            if !cfg.servers_out.remove(name) {
                missing("server", name);
            }
        }
    }
}

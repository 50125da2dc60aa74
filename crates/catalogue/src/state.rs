//! The replicated state machine of the catalogue.

use crate::change;
use crate::config;
use crate::diff;
use crate::history;
use crate::ops;
use crate::validate;
use serde::{Deserialize, Serialize};
use serde_with::serde_as;
use sha2::Digest;
use std::collections;
use std::sync;

/// Maximum number of answers kept for resends. At 1,600 changes a day this covers 10 days. A change
/// that is resent later and states its base version is still not applied twice, since a newer
/// version is current by then.
pub const ANSWERS_MAX_COUNT: usize = 16_384;
/// Maximum number of faults listed in one answer; answers are stored, so their size is bounded.
const FAULTS_MAX_COUNT: usize = 64;
/// Longest identifier or author of a change, in bytes.
const ID_MAX_BYTES: usize = 128;
/// Maximum number of steps in one change.
const OPS_MAX_COUNT: usize = 1_000;

#[serde_as]
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct CompletedChange {
    id: String,
    #[serde_as(as = "serde_with::Bytes")]
    digest: [u8; 32],
    answer: change::Answer,
}

/// Newest accepted configuration with its history. Cloning it copies a few pointers, whatever the
/// length of the history.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct Accepted {
    /// Newest accepted configuration.
    pub config: sync::Arc<config::Config>,
    /// Accepted changes that led to it.
    pub history: history::History,
}

/// Catalogue with its history and the answers to recent changes, which are repeated on resends.
///
/// Invariant: the state is a function of the sequence of changes applied, so replicas that applied
/// the same log hold the same bytes.
#[derive(Debug, Clone, Default, Serialize, Deserialize)]
pub struct State {
    accepted: Accepted,
    answers: collections::VecDeque<CompletedChange>,
    #[serde(skip)]
    answer_index: collections::HashMap<String, u64>,
    answers_dropped: u64,
}

impl State {
    /// Creates the empty catalogue.
    pub fn new() -> State {
        State::default()
    }

    /// Rebuilds the index of answers, which is not serialised. It must be called after decoding a
    /// snapshot.
    pub fn reindex(&mut self) {
        let first = self.answers_dropped;
        let numbered = self.answers.iter().zip(first..);
        self.answer_index = numbered
            .map(|(completed, n)| (completed.id.clone(), n))
            .collect();
    }

    /// Returns the newest accepted configuration.
    pub fn config(&self) -> &sync::Arc<config::Config> {
        &self.accepted.config
    }

    /// Returns the newest accepted configuration with its history.
    pub fn accepted(&self) -> &Accepted {
        &self.accepted
    }

    /// Returns the number of answers kept for resends.
    pub fn answers_count(&self) -> usize {
        self.answers.len()
    }

    /// Applies a change and returns its answer; a resent change gets its first answer again.
    pub fn apply(&mut self, change: change::Change, wall_ms: u64) -> change::Answer {
        if let Some(fault) = envelope_fault(&change) {
            return rejected(vec![fault]);
        }
        let encoded = serde_json::to_vec(&change).expect("change can be encoded");
        let digest = sha2::Sha256::digest(&encoded).into();
        if let Some(completed) = self.find_completed(&change.id) {
            if completed.digest == digest {
                return completed.answer.clone();
            }
            return rejected(vec![fault("id", "was used for another change")]);
        }
        let id = change.id.clone();
        let encoded_bytes = encoded.len() as u64;
        let answer = self.decide(change, encoded_bytes, wall_ms);
        self.store_completed(CompletedChange {
            id,
            digest,
            answer: answer.clone(),
        });
        answer
    }

    fn find_completed(&self, id: &str) -> Option<&CompletedChange> {
        let number = self.answer_index.get(id)?;
        let position = usize::try_from(number - self.answers_dropped).ok()?;
        self.answers.get(position)
    }

    fn store_completed(&mut self, completed: CompletedChange) {
        let number = self.answers_dropped + self.answers.len() as u64;
        self.answer_index.insert(completed.id.clone(), number);
        self.answers.push_back(completed);
        if self.answers.len() > ANSWERS_MAX_COUNT
            && let Some(oldest) = self.answers.pop_front()
        {
            self.answers_dropped += 1;
            self.answer_index.remove(&oldest.id);
        }
    }

    fn decide(
        &mut self,
        change: change::Change,
        encoded_bytes: u64,
        wall_ms: u64,
    ) -> change::Answer {
        let old = &self.accepted.config;
        let (base, version) = (old.version, config::Version(old.version.0 + 1));
        match change.base {
            Some(requested) if requested != base => return self.base_mismatch(&change, requested),
            None if !change.ops.iter().all(change::Op::only_sets_service_state) => {
                let rule = "is required unless every step takes a zone or server out or in";
                return rejected(vec![fault("base", rule)]);
            }
            _ => {}
        }
        let mut next = config::Config::clone(old);
        let mut faults = Vec::new();
        for op in &change.ops {
            ops::apply(&mut next, op, &mut faults);
        }
        faults.extend(validate::check(&next));
        if !faults.is_empty() {
            return rejected(faults);
        }
        ops::bind_ledger_regions(&mut next);
        next.version = version;
        let effects = diff::between(old, &next);
        self.accepted.config = sync::Arc::new(next);
        self.accepted.history.push(history::Record {
            version,
            base,
            wall_ms,
            encoded_bytes,
            change,
            effects,
        });
        change::Answer::Accepted { version }
    }

    fn base_mismatch(&self, change: &change::Change, base: config::Version) -> change::Answer {
        let current = self.accepted.config.version;
        if base > current {
            let rule = format!("version {base} does not exist; the newest is {current}");
            return rejected(vec![fault("base", &rule)]);
        }
        let winner = self.accepted.history.after(base).next();
        match winner.filter(|winner| winner.base == base) {
            // A resend whose stored answer was evicted; the history still holds the change.
            Some(winner) if winner.change == *change => change::Answer::Accepted {
                version: winner.version,
            },
            Some(winner) => change::Answer::Conflict {
                current,
                winner: winner.change.id.clone(),
                winner_author: winner.change.author.clone(),
            },
            None => {
                let rule = format!("version {base} is no longer in the history");
                rejected(vec![fault("base", &rule)])
            }
        }
    }
}

fn envelope_fault(change: &change::Change) -> Option<change::Fault> {
    let is_valid = |text: &str| !text.is_empty() && text.len() <= ID_MAX_BYTES;
    if !is_valid(&change.id) {
        return Some(fault("id", "must have 1 to 128 bytes"));
    }
    if !is_valid(&change.author) {
        return Some(fault("author", "must have 1 to 128 bytes"));
    }
    if change.ops.is_empty() || change.ops.len() > OPS_MAX_COUNT {
        return Some(fault("ops", "must hold 1 to 1000 steps"));
    }
    None
}

fn fault(field: &str, rule: &str) -> change::Fault {
    change::Fault {
        field: field.to_owned(),
        rule: rule.to_owned(),
    }
}

fn rejected(mut faults: Vec<change::Fault>) -> change::Answer {
    if faults.len() > FAULTS_MAX_COUNT {
        let rest = faults.len() - FAULTS_MAX_COUNT;
        faults.truncate(FAULTS_MAX_COUNT);
        faults.push(fault("ops", &format!("has {rest} more faults")));
    }
    change::Answer::Rejected { faults }
}

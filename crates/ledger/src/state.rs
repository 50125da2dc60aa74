//! State of the record of one-time requests of a region.

use crate::command;
use crate::key;
use nutmegdale_base::clock;
use serde::{Deserialize, Serialize, de, ser};
use std::collections;
use std::sync;

/// Records that one `Expire` command handles at most, so that no command blocks claims for long.
pub const EXPIRE_MAX_COUNT: usize = 1_024;
/// Longest time that one attempt may take.
pub const RUN_MAX_MS: clock::Millis = clock::Millis(15 * 60 * 1_000);
/// Longest time that one `Expire` command lets pass, so that a leader that was stopped for long does
/// not let claims expire that were granted just before it counts the time of its stop.
pub const ELAPSED_MAX_MS: clock::Millis = clock::Millis(20_000);
/// Shortest time that an outcome is kept. It exceeds [`ELAPSED_MAX_MS`], by which a claim may end
/// early, and the time between an entry process's check of its clock and its first byte to a
/// server, so that no attempt starts after its record expired.
pub const KEEP_MIN_MS: clock::Millis = clock::Millis(60_000);
/// Time that released attempts are remembered, so that a late claim of theirs is not granted.
pub const RELEASED_KEEP_MS: clock::Millis = clock::Millis(10 * 60 * 1_000);
/// Boots whose released attempts are remembered per key. Without a place there, a claim that is
/// delivered after its release is granted to nobody and becomes unknown at its end.
const FENCES_MAX_COUNT: usize = 8;

/// Bounds of the record. They are part of the state machine: all replicas must have the same.
///
/// The defaults keep a control process below 128 MB with a full record, which counts about three
/// times: in the state, in the newest snapshot and in the next one while it is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Records; beyond it claims of new keys are refused.
    pub records_max_count: usize,
    /// Bytes of all kept answers; beyond it only digests are kept.
    pub answers_max_bytes: usize,
}

impl Default for Bounds {
    fn default() -> Bounds {
        Bounds {
            records_max_count: 100_000,
            answers_max_bytes: 16 * 1024 * 1024,
        }
    }
}

/// Newest attempt of a boot that was given up; older ones of the boot count as given up too.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct Fence {
    boot: u64,
    attempt: u64,
}

/// Claim in force.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Running {
    entry: String,
    keep_ms: clock::Millis,
    fences: Vec<Fence>,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
enum Phase {
    Claimed(Box<Running>),
    Released(Box<[Fence]>),
    Unknown,
    Answered(sync::Arc<command::Answer>),
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Entry {
    digest: key::Digest,
    boot: u64,
    attempt: u64,
    /// End of the claim if it is in force, end of the record otherwise.
    due: clock::Millis,
    phase: Phase,
}

impl Entry {
    fn is_of(&self, claimant: &command::Claimant) -> bool {
        self.boot == claimant.boot && self.attempt == claimant.attempt
    }

    fn answer_bytes(&self) -> usize {
        match &self.phase {
            Phase::Answered(answer) => answer.kept_bytes(),
            _ => 0,
        }
    }
}

/// Record of one-time requests.
///
/// Invariant: `due` holds exactly one item for each record, at the record's `due` time.
#[derive(Debug, Clone, Default)]
pub struct State {
    bounds: Bounds,
    now: clock::Millis,
    records: collections::HashMap<key::KeyId, Entry>,
    due: collections::BTreeSet<(clock::Millis, key::KeyId)>,
    claimed_count: usize,
    answers_bytes: usize,
}

impl State {
    /// Creates an empty record.
    pub fn new(bounds: Bounds) -> State {
        State {
            bounds,
            ..State::default()
        }
    }

    /// Returns the time that has passed under all leaders together.
    pub fn now(&self) -> clock::Millis {
        self.now
    }

    /// Returns the number of records.
    pub fn records_count(&self) -> usize {
        self.records.len()
    }

    /// Returns the number of claims in force.
    pub fn claimed_count(&self) -> usize {
        self.claimed_count
    }

    /// Returns the bytes of all kept answers.
    pub fn answers_bytes(&self) -> usize {
        self.answers_bytes
    }

    /// Applies a command of the log.
    pub fn apply(&mut self, cmd: command::Command) -> command::Reply {
        use command::{Command, Reply};
        match cmd {
            Command::Claim(claim) => Reply::Claim(self.claim(claim)),
            Command::Record(record) => Reply::Record(self.record(record)),
            Command::Release(release) => Reply::Release(self.release(&release)),
            Command::MarkUnknown(mark) => {
                self.mark_unknown(&mark);
                Reply::Status(self.lookup(mark.key))
            }
            Command::Expire { elapsed_ms } => Reply::Expired {
                has_more: self.expire(elapsed_ms),
            },
        }
    }

    /// Returns what is known of a key.
    pub fn lookup(&self, key: key::KeyId) -> command::Status {
        use command::Status;
        let Some(entry) = self.records.get(&key) else {
            return Status::Unclaimed;
        };
        match &entry.phase {
            Phase::Claimed(running) => Status::Pending(command::Claimant {
                entry: running.entry.clone(),
                boot: entry.boot,
                attempt: entry.attempt,
            }),
            Phase::Released(_) => Status::Released,
            Phase::Unknown => Status::Unknown,
            Phase::Answered(answer) => Status::Answered(sync::Arc::clone(answer)),
        }
    }

    fn claim(&mut self, claim: command::Claim) -> command::ClaimReply {
        use command::{ClaimReply, Status};
        let Some(entry) = self.records.get(&claim.key) else {
            if self.records.len() >= self.bounds.records_max_count {
                return ClaimReply::Full;
            }
            return self.grant(claim, Vec::new());
        };
        let is_same = entry.is_of(&claim.claimant);
        match &entry.phase {
            Phase::Released(fences) if is_fenced(fences, &claim.claimant) => ClaimReply::GivenUp,
            Phase::Released(fences) => {
                let fences = fences.to_vec();
                self.grant(claim, fences)
            }
            _ if entry.digest != claim.digest => ClaimReply::OtherRequest,
            Phase::Claimed(_) if is_same => ClaimReply::Granted,
            Phase::Claimed(running) => {
                // Names are unique, so another boot of the same name means that the process which
                // held the claim is gone.
                if running.entry == claim.claimant.entry && entry.boot != claim.claimant.boot {
                    self.end_claim(claim.key, Phase::Unknown);
                }
                match self.lookup(claim.key) {
                    Status::Pending(claimant) => ClaimReply::Pending(claimant),
                    _ => ClaimReply::Unknown,
                }
            }
            Phase::Unknown => ClaimReply::Unknown,
            Phase::Answered(answer) => ClaimReply::Answered(sync::Arc::clone(answer)),
        }
    }

    fn grant(&mut self, claim: command::Claim, fences: Vec<Fence>) -> command::ClaimReply {
        let running = Running {
            entry: claim.claimant.entry,
            keep_ms: claim.keep_ms.max(KEEP_MIN_MS),
            fences,
        };
        let entry = Entry {
            digest: claim.digest,
            boot: claim.claimant.boot,
            attempt: claim.claimant.attempt,
            due: self.now + claim.run_ms.min(RUN_MAX_MS),
            phase: Phase::Claimed(Box::new(running)),
        };
        self.put(claim.key, entry);
        command::ClaimReply::Granted
    }

    fn record(&mut self, record: command::Record) -> command::RecordReply {
        use command::RecordReply;
        let Some(entry) = self.records.get(&record.key) else {
            return RecordReply::NotHeld;
        };
        if !entry.is_of(&record.claimant) {
            return RecordReply::NotHeld;
        }
        match entry.phase {
            Phase::Claimed(_) | Phase::Unknown => {
                let answer = self.bounded(record.answer);
                self.end_claim(record.key, Phase::Answered(sync::Arc::new(answer)));
                RecordReply::Recorded
            }
            Phase::Answered(_) => RecordReply::Recorded,
            Phase::Released(_) => RecordReply::NotHeld,
        }
    }

    fn bounded(&self, mut answer: command::Answer) -> command::Answer {
        let is_large = matches!(&answer.body, command::Body::Kept(body)
            if body.len() > command::BODY_MAX_BYTES)
            || answer.headers_bytes() > command::HEADERS_MAX_BYTES
            || self.answers_bytes + answer.kept_bytes() > self.bounds.answers_max_bytes;
        if is_large {
            answer.reduce();
        }
        answer
    }

    fn release(&mut self, release: &command::Release) -> command::ReleaseReply {
        use command::ReleaseReply;
        let fence = Fence {
            boot: release.claimant.boot,
            attempt: release.claimant.attempt,
        };
        let Some(entry) = self.records.get_mut(&release.key) else {
            if self.records.len() >= self.bounds.records_max_count {
                return ReleaseReply::Full;
            }
            self.put_released(release.key, vec![fence]);
            return ReleaseReply::Released;
        };
        let is_same = entry.is_of(&release.claimant);
        match &mut entry.phase {
            Phase::Claimed(running) => {
                add_fence(&mut running.fences, fence);
                if is_same {
                    let fences = std::mem::take(&mut running.fences);
                    self.put_released(release.key, fences);
                }
                ReleaseReply::Released
            }
            Phase::Released(fences) => {
                let mut fences = fences.to_vec();
                add_fence(&mut fences, fence);
                self.put_released(release.key, fences);
                ReleaseReply::Released
            }
            Phase::Unknown | Phase::Answered(_) if is_same => ReleaseReply::TooLate,
            // The key is not claimable any more, so the attempt will not be granted it.
            Phase::Unknown | Phase::Answered(_) => ReleaseReply::Released,
        }
    }

    fn put_released(&mut self, key: key::KeyId, fences: Vec<Fence>) {
        let entry = Entry {
            digest: key::Digest::of_body(&[]),
            boot: 0,
            attempt: 0,
            due: self.now + RELEASED_KEEP_MS,
            phase: Phase::Released(fences.into_boxed_slice()),
        };
        self.put(key, entry);
    }

    fn mark_unknown(&mut self, mark: &command::MarkUnknown) {
        let is_held = self.records.get(&mark.key).is_some_and(|entry| {
            entry.is_of(&mark.claimant) && matches!(entry.phase, Phase::Claimed(_))
        });
        if is_held {
            self.end_claim(mark.key, Phase::Unknown);
        }
    }

    /// Gives a record the outcome of its attempt and keeps it from now on for its time.
    fn end_claim(&mut self, key: key::KeyId, phase: Phase) {
        let Some(mut entry) = self.remove(key) else {
            return;
        };
        if let Phase::Claimed(running) = &entry.phase {
            entry.due = self.now + running.keep_ms;
        }
        entry.phase = phase;
        self.put(key, entry);
    }

    fn expire(&mut self, elapsed: clock::Millis) -> bool {
        self.now = self.now + elapsed.min(ELAPSED_MAX_MS);
        for _ in 0..EXPIRE_MAX_COUNT {
            let Some((due, key)) = self.due.first().copied() else {
                return false;
            };
            if due > self.now {
                return false;
            }
            let is_claimed = matches!(self.records[&key].phase, Phase::Claimed(_));
            if is_claimed {
                self.end_claim(key, Phase::Unknown);
            } else {
                self.remove(key);
            }
        }
        self.due.first().is_some_and(|(due, _)| *due <= self.now)
    }

    fn put(&mut self, key: key::KeyId, entry: Entry) {
        self.remove(key);
        self.answers_bytes += entry.answer_bytes();
        self.claimed_count += usize::from(matches!(entry.phase, Phase::Claimed(_)));
        self.due.insert((entry.due, key));
        self.records.insert(key, entry);
    }

    fn remove(&mut self, key: key::KeyId) -> Option<Entry> {
        let entry = self.records.remove(&key)?;
        self.answers_bytes -= entry.answer_bytes();
        self.claimed_count -= usize::from(matches!(entry.phase, Phase::Claimed(_)));
        self.due.remove(&(entry.due, key));
        Some(entry)
    }
}

fn is_fenced(fences: &[Fence], claimant: &command::Claimant) -> bool {
    let is_older = |f: &Fence| f.boot == claimant.boot && claimant.attempt <= f.attempt;
    fences.iter().any(is_older)
}

fn add_fence(fences: &mut Vec<Fence>, fence: Fence) {
    if let Some(held) = fences.iter_mut().find(|f| f.boot == fence.boot) {
        held.attempt = held.attempt.max(fence.attempt);
        return;
    }
    if fences.len() >= FENCES_MAX_COUNT {
        fences.remove(0);
    }
    fences.push(fence);
}

/// Records in the order of their end, which gives replicas with equal states equal snapshots.
struct Records<'a>(&'a State);

impl Serialize for Records<'_> {
    fn serialize<S: ser::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let state = self.0;
        let in_order = state.due.iter();
        serializer.collect_seq(in_order.map(|(_, key)| (key, &state.records[key])))
    }
}

impl Serialize for State {
    fn serialize<S: ser::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        (self.now, Records(self)).serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for State {
    fn deserialize<D: de::Deserializer<'de>>(deserializer: D) -> Result<State, D::Error> {
        type Image = (clock::Millis, Vec<(key::KeyId, Entry)>);
        let (now, records) = Image::deserialize(deserializer)?;
        let mut state = State {
            now,
            ..State::default()
        };
        for (key, entry) in records {
            if state.records.contains_key(&key) {
                let text = format!("snapshot holds key {key:?} twice");
                return Err(de::Error::custom(text));
            }
            state.put(key, entry);
        }
        Ok(state)
    }
}

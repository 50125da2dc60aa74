//! State of the ledger of one-time requests of a region.

use crate::command;
use crate::key;
use nutmegdale_base::clock;
use serde::{Deserialize, Serialize, de, ser};
use std::collections;
use std::sync;

/// Maximum number of records that one `Expire` command handles, which bounds the time for which it
/// delays claims.
pub const EXPIRE_MAX_COUNT: usize = 1_024;
/// Maximum duration of one attempt.
pub const RUN_MAX_MS: clock::Millis = clock::Millis(15 * 60 * 1_000);
/// Maximum time by which one `Expire` command advances the clock. Otherwise, the first command of a
/// leader that was paused for long would expire claims that were granted just before it.
pub const ELAPSED_MAX_MS: clock::Millis = clock::Millis(20_000);
/// Minimum retention time of an outcome. It exceeds [`ELAPSED_MAX_MS`], by which a claim may end
/// early, and the time between an entry process's check of its clock and its first byte to a
/// server, so that no attempt starts to send after its record expired.
pub const KEEP_MIN_MS: clock::Millis = clock::Millis(60_000);
/// Retention time of released attempts, during which a delayed claim of theirs is not granted.
pub const RELEASED_KEEP_MS: clock::Millis = clock::Millis(10 * 60 * 1_000);
/// Maximum number of fences per key, one for each boot. Once the fence of an attempt is evicted, a
/// claim that arrives after its release is granted although the claimant has given up, and becomes
/// unknown when it times out.
const FENCES_MAX_COUNT: usize = 8;

/// Limits of the ledger. They are part of the state machine, so all replicas must use the same.
///
/// With the defaults, a control process with a full ledger stays below 128 MB. The ledger occupies
/// memory about three times: as the state, in the newest snapshot and in the next one while it is
/// written.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Maximum number of records; claims of new keys are refused beyond it.
    pub records_max_count: usize,
    /// Maximum total size of the stored answers in bytes; only digests are stored beyond it.
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

/// Newest released attempt of a boot. Older attempts of the boot count as released too.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
struct Fence {
    boot: u64,
    attempt: u64,
}

/// Active claim, whose attempt may send until it times out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct ActiveClaim {
    entry: String,
    keep_ms: clock::Millis,
    fences: Vec<Fence>,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
enum Phase {
    Claimed(Box<ActiveClaim>),
    Released(Box<[Fence]>),
    Unknown,
    Answered(sync::Arc<command::Answer>),
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct StoredRecord {
    digest: key::Digest,
    boot: u64,
    attempt: u64,
    /// Time when an active claim times out or when a record with an outcome expires.
    due: clock::Millis,
    phase: Phase,
}

impl StoredRecord {
    fn belongs_to(&self, claimant: &command::Claimant) -> bool {
        self.boot == claimant.boot && self.attempt == claimant.attempt
    }

    fn answer_bytes(&self) -> usize {
        match &self.phase {
            Phase::Answered(answer) => answer.kept_bytes(),
            _ => 0,
        }
    }
}

/// Ledger of one-time requests.
///
/// Invariant: `deadlines` holds exactly one item for each record, at the record's `due` time.
#[derive(Debug, Clone, Default)]
pub struct State {
    bounds: Bounds,
    now: clock::Millis,
    records: collections::HashMap<key::KeyId, StoredRecord>,
    deadlines: collections::BTreeSet<(clock::Millis, key::KeyId)>,
    claimed_count: usize,
    answers_bytes: usize,
}

impl State {
    /// Creates an empty ledger.
    pub fn new(bounds: Bounds) -> State {
        State {
            bounds,
            ..State::default()
        }
    }

    /// Returns the total time counted by the `Expire` commands of all leaders.
    pub fn now(&self) -> clock::Millis {
        self.now
    }

    /// Returns the number of records.
    pub fn records_count(&self) -> usize {
        self.records.len()
    }

    /// Returns the number of active claims.
    pub fn claimed_count(&self) -> usize {
        self.claimed_count
    }

    /// Returns the total size of the stored answers in bytes.
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

    /// Returns the state of a key.
    pub fn lookup(&self, key: key::KeyId) -> command::Status {
        use command::Status;
        let Some(stored) = self.records.get(&key) else {
            return Status::Unclaimed;
        };
        match &stored.phase {
            Phase::Claimed(active) => Status::Pending(command::Claimant {
                entry: active.entry.clone(),
                boot: stored.boot,
                attempt: stored.attempt,
            }),
            Phase::Released(_) => Status::Released,
            Phase::Unknown => Status::Unknown,
            Phase::Answered(answer) => Status::Answered(sync::Arc::clone(answer)),
        }
    }

    fn claim(&mut self, claim: command::Claim) -> command::ClaimReply {
        use command::{ClaimReply, Status};
        let Some(stored) = self.records.get(&claim.key) else {
            if self.records.len() >= self.bounds.records_max_count {
                return ClaimReply::Full;
            }
            return self.grant(claim, Vec::new());
        };
        let is_same_attempt = stored.belongs_to(&claim.claimant);
        match &stored.phase {
            Phase::Released(fences) if is_fenced(fences, &claim.claimant) => ClaimReply::GivenUp,
            Phase::Released(fences) => {
                let fences = fences.to_vec();
                self.grant(claim, fences)
            }
            _ if stored.digest != claim.digest => ClaimReply::OtherRequest,
            Phase::Claimed(_) if is_same_attempt => ClaimReply::Granted,
            Phase::Claimed(active) => {
                // Names of entry processes are unique, so a claim from another boot of the same
                // name means that the process that held the claim is gone.
                if active.entry == claim.claimant.entry && stored.boot != claim.claimant.boot {
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
        let active = ActiveClaim {
            entry: claim.claimant.entry,
            keep_ms: claim.keep_ms.max(KEEP_MIN_MS),
            fences,
        };
        let stored = StoredRecord {
            digest: claim.digest,
            boot: claim.claimant.boot,
            attempt: claim.claimant.attempt,
            due: self.now + claim.run_ms.min(RUN_MAX_MS),
            phase: Phase::Claimed(Box::new(active)),
        };
        self.insert(claim.key, stored);
        command::ClaimReply::Granted
    }

    fn record(&mut self, record: command::Record) -> command::RecordReply {
        use command::RecordReply;
        let Some(stored) = self.records.get(&record.key) else {
            return RecordReply::NotHeld;
        };
        if !stored.belongs_to(&record.claimant) {
            return RecordReply::NotHeld;
        }
        match stored.phase {
            Phase::Claimed(_) | Phase::Unknown => {
                let answer = self.limit_size(record.answer);
                self.end_claim(record.key, Phase::Answered(sync::Arc::new(answer)));
                RecordReply::Recorded
            }
            Phase::Answered(_) => RecordReply::Recorded,
            Phase::Released(_) => RecordReply::NotHeld,
        }
    }

    fn limit_size(&self, mut answer: command::Answer) -> command::Answer {
        let exceeds_limits = matches!(&answer.body, command::Body::Kept(body)
            if body.len() > command::BODY_MAX_BYTES)
            || answer.headers_bytes() > command::HEADERS_MAX_BYTES
            || self.answers_bytes + answer.kept_bytes() > self.bounds.answers_max_bytes;
        if exceeds_limits {
            answer.reduce_to_digest();
        }
        answer
    }

    fn release(&mut self, release: &command::Release) -> command::ReleaseReply {
        use command::ReleaseReply;
        let fence = Fence {
            boot: release.claimant.boot,
            attempt: release.claimant.attempt,
        };
        let Some(stored) = self.records.get_mut(&release.key) else {
            if self.records.len() >= self.bounds.records_max_count {
                return ReleaseReply::Full;
            }
            self.insert_released(release.key, vec![fence]);
            return ReleaseReply::Released;
        };
        let is_same_attempt = stored.belongs_to(&release.claimant);
        match &mut stored.phase {
            Phase::Claimed(active) => {
                add_fence(&mut active.fences, fence);
                if is_same_attempt {
                    let fences = std::mem::take(&mut active.fences);
                    self.insert_released(release.key, fences);
                }
                ReleaseReply::Released
            }
            Phase::Released(fences) => {
                let mut fences = fences.to_vec();
                add_fence(&mut fences, fence);
                self.insert_released(release.key, fences);
                ReleaseReply::Released
            }
            Phase::Unknown | Phase::Answered(_) if is_same_attempt => ReleaseReply::TooLate,
            // The key can no longer be claimed, so the attempt will not be granted it.
            Phase::Unknown | Phase::Answered(_) => ReleaseReply::Released,
        }
    }

    fn insert_released(&mut self, key: key::KeyId, fences: Vec<Fence>) {
        let stored = StoredRecord {
            digest: key::Digest::of_body(&[]),
            boot: 0,
            attempt: 0,
            due: self.now + RELEASED_KEEP_MS,
            phase: Phase::Released(fences.into_boxed_slice()),
        };
        self.insert(key, stored);
    }

    fn mark_unknown(&mut self, mark: &command::MarkUnknown) {
        let is_held = self.records.get(&mark.key).is_some_and(|stored| {
            stored.belongs_to(&mark.claimant) && matches!(stored.phase, Phase::Claimed(_))
        });
        if is_held {
            self.end_claim(mark.key, Phase::Unknown);
        }
    }

    /// Stores the outcome of an attempt. The retention time of a claimed record starts now.
    fn end_claim(&mut self, key: key::KeyId, phase: Phase) {
        let Some(mut stored) = self.remove(key) else {
            return;
        };
        if let Phase::Claimed(active) = &stored.phase {
            stored.due = self.now + active.keep_ms;
        }
        stored.phase = phase;
        self.insert(key, stored);
    }

    fn expire(&mut self, elapsed: clock::Millis) -> bool {
        self.now = self.now + elapsed.min(ELAPSED_MAX_MS);
        for _ in 0..EXPIRE_MAX_COUNT {
            let Some((due, key)) = self.deadlines.first().copied() else {
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
        self.deadlines
            .first()
            .is_some_and(|(due, _)| *due <= self.now)
    }

    fn insert(&mut self, key: key::KeyId, stored: StoredRecord) {
        self.remove(key);
        self.answers_bytes += stored.answer_bytes();
        self.claimed_count += usize::from(matches!(stored.phase, Phase::Claimed(_)));
        self.deadlines.insert((stored.due, key));
        self.records.insert(key, stored);
    }

    fn remove(&mut self, key: key::KeyId) -> Option<StoredRecord> {
        let stored = self.records.remove(&key)?;
        self.answers_bytes -= stored.answer_bytes();
        self.claimed_count -= usize::from(matches!(stored.phase, Phase::Claimed(_)));
        self.deadlines.remove(&(stored.due, key));
        Some(stored)
    }
}

fn is_fenced(fences: &[Fence], claimant: &command::Claimant) -> bool {
    let covers_attempt = |f: &Fence| f.boot == claimant.boot && claimant.attempt <= f.attempt;
    fences.iter().any(covers_attempt)
}

fn add_fence(fences: &mut Vec<Fence>, fence: Fence) {
    if let Some(known) = fences.iter_mut().find(|f| f.boot == fence.boot) {
        known.attempt = known.attempt.max(fence.attempt);
        return;
    }
    if fences.len() >= FENCES_MAX_COUNT {
        fences.remove(0);
    }
    fences.push(fence);
}

/// Serializes the records in the order of their deadlines, so that replicas with equal states
/// write equal snapshots.
struct Records<'a>(&'a State);

impl Serialize for Records<'_> {
    fn serialize<S: ser::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let state = self.0;
        let ordered = state.deadlines.iter();
        serializer.collect_seq(ordered.map(|(_, key)| (key, &state.records[key])))
    }
}

impl Serialize for State {
    fn serialize<S: ser::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        (self.now, Records(self)).serialize(serializer)
    }
}

impl<'de> Deserialize<'de> for State {
    fn deserialize<D: de::Deserializer<'de>>(deserializer: D) -> Result<State, D::Error> {
        type Snapshot = (clock::Millis, Vec<(key::KeyId, StoredRecord)>);
        let (now, records) = Snapshot::deserialize(deserializer)?;
        let mut state = State {
            now,
            ..State::default()
        };
        for (key, stored) in records {
            if state.records.contains_key(&key) {
                let message = format!("snapshot contains key {key:?} twice");
                return Err(de::Error::custom(message));
            }
            state.insert(key, stored);
        }
        Ok(state)
    }
}

//! Recovery of the log and the newest snapshot from a folder.

use crate::disk;
use crate::error;
use crate::frame;
use crate::record;
use crate::snapshot;
use crate::synced;

/// Log entry read from disk.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredEntry {
    /// Index in the log.
    pub index: u64,
    /// Term in which a leader appended the entry.
    pub term: u64,
    /// Encoded content.
    pub body: Vec<u8>,
}

/// Snapshot read from disk.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredSnapshot {
    /// Index of the last entry that it covers.
    pub index: u64,
    /// Term of that entry.
    pub term: u64,
    /// Encoded content.
    pub body: Vec<u8>,
}

/// State of a replica recovered from its folder.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Recovered {
    /// Identity of the replica.
    pub identity: record::Identity,
    /// Last stored hard state.
    pub hard_state: record::HardState,
    /// Newest snapshot, if one was stored.
    pub snapshot: Option<StoredSnapshot>,
    /// Entries after the snapshot, without gaps.
    pub entries: Vec<StoredEntry>,
    /// Bytes of the torn tail that were dropped; none of them was acknowledged.
    pub torn_bytes: u64,
}

/// Segment of the log with at least a complete header.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Segment {
    pub(crate) number: u64,
    pub(crate) base_index: u64,
    pub(crate) len_bytes: u64,
}

/// Result of reading a folder that holds a replica.
#[derive(Debug)]
pub(crate) struct Scan {
    pub(crate) recovered: Recovered,
    pub(crate) segments: Vec<Segment>,
    pub(crate) last_entry: record::EntryId,
    /// Whether a received snapshot replaces the log, so that a reset segment must be started.
    pub(crate) is_log_superseded: bool,
}

pub(crate) fn segment_name(number: u64) -> String {
    format!("log-{number:016}")
}

fn segment_number(name: &str) -> Option<u64> {
    name.strip_prefix("log-")?.parse().ok()
}

/// Reads a folder. Returns `None` if the creation of a replica in it was never completed.
pub(crate) fn read(disk: &dyn disk::Disk) -> error::Result<Option<Scan>> {
    let names = disk.list().map_err(error::Error::io(".", "list"))?;
    let mut numbers: Vec<u64> = names.iter().filter_map(|n| segment_number(n)).collect();
    numbers.sort_unstable();
    let Some(synced) = read_synced_position(disk, &names, &numbers)? else {
        return Ok(None);
    };
    let snapshot = snapshot::read_newest(disk, &names)?;
    check_segment_numbers(&numbers, synced)?;
    let mut replay = Replay::default();
    for number in &numbers {
        let is_last = Some(number) == numbers.last();
        let durable_bytes = match is_last {
            true if *number == synced.segment => synced.offset,
            // The newest segment was created after the synced position was written.
            true => 0,
            false => u64::MAX,
        };
        replay.replay_segment(disk, *number, durable_bytes)?;
    }
    if replay.segments.is_empty() {
        return Ok(None);
    }
    replay.finish(snapshot).map(Some)
}

fn read_synced_position(
    disk: &dyn disk::Disk,
    names: &[String],
    numbers: &[u64],
) -> error::Result<Option<synced::Position>> {
    if names.iter().any(|name| name == synced::FILE_NAME) {
        return synced::Synced::read(disk).map(Some);
    }
    let is_replica_file =
        |name: &String| segment_number(name).is_some() || snapshot::is_file_name(name);
    match names.iter().find(|name| is_replica_file(name)) {
        Some(name) => Err(error::Error::corrupt(
            synced::FILE_NAME,
            0,
            format!("the file to exist because {name} does"),
            format!("no such file, but {} segments", numbers.len()),
        )),
        None => Ok(None),
    }
}

fn check_segment_numbers(numbers: &[u64], synced: synced::Position) -> error::Result<()> {
    for pair in numbers.windows(2) {
        if pair[1] != pair[0] + 1 {
            let file = segment_name(pair[0] + 1);
            let found = format!("{} next", segment_name(pair[1]));
            return Err(error::Error::corrupt(&file, 0, "the file to exist", found));
        }
    }
    let last = numbers.last().copied().unwrap_or(0);
    let has_records = synced.segment > 1 || synced.offset > 0;
    if has_records && last < synced.segment {
        let file = segment_name(synced.segment);
        let found = "no such file";
        return Err(error::Error::corrupt(&file, 0, "the file to exist", found));
    }
    Ok(())
}

/// State of the log while its records are replayed.
#[derive(Debug, Default)]
struct Replay {
    identity: Option<record::Identity>,
    hard_state: record::HardState,
    base: record::EntryId,
    entries: Vec<StoredEntry>,
    segments: Vec<Segment>,
    torn_bytes: u64,
}

impl Replay {
    fn last_entry(&self) -> record::EntryId {
        let last_entry = self.entries.last().map(|e| record::EntryId {
            index: e.index,
            term: e.term,
        });
        last_entry.unwrap_or(self.base)
    }

    /// Replays a segment; an unreadable record at or after `durable_bytes` starts a torn tail.
    /// `u64::MAX` stands for an earlier segment, which has no torn tail.
    fn replay_segment(
        &mut self,
        disk: &dyn disk::Disk,
        number: u64,
        durable_bytes: u64,
    ) -> error::Result<()> {
        let name = segment_name(number);
        let content = disk.read(&name).map_err(error::Error::io(&name, "read"))?;
        let base_index = self.last_entry().index;
        let mut offset = 0;
        loop {
            match frame::read(&content, number, offset) {
                frame::ReadResult::Payload(payload) => {
                    self.apply_record(&name, offset, payload)?;
                    offset += frame::HEADER_BYTES + payload.len();
                }
                frame::ReadResult::End
                    if durable_bytes == u64::MAX || offset as u64 >= durable_bytes =>
                {
                    break;
                }
                frame::ReadResult::End => {
                    let expected = format!("{durable_bytes} synced bytes");
                    let found = "the end of the file";
                    return Err(error::Error::corrupt(&name, offset as u64, expected, found));
                }
                frame::ReadResult::Damaged { .. } if offset as u64 >= durable_bytes => {
                    self.torn_bytes += (content.len() - offset) as u64;
                    break;
                }
                frame::ReadResult::Damaged { expected, found } => {
                    return Err(error::Error::corrupt(&name, offset as u64, expected, found));
                }
            }
        }
        // A segment whose header is torn was never used.
        if offset > 0 {
            self.segments.push(Segment {
                number,
                base_index,
                len_bytes: offset as u64,
            });
        }
        Ok(())
    }

    fn apply_record(&mut self, name: &str, offset: usize, payload: &[u8]) -> error::Result<()> {
        let corrupt = |expected: String, found: String| {
            Err(error::Error::corrupt(name, offset as u64, expected, found))
        };
        let is_first = offset == 0;
        match record::Record::decode(payload) {
            Some(record::Record::Header(header)) if is_first => self.apply_header(name, header),
            Some(record::Record::HardState(state)) if !is_first => {
                self.hard_state = state;
                Ok(())
            }
            Some(record::Record::Entry(entry)) if !is_first => {
                let (base, last) = (self.base.index, self.last_entry().index);
                if entry.index <= base || entry.index > last + 1 {
                    let expected = format!("an entry from {} to {}", base + 1, last + 1);
                    return corrupt(expected, format!("entry {}", entry.index));
                }
                let kept_count = entry.index - base - 1;
                self.entries.truncate(kept_count as usize);
                self.entries.push(StoredEntry {
                    index: entry.index,
                    term: entry.term,
                    body: entry.body.to_vec(),
                });
                Ok(())
            }
            _ => corrupt(
                "a record of this format version that is valid at this offset".to_owned(),
                format!("record kind {:?}", payload.first()),
            ),
        }
    }

    fn apply_header(&mut self, name: &str, header: record::Header) -> error::Result<()> {
        if let Some(identity) = self.identity
            && identity != header.identity
        {
            let expected = format!("replica {:016x}", identity.id);
            let found = format!("replica {:016x}", header.identity.id);
            return Err(error::Error::corrupt(name, 0, expected, found));
        }
        let is_first = self.identity.is_none();
        if header.is_reset || is_first {
            self.entries.clear();
            self.base = header.base;
        } else if header.base != self.last_entry() {
            let expected = format!("the log to continue after {:?}", self.last_entry());
            let found = format!("{:?}", header.base);
            return Err(error::Error::corrupt(name, 0, expected, found));
        }
        self.identity = Some(header.identity);
        self.hard_state = header.hard_state;
        Ok(())
    }

    fn finish(mut self, snapshot: Option<StoredSnapshot>) -> error::Result<Scan> {
        let snapshot_index = snapshot.as_ref().map_or(0, |s| s.index);
        if snapshot_index < self.base.index {
            let file = self.segments.first().map_or(1, |s| s.number);
            let expected = format!("a snapshot up to entry {} or later", self.base.index);
            let found = format!("a snapshot up to entry {snapshot_index}");
            let file = segment_name(file);
            return Err(error::Error::corrupt(&file, 0, expected, found));
        }
        let is_log_superseded = snapshot
            .as_ref()
            .is_some_and(|s| !self.contains_last_entry_of(s));
        if is_log_superseded {
            self.entries.clear();
        }
        self.entries.retain(|e| e.index > snapshot_index);
        let mut last_entry = self.last_entry();
        if let Some(snapshot) = &snapshot
            && self.entries.is_empty()
        {
            last_entry = record::EntryId {
                index: snapshot.index,
                term: snapshot.term,
            };
        }
        let identity = self.identity.expect("a segment was read");
        Ok(Scan {
            recovered: Recovered {
                identity,
                hard_state: self.hard_state,
                snapshot,
                entries: self.entries,
                torn_bytes: self.torn_bytes,
            },
            segments: self.segments,
            last_entry,
            is_log_superseded,
        })
    }

    /// Returns whether the log contains the last entry that the snapshot covers. If not, the
    /// process stopped after it stored a received snapshot and before it reset the log.
    fn contains_last_entry_of(&self, snapshot: &StoredSnapshot) -> bool {
        let last_covered = record::EntryId {
            index: snapshot.index,
            term: snapshot.term,
        };
        let is_last_covered =
            |e: &StoredEntry| (e.index, e.term) == (last_covered.index, last_covered.term);
        self.base == last_covered || self.entries.iter().any(is_last_covered)
    }
}

//! Reading back what a folder holds.

use crate::disk;
use crate::error;
use crate::frame;
use crate::record;
use crate::snapshot;
use crate::synced;

/// Entry read back.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredEntry {
    /// Position.
    pub index: u64,
    /// Term.
    pub term: u64,
    /// Encoded content.
    pub body: Vec<u8>,
}

/// Snapshot read back.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StoredSnapshot {
    /// Last index that it covers.
    pub index: u64,
    /// Term of that index.
    pub term: u64,
    /// Encoded content.
    pub body: Vec<u8>,
}

/// Everything that a folder holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Recovered {
    /// Who the replica is.
    pub identity: record::Identity,
    /// Term and vote.
    pub hard_state: record::HardState,
    /// Newest snapshot.
    pub snapshot: Option<StoredSnapshot>,
    /// Entries after the snapshot, without gaps.
    pub entries: Vec<StoredEntry>,
    /// Bytes cut off as a torn tail; none of them was acknowledged.
    pub torn_bytes: u64,
}

/// Segment that was read.
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
    pub(crate) last: record::Mark,
    /// Whether entries of the log were replaced by the snapshot, so that the log must start anew.
    pub(crate) is_replaced: bool,
}

pub(crate) fn segment_name(number: u64) -> String {
    format!("log-{number:016}")
}

fn segment_number(name: &str) -> Option<u64> {
    name.strip_prefix("log-")?.parse().ok()
}

/// Returns what a folder holds, or `None` if no replica was created in it completely.
pub(crate) fn read(disk: &dyn disk::Disk) -> error::Result<Option<Scan>> {
    let names = disk.list().map_err(error::Error::io(".", "list"))?;
    let mut numbers: Vec<u64> = names.iter().filter_map(|n| segment_number(n)).collect();
    numbers.sort_unstable();
    let Some(place) = find_place(disk, &names, &numbers)? else {
        return Ok(None);
    };
    let snapshot = snapshot::read_newest(disk, &names)?;
    check_numbers(&numbers, place)?;
    let mut replay = Replay::default();
    for number in &numbers {
        let is_last = Some(number) == numbers.last();
        let whole_bytes = match is_last {
            true if *number == place.segment => place.offset,
            // The newest segment was begun after the place was written.
            true => 0,
            false => u64::MAX,
        };
        replay.segment(disk, *number, whole_bytes)?;
    }
    if replay.segments.is_empty() {
        return Ok(None);
    }
    replay.finish(snapshot).map(Some)
}

fn find_place(
    disk: &dyn disk::Disk,
    names: &[String],
    numbers: &[u64],
) -> error::Result<Option<synced::Place>> {
    if names.iter().any(|name| name == synced::NAME) {
        return synced::Synced::read(disk).map(Some);
    }
    let is_used = |name: &String| segment_number(name).is_some() || snapshot::is_name(name);
    match names.iter().find(|name| is_used(name)) {
        Some(name) => Err(error::Error::corrupt(
            synced::NAME,
            0,
            format!("the file to exist beside {name}"),
            format!("no such file beside {} segments", numbers.len()),
        )),
        None => Ok(None),
    }
}

fn check_numbers(numbers: &[u64], place: synced::Place) -> error::Result<()> {
    for pair in numbers.windows(2) {
        if pair[1] != pair[0] + 1 {
            let file = segment_name(pair[0] + 1);
            let found = format!("{} next", segment_name(pair[1]));
            return Err(error::Error::corrupt(&file, 0, "the file to exist", found));
        }
    }
    let last = numbers.last().copied().unwrap_or(0);
    let is_begun = place.segment > 1 || place.offset > 0;
    if is_begun && last < place.segment {
        let file = segment_name(place.segment);
        let found = "no such file";
        return Err(error::Error::corrupt(&file, 0, "the file to exist", found));
    }
    Ok(())
}

/// Log as it is rebuilt record by record.
#[derive(Debug, Default)]
struct Replay {
    identity: Option<record::Identity>,
    hard_state: record::HardState,
    base: record::Mark,
    entries: Vec<StoredEntry>,
    segments: Vec<Segment>,
    torn_bytes: u64,
}

impl Replay {
    fn last(&self) -> record::Mark {
        let last = self.entries.last().map(|e| record::Mark {
            index: e.index,
            term: e.term,
        });
        last.unwrap_or(self.base)
    }

    /// Replays a segment; what cannot be read at or after `whole_bytes` is a torn tail.
    fn segment(
        &mut self,
        disk: &dyn disk::Disk,
        number: u64,
        whole_bytes: u64,
    ) -> error::Result<()> {
        let name = segment_name(number);
        let content = disk.read(&name).map_err(error::Error::io(&name, "read"))?;
        let base_index = self.last().index;
        let mut offset = 0;
        loop {
            match frame::read(&content, number, offset) {
                frame::Read::Payload(payload) => {
                    self.record(&name, offset, payload)?;
                    offset += frame::HEAD_BYTES + payload.len();
                }
                frame::Read::End if whole_bytes == u64::MAX || offset as u64 >= whole_bytes => {
                    break;
                }
                frame::Read::End => {
                    let expected = format!("{whole_bytes} bytes, which were synced");
                    let found = "the end of the file";
                    return Err(error::Error::corrupt(&name, offset as u64, expected, found));
                }
                frame::Read::Damaged { .. } if offset as u64 >= whole_bytes => {
                    self.torn_bytes += (content.len() - offset) as u64;
                    break;
                }
                frame::Read::Damaged { expected, found } => {
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

    fn record(&mut self, name: &str, offset: usize, payload: &[u8]) -> error::Result<()> {
        let wrong = |expected: String, found: String| {
            Err(error::Error::corrupt(name, offset as u64, expected, found))
        };
        let is_first = offset == 0;
        match record::Record::decode(payload) {
            Some(record::Record::Header(header)) if is_first => self.header(name, header),
            Some(record::Record::HardState(state)) if !is_first => {
                self.hard_state = state;
                Ok(())
            }
            Some(record::Record::Entry(entry)) if !is_first => {
                let (base, last) = (self.base.index, self.last().index);
                if entry.index <= base || entry.index > last + 1 {
                    let expected = format!("an entry from {} to {}", base + 1, last + 1);
                    return wrong(expected, format!("entry {}", entry.index));
                }
                let kept = entry.index - base - 1;
                self.entries.truncate(kept as usize);
                self.entries.push(StoredEntry {
                    index: entry.index,
                    term: entry.term,
                    body: entry.body.to_vec(),
                });
                Ok(())
            }
            _ => wrong(
                "a record of this version at this place".to_owned(),
                format!("kind {:?}", payload.first()),
            ),
        }
    }

    fn header(&mut self, name: &str, header: record::Header) -> error::Result<()> {
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
        } else if header.base != self.last() {
            let expected = format!("the log to go on after {:?}", self.last());
            let found = format!("{:?}", header.base);
            return Err(error::Error::corrupt(name, 0, expected, found));
        }
        self.identity = Some(header.identity);
        self.hard_state = header.hard_state;
        Ok(())
    }

    fn finish(mut self, snapshot: Option<StoredSnapshot>) -> error::Result<Scan> {
        let covered = snapshot.as_ref().map_or(0, |s| s.index);
        if covered < self.base.index {
            let file = self.segments.first().map_or(1, |s| s.number);
            let expected = format!("a snapshot up to entry {} or later", self.base.index);
            let found = format!("one up to entry {covered}");
            let file = segment_name(file);
            return Err(error::Error::corrupt(&file, 0, expected, found));
        }
        let is_replaced = snapshot.as_ref().is_some_and(|s| !self.holds(s));
        if is_replaced {
            self.entries.clear();
        }
        self.entries.retain(|e| e.index > covered);
        let mut last = self.last();
        if let Some(snapshot) = &snapshot
            && self.entries.is_empty()
        {
            last = record::Mark {
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
            last,
            is_replaced,
        })
    }

    /// Returns whether the log holds the last entry that the snapshot covers. If not, the process
    /// ended between the two steps of taking a received snapshot in the log's place.
    fn holds(&self, snapshot: &StoredSnapshot) -> bool {
        let mark = record::Mark {
            index: snapshot.index,
            term: snapshot.term,
        };
        let is_held = |e: &StoredEntry| (e.index, e.term) == (mark.index, mark.term);
        self.base == mark || self.entries.iter().any(is_held)
    }
}

//! The log and the snapshots of one replica.

use crate::disk;
use crate::error;
use crate::frame;
use crate::record;
use crate::recovery;
use crate::snapshot;
use crate::synced;

pub use crate::record::{Entry, HardState, Identity};
pub use crate::recovery::{Recovered, StoredEntry, StoredSnapshot};

/// Bounds of a store.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Size at which a segment is closed.
    pub segment_max_bytes: u64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            segment_max_bytes: 8 * 1024 * 1024,
        }
    }
}

/// Store of one replica.
///
/// Invariants: what [`Store::sync`] returned for is read back by every later [`Store::open`], or
/// that one fails; after the first error nothing more is stored.
#[allow(missing_debug_implementations)] // Holds trait objects.
pub struct Store {
    disk: Box<dyn disk::Disk>,
    limits: Limits,
    identity: record::Identity,
    hard_state: record::HardState,
    synced: synced::Synced,
    file: Box<dyn disk::DiskFile>,
    segments: Vec<recovery::Segment>,
    last: record::Mark,
    buf: Vec<u8>,
    payload: Vec<u8>,
    is_failed: bool,
}

impl Store {
    /// Creates a replica in a folder that holds none.
    ///
    /// # Errors
    ///
    /// Fails if the disk does.
    pub fn create(
        disk: Box<dyn disk::Disk>,
        limits: Limits,
        identity: Identity,
    ) -> error::Result<Store> {
        let synced = synced::Synced::create(disk.as_ref())?;
        let header = record::Header {
            identity,
            base: record::Mark::default(),
            is_reset: false,
            hard_state: record::HardState::default(),
        };
        let (file, segment) = write_segment(disk.as_ref(), 1, header)?;
        let mut store = Store {
            disk,
            limits,
            identity,
            hard_state: record::HardState::default(),
            synced,
            file,
            segments: vec![segment],
            last: record::Mark::default(),
            buf: Vec::new(),
            payload: Vec::new(),
            is_failed: false,
        };
        store.mark()?;
        store.synced.sync()?;
        Ok(store)
    }

    /// Opens the replica of a folder; hands the disk back if the folder holds none.
    ///
    /// # Errors
    ///
    /// Fails if the disk does, or if something that was synced cannot be read back.
    pub fn open(disk: Box<dyn disk::Disk>, limits: Limits) -> error::Result<Opened> {
        let Some(scan) = recovery::read(disk.as_ref())? else {
            return Ok(Opened::Blank(disk));
        };
        let current = *scan.segments.last().expect("a replica has a segment");
        remove_unused(disk.as_ref(), current.number)?;
        let name = recovery::segment_name(current.number);
        let failed = error::Error::io;
        let mut file = disk.open(&name).map_err(failed(&name, "open"))?;
        file.truncate(current.len_bytes)
            .map_err(failed(&name, "truncate"))?;
        // Records that a killed process wrote but did not sync are counted from here on.
        file.sync().map_err(failed(&name, "sync"))?;
        disk.sync_folder().map_err(failed(".", "sync of folder"))?;
        let mut store = Store {
            synced: synced::Synced::open(disk.as_ref())?,
            disk,
            limits,
            identity: scan.recovered.identity,
            hard_state: scan.recovered.hard_state,
            file,
            segments: scan.segments,
            last: scan.last,
            buf: Vec::new(),
            payload: Vec::new(),
            is_failed: false,
        };
        store.mark()?;
        if scan.is_replaced {
            store.begin_segment(true)?;
        }
        Ok(Opened::Replica(Box::new(store), scan.recovered))
    }

    /// Returns who the replica is.
    pub fn identity(&self) -> Identity {
        self.identity
    }

    /// Adds a new term and vote, and entries, to the batch that the next [`Store::sync`] stores.
    /// Each entry replaces every entry from its index on.
    pub fn append<'a>(
        &mut self,
        hard_state: Option<HardState>,
        entries: impl IntoIterator<Item = Entry<'a>>,
    ) {
        if let Some(state) = hard_state {
            self.hard_state = state;
            self.push(&record::Record::HardState(state));
        }
        for entry in entries {
            self.last = record::Mark {
                index: entry.index,
                term: entry.term,
            };
            self.push(&record::Record::Entry(entry));
        }
    }

    fn push(&mut self, record: &record::Record<'_>) {
        let current = self.current();
        record.encode(&mut self.payload);
        frame::push(
            &mut self.buf,
            current.number,
            current.len_bytes,
            &self.payload,
        );
    }

    fn current(&self) -> recovery::Segment {
        *self.segments.last().expect("a replica has a segment")
    }

    /// Makes everything appended durable with one sync.
    ///
    /// # Errors
    ///
    /// Fails if the disk does; the error is final, and what was appended counts as not stored.
    pub fn sync(&mut self) -> error::Result<()> {
        self.guarded(Store::sync_batch)
    }

    /// Stores a snapshot of this replica's own state and drops the segments that it covers.
    ///
    /// # Errors
    ///
    /// Fails if the disk does; the error is final.
    pub fn save_snapshot(&mut self, index: u64, term: u64, body: &[u8]) -> error::Result<()> {
        self.guarded(|store| {
            store.sync_batch()?;
            snapshot::write(store.disk.as_ref(), index, term, body)?;
            store.begin_segment(false)?;
            store.drop_covered(index)
        })
    }

    /// Stores a received snapshot in the place of the whole log. Entries appended but not synced
    /// are dropped too.
    ///
    /// # Errors
    ///
    /// Fails if the disk does; the error is final.
    pub fn install_snapshot(&mut self, index: u64, term: u64, body: &[u8]) -> error::Result<()> {
        self.guarded(|store| {
            store.buf.clear();
            snapshot::write(store.disk.as_ref(), index, term, body)?;
            store.last = record::Mark { index, term };
            store.begin_segment(true)?;
            store.drop_covered(index)
        })
    }

    fn guarded(
        &mut self,
        action: impl FnOnce(&mut Store) -> error::Result<()>,
    ) -> error::Result<()> {
        if self.is_failed {
            return Err(error::Error::Failed);
        }
        let result = action(self);
        self.is_failed = result.is_err();
        result
    }

    fn sync_batch(&mut self) -> error::Result<()> {
        if self.buf.is_empty() {
            return Ok(());
        }
        let current = self.segments.last_mut().expect("a replica has a segment");
        let name = recovery::segment_name(current.number);
        let failed = error::Error::io;
        let written = self.file.write_at(current.len_bytes, &self.buf);
        written.map_err(failed(&name, "write"))?;
        self.file.sync().map_err(failed(&name, "sync"))?;
        current.len_bytes += self.buf.len() as u64;
        let is_full = current.len_bytes >= self.limits.segment_max_bytes;
        self.buf.clear();
        self.mark()?;
        if is_full {
            self.begin_segment(false)?;
        }
        Ok(())
    }

    fn mark(&mut self) -> error::Result<()> {
        let current = self.current();
        self.synced.write(synced::Place {
            segment: current.number,
            offset: current.len_bytes,
        })
    }

    fn begin_segment(&mut self, is_reset: bool) -> error::Result<()> {
        let header = record::Header {
            identity: self.identity,
            base: self.last,
            is_reset,
            hard_state: self.hard_state,
        };
        let number = self.current().number + 1;
        let (file, segment) = write_segment(self.disk.as_ref(), number, header)?;
        self.file = file;
        self.segments.push(segment);
        self.mark()?;
        self.synced.sync()
    }

    /// Removes segments of which every entry is covered, oldest first so that no gap can appear.
    fn drop_covered(&mut self, index: u64) -> error::Result<()> {
        while let [first, second, ..] = self.segments[..]
            && second.base_index <= index
        {
            let name = recovery::segment_name(first.number);
            let removed = self.disk.remove(&name);
            removed.map_err(error::Error::io(&name, "remove"))?;
            self.segments.remove(0);
            // Each removal is durable before the next one, so a crash leaves no gap either.
            self.sync_folder()?;
        }
        snapshot::remove_older(self.disk.as_ref(), index)?;
        self.sync_folder()
    }

    fn sync_folder(&self) -> error::Result<()> {
        let synced = self.disk.sync_folder();
        synced.map_err(error::Error::io(".", "sync of folder"))
    }
}

/// Result of [`Store::open`].
#[allow(missing_debug_implementations)] // Holds trait objects.
pub enum Opened {
    /// The folder holds no replica.
    Blank(Box<dyn disk::Disk>),
    /// The replica and what it holds.
    Replica(Box<Store>, Recovered),
}

fn write_segment(
    disk: &dyn disk::Disk,
    number: u64,
    header: record::Header,
) -> error::Result<(Box<dyn disk::DiskFile>, recovery::Segment)> {
    let name = recovery::segment_name(number);
    let (mut payload, mut buf) = (Vec::new(), Vec::new());
    record::Record::Header(header).encode(&mut payload);
    frame::push(&mut buf, number, 0, &payload);
    let failed = error::Error::io;
    let mut file = disk.open(&name).map_err(failed(&name, "create"))?;
    file.truncate(0).map_err(failed(&name, "truncate"))?;
    file.write_at(0, &buf).map_err(failed(&name, "write"))?;
    file.sync().map_err(failed(&name, "sync"))?;
    disk.sync_folder()
        .map_err(failed(&name, "sync of folder"))?;
    let segment = recovery::Segment {
        number,
        base_index: header.base.index,
        len_bytes: buf.len() as u64,
    };
    Ok((file, segment))
}

/// Removes what a crash left half done: temporary files and a segment without a whole header.
fn remove_unused(disk: &dyn disk::Disk, current: u64) -> error::Result<()> {
    let names = disk.list().map_err(error::Error::io(".", "list"))?;
    let unused = recovery::segment_name(current + 1);
    for name in names {
        if name == unused || name.ends_with(".tmp") {
            let removed = disk.remove(&name);
            removed.map_err(error::Error::io(&name, "remove"))?;
        }
    }
    Ok(())
}

//! Store of one replica's log and snapshots.

use crate::disk;
use crate::error;
use crate::frame;
use crate::record;
use crate::recovery;
use crate::snapshot;
use crate::synced;

pub use crate::record::{Entry, HardState, Identity};
pub use crate::recovery::{Recovered, StoredEntry, StoredSnapshot};

/// Limits of a store.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Size at which a segment is closed and the next one is created.
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
/// Invariants: a later [`Store::open`] either recovers everything that a successful [`Store::sync`]
/// covered, or fails; after the first error the store accepts no more writes.
#[allow(missing_debug_implementations)] // Holds trait objects.
pub struct Store {
    disk: Box<dyn disk::Disk>,
    limits: Limits,
    identity: record::Identity,
    hard_state: record::HardState,
    synced: synced::Synced,
    file: Box<dyn disk::DiskFile>,
    segments: Vec<recovery::Segment>,
    last_entry: record::EntryId,
    buf: Vec<u8>,
    payload: Vec<u8>,
    is_failed: bool,
}

impl Store {
    /// Creates a store for a new replica in a folder without one.
    ///
    /// # Errors
    ///
    /// Fails if a disk operation fails.
    pub fn create(
        disk: Box<dyn disk::Disk>,
        limits: Limits,
        identity: Identity,
    ) -> error::Result<Store> {
        let synced = synced::Synced::create(disk.as_ref())?;
        let header = record::Header {
            identity,
            base: record::EntryId::default(),
            is_reset: false,
            hard_state: record::HardState::default(),
        };
        let (file, segment) = create_segment(disk.as_ref(), 1, header)?;
        let mut store = Store {
            disk,
            limits,
            identity,
            hard_state: record::HardState::default(),
            synced,
            file,
            segments: vec![segment],
            last_entry: record::EntryId::default(),
            buf: Vec::new(),
            payload: Vec::new(),
            is_failed: false,
        };
        store.write_synced_position()?;
        store.synced.sync()?;
        Ok(store)
    }

    /// Opens the store of the replica in a folder; returns the disk if the folder holds no replica.
    ///
    /// # Errors
    ///
    /// Fails if a disk operation fails or if data that was synced cannot be read back.
    pub fn open(disk: Box<dyn disk::Disk>, limits: Limits) -> error::Result<Opened> {
        let Some(scan) = recovery::read(disk.as_ref())? else {
            return Ok(Opened::Blank(disk));
        };
        let current = *scan.segments.last().expect("a replica has a segment");
        remove_incomplete_files(disk.as_ref(), current.number)?;
        let name = recovery::segment_name(current.number);
        let io_error = error::Error::io;
        let mut file = disk.open(&name).map_err(io_error(&name, "open"))?;
        file.truncate(current.len_bytes)
            .map_err(io_error(&name, "truncate"))?;
        // A killed process may have written records without syncing them. They were recovered, so
        // they must be durable before the synced position moves past them.
        file.sync().map_err(io_error(&name, "sync"))?;
        disk.sync_folder()
            .map_err(io_error(".", "sync of folder"))?;
        let mut store = Store {
            synced: synced::Synced::open(disk.as_ref())?,
            disk,
            limits,
            identity: scan.recovered.identity,
            hard_state: scan.recovered.hard_state,
            file,
            segments: scan.segments,
            last_entry: scan.last_entry,
            buf: Vec::new(),
            payload: Vec::new(),
            is_failed: false,
        };
        store.write_synced_position()?;
        if scan.is_log_superseded {
            store.start_segment(true)?;
        }
        Ok(Opened::Replica(Box::new(store), scan.recovered))
    }

    /// Returns the identity of the replica.
    pub fn identity(&self) -> Identity {
        self.identity
    }

    /// Adds a changed hard state and entries to the batch that the next [`Store::sync`] writes. An
    /// entry replaces all stored entries with the same or a higher index.
    pub fn append<'a>(
        &mut self,
        hard_state: Option<HardState>,
        entries: impl IntoIterator<Item = Entry<'a>>,
    ) {
        if let Some(state) = hard_state {
            self.hard_state = state;
            self.push_record(&record::Record::HardState(state));
        }
        for entry in entries {
            self.last_entry = record::EntryId {
                index: entry.index,
                term: entry.term,
            };
            self.push_record(&record::Record::Entry(entry));
        }
    }

    fn push_record(&mut self, record: &record::Record<'_>) {
        let current = self.current_segment();
        record.encode(&mut self.payload);
        frame::push(
            &mut self.buf,
            current.number,
            current.len_bytes,
            &self.payload,
        );
    }

    fn current_segment(&self) -> recovery::Segment {
        *self.segments.last().expect("a replica has a segment")
    }

    /// Writes the appended batch and makes it durable with one sync.
    ///
    /// # Errors
    ///
    /// Fails if a disk operation fails; the error is final, and the batch counts as not stored.
    pub fn sync(&mut self) -> error::Result<()> {
        self.run_unless_failed(Store::sync_batch)
    }

    /// Stores a snapshot of this replica's own state and removes the segments that it covers.
    ///
    /// # Errors
    ///
    /// Fails if a disk operation fails; the error is final.
    pub fn save_snapshot(&mut self, index: u64, term: u64, body: &[u8]) -> error::Result<()> {
        self.run_unless_failed(|store| {
            store.sync_batch()?;
            snapshot::write(store.disk.as_ref(), index, term, body)?;
            store.start_segment(false)?;
            store.remove_covered(index)
        })
    }

    /// Replaces the whole log by a received snapshot. Entries appended but not synced are dropped
    /// too.
    ///
    /// # Errors
    ///
    /// Fails if a disk operation fails; the error is final.
    pub fn install_snapshot(&mut self, index: u64, term: u64, body: &[u8]) -> error::Result<()> {
        self.run_unless_failed(|store| {
            store.buf.clear();
            snapshot::write(store.disk.as_ref(), index, term, body)?;
            store.last_entry = record::EntryId { index, term };
            store.start_segment(true)?;
            store.remove_covered(index)
        })
    }

    fn run_unless_failed(
        &mut self,
        operation: impl FnOnce(&mut Store) -> error::Result<()>,
    ) -> error::Result<()> {
        if self.is_failed {
            return Err(error::Error::Failed);
        }
        let result = operation(self);
        self.is_failed = result.is_err();
        result
    }

    fn sync_batch(&mut self) -> error::Result<()> {
        if self.buf.is_empty() {
            return Ok(());
        }
        let current = self.segments.last_mut().expect("a replica has a segment");
        let name = recovery::segment_name(current.number);
        let io_error = error::Error::io;
        let result = self.file.write_at(current.len_bytes, &self.buf);
        result.map_err(io_error(&name, "write"))?;
        self.file.sync().map_err(io_error(&name, "sync"))?;
        current.len_bytes += self.buf.len() as u64;
        let is_full = current.len_bytes >= self.limits.segment_max_bytes;
        self.buf.clear();
        self.write_synced_position()?;
        if is_full {
            self.start_segment(false)?;
        }
        Ok(())
    }

    fn write_synced_position(&mut self) -> error::Result<()> {
        let current = self.current_segment();
        self.synced.write(synced::Position {
            segment: current.number,
            offset: current.len_bytes,
        })
    }

    fn start_segment(&mut self, is_reset: bool) -> error::Result<()> {
        let header = record::Header {
            identity: self.identity,
            base: self.last_entry,
            is_reset,
            hard_state: self.hard_state,
        };
        let number = self.current_segment().number + 1;
        let (file, segment) = create_segment(self.disk.as_ref(), number, header)?;
        self.file = file;
        self.segments.push(segment);
        self.write_synced_position()?;
        self.synced.sync()
    }

    /// Removes the segments and snapshots that a snapshot up to `index` covers, the oldest segment
    /// first so that the log never has a gap.
    fn remove_covered(&mut self, index: u64) -> error::Result<()> {
        while let [first, second, ..] = self.segments[..]
            && second.base_index <= index
        {
            let name = recovery::segment_name(first.number);
            let result = self.disk.remove(&name);
            result.map_err(error::Error::io(&name, "remove"))?;
            self.segments.remove(0);
            // Without a sync after each removal, a crash could keep an older segment and lose a
            // newer one.
            self.sync_folder()?;
        }
        snapshot::remove_older(self.disk.as_ref(), index)?;
        self.sync_folder()
    }

    fn sync_folder(&self) -> error::Result<()> {
        let result = self.disk.sync_folder();
        result.map_err(error::Error::io(".", "sync of folder"))
    }
}

/// Result of [`Store::open`].
#[allow(missing_debug_implementations)] // Holds trait objects.
pub enum Opened {
    /// The folder holds no replica.
    Blank(Box<dyn disk::Disk>),
    /// The store of the replica and the state recovered from the folder.
    Replica(Box<Store>, Recovered),
}

fn create_segment(
    disk: &dyn disk::Disk,
    number: u64,
    header: record::Header,
) -> error::Result<(Box<dyn disk::DiskFile>, recovery::Segment)> {
    let name = recovery::segment_name(number);
    let (mut payload, mut buf) = (Vec::new(), Vec::new());
    record::Record::Header(header).encode(&mut payload);
    frame::push(&mut buf, number, 0, &payload);
    let io_error = error::Error::io;
    let mut file = disk.open(&name).map_err(io_error(&name, "create"))?;
    file.truncate(0).map_err(io_error(&name, "truncate"))?;
    file.write_at(0, &buf).map_err(io_error(&name, "write"))?;
    file.sync().map_err(io_error(&name, "sync"))?;
    disk.sync_folder()
        .map_err(io_error(&name, "sync of folder"))?;
    let segment = recovery::Segment {
        number,
        base_index: header.base.index,
        len_bytes: buf.len() as u64,
    };
    Ok((file, segment))
}

/// Removes files that a crash left incomplete: temporary files and a segment with a torn header.
fn remove_incomplete_files(disk: &dyn disk::Disk, current: u64) -> error::Result<()> {
    let names = disk.list().map_err(error::Error::io(".", "list"))?;
    let next_segment = recovery::segment_name(current + 1);
    for name in names {
        if name == next_segment || name.ends_with(".tmp") {
            let result = disk.remove(&name);
            result.map_err(error::Error::io(&name, "remove"))?;
        }
    }
    Ok(())
}

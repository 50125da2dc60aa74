//! File with the position up to which the log is known to be durable.
//!
//! The position is written here after each sync of the log, without a sync of its own: an outdated
//! value only makes a longer tail count as torn. Records before the position were acknowledged, so
//! an unreadable record there is corruption, never a torn tail. The value fits in one sector and is
//! stored apart from the log, so that damage at the end of the log does not affect both.

use crate::disk;
use crate::error;

pub(crate) const FILE_NAME: &str = "synced";
const TEMP_FILE_NAME: &str = "synced.tmp";
const ENCODED_BYTES: usize = 20;

/// Position in the log: number of the segment and byte offset in it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Position {
    pub(crate) segment: u64,
    pub(crate) offset: u64,
}

fn encode(position: Position) -> [u8; ENCODED_BYTES] {
    let mut bytes = [0; ENCODED_BYTES];
    bytes[4..12].copy_from_slice(&position.segment.to_le_bytes());
    bytes[12..].copy_from_slice(&position.offset.to_le_bytes());
    let sum = crc32c::crc32c(&bytes[4..]);
    bytes[..4].copy_from_slice(&sum.to_le_bytes());
    bytes
}

fn decode(bytes: &[u8]) -> Option<Position> {
    let bytes: &[u8; ENCODED_BYTES] = bytes.try_into().ok()?;
    let read_u64 = |offset: usize| {
        let field = bytes[offset..offset + 8].first_chunk::<8>()?;
        Some(u64::from_le_bytes(*field))
    };
    let position = Position {
        segment: read_u64(4)?,
        offset: read_u64(12)?,
    };
    (encode(position) == *bytes).then_some(position)
}

/// Open file with the synced position.
#[allow(missing_debug_implementations)] // Holds a trait object.
pub(crate) struct Synced {
    file: Box<dyn disk::DiskFile>,
}

impl Synced {
    /// Creates the file and syncs it and its name. The first segment is created after it.
    pub(crate) fn create(disk: &dyn disk::Disk) -> error::Result<Synced> {
        let io_error = error::Error::io;
        let start = Position {
            segment: 1,
            offset: 0,
        };
        let mut file = disk
            .open(TEMP_FILE_NAME)
            .map_err(io_error(FILE_NAME, "create"))?;
        file.write_at(0, &encode(start))
            .map_err(io_error(FILE_NAME, "write"))?;
        file.sync().map_err(io_error(FILE_NAME, "sync"))?;
        disk.rename(TEMP_FILE_NAME, FILE_NAME)
            .map_err(io_error(FILE_NAME, "rename"))?;
        disk.sync_folder()
            .map_err(io_error(FILE_NAME, "sync of folder"))?;
        Synced::open(disk)
    }

    pub(crate) fn open(disk: &dyn disk::Disk) -> error::Result<Synced> {
        let file = disk
            .open(FILE_NAME)
            .map_err(error::Error::io(FILE_NAME, "open"))?;
        Ok(Synced { file })
    }

    pub(crate) fn read(disk: &dyn disk::Disk) -> error::Result<Position> {
        let bytes = disk
            .read(FILE_NAME)
            .map_err(error::Error::io(FILE_NAME, "read"))?;
        decode(&bytes).ok_or_else(|| {
            let expected = format!("{ENCODED_BYTES} bytes with a valid CRC32C");
            error::Error::corrupt(FILE_NAME, 0, expected, format!("{bytes:02x?}"))
        })
    }

    pub(crate) fn write(&mut self, position: Position) -> error::Result<()> {
        let result = self.file.write_at(0, &encode(position));
        result.map_err(error::Error::io(FILE_NAME, "write"))
    }

    pub(crate) fn sync(&mut self) -> error::Result<()> {
        self.file
            .sync()
            .map_err(error::Error::io(FILE_NAME, "sync"))
    }
}

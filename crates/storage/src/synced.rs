//! The file that tells up to where the log is certainly durable.
//!
//! After each sync of the log its place is written here, without a sync of its own: a value that
//! lags only lets a longer tail count as torn. What lies before the value was acknowledged, so a
//! record that cannot be read there is damage and never a torn tail. The value lies in one sector,
//! apart from the log, so that damage at the log's end does not hit both.

use crate::disk;
use crate::error;

pub(crate) const NAME: &str = "synced";
const TEMPORARY: &str = "synced.tmp";
const BYTES: usize = 20;

/// Place in the log: number of the segment and offset in it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct Place {
    pub(crate) segment: u64,
    pub(crate) offset: u64,
}

fn encode(place: Place) -> [u8; BYTES] {
    let mut bytes = [0; BYTES];
    bytes[4..12].copy_from_slice(&place.segment.to_le_bytes());
    bytes[12..].copy_from_slice(&place.offset.to_le_bytes());
    let sum = crc32c::crc32c(&bytes[4..]);
    bytes[..4].copy_from_slice(&sum.to_le_bytes());
    bytes
}

fn decode(bytes: &[u8]) -> Option<Place> {
    let bytes: &[u8; BYTES] = bytes.try_into().ok()?;
    let number = |at: usize| {
        let field = bytes[at..at + 8].first_chunk::<8>()?;
        Some(u64::from_le_bytes(*field))
    };
    let place = Place {
        segment: number(4)?,
        offset: number(12)?,
    };
    (encode(place) == *bytes).then_some(place)
}

/// Open file with the place.
#[allow(missing_debug_implementations)] // Holds a trait object.
pub(crate) struct Synced {
    file: Box<dyn disk::DiskFile>,
}

impl Synced {
    /// Creates the file durably, before the first segment.
    pub(crate) fn create(disk: &dyn disk::Disk) -> error::Result<Synced> {
        let failed = error::Error::io;
        let start = Place {
            segment: 1,
            offset: 0,
        };
        let mut file = disk.open(TEMPORARY).map_err(failed(NAME, "create"))?;
        file.write_at(0, &encode(start))
            .map_err(failed(NAME, "write"))?;
        file.sync().map_err(failed(NAME, "sync"))?;
        disk.rename(TEMPORARY, NAME)
            .map_err(failed(NAME, "rename"))?;
        disk.sync_folder().map_err(failed(NAME, "sync of folder"))?;
        Synced::open(disk)
    }

    pub(crate) fn open(disk: &dyn disk::Disk) -> error::Result<Synced> {
        let file = disk.open(NAME).map_err(error::Error::io(NAME, "open"))?;
        Ok(Synced { file })
    }

    pub(crate) fn read(disk: &dyn disk::Disk) -> error::Result<Place> {
        let bytes = disk.read(NAME).map_err(error::Error::io(NAME, "read"))?;
        decode(&bytes).ok_or_else(|| {
            let expected = format!("{BYTES} bytes with a valid CRC32C");
            error::Error::corrupt(NAME, 0, expected, format!("{bytes:02x?}"))
        })
    }

    pub(crate) fn write(&mut self, place: Place) -> error::Result<()> {
        let written = self.file.write_at(0, &encode(place));
        written.map_err(error::Error::io(NAME, "write"))
    }

    pub(crate) fn sync(&mut self) -> error::Result<()> {
        self.file.sync().map_err(error::Error::io(NAME, "sync"))
    }
}

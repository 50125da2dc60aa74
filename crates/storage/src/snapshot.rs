//! Snapshot files. The first record of a file is a header with the index, the term and the length
//! of the body; the following records hold the body.

use crate::disk;
use crate::error;
use crate::frame;
use crate::recovery;
use crate::replace;

const TEMP_FILE_NAME: &str = "snapshot.tmp";
/// Maximum bytes of the body in one record.
const CHUNK_BYTES: usize = 1024 * 1024;

pub(crate) fn is_file_name(name: &str) -> bool {
    parse_index(name).is_some()
}

fn file_name(index: u64) -> String {
    format!("snapshot-{index:016}")
}

fn parse_index(name: &str) -> Option<u64> {
    name.strip_prefix("snapshot-")?.parse().ok()
}

/// Writes a snapshot to a file of its own.
pub(crate) fn write(
    disk: &dyn disk::Disk,
    index: u64,
    term: u64,
    body: &[u8],
) -> error::Result<()> {
    let mut header = Vec::new();
    for number in [index, term, body.len() as u64] {
        header.extend_from_slice(&number.to_le_bytes());
    }
    let mut buf = Vec::with_capacity(body.len() + 1024);
    frame::push(&mut buf, index, 0, &header);
    for chunk in body.chunks(CHUNK_BYTES) {
        frame::push(&mut buf, index, 0, chunk);
    }
    replace::replace(disk, TEMP_FILE_NAME, &file_name(index), &buf)
}

/// Reads the newest snapshot. Fails if it is damaged: falling back to an older one would lose
/// acknowledged entries.
pub(crate) fn read_newest(
    disk: &dyn disk::Disk,
    names: &[String],
) -> error::Result<Option<recovery::StoredSnapshot>> {
    let newest = names.iter().filter_map(|name| parse_index(name)).max();
    newest.map(|index| read(disk, index)).transpose()
}

fn read(disk: &dyn disk::Disk, index: u64) -> error::Result<recovery::StoredSnapshot> {
    let name = file_name(index);
    let content = disk.read(&name).map_err(error::Error::io(&name, "read"))?;
    let mut chunks = Vec::new();
    let mut offset = 0;
    loop {
        match frame::read(&content, index, offset) {
            frame::ReadResult::Payload(payload) => {
                offset += frame::HEADER_BYTES + payload.len();
                chunks.push(payload);
            }
            frame::ReadResult::End => break,
            frame::ReadResult::Damaged { expected, found } => {
                return Err(error::Error::corrupt(&name, offset as u64, expected, found));
            }
        }
    }
    assemble(&name, index, &chunks)
}

fn assemble(name: &str, index: u64, chunks: &[&[u8]]) -> error::Result<recovery::StoredSnapshot> {
    let (header, chunks) = match chunks.split_first() {
        Some((header, chunks)) => (*header, chunks),
        None => (&[][..], chunks),
    };
    let mut decoder = frame::Decoder::new(header);
    let fields = (decoder.read_u64(), decoder.read_u64(), decoder.read_u64());
    let body = chunks.concat();
    match fields {
        (Some(stored), Some(term), Some(len)) if stored == index && len == body.len() as u64 => {
            Ok(recovery::StoredSnapshot { index, term, body })
        }
        _ => {
            let expected = format!("a complete snapshot up to entry {index}");
            let found = format!("{fields:?} and {} bytes", body.len());
            Err(error::Error::corrupt(name, 0, expected, found))
        }
    }
}

/// Removes snapshots older than `index`.
pub(crate) fn remove_older(disk: &dyn disk::Disk, index: u64) -> error::Result<()> {
    let names = disk.list().map_err(error::Error::io(".", "list"))?;
    for name in names {
        if parse_index(&name).is_some_and(|found| found < index) {
            let result = disk.remove(&name);
            result.map_err(error::Error::io(&name, "remove"))?;
        }
    }
    Ok(())
}

//! Snapshot files.

use crate::disk;
use crate::error;
use crate::frame;
use crate::recovery;

const TEMPORARY: &str = "snapshot.tmp";
/// Bytes of the content in one record.
const CHUNK_BYTES: usize = 1024 * 1024;

pub(crate) fn is_name(name: &str) -> bool {
    index_of(name).is_some()
}

fn name_of(index: u64) -> String {
    format!("snapshot-{index:016}")
}

fn index_of(name: &str) -> Option<u64> {
    name.strip_prefix("snapshot-")?.parse().ok()
}

/// Writes a snapshot and makes it and its name durable.
pub(crate) fn write(
    disk: &dyn disk::Disk,
    index: u64,
    term: u64,
    body: &[u8],
) -> error::Result<()> {
    let mut head = Vec::new();
    for number in [index, term, body.len() as u64] {
        head.extend_from_slice(&number.to_le_bytes());
    }
    let mut buf = Vec::with_capacity(body.len() + 1024);
    frame::push(&mut buf, index, 0, &head);
    for chunk in body.chunks(CHUNK_BYTES) {
        frame::push(&mut buf, index, 0, chunk);
    }
    let name = name_of(index);
    let failed = error::Error::io;
    let mut file = disk.open(TEMPORARY).map_err(failed(&name, "create"))?;
    file.truncate(0).map_err(failed(&name, "truncate"))?;
    file.write_at(0, &buf).map_err(failed(&name, "write"))?;
    file.sync().map_err(failed(&name, "sync"))?;
    disk.rename(TEMPORARY, &name)
        .map_err(failed(&name, "rename"))?;
    disk.sync_folder().map_err(failed(&name, "sync of folder"))
}

/// Reads the newest snapshot. A newest one that is damaged is an error: an older one would be a
/// shorter history.
pub(crate) fn read_newest(
    disk: &dyn disk::Disk,
    names: &[String],
) -> error::Result<Option<recovery::StoredSnapshot>> {
    let newest = names.iter().filter_map(|name| index_of(name)).max();
    newest.map(|index| read(disk, index)).transpose()
}

fn read(disk: &dyn disk::Disk, index: u64) -> error::Result<recovery::StoredSnapshot> {
    let name = name_of(index);
    let content = disk.read(&name).map_err(error::Error::io(&name, "read"))?;
    let mut chunks = Vec::new();
    let mut offset = 0;
    loop {
        match frame::read(&content, index, offset) {
            frame::Read::Payload(payload) => {
                offset += frame::HEAD_BYTES + payload.len();
                chunks.push(payload);
            }
            frame::Read::End => break,
            frame::Read::Damaged { expected, found } => {
                return Err(error::Error::corrupt(&name, offset as u64, expected, found));
            }
        }
    }
    assemble(&name, index, &chunks)
}

fn assemble(name: &str, index: u64, chunks: &[&[u8]]) -> error::Result<recovery::StoredSnapshot> {
    let (head, chunks) = match chunks.split_first() {
        Some((head, chunks)) => (*head, chunks),
        None => (&[][..], chunks),
    };
    let mut fields = frame::Fields::new(head);
    let numbers = (fields.number(), fields.number(), fields.number());
    let body = chunks.concat();
    match numbers {
        (Some(stored), Some(term), Some(len)) if stored == index && len == body.len() as u64 => {
            Ok(recovery::StoredSnapshot { index, term, body })
        }
        _ => {
            let expected = format!("a whole snapshot up to entry {index}");
            let found = format!("{numbers:?} and {} bytes", body.len());
            Err(error::Error::corrupt(name, 0, expected, found))
        }
    }
}

/// Removes snapshots older than `index`.
pub(crate) fn remove_older(disk: &dyn disk::Disk, index: u64) -> error::Result<()> {
    let names = disk.list().map_err(error::Error::io(".", "list"))?;
    for name in names {
        if index_of(&name).is_some_and(|found| found < index) {
            let removed = disk.remove(&name);
            removed.map_err(error::Error::io(&name, "remove"))?;
        }
    }
    Ok(())
}

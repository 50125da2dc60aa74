//! Small files that are written and read as a whole, with a checksum.

use crate::disk;
use crate::error;
use crate::frame;
use crate::replace;
use std::io;

/// Documents are alone in their files, so the checksum covers no other position.
const FILE_NUMBER: u64 = 0;

/// Replaces the document `name`. After a crash it has either the old or the new content.
///
/// # Errors
///
/// Returns the error of the operating system.
pub fn write(disk: &dyn disk::Disk, name: &str, content: &[u8]) -> error::Result<()> {
    let mut buf = Vec::with_capacity(frame::HEADER_BYTES + content.len());
    frame::push(&mut buf, FILE_NUMBER, 0, content);
    replace::replace(disk, &format!("{name}.tmp"), name, &buf)
}

/// Returns the content of the document `name`; `None` if it was never written.
///
/// # Errors
///
/// Fails if the document cannot be read or is damaged.
pub fn read(disk: &dyn disk::Disk, name: &str) -> error::Result<Option<Vec<u8>>> {
    let content = match disk.read(name) {
        Ok(content) => content,
        Err(err) if err.kind() == io::ErrorKind::NotFound => return Ok(None),
        Err(err) => return Err(error::Error::io(name, "read")(err)),
    };
    match frame::read(&content, FILE_NUMBER, 0) {
        frame::ReadResult::Payload(payload)
            if frame::HEADER_BYTES + payload.len() == content.len() =>
        {
            Ok(Some(payload.to_vec()))
        }
        frame::ReadResult::Payload(payload) => {
            let found = format!("{} bytes", content.len());
            let expected = format!("{} bytes", frame::HEADER_BYTES + payload.len());
            Err(error::Error::corrupt(name, 0, expected, found))
        }
        frame::ReadResult::End => Err(error::Error::corrupt(name, 0, "a record", "an empty file")),
        frame::ReadResult::Damaged { expected, found } => {
            Err(error::Error::corrupt(name, 0, expected, found))
        }
    }
}

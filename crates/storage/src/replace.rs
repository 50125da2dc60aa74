//! Replacement of a whole file, so that a crash leaves either the old or the new one.

use crate::disk;
use crate::error;

/// Writes `content` to a temporary file, syncs it, renames it to its final name and syncs the folder.
pub(crate) fn replace(
    disk: &dyn disk::Disk,
    temp_name: &str,
    name: &str,
    content: &[u8],
) -> error::Result<()> {
    let io_error = error::Error::io;
    let mut file = disk.open(temp_name).map_err(io_error(name, "create"))?;
    file.truncate(0).map_err(io_error(name, "truncate"))?;
    file.write_at(0, content).map_err(io_error(name, "write"))?;
    file.sync().map_err(io_error(name, "sync"))?;
    disk.rename(temp_name, name)
        .map_err(io_error(name, "rename"))?;
    disk.sync_folder().map_err(io_error(name, "sync of folder"))
}

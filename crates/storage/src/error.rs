//! Errors of the storage.

use displaydoc::Display;
use std::io;

/// Error of a storage operation.
#[derive(Debug, Display)]
pub enum Error {
    /// file {file}: {action} failed: {source}
    Io {
        /// Name of the file, or `.` for the folder.
        file: String,
        /// Operation that failed.
        action: &'static str,
        /// Error of the operating system.
        source: io::Error,
    },
    /// file {file}, offset {offset}: expected {expected}, found {found}; the data folder is damaged
    Corrupt {
        /// Name of the file.
        file: String,
        /// Byte offset of the damaged data in the file.
        offset: u64,
        /// Description of the expected data.
        expected: String,
        /// Description of the data found instead.
        found: String,
    },
    /// an earlier write or sync failed; the store accepts no more writes
    Failed,
}

impl std::error::Error for Error {}

impl Error {
    pub(crate) fn corrupt(
        file: &str,
        offset: u64,
        expected: impl Into<String>,
        found: impl Into<String>,
    ) -> Error {
        Error::Corrupt {
            file: file.to_owned(),
            offset,
            expected: expected.into(),
            found: found.into(),
        }
    }

    /// Returns a function that adds the file and the operation to an error, for `map_err`.
    pub(crate) fn io(file: &str, action: &'static str) -> impl FnOnce(io::Error) -> Error {
        let file = file.to_owned();
        move |source| Error::Io {
            file,
            action,
            source,
        }
    }
}

/// Result of a storage operation.
pub type Result<T> = std::result::Result<T, Error>;

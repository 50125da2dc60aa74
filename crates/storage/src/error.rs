//! Why the storage refuses.

use displaydoc::Display;
use std::io;

/// Error of the storage.
#[derive(Debug, Display)]
pub enum Error {
    /// file {file}: {action} failed: {source}
    Io {
        /// File.
        file: String,
        /// What was tried.
        action: &'static str,
        /// Error of the operating system.
        source: io::Error,
    },
    /// file {file}, offset {offset}: expected {expected}, found {found}; the data folder is damaged
    Corrupt {
        /// File.
        file: String,
        /// Offset in bytes.
        offset: u64,
        /// What was expected there.
        expected: String,
        /// What was found.
        found: String,
    },
    /// an earlier write or sync failed, so nothing more is stored
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

    /// Returns a function that names the file and the action of an error.
    pub(crate) fn io(file: &str, action: &'static str) -> impl FnOnce(io::Error) -> Error {
        let file = file.to_owned();
        move |source| Error::Io {
            file,
            action,
            source,
        }
    }
}

/// Result of the storage.
pub type Result<T> = std::result::Result<T, Error>;

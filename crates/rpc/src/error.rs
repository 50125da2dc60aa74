//! Errors of calls to other processes.

use displaydoc::Display;

/// Error of a call to another process.
///
/// Invariant: `NotSent` is returned only if the peer cannot have seen the call.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum Error {
    /// call was not sent: {0}
    NotSent(String),
    /// call was sent but got no response: {0}
    NoAnswer(String),
    /// peer refused the call with status {0}: {1}
    Refused(u16, String),
    /// response could not be decoded: {0}
    Decode(String),
}

impl std::error::Error for Error {}

/// Status by which a peer refuses a call that it does not know.
const UNKNOWN_CALL: u16 = 404;

impl Error {
    /// Returns whether the peer does not know the call, since it runs an older build.
    pub fn is_unknown_call(&self) -> bool {
        matches!(self, Error::Refused(UNKNOWN_CALL, _))
    }
}

/// Result of a call.
pub type Result<T> = std::result::Result<T, Error>;

//! Exit codes, errors and the context of commands.

use crate::client;
use std::io::Write;

/// Exit code; scripts rely on the numbers, which are listed in `nutmegctl --help`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum Exit {
    /// The command was carried out.
    Done = 0,
    /// The command line, a file or the environment is invalid; nothing was sent.
    Usage = 1,
    /// The change is invalid; nothing changed.
    Rejected = 2,
    /// Another change was accepted from the same base version; nothing changed.
    Conflict = 3,
    /// No control process answered in time; the change may have been accepted.
    NoAnswer = 4,
    /// The change was accepted but did not come into force on every entry process in time.
    NotInForce = 5,
    /// The audit found violations.
    Violations = 6,
    /// The token does not belong to an operator.
    Token = 7,
    /// A control process refused the request.
    Refused = 8,
    /// No log file contains the request.
    NotFound = 9,
}

/// Error of a command.
#[derive(Debug)]
pub(crate) struct Error {
    /// Exit code of the program.
    pub(crate) exit: Exit,
    /// Error message for the operator.
    pub(crate) text: String,
}

/// Result of a command.
pub(crate) type Result<T> = std::result::Result<T, Error>;

/// Returns an error with the given exit code.
pub(crate) fn fail<T>(exit: Exit, text: impl Into<String>) -> Result<T> {
    Err(Error {
        exit,
        text: text.into(),
    })
}

/// Context of a command: its client and its output.
pub(crate) struct Context<'a> {
    /// Client of the control processes.
    pub(crate) client: client::Client,
    /// Whether responses are printed as JSON.
    pub(crate) is_json: bool,
    /// Standard output, for responses.
    pub(crate) out: &'a mut dyn Write,
    /// Standard error, for progress and error messages.
    pub(crate) notes: &'a mut dyn Write,
}

impl Context<'_> {
    /// Prints a line of the response.
    pub(crate) fn print_line(&mut self, text: &str) {
        // An error means that the reader closed the pipe.
        drop(writeln!(self.out, "{text}"));
    }

    /// Prints a progress message.
    pub(crate) fn print_note(&mut self, text: &str) {
        drop(writeln!(self.notes, "{text}"));
    }

    /// Prints the body of a response unchanged.
    pub(crate) fn print_json(&mut self, response: &client::Response) {
        self.print_line(&String::from_utf8_lossy(&response.body));
    }
}

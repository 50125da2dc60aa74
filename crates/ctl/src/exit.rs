//! Exit codes and what every command needs.

use crate::client;
use std::io::Write;

/// Exit code; scripts rely on the numbers, which are listed in `nutmegctl --help`.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[repr(u8)]
pub enum Exit {
    /// The command was carried out.
    Done = 0,
    /// The command line, a file or the environment is at fault; nothing was sent.
    Usage = 1,
    /// The change breaks rules; nothing changed.
    Rejected = 2,
    /// Another change was accepted from the same base version; nothing changed.
    Conflict = 3,
    /// No control process answered in time; the change may have been accepted.
    NoAnswer = 4,
    /// The change is accepted but not in force everywhere in time.
    NotInForce = 5,
    /// The audit found violations.
    Violations = 6,
    /// The token is not one of an operator.
    Token = 7,
    /// A control process refused the request.
    Refused = 8,
    /// No log names the request.
    NotFound = 9,
}

/// Failure of a command.
#[derive(Debug)]
pub(crate) struct Failure {
    /// Exit code.
    pub(crate) exit: Exit,
    /// What went wrong.
    pub(crate) text: String,
}

/// Result of a command.
pub(crate) type Result<T> = std::result::Result<T, Failure>;

/// Returns a failure.
pub(crate) fn fail<T>(exit: Exit, text: impl Into<String>) -> Result<T> {
    Err(Failure {
        exit,
        text: text.into(),
    })
}

/// What every command needs.
pub(crate) struct Context<'a> {
    /// Client of the control processes.
    pub(crate) client: client::Client,
    /// Whether answers are printed for scripts.
    pub(crate) is_json: bool,
    /// Where answers go.
    pub(crate) out: &'a mut dyn Write,
    /// Where notes for the person at the terminal go.
    pub(crate) notes: &'a mut dyn Write,
}

impl Context<'_> {
    /// Prints a line of the answer.
    pub(crate) fn line(&mut self, text: &str) {
        // A closed pipe is the reader's wish.
        drop(writeln!(self.out, "{text}"));
    }

    /// Prints a note.
    pub(crate) fn note(&mut self, text: &str) {
        drop(writeln!(self.notes, "{text}"));
    }

    /// Prints an answer as it came.
    pub(crate) fn json(&mut self, answer: &client::Answer) {
        self.line(&String::from_utf8_lossy(&answer.body));
    }
}

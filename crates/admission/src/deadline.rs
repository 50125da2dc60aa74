//! Request deadlines. Each hop passes on the time that is left, and every wait ends at the
//! deadline.

use nutmegdale_base::clock;

/// Longest timeout of a request; longer ones are shortened to it.
pub const MAX_MS: clock::Millis = clock::Millis(3_600_000);

/// Time on this process's clock at which the caller stops waiting.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Deadline {
    expires: clock::Millis,
}

/// The value of `nutmegdale-deadline-ms` is not a number of milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Malformed;

impl Deadline {
    /// Parses the header of a request that arrived at `now`; without one, `default` applies.
    ///
    /// # Errors
    ///
    /// Returns [`Malformed`] for a value that is not a whole number, since a guessed deadline could
    /// be later than the caller's.
    pub fn parse(
        now: clock::Millis,
        header: Option<&[u8]>,
        default: clock::Millis,
    ) -> Result<Deadline, Malformed> {
        let span = match header {
            None => default,
            Some(value) => {
                let text = std::str::from_utf8(value).map_err(|_| Malformed)?;
                clock::Millis(text.trim().parse().map_err(|_| Malformed)?)
            }
        };
        Ok(Deadline {
            expires: now + span.min(MAX_MS),
        })
    }

    /// Returns the earlier of this deadline and the time `span` after `now`.
    pub fn within(self, now: clock::Millis, span: clock::Millis) -> Deadline {
        Deadline {
            expires: self.expires.min(now + span),
        }
    }

    /// Returns this deadline moved later by `span`.
    pub fn extended(self, span: clock::Millis) -> Deadline {
        Deadline {
            expires: self.expires + span,
        }
    }

    /// Returns the time left, or `None` if the deadline has passed.
    pub fn left(self, now: clock::Millis) -> Option<clock::Millis> {
        let left = self.expires.since(now);
        (left > clock::Millis::ZERO).then_some(left)
    }
}
